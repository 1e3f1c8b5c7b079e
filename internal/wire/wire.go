// Package wire speaks the line protocol between the routers' host process and
// the decision module: it frames batches, parses events and encodes actions.
package wire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"lilaccove/internal/settings"
	"lilaccove/policy"
)

// ItemKind tells what an Item of a batch is.
type ItemKind uint8

const (
	RouterStart ItemKind = iota // a router comes up
	RouterStop                  // a router was killed
	RouterEvent
)

// Item is one event of a batch, for one router.
type Item struct {
	Kind     ItemKind
	Router   int
	Seed     int64
	Settings policy.Settings
	Event    policy.Event
}

// Batch is all that happened at one moment.
type Batch struct {
	Now   time.Duration
	Seq   string
	Items []Item
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[string][]policy.Member
	zero  map[int]time.Duration // by router: where its positions count from
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{
		in:    bufio.NewReaderSize(r, 1<<16),
		lists: map[string][]policy.Member{},
		zero:  map[int]time.Duration{},
	}
}

// Next returns the next batch, or io.EOF once the input ends between batches.
// Any other error names the line and what is wrong with it.
func (r *Reader) Next() (Batch, error) {
	f, err := r.read()
	if err == io.EOF {
		return Batch{}, io.EOF
	}
	if err == nil {
		var b Batch
		if b, err = r.batch(f); err == nil {
			return b, nil
		}
	}
	if err == io.EOF {
		err = fmt.Errorf("input ends inside a batch")
	}
	return Batch{}, fmt.Errorf("line %d: %w", r.line, err)
}

func (r *Reader) read() (fields, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s != "" {
		r.line++
		return fields{}, fmt.Errorf("line is cut off")
	}
	if err != nil {
		return fields{}, err
	}
	r.line++
	return fields{part: strings.Split(strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), "\t")}, nil
}

func (r *Reader) batch(f fields) (Batch, error) {
	if f.name() != "SYNC" {
		return Batch{}, fmt.Errorf("expected SYNC, found %q", f.name())
	}
	b := Batch{Now: f.time(1), Seq: f.need(2)}
	if f.err != nil {
		return b, f.err
	}
	router, chosen := 0, false
	for {
		f, err := r.read()
		if err != nil {
			return b, err
		}
		switch f.name() {
		case "EOF_BATCH":
			return b, nil
		case "SELECT":
			router, chosen = int(f.int(1)), true
		case "LEDGER":
			if err := r.ledger(f); err != nil {
				return b, err
			}
		default:
			if !chosen {
				return b, fmt.Errorf("%s before any SELECT", f.name())
			}
			it, known := r.item(&f, router)
			if f.err == nil && !known {
				return b, fmt.Errorf("unknown message %q", f.name())
			}
			if it.Event != nil || it.Kind != RouterEvent {
				b.Items = append(b.Items, it)
			}
		}
		if f.err != nil {
			return b, f.err
		}
	}
}

func (r *Reader) ledger(f fields) error {
	key, n := f.need(1), f.int(2)
	if f.err == nil && (n < 0 || n > 1<<20) {
		return fmt.Errorf("LEDGER: %d entries", n)
	}
	if f.err != nil {
		return f.err
	}
	entries := make([]policy.Member, 0, n)
	for range n {
		e, err := r.read()
		if err != nil {
			return err
		}
		if e.name() != "ROW" {
			return fmt.Errorf("expected ROW, found %q", e.name())
		}
		m := policy.Member{
			Host:      policy.HostID(e.need(1)),
			Zone:      int(e.int(2)),
			Group:     policy.GroupID(e.num(4)),
			Status:    word(&e, 5, statuses),
			Primary:   e.num(7) == 1,
			StartedAt: e.time(8),
		}
		if e.err != nil {
			return e.err
		}
		entries = append(entries, m)
	}
	r.lists[key] = entries
	return nil
}

