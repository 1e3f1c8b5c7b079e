package peer

import (
	"encoding/json"
	"log"
	"math/rand/v2"
	"time"

	"lilaccove/internal/fleet/audit"
)

const (
	channelVersions   = 5
	versionsInterval  = 250 * time.Millisecond
	maxListLag        = time.Second            // after which a lagging gateway requests the list
	listRequestSpread = 100 * time.Millisecond // per gateway of the fleet, like listCallInterval of package policy
)

// LocalVersions names the versions on which this process acts, to be shared with the fleet.
type LocalVersions struct {
	ListVersion                   func() int64 // returns the current list version
	RequestList                   func()       // asks discovery for the list ahead of schedule
	ConfigDigest, FleetFileDigest string
	Build                         string
}

// versions exchanges versions with the other members.
type versions struct {
	links   *Links
	tracker *audit.Versions
	local   LocalVersions
	lagging bool // this process has an older list than others, as last logged
}

// ShareVersions starts to exchange versions with the other members, and to request the list when others have a newer one.
func (l *Links) ShareVersions(local LocalVersions) {
	own, _ := l.machine.Self()
	s := &versions{links: l, local: local, tracker: audit.NewVersions(audit.VersionsConfig{
		Name: own.Name, MaxLag: maxListLag, RequestSpread: listRequestSpread, Seed: rand.Uint64(),
	})}
	l.versions = s
	s.tick()
	l.every(versionsInterval, s.tick)
}

func (s *versions) tick() {
	l := s.links
	own, member := l.machine.Self()
	view := l.machine.View()
	s.tracker.SetMembers(view.Names())
	current := audit.Version{
		Session: own.Session, ListVersion: s.local.ListVersion(), OverridesDigest: l.overrides.set.Digest(), ViewDigest: view.Digest,
		ConfigDigest: s.local.ConfigDigest, FleetFileDigest: s.local.FleetFileDigest, Build: s.local.Build,
	}
	s.tracker.Set(current)
	if l.audit != nil {
		l.audit.tick(current)
	}
	out, request := s.tracker.Tick(l.loop.Now())
	if l.fence != nil {
		l.fence.Tick(l.loop.Now(), current.ListVersion, s.tracker.Others(), view.Names())
		l.applyFence()
	}
	if member { // a drained or superseded process only receives
		for _, m := range out {
			if l.audit != nil {
				m.Message.Timestamp = l.audit.recorder.Clock().Now(l.loop.Now())
			}
			l.sendTo(m.To, channelVersions, m.Message)
		}
	}
	since, requested := s.tracker.Lagging()
	if lagging := since > 0 && request || s.lagging && since > 0; lagging != s.lagging {
		s.lagging = lagging
		log.Printf("event=fleet_behind on=%t list=%d asked=%d", lagging, s.local.ListVersion(), requested)
	}
	if request {
		s.local.RequestList()
	}
}

func (s *versions) receive(body []byte) error {
	var msg audit.VersionsMessage
	if err := s.links.codec.unmarshal(body, &msg); err != nil {
		return err
	}
	if s.links.audit != nil {
		s.links.audit.recorder.Clock().Observe(s.links.loop.Now(), msg.Timestamp)
	}
	if s.links.fence != nil && s.links.udp.EmptiedTime() < s.links.fence.PauseEnd() {
		return nil // it was queued during a pause of this process and is outdated
	}
	s.tracker.Receive(s.links.loop.Now(), msg)
	return nil
}

// VersionsReport is the answer to GET /v1/fleet/versions.
type VersionsReport struct {
	Name     string          `json:"name"`
	Versions []VersionReport `json:"versions"`
}

// VersionReport holds one gateway's versions as another knows them.
type VersionReport struct {
	audit.Version
	ReceivedMS int64 `json:"heard_ms_ago"`
	LaggingMS  int64 `json:"behind_ms,omitempty"` // how long others have had a newer list
}

// Versions returns in JSON the versions on which each gateway acts.
func (l *Links) Versions() []byte {
	now := l.loop.Now()
	own, _ := l.machine.Self()
	r := VersionsReport{Name: own.Name}
	for _, known := range l.versions.tracker.All() {
		report := VersionReport{Version: known.Version}
		if known.ReceivedAt > 0 {
			report.ReceivedMS = (now - known.ReceivedAt).Milliseconds()
		}
		if known.LaggingSince > 0 {
			report.LaggingMS = (now - known.LaggingSince).Milliseconds()
		}
		r.Versions = append(r.Versions, report)
	}
	b, err := json.Marshal(r)
	if err != nil {
		return []byte("{}")
	}
	return append(b, '\n')
}
