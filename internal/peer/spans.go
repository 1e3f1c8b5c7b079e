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

// AuditRecorder keep what this process did to databases, by what it acted on. They are gateway.Acts.
type AuditRecorder struct {
	l      *Links
	r      *audit.Recorder
	file   *auditfile.Writer // nil: records stay in memory
	writes func(class int) bool
	groups map[string]int
}

// StartAudit begins to keep spans. writes tells which classes are writes.
func (l *Links) StartAudit(writes func(class int) bool) (*AuditRecorder, error) {
	own, _ := l.m.Self()
	s := &AuditRecorder{l: l, r: audit.NewRecorder(own.Name, own.Session), writes: writes, groups: map[string]int{}}
	if a := l.file.Audit; a != nil {
		var err error
		if s.file, err = auditfile.Open(auditfile.Options{Path: a.File, MaxBytes: int64(a.Megabytes) << 20, Keep: a.Keep}); err != nil {
			return nil, err
		}
	}
	l.spans = s
	return s, nil
}

// Sent notes an attempt that was begun.
func (s *AuditRecorder) Sent(host policy.HostID, group policy.GroupID) {
	s.r.Sent(s.l.loop.Now(), string(host), int(group))
}

// Accepted notes a request that a database has served.
func (s *AuditRecorder) Accepted(host policy.HostID, group policy.GroupID, class int) {
	if s.writes(class) {
		s.r.WriteAccepted(s.l.loop.Now(), string(host), int(group))
	}
}

// PolicyLogged takes in what the decisions have logged.
func (s *AuditRecorder) PolicyLogged(text string) {
	if host, ok := strings.CutPrefix(text, "breaker opens on "); ok {
		s.r.BreakerOpened(host, s.group(host))
	}
}

// SetList takes in the list: who drains.
func (s *AuditRecorder) SetList(members []policy.Member) {
	clear(s.groups)
	for _, m := range members {
		s.groups[string(m.Host)] = int(m.Group)
	}
	now := s.l.loop.Now()
	for _, m := range members {
		s.r.SetDraining(now, string(m.Host), int(m.Group), m.Status == policy.Draining)
	}
	s.r.DropUnlisted(now, func(database string) bool {
		_, listed := s.groups[database]
		return listed
	})
}

// Override takes in operators' word on a database.
func (s *AuditRecorder) Override(host string, out bool) {
	s.r.SetSuspended(s.l.loop.Now(), host, s.group(host), out)
}

func (s *AuditRecorder) group(host string) int {
	if g, ok := s.groups[host]; ok {
		return g
	}
	return -1
}

// tick goes with that of the versions.
func (s *AuditRecorder) tick(v audit.Version) {
	now := s.l.loop.Now()
	s.r.Set(now, v)
	s.r.Tick(now)
	s.flush()
}

func (s *AuditRecorder) flush() {
	for _, line := range s.r.Take() {
		if s.file != nil {
			s.file.Write(line)
		}
	}
	if s.file != nil {
		s.r.SetLost(s.file.Stats().Lost)
	}
}

// Close ends the last span and waits a moment for the disk.
func (s *AuditRecorder) Close() {
	s.r.Flush(s.l.loop.Now())
	s.flush()
	if s.file != nil {
		if s.file.Close(endWait); s.file.Stats().Lost > 0 {
			log.Printf("event=audit_lost records=%d", s.file.Stats().Lost)
		}
	}
}

// AuditReport is what GET /v1/fleet/audit tells.
type AuditReport struct {
	Name              string            `json:"name"`
	File              string            `json:"file,omitempty"`
	Failure           string            `json:"failure,omitempty"` // of the file
	Lost              uint64            `json:"lost,omitempty"`    // records that are not in it
	TimestampsRefused uint64            `json:"stamps_refused,omitempty"`
	Records           []json.RawMessage `json:"records"` // the newest, as they stand in the file
}

// mostReport bounds an answer to what operators' tools read.
const mostReport = 4 << 20

// Audit tells the newest records of this process.
func (s *AuditRecorder) Audit() []byte {
	s.r.Flush(s.l.loop.Now())
	s.flush()
	own, _ := s.l.m.Self()
	r := AuditReport{Name: own.Name, Records: []json.RawMessage{}, TimestampsRefused: s.r.Clock().Rejected}
	if s.file != nil {
		state := s.file.Stats()
		r.File, r.Failure, r.Lost = s.l.file.Audit.File, state.Err, state.Lost
	}
	kept := s.r.Recent()
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
