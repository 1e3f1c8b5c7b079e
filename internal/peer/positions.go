package peer

import (
	"math/rand/v2"
	"time"

	"lilaccove/internal/fleet/membership"
	"lilaccove/internal/fleet/state"
	"lilaccove/policy"
)

const channelState = 3

// Positions are those of databases, as the fleet knows them.
type Positions struct {
	l     *Links
	p     *state.Positions
	heard func(policy.Event)
}

// SharePositions begins to tell others of positions, and to hear of theirs.
func (l *Links) SharePositions(listed func(policy.HostID) bool, heard func(policy.Event)) *Positions {
	own, _ := l.m.Own()
	s := &Positions{l: l, heard: heard}
	s.p = state.New(own.Name, rand.Uint64(), func(h string) bool { return listed(policy.HostID(h)) })
	l.positions = s
	s.stand(l.m.View())
	l.every(state.Tick, s.tick)
	return s
}

// Learned takes in what a database told this gateway.
func (s *Positions) Learned(host policy.HostID, at time.Duration) { s.p.Learned(string(host), at) }

// Forget drops what left the list.
func (s *Positions) Forget() { s.p.Forget() }

func (s *Positions) stand(v membership.View) {
	s.p.Live(v.Names())
}

func (s *Positions) tick() {
	for _, m := range s.p.Tick() {
		s.l.post(m.To, channelState, m.Message)
	}
}

func (s *Positions) receive(body []byte) error {
	var msg state.Message
	if err := s.l.codec.read(body, &msg); err != nil {
		return err
	}
	for _, x := range s.p.Receive(s.l.loop.Now(), msg) {
		s.heard(policy.Heard{Host: policy.HostID(x.Host), Position: x.At})
	}
	return nil
}
