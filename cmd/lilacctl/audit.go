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

// auditOptions are what the command is asked for.
type auditOptions struct {
	at, files         []string
	from, to          string
	database, gateway string
	group             int
	bounds            audit.Tolerances
	asJSON            bool
	plot              string
	wait              time.Duration
}

// auditResult is what --json prints.
type auditResult struct {
	Findings []audit.Finding       `json:"findings"`
	Records  []audit.ChainedRecord `json:"records"`
	Silent   []string              `json:"silent,omitempty"`
	Notes    []string              `json:"notes,omitempty"`
}

func auditCommand() *cobra.Command {
	o := auditOptions{bounds: audit.DefaultTolerances()}
	c := &cobra.Command{
		Use: "audit --at 127.0.0.1:7510 --file n0-audit.jsonl", Short: "What each gateway did on which versions, and what should not have been",
		Long: "Collects records from live gateways and from their files, merges them, checks their chains and tells findings: two\n" +
			"primaries written to at once, work after a drain or against operators' word, two processes of one name, work on an old\n" +
			"list, gaps. A file is read with its older ones (FILE.1 and so on), whole lines only. Times are of the gateways' clocks;\n" +
			"what those cannot order is told as such. Exit status 2: there are findings; 3: a gateway did not answer.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return o.run(c.OutOrStdout(), time.Now()) },
	}
	f := c.Flags()
	f.StringArrayVar(&o.at, "at", nil, "a gateway's operators' address; may be given several times")
	f.StringArrayVar(&o.files, "file", nil, "a gateway's file of records; may be given several times")
	f.StringVar(&o.from, "from", "", "leave out what was over by then: a time like 2026-12-01T23:10:00Z, or 10m for ten minutes ago")
	f.StringVar(&o.to, "to", "", "leave out what began later")
	f.StringVar(&o.database, "database", "", "findings about this database alone")
	f.StringVar(&o.gateway, "gateway", "", "findings about this gateway alone")
	f.IntVar(&o.group, "group", -1, "findings about this group alone")
	f.DurationVar(&o.bounds.ClockSkew, "slack", o.bounds.ClockSkew, "by which clocks may differ")
	f.DurationVar(&o.bounds.DrainGrace, "grace", o.bounds.DrainGrace, "for work at a database that drains")
	f.DurationVar(&o.bounds.OverrideSpread, "word", o.bounds.OverrideSpread, "for operators' words to reach all gateways")
	f.DurationVar(&o.bounds.ListSpread, "behind", o.bounds.ListSpread, "for a new list to reach all gateways")
	f.DurationVar(&o.bounds.Handover, "beside", o.bounds.Handover, "for two processes of one name: an upgrade")
	f.BoolVar(&o.asJSON, "json", false, "print findings and records as JSON")
	f.StringVar(&o.plot, "plot", "", "draw which gateway acted on which list, over time, to this file (.png or .svg)")
	f.DurationVar(&o.wait, "timeout", 2*time.Second, "how long a gateway may take to answer")
	return c
}

