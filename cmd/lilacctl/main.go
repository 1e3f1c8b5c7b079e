// Command lilacctl is the operators' command line tool. It sends requests to gateways' management addresses.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// Exit statuses, for scripts.
const (
	exitUsage       = 1 // wrong usage, or a local error
	exitFinding     = 2 // gateways answered, and something is wrong
	exitUnreachable = 3 // a gateway did not answer
)

// exitStatus is an error with the exit status of the process.
type exitStatus struct {
	code    int
	message string
}

func (s exitStatus) Error() string { return s.message }

// queryCommand returns a command that queries gateways and prints their answers.
func queryCommand(use, short, long string, run func(w io.Writer, addresses []string, asJSON bool, timeout time.Duration) error) *cobra.Command {
	var addresses []string
	var asJSON bool
	var timeout time.Duration
	c := &cobra.Command{
		Use: use + " --at 127.0.0.1:7510", Short: short, Long: long, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return run(c.OutOrStdout(), addresses, asJSON, timeout) },
	}
	c.Flags().StringArrayVar(&addresses, "at", nil, "a gateway's management address; may be given several times")
	c.Flags().BoolVar(&asJSON, "json", false, "print the gateways' answers as JSON")
	c.Flags().DurationVar(&timeout, "timeout", 2*time.Second, "how long a gateway may take to answer")
	_ = c.MarkFlagRequired("at")
	return c
}

// printResult prints the result as JSON, or calls printTable.
func printResult(w io.Writer, asJSON bool, result any, printTable func() error) error {
	if !asJSON {
		return printTable()
	}
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(result)
}

// exitError returns the error for the exit status, nil for 0. Unreachable gateways take precedence over findings.
func exitError(unreachable, findings []string) error {
	switch {
	case len(unreachable) > 0:
		return exitStatus{exitUnreachable, "no answer from " + strings.Join(unreachable, ", ")}
	case len(findings) > 0:
		return exitStatus{exitFinding, strings.Join(findings, "; ")}
	}
	return nil
}

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "lilacctl: "+err.Error())
	var s exitStatus
	if errors.As(err, &s) {
		os.Exit(s.code)
	}
	os.Exit(exitUsage)
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use: "lilacctl", Short: "Query and control gateways", SilenceUsage: true, SilenceErrors: true,
		Long: "Sends requests to gateways' management addresses (management in the configuration).\n" +
			"Exit status: 0 no problem, 1 wrong usage, 2 there are findings, 3 a gateway did not answer.",
	}
	var all bool
	members := queryCommand("members", "Show which members of the fleet each gateway knows", "", func(w io.Writer, addresses []string, asJSON bool, timeout time.Duration) error {
		if list := queryMembers(addresses, timeout); asJSON {
			return list.printJSON(w)
		} else {
			return list.printTable(w, all)
		}
	})
	members.Flags().BoolVar(&all, "all", false, "list gateways that have left or died as well")
	root.AddCommand(members,
		queryCommand("state", "Show the operator overrides of the fleet, and whether all gateways have them", "", printState),
		queryCommand("versions", "Show which versions each gateway acts on, and which gateways lag",
			"Each gateway knows the versions of the others, so that one address is enough. With several addresses, the most recent\n"+
				"report on each gateway counts.", printVersions),
		auditCommand(),
		databaseCommand("suspend", "Suspend a database"), databaseCommand("resume", "Lift the suspension of a database"),
		overrideCommand("drain", "GATEWAY", "Drain a gateway of the fleet; any gateway takes the request", func() string { return "/v1/fleet/gateways/" }),
		overrideCommand("activate", "GATEWAY", "End the drain of a gateway of the fleet", func() string { return "/v1/fleet/gateways/" }))
	return root
}
