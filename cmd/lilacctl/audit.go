package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"lilaccove/internal/auditfile"
	"lilaccove/internal/fleet/audit"
	"lilaccove/internal/peer"
)

// auditOptions are the flags of the audit command.
type auditOptions struct {
	addresses, files  []string
	from, to          string
	database, gateway string
	group             int
	tolerances        audit.Tolerances
	asJSON            bool
	plot              string
	timeout           time.Duration
}

// auditResult is the output of --json.
type auditResult struct {
	Findings    []audit.Finding       `json:"findings"`
	Records     []audit.ChainedRecord `json:"records"`
	Unreachable []string              `json:"silent,omitempty"`
	Notes       []string              `json:"notes,omitempty"`
}

func auditCommand() *cobra.Command {
	o := auditOptions{tolerances: audit.DefaultTolerances()}
	c := &cobra.Command{
		Use: "audit --at 127.0.0.1:7510 --file n0-audit.jsonl", Short: "Show what each gateway did on which versions, and violated rules",
		Long: "Collects audit records from running gateways and files, merges them, verifies their hash chains and reports findings:\n" +
			"writes to two primaries at once, requests to a draining or suspended database, two processes with one name, decisions on\n" +
			"an old list, gaps. Rotated files (FILE.1 and so on) are read as well, incomplete lines are not. Times are those of the\n" +
			"gateways' clocks; findings say where these cannot order events. Exit status 2: there are findings; 3: no answer.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return o.run(c.OutOrStdout(), time.Now()) },
	}
	f := c.Flags()
	f.StringArrayVar(&o.addresses, "at", nil, "a gateway's management address; may be given several times")
	f.StringArrayVar(&o.files, "file", nil, "a gateway's audit file; may be given several times")
	f.StringVar(&o.from, "from", "", "omit records that end before this time: a time like 2026-12-01T23:10:00Z, or 10m for ten minutes ago")
	f.StringVar(&o.to, "to", "", "omit records that begin after this time")
	f.StringVar(&o.database, "database", "", "only findings about this database")
	f.StringVar(&o.gateway, "gateway", "", "only findings about this gateway")
	f.IntVar(&o.group, "group", -1, "only findings about this group")
	f.DurationVar(&o.tolerances.ClockSkew, "slack", o.tolerances.ClockSkew, "tolerated difference between clocks")
	f.DurationVar(&o.tolerances.DrainGrace, "grace", o.tolerances.DrainGrace, "tolerated time of requests to a database after it began to drain")
	f.DurationVar(&o.tolerances.OverrideSpread, "word", o.tolerances.OverrideSpread, "tolerated time for an operator override to reach all gateways")
	f.DurationVar(&o.tolerances.ListSpread, "behind", o.tolerances.ListSpread, "tolerated time for a new list to reach all gateways")
	f.DurationVar(&o.tolerances.Handover, "beside", o.tolerances.Handover, "tolerated time of two processes with one name, as in an upgrade")
	f.BoolVar(&o.asJSON, "json", false, "print findings and records as JSON")
	f.StringVar(&o.plot, "plot", "", "write a plot of the list version that each gateway acted on over time to this file (.png or .svg)")
	f.DurationVar(&o.timeout, "timeout", 2*time.Second, "how long a gateway may take to answer")
	return c
}

// parseTime parses the value of a flag: an RFC 3339 time, or a duration before now. An empty value is 0.
func parseTime(text, flag string, now time.Time) (audit.Timestamp, error) {
	if text == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return audit.TimestampAt(time.Duration(now.Add(-d).UnixNano())), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("--%s %q: a time like 2026-12-01T23:10:00Z is wanted, or 10m for ten minutes ago", flag, text)
	}
	return audit.TimestampAt(time.Duration(t.UnixNano())), nil
}

// run collects the records, analyzes them and prints records and findings.
func (o *auditOptions) run(w io.Writer, now time.Time) error {
	if len(o.addresses)+len(o.files) == 0 {
		return fmt.Errorf("nothing to read: give --at or --file")
	}
	from, err := parseTime(o.from, "from", now)
	if err != nil {
		return err
	}
	to, err := parseTime(o.to, "to", now)
	if err != nil {
		return err
	}
	var result auditResult
	if err := result.collect(o); err != nil {
		return err
	}
	result.Records = slices.DeleteFunc(result.Records, func(record audit.ChainedRecord) bool { return record.To < from || to > 0 && record.From > to })
	result.Findings = append(result.Findings, audit.Analyze(result.Records, o.tolerances)...)
	result.Findings = slices.DeleteFunc(result.Findings, func(f audit.Finding) bool {
		return o.database != "" && !slices.Contains(strings.Fields(f.Database), o.database) || o.gateway != "" && !slices.Contains(f.Gateways, o.gateway) ||
			o.group >= 0 && f.Group != o.group
	})
	if o.plot != "" {
		if err := plotListVersions(o.plot, result.Records); err != nil {
			return err
		}
	}
	if err := printResult(w, o.asJSON, result, func() error { return result.printTable(w) }); err != nil {
		return err
	}
	var findings []string
	if n := len(result.Findings); n > 0 {
		findings = append(findings, fmt.Sprintf("%d findings", n))
	}
	return exitError(result.Unreachable, findings)
}

