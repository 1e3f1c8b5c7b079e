package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kinds of findings.
const (
	TwoPrimaries  = "two-primaries"   // two databases of a group accepted writes at the same time
	AfterDrain    = "after-drain"     // work at a database after its drain
	AfterOverride = "after-word"      // work at a database that an operator override suspends
	TwoProcesses  = "two-processes"   // two processes of one gateway for longer than an upgrade takes
	LaggingList   = "behind"          // work based on a list although another gateway had had a newer one for too long
	BrokenChain   = "broken-chain"    // a record is missing or was changed
	Gap           = "gap"             // a period without a record of a process
	Unordered     = "cannot-be-told"  // possibly two primaries, but the clocks do not agree well enough
	Incomplete    = "not-all-written" // records or activities were dropped
)

// Finding is a violation or an irregularity found in the records.
type Finding struct {
	Kind     string    `json:"kind"`
	Gateways []string  `json:"gateways"`
	Database string    `json:"database,omitempty"`
	Group    int       `json:"group"` // -1: none
	From     Timestamp `json:"from"`
	To       Timestamp `json:"to"`
	Text     string    `json:"text"`
}

// Tolerances are the limits below which nothing is reported.
type Tolerances struct {
	ClockSkew      time.Duration // by which clocks may differ
	DrainGrace     time.Duration // for work at a draining database, after its drain is known
	OverrideSpread time.Duration // for operator overrides to reach all gateways
	ListSpread     time.Duration // for a new list to reach all gateways
	Handover       time.Duration // for which two processes of one gateway may run during an upgrade
	RecordGap      time.Duration // between two records of a process
	Alternation    time.Duration // within which the writes of a group return to an earlier primary and leave it again
}

// DefaultTolerances follow the platform's rules, with time for updates to spread.
func DefaultTolerances() Tolerances {
	return Tolerances{
		ClockSkew: 200 * time.Millisecond, DrainGrace: 2 * time.Second, OverrideSpread: 3 * time.Second, ListSpread: 5 * time.Second, Handover: 15 * time.Second,
		RecordGap: time.Second, Alternation: 20 * time.Second,
	}
}

// Analyze merges records of any gateways, in any order and with duplicates, and returns the findings. Equal records give
// equal findings.
func Analyze(records []ChainedRecord, tolerances Tolerances) []Finding {
	records = slices.Clone(records)
	slices.SortFunc(records, func(x, y ChainedRecord) int {
		return cmp.Or(strings.Compare(x.Gateway, y.Gateway), strings.Compare(x.Session, y.Session), cmp.Compare(x.Seq, y.Seq), strings.Compare(x.Hash, y.Hash))
	})
	records = slices.CompactFunc(records, func(x, y ChainedRecord) bool { return x.Hash == y.Hash && x.Session == y.Session })
	var findings []Finding
	findings = append(findings, checkChains(records, tolerances)...)
	findings = append(findings, checkPrimaries(records, tolerances)...)
	findings = append(findings, checkExclusions(records, tolerances)...)
	findings = append(findings, checkProcesses(records, tolerances)...)
	findings = append(findings, checkLists(records, tolerances)...)
	slices.SortFunc(findings, func(x, y Finding) int { // a total order, as some come from maps
		return cmp.Or(cmp.Compare(x.From, y.From), strings.Compare(x.Kind, y.Kind), cmp.Compare(x.Group, y.Group),
			strings.Compare(x.Database, y.Database), slices.Compare(x.Gateways, y.Gateways), strings.Compare(x.Text, y.Text))
	})
	return findings
}

// checkChains checks the records of each process for gaps and changes.
func checkChains(records []ChainedRecord, tolerances Tolerances) (findings []Finding) {
	add := func(kind string, r ChainedRecord, from Timestamp, format string, args ...any) {
		findings = append(findings, Finding{Kind: kind, Gateways: []string{r.Gateway}, Group: -1, From: from, To: r.From, Text: fmt.Sprintf(format, args...)})
	}
	for i, r := range records {
		if r.Dropped > 0 {
			add(Incomplete, r, r.From, "%d activities dropped: too many databases in one span", r.Dropped)
		}
		if startsSession(records, i) {
			continue // earlier records may have been deleted by retention
		}
		previous := records[i-1]
		switch {
		case r.Seq == previous.Seq:
			add(BrokenChain, r, previous.From, "two different records with number %d", r.Seq)
		case r.Seq != previous.Seq+1 && r.Lost > previous.Lost:
			add(Incomplete, r, previous.To, "records %d to %d were never written", previous.Seq+1, r.Seq-1)
		case r.Seq != previous.Seq+1:
			add(BrokenChain, r, previous.To, "records %d to %d are missing", previous.Seq+1, r.Seq-1)
		case r.Prev != previous.Hash:
			add(BrokenChain, r, previous.To, "record %d does not contain the hash of record %d: one was changed", r.Seq, previous.Seq)
		case r.From > previous.To+TimestampAt(tolerances.RecordGap):
			add(Gap, r, previous.To, "no record for %v", (r.From.WallTime() - previous.To.WallTime()))
		}
	}
	return findings
}

