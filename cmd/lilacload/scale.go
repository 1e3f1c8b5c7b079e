package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lilaccove/internal/scale"
)

// scaleCommand runs a fleet of many gateways and measures their cost.
func scaleCommand() *cobra.Command {
	flags := scale.NoFlagValues()
	var jsonFile, plotPrefix, logFile, gateway string
	var check bool
	command := &cobra.Command{
		Use: "scale PLAN", Short: "Run a fleet of many gateways and measure what each costs", Args: cobra.ExactArgs(1),
		Long: "Starts hollow gateways that share processes, some real ones, the list of databases and the network between regions, injects\n" +
			"faults, and reports the bytes, CPU time and memory per gateway. docs/load.md has the format of a plan.",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			for name, negative := range map[string]bool{
				"gateways": flags.Gateways < 0, "databases": flags.Databases < 0, "regions": flags.Regions < 0, "rtt": flags.RTT < 0, "for": flags.Duration < 0, "settle": flags.Settle < 0,
			} {
				if negative {
					return fmt.Errorf("--%s: must not be negative", name)
				}
			}
			plan, err := scale.Parse(args[0], text, flags)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintf(c.OutOrStdout(), "%d gateways (%d real) in %d regions and %d zones, %d databases, %d processes, %v after %v to settle, %d events\n",
					plan.Gateways, plan.RealGateways, len(plan.Regions), len(plan.Zones()), plan.Databases, plan.Processes(), plan.Duration, plan.Settle, len(plan.Events))
				return nil
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			run := &scale.Run{Plan: plan, CommandLine: filepath.Base(os.Args[0]) + " " + strings.Join(os.Args[1:], " "), HollowCommand: []string{self, "hollow"}, GatewayCommand: strings.Fields(gateway)}
			if logFile != "" {
				out, err := os.Create(logFile)
				if err != nil {
					return err
				}
				defer out.Close()
				run.Log = out
			}
			ctx, cancel := interruptContext()
			defer cancel()
			report, err := run.Play(ctx)
			if err != nil {
				return err
			}
			if err := report.WriteText(c.OutOrStdout()); err != nil {
				return err
			}
			if jsonFile != "" {
				if err := report.WriteJSON(jsonFile); err != nil {
					return err
				}
			}
			if plotPrefix != "" {
				if err := report.WritePlots(plotPrefix); err != nil {
					return err
				}
			}
			return report.Verdict()
		},
	}
	flagSet := command.Flags()
	flagSet.IntVar(&flags.Gateways, "gateways", 0, "number of gateways instead of the plan's")
	flagSet.IntVar(&flags.Databases, "databases", 0, "number of databases instead of the plan's")
	flagSet.IntVar(&flags.Regions, "regions", 0, "number of regions over which the plan's zones are divided")
	flagSet.DurationVar(&flags.RTT, "rtt", 0, "round trip between regions instead of the plan's, like 120ms")
	flagSet.Int64Var(&flags.Seed, "seed", -1, "seed instead of the plan's")
	flagSet.DurationVar(&flags.Duration, "for", time.Duration(0), "length of the measured time instead of the plan's, like 30s")
	flagSet.DurationVar(&flags.Settle, "settle", time.Duration(0), "time from the last start to the measured time, instead of the plan's")
	flagSet.IntVar(&flags.RealGateways, "real", -1, "number of gateways that run as real processes, with clients")
	flagSet.Float64Var(&flags.StatementsPerS, "statements", -1, "statements per second in each hollow gateway")
	flagSet.StringSliceVar(&flags.OmittedFleetKeys, "without", nil, "keys to leave out of the plan's fleet mapping, like subsets")
	flagSet.BoolVar(&check, "check", false, "read the plan, print a summary of it and exit")
	flagSet.StringVar(&jsonFile, "json", "", "also write the report to this file")
	flagSet.StringVar(&plotPrefix, "plots", "", "draw PREFIX-bytes.png and PREFIX-lateness.png")
	flagSet.StringVar(&logFile, "logs", "", "write the gateways' log to this file")
	flagSet.StringVar(&gateway, "gateway", "bin/lilaccove", "command of a real gateway")
	return command
}
