package peer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lilaccove/internal/fleet/antientropy"
	"lilaccove/internal/fleet/membership"
	"lilaccove/internal/fleet/state"
	"lilaccove/policy"
)

const (
	channelPositions          = 3 // rumours
	channelPrimaries          = 6
	channelReconcilePositions = 7                      // anti-entropy under a budget: positions
	channelReconcilePrimaries = 8                      // and answers as primary
	minPositionStep           = 200 * time.Millisecond // less is no news
	minPrimaryStep            = time.Second
	reconcileOverhead         = headerSize + trailerSize + 3 // of a message: the envelope, and the head of a string of bytes
)

// errNoBudget refuses what a gateway sends that has a budget for a role, while here there is none.
var errNoBudget = fmt.Errorf("%w: positions or primaries under a budget, which the fleet file here does not have", errVersion)

// Positions are moments of databases that only rise, as the fleet knows them: how far each has come, or when each last
// answered as primary.
type Positions struct {
	links          *Links
	gossip         *state.Positions     // told as rumours; nil where there is a budget
	reconciler     *antientropy.Machine // under a budget of bytes; nil where there is none
	bytesPerSecond int
	hosts          func() []policy.Member
	listChanged    bool // the list has, and r does not know it yet
	channel        byte
	onUpdate       func(host policy.HostID, at time.Duration)
}

// role is what is shared, and how.
type role struct {
	gossipChannel, reconcileChannel byte // channels
	minStep                         time.Duration
	bytesPerSecond                  int // bytes a second; 0: rumours
}

// SharePositions begins to tell others of positions, and to hear of theirs.
func (l *Links) SharePositions(listed func(policy.HostID) bool, hosts func() []policy.Member, deliver func(policy.Event)) *Positions {
	l.positions = l.sharePositions(role{channelPositions, channelReconcilePositions, minPositionStep, l.file.PositionBytes}, listed, hosts, func(h policy.HostID, at time.Duration) {
		deliver(policy.PositionReported{Host: h, Position: at})
	})
	return l.positions
}

// SharePrimaries begins to tell others of answers as primary, and to hear of theirs.
func (l *Links) SharePrimaries(listed func(policy.HostID) bool, hosts func() []policy.Member, deliver func(policy.Event)) *Positions {
	l.primaries = l.sharePositions(role{channelPrimaries, channelReconcilePrimaries, minPrimaryStep, l.file.PrimaryBytes}, listed, hosts, func(h policy.HostID, at time.Duration) {
		deliver(policy.PrimaryReported{Host: h, At: at})
	})
	return l.primaries
}

func (l *Links) sharePositions(role role, listed func(policy.HostID) bool, hosts func() []policy.Member, onUpdate func(policy.HostID, time.Duration)) *Positions {
	own, _ := l.machine.Self()
	s := &Positions{links: l, channel: role.gossipChannel, onUpdate: onUpdate, hosts: hosts, bytesPerSecond: role.bytesPerSecond}
	if role.bytesPerSecond == 0 {
		s.gossip = state.NewPositions(own.Name, rand.Uint64(), role.minStep, func(h string) bool { return listed(policy.HostID(h)) })
		l.every(state.GossipInterval, s.gossipTick)
	} else {
		s.channel = role.reconcileChannel
		s.reconciler = antientropy.New(antientropy.Config{
			Name: own.Name, Zone: own.Zone, Seed: rand.Uint64(), BytesPerSecond: role.bytesPerSecond, MessageOverhead: reconcileOverhead, Step: role.minStep,
		}, l.loop.Now())
		s.listChanged = true
		l.loop.At(s.reconciler.NextTick(), s.reconcileTick)
	}
	s.setMembers(l.machine.View())
	return s
}

// Observe takes in what a database told this gateway.
func (s *Positions) Observe(host policy.HostID, at time.Duration) {
	if s.reconciler == nil {
		s.gossip.Observe(string(host), at)
	} else if !s.reconciler.Observe(string(host), at) && s.listChanged {
		s.updateList()
		s.reconciler.Observe(string(host), at)
	}
}

// Ages are how old the moments are that are known, in no order.
func (s *Positions) Ages() []time.Duration {
	if s.reconciler != nil {
		return s.reconciler.Ages(s.links.loop.Now())
	}
	return s.gossip.Ages(s.links.loop.Now())
}

// UpdateCounts is how many moments were news so far, from databases and from other gateways.
func (s *Positions) UpdateCounts() (observed, received uint64) {
	if s.reconciler != nil {
		n := s.reconciler.Counts()
		return n.Learned, n.Received
	}
	n := s.gossip.Counts()
	return n.Learned, n.Received
}

