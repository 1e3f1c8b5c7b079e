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
	TwoPrimaries = "two-primaries"   // two databases of a group took writes at one time
	AfterDrain   = "after-drain"     // work at a database that was to get none any more
	AfterWord    = "after-word"      // work at a database that operators had the fleet leave out
	TwoProcesses = "two-processes"   // two of one name for longer than an upgrade takes
	Behind       = "behind"          // decisions on a list that had been followed by another for too long
	Broken       = "broken-chain"    // a record is missing or was changed
	Gap          = "gap"             // a time of which a process has no record
	Unordered    = "cannot-be-told"  // what would be a finding if the clocks agreed better
	Incomplete   = "not-all-written" // records or acts that were dropped
)

// Finding is something that should not be.
type Finding struct {
	Kind     string   `json:"kind"`
	Gateways []string `json:"gateways"`
	Database string   `json:"database,omitempty"`
	Group    int      `json:"group"` // -1: it is of none
	From     Stamp    `json:"from"`
	To       Stamp    `json:"to"`
	Text     string   `json:"text"`
}

// Bounds are what is let pass.
type Bounds struct {
	Slack  time.Duration // by which clocks may differ
	Grace  time.Duration // for work at a database that drains, after its drain is known
	Word   time.Duration // for operators' words to reach all
	Behind time.Duration // for a new list to reach all
	Beside time.Duration // for which two processes of one name may run: an upgrade
	Pause  time.Duration // between two records of a process
	Turns  time.Duration // in which the writes of a group come back to a primary that was followed by another, and leave again
}

// DefaultBounds are those of the platform's rules, with room for news to spread.
func DefaultBounds() Bounds {
	return Bounds{
		Slack: 200 * time.Millisecond, Grace: 2 * time.Second, Word: 3 * time.Second, Behind: 5 * time.Second, Beside: 15 * time.Second,
		Pause: time.Second, Turns: 20 * time.Second,
	}
}

// Judge merges records of any gateways, in any order and with repeats, and tells what should not be. Equal records give
// equal findings.
func Judge(records []Sealed, b Bounds) []Finding {
	records = slices.Clone(records)
	slices.SortFunc(records, func(x, y Sealed) int {
		return cmp.Or(strings.Compare(x.Gateway, y.Gateway), strings.Compare(x.Session, y.Session), cmp.Compare(x.Seq, y.Seq), strings.Compare(x.Hash, y.Hash))
	})
	records = slices.CompactFunc(records, func(x, y Sealed) bool { return x.Hash == y.Hash && x.Session == y.Session })
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
func chains(records []Sealed, b Bounds) (out []Finding) {
	note := func(kind string, r Sealed, from Stamp, format string, args ...any) {
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
			note(Broken, r, last.From, "two different records with number %d", r.Seq)
		case r.Seq != last.Seq+1 && r.Lost > last.Lost:
			note(Incomplete, r, last.To, "records %d to %d were never written", last.Seq+1, r.Seq-1)
		case r.Seq != last.Seq+1:
			note(Broken, r, last.To, "records %d to %d are missing", last.Seq+1, r.Seq-1)
		case r.Prev != last.Hash:
			note(Broken, r, last.To, "record %d does not follow from record %d: one was changed", r.Seq, last.Seq)
		case r.From > last.To+StampOf(b.Pause):
			note(Gap, r, last.To, "no record of %v", (r.From.Moment() - last.To.Moment()))
		}
	}
	return out
}

// use is a time in which a gateway did something to a database.
type use struct {
	gateway, database string
	from, to          Stamp
}

// overlap is for how long two times are one by the clocks.
func overlap(a, b use) time.Duration {
	return min(a.to, b.to).Moment() - max(a.from, b.from).Moment()
}

// entwined is by how much one of the two times would have to be moved to lie wholly before or behind the other.
func entwined(a, b use) time.Duration {
	return min(a.to.Moment()-b.from.Moment(), b.to.Moment()-a.from.Moment())
}

