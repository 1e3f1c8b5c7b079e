package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// The kinds of findings.
const (
	TwoPrimaries  = "two-primaries"   // two databases of a group took writes at one time
	AfterDrain    = "after-drain"     // work at a database that was to get none any more
	AfterOverride = "after-word"      // work at a database that operators had the fleet leave out
	TwoProcesses  = "two-processes"   // two of one name for longer than an upgrade takes
	LaggingList   = "behind"          // decisions on a list that had been followed by another for too long
	BrokenChain   = "broken-chain"    // a record is missing or was changed
	Gap           = "gap"             // a time of which a process has no record
	Unordered     = "cannot-be-told"  // what would be a finding if the clocks agreed better
	Incomplete    = "not-all-written" // records or acts that were dropped
)

// Finding is something that should not be.
type Finding struct {
	Kind     string    `json:"kind"`
	Gateways []string  `json:"gateways"`
	Database string    `json:"database,omitempty"`
	Group    int       `json:"group"` // -1: it is of none
	From     Timestamp `json:"from"`
	To       Timestamp `json:"to"`
	Text     string    `json:"text"`
}

// Tolerances are what is let pass.
type Tolerances struct {
	ClockSkew      time.Duration // by which clocks may differ
	DrainGrace     time.Duration // for work at a database that drains, after its drain is known
	OverrideSpread time.Duration // for operators' words to reach all
	ListSpread     time.Duration // for a new list to reach all
	Handover       time.Duration // for which two processes of one name may run: an upgrade
	RecordGap      time.Duration // between two records of a process
	Alternation    time.Duration // in which the writes of a group come back to a primary that was followed by another, and leave again
}

// DefaultTolerances are those of the platform's rules, with room for news to spread.
func DefaultTolerances() Tolerances {
	return Tolerances{
		ClockSkew: 200 * time.Millisecond, DrainGrace: 2 * time.Second, OverrideSpread: 3 * time.Second, ListSpread: 5 * time.Second, Handover: 15 * time.Second,
		RecordGap: time.Second, Alternation: 20 * time.Second,
	}
}

// Analyze merges records of any gateways, in any order and with repeats, and tells what should not be. Equal records give
// equal findings.
func Analyze(records []ChainedRecord, b Tolerances) []Finding {
	records = slices.Clone(records)
	slices.SortFunc(records, func(x, y ChainedRecord) int {
		return cmp.Or(strings.Compare(x.Gateway, y.Gateway), strings.Compare(x.Session, y.Session), cmp.Compare(x.Seq, y.Seq), strings.Compare(x.Hash, y.Hash))
	})
	records = slices.CompactFunc(records, func(x, y ChainedRecord) bool { return x.Hash == y.Hash && x.Session == y.Session })
	var out []Finding
	out = append(out, chains(records, b)...)
	out = append(out, primaries(records, b)...)
	out = append(out, afterMark(records, b)...)
	out = append(out, processes(records, b)...)
	out = append(out, behind(records, b)...)
	slices.SortFunc(out, func(x, y Finding) int { // wholly: some come out of maps
		return cmp.Or(cmp.Compare(x.From, y.From), strings.Compare(x.Kind, y.Kind), cmp.Compare(x.Group, y.Group),
			strings.Compare(x.Database, y.Database), slices.Compare(x.Gateways, y.Gateways), strings.Compare(x.Text, y.Text))
	})
	return out
}

