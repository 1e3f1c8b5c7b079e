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

// AuditRecorder records what this process did to databases, and on which versions it acted. It implements gateway.Observer.
type AuditRecorder struct {
	links    *Links
	recorder *audit.Recorder
	file     *auditfile.Writer // nil: records stay in memory
	isWrite  func(class int) bool
	groups   map[string]int
}

// StartAudit starts to keep audit records; isWrite reports whether a class is one of writes.
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

// Sent records the start of an attempt.
func (s *AuditRecorder) Sent(host policy.HostID, group policy.GroupID) {
	s.recorder.Sent(s.links.loop.Now(), string(host), int(group))
}

// Accepted records a write that a database has served; requests of other classes are ignored.
func (s *AuditRecorder) Accepted(host policy.HostID, group policy.GroupID, class int) {
	if s.isWrite(class) {
		s.recorder.WriteAccepted(s.links.loop.Now(), string(host), int(group))
	}
}

// PolicyLogged records the opening of a breaker, which it reads from the policy's log texts.
func (s *AuditRecorder) PolicyLogged(text string) {
	if host, ok := strings.CutPrefix(text, "breaker opens on "); ok {
		s.recorder.BreakerOpened(host, s.groupOf(host))
	}
}

// SetList applies a new list of databases: which are draining, and which are no longer listed.
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

// Override records an operator override of a database.
func (s *AuditRecorder) Override(host string, active bool) {
	s.recorder.SetSuspended(s.links.loop.Now(), host, s.groupOf(host), active)
}

// groupOf returns the group of a database; -1: it is not in the list.
func (s *AuditRecorder) groupOf(host string) int {
	if g, ok := s.groups[host]; ok {
		return g
	}
	return -1
}

// tick is called with each tick of versions.
func (s *AuditRecorder) tick(v audit.Version) {
	now := s.links.loop.Now()
	s.recorder.Set(now, v)
	s.recorder.Tick(now)
	s.flush()
}

// flush writes the finished records to the file.
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

// Close writes the last record and waits for the disk, for closeTimeout at most.
func (s *AuditRecorder) Close() {
	s.recorder.Flush(s.links.loop.Now())
	s.flush()
	if s.file != nil {
		if s.file.Close(closeTimeout); s.file.Stats().Lost > 0 {
			log.Printf("event=audit_lost records=%d", s.file.Stats().Lost)
		}
	}
}

// AuditReport is the answer to GET /v1/fleet/audit.
type AuditReport struct {
	Name              string            `json:"name"`
	File              string            `json:"file,omitempty"`
	Failure           string            `json:"failure,omitempty"` // the last error of the file
	Lost              uint64            `json:"lost,omitempty"`    // records that are missing in the file
	TimestampsRefused uint64            `json:"stamps_refused,omitempty"`
	Records           []json.RawMessage `json:"records"` // the newest, as written to the file
}

// maxReportSize limits an answer, in bytes of records, to what operators' tools read.
const maxReportSize = 4 << 20

// Audit returns in JSON the newest records of this process.
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

// Audit returns the newest audit records; false: none are kept.
func (l *Links) Audit() ([]byte, bool) {
	if l.audit == nil {
		return nil, false
	}
	return l.audit.Audit(), true
}
