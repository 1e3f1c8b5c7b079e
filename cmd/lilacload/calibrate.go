package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lilaccove/internal/calibrate"
)

// calibrateCommand measures how closely hollow gateways match real ones.
func calibrateCommand() *cobra.Command {
	options := calibrate.Options{Settle: 8 * time.Second}
	var program, jsonFile, logFile string
	command := &cobra.Command{
		Use: "calibrate --json FILE", Short: "Compare hollow gateways with real ones under the same traffic", Args: cobra.NoArgs,
		Long: "Starts real gateways with stand-in databases and measures the traffic and the cost of their control side, then does the same\n" +
			"with as many hollow gateways. Reports ratios that are off by more than 15%.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			options.GatewayCommand, options.HollowCommand = strings.Fields(program), []string{self, "hollow"}
			if logFile != "" {
				if options.Logs, err = os.Create(logFile); err != nil {
					return err
				}
				defer options.Logs.Close()
			}
			ctx, cancel := interruptContext()
			defer cancel()
			report, err := calibrate.Run(ctx, options)
			if err != nil {
				return err
			}
			report.Command = "lilacload " + strings.Join(os.Args[1:], " ")
			for _, name := range slices.Sorted(maps.Keys(report.Ratio)) {
				fmt.Fprintf(cmd.OutOrStdout(), "%-32s %.3f\n", name, report.Ratio[name])
			}
			for _, difference := range report.Differences {
				fmt.Fprintln(cmd.OutOrStdout(), "differs: "+difference)
			}
			text, err := json.MarshalIndent(report, "", " ")
			if err != nil || jsonFile == "" {
				return err
			}
			return os.WriteFile(jsonFile, append(text, '\n'), 0o644)
		},
	}
	flagSet := command.Flags()
	flagSet.IntVar(&options.Gateways, "gateways", 16, "gateways of each kind")
	flagSet.IntVar(&options.Databases, "databases", 96, "databases, in groups of four")
	flagSet.DurationVar(&options.MeasuredTime, "for", 20*time.Second, "length of the measured time")
	flagSet.Float64Var(&options.Statements, "statements", 200, "statements per second of each gateway; 0: idle")
	flagSet.IntVar(&options.Budget, "budget", 0, "shared budget of connections to each database; 0: no budget")
	flagSet.Uint64Var(&options.Seed, "seed", 1, "seed of the load")
	flagSet.StringVar(&program, "gateway", "bin/lilaccove", "command of the gateway")
	flagSet.StringVar(&jsonFile, "json", "", "write the report to this file")
	flagSet.StringVar(&logFile, "logs", "", "write the log of the real gateways to this file")
	return command
}
