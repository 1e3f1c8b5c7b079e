// Command lilacload runs load plans against gateways and reports the results that clients got.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"lilaccove/internal/lab"
	"lilaccove/internal/load/plan"
	"lilaccove/internal/load/run"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lilacload: "+err.Error())
		os.Exit(1)
	}
}

// planFlags holds the flags that several commands share.
type planFlags struct {
	trace                string
	speed, rate          float64
	jsonFile, plotPrefix string
}

func (f *planFlags) register(command *cobra.Command, withReport bool) {
	command.Flags().StringVar(&f.trace, "trace", "", "play this trace (CSV or JSON lines) instead of the plan's stages")
	command.Flags().Float64Var(&f.speed, "speed", 1, "factor by which the trace is played faster")
	command.Flags().Float64Var(&f.rate, "rate", 1, "how often each row of the trace is played; below 1: the share of rows that are played")
	if withReport {
		command.Flags().StringVar(&f.jsonFile, "json", "", "also write the report to this file, for compare and other tools")
		command.Flags().StringVar(&f.plotPrefix, "plots", "", "draw PREFIX-latency.png and PREFIX-service.png")
	}
}

// load reads a plan and returns it with its arrivals, or with those of the trace if there is one.
func (f *planFlags) load(path string) (*plan.Plan, []plan.Arrival, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	loadPlan, err := plan.Parse(path, text)
	if err != nil {
		return nil, nil, err
	}
	if f.trace == "" {
		arrivals, err := plan.Schedule(loadPlan)
		return loadPlan, arrivals, err
	}
	if text, err = os.ReadFile(f.trace); err != nil {
		return nil, nil, err
	}
	traceArrivals, err := plan.ParseTrace(loadPlan, f.trace, text, f.speed, f.rate)
	return loadPlan, traceArrivals, err
}

// writeReport writes the report. Its error decides the exit status.
func (f *planFlags) writeReport(report *run.Report) error {
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	if f.jsonFile != "" {
		text, err := json.MarshalIndent(report, "", " ")
		if err == nil {
			err = os.WriteFile(f.jsonFile, append(text, '\n'), 0o644)
		}
		if err != nil {
			return err
		}
	}
	if f.plotPrefix != "" {
		if err := report.WritePlots(f.plotPrefix); err != nil {
			return err
		}
	}
	return lab.Verdict(report)
}

func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "lilacload", Short: "Open-loop load for gateways", SilenceUsage: true, SilenceErrors: true,
		Long: "Plays plans of open-loop load against gateways on this machine. A request's latency counts from the time at which it was\n" +
			"due, so that it includes the wait for slower requests before it. docs/load.md has the format of a plan.",
	}
	check := &cobra.Command{
		Use: "check PLAN", Short: "Read a plan and print a summary of it", Args: cobra.ExactArgs(1),
	}
	var checkFlags planFlags
	checkFlags.register(check, false)
	check.RunE = func(c *cobra.Command, args []string) error {
		loadPlan, arrivals, err := checkFlags.load(args[0])
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%d arrivals in %v, %d classes, %d stages, %d events\n", len(arrivals), loadPlan.Duration(), len(loadPlan.Classes), len(loadPlan.Stages), len(loadPlan.Events))
		return nil
	}
	var recordFlags planFlags
	record := &cobra.Command{
		Use: "record PLAN FILE", Short: "Write a plan's arrivals as a trace that can be played again", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			loadPlan, arrivals, err := recordFlags.load(args[0])
			if err != nil {
				return err
			}
			out, err := os.Create(args[1])
			if err != nil {
				return err
			}
			defer out.Close()
			return plan.WriteTrace(out, loadPlan, arrivals)
		},
	}
	recordFlags.register(record, false)
	var runFlags planFlags
	var targets []string
	play := &cobra.Command{
		Use: "run PLAN --target 127.0.0.1:5432", Short: "Play a plan against running gateways", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			loadPlan, arrivals, err := runFlags.load(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := interruptContext()
			defer cancel()
			recorder := run.NewRecorder(loadPlan)
			runner := &run.Runner{Plan: loadPlan, Arrivals: arrivals, Targets: targets, OnSample: recorder.Add}
			sent, err := runner.Play(ctx)
			if err != nil {
				return err
			}
			return runFlags.writeReport(recorder.Report(len(arrivals), sent))
		},
	}
	runFlags.register(play, true)
	play.Flags().StringArrayVar(&targets, "target", nil, "address of a gateway, on loopback; may be given several times")
	_ = play.MarkFlagRequired("target")
	var labFlags planFlags
	var gateway, logFile, historyFile string
	labCommand := &cobra.Command{
		Use: "lab PLAN", Short: "Start stand-in databases and gateways, play a plan, and check the invariants", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			loadPlan, arrivals, err := labFlags.load(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := interruptContext()
			defer cancel()
			l := &lab.Lab{Plan: loadPlan, Arrivals: arrivals, Gateway: strings.Fields(gateway)}
			if logFile != "" {
				out, err := os.Create(logFile)
				if err != nil {
					return err
				}
				defer out.Close()
				l.Log = out
			}
			if historyFile != "" {
				out, err := os.Create(historyFile)
				if err != nil {
					return err
				}
				defer out.Close()
				lines := bufio.NewWriter(out)
				defer lines.Flush()
				l.History = lab.NewHistory(lines)
			}
			report, err := l.Play(ctx)
			if err != nil {
				return err
			}
			return labFlags.writeReport(report)
		},
	}
	labFlags.register(labCommand, true)
	labCommand.Flags().StringVar(&gateway, "gateway", "bin/lilaccove", "command of the gateway")
	labCommand.Flags().StringVar(&logFile, "logs", "", "write the gateways' log to this file")
	labCommand.Flags().StringVar(&historyFile, "history", "", "write all faults and requests to this file as JSON lines")
	compare := &cobra.Command{
		Use: "compare A.json B.json", Short: "Compare two reports of the same plan", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var reports [2]run.Report
			for i, path := range args {
				text, err := os.ReadFile(path)
				if err == nil {
					err = json.Unmarshal(text, &reports[i])
				}
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
			}
			return run.Compare(c.OutOrStdout(), &reports[0], &reports[1])
		},
	}
	root.AddCommand(check, record, play, labCommand, compare, hollowCommand(), scaleCommand(), calibrateCommand(), datapathCommand(), capacityCommand(), soakCommand())
	return root
}