// item parses one message for one router; known is false for a strange name.
func (r *Reader) item(f *fields, router int) (it Item, known bool) {
	it = Item{Kind: RouterEvent, Router: router}
	switch f.name() {
	case "PROVISION":
		it.Kind, it.Seed = RouterStart, f.int(1)
		set, err := settings.FromPairs(f.part[min(2, len(f.part)):])
		if err != nil {
			f.fail("%v", err)
		}
		it.Settings, r.zero[router] = set.Policy, set.PositionEpoch
	case "RETIRE":
		it.Kind = RouterStop
	case "VIEW":
		m := policy.ListUpdate{Kind: word(f, 2, listKinds)}
		if m.Kind != policy.ListFailed {
			list, ok := r.lists[f.need(1)]
			if !ok && f.err == nil {
				f.err = fmt.Errorf("VIEW: no list %q", f.at(1))
			}
			m.Entries = list
		}
		it.Event = m
	case "SUBMIT":
		it.Event = policy.Request{
			ID:            policy.RequestID(f.need(1)),
			Class:         int(f.int(2)),
			Session:       policy.SessionID(f.int(4)),
			Timeout:       f.time(5),
			Group:         policy.GroupID(f.num(7)),
			LastCommitAge: time.Duration(f.num(8) * float64(time.Millisecond)),
		}
	case "RESOLVED":
		o := policy.Result{
			Request:  policy.RequestID(f.need(1)),
			Attempt:  int(f.int(2)),
			Host:     policy.HostID(f.need(3)),
			Outcome:  word(f, 4, outcomes),
			Latency:  f.time(5),
			Finished: f.at(6) == "1",
			Report:   r.report(f, 8, router),
		}
		if note := f.int(7); note > 0 {
			o.Role = roleOf(note % 4)
			if note >= 4 {
				o.Position, o.HasPosition = r.zero[router]+time.Duration(note/4)*time.Millisecond, true
			}
		}
		it.Event = o
	case "PROBE_RESULT":
		it.Event = policy.ProbeResult{
			Latency: f.time(1),
			Host:    policy.HostID(f.need(2)),
			Outcome: word(f, 3, outcomes),
			Report:  r.report(f, 4, router),
		}
	case "LAPSED":
		it.Event = policy.RequestAbandoned{Request: policy.RequestID(f.need(1))}
	case "ELAPSED":
		n, err := strconv.ParseUint(f.need(1), 10, 64)
		if err != nil && f.err == nil {
			f.err = fmt.Errorf("ELAPSED: bad token %q", f.at(1))
		}
		it.Event = policy.TimerFired{ID: n}
	case "FIRST_BYTE", "PEER": // nothing here is streamed, and routers do not talk
	default:
		return it, false
	}
	return it, true
}

func roleOf(n int64) policy.Role {
	switch n {
	case 1:
		return policy.Primary
	case 2:
		return policy.Replica
	}
	return policy.RoleUnknown
}

// report parses name:value pairs and skips names it does not know.
func (r *Reader) report(f *fields, i, router int) policy.Report {
	s := f.at(i)
	if s == "" {
		return policy.Report{}
	}
	rep := policy.Report{}
	for pair := range strings.SplitSeq(s, ",") {
		name, val, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(val, 64)
		if !ok || err != nil {
			f.fail("bad report %q", s)
			return rep
		}
		switch name {
		case "x0":
			rep.Position = r.zero[router] + time.Duration(x*float64(time.Second))
			rep.HasPosition = true
		case "x1":
			rep.Role = policy.Replica
			if x == 1 {
				rep.Role = policy.Primary
			}
		}
	}
	return rep
}

// Reply encodes the actions that answer one batch.
type Reply struct{ buf strings.Builder }

// BeginRouter starts the actions of one router.
func (w *Reply) BeginRouter(n int) { fmt.Fprintf(&w.buf, "FOR\t%d\n", n) }

// Failed reports that the decision code of the current router broke down.
func (w *Reply) Failed(text string) { fmt.Fprintf(&w.buf, "GIVE_IN\t%s\n", oneLine(text)) }

// Action adds one action of the current router.
func (w *Reply) Action(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		fmt.Fprintf(&w.buf, "PLACE\t%s\t%s\t%d\n", a.Request, a.Host, a.Timeout.Microseconds())
	case policy.Refuse:
		fmt.Fprintf(&w.buf, "REJECT\t%s\t%d\n", a.Request, a.RetryAfter.Microseconds())
	case policy.Fail:
		fmt.Fprintf(&w.buf, "GIVE_UP\t%s\n", a.Request)
	case policy.Cancel:
		fmt.Fprintf(&w.buf, "CALL_OFF\t%s\t%d\n", a.Request, a.Attempt)
	case policy.Probe:
		fmt.Fprintf(&w.buf, "ASK_LOAD\t%s\n", a.Host)
	case policy.CloseIdleConnections:
		fmt.Fprintf(&w.buf, "HANG_UP\t%s\n", a.Host)
	case policy.SetTimer:
		// A timer never comes early: part of a microsecond counts as a whole one.
		us := (a.After + time.Microsecond - 1) / time.Microsecond
		fmt.Fprintf(&w.buf, "AFTER\t%d\t%d\n", us, a.ID)
	case policy.Subscribe:
		w.buf.WriteString("TRACK\t1\n")
	case policy.Log:
		fmt.Fprintf(&w.buf, "SAY_LOG\t%s\n", oneLine(a.Text))
	}
}

// Flush ends the reply to batch seq and writes it out.
func (w *Reply) Flush(out io.Writer, seq string) error {
	fmt.Fprintf(&w.buf, "EOR\t%s\n", seq)
	_, err := io.WriteString(out, w.buf.String())
	w.buf.Reset()
	return err
}

func oneLine(s string) string {
	return strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(s)
}