// chains looks for what is missing in the records of each process.
func chains(records []ChainedRecord, b Tolerances) (out []Finding) {
	note := func(kind string, r ChainedRecord, from Timestamp, format string, args ...any) {
		out = append(out, Finding{Kind: kind, Gateways: []string{r.Gateway}, Group: -1, From: from, To: r.From, Text: fmt.Sprintf(format, args...)})
	}
	for i, r := range records {
		if r.Dropped > 0 {
			note(Incomplete, r, r.From, "%d acts at databases for which there was no room", r.Dropped)
		}
		if begins(records, i) {
			continue // what came before it may have been let go, as is due
		}
		last := records[i-1]
		switch {
		case r.Seq == last.Seq:
			note(BrokenChain, r, last.From, "two different records with number %d", r.Seq)
		case r.Seq != last.Seq+1 && r.Lost > last.Lost:
			note(Incomplete, r, last.To, "records %d to %d were never written", last.Seq+1, r.Seq-1)
		case r.Seq != last.Seq+1:
			note(BrokenChain, r, last.To, "records %d to %d are missing", last.Seq+1, r.Seq-1)
		case r.Prev != last.Hash:
			note(BrokenChain, r, last.To, "record %d does not follow from record %d: one was changed", r.Seq, last.Seq)
		case r.From > last.To+TimestampAt(b.RecordGap):
			note(Gap, r, last.To, "no record of %v", (r.From.WallTime() - last.To.WallTime()))
		}
	}
	return out
}

// use is a time in which a gateway did something to a database.
type use struct {
	gateway, database string
	from, to          Timestamp
}

// overlap is for how long two times are one by the clocks.
func overlap(a, b use) time.Duration {
	return min(a.to, b.to).WallTime() - max(a.from, b.from).WallTime()
}

// entwined is by how much one of the two times would have to be moved to lie wholly before or behind the other.
func entwined(a, b use) time.Duration {
	return min(a.to.WallTime()-b.from.WallTime(), b.to.WallTime()-a.from.WallTime())
}

// primaries looks for two databases of a group that took writes at one time. Times that overlap by less than the clocks may
// differ are told as such: which write was first cannot be known from them.
func primaries(records []ChainedRecord, b Tolerances) (out []Finding) {
	groups := map[int][]use{}
	for _, r := range records {
		for _, a := range r.Databases {
			if a.Writes > 0 {
				groups[a.Group] = append(groups[a.Group], use{r.Gateway, a.Database, a.FirstWrite, a.LastWrite})
			}
		}
	}
	type pair struct {
		kind, a, b string
		group      int
	}
	found := map[pair]*Finding{}
	for group, list := range groups {
		slices.SortFunc(list, func(x, y use) int { return cmp.Or(cmp.Compare(x.from, y.from), strings.Compare(x.gateway, y.gateway)) })
		for i, x := range list {
			for _, y := range list[i+1:] {
				if y.from > x.to+TimestampAt(b.ClockSkew) {
					break
				}
				both := entwined(x, y)
				if x.database == y.database || both < 0 || both == 0 && x.gateway == y.gateway {
					continue
				}
				k := pair{TwoPrimaries, min(x.database, y.database), max(x.database, y.database), group}
				if both <= b.ClockSkew && x.gateway != y.gateway {
					k.kind = Unordered
				}
				f := found[k]
				if f == nil {
					f = &Finding{Kind: k.kind, Group: group, Database: k.a + " " + k.b, From: max(x.from, y.from)}
					found[k] = f
				}
				f.From, f.To = min(f.From, max(x.from, y.from)), max(f.To, min(x.to, y.to), max(x.from, y.from))
				f.Gateways = append(f.Gateways, x.gateway, y.gateway)
			}
		}
	}
	for group, list := range groups {
		if f := turns(group, list, b); f != nil {
			out = append(out, *f)
		}
	}
	for k, f := range found {
		slices.Sort(f.Gateways)
		f.Gateways = slices.Compact(f.Gateways)
		f.Text = fmt.Sprintf("%s and %s both took writes for %v", k.a, k.b, f.To.WallTime()-f.From.WallTime())
		if k.kind == Unordered {
			f.Text += fmt.Sprintf("; clocks may differ by %v, so they may have followed each other", b.ClockSkew)
		}
		out = append(out, *f)
	}
	return out
}

