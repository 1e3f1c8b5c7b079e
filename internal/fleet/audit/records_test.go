package audit

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const day = 1_800_000_000 * time.Second

// process is one gateway whose records are judged.
type process struct {
	*Recorder
	lines  [][]byte
	others []*process // whose records go with its own
}

func newProcess(name string, session uint64) *process {
	p := &process{Recorder: NewRecorder(name, session)}
	p.Set(day, Version{ListVersion: 1})
	return p
}

// until has a process go on to a moment, with a span every five seconds.
func (p *process) until(from, to time.Duration) *process {
	for ; from <= to; from += time.Second {
		p.Tick(day + from)
	}
	p.Flush(day + to)
	return p
}

func opened(t require.TestingT, all ...*process) (list []ChainedRecord) {
	for _, p := range all {
		list = append(list, opened(t, p.others...)...)
		p.lines = append(p.lines, p.Take()...)
		for _, l := range p.lines {
			s, err := ParseRecord(l)
			require.NoError(t, err)
			list = append(list, s)
		}
	}
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func kinds(list []Finding) (out []string) {
	for _, f := range list {
		out = append(out, f.Kind)
	}
	return out
}

// What a process does is told by span, and a quiet fleet has no findings.
func TestRecords(t *testing.T) {
	p := newProcess("n0", 7)
	p.Sent(day+time.Second, "a", 2)
	p.Sent(day+2*time.Second, "a", 2)
	p.WriteAccepted(day+2*time.Second, "a", 2)
	p.Set(day+3*time.Second, Version{ListVersion: 1, Count: 9}) // only its count: the span goes on
	p.Set(day+3*time.Second, Version{ListVersion: 2, OverridesDigest: 255})
	p.BreakerOpened("a", 2)
	p.SetDraining(day+4*time.Second, "b", 2, true)
	p.SetDraining(day+4*time.Second, "b", 2, true)
	p.until(4*time.Second, 12*time.Second)
	list := opened(t, p)
	require.Empty(t, Analyze(list, DefaultTolerances()))
	byNumber := map[uint64]ChainedRecord{}
	for _, r := range list {
		byNumber[r.Seq] = r
	}
	require.Len(t, byNumber, 4)
	assert.Equal(t, []DatabaseActivity{{Database: "a", Group: 2, Sent: 2, FirstSent: TimestampAt(day + time.Second), LastSent: TimestampAt(day + 2*time.Second), Writes: 1,
		FirstWrite: TimestampAt(day + 2*time.Second), LastWrite: TimestampAt(day + 2*time.Second)}}, byNumber[1].Databases)
	assert.Equal(t, []any{int64(2), "ff", "7"}, []any{byNumber[2].ListVersion, byNumber[2].OverridesDigest, byNumber[2].Session})
	assert.Equal(t, uint64(1), byNumber[2].Databases[0].BreakerOpened)
	assert.Equal(t, TimestampAt(day+4*time.Second), byNumber[3].Databases[0].DrainingSince&^0xffff)
	assert.Equal(t, byNumber[3].Databases[0].DrainingSince, byNumber[4].Databases[0].DrainingSince, "it holds until it is taken back")
	assert.Equal(t, byNumber[3].Hash, byNumber[4].Prev)
	assert.Len(t, p.Recent(), 4)
}

// Whatever byte of a line is changed, and whichever line is left out, it shows.
func TestChainsShowWhatIsChanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProcess("n0", 7)
		n := rapid.IntRange(3, 12).Draw(t, "records")
		for i := range n {
			p.Sent(day+time.Duration(i)*6*time.Second, fmt.Sprint("d", i%3), 1)
			p.Tick(day + time.Duration(i+1)*6*time.Second)
		}
		lines := p.Take()
		require.Len(t, lines, n)
		which := rapid.IntRange(0, n-1).Draw(t, "which")
		if rapid.Bool().Draw(t, "leave one out") {
			which = rapid.IntRange(1, n-2).Draw(t, "inner")
			p.lines = append(append(p.lines, lines[:which]...), lines[which+1:]...)
			assert.Equal(t, []string{BrokenChain}, kinds(Analyze(opened(t, p), DefaultTolerances())))
			return
		}
		line := bytes.Clone(lines[which])
		at := rapid.IntRange(0, len(line)-1).Draw(t, "at")
		line[at] ^= byte(1 << rapid.IntRange(0, 6).Draw(t, "bit"))
		if s, err := ParseRecord(line); err == nil { // the names of the two fields may change their case
			assert.True(t, bytes.EqualFold(line, lines[which]), "%s", line)
			old, _ := ParseRecord(lines[which])
			assert.Equal(t, old, s)
		}
	})
	// A record that was changed and sealed anew does not fit the one behind it.
	p := newProcess("n0", 7)
	p.until(0, 20*time.Second)
	lines := p.Take()
	r, err := ParseRecord(lines[1])
	require.NoError(t, err)
	r.ListVersion = 99
	lines[1], _ = seal(r.Record)
	p.lines = lines
	assert.Contains(t, kinds(Analyze(opened(t, p), DefaultTolerances())), BrokenChain)
}

