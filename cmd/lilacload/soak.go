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

// soakCommand plays troubles that overlap on many real gateways.
func soakCommand() *cobra.Command {
	var opt soak.Options
	var faults, report, logs string
	c := &cobra.Command{
		Use: "soak", Short: "Run many gateways under troubles that overlap in time, drawn from a seed, and judge them", Args: cobra.NoArgs,
		Long: "Starts stand-in databases and gateways, sends load, and draws troubles from the seed that overlap by two or three. Each\n" +
			"request is judged by the gateway that had it. The exit status is not 0 where an invariant was violated, or the machine\n" +
			"starved the run (INVALID). --faults names a YAML file with the troubles that may be drawn: troubles: [kill, partition].",
	}
	f := c.Flags()
	f.IntVar(&opt.Gateways, "gateways", 24, "gateways")
	f.IntVar(&opt.Databases, "databases", 36, "databases, in groups of four")
	f.DurationVar(&opt.Duration, "for", 60*time.Second, "how long load is sent")
	f.Uint64Var(&opt.Seed, "seed", 1, "what all is drawn from; a multiple of three has lists pushed")
	f.IntSliceVar(&opt.OnlyFaults, "only", nil, "play only these of the troubles drawn, to shrink a schedule that fails")
	f.StringVar(&opt.Program, "gateway", "bin/lilaccove", "the gateway's program")
	f.StringVar(&opt.FaultyProgram, "faulty", "", "the gateway's program built with -tags faults; without it no system calls fail")
	f.StringVar(&faults, "faults", "", "the file that names the troubles which may be drawn")
	f.StringVar(&report, "json", "", "write the report to this file as well")
	f.StringVar(&logs, "logs", "", "keep what the gateways say in this file")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := readTroubles(faults, &opt); err != nil {
			return err
		}
		if logs != "" {
			out, err := os.Create(logs)
			if err != nil {
				return err
			}
			defer out.Close()
			opt.Log = out
		}
		ctx, cancel := interruptible()
		defer cancel()
		r, err := soak.Run(ctx, opt)
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return err
		}
		if report != "" {
			if err := os.WriteFile(report, append(text, '\n'), 0o644); err != nil {
				return err
			}
		}
		return tellSoak(c.OutOrStdout(), r, opt)
	}
	return c
}

// readTroubles takes the names of troubles out of a file.
func readTroubles(path string, opt *soak.Options) error {
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
	opt.FaultNames = file.Troubles
	return nil
}

// tellSoak prints what a run came to, and how it is played again if something was violated.
func tellSoak(out io.Writer, r *soak.Report, opt soak.Options) error {
	q := r.Requests
	fmt.Fprintf(out, "seed %d: %d gateways, %d troubles, %d overlaps, %d restarts, ready in %.2f s (p90), %d processes, %d MB\n",
		r.Seed, r.Gateways, len(r.Faults), r.Overlaps, r.Restarts, r.ReadySeconds.P90, r.ProcessesMax, r.MemoryMBMax)
	fmt.Fprintf(out, "requests: %d sent, %d served, %d refused, %d failed, %d unanswered, %d lost, %d crossed a close, %d not sent\n",
		q.Sent, q.Served, q.Refused, q.Failed, q.Unanswered, q.Lost, q.CrossedClose, q.Unsent)
	for name, n := range r.Violations {
		fmt.Fprintf(out, "VIOLATED %s: %d from outside, %d from inside\n", name, n.Outside, n.Inside)
	}
	for _, text := range r.Examples {
		fmt.Fprintln(out, "  "+text)
	}
	err := r.Err()
	if err != nil {
		for _, t := range r.Faults {
			fmt.Fprintf(out, "  %3d %6.2f s %5.2f s %s %v\n", t.Number, t.At.Seconds(), t.Duration.Seconds(), t.Name, t.Gateways)
		}
		fmt.Fprintf(out, "again: lilacload soak --gateways %d --databases %d --for %v --seed %d\nless: add --only with some of the numbers above\n",
			opt.Gateways, opt.Databases, opt.Duration, opt.Seed)
	}
	return err
}
