package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	fleetstate "lilaccove/internal/fleet/state"
	"lilaccove/internal/peer"
)

// state tells what operators told the fleet, as each gateway has it.
func state(w io.Writer, at []string, asJSON bool, wait time.Duration) error {
	var silent, findings []string
	digests := map[string]bool{}
	said := map[string]*peer.StateReport{}
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ASKED\tNAME\tCAUGHT UP\tWORDS\tDIGEST")
	var newest *peer.StateReport
	for _, a := range at {
		r, err := fetch[peer.StateReport](a, "/v1/fleet/state", wait)
		said[a] = r
		if err != nil {
			silent = append(silent, a)
			fmt.Fprintf(t, "%s\t-\t-\t-\t%v\n", a, err)
			continue
		}
		digests[r.Digest] = true
		if newest == nil || len(r.Overrides) > len(newest.Overrides) {
			newest = r
		}
		for _, h := range r.Conflicts {
			findings = append(findings, r.Name+": words about "+h+" differ; it is left out until you say once more what holds")
		}
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%s\n", a, r.Name, r.Synced, len(r.Overrides), r.Digest)
	}
	if newest != nil && len(newest.Overrides) > 0 {
		fmt.Fprintf(t, "\nDATABASE\tWORD\tSAID AT\tTO\n")
		for _, x := range newest.Overrides {
			word := map[bool]string{true: "suspend", false: "resume"}[x.Active]
			if _, ok := fleetstate.ParseGatewayKey(x.Key); ok {
				word = map[bool]string{true: "drain", false: "activate"}[x.Active]
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", x.Key, word, time.UnixMilli(x.AtMS).UTC().Format(time.RFC3339), x.Origin)
		}
	}
	if len(digests) > 1 {
		findings = append(findings, fmt.Sprintf("%d different copies", len(digests)))
	}
	if err := show(w, asJSON, said, t.Flush); err != nil {
		return err
	}
	return verdict(silent, findings)
}

// wordCommand tells one gateway, or the whole fleet, to leave a database out or to use it.
func wordCommand(verb, short string) *cobra.Command {
	fleet := false
	c := sayCommand(verb, "DATABASE", short+", here or with --fleet everywhere", func() string {
		if fleet {
			return "/v1/fleet/databases/"
		}
		return "/v1/databases/"
	})
	c.Flags().BoolVar(&fleet, "fleet", false, "tell the whole fleet")
	return c
}

// sayCommand tells a gateway a word on a database or a gateway.
func sayCommand(verb, what, short string, below func() string) *cobra.Command {
	var at string
	var wait time.Duration
	c := &cobra.Command{
		Use: verb + " " + what + " --at 127.0.0.1:7510", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := below()
			said, err := call(at, http.MethodPut, path+url.PathEscape(args[0])+"/"+verb, wait)
			if err != nil {
				if strings.Contains(err.Error(), " 404 ") || strings.HasPrefix(err.Error(), "404") {
					return status{exitFinding, fmt.Sprintf("%s: the gateway does not know it, or has no fleet file: %v", args[0], err)}
				}
				return status{exitUnreachable, err.Error()}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %s, %s\n", args[0], verb, strings.TrimSpace(string(said)))
			if strings.Contains(string(said), peer.NotOnDisk) {
				return status{exitFinding, args[0] + ": the word holds, but is " + peer.NotOnDisk + ": an end of all gateways at once would lose it"}
			}
			return nil
		},
	}
	c.Flags().StringVar(&at, "at", "", "a gateway's operators' address")
	c.Flags().DurationVar(&wait, "timeout", 2*time.Second, "how long the gateway may take to answer")
	_ = c.MarkFlagRequired("at")
	return c
}