// turns looks for writes that change between databases to and fro: each change may be a hand-over, three within a short
// time are two primaries. Changes that are closer than the clocks may differ do not count. The uses are in the order of time.
func turns(group int, list []use, b Tolerances) *Finding {
	var changes []use
	for i := 1; i < len(list); i++ {
		if x, y := list[i-1], list[i]; x.database != y.database && y.from > x.to+TimestampAt(b.ClockSkew) {
			changes = append(changes, use{x.gateway + " " + y.gateway, x.database + " " + y.database, x.to, y.from})
		}
	}
	for i := 2; i < len(changes); i++ {
		first, last := changes[i-2], changes[i]
		if took := last.to.WallTime() - first.from.WallTime(); took <= b.Alternation {
			sorted := func(text func(use) string) []string {
				all := strings.Fields(text(first) + " " + text(changes[i-1]) + " " + text(last))
				slices.Sort(all)
				return slices.Compact(all)
			}
			databases := sorted(func(u use) string { return u.database })
			return &Finding{
				Kind: TwoPrimaries, Gateways: sorted(func(u use) string { return u.gateway }), Database: strings.Join(databases, " "), Group: group,
				From: first.from, To: last.to, Text: fmt.Sprintf("writes went to %s in turn, three changes in %v", strings.Join(databases, " and "), took),
			}
		}
	}
	return nil
}

// begins tells whether a record is the first there is of its process. Records are sorted by gateway, session and number.
func begins(records []ChainedRecord, i int) bool {
	return i == 0 || records[i-1].Gateway != records[i].Gateway || records[i-1].Session != records[i].Session
}

// mark is a time in which a gateway knew that a database was to get nothing.
type mark struct {
	gateway  string
	from, to Timestamp
	told     Timestamp // since when it acted on these words, or on this list
	words    string    // which
	list     int64
}

// later tells which words are newer than others: a process goes from words only to words that know all of them, so what
// some process came to from words, at once or by and by, is newer.
type later map[string]map[string]bool

// laterWords takes in what processes went on to.
func laterWords(records []ChainedRecord) later {
	l := later{}
	for i, r := range records {
		if begins(records, i) || records[i-1].OverridesDigest == r.OverridesDigest {
			continue
		}
		before := records[i-1].OverridesDigest
		if l[before] == nil {
			l[before] = map[string]bool{}
		}
		l[before][r.OverridesDigest] = true
	}
	return l
}

// than tells whether words are newer than others.
func (l later) than(words, others string) bool {
	seen, next := map[string]bool{others: true}, []string{others}
	for ; len(next) > 0; next = next[1:] {
		for w := range l[next[0]] {
			if w == words {
				return true
			}
			if !seen[w] {
				seen[w] = true
				next = append(next, w)
			}
		}
	}
	return false
}

// lifted are the moments at which processes heard that a database may have work again, by gateway and database.
func lifted(records []ChainedRecord, of func(DatabaseActivity) Timestamp) map[[2]string][]Timestamp {
	out := map[[2]string][]Timestamp{}
	held := map[string]bool{}
	for i, r := range records {
		if begins(records, i) {
			held = map[string]bool{}
		}
		holds := map[string]bool{}
		for _, a := range r.Databases {
			holds[a.Database] = of(a) > 0
		}
		for database := range held {
			if held[database] && !holds[database] {
				out[[2]string{r.Gateway, database}] = append(out[[2]string{r.Gateway, database}], r.From)
			}
		}
		held = holds
	}
	return out
}