// activity is a period in which a gateway did something to a database.
type activity struct {
	gateway, database string
	from, to          Timestamp
}

// overlap returns for how long two periods overlap by the clocks.
func overlap(a, b activity) time.Duration {
	return min(a.to, b.to).WallTime() - max(a.from, b.from).WallTime()
}

// requiredShift returns by how much one of the two periods would have to be shifted to lie wholly before or after the
// other.
func requiredShift(a, b activity) time.Duration {
	return min(a.to.WallTime()-b.from.WallTime(), b.to.WallTime()-a.from.WallTime())
}

// checkPrimaries looks for two databases of a group that accepted writes at the same time. Periods that overlap by less
// than the clock skew are reported as unordered: which write was first cannot be known from them.
func checkPrimaries(records []ChainedRecord, tolerances Tolerances) (findings []Finding) {
	groups := map[int][]activity{}
	for _, r := range records {
		for _, a := range r.Databases {
			if a.Writes > 0 {
				groups[a.Group] = append(groups[a.Group], activity{r.Gateway, a.Database, a.FirstWrite, a.LastWrite})
			}
		}
	}
	type pair struct {
		kind, a, b string
		group      int
	}
	found := map[pair]*Finding{}
	for group, activities := range groups {
		slices.SortFunc(activities, func(x, y activity) int {
			return cmp.Or(cmp.Compare(x.from, y.from), strings.Compare(x.gateway, y.gateway))
		})
		for i, x := range activities {
			for _, y := range activities[i+1:] {
				if y.from > x.to+TimestampAt(tolerances.ClockSkew) {
					break
				}
				shift := requiredShift(x, y)
				if x.database == y.database || shift < 0 || shift == 0 && x.gateway == y.gateway {
					continue
				}
				key := pair{TwoPrimaries, min(x.database, y.database), max(x.database, y.database), group}
				if shift <= tolerances.ClockSkew && x.gateway != y.gateway {
					key.kind = Unordered
				}
				f := found[key]
				if f == nil {
					f = &Finding{Kind: key.kind, Group: group, Database: key.a + " " + key.b, From: max(x.from, y.from)}
					found[key] = f
				}
				f.From, f.To = min(f.From, max(x.from, y.from)), max(f.To, min(x.to, y.to), max(x.from, y.from))
				f.Gateways = append(f.Gateways, x.gateway, y.gateway)
			}
		}
	}
	for group, activities := range groups {
		if f := checkAlternation(group, activities, tolerances); f != nil {
			findings = append(findings, *f)
		}
	}
	for key, f := range found {
		slices.Sort(f.Gateways)
		f.Gateways = slices.Compact(f.Gateways)
		f.Text = fmt.Sprintf("%s and %s both accepted writes for %v", key.a, key.b, f.To.WallTime()-f.From.WallTime())
		if key.kind == Unordered {
			f.Text += fmt.Sprintf("; clocks may differ by %v, so one may have followed the other", tolerances.ClockSkew)
		}
		findings = append(findings, *f)
	}
	return findings
}

// checkAlternation looks for writes that alternate between databases: each change may be a failover, three within a short
// time mean two primaries. Changes closer than the clock skew do not count. The activities are ordered by time.
func checkAlternation(group int, activities []activity, tolerances Tolerances) *Finding {
	var changes []activity
	for i := 1; i < len(activities); i++ {
		if x, y := activities[i-1], activities[i]; x.database != y.database && y.from > x.to+TimestampAt(tolerances.ClockSkew) {
			changes = append(changes, activity{x.gateway + " " + y.gateway, x.database + " " + y.database, x.to, y.from})
		}
	}
	for i := 2; i < len(changes); i++ {
		first, last := changes[i-2], changes[i]
		if duration := last.to.WallTime() - first.from.WallTime(); duration <= tolerances.Alternation {
			sorted := func(text func(activity) string) []string {
				all := strings.Fields(text(first) + " " + text(changes[i-1]) + " " + text(last))
				slices.Sort(all)
				return slices.Compact(all)
			}
			databases := sorted(func(a activity) string { return a.database })
			return &Finding{
				Kind: TwoPrimaries, Gateways: sorted(func(a activity) string { return a.gateway }), Database: strings.Join(databases, " "), Group: group,
				From: first.from, To: last.to, Text: fmt.Sprintf("writes went to %s in turn, three changes in %v", strings.Join(databases, " and "), duration),
			}
		}
	}
	return nil
}

