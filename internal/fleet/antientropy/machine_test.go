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

// fleet is some machines with links between them that lose, double, reorder and cut.
type fleet struct {
	rnd    *rand.Rand
	now    time.Duration
	names  []string
	nodes  []*Machine
	wire   []letter
	loss   float64
	double float64
	late   time.Duration
	cut    func(from, to int) bool
	sent   [][]sending // by machine
	heard  func(to int, news []Entry)
}

type letter struct {
	at   time.Duration
	to   int
	body []byte
}

type sending struct {
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
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 5)), now: epoch, sent: make([][]sending, n)}
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
		f.sent[from] = append(f.sent[from], sending{f.now, len(s.Body) + overhead})
		to := slices.Index(f.names, s.To)
		if to < 0 || f.cut != nil && f.cut(from, to) {
			continue
		}
		for range 2 {
			if f.rnd.Float64() >= f.loss {
				f.wire = append(f.wire, letter{f.now + time.Duration(f.rnd.Int64N(int64(f.late)+1)), to, s.Body})
			}
			if f.rnd.Float64() >= f.double {
				break
			}
		}
	}
}

// run lets time go by; feed is called before each stride.
func (f *fleet) run(t require.TestingT, d time.Duration, feed func()) {
	for end := f.now + d; f.now < end; f.now += stride {
		if feed != nil {
			feed()
		}
		due := f.wire
		f.wire = nil
		for _, l := range due {
			if l.at > f.now {
				f.wire = append(f.wire, l)
				continue
			}
			msg, err := Parse(l.body)
			require.NoError(t, err)
			out, news := f.nodes[l.to].Receive(f.now, msg)
			if f.heard != nil {
				f.heard(l.to, news)
			}
			f.send(l.to, out)
		}
		for i, m := range f.nodes {
			f.send(i, m.Tick(f.now))
		}
	}
}

// within checks that no window of any length holds more than the budget and what a second of it brings.
func (f *fleet) within(t require.TestingT, bytes int) {
	for i, list := range f.sent {
		// The budget is never passed if what was sent less what was earned never rises by more than a burst.
		low, sum := 0.0, 0.0
		for _, s := range list {
			earned := float64(bytes) * (s.at - epoch).Seconds()
			low = min(low, sum-earned)
			sum += float64(s.size)
			require.LessOrEqual(t, s.size, maxDatagramBytes)
			require.LessOrEqual(t, sum-earned-low, float64(bytes)+0.001, "machine %d at %v", i, s.at-epoch)
		}
	}
}

// Whatever is learned, lost, asked and asked by many: no window holds more than the budget and its burst.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		bytes := rapid.IntRange(MinBytesPerSecond, 6000).Draw(r, "bytes")
		list := hosts(rapid.IntRange(1, 300).Draw(r, "databases"))
		f := newFleet(rapid.Uint64().Draw(r, "seed"), rapid.IntRange(2, 8).Draw(r, "n"), bytes, list)
		f.loss = rapid.Float64Range(0, 0.5).Draw(r, "loss")
		f.double = rapid.Float64Range(0, 0.5).Draw(r, "double")
		rate := rapid.IntRange(0, 50).Draw(r, "rate")
		flood := rapid.Bool().Draw(r, "flood")
		asked := Message{Kind: Request, From: "n1"}
		for _, h := range list {
			asked.Entries = append(asked.Entries, Entry{Host: h})
		}
		idle := time.Duration(rapid.IntRange(0, 5).Draw(r, "idle")) * time.Second
		f.now += idle // the buckets are full at most
		f.run(r, 6*time.Second, func() {
			for _, m := range f.nodes {
				for range f.rnd.IntN(rate + 1) {
					m.Observe(list[f.rnd.IntN(len(list))], f.now)
				}
			}
			if flood {
				out, _ := f.nodes[0].Receive(f.now, asked)
				f.send(0, out)
			}
		})
		f.within(r, bytes)
	})
}

