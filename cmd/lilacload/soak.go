package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"lilaccove/internal/soak"
)

// soakCommand runs many real gateways under overlapping faults.
func soakCommand() *cobra.Command {
	var options soak.Options
	var faultsFile, reportFile, logFile string
	command := &cobra.Command{
		Use: "soak", Short: "Run many gateways under overlapping faults drawn from a seed, and check the invariants", Args: cobra.NoArgs,
		Long: "Starts stand-in databases and gateways, sends load, and draws faults from the seed, of which two or three overlap. Each\n" +
			"request is checked against the gateway that had it. The exit status is not 0 if an invariant was violated or the machine\n" +
			"starved the run (INVALID). --faults names a YAML file with the faults that may be drawn: troubles: [kill, partition].",
	}
	flagSet := command.Flags()
	flagSet.IntVar(&options.Gateways, "gateways", 24, "gateways")
	flagSet.IntVar(&options.Databases, "databases", 36, "databases, in groups of four")
	flagSet.DurationVar(&options.Duration, "for", 60*time.Second, "how long load is sent")
	flagSet.Uint64Var(&options.Seed, "seed", 1, "seed of everything that is drawn; with a multiple of three discovery pushes its lists")
	flagSet.IntSliceVar(&options.OnlyFaults, "only", nil, "play only these of the drawn faults, by number, to shrink a failing schedule")
	flagSet.StringVar(&options.Program, "gateway", "bin/lilaccove", "program of the gateway")
	flagSet.StringVar(&options.FaultyProgram, "faulty", "", "program of a gateway built with -tags faults; without it no system calls fail")
	flagSet.StringVar(&faultsFile, "faults", "", "YAML file with the names of the faults that may be drawn")
	flagSet.StringVar(&reportFile, "json", "", "also write the report to this file")
	flagSet.StringVar(&logFile, "logs", "", "write the gateways' log to this file")
	command.RunE = func(c *cobra.Command, _ []string) error {
		if err := readFaultNames(faultsFile, &options); err != nil {
			return err
		}
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
		report, err := soak.Run(ctx, options)
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(report, "", " ")
		if err != nil {
			return err
		}
		if reportFile != "" {
			if err := os.WriteFile(reportFile, append(text, '\n'), 0o644); err != nil {
				return err
			}
		}
		return printSoakResult(c.OutOrStdout(), report, options)
	}
	return command
}

// readFaultNames reads the names of the faults that may be drawn from a file.
func readFaultNames(path string, options *soak.Options) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var file struct{ Troubles []string }
	if err := yaml.Unmarshal(text, &file); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	options.FaultNames = file.Troubles
	return nil
}

// printSoakResult prints the result of a run, and after a violation the command that repeats it.
func printSoakResult(out io.Writer, report *soak.Report, options soak.Options) error {
	requests := report.Requests
	fmt.Fprintf(out, "seed %d: %d gateways, %d faults, %d overlaps, %d restarts (%d killed at the end), ready in %.2f s (p90), %d processes, %d MB\n",
		report.Seed, report.Gateways, len(report.Faults), report.Overlaps, report.Restarts, report.KilledAtEnd, report.ReadySeconds.P90, report.ProcessesMax, report.MemoryMBMax)
	fmt.Fprintf(out, "requests: %d sent, %d served, %d refused, %d failed, %d unanswered, %d lost, %d crossed a close, %d not sent\n",
		requests.Sent, requests.Served, requests.Refused, requests.Failed, requests.Unanswered, requests.Lost, requests.CrossedClose, requests.Unsent)
	for name, n := range report.Violations {
		fmt.Fprintf(out, "VIOLATED %s: %d from outside, %d from inside\n", name, n.Outside, n.Inside)
	}
	for _, text := range report.Examples {
		fmt.Fprintln(out, "  "+text)
	}
	err := report.Err()
	if err != nil {
		for _, fault := range report.Faults {
			fmt.Fprintf(out, "  %3d %6.2f s %5.2f s %s %v\n", fault.Number, fault.At.Seconds(), fault.Duration.Seconds(), fault.Name, fault.Gateways)
		}
		fmt.Fprintf(out, "repeat: lilacload soak --gateways %d --databases %d --for %v --seed %d\nshrink: add --only with some of the numbers above\n",
			options.Gateways, options.Databases, options.Duration, options.Seed)
	}
	return err
}