func TestFindings(t *testing.T) {
	sec := func(n float64) time.Duration { return day + time.Duration(n*float64(time.Second)) }
	cases := map[string]struct {
		play func(a, b *process)
		want []string
	}{
		"a hand-over": {func(a, b *process) {
			a.WriteAccepted(sec(1), "x", 1)
			b.WriteAccepted(sec(2), "x", 1)
			a.WriteAccepted(sec(3), "y", 1)
			b.WriteAccepted(sec(4), "y", 1)
		}, nil},
		"two primaries": {func(a, b *process) {
			a.WriteAccepted(sec(1), "x", 1)
			b.WriteAccepted(sec(2), "y", 1)
			a.WriteAccepted(sec(3), "x", 1)
			b.WriteAccepted(sec(4), "y", 1)
		}, []string{TwoPrimaries}},
		"two primaries of one gateway": {func(a, _ *process) {
			a.WriteAccepted(sec(1), "x", 1)
			a.WriteAccepted(sec(2), "y", 1)
			a.WriteAccepted(sec(3), "x", 1)
		}, []string{TwoPrimaries}},
		"to and fro": {func(a, b *process) {
			for i := range 4 {
				p, db := a, "x"
				if i%2 == 1 {
					p, db = b, "y"
				}
				p.WriteAccepted(sec(float64(i+1)), db, 1)
				p.Flush(sec(float64(i) + 1.3))
			}
		}, []string{TwoPrimaries}},
		"there and back": {func(a, b *process) {
			a.WriteAccepted(sec(1), "x", 1)
			a.Flush(sec(1.5))
			b.WriteAccepted(sec(2), "y", 1)
			b.Flush(sec(2.5))
			a.WriteAccepted(sec(3), "x", 1)
		}, nil},
		"primaries of two groups": {func(a, b *process) {
			a.WriteAccepted(sec(1), "x", 1)
			b.WriteAccepted(sec(2), "y", 2)
			a.WriteAccepted(sec(3), "x", 1)
		}, nil},
		"closer than the clocks": {func(a, b *process) {
			a.WriteAccepted(sec(1), "x", 1)
			a.WriteAccepted(sec(2.1), "x", 1)
			b.WriteAccepted(sec(2), "y", 1)
			b.WriteAccepted(sec(4), "y", 1)
		}, []string{Unordered}},
		"work behind a drain": {func(a, b *process) {
			a.SetDraining(sec(1), "x", 1, true)
			b.Sent(sec(2.5), "x", 1)
			b.Flush(sec(2.6))
			b.Sent(sec(4), "x", 1)
		}, []string{AfterDrain}},
		"work within the grace": {func(a, b *process) {
			a.SetDraining(sec(1), "x", 1, true)
			b.Sent(sec(2.9), "x", 1)
		}, nil},
		"work when it is back": {func(a, b *process) {
			a.SetDraining(sec(1), "x", 1, true)
			a.SetDraining(sec(3), "x", 1, false)
			b.Sent(sec(4), "x", 1)
		}, nil},
		"work against a word": {func(a, b *process) {
			a.SetSuspended(sec(1), "x", 1, true)
			b.Sent(sec(5), "x", 1)
		}, []string{AfterOverride}},
		"work against a word that it had heard the end of, but not the one who stood still": {func(a, b *process) {
			a.Set(sec(1), Version{ListVersion: 1, OverridesDigest: 7})
			a.SetSuspended(sec(1), "x", 1, true)
			b.Set(sec(1), Version{ListVersion: 1, OverridesDigest: 8}) // with another word besides
			b.SetSuspended(sec(1), "x", 1, true)
			b.Set(sec(4), Version{ListVersion: 1, OverridesDigest: 9})
			b.SetSuspended(sec(4), "x", 1, false)
			b.Sent(sec(6), "x", 1)
		}, nil},
		"work on words that are newer, by a process that never had the old ones": {func(a, b *process) {
			a.Set(sec(1), Version{ListVersion: 1, OverridesDigest: 7})
			a.SetSuspended(sec(1), "x", 1, true)
			c := newProcess("n2", 3)
			c.Set(sec(1), Version{ListVersion: 1, OverridesDigest: 7})
			c.Set(sec(2), Version{ListVersion: 1, OverridesDigest: 8})
			c.Set(sec(3), Version{ListVersion: 1, OverridesDigest: 9})
			c.until(8*time.Second, 9*time.Second)
			b.others = append(b.others, c)
			b.Set(sec(3), Version{ListVersion: 1, OverridesDigest: 9})
			b.Sent(sec(6), "x", 1)
		}, nil},
		"work against a second word, behind the end of the first": {func(a, b *process) {
			b.Set(sec(0.5), Version{ListVersion: 1, OverridesDigest: 7})
			b.SetSuspended(sec(0.5), "x", 1, true)
			b.Set(sec(1), Version{ListVersion: 1, OverridesDigest: 8})
			b.SetSuspended(sec(1), "x", 1, false)
			a.Set(sec(0.5), Version{ListVersion: 1, OverridesDigest: 7})
			a.SetSuspended(sec(0.5), "x", 1, true)
			a.Set(sec(2), Version{ListVersion: 1, OverridesDigest: 9}) // end and second word came at once
			b.Sent(sec(7), "x", 1)
		}, []string{AfterOverride}},
		"work that a newer list allows": {func(a, b *process) {
			a.SetDraining(sec(1), "x", 1, true)
			b.Set(sec(2), Version{ListVersion: 2})
			b.Sent(sec(6), "x", 1)
		}, nil},
		"an old list": {func(a, b *process) {
			a.Set(sec(1), Version{ListVersion: 2})
			b.Sent(sec(7), "x", 1)
		}, []string{LaggingList}},
		"an old list with nothing sent": {func(a, _ *process) { a.Set(sec(1), Version{ListVersion: 2}) }, nil},
	}
	for name, c := range cases {
		a, b := newProcess("n0", 1), newProcess("n1", 2)
		c.play(a, b)
		a.until(8*time.Second, 9*time.Second)
		b.until(8*time.Second, 9*time.Second)
		assert.Equal(t, c.want, kinds(Analyze(opened(t, a, b), DefaultTolerances())), name)
	}
}

