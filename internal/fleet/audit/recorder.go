package audit

import (
	"slices"
	"strconv"
	"time"
)

const (
	maxSpan        = 5 * time.Second        // a span is closed then even if the versions have not changed
	minSpan        = 200 * time.Millisecond // a reader does not close a span earlier
	maxDatabases   = 1024                   // databases with activity in one span
	maxRecent      = 256                    // records in memory
	drainRetention = time.Minute            // see DropUnlisted
)

// Recorder records the spans of this process. It has no input or output: Take returns the closed records.
type Recorder struct {
	clock      HybridClock
	name       string
	session    string
	version    Version
	started    bool
	from       Timestamp
	byDatabase map[string]*DatabaseActivity
	ordered    []*DatabaseActivity
	draining   map[string]condition
	suspended  map[string]condition
	dropped    uint64
	seq        uint64
	prev       string
	lost       uint64
	closed     [][]byte
	recent     [][]byte
}

// condition is the draining or suspension of a database.
type condition struct {
	since Timestamp
	group int
}

// NewRecorder returns the recorder of a process.
func NewRecorder(name string, session uint64) *Recorder {
	return &Recorder{
		name: name, session: strconv.FormatUint(session, 16),
		byDatabase: map[string]*DatabaseActivity{}, draining: map[string]condition{}, suspended: map[string]condition{},
	}
}

// Clock returns the clock of this process.
func (r *Recorder) Clock() *HybridClock { return &r.clock }

// Set sets what this process acts on from now on. A change closes the span.
func (r *Recorder) Set(now time.Duration, v Version) {
	v.Name, v.Session, v.Count = "", 0, 0
	if r.started && v != r.version {
		r.close(now)
	}
	if r.version = v; !r.started {
		r.started, r.from = true, r.clock.Now(now)
	}
}

// activity returns the activity on a database in this span; nil: there are too many databases.
func (r *Recorder) activity(database string, group int) *DatabaseActivity {
	a := r.byDatabase[database]
	if a == nil {
		if len(r.ordered) >= maxDatabases {
			r.dropped++
			return nil
		}
		a = &DatabaseActivity{Database: database, Group: group}
		r.byDatabase[database] = a
		r.ordered = append(r.ordered, a)
	}
	return a
}

// Sent records the start of an attempt.
func (r *Recorder) Sent(now time.Duration, database string, group int) {
	if a := r.activity(database, group); a != nil {
		if a.LastSent = r.clock.Read(now); a.Sent == 0 {
			a.FirstSent = a.LastSent
		}
		a.Sent++
	}
}

// WriteAccepted records a write that a database has accepted as primary.
func (r *Recorder) WriteAccepted(now time.Duration, database string, group int) {
	if a := r.activity(database, group); a != nil {
		if a.LastWrite = r.clock.Read(now); a.Writes == 0 {
			a.FirstWrite = a.LastWrite
		}
		a.Writes++
	}
}

// BreakerOpened records that the breaker of a database opened.
func (r *Recorder) BreakerOpened(database string, group int) {
	if a := r.activity(database, group); a != nil {
		a.BreakerOpened++
	}
}

// SetDraining records whether the list says that a database drains.
func (r *Recorder) SetDraining(now time.Duration, database string, group int, on bool) {
	r.setCondition(r.draining, now, database, group, on)
}

// SetSuspended records whether an operator override suspends a database.
func (r *Recorder) SetSuspended(now time.Duration, database string, group int, on bool) {
	r.setCondition(r.suspended, now, database, group, on)
}

// setCondition starts or ends a condition of a database. It closes the span, as a record has only conditions that held
// throughout.
func (r *Recorder) setCondition(conditions map[string]condition, now time.Duration, database string, group int, on bool) {
	if _, active := conditions[database]; active == on {
		return
	}
	if r.close(now); !on {
		delete(conditions, database)
	} else if len(conditions) < maxDatabases {
		conditions[database] = condition{r.clock.Now(now), group}
	}
}

// DropUnlisted ends the draining of databases that are no longer listed, some time after it began: until then work that is
// still sent there is found.
func (r *Recorder) DropUnlisted(now time.Duration, listed func(database string) bool) {
	for database, c := range r.draining {
		if !listed(database) && r.clock.Read(now) > c.since+TimestampAt(drainRetention) {
			r.setCondition(r.draining, now, database, c.group, false)
		}
	}
}

// Tick closes a span that has lasted long enough.
func (r *Recorder) Tick(now time.Duration) { r.closeAfter(now, maxSpan) }

// Flush closes the span for a reader, unless it has just begun.
func (r *Recorder) Flush(now time.Duration) { r.closeAfter(now, minSpan) }

// closeAfter closes the span if it has lasted for minAge.
func (r *Recorder) closeAfter(now, minAge time.Duration) {
	if r.started && r.clock.Read(now) >= r.from+TimestampAt(minAge) {
		r.close(now)
	}
}

// SetLost sets how many closed records could not be written. The next record carries the number.
func (r *Recorder) SetLost(records uint64) { r.lost = records }

// close ends the span, seals its record and begins the next span.
func (r *Recorder) close(now time.Duration) {
	if !r.started {
		return
	}
	for _, conditions := range []map[string]condition{r.draining, r.suspended} {
		for database, c := range conditions {
			r.activity(database, c.group)
		}
	}
	r.seq++
	rec := Record{
		Seq: r.seq, Prev: r.prev, Gateway: r.name, Session: r.session, From: r.from, To: r.clock.Now(now), ListVersion: r.version.ListVersion,
		OverridesDigest: strconv.FormatUint(r.version.OverridesDigest, 16), ViewDigest: strconv.FormatUint(r.version.ViewDigest, 16),
		ConfigDigest: r.version.ConfigDigest, FleetFileDigest: r.version.FleetFileDigest, Build: r.version.Build,
		Dropped: r.dropped, Lost: r.lost,
	}
	for _, a := range r.ordered {
		a.DrainingSince, a.SuspendedSince = r.draining[a.Database].since, r.suspended[a.Database].since
		rec.Databases = append(rec.Databases, *a)
	}
	var line []byte
	line, r.prev = seal(rec)
	r.closed = append(r.closed, line)
	if r.recent = append(r.recent, line); len(r.recent) > maxRecent {
		r.recent = slices.Clone(r.recent[1:])
	}
	clear(r.byDatabase)
	r.ordered, r.dropped, r.from = nil, 0, rec.To
}

// Take returns the lines of the records closed since the last call.
func (r *Recorder) Take() [][]byte {
	lines := r.closed
	r.closed = nil
	return lines
}

// Recent returns the lines of the newest records, oldest first.
func (r *Recorder) Recent() [][]byte { return r.recent }