// Whatever is lost, doubled, late or cut: nothing is known that no database told, and once nothing new comes and links are
// well, each has the greatest.
func TestConvergesToTheGreatest(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n, list := rapid.IntRange(2, 9).Draw(r, "n"), hosts(rapid.IntRange(1, 60).Draw(r, "databases"))
		f := newFleet(rapid.Uint64().Draw(r, "seed"), n, rapid.IntRange(MinBytesPerSecond, 3000).Draw(r, "bytes"), list)
		f.loss = rapid.Float64Range(0, 0.6).Draw(r, "loss")
		f.double = rapid.Float64Range(0, 0.6).Draw(r, "double")
		f.late = time.Duration(rapid.IntRange(0, 900).Draw(r, "late")) * time.Millisecond
		parts := rapid.IntRange(1, 3).Draw(r, "parts")
		f.cut = func(from, to int) bool { return from%parts != to%parts }
		truth := map[string]time.Duration{}
		check := func() {
			for _, m := range f.nodes {
				for _, d := range m.databases {
					require.LessOrEqual(r, d.known, truth[d.host])
				}
			}
		}
		feed := func() {
			check()
			i := f.rnd.IntN(len(list))
			if i%5 == 4 && f.now > epoch+time.Second {
				return // told at the beginning alone
			}
			at := f.now - time.Duration(f.rnd.Int64N(int64(time.Second)))
			truth[list[i]] = max(truth[list[i]], at)
			f.nodes[f.rnd.IntN(n)].Observe(list[i], at)
		}
		f.run(r, 10*time.Second, feed)
		f.cut = nil
		f.run(r, 5*time.Second, feed)
		f.loss, f.double = 0, 0
		f.run(r, 90*time.Second, nil)
		check()
		for _, m := range f.nodes {
			for h, at := range truth {
				require.GreaterOrEqual(r, m.TimeOf(h), at.Truncate(timeResolution), "%s at %s", h, m.cfg.Name)
			}
		}
	})
}

// Lists differ while a change goes round: nothing is kept of a database that the own list does not have, no index of
// another's list is taken for one's own, and what both lists have is told all the same.
func TestListsThatDiffer(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n, list := rapid.IntRange(2, 6).Draw(r, "n"), hosts(rapid.IntRange(3, 40).Draw(r, "databases"))
		f := newFleet(rapid.Uint64().Draw(r, "seed"), n, 2000, list)
		truth, has := map[string]time.Duration{}, make([][]string, n)
		for i, m := range f.nodes {
			for k, h := range list {
				if k%n != i || k == 0 { // all have the first
					has[i] = append(has[i], h)
				}
			}
			m.SetDatabases(has[i])
		}
		f.heard = func(to int, news []Entry) {
			for _, c := range news {
				require.Contains(r, has[to], c.Host)
				require.LessOrEqual(r, c.At, truth[c.Host])
			}
		}
		f.run(r, 8*time.Second, func() {
			i := f.rnd.IntN(n)
			h := has[i][f.rnd.IntN(len(has[i]))]
			at := f.now - time.Duration(f.rnd.Int64N(int64(time.Minute)))
			truth[h] = max(truth[h], at)
			f.nodes[i].Observe(h, at)
			f.nodes[i].Observe("s-999", at)
		})
		f.run(r, 120*time.Second, nil)
		for i, m := range f.nodes {
			for h, at := range truth {
				if slices.Contains(has[i], h) {
					require.GreaterOrEqual(r, m.TimeOf(h), at.Truncate(timeResolution), "%s at %d", h, i)
					require.LessOrEqual(r, m.TimeOf(h), at)
				} else {
					require.Zero(r, m.TimeOf(h))
				}
			}
			require.Zero(r, m.TimeOf("s-999"))
			require.Len(r, m.databases, len(has[i]))
		}
	})
}

// What a gateway sends does not depend on how many others there are.
func TestCostDoesNotGrowWithTheFleet(t *testing.T) {
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
		f.within(t, 1500)
		return float64(sum) / float64(n) / 10
	}
	few := cost(8)
	for _, n := range []int{32, 128, 400} {
		many := cost(n)
		assert.InDelta(t, few, many, 0.15*few, "%d members", n)
	}
}

// One that is asked by many answers as far as its budget goes, and says when it does not; the askers halve what they ask,
// and ask for more again when they are answered.
func TestFlowControl(t *testing.T) {
	f := newFleet(1, 2, 1500, hosts(300))
	a, b := f.nodes[0], f.nodes[1]
	for _, h := range hosts(300) {
		a.Observe(h, f.now)
	}
	ask := Message{Kind: Request, From: "n1", ListDigest: a.listDigest}
	for i := range 300 {
		ask.Entries = append(ask.Entries, Entry{Index: i})
	}
	kinds := map[Kind]int{}
	for range 20 {
		out, _ := a.Receive(f.now, ask)
		for _, s := range out {
			msg, err := Parse(s.Body)
			require.NoError(t, err)
			kinds[msg.Kind]++
			assert.Equal(t, "n1", s.To)
			was := b.Window()
			b.Receive(f.now, msg)
			switch {
			case msg.Kind == Busy:
				assert.Equal(t, max(minWindow, was/2), b.Window())
			case !msg.Truncated:
				assert.Equal(t, was+windowIncrement, b.Window())
			default:
				assert.Equal(t, was, b.Window())
			}
		}
	}
	assert.Positive(t, kinds[Response])
	assert.Positive(t, kinds[Busy])
	assert.Less(t, kinds[Response]+kinds[Busy], 20, "then nothing")
	assert.Positive(t, a.Counts().Refused)
}

