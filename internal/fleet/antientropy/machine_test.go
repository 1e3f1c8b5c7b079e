package antientropy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	epoch    = 1_800_000_000 * time.Second
	step     = 200 * time.Millisecond
	overhead = 23
	stride   = 50 * time.Millisecond
)

// fleet is a set of machines connected by links that can lose, duplicate, delay and partition messages.
type fleet struct {
	rnd         *rand.Rand
	now         time.Duration
	names       []string
	nodes       []*Machine
	network     []delivery
	loss        float64
	duplicate   float64
	maxDelay    time.Duration
	partitioned func(from, to int) bool
	sent        [][]sentMessage // by machine
	onReceive   func(to int, newer []Entry)
}

// delivery is a message in flight.
type delivery struct {
	at   time.Duration
	to   int
	body []byte
}

// sentMessage is the time and size of a message that was sent.
type sentMessage struct {
	at   time.Duration
	size int
}

func hosts(n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprintf("s-%03d", i))
	}
	return list
}

func newFleet(seed uint64, n, bytes int, list []string) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 5)), now: epoch, sent: make([][]sentMessage, n)}
	var members []Member
	for i := range n {
		members = append(members, Member{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%3)})
		f.names = append(f.names, members[i].Name)
	}
	for i := range n {
		m := New(Config{Name: f.names[i], Zone: members[i].Zone, Seed: f.rnd.Uint64(), BytesPerSecond: bytes, MessageOverhead: overhead, Step: step}, f.now)
		m.SetMembers(members)
		m.SetDatabases(list)
		f.nodes = append(f.nodes, m)
	}
	return f
}

func (f *fleet) send(from int, out []Send) {
	for _, s := range out {
		f.sent[from] = append(f.sent[from], sentMessage{f.now, len(s.Body) + overhead})
		to := slices.Index(f.names, s.To)
		if to < 0 || f.partitioned != nil && f.partitioned(from, to) {
			continue
		}
		for range 2 {
			if f.rnd.Float64() >= f.loss {
				f.network = append(f.network, delivery{f.now + time.Duration(f.rnd.Int64N(int64(f.maxDelay)+1)), to, s.Body})
			}
			if f.rnd.Float64() >= f.duplicate {
				break
			}
		}
	}
}

// run advances the clock; feed is called before each stride.
func (f *fleet) run(t require.TestingT, d time.Duration, feed func()) {
	for end := f.now + d; f.now < end; f.now += stride {
		if feed != nil {
			feed()
		}
		pending := f.network
		f.network = nil
		for _, d := range pending {
			if d.at > f.now {
				f.network = append(f.network, d)
				continue
			}
			msg, err := Parse(d.body)
			require.NoError(t, err)
			out, newer := f.nodes[d.to].Receive(f.now, msg)
			if f.onReceive != nil {
				f.onReceive(d.to, newer)
			}
			f.send(d.to, out)
		}
		for i, m := range f.nodes {
			f.send(i, m.Tick(f.now))
		}
	}
}

// checkBudget checks that in no interval of any length a machine sends more than the budget for it and for one more second.
func (f *fleet) checkBudget(t require.TestingT, bytes int) {
	for i, messages := range f.sent {
		// The budget holds if sent minus earned bytes never rise by more than a burst.
		lowest, total := 0.0, 0.0
		for _, s := range messages {
			earned := float64(bytes) * (s.at - epoch).Seconds()
			lowest = min(lowest, total-earned)
			total += float64(s.size)
			require.LessOrEqual(t, s.size, maxDatagramBytes)
			require.LessOrEqual(t, total-earned-lowest, float64(bytes)+0.001, "machine %d at %v", i, s.at-epoch)
		}
	}
}

