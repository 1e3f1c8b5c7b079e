// The clock of the databases, as it stands to this router's own.
//
// Positions, commits and starts are times of the databases, which share one clock. A process lives with
// the wall clock of its start, and that may have been stepped before. What is held against those times
// goes by databaseTime.

package policy

import "time"

const (
	ahead          = time.Second            // that a position may be past the databases' clock as it is known
	clockTolerance = 100 * time.Millisecond // so long after it was written an answer counts as told
	clockWitnesses = 3                      // answers that agree on a step of the clock,
	clockSpan      = time.Second            // from first to last: a log that stands still agrees no longer
	clockPatience  = 2 * time.Second        // without a word, until this router's clock is taken for theirs
)

// offsetRange holds the offsets of the databases' clock that an answer allows.
type offsetRange struct{ least, most time.Duration }

// with is the part of both ranges; its least may exceed its most by as much as they are apart.
func (o offsetRange) with(other offsetRange) offsetRange {
	return offsetRange{max(o.least, other.least), min(o.most, other.most)}
}

// allows tells whether an offset is in the range, but for the tolerance.
func (o offsetRange) allows(offset time.Duration) bool {
	return o.least-clockTolerance <= offset && offset <= o.most+clockTolerance
}

// empty tells that what the range was made of disagrees, whatever the tolerance.
func (o offsetRange) empty() bool { return o.least > o.most+clockTolerance }

// databaseClock is what is known of the databases' clock. Only primaries stand at the present, so they
// alone set it; replicas that are next to the present, as they mostly are, can confirm it. One answer may
// be spoilt, so that it takes two.
type databaseClock struct {
	offset    time.Duration // of theirs over this router's
	confirmed bool          // two answers have told a time that fits
	fitted    HostID        // whose answer was the first to do so

	agreed    offsetRange // what the last answers, which do not fit, agree on
	witnesses int
	since     time.Duration
}

// observe takes what an answer tells. A single one that does not fit may be spoilt: several have to agree
// over a while.
func (c *databaseClock) observe(h HostID, now time.Duration, seen offsetRange) (stepped bool) {
	if seen.allows(c.offset) {
		c.confirmed, c.witnesses = c.confirmed || c.fitted != "", 0
		c.fitted = h
		return false
	}
	if common := c.agreed.with(seen); c.witnesses > 0 && !common.empty() {
		c.agreed = common
		c.witnesses++
	} else {
		c.agreed, c.witnesses, c.since = seen, 1, now
	}
	if c.witnesses < clockWitnesses || now-c.since < clockSpan {
		return false
	}
	c.offset, c.confirmed, c.witnesses = c.agreed.most, true, 0
	return true
}

// observeReplica takes what a replica's answer tells. One that lags says nothing; two that lag by just the
// step of a clock would confirm a wrong one, until a primary speaks.
func (c *databaseClock) observeReplica(h HostID, seen offsetRange) {
	if c.confirmed || c.witnesses > 0 || !seen.allows(c.offset) {
		return
	}
	c.confirmed = c.fitted != "" && c.fitted != h
	c.fitted = h
}

// databaseTime is the databases' time now.
func (r *Router) databaseTime() time.Duration { return r.now + r.clock.offset }

// Plausible tells whether a position can have been reached: one that is believed can never be taken back.
func (r *Router) Plausible(position time.Duration) bool { return position <= r.databaseTime()+ahead }

// knowsTime tells whether the age of data can be told. Where nothing was heard of a primary since the
// start, the pages hold: every machine reads one clock.
func (r *Router) knowsTime() bool {
	return !r.set.IndependentClock || r.clock.confirmed ||
		r.clock.witnesses == 0 && r.now >= r.begunAt+clockPatience
}

// hearTime learns of the databases' clock by an answer, which was given between an attempt's sending and
// now. A position is rounded, by a grain at most: that of a read down, a commit up.
func (r *Router) hearTime(a *attempt, role Role, position time.Duration) {
	if !r.set.IndependentClock {
		return
	}
	grain := r.set.PositionGranularity
	seen := offsetRange{least: position - grain - r.now, most: position + grain - a.sentAt}
	if role != Primary {
		r.clock.observeReplica(a.h.id, seen)
		return
	}
	if r.clock.observe(a.h.id, r.now, seen) {
		r.emit(Log{Text: "the databases' clock is " + r.clock.offset.String() + " ahead of this process's"})
		r.retryAll()
	}
}