// primaries looks for two databases of a group that took writes at one time. Times that overlap by less than the clocks may
// differ are told as such: which write was first cannot be known from them.
func primaries(records []Sealed, b Bounds) (out []Finding) {
	groups := map[int][]use{}
	for _, r := range records {
		for _, a := range r.Acts {
			if a.Accepted > 0 {
				groups[a.Group] = append(groups[a.Group], use{r.Gateway, a.Database, a.Since, a.Until})
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
				if y.from > x.to+StampOf(b.Slack) {
					break
				}
				both := entwined(x, y)
				if x.database == y.database || both < 0 || both == 0 && x.gateway == y.gateway {
					continue
				}
				k := pair{TwoPrimaries, min(x.database, y.database), max(x.database, y.database), group}
				if both <= b.Slack && x.gateway != y.gateway {
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
		f.Text = fmt.Sprintf("%s and %s both took writes for %v", k.a, k.b, f.To.Moment()-f.From.Moment())
		if k.kind == Unordered {
			f.Text += fmt.Sprintf("; clocks may differ by %v, so they may have followed each other", b.Slack)
		}
		out = append(out, *f)
	}
	return out
}

// turns looks for writes that change between databases to and fro: each change may be a hand-over, three within a short
// time are two primaries. Changes that are closer than the clocks may differ do not count. The uses are in the order of time.
func turns(group int, list []use, b Bounds) *Finding {
	var changes []use
	for i := 1; i < len(list); i++ {
		if x, y := list[i-1], list[i]; x.database != y.database && y.from > x.to+StampOf(b.Slack) {
			changes = append(changes, use{x.gateway + " " + y.gateway, x.database + " " + y.database, x.to, y.from})
		}
	}
	for i := 2; i < len(changes); i++ {
		first, last := changes[i-2], changes[i]
		if took := last.to.Moment() - first.from.Moment(); took <= b.Turns {
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
func begins(records []Sealed, i int) bool {
	return i == 0 || records[i-1].Gateway != records[i].Gateway || records[i-1].Session != records[i].Session
}

// mark is a time in which a gateway knew that a database was to get nothing.
type mark struct {
	gateway  string
	from, to Stamp
	told     Stamp  // since when it acted on these words, or on this list
	words    string // which
	list     int64
}

// later tells which words are newer than others: a process goes from words only to words that know all of them, so what
// some process came to from words, at once or by and by, is newer.
type later map[string]map[string]bool

// laterWords takes in what processes went on to.
func laterWords(records []Sealed) later {
	l := later{}
	for i, r := range records {
		if begins(records, i) || records[i-1].Words == r.Words {
			continue
		}
		before := records[i-1].Words
		if l[before] == nil {
			l[before] = map[string]bool{}
		}
		l[before][r.Words] = true
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
func lifted(records []Sealed, of func(Acts) Stamp) map[[2]string][]Stamp {
	out := map[[2]string][]Stamp{}
	held := map[string]bool{}
	for i, r := range records {
		if begins(records, i) {
			held = map[string]bool{}
		}
		holds := map[string]bool{}
		for _, a := range r.Acts {
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
func afterMark(records []Sealed, b Bounds) (out []Finding) {
	newer := laterWords(records)
	for _, c := range []struct {
		kind, what string
		grace      time.Duration
		of         func(Acts) Stamp
	}{
		{AfterDrain, "drains", b.Grace, func(a Acts) Stamp { return a.Drained }},
		{AfterWord, "is left out by operators", b.Word, func(a Acts) Stamp { return a.Out }},
	} {
		marks, lifts := map[string][]mark{}, lifted(records, c.of)
		told := Stamp(0)
		for i, r := range records {
			if begins(records, i) || records[i-1].Words != r.Words || records[i-1].List != r.List {
				told = r.From
			}
			for _, a := range r.Acts {
				if at := c.of(a); at > 0 {
					marks[a.Database] = append(marks[a.Database], mark{r.Gateway, at, r.To, told, r.Words, r.List})
				}
			}
		}
		// Whoever knew all that the mark's gateway knew, and more, or had heard of the mark and then of its end, did not act
		// against it: that gateway was behind.
		knewMore := func(r Sealed, a Acts, m mark) bool {
			if c.of(a) > 0 || m.gateway == r.Gateway {
				return false
			}
			if c.kind == AfterDrain && r.List > m.list || c.kind == AfterWord && newer.than(r.Words, m.words) {
				return true
			}
			return slices.ContainsFunc(lifts[[2]string{r.Gateway, a.Database}], func(at Stamp) bool { return at >= m.told && at <= a.Last })
		}
		type key struct{ gateway, database string }
		found := map[key]*Finding{}
		for _, r := range records {
			for _, a := range r.Acts {
				for _, m := range marks[a.Database] {
					if end := m.from + StampOf(c.grace+b.Slack); a.Sent == 0 || a.Last <= end || a.Last > m.to || knewMore(r, a, m) {
						continue
					}
					k := key{r.Gateway, a.Database}
					f := found[k]
					if f == nil {
						f = &Finding{Kind: c.kind, Gateways: []string{r.Gateway}, Database: a.Database, Group: a.Group, From: m.from}
						found[k] = f
					}
					if f.From = min(f.From, m.from); a.Last > f.To {
						f.To = a.Last
						f.Text = fmt.Sprintf("sent work to %s %v after %s knew that it %s; it acted on list %d, words %s",
							a.Database, a.Last.Moment()-f.From.Moment(), m.gateway, c.what, r.List, r.Words)
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
func processes(records []Sealed, b Bounds) (out []Finding) {
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
			if both := overlap(x.use, y.use); x.gateway == y.gateway && both > b.Beside+b.Slack {
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
func behind(records []Sealed, b Bounds) (out []Finding) {
	first := map[int64]Stamp{} // when a list was first acted on
	for _, r := range records {
		if at, ok := first[r.List]; !ok || r.From < at {
			first[r.List] = r.From
		}
	}
	var lists []int64
	for l := range first {
		lists = append(lists, l)
	}
	slices.Sort(lists)
	found := map[string]*Finding{}
	for _, r := range records {
		i, _ := slices.BinarySearch(lists, r.List+1)
		next := Stamp(0)
		for _, l := range lists[i:] {
			if at := first[l]; next == 0 || at < next {
				next = at
			}
		}
		if sent := lastSent(r); next > 0 && sent > next+StampOf(b.Behind+b.Slack) {
			f := found[r.Gateway]
			if f == nil {
				f = &Finding{Kind: Behind, Gateways: []string{r.Gateway}, Group: -1, From: next}
				found[r.Gateway] = f
			}
			f.To = max(f.To, sent)
			f.Text = fmt.Sprintf("acted on list %d for up to %v after others had a newer one", r.List, sent.Moment()-next.Moment())
		}
	}
	for _, f := range found {
		out = append(out, *f)
	}
	return out
}

func lastSent(r Sealed) (last Stamp) {
	for _, a := range r.Acts {
		last = max(last, a.Last)
	}
	return last
}
