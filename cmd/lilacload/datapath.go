package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lilaccove/internal/datapath"
)

// fitReports fits the slopes of costs over several reports and prints them.
func fitReports(command *cobra.Command, args []string) error {
	var reports []*datapath.Report
	for _, path := range args {
		text, err := os.ReadFile(path)
		report := &datapath.Report{}
		if err == nil {
			err = json.Unmarshal(text, report)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		reports = append(reports, report)
	}
	for _, line := range datapath.Lines() {
		if err := line.Fit(reports); err != nil {
			return err
		}
		if err := line.Text(command.OutOrStdout()); err != nil {
			return err
		}
	}
	return nil
}

// datapathCommand measures what the data path of one gateway costs.
func datapathCommand() *cobra.Command {
	options := datapath.Options{}
	var gateway, jsonFile, logFile, arrivals string
	command := &cobra.Command{
		Use: "datapath", Short: "Measure what one gateway spends on clients, statements and databases", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			options.HelperCommand = func(role string) []string { return []string{self, "datapath", role} }
			options.Gateway, options.EvenArrivals = strings.Fields(gateway), arrivals == "even"
			if logFile != "" {
				out, err := os.Create(logFile)
				if err != nil {
					return err
				}
				defer out.Close()
				options.Log = out
			}
			ctx, cancel := interruptContext()
			defer cancel()
			report, err := datapath.Run(ctx, options)
			if err != nil {
				return err
			}
			report.Command = "lilacload " + strings.Join(os.Args[1:], " ")
			if err := report.Text(c.OutOrStdout()); err != nil {
				return err
			}
			if jsonFile != "" {
				text, err := json.MarshalIndent(report, "", " ")
				if err == nil {
					err = os.WriteFile(jsonFile, append(text, '\n'), 0o644)
				}
				if err != nil {
					return err
				}
			}
			return datapath.Verdict(report)
		},
	}
	flagSet := command.Flags()
	flagSet.IntVar(&options.Clients, "clients", 5102, "open client connections")
	flagSet.Float64Var(&options.Statements, "statements", 2041, "statements per second of all clients")
	flagSet.IntVar(&options.Databases, "databases", 810, "databases, in one process")
	flagSet.IntVar(&options.GroupsOf, "groups-of", 4, "databases per group; the last group may be smaller")
	flagSet.DurationVar(&options.MeasuredTime, "for", 30*time.Second, "length of the measured time")
	flagSet.DurationVar(&options.Idle, "idle", 4*time.Second, "time in which all clients are connected and send nothing")
	flagSet.DurationVar(&options.WarmUp, "warm", 5*time.Second, "time under load before the measured time")
	flagSet.DurationVar(&options.ReconnectPause, "again", 500*time.Millisecond, "mean pause before a closed client connects again; it connects at once when it has a statement to send")
	flagSet.StringVar(&arrivals, "arrivals", "poisson", "arrivals of each client's statements: poisson or even")
	flagSet.Uint64Var(&options.Seed, "seed", 1, "seed of everything that is drawn")
	flagSet.IntVar(&options.Sockets, "sockets", 0, "the gateway's limits.sockets; 0: so many that clients may have half of them, within this machine's limit for a process")
	flagSet.IntVar(&options.MemoryMB, "memory", 256, "the gateway's limits.memory_mb")
	flagSet.IntVar(&options.AnnouncedGateways, "told", 490, "number of gateways in the fleet according to the settings")
	flagSet.DurationVar(&options.ConnIdle, "conn-idle", 0, "Allowed.ConnIdleUs; 0: as in the lab")
	flagSet.DurationVar(&options.ServiceTime, "service", 5*time.Millisecond, "mean service time of a statement at a database")
	flagSet.DurationVar(&options.MaxLateness, "stall", 100*time.Millisecond, "timer lag of the clients' or databases' process above which the run is invalid")
	flagSet.StringVar(&gateway, "gateway", "bin/lilaccove", "command of the gateway")
	flagSet.StringVar(&jsonFile, "json", "", "also write the report to this file")
	flagSet.StringVar(&logFile, "logs", "", "write the gateway's log to this file")
	command.AddCommand(
		&cobra.Command{Use: "fit A.json B.json ...", Short: "Fit slopes of memory and CPU time over several reports", Args: cobra.MinimumNArgs(2), RunE: fitReports},
		&cobra.Command{Use: "databases", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			return datapath.RunDatabases(os.Stdin, os.Stdout)
		}},
		&cobra.Command{Use: "clients", Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			return datapath.RunClients(os.Stdin, os.Stdout)
		}})
	return command
}