// startsSession reports whether a record is the first there is of its process. Records are sorted by gateway, session and
// number.
func startsSession(records []ChainedRecord, i int) bool {
	return i == 0 || records[i-1].Gateway != records[i].Gateway || records[i-1].Session != records[i].Session
}

// exclusion is a period in which a gateway knew that a database was to get no work.
type exclusion struct {
	gateway    string
	from, to   Timestamp
	knownSince Timestamp // since when it acted on these overrides, or on this list
	overrides  string    // their digest
	list       int64
}

// overrideOrder records which overrides digests directly followed which. A process changes only to overrides that include
// all it had, so what any process reached from a digest, in one step or several, is newer.
type overrideOrder map[string]map[string]bool

// orderOverrides collects the changes of overrides of all processes.
func orderOverrides(records []ChainedRecord) overrideOrder {
	order := overrideOrder{}
	for i, r := range records {
		if startsSession(records, i) || records[i-1].OverridesDigest == r.OverridesDigest {
			continue
		}
		before := records[i-1].OverridesDigest
		if order[before] == nil {
			order[before] = map[string]bool{}
		}
		order[before][r.OverridesDigest] = true
	}
	return order
}

// newer reports whether overrides are newer than others.
func (order overrideOrder) newer(overrides, others string) bool {
	seen, pending := map[string]bool{others: true}, []string{others}
	for ; len(pending) > 0; pending = pending[1:] {
		for digest := range order[pending[0]] {
			if digest == overrides {
				return true
			}
			if !seen[digest] {
				seen[digest] = true
				pending = append(pending, digest)
			}
		}
	}
	return false
}

// exclusionEnds returns when processes learned that a database may get work again, by gateway and database.
func exclusionEnds(records []ChainedRecord, since func(DatabaseActivity) Timestamp) map[[2]string][]Timestamp {
	ends := map[[2]string][]Timestamp{}
	excluded := map[string]bool{}
	for i, r := range records {
		if startsSession(records, i) {
			excluded = map[string]bool{}
		}
		nowExcluded := map[string]bool{}
		for _, a := range r.Databases {
			nowExcluded[a.Database] = since(a) > 0
		}
		for database := range excluded {
			if excluded[database] && !nowExcluded[database] {
				ends[[2]string{r.Gateway, database}] = append(ends[[2]string{r.Gateway, database}], r.From)
			}
		}
		excluded = nowExcluded
	}
	return ends
}