// ListChanged drops what left the list, and takes up what has come; under a budget before the next message, for many changes
// may come at once and each would cost half a millisecond at 810 databases.
func (s *Positions) ListChanged() {
	if s.listChanged = true; s.reconciler == nil {
		s.gossip.DropUnlisted()
	}
}

// updateList has the machine know the list as it is now.
func (s *Positions) updateList() {
	if !s.listChanged {
		return
	}
	s.listChanged = false
	var list []string
	for _, m := range s.hosts() {
		list = append(list, string(m.Host))
	}
	s.reconciler.SetDatabases(list)
}

func (s *Positions) setMembers(view membership.View) {
	if s.reconciler == nil {
		s.gossip.SetMembers(view.Names())
		return
	}
	var list []antientropy.Member
	for _, m := range view.Members {
		list = append(list, antientropy.Member{Name: m.Name, Zone: m.Zone})
	}
	s.reconciler.SetMembers(list)
}

func (s *Positions) gossipTick() {
	for _, m := range s.gossip.Tick() {
		s.links.sendTo(m.To, s.channel, m.Message)
	}
}

func (s *Positions) reconcileTick() {
	s.updateList()
	s.send(s.reconciler.Tick(s.links.loop.Now()))
	s.links.loop.At(max(s.reconciler.NextTick(), s.links.loop.Now()+time.Millisecond), s.reconcileTick)
}

func (s *Positions) send(messages []antientropy.Send) {
	for _, m := range messages {
		s.links.sendTo(m.To, s.channel, m.Body)
	}
}

// receiveGossip takes in what a gateway without a budget tells. One with a budget takes it in, too: a floor is one whoever
// tells it, and so a fleet that changes over loses nothing.
func (s *Positions) receiveGossip(body []byte) error {
	var msg state.PositionsMessage
	if err := s.links.codec.unmarshal(body, &msg); err != nil {
		return err
	}
	if s.reconciler == nil {
		for _, position := range s.gossip.Receive(s.links.loop.Now(), msg) {
			s.onUpdate(policy.HostID(position.Host), position.At)
		}
		return nil
	}
	converted := antientropy.Message{Kind: antientropy.Response, Truncated: true}
	for _, position := range msg.Positions {
		converted.Entries = append(converted.Entries, antientropy.Entry{Host: position.Host, At: position.At})
	}
	s.applyReconcile(converted)
	return nil
}

// receiveReconcile takes in what a gateway with a budget sends.
func (s *Positions) receiveReconcile(body []byte) error {
	if s.reconciler == nil {
		return errNoBudget
	}
	var text []byte
	if err := s.links.codec.unmarshal(body, &text); err != nil {
		return err
	}
	msg, err := antientropy.Parse(text)
	if err != nil {
		return fmt.Errorf("%w: %v", errMalformed, err)
	}
	s.applyReconcile(msg)
	return nil
}

func (s *Positions) applyReconcile(msg antientropy.Message) {
	s.updateList()
	out, updates := s.reconciler.Receive(s.links.loop.Now(), msg)
	s.send(out)
	for _, entry := range updates {
		s.onUpdate(policy.HostID(entry.Host), entry.At)
	}
}

// appendMetrics adds the figures of a role.
func (s *Positions) appendMetrics(name string, line func(name string, n uint64)) {
	if s.reconciler == nil {
		n := s.gossip.Counts()
		line(name+".learned", n.Learned)
		line(name+".heard", n.Received)
		line(name+".old", n.Outdated)
		line(name+".ahead", n.Future)
		line(name+".unknown", n.Unknown)
		return
	}
	n := s.reconciler.Counts()
	line(name+".learned", n.Learned)
	line(name+".heard", n.Received)
	line(name+".old", n.Outdated)
	line(name+".ahead", n.Future)
	line(name+".unknown", n.Unknown)
	line(name+".budget", uint64(s.bytesPerSecond))
	line(name+".bytes", n.Bytes)
	line(name+".asked", n.Requests)
	line(name+".wanted", n.Wanted)
	line(name+".answered", n.Answered)
	line(name+".told", n.EntriesSent)
	line(name+".cut", n.Truncated)
	line(name+".refused", n.Refused)
	line(name+".was_refused", n.PeerBusy)
	line(name+".other_list", n.ListMismatches)
	line(name+".window", uint64(s.reconciler.Window()))
	p50, p99, unknown := s.reconciler.AgePercentiles(s.links.loop.Now())
	line(name+".age_p50_ms", uint64(p50.Milliseconds()))
	line(name+".age_p99_ms", uint64(p99.Milliseconds()))
	line(name+".not_known", uint64(unknown))
}
