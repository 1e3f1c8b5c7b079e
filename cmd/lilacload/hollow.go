package main

import (
	"fmt"
	"io"
	"os"
	"runtime/pprof"

	"github.com/spf13/cobra"

	"lilaccove/internal/hollow"
)

// hollowCommand runs many hollow gateways. Other commands start it as a process of theirs.
func hollowCommand() *cobra.Command {
	var logFile, profileFile string
	command := &cobra.Command{
		Use: "hollow", Short: "Run the control sides of many gateways, controlled through stdin", Args: cobra.NoArgs,
		Long: "Runs gateways without clients and connections to databases in one process and generates the databases' answers. The first line\n" +
			"of stdin lists the gateways, each further line is an order; reports go to stdout, one per line. docs/hollow.md has the format.",
		RunE: func(c *cobra.Command, _ []string) error {
			var logWriter io.Writer
			if logFile != "" {
				f, err := os.Create(logFile)
				if err != nil {
					return err
				}
				defer f.Close()
				logWriter = f
			}
			if profileFile != "" {
				f, err := os.Create(profileFile)
				if err == nil {
					defer f.Close()
					err = pprof.StartCPUProfile(f)
				}
				if err != nil {
					return fmt.Errorf("--profile: %w", err)
				}
				defer pprof.StopCPUProfile()
			}
			return hollow.Run(c.InOrStdin(), c.OutOrStdout(), logWriter)
		},
	}
	command.Flags().StringVar(&logFile, "log", "", "write the gateways' log to this `FILE`, each line prefixed with the gateway's name")
	command.Flags().StringVar(&profileFile, "profile", "", "write a CPU profile of the whole run to this `FILE` (for go tool pprof)")
	return command
}
