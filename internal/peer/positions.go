package peer

import (
	"math/rand/v2"
	"time"

	"lilaccove/internal/fleet/membership"
	"lilaccove/internal/fleet/state"
	"lilaccove/policy"
)

const (
	channelState     = 3
	channelPrimaries = 6
	positionStep     = 200 * time.Millisecond // less is no news
	primaryStep      = time.Second
)

// Positions are moments of databases that only rise, as the fleet knows them: how far each has come, or when each last
// answered as primary.
type Positions struct {
	l       *Links
	p       *state.Positions
	channel byte
	heard   func(host policy.HostID, at time.Duration)
}

// SharePositions begins to tell others of positions, and to hear of theirs.
func (l *Links) SharePositions(listed func(policy.HostID) bool, heard func(policy.Event)) *Positions {
	l.positions = l.share(channelState, positionStep, listed, func(h policy.HostID, at time.Duration) {
		heard(policy.Heard{Host: h, Position: at})
	})
	return l.positions
}

// SharePrimaries begins to tell others of answers as primary, and to hear of theirs.
func (l *Links) SharePrimaries(listed func(policy.HostID) bool, heard func(policy.Event)) *Positions {
	l.primaries = l.share(channelPrimaries, primaryStep, listed, func(h policy.HostID, at time.Duration) {
		heard(policy.Told{Host: h, At: at})
	})
	return l.primaries
}

func (l *Links) share(channel byte, step time.Duration, listed func(policy.HostID) bool, heard func(policy.HostID, time.Duration)) *Positions {
	own, _ := l.m.Own()
	s := &Positions{l: l, channel: channel, heard: heard}
	s.p = state.New(own.Name, rand.Uint64(), step, func(h string) bool { return listed(policy.HostID(h)) })
	s.stand(l.m.View())
	l.every(state.Tick, s.tick)
	return s
}

// Learned takes in what a database told this gateway.
func (s *Positions) Learned(host policy.HostID, at time.Duration) { s.p.Learned(string(host), at) }

// Ages are how old the positions are that are known, in no order.
func (s *Positions) Ages() []time.Duration { return s.p.Ages(s.l.loop.Now()) }

// News is how many positions were news so far, from databases and from other gateways.
func (s *Positions) News() (learned, heard uint64) {
	n := s.p.Counts()
	return n.Learned, n.Heard
}

// Forget drops what left the list.
func (s *Positions) Forget() { s.p.Forget() }

func (s *Positions) stand(v membership.View) {
	s.p.Live(v.Names())
}

func (s *Positions) tick() {
	for _, m := range s.p.Tick() {
		s.l.post(m.To, s.channel, m.Message)
	}
}

func (s *Positions) receive(body []byte) error {
	var msg state.Message
	if err := s.l.codec.read(body, &msg); err != nil {
		return err
	}
	for _, x := range s.p.Receive(s.l.loop.Now(), msg) {
		s.heard(policy.HostID(x.Host), x.At)
	}
	return nil
}
