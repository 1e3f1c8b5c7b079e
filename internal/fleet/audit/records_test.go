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

const testStart = 1_800_000_000 * time.Second

// process is one gateway whose records are analyzed.
type process struct {
	*Recorder
	lines  [][]byte
	others []*process // whose records are analyzed with its own
}

func newProcess(name string, session uint64) *process {
	p := &process{Recorder: NewRecorder(name, session)}
	p.Set(testStart, Version{ListVersion: 1})
	return p
}

// tickUntil advances a process to a time, with a span every five seconds.
func (p *process) tickUntil(from, to time.Duration) *process {
	for ; from <= to; from += time.Second {
		p.Tick(testStart + from)
	}
	p.Flush(testStart + to)
	return p
}

// parseRecords reads the records of processes, in random order.
func parseRecords(t require.TestingT, all ...*process) (list []ChainedRecord) {
	for _, p := range all {
		list = append(list, parseRecords(t, p.others...)...)
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

// Records have the activity of a process by span, and a fleet that works as intended has no findings.
func TestRecords(t *testing.T) {
	p := newProcess("n0", 7)
	p.Sent(testStart+time.Second, "a", 2)
	p.Sent(testStart+2*time.Second, "a", 2)
	p.WriteAccepted(testStart+2*time.Second, "a", 2)
	p.Set(testStart+3*time.Second, Version{ListVersion: 1, Count: 9}) // only the count changes: the span continues
	p.Set(testStart+3*time.Second, Version{ListVersion: 2, OverridesDigest: 255})
	p.BreakerOpened("a", 2)
	p.SetDraining(testStart+4*time.Second, "b", 2, true)
	p.SetDraining(testStart+4*time.Second, "b", 2, true)
	p.tickUntil(4*time.Second, 12*time.Second)
	list := parseRecords(t, p)
	require.Empty(t, Analyze(list, DefaultTolerances()))
	byNumber := map[uint64]ChainedRecord{}
	for _, r := range list {
		byNumber[r.Seq] = r
	}
	require.Len(t, byNumber, 4)
	assert.Equal(t, []DatabaseActivity{{Database: "a", Group: 2, Sent: 2, FirstSent: TimestampAt(testStart + time.Second), LastSent: TimestampAt(testStart + 2*time.Second), Writes: 1,
		FirstWrite: TimestampAt(testStart + 2*time.Second), LastWrite: TimestampAt(testStart + 2*time.Second)}}, byNumber[1].Databases)
	assert.Equal(t, []any{int64(2), "ff", "7"}, []any{byNumber[2].ListVersion, byNumber[2].OverridesDigest, byNumber[2].Session})
	assert.Equal(t, uint64(1), byNumber[2].Databases[0].BreakerOpened)
	assert.Equal(t, TimestampAt(testStart+4*time.Second), byNumber[3].Databases[0].DrainingSince&^0xffff)
	assert.Equal(t, byNumber[3].Databases[0].DrainingSince, byNumber[4].Databases[0].DrainingSince, "draining lasts until it ends")
	assert.Equal(t, byNumber[3].Hash, byNumber[4].Prev)
	assert.Len(t, p.Recent(), 4)
}

// Any changed byte of a line and any missing line between two others are detected.
func TestChainsRevealChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProcess("n0", 7)
		n := rapid.IntRange(3, 12).Draw(t, "records")
		for i := range n {
			p.Sent(testStart+time.Duration(i)*6*time.Second, fmt.Sprint("d", i%3), 1)
			p.Tick(testStart + time.Duration(i+1)*6*time.Second)
		}
		lines := p.Take()
		require.Len(t, lines, n)
		which := rapid.IntRange(0, n-1).Draw(t, "which")
		if rapid.Bool().Draw(t, "leave one out") {
			which = rapid.IntRange(1, n-2).Draw(t, "inner")
			p.lines = append(append(p.lines, lines[:which]...), lines[which+1:]...)
			assert.Equal(t, []string{BrokenChain}, kinds(Analyze(parseRecords(t, p), DefaultTolerances())))
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
	// A record that was changed and sealed again does not match the hash in the next one.
	p := newProcess("n0", 7)
	p.tickUntil(0, 20*time.Second)
	lines := p.Take()
	r, err := ParseRecord(lines[1])
	require.NoError(t, err)
	r.ListVersion = 99
	lines[1], _ = seal(r.Record)
	p.lines = lines
	assert.Contains(t, kinds(Analyze(parseRecords(t, p), DefaultTolerances())), BrokenChain)
}

// Each kind of finding about work at databases is reported, and situations that resemble one are not.
func TestFindings(t *testing.T) {
	sec := func(n float64) time.Duration { return testStart + time.Duration(n*float64(time.Second)) }
	cases := map[string]struct {
		play func(a, b *process)
		want []string
	}{
		"failover": {func(a, b *process) {
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
		"writes alternate": {func(a, b *process) {
			for i := range 4 {
				p, db := a, "x"
				if i%2 == 1 {
					p, db = b, "y"
				}
				p.WriteAccepted(sec(float64(i+1)), db, 1)
				p.Flush(sec(float64(i) + 1.3))
			}
		}, []string{TwoPrimaries}},
		"failover and back": {func(a, b *process) {
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
		"overlap below the clock skew": {func(a, b *process) {
			a.WriteAccepted(sec(1), "x", 1)
			a.WriteAccepted(sec(2.1), "x", 1)
			b.WriteAccepted(sec(2), "y", 1)
			b.WriteAccepted(sec(4), "y", 1)
		}, []string{Unordered}},
		"work after a drain": {func(a, b *process) {
			a.SetDraining(sec(1), "x", 1, true)
			b.Sent(sec(2.5), "x", 1)
			b.Flush(sec(2.6))
			b.Sent(sec(4), "x", 1)
		}, []string{AfterDrain}},
		"work within the grace": {func(a, b *process) {
			a.SetDraining(sec(1), "x", 1, true)
			b.Sent(sec(2.9), "x", 1)
		}, nil},
		"work after the drain ended": {func(a, b *process) {
			a.SetDraining(sec(1), "x", 1, true)
			a.SetDraining(sec(3), "x", 1, false)
			b.Sent(sec(4), "x", 1)
		}, nil},
		"work despite an override": {func(a, b *process) {
			a.SetSuspended(sec(1), "x", 1, true)
			b.Sent(sec(5), "x", 1)
		}, []string{AfterOverride}},
		"work despite an override, by a gateway that had learned of its end, unlike the paused one": {func(a, b *process) {
			a.Set(sec(1), Version{ListVersion: 1, OverridesDigest: 7})
			a.SetSuspended(sec(1), "x", 1, true)
			b.Set(sec(1), Version{ListVersion: 1, OverridesDigest: 8}) // with another override as well
			b.SetSuspended(sec(1), "x", 1, true)
			b.Set(sec(4), Version{ListVersion: 1, OverridesDigest: 9})
			b.SetSuspended(sec(4), "x", 1, false)
			b.Sent(sec(6), "x", 1)
		}, nil},
		"work with newer overrides, by a process that never had the old ones": {func(a, b *process) {
			a.Set(sec(1), Version{ListVersion: 1, OverridesDigest: 7})
			a.SetSuspended(sec(1), "x", 1, true)
			c := newProcess("n2", 3)
			c.Set(sec(1), Version{ListVersion: 1, OverridesDigest: 7})
			c.Set(sec(2), Version{ListVersion: 1, OverridesDigest: 8})
			c.Set(sec(3), Version{ListVersion: 1, OverridesDigest: 9})
			c.tickUntil(8*time.Second, 9*time.Second)
			b.others = append(b.others, c)
			b.Set(sec(3), Version{ListVersion: 1, OverridesDigest: 9})
			b.Sent(sec(6), "x", 1)
		}, nil},
		"work despite a second override, after the end of the first": {func(a, b *process) {
			b.Set(sec(0.5), Version{ListVersion: 1, OverridesDigest: 7})
			b.SetSuspended(sec(0.5), "x", 1, true)
			b.Set(sec(1), Version{ListVersion: 1, OverridesDigest: 8})
			b.SetSuspended(sec(1), "x", 1, false)
			a.Set(sec(0.5), Version{ListVersion: 1, OverridesDigest: 7})
			a.SetSuspended(sec(0.5), "x", 1, true)
			a.Set(sec(2), Version{ListVersion: 1, OverridesDigest: 9}) // the end and the second override arrived together
			b.Sent(sec(7), "x", 1)
		}, []string{AfterOverride}},
		"work that a newer list allows": {func(a, b *process) {
			a.SetDraining(sec(1), "x", 1, true)
			b.Set(sec(2), Version{ListVersion: 2})
			b.Sent(sec(6), "x", 1)
		}, nil},
		"an outdated list": {func(a, b *process) {
			a.Set(sec(1), Version{ListVersion: 2})
			b.Sent(sec(7), "x", 1)
		}, []string{LaggingList}},
		"an outdated list without work": {func(a, _ *process) { a.Set(sec(1), Version{ListVersion: 2}) }, nil},
	}
	for name, c := range cases {
		a, b := newProcess("n0", 1), newProcess("n1", 2)
		c.play(a, b)
		a.tickUntil(8*time.Second, 9*time.Second)
		b.tickUntil(8*time.Second, 9*time.Second)
		assert.Equal(t, c.want, kinds(Analyze(parseRecords(t, a, b), DefaultTolerances())), name)
	}
}

// Two processes of one gateway are a finding only if they overlap for longer than an upgrade; so is a period without
// records.
func TestProcessFindings(t *testing.T) {
	old, next := newProcess("n0", 1), newProcess("n0", 2)
	old.tickUntil(0, 10*time.Second)
	next.tickUntil(0, 60*time.Second)
	assert.Empty(t, Analyze(parseRecords(t, old, next), DefaultTolerances()))
	old.tickUntil(11*time.Second, 30*time.Second)
	assert.Equal(t, []string{TwoProcesses}, kinds(Analyze(parseRecords(t, old, next), DefaultTolerances())))

	p := newProcess("n1", 3)
	p.tickUntil(0, 6*time.Second)
	lines := p.Take()
	p.from = p.clock.Now(testStart + 30*time.Second)
	p.tickUntil(30*time.Second, 40*time.Second)
	p.lines = lines
	assert.Equal(t, []string{Gap}, kinds(Analyze(parseRecords(t, p), DefaultTolerances())))
}

// A message with a timestamp orders what follows after what came before, even if the receiver's wall clock is late; a clock
// that is far ahead is not followed.
func TestHybridClock(t *testing.T) {
	a, b := HybridClock{}, HybridClock{}
	sent := a.Now(testStart + 300*time.Millisecond)
	b.Observe(testStart, sent)
	assert.Greater(t, b.Now(testStart), sent)
	far := TimestampAt(testStart + time.Hour)
	b.Observe(testStart, far)
	assert.Less(t, b.Now(testStart), far)
	assert.Equal(t, uint64(1), b.Rejected)
	var back Timestamp
	require.NoError(t, back.UnmarshalText([]byte(sent.String())))
	assert.Equal(t, sent, back)
	for _, bad := range []string{"", "1", "1.", "a.1", "1.70000", "-1.0"} {
		assert.Error(t, back.UnmarshalText([]byte(bad)), bad)
	}
}

// Memory is bounded, and what exceeds it is reported as dropped.
func TestRecorderIsBounded(t *testing.T) {
	p := newProcess("n0", 7)
	for i := range maxDatabases + 10 {
		p.Sent(testStart, fmt.Sprint(i), 1)
	}
	p.tickUntil(0, 10*time.Minute*3)
	assert.LessOrEqual(t, len(p.Recent()), maxRecent)
	assert.Contains(t, kinds(Analyze(parseRecords(t, p), DefaultTolerances())), Incomplete)

	// The draining of a database that is no longer listed ends.
	p = newProcess("n0", 7)
	p.SetDraining(testStart, "stays", 1, true)
	p.SetDraining(testStart, "leaves", 1, true)
	listed := func(database string) bool { return database == "stays" }
	p.DropUnlisted(testStart+time.Second, listed)
	assert.Len(t, p.draining, 2, "not while work may still be sent there")
	p.DropUnlisted(testStart+2*drainRetention, listed)
	assert.Len(t, p.draining, 1)
	p.tickUntil(0, 2*drainRetention+10*time.Second)
	last, err := ParseRecord(p.Recent()[len(p.Recent())-1])
	require.NoError(t, err)
	require.Len(t, last.Databases, 1)
	assert.Equal(t, "stays", last.Databases[0].Database)
}

// BenchmarkRecord is what a write costs the recorder: an attempt and an accepted write.
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
