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

const closeTimeout = 300 * time.Millisecond // for the disk, at the end of the process

// AuditRecorder keep what this process did to databases, by what it acted on. They are gateway.Acts.
type AuditRecorder struct {
	links    *Links
	recorder *audit.Recorder
	file     *auditfile.Writer // nil: records stay in memory
	isWrite  func(class int) bool
	groups   map[string]int
}

// StartAudit begins to keep spans. writes tells which classes are writes.
func (l *Links) StartAudit(isWrite func(class int) bool) (*AuditRecorder, error) {
	own, _ := l.machine.Self()
	s := &AuditRecorder{links: l, recorder: audit.NewRecorder(own.Name, own.Session), isWrite: isWrite, groups: map[string]int{}}
	if cfg := l.file.Audit; cfg != nil {
		var err error
		if s.file, err = auditfile.Open(auditfile.Options{Path: cfg.File, MaxBytes: int64(cfg.Megabytes) << 20, Keep: cfg.Keep}); err != nil {
			return nil, err
		}
	}
	l.audit = s
	return s, nil
}

// Sent notes an attempt that was begun.
func (s *AuditRecorder) Sent(host policy.HostID, group policy.GroupID) {
	s.recorder.Sent(s.links.loop.Now(), string(host), int(group))
}

// Accepted notes a request that a database has served.
func (s *AuditRecorder) Accepted(host policy.HostID, group policy.GroupID, class int) {
	if s.isWrite(class) {
		s.recorder.WriteAccepted(s.links.loop.Now(), string(host), int(group))
	}
}

// PolicyLogged takes in what the decisions have logged.
func (s *AuditRecorder) PolicyLogged(text string) {
	if host, ok := strings.CutPrefix(text, "breaker opens on "); ok {
		s.recorder.BreakerOpened(host, s.groupOf(host))
	}
}

// SetList takes in the list: who drains.
func (s *AuditRecorder) SetList(members []policy.Member) {
	clear(s.groups)
	for _, m := range members {
		s.groups[string(m.Host)] = int(m.Group)
	}
	now := s.links.loop.Now()
	for _, m := range members {
		s.recorder.SetDraining(now, string(m.Host), int(m.Group), m.Status == policy.Draining)
	}
	s.recorder.DropUnlisted(now, func(database string) bool {
		_, listed := s.groups[database]
		return listed
	})
}

// Override takes in operators' word on a database.
func (s *AuditRecorder) Override(host string, active bool) {
	s.recorder.SetSuspended(s.links.loop.Now(), host, s.groupOf(host), active)
}

func (s *AuditRecorder) groupOf(host string) int {
	if g, ok := s.groups[host]; ok {
		return g
	}
	return -1
}

// tick goes with that of the versions.
func (s *AuditRecorder) tick(v audit.Version) {
	now := s.links.loop.Now()
	s.recorder.Set(now, v)
	s.recorder.Tick(now)
	s.flush()
}

func (s *AuditRecorder) flush() {
	for _, line := range s.recorder.Take() {
		if s.file != nil {
			s.file.Write(line)
		}
	}
	if s.file != nil {
		s.recorder.SetLost(s.file.Stats().Lost)
	}
}

// Close ends the last span and waits a moment for the disk.
func (s *AuditRecorder) Close() {
	s.recorder.Flush(s.links.loop.Now())
	s.flush()
	if s.file != nil {
		if s.file.Close(closeTimeout); s.file.Stats().Lost > 0 {
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

// maxReportSize bounds an answer to what operators' tools read.
const maxReportSize = 4 << 20

// Audit tells the newest records of this process.
func (s *AuditRecorder) Audit() []byte {
	s.recorder.Flush(s.links.loop.Now())
	s.flush()
	own, _ := s.links.machine.Self()
	r := AuditReport{Name: own.Name, Records: []json.RawMessage{}, TimestampsRefused: s.recorder.Clock().Rejected}
	if s.file != nil {
		fileStats := s.file.Stats()
		r.File, r.Failure, r.Lost = s.links.file.Audit.File, fileStats.Err, fileStats.Lost
	}
	recent := s.recorder.Recent()
	remaining, first := maxReportSize, len(recent)
	for first > 0 && remaining >= len(recent[first-1]) {
		first--
		remaining -= len(recent[first])
	}
	for _, line := range recent[first:] {
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
	if l.audit == nil {
		return nil, false
	}
	return l.audit.Audit(), true
}
