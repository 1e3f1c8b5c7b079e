// Package wire implements the simulator's line protocol between the process
// that hosts the routers and their decision code: it frames batches, parses
// events and encodes actions.
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

// ItemKind is the kind of an Item.
type ItemKind uint8

const (
	RouterStart ItemKind = iota // a router starts
	RouterStop                  // a router was killed
	RouterEvent                 // an event for a running router
)

// Item is one entry of a batch, for one router.
type Item struct {
	Kind     ItemKind
	Router   int
	Seed     int64           // of a RouterStart
	Settings policy.Settings // of a RouterStart
	Event    policy.Event    // of a RouterEvent
}

// Batch holds all items of one point in simulated time.
type Batch struct {
	Now   time.Duration
	Seq   string // echoed in the reply
	Items []Item
}

// Reader parses batches from an input stream.
type Reader struct {
	in             *bufio.Reader
	lineNumber     int
	lists          map[string][]policy.Member // lists of databases, by the key of their LEDGER message
	positionEpochs map[int]time.Duration      // by router: the time from which its replication positions count
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{
		in:             bufio.NewReaderSize(r, 1<<16),
		lists:          map[string][]policy.Member{},
		positionEpochs: map[int]time.Duration{},
	}
}

// Next returns the next batch, or io.EOF once the input ends between batches.
// Any other error names the line and the fault in it.
func (r *Reader) Next() (Batch, error) {
	f, err := r.readLine()
	if err == io.EOF {
		return Batch{}, io.EOF
	}
	if err == nil {
		var b Batch
		if b, err = r.readBatch(f); err == nil {
			return b, nil
		}
	}
	if err == io.EOF {
		err = fmt.Errorf("input ends inside a batch")
	}
	return Batch{}, fmt.Errorf("line %d: %w", r.lineNumber, err)
}

