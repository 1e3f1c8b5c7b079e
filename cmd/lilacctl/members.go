package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"lilaccove/internal/peer"
)

// membersAnswer is one gateway's report on the members, or the error of the request.
type membersAnswer struct {
	At    string       `json:"at"`
	Error string       `json:"error,omitempty"`
	Fleet *peer.Report `json:"fleet,omitempty"`
}

// membersAnswers are the answers in the order of the addresses.
type membersAnswers []membersAnswer

// queryMembers queries all gateways concurrently.
func queryMembers(addresses []string, timeout time.Duration) membersAnswers {
	list := make(membersAnswers, len(addresses))
	var all sync.WaitGroup
	for i, a := range addresses {
		all.Add(1)
		go func() {
			defer all.Done()
			list[i] = membersAnswer{At: a}
			r, err := fetchMembers(a, timeout)
			if err != nil {
				list[i].Error = err.Error()
			} else {
				list[i].Fleet = r
			}
		}()
	}
	all.Wait()
	return list
}

const maxAnswerBytes = 8 << 20 // of a response's body; the rest is not read

// callGateway sends a request to one gateway and returns the body. A status other than 200 is an error that contains the
// body.
func callGateway(addr, method, path string, timeout time.Duration) ([]byte, error) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, fmt.Errorf("%q is no address; write it like 127.0.0.1:7510", addr)
	}
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, err
}

// fetch requests a JSON document from one gateway.
func fetch[T any](addr, path string, timeout time.Duration) (*T, error) {
	body, err := callGateway(addr, http.MethodGet, path, timeout)
	if err != nil {
		return nil, err
	}
	report := new(T)
	if err := json.Unmarshal(body, report); err != nil {
		return nil, fmt.Errorf("the answer cannot be read: %w", err)
	}
	return report, nil
}

func fetchMembers(addr string, timeout time.Duration) (*peer.Report, error) {
	return fetch[peer.Report](addr, "/v1/fleet/members", timeout)
}

// exitError reports unreachable gateways, different views and duplicate names.
func (list membersAnswers) exitError() error {
	var unreachable, findings []string
	digests := map[string][]string{}
	for _, answer := range list {
		if answer.Fleet == nil {
			unreachable = append(unreachable, answer.At)
			continue
		}
		digests[answer.Fleet.View.Digest] = append(digests[answer.Fleet.View.Digest], answer.Fleet.Name)
		if answer.Fleet.Superseded {
			findings = append(findings, answer.Fleet.Name+" at "+answer.At+" has lost its name to another process")
		}
		for _, m := range answer.Fleet.View.Members {
			if f := "two processes are named " + m.Name; m.DuplicateName && !slices.Contains(findings, f) {
				findings = append(findings, f)
			}
		}
	}
	if len(digests) > 1 {
		findings = append(findings, fmt.Sprintf("%d different views", len(digests)))
	}
	return exitError(unreachable, findings)
}

// printJSON prints the answers as JSON.
func (list membersAnswers) printJSON(w io.Writer) error {
	if err := printResult(w, true, list, nil); err != nil {
		return err
	}
	return list.exitError()
}

// printTable prints a line for each address, then a line for each gateway that any of them knows. Dead members are
// omitted unless all is set.
func (list membersAnswers) printTable(w io.Writer, all bool) error {
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ASKED\tNAME\tMEMBER\tHEALTH\tVIEW\tMEMBERS\tDIGEST")
	type row struct{ addr, session, states string }
	known := map[string]row{}
	names := []string{}
	add := func(m peer.ReportMember, by, state string) {
		if r, ok := known[m.Name]; !ok {
			names = append(names, m.Name)
			known[m.Name] = row{m.Addr, m.Session, by + "=" + state}
		} else {
			r.states += " " + by + "=" + state
			known[m.Name] = r
		}
	}
	for _, answer := range list {
		if answer.Fleet == nil {
			fmt.Fprintf(table, "%s\t-\t-\t-\t-\t-\t%s\n", answer.At, answer.Error)
			continue
		}
		report := answer.Fleet
		fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%d\t%d\t%s\n", answer.At, report.Name, report.Member, report.Health, report.View.Version, len(report.View.Members), report.View.Digest)
		for _, m := range report.Known {
			if all || m.State == "alive" || m.State == "suspect" {
				add(m, report.Name, m.State)
			}
		}
		if report.Member {
			add(peer.ReportMember{Name: report.Name, Addr: report.Addr, Session: report.Session}, report.Name, "self")
		}
	}
	fmt.Fprintln(table, "\nGATEWAY\tADDRESS\tSESSION\tAS SEEN BY")
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", n, known[n].addr, known[n].session, known[n].states)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return list.exitError()
}