// afterMark looks for work at databases that some gateway knew to drain, or to be left out, for longer than that may take
// to reach all.
func afterMark(records []ChainedRecord, b Tolerances) (out []Finding) {
	newer := laterWords(records)
	for _, c := range []struct {
		kind, what string
		grace      time.Duration
		of         func(DatabaseActivity) Timestamp
	}{
		{AfterDrain, "drains", b.DrainGrace, func(a DatabaseActivity) Timestamp { return a.DrainingSince }},
		{AfterOverride, "is left out by operators", b.OverrideSpread, func(a DatabaseActivity) Timestamp { return a.SuspendedSince }},
	} {
		marks, lifts := map[string][]mark{}, lifted(records, c.of)
		told := Timestamp(0)
		for i, r := range records {
			if begins(records, i) || records[i-1].OverridesDigest != r.OverridesDigest || records[i-1].ListVersion != r.ListVersion {
				told = r.From
			}
			for _, a := range r.Databases {
				if at := c.of(a); at > 0 {
					marks[a.Database] = append(marks[a.Database], mark{r.Gateway, at, r.To, told, r.OverridesDigest, r.ListVersion})
				}
			}
		}
		// Whoever knew all that the mark's gateway knew, and more, or had heard of the mark and then of its end, did not act
		// against it: that gateway was behind.
		knewMore := func(r ChainedRecord, a DatabaseActivity, m mark) bool {
			if c.of(a) > 0 || m.gateway == r.Gateway {
				return false
			}
			if c.kind == AfterDrain && r.ListVersion > m.list || c.kind == AfterOverride && newer.than(r.OverridesDigest, m.words) {
				return true
			}
			return slices.ContainsFunc(lifts[[2]string{r.Gateway, a.Database}], func(at Timestamp) bool { return at >= m.told && at <= a.LastSent })
		}
		type key struct{ gateway, database string }
		found := map[key]*Finding{}
		for _, r := range records {
			for _, a := range r.Databases {
				for _, m := range marks[a.Database] {
					if end := m.from + TimestampAt(c.grace+b.ClockSkew); a.Sent == 0 || a.LastSent <= end || a.LastSent > m.to || knewMore(r, a, m) {
						continue
					}
					k := key{r.Gateway, a.Database}
					f := found[k]
					if f == nil {
						f = &Finding{Kind: c.kind, Gateways: []string{r.Gateway}, Database: a.Database, Group: a.Group, From: m.from}
						found[k] = f
					}
					if f.From = min(f.From, m.from); a.LastSent > f.To {
						f.To = a.LastSent
						f.Text = fmt.Sprintf("sent work to %s %v after %s knew that it %s; it acted on list %d, words %s",
							a.Database, a.LastSent.WallTime()-f.From.WallTime(), m.gateway, c.what, r.ListVersion, r.OverridesDigest)
					}
				}
			}
		}
		for _, f := range found {
			out = append(out, *f)
		}
	}
	return out
}

// processes looks for two of one name.
func processes(records []ChainedRecord, b Tolerances) (out []Finding) {
	type life struct {
		use
		session string
	}
	var lives []life
	for _, r := range records { // sorted by gateway, session and time
		if n := len(lives); n > 0 && lives[n-1].gateway == r.Gateway && lives[n-1].session == r.Session {
			lives[n-1].to = max(lives[n-1].to, r.To)
			continue
		}
		lives = append(lives, life{use{gateway: r.Gateway, from: r.From, to: r.To}, r.Session})
	}
	for i, x := range lives {
		for _, y := range lives[i+1:] {
			if both := overlap(x.use, y.use); x.gateway == y.gateway && both > b.Handover+b.ClockSkew {
				out = append(out, Finding{
					Kind: TwoProcesses, Gateways: []string{x.gateway}, Group: -1, From: max(x.from, y.from), To: min(x.to, y.to),
					Text: fmt.Sprintf("sessions %s and %s ran beside each other for %v, longer than an upgrade", x.session, y.session, both),
				})
			}
		}
	}
	return out
}

// behind looks for work on a list that another had followed for too long.
func behind(records []ChainedRecord, b Tolerances) (out []Finding) {
	first := map[int64]Timestamp{} // when a list was first acted on
	for _, r := range records {
		if at, ok := first[r.ListVersion]; !ok || r.From < at {
			first[r.ListVersion] = r.From
		}
	}
	var lists []int64
	for l := range first {
		lists = append(lists, l)
	}
	slices.Sort(lists)
	found := map[string]*Finding{}
	for _, r := range records {
		i, _ := slices.BinarySearch(lists, r.ListVersion+1)
		next := Timestamp(0)
		for _, l := range lists[i:] {
			if at := first[l]; next == 0 || at < next {
				next = at
			}
		}
		if sent := lastSent(r); next > 0 && sent > next+TimestampAt(b.ListSpread+b.ClockSkew) {
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
		out = append(out, *f)
	}
	return out
}

func lastSent(r ChainedRecord) (last Timestamp) {
	for _, a := range r.Databases {
		last = max(last, a.LastSent)
	}
	return last
}