// Whatever is learned, lost and requested, also by a flood: no interval has more bytes than the budget and its burst.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		bytes := rapid.IntRange(MinBytesPerSecond, 6000).Draw(r, "bytes")
		list := hosts(rapid.IntRange(1, 300).Draw(r, "databases"))
		f := newFleet(rapid.Uint64().Draw(r, "seed"), rapid.IntRange(2, 8).Draw(r, "n"), bytes, list)
		f.loss = rapid.Float64Range(0, 0.5).Draw(r, "loss")
		f.duplicate = rapid.Float64Range(0, 0.5).Draw(r, "double")
		rate := rapid.IntRange(0, 50).Draw(r, "rate")
		flood := rapid.Bool().Draw(r, "flood")
		request := Message{Kind: Request, From: "n1"}
		for _, h := range list {
			request.Entries = append(request.Entries, Entry{Host: h})
		}
		idle := time.Duration(rapid.IntRange(0, 5).Draw(r, "idle")) * time.Second
		f.now += idle // fills the buckets, which cannot hold more than their capacity
		f.run(r, 6*time.Second, func() {
			for _, m := range f.nodes {
				for range f.rnd.IntN(rate + 1) {
					m.Observe(list[f.rnd.IntN(len(list))], f.now)
				}
			}
			if flood {
				out, _ := f.nodes[0].Receive(f.now, request)
				f.send(0, out)
			}
		})
		f.checkBudget(r, bytes)
	})
}

// Whatever is lost, duplicated, delayed or partitioned: no machine knows a time that no database reported, and once nothing
// new arrives and links work, each has the greatest.
func TestConvergesToGreatest(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n, list := rapid.IntRange(2, 9).Draw(r, "n"), hosts(rapid.IntRange(1, 60).Draw(r, "databases"))
		f := newFleet(rapid.Uint64().Draw(r, "seed"), n, rapid.IntRange(MinBytesPerSecond, 3000).Draw(r, "bytes"), list)
		f.loss = rapid.Float64Range(0, 0.6).Draw(r, "loss")
		f.duplicate = rapid.Float64Range(0, 0.6).Draw(r, "double")
		f.maxDelay = time.Duration(rapid.IntRange(0, 900).Draw(r, "late")) * time.Millisecond
		parts := rapid.IntRange(1, 3).Draw(r, "parts")
		f.partitioned = func(from, to int) bool { return from%parts != to%parts }
		reported := map[string]time.Duration{}
		check := func() {
			for _, m := range f.nodes {
				for _, d := range m.databases {
					require.LessOrEqual(r, d.known, reported[d.host])
				}
			}
		}
		feed := func() {
			check()
			i := f.rnd.IntN(len(list))
			if i%5 == 4 && f.now > epoch+time.Second {
				return // reported only at the beginning
			}
			at := f.now - time.Duration(f.rnd.Int64N(int64(time.Second)))
			reported[list[i]] = max(reported[list[i]], at)
			f.nodes[f.rnd.IntN(n)].Observe(list[i], at)
		}
		f.run(r, 10*time.Second, feed)
		f.partitioned = nil
		f.run(r, 5*time.Second, feed)
		f.loss, f.duplicate = 0, 0
		f.run(r, 90*time.Second, nil)
		check()
		for _, m := range f.nodes {
			for h, at := range reported {
				require.GreaterOrEqual(r, m.TimeOf(h), at.Truncate(timeResolution), "%s at %s", h, m.cfg.Name)
			}
		}
	})
}

