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

// printState prints how many operator overrides each gateway has, then the overrides themselves.
func printState(w io.Writer, addresses []string, asJSON bool, timeout time.Duration) error {
	var unreachable, findings []string
	digests := map[string]bool{}
	reports := map[string]*peer.StateReport{}
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ASKED\tNAME\tSYNCED\tOVERRIDES\tDIGEST")
	var fullest *peer.StateReport
	for _, addr := range addresses {
		report, err := fetch[peer.StateReport](addr, "/v1/fleet/state", timeout)
		reports[addr] = report
		if err != nil {
			unreachable = append(unreachable, addr)
			fmt.Fprintf(table, "%s\t-\t-\t-\t%v\n", addr, err)
			continue
		}
		digests[report.Digest] = true
		if fullest == nil || len(report.Overrides) > len(fullest.Overrides) {
			fullest = report
		}
		for _, h := range report.Conflicts {
			findings = append(findings, report.Name+": words about "+h+" differ; it stays suspended or drained until an operator sets it again")
		}
		fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%s\n", addr, report.Name, report.Synced, len(report.Overrides), report.Digest)
	}
	if fullest != nil && len(fullest.Overrides) > 0 {
		fmt.Fprintf(table, "\nDATABASE\tOVERRIDE\tSET AT\tORIGIN\n")
		for _, override := range fullest.Overrides {
			verb := map[bool]string{true: "suspend", false: "resume"}[override.Active]
			if _, ok := fleetstate.ParseGatewayKey(override.Key); ok {
				verb = map[bool]string{true: "drain", false: "activate"}[override.Active]
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", override.Key, verb, time.UnixMilli(override.AtMS).UTC().Format(time.RFC3339), override.Origin)
		}
	}
	if len(digests) > 1 {
		findings = append(findings, fmt.Sprintf("%d different copies", len(digests)))
	}
	if err := printResult(w, asJSON, reports, table.Flush); err != nil {
		return err
	}
	return exitError(unreachable, findings)
}

// databaseCommand returns a command that suspends or resumes a database at one gateway or in the whole fleet.
func databaseCommand(verb, short string) *cobra.Command {
	fleet := false
	c := overrideCommand(verb, "DATABASE", short+" at one gateway, or at all of them with --fleet", func() string {
		if fleet {
			return "/v1/fleet/databases/"
		}
		return "/v1/databases/"
	})
	c.Flags().BoolVar(&fleet, "fleet", false, "apply it to the whole fleet")
	return c
}

// overrideCommand returns a command that sends one gateway an override of a database or a gateway.
func overrideCommand(verb, target, short string, basePath func() string) *cobra.Command {
	var addr string
	var timeout time.Duration
	c := &cobra.Command{
		Use: verb + " " + target + " --at 127.0.0.1:7510", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := basePath()
			body, err := callGateway(addr, http.MethodPut, path+url.PathEscape(args[0])+"/"+verb, timeout)
			if err != nil {
				if strings.Contains(err.Error(), " 404 ") || strings.HasPrefix(err.Error(), "404") {
					return exitStatus{exitFinding, fmt.Sprintf("%s: the gateway does not know it, or has no fleet file: %v", args[0], err)}
				}
				return exitStatus{exitUnreachable, err.Error()}
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %s, %s\n", args[0], verb, strings.TrimSpace(string(body)))
			if strings.Contains(string(body), peer.NotOnDisk) {
				return exitStatus{exitFinding, args[0] + ": the override is in force, but " + peer.NotOnDisk + ": it would be lost if all gateways ended at once"}
			}
			return nil
		},
	}
	c.Flags().StringVar(&addr, "at", "", "a gateway's management address")
	c.Flags().DurationVar(&timeout, "timeout", 2*time.Second, "how long the gateway may take to answer")
	_ = c.MarkFlagRequired("at")
	return c
}