// collect reads the records of all files and gateways. A line that is not a valid record becomes a finding; an
// unreachable gateway is noted in Unreachable.
func (r *auditResult) collect(o *auditOptions) error {
	add := func(line []byte, where string) {
		record, err := audit.ParseRecord(line)
		if err != nil {
			r.Findings = append(r.Findings, audit.Finding{Kind: audit.BrokenChain, Gateways: []string{record.Gateway}, Group: -1, Text: where + ": " + err.Error()})
			return
		}
		r.Records = append(r.Records, record)
	}
	for _, path := range o.files {
		lines, err := auditfile.Lines(path)
		if err != nil {
			return fmt.Errorf("--file: %w", err)
		}
		for i, line := range lines {
			add(line, fmt.Sprintf("%s, line %d", path, i+1))
		}
	}
	for _, addr := range o.addresses {
		report, err := fetch[peer.AuditReport](addr, "/v1/fleet/audit", o.timeout)
		if err != nil {
			r.Unreachable = append(r.Unreachable, addr+" ("+err.Error()+")")
			continue
		}
		if report.Failure != "" {
			r.Notes = append(r.Notes, fmt.Sprintf("%s cannot write %s: %s; %d records are not in it", report.Name, report.File, report.Failure, report.Lost))
		}
		for i, line := range report.Records {
			add(line, fmt.Sprintf("%s, record %d", report.Name, i+1))
		}
	}
	return nil
}

// clockTime formats the wall time of a timestamp, "-" for none.
func clockTime(s audit.Timestamp) string {
	if s == 0 {
		return "-"
	}
	return time.Unix(0, int64(s.WallTime())).UTC().Format("15:04:05.000")
}

// printTable prints a summary line for each process of a gateway, then notes and findings.
func (r *auditResult) printTable(w io.Writer) error {
	type process struct {
		gateway, session      string
		from, to              audit.Timestamp
		lists                 [2]int64
		records, sent, writes uint64
	}
	var processes []*process
	for _, record := range r.Records {
		i := slices.IndexFunc(processes, func(p *process) bool { return p.gateway == record.Gateway && p.session == record.Session })
		if i < 0 {
			i = len(processes)
			processes = append(processes, &process{gateway: record.Gateway, session: record.Session, from: record.From, lists: [2]int64{record.ListVersion, record.ListVersion}})
		}
		summary := processes[i]
		summary.from, summary.to, summary.records = min(summary.from, record.From), max(summary.to, record.To), summary.records+1
		summary.lists = [2]int64{min(summary.lists[0], record.ListVersion), max(summary.lists[1], record.ListVersion)}
		for _, a := range record.Databases {
			summary.sent, summary.writes = summary.sent+a.Sent, summary.writes+a.Writes
		}
	}
	slices.SortFunc(processes, func(a, b *process) int { return strings.Compare(a.gateway+" "+a.session, b.gateway+" "+b.session) })
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "GATEWAY\tSESSION\tFROM\tTO\tLISTS\tRECORDS\tSENT\tWRITES TAKEN")
	for _, summary := range processes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d..%d\t%d\t%d\t%d\n", summary.gateway, summary.session, clockTime(summary.from), clockTime(summary.to), summary.lists[0], summary.lists[1], summary.records, summary.sent, summary.writes)
	}
	for _, n := range r.Notes {
		fmt.Fprintln(table, n)
	}
	if len(r.Findings) > 0 {
		fmt.Fprintln(table, "\nFINDING\tGATEWAYS\tDATABASE\tFROM\tTO\tWHAT")
	}
	for _, f := range r.Findings {
		database := f.Database
		if database == "" {
			database = "-"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", f.Kind, strings.Join(f.Gateways, ","), database, clockTime(f.From), clockTime(f.To), f.Text)
	}
	return table.Flush()
}