// Lists differ while a change spreads: nothing is kept of a database that the own list does not have, no index of another
// list is mistaken for one of the own, and databases in both lists still converge.
func TestDifferingLists(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n, list := rapid.IntRange(2, 6).Draw(r, "n"), hosts(rapid.IntRange(3, 40).Draw(r, "databases"))
		f := newFleet(rapid.Uint64().Draw(r, "seed"), n, 2000, list)
		reported, listed := map[string]time.Duration{}, make([][]string, n)
		for i, m := range f.nodes {
			for k, h := range list {
				if k%n != i || k == 0 { // all have the first
					listed[i] = append(listed[i], h)
				}
			}
			m.SetDatabases(listed[i])
		}
		f.onReceive = func(to int, newer []Entry) {
			for _, c := range newer {
				require.Contains(r, listed[to], c.Host)
				require.LessOrEqual(r, c.At, reported[c.Host])
			}
		}
		f.run(r, 8*time.Second, func() {
			i := f.rnd.IntN(n)
			h := listed[i][f.rnd.IntN(len(listed[i]))]
			at := f.now - time.Duration(f.rnd.Int64N(int64(time.Minute)))
			reported[h] = max(reported[h], at)
			f.nodes[i].Observe(h, at)
			f.nodes[i].Observe("s-999", at)
		})
		f.run(r, 120*time.Second, nil)
		for i, m := range f.nodes {
			for h, at := range reported {
				if slices.Contains(listed[i], h) {
					require.GreaterOrEqual(r, m.TimeOf(h), at.Truncate(timeResolution), "%s at %d", h, i)
					require.LessOrEqual(r, m.TimeOf(h), at)
				} else {
					require.Zero(r, m.TimeOf(h))
				}
			}
			require.Zero(r, m.TimeOf("s-999"))
			require.Len(r, m.databases, len(listed[i]))
		}
	})
}

// How much a gateway sends does not depend on the number of others.
func TestCostIsIndependentOfFleetSize(t *testing.T) {
	cost := func(n int) float64 {
		list := hosts(200)
		f := newFleet(7, n, 1500, list)
		f.run(t, 10*time.Second, func() {
			for _, m := range f.nodes {
				for range 20 {
					m.Observe(list[f.rnd.IntN(len(list))], f.now)
				}
			}
		})
		sum := 0
		for _, s := range f.sent {
			for _, x := range s {
				sum += x.size
			}
		}
		f.checkBudget(t, 1500)
		return float64(sum) / float64(n) / 10
	}
	few := cost(8)
	for _, n := range []int{32, 128, 400} {
		many := cost(n)
		assert.InDelta(t, few, many, 0.15*few, "%d members", n)
	}
}

// A gateway that receives many requests responds within its budget and answers busy when it is spent; requesters halve
// their window then, and widen it again after complete responses.
func TestFlowControl(t *testing.T) {
	f := newFleet(1, 2, 1500, hosts(300))
	a, b := f.nodes[0], f.nodes[1]
	for _, h := range hosts(300) {
		a.Observe(h, f.now)
	}
	request := Message{Kind: Request, From: "n1", ListDigest: a.listDigest}
	for i := range 300 {
		request.Entries = append(request.Entries, Entry{Index: i})
	}
	kinds := map[Kind]int{}
	for range 20 {
		out, _ := a.Receive(f.now, request)
		for _, s := range out {
			msg, err := Parse(s.Body)
			require.NoError(t, err)
			kinds[msg.Kind]++
			assert.Equal(t, "n1", s.To)
			before := b.Window()
			b.Receive(f.now, msg)
			switch {
			case msg.Kind == Busy:
				assert.Equal(t, max(minWindow, before/2), b.Window())
			case !msg.Truncated:
				assert.Equal(t, before+windowIncrement, b.Window())
			default:
				assert.Equal(t, before, b.Window())
			}
		}
	}
	assert.Positive(t, kinds[Response])
	assert.Positive(t, kinds[Busy])
	assert.Less(t, kinds[Response]+kinds[Busy], 20, "no messages after the busy one")
	assert.Positive(t, a.Counts().Refused)
}

// A response that cannot carry everything has the largest gains.
func TestLargestGainGoesFirst(t *testing.T) {
	f := newFleet(1, 2, 1500, hosts(600))
	a := f.nodes[0]
	request := Message{Kind: Request, From: "n1", ListDigest: a.listDigest}
	for i, h := range hosts(600) {
		a.Observe(h, f.now+time.Duration(i%10)*100*time.Millisecond)
		request.Entries = append(request.Entries, Entry{Index: i, At: f.now - time.Minute})
	}
	out, _ := a.Receive(f.now, request)
	require.Len(t, out, 1)
	msg, err := Parse(out[0].Body)
	require.NoError(t, err)
	assert.True(t, msg.Truncated)
	require.NotEmpty(t, msg.Entries)
	oldest := msg.Entries[0].At
	for _, c := range msg.Entries {
		oldest = min(oldest, c.At)
	}
	sent := 0
	for _, c := range msg.Entries {
		if c.At > oldest {
			sent++
		}
	}
	newer := 0
	for i := range 600 {
		if a.databases[i].known > oldest {
			newer++
		}
	}
	assert.Equal(t, newer, sent, "no newer entry was left out")
}

