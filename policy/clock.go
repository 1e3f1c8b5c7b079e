// The offset of the databases' clock from this router's own.
//
// Positions, commits and start times are given on the clock that the databases share. A process keeps the
// wall clock that it read at its start, which may have been wrong. So only databaseTime is compared with
// those times.

package policy

import (
	"fmt"
	"time"
)

const (
	maxPositionLead     = time.Second            // of a plausible position over databaseTime
	clockTolerance      = 100 * time.Millisecond // between the writing and the receipt of an answer
	maxClockSamples     = 16                     // latest answers of primaries, which vote on the offset
	clockSampleInterval = 100 * time.Millisecond // between two of them: a burst is no majority
	minClockMatches     = 2                      // samples that confirm the offset
	minClockStepSamples = 3                      // samples that have to agree on another offset,
	minClockStepSpan    = time.Second            // first to last: those of a stopped log disagree by then
	clockTimeout        = 2 * time.Second        // until this router's clock is used, if no primary answers
	maxConfirmingLag    = 30 * time.Millisecond  // of a replica that confirms the offset
)

// offsetRange is the range of offsets of the databases' clock that fit an answer.
type offsetRange struct{ low, high time.Duration }

// contains reports whether an offset is in the range, give or take the tolerance.
func (o offsetRange) contains(offset time.Duration) bool {
	return o.low-clockTolerance <= offset && offset <= o.high+clockTolerance
}

// isLaterThan reports whether an answer shows a later time than an offset gives.
func (o offsetRange) isLaterThan(offset time.Duration) bool { return offset < o.low-clockTolerance }

// clockSample is an answer of a primary.
type clockSample struct {
	observed offsetRange
	at       time.Duration
}

// clockVote is how many of the samples agree with an offset. The others show a later or an earlier time.
type clockVote struct{ matching, later, samples int }

// isMajority reports whether more than half of the samples match.
func (v clockVote) isMajority() bool { return 2*v.matching > v.samples }

// ClockCounts counts, since the start, the answers of primaries by what they showed of the offset of the
// databases' clock, and the changes of the offset's state.
type ClockCounts struct {
	Matching, Later, Earlier uint64 // answers
	Steps                    uint64 // changes of the offset
	Doubts                   uint64 // losses of the confirmation
}

// databaseClock is what is known of the databases' clock. Only a primary's position is the current time, so
// only primaries set the clock. Any answer may be invalid, so the majority of the latest ones decides: it
// confirms the offset or steps it, as in Marzullo's algorithm. Too low an offset makes old data look fresh.
// So the confirmation ends as soon as a later time has as many samples as the offset has.
type databaseClock struct {
	offset    time.Duration // their clock minus this router's
	confirmed bool
	samples   []clockSample // the latest, oldest first
	counts    ClockCounts

	replicaMatch HostID // the replica that matched the offset last; empty: none
	replicaAhead bool   // a replica has shown a later time, since the offset was last confirmed
}

// clockChange is a change of what is known of the databases' clock.
type clockChange uint8

const (
	clockUnchanged clockChange = iota
	clockConfirmed
	clockDoubted
	clockStepped
)

// observe applies an answer of a primary.
func (c *databaseClock) observe(now time.Duration, observed offsetRange) clockChange {
	if !c.takeSample(now, observed) {
		return clockUnchanged
	}
	vote := c.voteOn(c.offset)
	switch {
	case vote.isMajority() && vote.matching >= minClockMatches:
		return c.confirm()
	case c.stepToMajority():
		return clockStepped
	case c.confirmed && vote.later >= vote.matching:
		c.confirmed = false
		c.counts.Doubts++
		return clockDoubted
	}
	return clockUnchanged
}

// takeSample adds an answer to the samples and reports whether it counts: until the offset can be stepped
// every answer does.
func (c *databaseClock) takeSample(now time.Duration, observed offsetRange) bool {
	n := len(c.samples)
	if n >= minClockStepSamples && now-c.samples[n-1].at < clockSampleInterval {
		return false
	}
	if n == maxClockSamples {
		copy(c.samples, c.samples[1:])
		c.samples = c.samples[:n-1]
	}
	c.samples = append(c.samples, clockSample{observed, now})
	switch {
	case observed.contains(c.offset):
		c.counts.Matching++
	case observed.isLaterThan(c.offset):
		c.counts.Later++
	default:
		c.counts.Earlier++
	}
	return true
}

// voteOn counts the samples that agree with an offset.
func (c *databaseClock) voteOn(offset time.Duration) clockVote {
	vote := clockVote{samples: len(c.samples)}
	for _, s := range c.samples {
		switch {
		case s.observed.contains(offset):
			vote.matching++
		case s.observed.isLaterThan(offset):
			vote.later++
		}
	}
	return vote
}

func (c *databaseClock) confirm() clockChange {
	if c.confirmed {
		return clockUnchanged
	}
	c.confirmed, c.replicaAhead = true, false
	return clockConfirmed
}

