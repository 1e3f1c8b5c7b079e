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
	channelPositions          = 3 // gossip
	channelPrimaries          = 6
	channelReconcilePositions = 7                      // anti-entropy within a byte budget: positions
	channelReconcilePrimaries = 8                      // and times of answers as primary
	minPositionStep           = 200 * time.Millisecond // smaller advances are not spread
	minPrimaryStep            = time.Second
	reconcileOverhead         = headerSize + trailerSize + 3 // bytes of a message: the envelope and the header of a CBOR byte string
)

// errNoBudget rejects reconciliation messages for a role that has no byte budget here.
var errNoBudget = fmt.Errorf("%w: positions or primaries under a budget, which the fleet file here does not have", errVersion)

// Positions shares a time per database that never decreases: its replication position, or when it last answered as primary.
type Positions struct {
	links          *Links
	gossip         *state.Positions     // nil if there is a byte budget
	reconciler     *antientropy.Machine // nil if there is no byte budget
	bytesPerSecond int
	hosts          func() []policy.Member
	listChanged    bool // reconciler has not been given the new list yet
	channel        byte
	onUpdate       func(host policy.HostID, at time.Duration)
}

// role says what is shared, and how.
type role struct {
	gossipChannel, reconcileChannel byte
	minStep                         time.Duration
	bytesPerSecond                  int // 0: gossip without a budget
}

// SharePositions starts to exchange replication positions with the other members; deliver receives the updates.
func (l *Links) SharePositions(listed func(policy.HostID) bool, hosts func() []policy.Member, deliver func(policy.Event)) *Positions {
	l.positions = l.sharePositions(role{
		channelPositions, channelReconcilePositions, minPositionStep, l.file.PositionBytes,
	}, listed, hosts, func(h policy.HostID, at time.Duration) {
		deliver(policy.PositionReported{Host: h, Position: at})
	})
	return l.positions
}

// SharePrimaries starts to exchange the times of answers as primary; deliver receives the updates.
func (l *Links) SharePrimaries(listed func(policy.HostID) bool, hosts func() []policy.Member, deliver func(policy.Event)) *Positions {
	l.primaries = l.sharePositions(role{
		channelPrimaries, channelReconcilePrimaries, minPrimaryStep, l.file.PrimaryBytes,
	}, listed, hosts, func(h policy.HostID, at time.Duration) {
		deliver(policy.PrimaryReported{Host: h, At: at})
	})
	return l.primaries
}

// sharePositions starts the sharing of one role, by gossip or, with a byte budget, by reconciliation.
func (l *Links) sharePositions(
	role role, listed func(policy.HostID) bool, hosts func() []policy.Member, onUpdate func(policy.HostID, time.Duration),
) *Positions {
	own, _ := l.machine.Self()
	s := &Positions{links: l, channel: role.gossipChannel, onUpdate: onUpdate, hosts: hosts, bytesPerSecond: role.bytesPerSecond}
	if role.bytesPerSecond == 0 {
		s.gossip = state.NewPositions(own.Name, rand.Uint64(), role.minStep, func(h string) bool { return listed(policy.HostID(h)) })
		l.every(state.GossipInterval, s.gossipTick)
	} else {
		s.channel = role.reconcileChannel
		s.reconciler = antientropy.New(antientropy.Config{
			Name: own.Name, Zone: own.Zone, Seed: rand.Uint64(), BytesPerSecond: role.bytesPerSecond,
			MessageOverhead: reconcileOverhead, Step: role.minStep,
		}, l.loop.Now())
		s.listChanged = true
		l.loop.At(s.reconciler.NextTick(), s.reconcileTick)
	}
	s.setMembers(l.machine.View())
	return s
}

// Observe records what a database reported to this gateway.
func (s *Positions) Observe(host policy.HostID, at time.Duration) {
	if s.reconciler == nil {
		s.gossip.Observe(string(host), at)
	} else if !s.reconciler.Observe(string(host), at) && s.listChanged {
		s.updateList()
		s.reconciler.Observe(string(host), at)
	}
}

// Ages returns the ages of the known positions, in no order.
func (s *Positions) Ages() []time.Duration {
	if s.reconciler != nil {
		return s.reconciler.Ages(s.links.loop.Now())
	}
	return s.gossip.Ages(s.links.loop.Now())
}

// UpdateCounts returns how many updates have come so far from databases and from other gateways.
func (s *Positions) UpdateCounts() (observed, received uint64) {
	if s.reconciler != nil {
		n := s.reconciler.Counts()
		return n.Learned, n.Received
	}
	n := s.gossip.Counts()
	return n.Learned, n.Received
}

// ListChanged drops databases that left the list and adds new ones. With a byte budget this waits for the next message:
// many changes may come at once, and each would cost half a millisecond with 810 databases.
func (s *Positions) ListChanged() {
	if s.listChanged = true; s.reconciler == nil {
		s.gossip.DropUnlisted()
	}
}

// updateList gives the reconciler the current list if it has changed.
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

// receiveGossip applies a message of a gateway without a byte budget. A gateway with a budget applies it as well: a lower
// bound is valid whichever way it came, so that nothing is lost while a fleet is switched from one to the other.
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

// receiveReconcile applies a message of a gateway with a byte budget.
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

// appendMetrics adds the metrics of a role.
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