// Older entries, entries ahead of the clock, unlisted databases, indexes of other lists and own messages are rejected.
func TestReceiveRejectsInvalidEntries(t *testing.T) {
	f := newFleet(1, 2, 1500, []string{"s1", "s2"})
	a := f.nodes[0]
	_, newer := a.Receive(f.now, Message{Kind: Response, From: "n1", Entries: []Entry{
		{Host: "s1", At: f.now - time.Second}, {Host: "s1", At: f.now - 2*time.Second}, {Host: "s1", At: f.now + time.Hour}, {Host: "s9", At: f.now},
	}})
	assert.Equal(t, []Entry{{Index: 0, Host: "s1", At: f.now - time.Second}}, newer)
	counts := a.Counts()
	assert.Equal(t, [4]uint64{1, 1, 1, 1}, [4]uint64{counts.Received, counts.Outdated, counts.Future, counts.Unknown})
	_, newer = a.Receive(f.now, Message{Kind: Response, From: "n1", ListDigest: a.listDigest + 1, Entries: []Entry{{Index: 1, At: f.now}}})
	assert.Empty(t, newer, "an index of another list")
	_, newer = a.Receive(f.now, Message{Kind: Response, From: "n1", ListDigest: a.listDigest, Entries: []Entry{{Index: 2, At: f.now}}})
	assert.Empty(t, newer, "an index past the list")
	out, newer := a.Receive(f.now, Message{Kind: Request, From: "n0", Entries: []Entry{{Host: "s1", At: f.now}}})
	assert.Empty(t, append(newer, make([]Entry, len(out))...), "from itself")
	a.SetDatabases([]string{"s2"})
	assert.Zero(t, a.TimeOf("s1"))
}

// A position known to one gateway only reaches most gateways within seconds, though each asks only few others.
func TestEntryOfOneGatewaySpreads(t *testing.T) {
	const n = 200
	list := hosts(400)
	f := newFleet(3, n, 1500, list)
	feed := func() {
		for _, m := range f.nodes {
			for range 50 {
				m.Observe(list[f.rnd.IntN(len(list)-1)], f.now)
			}
		}
	}
	f.run(t, 20*time.Second, feed)
	at := f.now
	f.nodes[17].Observe(list[len(list)-1], at)
	upToDate := func() (k int) {
		for _, m := range f.nodes {
			if m.TimeOf(list[len(list)-1]) >= at.Truncate(timeResolution) {
				k++
			}
		}
		return k
	}
	f.run(t, 5*time.Second, feed)
	assert.Greater(t, upToDate(), n/2, "after 5 s")
	f.run(t, 10*time.Second, feed)
	assert.Equal(t, n, upToDate(), "after 15 s")
}

// An index that no list can have is malformed.
func TestParseRejectsIndexBeyondMaxDatabases(t *testing.T) {
	for _, m := range []Message{
		{Kind: Request, From: "a", ListDigest: 7, WantIndexes: []int{maxDatabases}},
		{Kind: Response, From: "a", ListDigest: 7, Entries: []Entry{{Index: maxDatabases, At: epoch}}},
	} {
		_, err := Parse(m.Append(nil))
		assert.ErrorIs(t, err, errMalformed)
	}
}