// readLine reads and splits one line. io.EOF means that the input ended at a line's end.
func (r *Reader) readLine() (fields, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s != "" {
		r.lineNumber++
		return fields{}, fmt.Errorf("line is cut off")
	}
	if err != nil {
		return fields{}, err
	}
	r.lineNumber++
	return fields{values: strings.Split(strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r"), "\t")}, nil
}

// readBatch reads the batch that begins with the line f.
func (r *Reader) readBatch(f fields) (Batch, error) {
	if f.name() != "SYNC" {
		return Batch{}, fmt.Errorf("expected SYNC, found %q", f.name())
	}
	b := Batch{Now: f.duration(1), Seq: f.required(2)}
	if f.err != nil {
		return b, f.err
	}
	router, selected := 0, false
	for {
		f, err := r.readLine()
		if err != nil {
			return b, err
		}
		switch f.name() {
		case "EOF_BATCH":
			return b, nil
		case "SELECT":
			router, selected = int(f.int(1)), true
		case "LEDGER":
			if err := r.readList(f); err != nil {
				return b, err
			}
		default:
			if !selected {
				return b, fmt.Errorf("%s before any SELECT", f.name())
			}
			item, known := r.parseItem(&f, router)
			if f.err == nil && !known {
				return b, fmt.Errorf("unknown message %q", f.name())
			}
			if item.Event != nil || item.Kind != RouterEvent {
				b.Items = append(b.Items, item)
			}
		}
		if f.err != nil {
			return b, f.err
		}
	}
}

// readList reads the rows of a LEDGER message and keeps the list for later VIEW messages.
func (r *Reader) readList(f fields) error {
	key, n := f.required(1), f.int(2)
	if f.err == nil && (n < 0 || n > 1<<20) {
		return fmt.Errorf("LEDGER: %d entries", n)
	}
	if f.err != nil {
		return f.err
	}
	entries := make([]policy.Member, 0, n)
	for range n {
		row, err := r.readLine()
		if err != nil {
			return err
		}
		if row.name() != "ROW" {
			return fmt.Errorf("expected ROW, found %q", row.name())
		}
		member := policy.Member{
			Host:      policy.HostID(row.required(1)),
			Zone:      int(row.int(2)),
			Group:     policy.GroupID(row.float(4)),
			Status:    enumValue(&row, 5, statuses),
			Primary:   row.float(7) == 1,
			StartedAt: row.duration(8),
		}
		if row.err != nil {
			return row.err
		}
		entries = append(entries, member)
	}
	r.lists[key] = entries
	return nil
}

// parseItem parses one message for one router. known is false if no message has that name.
func (r *Reader) parseItem(f *fields, router int) (item Item, known bool) {
	item = Item{Kind: RouterEvent, Router: router}
	switch f.name() {
	case "PROVISION":
		item.Kind, item.Seed = RouterStart, f.int(1)
		parsed, err := settings.FromPairs(f.values[min(2, len(f.values)):])
		if err != nil {
			f.setError("%v", err)
		}
		item.Settings, r.positionEpochs[router] = parsed.Policy, parsed.PositionEpoch
	case "RETIRE":
		item.Kind = RouterStop
	case "VIEW":
		update := policy.ListUpdate{Kind: enumValue(f, 2, listKinds)}
		if update.Kind != policy.ListFailed {
			list, ok := r.lists[f.required(1)]
			if !ok && f.err == nil {
				f.err = fmt.Errorf("VIEW: no list %q", f.optional(1))
			}
			update.Entries = list
		}
		item.Event = update
	case "SUBMIT":
		item.Event = policy.Request{
			ID:            policy.RequestID(f.required(1)),
			Class:         int(f.int(2)),
			Session:       policy.SessionID(f.int(4)),
			Timeout:       f.duration(5),
			Group:         policy.GroupID(f.float(7)),
			LastCommitAge: time.Duration(f.float(8) * float64(time.Millisecond)),
		}
	case "RESOLVED":
		result := policy.Result{
			Request:  policy.RequestID(f.required(1)),
			Attempt:  int(f.int(2)),
			Host:     policy.HostID(f.required(3)),
			Outcome:  enumValue(f, 4, outcomes),
			Latency:  f.duration(5),
			Finished: f.optional(6) == "1",
			Report:   r.parseReport(f, 8, router),
		}
		if note := f.int(7); note > 0 { // a role code, plus 4 times the position in ms if there is one
			result.Role = parseRole(note % 4)
			if note >= 4 {
				result.Position, result.HasPosition = r.positionEpochs[router]+time.Duration(note/4)*time.Millisecond, true
			}
		}
		item.Event = result
	case "PROBE_RESULT":
		item.Event = policy.ProbeResult{
			Latency: f.duration(1),
			Host:    policy.HostID(f.required(2)),
			Outcome: enumValue(f, 3, outcomes),
			Report:  r.parseReport(f, 4, router),
		}
	case "LAPSED":
		item.Event = policy.RequestAbandoned{Request: policy.RequestID(f.required(1))}
	case "ELAPSED":
		id, err := strconv.ParseUint(f.required(1), 10, 64)
		if err != nil && f.err == nil {
			f.err = fmt.Errorf("ELAPSED: bad token %q", f.optional(1))
		}
		item.Event = policy.TimerFired{ID: id}
	case "FIRST_BYTE", "PEER": // ignored: answers are not streamed, and routers exchange no messages
	default:
		return item, false
	}
	return item, true
}

// parseRole maps the protocol's role codes.
func parseRole(n int64) policy.Role {
	switch n {
	case 1:
		return policy.Primary
	case 2:
		return policy.Replica
	}
	return policy.RoleUnknown
}

// parseReport parses a database's report, name:value pairs, and skips unknown names.
func (r *Reader) parseReport(f *fields, i, router int) policy.Report {
	text := f.optional(i)
	if text == "" {
		return policy.Report{}
	}
	report := policy.Report{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(pair, ":")
		number, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			f.setError("bad report %q", text)
			return report
		}
		switch name {
		case "x0":
			report.Position = r.positionEpochs[router] + time.Duration(number*float64(time.Second))
			report.HasPosition = true
		case "x1":
			report.Role = policy.Replica
			if number == 1 {
				report.Role = policy.Primary
			}
		}
	}
	return report
}

// Reply encodes the actions returned for one batch.
type Reply struct{ buf strings.Builder }

// BeginRouter begins the actions of one router.
func (w *Reply) BeginRouter(n int) { fmt.Fprintf(&w.buf, "FOR\t%d\n", n) }

// Failed reports that the decision code of the current router panicked.
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
		// Rounded up to whole microseconds, as a timer may not fire early.
		us := (a.After + time.Microsecond - 1) / time.Microsecond
		fmt.Fprintf(&w.buf, "AFTER\t%d\t%d\n", us, a.ID)
	case policy.Subscribe:
		w.buf.WriteString("TRACK\t1\n")
	case policy.Log:
		fmt.Fprintf(&w.buf, "SAY_LOG\t%s\n", oneLine(a.Text))
	}
}

// Flush ends the reply to batch seq, writes it to out and resets w for the next batch.
func (w *Reply) Flush(out io.Writer, seq string) error {
	fmt.Fprintf(&w.buf, "EOR\t%s\n", seq)
	_, err := io.WriteString(out, w.buf.String())
	w.buf.Reset()
	return err
}

// oneLine replaces tabs and line breaks, which separate values and messages, with spaces.
func oneLine(s string) string {
	return strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(s)
}
