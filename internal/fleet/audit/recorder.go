package audit

import (
	"slices"
	"strconv"
	"time"
)

const (
	spanMost  = 5 * time.Second        // a span is closed then, whether or not the versions have changed
	spanLeast = 200 * time.Millisecond // and not sooner for the sake of who reads
	hostsMost = 1024                   // databases with acts in one span
	keptMost  = 256                    // records in memory
	leftAfter = time.Minute            // see Left
)

// Recorder keeps the spans of this process. It has no input or output: closed records are taken with Take.
type Recorder struct {
	clock   HybridClock
	name    string
	session string
	on      Version
	begun   bool
	from    Timestamp
	acts    map[string]*DatabaseActivity
	order   []*DatabaseActivity
	drained map[string]hold
	out     map[string]hold
	dropped uint64
	seq     uint64
	prev    string
	lost    uint64
	ready   [][]byte
	kept    [][]byte
}

// hold is something that holds for a database.
type hold struct {
	since Timestamp
	group int
}

// NewRecorder is one of a process.
func NewRecorder(name string, session uint64) *Recorder {
	return &Recorder{
		name: name, session: strconv.FormatUint(session, 16), acts: map[string]*DatabaseActivity{}, drained: map[string]hold{}, out: map[string]hold{},
	}
}

// Clock gives the stamps of this process.
func (r *Recorder) Clock() *HybridClock { return &r.clock }

// Set tells what this process acts on from now on. A span ends where that changes.
func (r *Recorder) Set(now time.Duration, v Version) {
	v.Name, v.Session, v.Count = "", 0, 0
	if r.begun && v != r.on {
		r.close(now)
	}
	if r.on = v; !r.begun {
		r.begun, r.from = true, r.clock.Now(now)
	}
}

// at finds the acts at a database; nil: there is no room.
func (r *Recorder) at(database string, group int) *DatabaseActivity {
	a := r.acts[database]
	if a == nil {
		if len(r.order) >= hostsMost {
			r.dropped++
			return nil
		}
		a = &DatabaseActivity{Database: database, Group: group}
		r.acts[database] = a
		r.order = append(r.order, a)
	}
	return a
}

// Sent notes an attempt that was begun.
func (r *Recorder) Sent(now time.Duration, database string, group int) {
	if a := r.at(database, group); a != nil {
		if a.LastSent = r.clock.Read(now); a.Sent == 0 {
			a.FirstSent = a.LastSent
		}
		a.Sent++
	}
}

// WriteAccepted notes a write that a database has taken as primary.
func (r *Recorder) WriteAccepted(now time.Duration, database string, group int) {
	if a := r.at(database, group); a != nil {
		if a.LastWrite = r.clock.Read(now); a.Writes == 0 {
			a.FirstWrite = a.LastWrite
		}
		a.Writes++
	}
}

// BreakerOpened notes a breaker that opened on a database.
func (r *Recorder) BreakerOpened(database string, group int) {
	if a := r.at(database, group); a != nil {
		a.BreakerOpened++
	}
}

// SetDraining notes whether the list says that a database drains. Out does so for operators' words.
func (r *Recorder) SetDraining(now time.Duration, database string, group int, on bool) {
	r.mark(r.drained, now, database, group, on)
}

// SetSuspended notes whether operators leave a database out.
func (r *Recorder) SetSuspended(now time.Duration, database string, group int, on bool) {
	r.mark(r.out, now, database, group, on)
}

// mark begins or ends something that holds for a database. It ends the span: a record tells what held all along.
func (r *Recorder) mark(holds map[string]hold, now time.Duration, database string, group int, on bool) {
	if _, was := holds[database]; was == on {
		return
	}
	if r.close(now); !on {
		delete(holds, database)
	} else if len(holds) < hostsMost {
		holds[database] = hold{r.clock.Now(now), group}
	}
}

// DropUnlisted forgets drains of databases that the list does not have any more, a while after they began: what is sent there still
// is found by then.
func (r *Recorder) DropUnlisted(now time.Duration, listed func(database string) bool) {
	for database, h := range r.drained {
		if !listed(database) && r.clock.Read(now) > h.since+TimestampAt(leftAfter) {
			r.mark(r.drained, now, database, h.group, false)
		}
	}
}

// Tick closes a span that has lasted long enough.
func (r *Recorder) Tick(now time.Duration) { r.cut(now, spanMost) }

// Flush closes the span for somebody who reads, unless it has just begun.
func (r *Recorder) Flush(now time.Duration) { r.cut(now, spanLeast) }

func (r *Recorder) cut(now, least time.Duration) {
	if r.begun && r.clock.Read(now) >= r.from+TimestampAt(least) {
		r.close(now)
	}
}

// SetLost tells that so many closed records could not be written. The next one says so.
func (r *Recorder) SetLost(records uint64) { r.lost = records }

func (r *Recorder) close(now time.Duration) {
	if !r.begun {
		return
	}
	for _, holds := range []map[string]hold{r.drained, r.out} {
		for database, h := range holds {
			r.at(database, h.group)
		}
	}
	r.seq++
	rec := Record{
		Seq: r.seq, Prev: r.prev, Gateway: r.name, Session: r.session, From: r.from, To: r.clock.Now(now), ListVersion: r.on.ListVersion,
		OverridesDigest: strconv.FormatUint(r.on.OverridesDigest, 16), ViewDigest: strconv.FormatUint(r.on.ViewDigest, 16), ConfigDigest: r.on.ConfigDigest, FleetFileDigest: r.on.FleetFileDigest, Build: r.on.Build,
		Dropped: r.dropped, Lost: r.lost,
	}
	for _, a := range r.order {
		a.DrainingSince, a.SuspendedSince = r.drained[a.Database].since, r.out[a.Database].since
		rec.Databases = append(rec.Databases, *a)
	}
	var line []byte
	line, r.prev = seal(rec)
	r.ready = append(r.ready, line)
	if r.kept = append(r.kept, line); len(r.kept) > keptMost {
		r.kept = slices.Clone(r.kept[1:])
	}
	clear(r.acts)
	r.order, r.dropped, r.from = nil, 0, rec.To
}

// Take gives out the lines of the records closed since the last call.
func (r *Recorder) Take() [][]byte {
	list := r.ready
	r.ready = nil
	return list
}

// Recent are the lines of the newest records, oldest first.
func (r *Recorder) Recent() [][]byte { return r.kept }