func FuzzMessage(f *testing.F) {
	for _, m := range []Message{
		{Kind: Request, From: "a", ListDigest: 7, Floor: epoch, WantIndexes: []int{1, 2, 9}, Entries: []Entry{{Index: 4}, {Index: 5, At: epoch}}},
		{Kind: Request, From: "a", Floor: epoch, WantNames: []string{"s1", "s2"}, Entries: []Entry{{Host: "s1", At: epoch}}},
		{Kind: Response, Truncated: true, From: "a", Entries: []Entry{{Host: "s1", At: epoch}, {Host: "s2", At: epoch - time.Second}}},
		{Kind: Busy, From: "a"}, {Kind: ListMismatch, From: "a", ListDigest: 9},
	} {
		f.Add(m.Append(nil))
	}
	f.Fuzz(func(t *testing.T, b []byte) { checkArbitraryInput(t, b) })
}

// checkArbitraryInput checks the invariants for arbitrary bytes: they are rejected, or applied as times that the own list
// and clock allow.
func checkArbitraryInput(t require.TestingT, b []byte) {
	msg, err := Parse(b)
	if err != nil {
		return
	}
	reparsed, err := Parse(msg.Append(nil))
	require.NoError(t, err)
	require.Equal(t, msg, reparsed)
	m := New(Config{Name: "n1", BytesPerSecond: MinBytesPerSecond, MessageOverhead: overhead, Step: step, Seed: 1}, epoch)
	m.SetMembers([]Member{{Name: "n2"}})
	m.SetDatabases([]string{"s1", "s2"})
	m.Observe("s1", epoch)
	for _, digest := range []uint64{msg.ListDigest, m.listDigest} {
		msg.ListDigest = min(msg.ListDigest, digest)
		out, newer := m.Receive(epoch, msg)
		for _, c := range newer {
			require.Contains(t, []string{"s1", "s2"}, c.Host)
			require.LessOrEqual(t, c.At, epoch+maxFuture)
		}
		require.LessOrEqual(t, len(out), 1)
		for _, s := range out {
			_, err := Parse(s.Body)
			require.NoError(t, err)
		}
	}
	require.Len(t, m.databases, 2)
	for _, s := range m.Tick(epoch + time.Minute) {
		_, err := Parse(s.Body)
		require.NoError(t, err)
	}
}

// Damaged messages and arbitrary bytes never cause a panic or an invalid entry.
func TestArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set := rapid.SliceOfNDistinct(rapid.IntRange(0, 900), 0, 200, rapid.ID).Draw(r, "want")
		slices.Sort(set)
		at := rapid.SliceOfN(rapid.Int64Range(0, int64(epoch/timeResolution)), len(set), len(set)).Draw(r, "at")
		msg := Message{Kind: Request, From: "n2", ListDigest: 7, Floor: epoch, WantIndexes: set}
		if len(set) == 0 {
			msg.WantIndexes = nil
		}
		for k, i := range set {
			msg.Entries = append(msg.Entries, Entry{Index: i, At: time.Duration(at[k]) * timeResolution})
		}
		b := msg.Append(nil)
		got, err := Parse(b)
		require.NoError(r, err)
		require.Equal(r, msg, got, "what was sent is what comes")
		for range 20 {
			d := slices.Clone(b)
			for range rapid.IntRange(1, 4).Draw(r, "flips") {
				d[rapid.IntRange(0, len(d)-1).Draw(r, "place")] = rapid.Byte().Draw(r, "byte")
			}
			checkArbitraryInput(r, d[:rapid.IntRange(0, len(d)).Draw(r, "length")])
			checkArbitraryInput(r, d)
		}
		checkArbitraryInput(r, rapid.SliceOf(rapid.Byte()).Draw(r, "garbage"))
	})
}

// BenchmarkSecond is one second of two gateways' work with 810 databases, 2,040 answers to each and 1,500 bytes of budget.
func BenchmarkSecond(b *testing.B) {
	list := hosts(810)
	f := newFleet(1, 2, 1500, list)
	for b.Loop() {
		for range 20 {
			for range 102 {
				f.nodes[0].Observe(list[f.rnd.IntN(len(list))], f.now)
				f.nodes[1].Observe(list[f.rnd.IntN(len(list))], f.now)
			}
			f.run(b, stride, nil)
		}
		f.sent = make([][]sentMessage, 2)
	}
}
