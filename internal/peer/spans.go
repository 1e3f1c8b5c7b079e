package peer

import (
	"encoding/json"
	"log"
	"strings"
	"time"

	"lilaccove/internal/auditfile"
	"lilaccove/internal/fleet/audit"
	"lilaccove/policy"
)

const endWait = 300 * time.Millisecond // for the disk, at the end of the process

// Spans keep what this process did to databases, by what it acted on. They are gateway.Acts.
type Spans struct {
	l      *Links
	r      *audit.Recorder
	file   *auditfile.Writer // nil: records stay in memory
	writes func(class int) bool
	groups map[string]int
}

// Record begins to keep spans. writes tells which classes are writes.
func (l *Links) Record(writes func(class int) bool) (*Spans, error) {
	own, _ := l.m.Own()
	s := &Spans{l: l, r: audit.NewRecorder(own.Name, own.Session), writes: writes, groups: map[string]int{}}
	if a := l.file.Audit; a != nil {
		var err error
		if s.file, err = auditfile.Open(auditfile.Options{Path: a.File, Most: int64(a.Megabytes) << 20, Keep: a.Keep}); err != nil {
			return nil, err
		}
	}
	l.spans = s
	return s, nil
}

// Sent notes an attempt that was begun.
func (s *Spans) Sent(host policy.HostID, group policy.GroupID) {
	s.r.Sent(s.l.loop.Now(), string(host), int(group))
}

// Accepted notes a request that a database has served.
func (s *Spans) Accepted(host policy.HostID, group policy.GroupID, class int) {
	if s.writes(class) {
		s.r.Accepted(s.l.loop.Now(), string(host), int(group))
	}
}

// Said takes in what the decisions have logged.
func (s *Spans) Said(text string) {
	if host, ok := strings.CutPrefix(text, "breaker opens on "); ok {
		s.r.Opened(host, s.group(host))
	}
}

// Listed takes in the list: who drains.
func (s *Spans) Listed(members []policy.Member) {
	clear(s.groups)
	for _, m := range members {
		s.groups[string(m.Host)] = int(m.Group)
	}
	now := s.l.loop.Now()
	for _, m := range members {
		s.r.Drained(now, string(m.Host), int(m.Group), m.Status == policy.Draining)
	}
	s.r.Left(now, func(database string) bool {
		_, listed := s.groups[database]
		return listed
	})
}

// Word takes in operators' word on a database.
func (s *Spans) Word(host string, out bool) {
	s.r.Out(s.l.loop.Now(), host, s.group(host), out)
}

func (s *Spans) group(host string) int {
	if g, ok := s.groups[host]; ok {
		return g
	}
	return -1
}

// tick goes with that of the versions.
func (s *Spans) tick(v audit.Version) {
	now := s.l.loop.Now()
	s.r.Set(now, v)
	s.r.Tick(now)
	s.flush()
}

func (s *Spans) flush() {
	for _, line := range s.r.Take() {
		if s.file != nil {
			s.file.Write(line)
		}
	}
	if s.file != nil {
		s.r.Lost(s.file.State().Lost)
	}
}

// Close ends the last span and waits a moment for the disk.
func (s *Spans) Close() {
	s.r.Cut(s.l.loop.Now())
	s.flush()
	if s.file != nil {
		if s.file.Close(endWait); s.file.State().Lost > 0 {
			log.Printf("event=audit_lost records=%d", s.file.State().Lost)
		}
	}
}

// AuditReport is what GET /v1/fleet/audit tells.
type AuditReport struct {
	Name    string            `json:"name"`
	File    string            `json:"file,omitempty"`
	Failure string            `json:"failure,omitempty"` // of the file
	Lost    uint64            `json:"lost,omitempty"`    // records that are not in it
	Late    uint64            `json:"stamps_refused,omitempty"`
	Records []json.RawMessage `json:"records"` // the newest, as they stand in the file
}

// mostReport bounds an answer to what operators' tools read.
const mostReport = 4 << 20

// Audit tells the newest records of this process.
func (s *Spans) Audit() []byte {
	s.r.Cut(s.l.loop.Now())
	s.flush()
	own, _ := s.l.m.Own()
	r := AuditReport{Name: own.Name, Records: []json.RawMessage{}, Late: s.r.Clock().Refused}
	if s.file != nil {
		state := s.file.State()
		r.File, r.Failure, r.Lost = s.l.file.Audit.File, state.Err, state.Lost
	}
	kept := s.r.Kept()
	room, first := mostReport, len(kept)
	for first > 0 && room >= len(kept[first-1]) {
		first--
		room -= len(kept[first])
	}
	for _, line := range kept[first:] {
		r.Records = append(r.Records, line)
	}
	b, err := json.Marshal(r)
	if err != nil {
		return []byte("{}")
	}
	return append(b, '\n')
}

// Audit tells the newest records; false: none are kept.
func (l *Links) Audit() ([]byte, bool) {
	if l.spans == nil {
		return nil, false
	}
	return l.spans.Audit(), true
}
