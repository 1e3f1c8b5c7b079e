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

// answer is what one gateway said, or why it did not.
type answer struct {
	At    string       `json:"at"`
	Error string       `json:"error,omitempty"`
	Fleet *peer.Report `json:"fleet,omitempty"`
}

type answers []answer

// ask asks all gateways at once.
func ask(at []string, wait time.Duration) answers {
	list := make(answers, len(at))
	var all sync.WaitGroup
	for i, a := range at {
		all.Add(1)
		go func() {
			defer all.Done()
			list[i] = answer{At: a}
			r, err := members(a, wait)
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

const mostAnswer = 8 << 20

// call asks one gateway; a status that is not 200 is an error with what it says.
func call(at, method, path string, wait time.Duration) ([]byte, error) {
	if _, err := netip.ParseAddrPort(at); err != nil {
		return nil, fmt.Errorf("%q is no address; write it like 127.0.0.1:7510", at)
	}
	q, err := http.NewRequest(method, "http://"+at+path, nil)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	got, err := client.Do(q)
	if err != nil {
		return nil, err
	}
	defer got.Body.Close()
	text, err := io.ReadAll(io.LimitReader(got.Body, mostAnswer))
	if err == nil && got.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", got.Status, strings.TrimSpace(string(text)))
	}
	return text, err
}

// fetch asks for something in JSON.
func fetch[T any](at, path string, wait time.Duration) (*T, error) {
	text, err := call(at, http.MethodGet, path, wait)
	if err != nil {
		return nil, err
	}
	r := new(T)
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("the answer cannot be read: %w", err)
	}
	return r, nil
}

func members(at string, wait time.Duration) (*peer.Report, error) {
	return fetch[peer.Report](at, "/v1/fleet/members", wait)
}

// verdict is the exit status: who does not answer goes before what was found.
func (list answers) verdict() error {
	var silent, findings []string
	digests := map[string][]string{}
	for _, a := range list {
		if a.Fleet == nil {
			silent = append(silent, a.At)
			continue
		}
		digests[a.Fleet.View.Digest] = append(digests[a.Fleet.View.Digest], a.Fleet.Name)
		if a.Fleet.Superseded {
			findings = append(findings, a.Fleet.Name+" at "+a.At+" has lost its name to another process")
		}
		for _, m := range a.Fleet.View.Members {
			if f := "two processes are named " + m.Name; m.DuplicateName && !slices.Contains(findings, f) {
				findings = append(findings, f)
			}
		}
	}
	if len(digests) > 1 {
		findings = append(findings, fmt.Sprintf("%d different views", len(digests)))
	}
	return verdict(silent, findings)
}

func (list answers) json(w io.Writer) error {
	if err := show(w, true, list, nil); err != nil {
		return err
	}
	return list.verdict()
}

// table prints a line for each gateway that was asked, then one for each gateway that any of them knows.
func (list answers) table(w io.Writer, all bool) error {
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ASKED\tNAME\tMEMBER\tHEALTH\tVIEW\tMEMBERS\tDIGEST")
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
	for _, a := range list {
		if a.Fleet == nil {
			fmt.Fprintf(t, "%s\t-\t-\t-\t-\t-\t%s\n", a.At, a.Error)
			continue
		}
		r := a.Fleet
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%d\t%d\t%s\n", a.At, r.Name, r.Member, r.Health, r.View.Version, len(r.View.Members), r.View.Digest)
		for _, m := range r.Known {
			if all || m.State == "alive" || m.State == "suspect" {
				add(m, r.Name, m.State)
			}
		}
		if r.Member {
			add(peer.ReportMember{Name: r.Name, Addr: r.Addr, Session: r.Session}, r.Name, "self")
		}
	}
	fmt.Fprintln(t, "\nGATEWAY\tADDRESS\tSESSION\tAS SEEN BY")
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", n, known[n].addr, known[n].session, known[n].states)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return list.verdict()
}
