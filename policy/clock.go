// The offset of the databases' clock from this router's own.
//
// Positions, commits and start times are given on the clock that the databases share. A process keeps the
// wall clock that it read at its start, which may have been wrong. So only databaseTime is compared with
// those times.

package policy

import "time"

const (
	maxPositionLead    = time.Second            // of a plausible position over databaseTime
	clockTolerance     = 100 * time.Millisecond // from the writing of an answer until it counts as received
	minClockSamples    = 3                      // answers that have to agree on a clock step,
	minClockSampleSpan = time.Second            // from first to last: those of a stopped log disagree by then
	clockTimeout       = 2 * time.Second        // until this router's clock is used, if no primary answers
)

// offsetRange is the range of offsets of the databases' clock that fit an answer.
type offsetRange struct{ low, high time.Duration }

// intersect returns the intersection of two ranges. If they are disjoint, low exceeds high by the gap between
// them.
func (o offsetRange) intersect(other offsetRange) offsetRange {
	return offsetRange{max(o.low, other.low), min(o.high, other.high)}
}

// contains reports whether an offset is in the range, give or take the tolerance.
func (o offsetRange) contains(offset time.Duration) bool {
	return o.low-clockTolerance <= offset && offset <= o.high+clockTolerance
}

// empty reports whether the intersected ranges disagree by more than the tolerance.
func (o offsetRange) empty() bool { return o.low > o.high+clockTolerance }

// databaseClock is what is known of the databases' clock. Only a primary's position is the current time, so
// only primaries set the clock; replicas, which mostly lag little, can confirm it. A single answer may be
// invalid, so two are needed.
type databaseClock struct {
	offset     time.Duration // their clock minus this router's
	confirmed  bool          // two answers matched it
	firstMatch HostID        // the host whose answer matched first

	candidate        offsetRange // on which the last answers agree, none of which matched
	candidateSamples int
	candidateSince   time.Duration
}

// observe applies an answer of a primary. A single one that does not match may be invalid: several have to
// agree over some time before the clock is stepped.
func (c *databaseClock) observe(h HostID, now time.Duration, observed offsetRange) (stepped bool) {
	if observed.contains(c.offset) {
		c.confirmed, c.candidateSamples = c.confirmed || c.firstMatch != "", 0
		c.firstMatch = h
		return false
	}
	if overlap := c.candidate.intersect(observed); c.candidateSamples > 0 && !overlap.empty() {
		c.candidate = overlap
		c.candidateSamples++
	} else {
		c.candidate, c.candidateSamples, c.candidateSince = observed, 1, now
	}
	if c.candidateSamples < minClockSamples || now-c.candidateSince < minClockSampleSpan {
		return false
	}
	c.offset, c.confirmed, c.candidateSamples = c.candidate.high, true, 0
	return true
}

// observeReplica applies an answer of a replica. One from a lagging replica shows nothing. Two that lag by
// exactly the step of a clock would confirm a wrong one, until a primary answers.
func (c *databaseClock) observeReplica(h HostID, observed offsetRange) {
	if c.confirmed || c.candidateSamples > 0 || !observed.contains(c.offset) {
		return
	}
	c.confirmed = c.firstMatch != "" && c.firstMatch != h
	c.firstMatch = h
}

// databaseTime returns the current time on the databases' clock.
func (r *Router) databaseTime() time.Duration { return r.now + r.clock.offset }

// Plausible reports whether a position can have been reached. An accepted position can never be taken back.
func (r *Router) Plausible(position time.Duration) bool {
	return position <= r.databaseTime()+maxPositionLead
}

// knowsDatabaseTime reports whether the age of data can be computed. If no primary has answered since the
// start, this router's clock is used, as all machines are documented to share one clock.
func (r *Router) knowsDatabaseTime() bool {
	return !r.settings.IndependentClock || r.clock.confirmed ||
		r.clock.candidateSamples == 0 && r.now >= r.startedAt+clockTimeout
}

// observeDatabaseTime updates the databases' clock by an answer, which was given between the sending of an
// attempt and now. A position is rounded by at most PositionGranularity: that of a read down, that of a
// commit up.
func (r *Router) observeDatabaseTime(a *attempt, role Role, position time.Duration) {
	if !r.settings.IndependentClock {
		return
	}
	granularity := r.settings.PositionGranularity
	observed := offsetRange{low: position - granularity - r.now, high: position + granularity - a.sentAt}
	if role != Primary {
		r.clock.observeReplica(a.host.id, observed)
		return
	}
	if r.clock.observe(a.host.id, r.now, observed) {
		r.emit(Log{Text: "the databases' clock is " + r.clock.offset.String() + " ahead of this process's"})
		r.retryAll()
	}
}