// The answer to too small a room has the largest gains.
func TestTheLargestGainGoesFirst(t *testing.T) {
	f := newFleet(1, 2, 1500, hosts(600))
	a := f.nodes[0]
	ask := Message{Kind: Request, From: "n1", ListDigest: a.listDigest}
	for i, h := range hosts(600) {
		a.Observe(h, f.now+time.Duration(i%10)*100*time.Millisecond)
		ask.Entries = append(ask.Entries, Entry{Index: i, At: f.now - time.Minute})
	}
	out, _ := a.Receive(f.now, ask)
	require.Len(t, out, 1)
	msg, err := Parse(out[0].Body)
	require.NoError(t, err)
	assert.True(t, msg.Truncated)
	require.NotEmpty(t, msg.Entries)
	least := msg.Entries[0].At
	for _, c := range msg.Entries {
		least = min(least, c.At)
	}
	told := 0
	for _, c := range msg.Entries {
		if c.At > least {
			told++
		}
	}
	more := 0
	for i := range 600 {
		if a.databases[i].known > least {
			more++
		}
	}
	assert.Equal(t, more, told, "nothing that is newer was left out")
}

func TestWhatIsNotBelieved(t *testing.T) {
	f := newFleet(1, 2, 1500, []string{"s1", "s2"})
	a := f.nodes[0]
	_, news := a.Receive(f.now, Message{Kind: Response, From: "n1", Entries: []Entry{
		{Host: "s1", At: f.now - time.Second}, {Host: "s1", At: f.now - 2*time.Second}, {Host: "s1", At: f.now + time.Hour}, {Host: "s9", At: f.now},
	}})
	assert.Equal(t, []Entry{{Index: 0, Host: "s1", At: f.now - time.Second}}, news)
	k := a.Counts()
	assert.Equal(t, [4]uint64{1, 1, 1, 1}, [4]uint64{k.Received, k.Outdated, k.Future, k.Unknown})
	_, news = a.Receive(f.now, Message{Kind: Response, From: "n1", ListDigest: a.listDigest + 1, Entries: []Entry{{Index: 1, At: f.now}}})
	assert.Empty(t, news, "an index of another list")
	_, news = a.Receive(f.now, Message{Kind: Response, From: "n1", ListDigest: a.listDigest, Entries: []Entry{{Index: 2, At: f.now}}})
	assert.Empty(t, news, "an index past the list")
	out, news := a.Receive(f.now, Message{Kind: Request, From: "n0", Entries: []Entry{{Host: "s1", At: f.now}}})
	assert.Empty(t, append(news, make([]Entry, len(out))...), "from itself")
	a.SetDatabases([]string{"s2"})
	assert.Zero(t, a.TimeOf("s1"))
}

// A replica of which one gateway alone has heard is known to most within seconds, though each asks few.
func TestNewsOfOneGoRound(t *testing.T) {
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
	know := func() (k int) {
		for _, m := range f.nodes {
			if m.TimeOf(list[len(list)-1]) >= at.Truncate(timeResolution) {
				k++
			}
		}
		return k
	}
	f.run(t, 5*time.Second, feed)
	assert.Greater(t, know(), n/2, "after 5 s")
	f.run(t, 10*time.Second, feed)
	assert.Equal(t, n, know(), "after 15 s")
}

func TestNoIndexPastAnyList(t *testing.T) {
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
	f.Fuzz(func(t *testing.T, b []byte) { sound(t, b) })
}

// sound checks what must hold of any bytes: they are refused, or taken in as floors that the own list and clock allow.
func sound(t require.TestingT, b []byte) {
	msg, err := Parse(b)
	if err != nil {
		return
	}
	again, err := Parse(msg.Append(nil))
	require.NoError(t, err)
	require.Equal(t, msg, again)
	m := New(Config{Name: "n1", BytesPerSecond: MinBytesPerSecond, MessageOverhead: overhead, Step: step, Seed: 1}, epoch)
	m.SetMembers([]Member{{Name: "n2"}})
	m.SetDatabases([]string{"s1", "s2"})
	m.Observe("s1", epoch)
	for _, digest := range []uint64{msg.ListDigest, m.listDigest} {
		msg.ListDigest = min(msg.ListDigest, digest)
		out, news := m.Receive(epoch, msg)
		for _, c := range news {
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

// Damaged messages and garbage never panic and never permit.
func TestAnyBytes(t *testing.T) {
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
			sound(r, d[:rapid.IntRange(0, len(d)).Draw(r, "length")])
			sound(r, d)
		}
		sound(r, rapid.SliceOf(rapid.Byte()).Draw(r, "garbage"))
	})
}

// BenchmarkSecond is a second of two gateways' work at 810 databases, 2,041 answers and 1,500 bytes.
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
		f.sent = make([][]sending, 2)
	}
}
