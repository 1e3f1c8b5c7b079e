// Command lilacload plays load plans against gateways and reports what their clients saw.
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
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lilacload: "+err.Error())
		os.Exit(1)
	}
}

// flags are those that several commands share.
type flags struct {
	trace       string
	speed, rate float64
	json, plots string
}

func (f *flags) add(c *cobra.Command, out bool) {
	c.Flags().StringVar(&f.trace, "trace", "", "play this trace (CSV or JSON lines) instead of the plan's stages")
	c.Flags().Float64Var(&f.speed, "speed", 1, "play the trace so many times as fast")
	c.Flags().Float64Var(&f.rate, "rate", 1, "play each row of the trace so often; below 1: a share of them")
	if out {
		c.Flags().StringVar(&f.json, "json", "", "write the report to this file as well, for compare and other tools")
		c.Flags().StringVar(&f.plots, "plots", "", "draw PREFIX-latency.png and PREFIX-service.png")
	}
}

// load reads a plan and the arrivals that it or a trace holds.
func (f *flags) load(path string) (*plan.Plan, []plan.Arrival, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	p, err := plan.Parse(path, text)
	if err != nil {
		return nil, nil, err
	}
	if f.trace == "" {
		list, err := plan.Schedule(p)
		return p, list, err
	}
	if text, err = os.ReadFile(f.trace); err != nil {
		return nil, nil, err
	}
	list, err := plan.ParseTrace(p, f.trace, text, f.speed, f.rate)
	return p, list, err
}

// finish writes a report out and tells by its error what the exit status says.
func (f *flags) finish(r *run.Report) error {
	if err := r.WriteText(os.Stdout); err != nil {
		return err
	}
	if f.json != "" {
		text, err := json.MarshalIndent(r, "", " ")
		if err == nil {
			err = os.WriteFile(f.json, append(text, '\n'), 0o644)
		}
		if err != nil {
			return err
		}
	}
	if f.plots != "" {
		if err := r.WritePlots(f.plots); err != nil {
			return err
		}
	}
	return lab.Verdict(r)
}

func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use: "lilacload", Short: "Load for gateways, with honest latencies", SilenceUsage: true, SilenceErrors: true,
		Long: "Plays plans of open-loop load against gateways on this machine. A latency counts from the moment at which its request\n" +
			"was due, so that slow answers do not hide those that waited behind them. docs/load.md has the form of a plan.",
	}
	check := &cobra.Command{
		Use: "check PLAN", Short: "Read a plan and tell what it comes to", Args: cobra.ExactArgs(1),
	}
	var f flags
	f.add(check, false)
	check.RunE = func(c *cobra.Command, args []string) error {
		p, list, err := f.load(args[0])
		if err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "%d arrivals in %v, %d classes, %d stages, %d events\n", len(list), p.Duration(), len(p.Classes), len(p.Stages), len(p.Events))
		return nil
	}
	var rec flags
	record := &cobra.Command{
		Use: "record PLAN FILE", Short: "Write a plan's arrivals as a trace that can be played again", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			p, list, err := rec.load(args[0])
			if err != nil {
				return err
			}
			out, err := os.Create(args[1])
			if err != nil {
				return err
			}
			defer out.Close()
			return plan.WriteTrace(out, p, list)
		},
	}
	rec.add(record, false)
	var rf flags
	var targets []string
	play := &cobra.Command{
		Use: "run PLAN --target 127.0.0.1:5432", Short: "Play a plan against gateways that run already", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, list, err := rf.load(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := interruptible()
			defer cancel()
			recorder := run.NewRecorder(p)
			r := &run.Runner{Plan: p, Arrivals: list, Targets: targets, OnSample: recorder.Add}
			sent, err := r.Play(ctx)
			if err != nil {
				return err
			}
			return rf.finish(recorder.Report(len(list), sent))
		},
	}
	rf.add(play, true)
	play.Flags().StringArrayVar(&targets, "target", nil, "a gateway's address, on loopback; may be given several times")
	_ = play.MarkFlagRequired("target")
	var lf flags
	var gateway, logs, history string
	world := &cobra.Command{
		Use: "lab PLAN", Short: "Start stand-in databases and gateways, play a plan, and check the rules", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, list, err := lf.load(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := interruptible()
			defer cancel()
			l := &lab.Lab{Plan: p, Arrivals: list, Gateway: strings.Fields(gateway)}
			if logs != "" {
				out, err := os.Create(logs)
				if err != nil {
					return err
				}
				defer out.Close()
				l.Log = out
			}
			if history != "" {
				out, err := os.Create(history)
				if err != nil {
					return err
				}
				defer out.Close()
				lines := bufio.NewWriter(out)
				defer lines.Flush()
				l.History = lab.NewHistory(lines)
			}
			r, err := l.Play(ctx)
			if err != nil {
				return err
			}
			return lf.finish(r)
		},
	}
	lf.add(world, true)
	world.Flags().StringVar(&gateway, "gateway", "bin/lilaccove", "the gateway's program")
	world.Flags().StringVar(&logs, "logs", "", "keep what the gateways say in this file")
	world.Flags().StringVar(&history, "history", "", "write what happens, faults and requests, to this file as JSON lines")
	compare := &cobra.Command{
		Use: "compare A.json B.json", Short: "Set two reports of one plan side by side", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var r [2]run.Report
			for i, path := range args {
				text, err := os.ReadFile(path)
				if err == nil {
					err = json.Unmarshal(text, &r[i])
				}
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
			}
			return run.Compare(c.OutOrStdout(), &r[0], &r[1])
		},
	}
	root.AddCommand(check, record, play, world, compare, hollowCommand(), scaleCommand(), calibrateCommand(), datapathCommand(), capacityCommand(), soakCommand())
	return root
}