// checkExclusions looks for work at databases that some gateway knew to be draining or suspended for longer than that may
// take to reach all gateways.
func checkExclusions(records []ChainedRecord, tolerances Tolerances) (findings []Finding) {
	order := orderOverrides(records)
	for _, check := range []struct {
		kind, what string
		grace      time.Duration
		since      func(DatabaseActivity) Timestamp
	}{
		{AfterDrain, "drains", tolerances.DrainGrace, func(a DatabaseActivity) Timestamp { return a.DrainingSince }},
		{AfterOverride, "is suspended by operators", tolerances.OverrideSpread, func(a DatabaseActivity) Timestamp { return a.SuspendedSince }},
	} {
		exclusions, ends := map[string][]exclusion{}, exclusionEnds(records, check.since)
		knownSince := Timestamp(0)
		for i, r := range records {
			if startsSession(records, i) || records[i-1].OverridesDigest != r.OverridesDigest || records[i-1].ListVersion != r.ListVersion {
				knownSince = r.From
			}
			for _, a := range r.Databases {
				if at := check.since(a); at > 0 {
					exclusions[a.Database] = append(exclusions[a.Database], exclusion{r.Gateway, at, r.To, knownSince, r.OverridesDigest, r.ListVersion})
				}
			}
		}
		// A gateway that knew all that the gateway of the exclusion knew, and more, or that had learned of the exclusion and then
		// of its end, did not violate it: the gateway of the exclusion was lagging.
		knewMore := func(r ChainedRecord, a DatabaseActivity, e exclusion) bool {
			if check.since(a) > 0 || e.gateway == r.Gateway {
				return false
			}
			if check.kind == AfterDrain && r.ListVersion > e.list || check.kind == AfterOverride && order.newer(r.OverridesDigest, e.overrides) {
				return true
			}
			return slices.ContainsFunc(ends[[2]string{r.Gateway, a.Database}], func(at Timestamp) bool { return at >= e.knownSince && at <= a.LastSent })
		}
		type key struct{ gateway, database string }
		found := map[key]*Finding{}
		for _, r := range records {
			for _, a := range r.Databases {
				for _, e := range exclusions[a.Database] {
					if end := e.from + TimestampAt(check.grace+tolerances.ClockSkew); a.Sent == 0 || a.LastSent <= end || a.LastSent > e.to || knewMore(r, a, e) {
						continue
					}
					id := key{r.Gateway, a.Database}
					f := found[id]
					if f == nil {
						f = &Finding{Kind: check.kind, Gateways: []string{r.Gateway}, Database: a.Database, Group: a.Group, From: e.from}
						found[id] = f
					}
					if f.From = min(f.From, e.from); a.LastSent > f.To {
						f.To = a.LastSent
						f.Text = fmt.Sprintf("sent work to %s %v after %s knew that it %s; it acted on list %d, overrides %s",
							a.Database, a.LastSent.WallTime()-f.From.WallTime(), e.gateway, check.what, r.ListVersion, r.OverridesDigest)
					}
				}
			}
		}
		for _, f := range found {
			findings = append(findings, *f)
		}
	}
	return findings
}

// checkProcesses looks for two processes of one gateway that overlap for too long.
func checkProcesses(records []ChainedRecord, tolerances Tolerances) (findings []Finding) {
	type processSession struct {
		activity
		session string
	}
	var sessions []processSession
	for _, r := range records { // sorted by gateway, session and time
		if n := len(sessions); n > 0 && sessions[n-1].gateway == r.Gateway && sessions[n-1].session == r.Session {
			sessions[n-1].to = max(sessions[n-1].to, r.To)
			continue
		}
		sessions = append(sessions, processSession{activity{gateway: r.Gateway, from: r.From, to: r.To}, r.Session})
	}
	for i, x := range sessions {
		for _, y := range sessions[i+1:] {
			if duration := overlap(x.activity, y.activity); x.gateway == y.gateway && duration > tolerances.Handover+tolerances.ClockSkew {
				findings = append(findings, Finding{
					Kind: TwoProcesses, Gateways: []string{x.gateway}, Group: -1, From: max(x.from, y.from), To: min(x.to, y.to),
					Text: fmt.Sprintf("sessions %s and %s ran at the same time for %v, longer than an upgrade", x.session, y.session, duration),
				})
			}
		}
	}
	return findings
}

// checkLists looks for work based on a list although another gateway had had a newer one for too long.
func checkLists(records []ChainedRecord, tolerances Tolerances) (findings []Finding) {
	first := map[int64]Timestamp{} // when a list was first acted on
	for _, r := range records {
		if at, ok := first[r.ListVersion]; !ok || r.From < at {
			first[r.ListVersion] = r.From
		}
	}
	var lists []int64
	for list := range first {
		lists = append(lists, list)
	}
	slices.Sort(lists)
	found := map[string]*Finding{}
	for _, r := range records {
		i, _ := slices.BinarySearch(lists, r.ListVersion+1)
		next := Timestamp(0)
		for _, list := range lists[i:] {
			if at := first[list]; next == 0 || at < next {
				next = at
			}
		}
		if sent := lastSent(r); next > 0 && sent > next+TimestampAt(tolerances.ListSpread+tolerances.ClockSkew) {
			f := found[r.Gateway]
			if f == nil {
				f = &Finding{Kind: LaggingList, Gateways: []string{r.Gateway}, Group: -1, From: next}
				found[r.Gateway] = f
			}
			f.To = max(f.To, sent)
			f.Text = fmt.Sprintf("acted on list %d for up to %v after others had a newer one", r.ListVersion, sent.WallTime()-next.WallTime())
		}
	}
	for _, f := range found {
		findings = append(findings, *f)
	}
	return findings
}

// lastSent returns the time of the last attempt in a record.
func lastSent(r ChainedRecord) (last Timestamp) {
	for _, a := range r.Databases {
		last = max(last, a.LastSent)
	}
	return last
}
