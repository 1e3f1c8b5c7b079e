package main

import (
	"fmt"
	"io"
	"os"
	"runtime/pprof"

	"github.com/spf13/cobra"

	"lilaccove/internal/hollow"
)

// hollows is the command that other tools start to have many gateways.
func hollowCommand() *cobra.Command {
	var logs, profile string
	c := &cobra.Command{
		Use: "hollow", Short: "Run the control sides of many gateways, as the lines of stdin say", Args: cobra.NoArgs,
		Long: "Runs gateways without clients and connections to databases in one process; what answers would tell is fed in. The first line\n" +
			"of stdin names them, each further one has them do something; reports go to stdout, a line each. docs/hollow.md has the form.",
		RunE: func(c *cobra.Command, _ []string) error {
			var out io.Writer
			if logs != "" {
				f, err := os.Create(logs)
				if err != nil {
					return err
				}
				defer f.Close()
				out = f
			}
			if profile != "" {
				f, err := os.Create(profile)
				if err == nil {
					defer f.Close()
					err = pprof.StartCPUProfile(f)
				}
				if err != nil {
					return fmt.Errorf("--profile: %w", err)
				}
				defer pprof.StopCPUProfile()
			}
			return hollow.Run(c.InOrStdin(), c.OutOrStdout(), out)
		},
	}
	c.Flags().StringVar(&logs, "log", "", "write what the gateways say to this `FILE`, each line behind its gateway's name")
	c.Flags().StringVar(&profile, "profile", "", "write a profile of the processor's use, from start to end, to this `FILE` (go tool pprof reads it)")
	return c
}
