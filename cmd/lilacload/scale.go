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

// scales is the command that runs a fleet of many gateways.
func scaleCommand() *cobra.Command {
	o := scale.NoOverride()
	var json, plots, logs, gateway string
	var check bool
	c := &cobra.Command{
		Use: "scale PLAN", Short: "Run a fleet of many gateways and measure what each costs", Args: cobra.ExactArgs(1),
		Long: "Starts hollow gateways that share processes, real ones beside them, the list of databases and the network between regions,\n" +
			"has faults befall them, and tells bytes, processor time and memory of a gateway. docs/load.md has the form of a plan.",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			for name, bad := range map[string]bool{
				"gateways": o.Gateways < 0, "databases": o.Databases < 0, "regions": o.Regions < 0, "rtt": o.RTT < 0, "for": o.For < 0, "settle": o.Settle < 0,
			} {
				if bad {
					return fmt.Errorf("--%s: below zero", name)
				}
			}
			p, err := scale.Parse(args[0], text, o)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintf(c.OutOrStdout(), "%d gateways (%d real) in %d regions and %d zones, %d databases, %d processes, %v after %v to settle, %d events\n",
					p.Gateways, p.Real, len(p.Regions), len(p.Zones()), p.Databases, p.Processes(), p.For, p.Settle, len(p.Events))
				return nil
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			r := &scale.Run{Plan: p, Command: filepath.Base(os.Args[0]) + " " + strings.Join(os.Args[1:], " "), Hollow: []string{self, "hollow"}, Gateway: strings.Fields(gateway)}
			if logs != "" {
				out, err := os.Create(logs)
				if err != nil {
					return err
				}
				defer out.Close()
				r.Log = out
			}
			ctx, cancel := interruptible()
			defer cancel()
			report, err := r.Play(ctx)
			if err != nil {
				return err
			}
			if err := report.Text(c.OutOrStdout()); err != nil {
				return err
			}
			if json != "" {
				if err := report.JSON(json); err != nil {
					return err
				}
			}
			if plots != "" {
				if err := report.Plots(plots); err != nil {
					return err
				}
			}
			return report.Verdict()
		},
	}
	f := c.Flags()
	f.IntVar(&o.Gateways, "gateways", 0, "so many gateways instead of the plan's")
	f.IntVar(&o.Databases, "databases", 0, "so many databases instead of the plan's")
	f.IntVar(&o.Regions, "regions", 0, "divide the plan's zones over so many regions")
	f.DurationVar(&o.RTT, "rtt", 0, "round trip between regions instead of the plan's, like 120ms")
	f.Int64Var(&o.Seed, "seed", -1, "seed instead of the plan's")
	f.DurationVar(&o.For, "for", time.Duration(0), "measure for so long instead of the plan's time, like 30s")
	f.DurationVar(&o.Settle, "settle", time.Duration(0), "time before it, from the last start, instead of the plan's")
	f.IntVar(&o.Real, "real", -1, "so many of the gateways are processes of their own, with clients")
	f.Float64Var(&o.Statements, "statements", -1, "so many statements a second at each hollow gateway")
	f.BoolVar(&check, "check", false, "read the plan, tell what it comes to and end")
	f.StringVar(&json, "json", "", "write the report to this file as well")
	f.StringVar(&plots, "plots", "", "draw PREFIX-bytes.png and PREFIX-lateness.png")
	f.StringVar(&logs, "logs", "", "keep what the gateways say in this file")
	f.StringVar(&gateway, "gateway", "bin/lilaccove", "the program of a real gateway")
	return c
}