// Two processes of one name are a finding only for longer than an upgrade; a process that kept no record for a while is one.
func TestFindingsOfProcesses(t *testing.T) {
	old, next := newProcess("n0", 1), newProcess("n0", 2)
	old.until(0, 10*time.Second)
	next.until(0, 60*time.Second)
	assert.Empty(t, Analyze(opened(t, old, next), DefaultTolerances()))
	old.until(11*time.Second, 30*time.Second)
	assert.Equal(t, []string{TwoProcesses}, kinds(Analyze(opened(t, old, next), DefaultTolerances())))

	p := newProcess("n1", 3)
	p.until(0, 6*time.Second)
	lines := p.Take()
	p.from = p.clock.Now(day + 30*time.Second)
	p.until(30*time.Second, 40*time.Second)
	p.lines = lines
	assert.Equal(t, []string{Gap}, kinds(Analyze(opened(t, p), DefaultTolerances())))
}

// A message that carries a stamp orders what follows behind what came before, though the receiver's clock is late; a clock
// that is far ahead is not followed.
func TestClock(t *testing.T) {
	a, b := HybridClock{}, HybridClock{}
	sent := a.Now(day + 300*time.Millisecond)
	b.Observe(day, sent)
	assert.Greater(t, b.Now(day), sent)
	far := TimestampAt(day + time.Hour)
	b.Observe(day, far)
	assert.Less(t, b.Now(day), far)
	assert.Equal(t, uint64(1), b.Rejected)
	var back Timestamp
	require.NoError(t, back.UnmarshalText([]byte(sent.String())))
	assert.Equal(t, sent, back)
	for _, bad := range []string{"", "1", "1.", "a.1", "1.70000", "-1.0"} {
		assert.Error(t, back.UnmarshalText([]byte(bad)), bad)
	}
}

// Memory is bounded, and what found no room is told.
func TestRecorderIsBounded(t *testing.T) {
	p := newProcess("n0", 7)
	for i := range maxDatabases + 10 {
		p.Sent(day, fmt.Sprint(i), 1)
	}
	p.until(0, 10*time.Minute*3)
	assert.LessOrEqual(t, len(p.Recent()), maxRecent)
	assert.Contains(t, kinds(Analyze(opened(t, p), DefaultTolerances())), Incomplete)

	// What drained and left the list is not told of for ever.
	p = newProcess("n0", 7)
	p.SetDraining(day, "stays", 1, true)
	p.SetDraining(day, "leaves", 1, true)
	listed := func(database string) bool { return database == "stays" }
	p.DropUnlisted(day+time.Second, listed)
	assert.Len(t, p.draining, 2, "not while work might still go there")
	p.DropUnlisted(day+2*drainRetention, listed)
	assert.Len(t, p.draining, 1)
	p.until(0, 2*drainRetention+10*time.Second)
	last, err := ParseRecord(p.Recent()[len(p.Recent())-1])
	require.NoError(t, err)
	require.Len(t, last.Databases, 1)
	assert.Equal(t, "stays", last.Databases[0].Database)
}

// What a request costs the record: an attempt noted, and for a write that it was taken.
func BenchmarkRecord(b *testing.B) {
	r := NewRecorder("n1", 7)
	r.Set(time.Hour, Version{ListVersion: 1})
	names := make([]string, 120)
	for i := range names {
		names[i] = fmt.Sprintf("s-%04x", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now, k := time.Hour+time.Duration(i)*time.Microsecond, i%len(names)
		r.Sent(now, names[k], k/4)
		r.WriteAccepted(now, names[k], k/4)
	}
}
