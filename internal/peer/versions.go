package peer

import (
	"encoding/json"
	"log"
	"math/rand/v2"
	"time"

	"lilaccove/internal/fleet/audit"
)

const (
	channelVersions = 5
	versionsEvery   = 250 * time.Millisecond
	behindBound     = time.Second
	askPace         = 100 * time.Millisecond // of a fleet of stragglers, as the module's between calls to discovery
)

// LocalVersions are what this process acts on, as far as the fleet is told of it.
type LocalVersions struct {
	ListVersion                   func() int64 // the version of the list now
	RequestList                   func()       // asks discovery out of turn
	ConfigDigest, FleetFileDigest string       // digests
	Build                         string
}

type versions struct {
	l     *Links
	v     *audit.Versions
	facts LocalVersions
	told  bool // that this process is behind
}

// ShareVersions begins to tell others what this process acts on, and to bring its list up when others have a newer one.
func (l *Links) ShareVersions(f LocalVersions) {
	own, _ := l.m.Self()
	s := &versions{l: l, facts: f, v: audit.NewVersions(audit.VersionsConfig{Name: own.Name, MaxLag: behindBound, RequestSpread: askPace, Seed: rand.Uint64()})}
	l.versions = s
	s.tick()
	l.every(versionsEvery, s.tick)
}

func (s *versions) tick() {
	l := s.l
	own, member := l.m.Self()
	view := l.m.View()
	s.v.SetMembers(view.Names())
	acts := audit.Version{
		Session: own.Session, ListVersion: s.facts.ListVersion(), OverridesDigest: l.words.w.Digest(), ViewDigest: view.Digest, ConfigDigest: s.facts.ConfigDigest, FleetFileDigest: s.facts.FleetFileDigest, Build: s.facts.Build,
	}
	s.v.Set(acts)
	if l.spans != nil {
		l.spans.tick(acts)
	}
	out, ask := s.v.Tick(l.loop.Now())
	if l.fence != nil {
		l.fence.Tick(l.loop.Now(), acts.ListVersion, s.v.Others(), view.Names())
		l.guard()
	}
	if member { // one that is drained, or whose name is another's, only listens
		for _, m := range out {
			if l.spans != nil {
				m.Message.Timestamp = l.spans.r.Clock().Now(l.loop.Now())
			}
			l.post(m.To, channelVersions, m.Message)
		}
	}
	since, asked := s.v.Lagging()
	if behind := since > 0 && ask || s.told && since > 0; behind != s.told {
		s.told = behind
		log.Printf("event=fleet_behind on=%t list=%d asked=%d", behind, s.facts.ListVersion(), asked)
	}
	if ask {
		s.facts.RequestList()
	}
}

func (s *versions) receive(body []byte) error {
	var msg audit.VersionsMessage
	if err := s.l.codec.read(body, &msg); err != nil {
		return err
	}
	if s.l.spans != nil {
		s.l.spans.r.Clock().Observe(s.l.loop.Now(), msg.Timestamp)
	}
	if s.l.fence != nil && s.l.udp.Emptied() < s.l.fence.PauseEnd() {
		return nil // it waited while this process stood still, and tells of then
	}
	s.v.Receive(s.l.loop.Now(), msg)
	return nil
}

// VersionsReport is what GET /v1/fleet/versions tells.
type VersionsReport struct {
	Name     string          `json:"name"`
	Versions []VersionReport `json:"versions"`
}

// VersionReport is one gateway's versions as another knows them.
type VersionReport struct {
	audit.Version
	ReceivedMS int64 `json:"heard_ms_ago"`
	LaggingMS  int64 `json:"behind_ms,omitempty"` // for so long others have had a newer list
}

// Versions tells in JSON who acts on which versions.
func (l *Links) Versions() []byte {
	now := l.loop.Now()
	own, _ := l.m.Self()
	r := VersionsReport{Name: own.Name}
	for _, k := range l.versions.v.All() {
		x := VersionReport{Version: k.Version}
		if k.ReceivedAt > 0 {
			x.ReceivedMS = (now - k.ReceivedAt).Milliseconds()
		}
		if k.LaggingSince > 0 {
			x.LaggingMS = (now - k.LaggingSince).Milliseconds()
		}
		r.Versions = append(r.Versions, x)
	}
	b, err := json.Marshal(r)
	if err != nil {
		return []byte("{}")
	}
	return append(b, '\n')
}
