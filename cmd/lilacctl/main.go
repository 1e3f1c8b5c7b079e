// Command lilacctl is the operators' command line: it asks gateways at their operators' addresses.
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

// The exit statuses, for scripts.
const (
	exitUsage       = 1 // the call itself was wrong
	exitFinding     = 2 // gateways answered, and something is not as it should be
	exitUnreachable = 3 // a gateway did not answer
)

// exitStatus is an error with the exit exitStatus it leads to.
type exitStatus struct {
	code    int
	message string
}

func (s exitStatus) Error() string { return s.message }

// queryCommand makes a command that asks gateways and prints what they say.
func queryCommand(use, short, long string, run func(w io.Writer, addresses []string, asJSON bool, timeout time.Duration) error) *cobra.Command {
	var addresses []string
	var asJSON bool
	var timeout time.Duration
	c := &cobra.Command{
		Use: use + " --at 127.0.0.1:7510", Short: short, Long: long, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return run(c.OutOrStdout(), addresses, asJSON, timeout) },
	}
	c.Flags().StringArrayVar(&addresses, "at", nil, "a gateway's operators' address; may be given several times")
	c.Flags().BoolVar(&asJSON, "json", false, "print what the gateways said, as JSON")
	c.Flags().DurationVar(&timeout, "timeout", 2*time.Second, "how long a gateway may take to answer")
	_ = c.MarkFlagRequired("at")
	return c
}

// printResult prints what was said as JSON, or the table.
func printResult(w io.Writer, asJSON bool, result any, printTable func() error) error {
	if !asJSON {
		return printTable()
	}
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(result)
}

// exitError is what the exit status says: who does not answer goes before what was found.
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
		Use: "lilacctl", Short: "Ask and steer gateways", SilenceUsage: true, SilenceErrors: true,
		Long: "Asks gateways at their operators' addresses (management in the configuration).\n" +
			"Exit status: 0 all is as it should be, 1 the call was wrong, 2 something was found, 3 a gateway did not answer.",
	}
	var all bool
	members := queryCommand("members", "Which gateways know which others", "", func(w io.Writer, at []string, asJSON bool, wait time.Duration) error {
		if list := queryMembers(at, wait); asJSON {
			return list.printJSON(w)
		} else {
			return list.printTable(w, all)
		}
	})
	members.Flags().BoolVar(&all, "all", false, "list those that have ended as well")
	root.AddCommand(members,
		queryCommand("state", "What operators told the whole fleet, and whether all have it", "", printState),
		queryCommand("versions", "Which gateway acts on which versions, and who is behind",
			"Each gateway knows the versions of the others; the first that answers is enough. With several the newest telling of\n"+
				"each gateway counts.", printVersions),
		auditCommand(),
		databaseCommand("suspend", "Leave a database out"), databaseCommand("resume", "Have a database serve again"),
		overrideCommand("drain", "GATEWAY", "Empty a gateway of the fleet, told at any of them", func() string { return "/v1/fleet/gateways/" }),
		overrideCommand("activate", "GATEWAY", "Have a gateway of the fleet work again", func() string { return "/v1/fleet/gateways/" }))
	return root
}
