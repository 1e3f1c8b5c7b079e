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
	exitTrouble     = 1 // the call itself was wrong
	exitFinding     = 2 // gateways answered, and something is not as it should be
	exitUnreachable = 3 // a gateway did not answer
)

// status is an error with the exit status it leads to.
type status struct {
	code int
	why  string
}

func (s status) Error() string { return s.why }

// asking makes a command that asks gateways and prints what they say.
func asking(use, short, long string, do func(w io.Writer, at []string, asJSON bool, wait time.Duration) error) *cobra.Command {
	var at []string
	var asJSON bool
	var wait time.Duration
	c := &cobra.Command{
		Use: use + " --at 127.0.0.1:7510", Short: short, Long: long, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return do(c.OutOrStdout(), at, asJSON, wait) },
	}
	c.Flags().StringArrayVar(&at, "at", nil, "a gateway's operators' address; may be given several times")
	c.Flags().BoolVar(&asJSON, "json", false, "print what the gateways said, as JSON")
	c.Flags().DurationVar(&wait, "timeout", 2*time.Second, "how long a gateway may take to answer")
	_ = c.MarkFlagRequired("at")
	return c
}

// show prints what was said as JSON, or the table.
func show(w io.Writer, asJSON bool, said any, table func() error) error {
	if !asJSON {
		return table()
	}
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(said)
}

// verdict is what the exit status says: who does not answer goes before what was found.
func verdict(silent, findings []string) error {
	switch {
	case len(silent) > 0:
		return status{exitUnreachable, "no answer from " + strings.Join(silent, ", ")}
	case len(findings) > 0:
		return status{exitFinding, strings.Join(findings, "; ")}
	}
	return nil
}

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "lilacctl: "+err.Error())
	var s status
	if errors.As(err, &s) {
		os.Exit(s.code)
	}
	os.Exit(exitTrouble)
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use: "lilacctl", Short: "Ask and steer gateways", SilenceUsage: true, SilenceErrors: true,
		Long: "Asks gateways at their operators' addresses (management in the configuration).\n" +
			"Exit status: 0 all is as it should be, 1 the call was wrong, 2 something was found, 3 a gateway did not answer.",
	}
	var all bool
	members := asking("members", "Which gateways know which others", "", func(w io.Writer, at []string, asJSON bool, wait time.Duration) error {
		if list := ask(at, wait); asJSON {
			return list.json(w)
		} else {
			return list.table(w, all)
		}
	})
	members.Flags().BoolVar(&all, "all", false, "list those that have ended as well")
	root.AddCommand(members,
		asking("state", "What operators told the whole fleet, and whether all have it", "", state),
		asking("versions", "Which gateway acts on which versions, and who is behind",
			"Each gateway knows the versions of the others; the first that answers is enough. With several the newest telling of\n"+
				"each gateway counts.", versions),
		auditCommand(),
		wordCommand("suspend", "Leave a database out"), wordCommand("resume", "Have a database serve again"),
		sayCommand("drain", "GATEWAY", "Empty a gateway of the fleet, told at any of them", func() string { return "/v1/fleet/gateways/" }),
		sayCommand("activate", "GATEWAY", "Have a gateway of the fleet work again", func() string { return "/v1/fleet/gateways/" }))
	return root
}