// moment reads a time, or how long ago; empty: none.
func moment(text, flag string, now time.Time) (audit.Timestamp, error) {
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

func (o *auditOptions) run(w io.Writer, now time.Time) error {
	if len(o.at)+len(o.files) == 0 {
		return fmt.Errorf("nothing to read: give --at or --file")
	}
	from, err := moment(o.from, "from", now)
	if err != nil {
		return err
	}
	to, err := moment(o.to, "to", now)
	if err != nil {
		return err
	}
	var r auditResult
	if err := r.collect(o); err != nil {
		return err
	}
	r.Records = slices.DeleteFunc(r.Records, func(x audit.ChainedRecord) bool { return x.To < from || to > 0 && x.From > to })
	r.Findings = append(r.Findings, audit.Analyze(r.Records, o.bounds)...)
	r.Findings = slices.DeleteFunc(r.Findings, func(f audit.Finding) bool {
		return o.database != "" && !slices.Contains(strings.Fields(f.Database), o.database) || o.gateway != "" && !slices.Contains(f.Gateways, o.gateway) ||
			o.group >= 0 && f.Group != o.group
	})
	if o.plot != "" {
		if err := drawLists(o.plot, r.Records); err != nil {
			return err
		}
	}
	if err := show(w, o.asJSON, r, func() error { return r.table(w) }); err != nil {
		return err
	}
	var findings []string
	if n := len(r.Findings); n > 0 {
		findings = append(findings, fmt.Sprintf("%d findings", n))
	}
	return verdict(r.Silent, findings)
}

// collect reads all records. A line that is none is a finding; a gateway that does not answer is a line.
func (r *auditResult) collect(o *auditOptions) error {
	add := func(line []byte, where string) {
		s, err := audit.ParseRecord(line)
		if err != nil {
			r.Findings = append(r.Findings, audit.Finding{Kind: audit.BrokenChain, Gateways: []string{s.Gateway}, Group: -1, Text: where + ": " + err.Error()})
			return
		}
		r.Records = append(r.Records, s)
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
	for _, at := range o.at {
		said, err := fetch[peer.AuditReport](at, "/v1/fleet/audit", o.wait)
		if err != nil {
			r.Silent = append(r.Silent, at+" ("+err.Error()+")")
			continue
		}
		if said.Failure != "" {
			r.Notes = append(r.Notes, fmt.Sprintf("%s cannot write %s: %s; %d records are not in it", said.Name, said.File, said.Failure, said.Lost))
		}
		for i, line := range said.Records {
			add(line, fmt.Sprintf("%s, record %d", said.Name, i+1))
		}
	}
	return nil
}

func clockTime(s audit.Timestamp) string {
	if s == 0 {
		return "-"
	}
	return time.Unix(0, int64(s.WallTime())).UTC().Format("15:04:05.000")
}

// table prints which gateway acted on what, and the findings, in one screen.
func (r *auditResult) table(w io.Writer) error {
	type line struct {
		gateway, session      string
		from, to              audit.Timestamp
		lists                 [2]int64
		records, sent, writes uint64
	}
	var lines []*line
	for _, x := range r.Records {
		i := slices.IndexFunc(lines, func(l *line) bool { return l.gateway == x.Gateway && l.session == x.Session })
		if i < 0 {
			i = len(lines)
			lines = append(lines, &line{gateway: x.Gateway, session: x.Session, from: x.From, lists: [2]int64{x.ListVersion, x.ListVersion}})
		}
		l := lines[i]
		l.from, l.to, l.records = min(l.from, x.From), max(l.to, x.To), l.records+1
		l.lists = [2]int64{min(l.lists[0], x.ListVersion), max(l.lists[1], x.ListVersion)}
		for _, a := range x.Databases {
			l.sent, l.writes = l.sent+a.Sent, l.writes+a.Writes
		}
	}
	slices.SortFunc(lines, func(a, b *line) int { return strings.Compare(a.gateway+" "+a.session, b.gateway+" "+b.session) })
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "GATEWAY\tSESSION\tFROM\tTO\tLISTS\tRECORDS\tSENT\tWRITES TAKEN")
	for _, l := range lines {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d..%d\t%d\t%d\t%d\n", l.gateway, l.session, clockTime(l.from), clockTime(l.to), l.lists[0], l.lists[1], l.records, l.sent, l.writes)
	}
	for _, n := range r.Notes {
		fmt.Fprintln(t, n)
	}
	if len(r.Findings) > 0 {
		fmt.Fprintln(t, "\nFINDING\tGATEWAYS\tDATABASE\tFROM\tTO\tWHAT")
	}
	for _, f := range r.Findings {
		database := f.Database
		if database == "" {
			database = "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", f.Kind, strings.Join(f.Gateways, ","), database, clockTime(f.From), clockTime(f.To), f.Text)
	}
	return t.Flush()
}