// stepToMajority changes the offset to the one on which the most samples agree, if they are enough and were
// taken over enough time. Of offsets with the same support it takes the latest.
func (c *databaseClock) stepToMajority() bool {
	best, support := time.Duration(0), 0
	for _, s := range c.samples {
		matching := c.voteOn(s.observed.high).matching
		if matching > support || matching == support && s.observed.high > best {
			best, support = s.observed.high, matching
		}
	}
	if support < minClockStepSamples || 2*support <= len(c.samples) {
		return false
	}
	offset, first, last := best, maxDuration, time.Duration(0)
	for _, s := range c.samples {
		if s.observed.contains(best) {
			offset, first, last = min(offset, s.observed.high), min(first, s.at), max(last, s.at)
		}
	}
	if last-first < minClockStepSpan {
		return false
	}
	c.offset, c.confirmed, c.replicaAhead = offset, true, false
	c.counts.Steps++
	return true
}

// observeReplica applies an answer of a replica. No replica is ahead of the databases' clock, so one that is
// ahead of the offset contradicts it. One from a lagging replica shows nothing. Two that lag by exactly the
// step of a clock would confirm a wrong one, until a primary's answer shows another time.
func (c *databaseClock) observeReplica(h HostID, observed offsetRange) {
	if observed.isLaterThan(c.offset) && observed.low <= c.offset+maxPositionLead {
		c.replicaAhead = true
	}
	keepsUp := observed.low <= c.offset && c.offset <= observed.high+maxConfirmingLag
	if c.confirmed || c.contradicted() || !keepsUp {
		return
	}
	c.confirmed = c.replicaMatch != "" && c.replicaMatch != h
	c.replicaMatch = h
}

// contradicted reports whether half of the primaries' samples or more do not match, or, if there are none,
// whether a replica is ahead.
func (c *databaseClock) contradicted() bool {
	if len(c.samples) == 0 {
		return c.replicaAhead
	}
	return !c.voteOn(c.offset).isMajority()
}

// databaseTime returns the current time on the databases' clock.
func (r *Router) databaseTime() time.Duration { return r.now + r.clock.offset }

// ClockCounts returns the counts of the databases' clock.
func (r *Router) ClockCounts() ClockCounts { return r.clock.counts }

// Plausible reports whether a position can have been reached. An accepted position is taken back only when
// the databases' clock is stepped back.
func (r *Router) Plausible(position time.Duration) bool {
	return position <= r.databaseTime()+maxPositionLead
}

// knowsDatabaseTime reports whether the age of data can be computed. If no primary has answered since the
// start, this router's clock is used, as all machines are documented to share one clock.
func (r *Router) knowsDatabaseTime() bool {
	return !r.settings.IndependentClock || r.clock.confirmed ||
		r.now >= r.startedAt+clockTimeout && !r.clock.contradicted()
}

// observeDatabaseTime updates the databases' clock by an answer, which was given between the sending of an
// attempt and now. A position is rounded by at most PositionGranularity: that of a read down, that of a
// commit up. An answer that waited while this process was paused would match a wide range of offsets.
func (r *Router) observeDatabaseTime(a *attempt, role Role, position time.Duration) {
	if !r.settings.IndependentClock || r.pausedTotal-a.pausedTotal > clockTolerance {
		return
	}
	granularity := r.settings.PositionGranularity
	observed := offsetRange{low: position - granularity - r.now, high: position + granularity - a.sentAt}
	if role != Primary {
		r.clock.observeReplica(a.host.id, observed)
		return
	}
	before := r.clock.offset
	r.onClockChange(r.clock.observe(r.now, observed), before)
}

// onClockChange logs a change of the databases' clock and applies it to what is known of hosts.
func (r *Router) onClockChange(change clockChange, before time.Duration) {
	if change == clockUnchanged {
		return
	}
	vote := r.clock.voteOn(r.clock.offset)
	switch {
	case change == clockStepped:
		r.logClock("the databases' clock is %v ahead of this process's", vote)
		if r.clock.offset < before {
			r.forgetPositions()
		}
		r.retryAll()
	case change == clockDoubted:
		r.logClock("the databases' clock may not be %v ahead of this process's any more", vote)
	case change == clockConfirmed && vote.matching < vote.samples:
		r.logClock("the databases' clock is confirmed to be %v ahead of this process's", vote)
	}
}

// logClock logs a text, into which it puts the offset, and the vote on that.
func (r *Router) logClock(text string, vote clockVote) {
	r.emit(Log{Text: fmt.Sprintf(text+": %d of %d answers of primaries agree, %d show a later time",
		r.clock.offset, vote.matching, vote.samples, vote.later)})
}

// forgetPositions forgets the positions of all hosts: those accepted by a clock that was ahead may lie in the
// future.
func (r *Router) forgetPositions() {
	for _, h := range r.hostOrder {
		h.position, h.lag = 0, 0
	}
}
