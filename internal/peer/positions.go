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
	channelState              = 3 // rumours
	channelPrimaries          = 6
	channelReconcilePositions = 7                      // anti-entropy under a budget: positions
	channelReconcilePrimaries = 8                      // and answers as primary
	positionStep              = 200 * time.Millisecond // less is no news
	primaryStep               = time.Second
	reconcileOverhead         = headSize + tailSize + 3 // of a message: the envelope, and the head of a string of bytes
)

// errNoBudget refuses what a gateway sends that has a budget for a role, while here there is none.
var errNoBudget = fmt.Errorf("%w: positions or primaries under a budget, which the fleet file here does not have", errVersion)

// Positions are moments of databases that only rise, as the fleet knows them: how far each has come, or when each last
// answered as primary.
type Positions struct {
	l       *Links
	p       *state.Positions     // told as rumours; nil where there is a budget
	r       *antientropy.Machine // under a budget of bytes; nil where there is none
	budget  int
	hosts   func() []policy.Member
	changed bool // the list has, and r does not know it yet
	channel byte
	heard   func(host policy.HostID, at time.Duration)
}

// role is what is shared, and how.
type role struct {
	rumours, reconcile byte // channels
	step               time.Duration
	budget             int // bytes a second; 0: rumours
}

// SharePositions begins to tell others of positions, and to hear of theirs.
func (l *Links) SharePositions(listed func(policy.HostID) bool, hosts func() []policy.Member, heard func(policy.Event)) *Positions {
	l.positions = l.share(role{channelState, channelReconcilePositions, positionStep, l.file.PositionBytes}, listed, hosts, func(h policy.HostID, at time.Duration) {
		heard(policy.PositionReported{Host: h, Position: at})
	})
	return l.positions
}

// SharePrimaries begins to tell others of answers as primary, and to hear of theirs.
func (l *Links) SharePrimaries(listed func(policy.HostID) bool, hosts func() []policy.Member, heard func(policy.Event)) *Positions {
	l.primaries = l.share(role{channelPrimaries, channelReconcilePrimaries, primaryStep, l.file.PrimaryBytes}, listed, hosts, func(h policy.HostID, at time.Duration) {
		heard(policy.PrimaryReported{Host: h, At: at})
	})
	return l.primaries
}

func (l *Links) share(o role, listed func(policy.HostID) bool, hosts func() []policy.Member, heard func(policy.HostID, time.Duration)) *Positions {
	own, _ := l.m.Self()
	s := &Positions{l: l, channel: o.rumours, heard: heard, hosts: hosts, budget: o.budget}
	if o.budget == 0 {
		s.p = state.NewPositions(own.Name, rand.Uint64(), o.step, func(h string) bool { return listed(policy.HostID(h)) })
		l.every(state.GossipInterval, s.tick)
	} else {
		s.channel = o.reconcile
		s.r = antientropy.New(antientropy.Config{
			Name: own.Name, Zone: own.Zone, Seed: rand.Uint64(), BytesPerSecond: o.budget, MessageOverhead: reconcileOverhead, Step: o.step,
		}, l.loop.Now())
		s.changed = true
		l.loop.At(s.r.NextTick(), s.ask)
	}
	s.stand(l.m.View())
	return s
}

// Observe takes in what a database told this gateway.
func (s *Positions) Observe(host policy.HostID, at time.Duration) {
	if s.r == nil {
		s.p.Observe(string(host), at)
	} else if !s.r.Observe(string(host), at) && s.changed {
		s.relist()
		s.r.Observe(string(host), at)
	}
}

// Ages are how old the moments are that are known, in no order.
func (s *Positions) Ages() []time.Duration {
	if s.r != nil {
		return s.r.Ages(s.l.loop.Now())
	}
	return s.p.Ages(s.l.loop.Now())
}

// UpdateCounts is how many moments were news so far, from databases and from other gateways.
func (s *Positions) UpdateCounts() (learned, heard uint64) {
	if s.r != nil {
		n := s.r.Counts()
		return n.Learned, n.Received
	}
	n := s.p.Counts()
	return n.Learned, n.Received
}

// ListChanged drops what left the list, and takes up what has come; under a budget before the next message, for many changes
// may come at once and each would cost half a millisecond at 810 databases.
func (s *Positions) ListChanged() {
	if s.changed = true; s.r == nil {
		s.p.DropUnlisted()
	}
}

// relist has the machine know the list as it is now.
func (s *Positions) relist() {
	if !s.changed {
		return
	}
	s.changed = false
	var list []string
	for _, m := range s.hosts() {
		list = append(list, string(m.Host))
	}
	s.r.SetDatabases(list)
}

func (s *Positions) stand(v membership.View) {
	if s.r == nil {
		s.p.SetMembers(v.Names())
		return
	}
	var list []antientropy.Member
	for _, m := range v.Members {
		list = append(list, antientropy.Member{Name: m.Name, Zone: m.Zone})
	}
	s.r.SetMembers(list)
}

func (s *Positions) tick() {
	for _, m := range s.p.Tick() {
		s.l.post(m.To, s.channel, m.Message)
	}
}

func (s *Positions) ask() {
	s.relist()
	s.post(s.r.Tick(s.l.loop.Now()))
	s.l.loop.At(max(s.r.NextTick(), s.l.loop.Now()+time.Millisecond), s.ask)
}

func (s *Positions) post(list []antientropy.Send) {
	for _, m := range list {
		s.l.post(m.To, s.channel, m.Body)
	}
}

// rumour takes in what a gateway without a budget tells. One with a budget takes it in, too: a floor is one whoever
// tells it, and so a fleet that changes over loses nothing.
func (s *Positions) rumour(body []byte) error {
	var msg state.PositionsMessage
	if err := s.l.codec.read(body, &msg); err != nil {
		return err
	}
	if s.r == nil {
		for _, x := range s.p.Receive(s.l.loop.Now(), msg) {
			s.heard(policy.HostID(x.Host), x.At)
		}
		return nil
	}
	told := antientropy.Message{Kind: antientropy.Response, Truncated: true}
	for _, x := range msg.Positions {
		told.Entries = append(told.Entries, antientropy.Entry{Host: x.Host, At: x.At})
	}
	s.reconciled(told)
	return nil
}

// reconcile takes in what a gateway with a budget sends.
func (s *Positions) reconcile(body []byte) error {
	if s.r == nil {
		return errNoBudget
	}
	var text []byte
	if err := s.l.codec.read(body, &text); err != nil {
		return err
	}
	msg, err := antientropy.Parse(text)
	if err != nil {
		return fmt.Errorf("%w: %v", errBad, err)
	}
	s.reconciled(msg)
	return nil
}

func (s *Positions) reconciled(msg antientropy.Message) {
	s.relist()
	out, news := s.r.Receive(s.l.loop.Now(), msg)
	s.post(out)
	for _, c := range news {
		s.heard(policy.HostID(c.Host), c.At)
	}
}

// metrics adds the figures of a role.
func (s *Positions) metrics(name string, line func(name string, n uint64)) {
	if s.r == nil {
		n := s.p.Counts()
		line(name+".learned", n.Learned)
		line(name+".heard", n.Received)
		line(name+".old", n.Outdated)
		line(name+".ahead", n.Future)
		line(name+".unknown", n.Unknown)
		return
	}
	n := s.r.Counts()
	line(name+".learned", n.Learned)
	line(name+".heard", n.Received)
	line(name+".old", n.Outdated)
	line(name+".ahead", n.Future)
	line(name+".unknown", n.Unknown)
	line(name+".budget", uint64(s.budget))
	line(name+".bytes", n.Bytes)
	line(name+".asked", n.Requests)
	line(name+".wanted", n.Wanted)
	line(name+".answered", n.Answered)
	line(name+".told", n.EntriesSent)
	line(name+".cut", n.Truncated)
	line(name+".refused", n.Refused)
	line(name+".was_refused", n.PeerBusy)
	line(name+".other_list", n.ListMismatches)
	line(name+".window", uint64(s.r.Window()))
	p50, p99, unknown := s.r.AgePercentiles(s.l.loop.Now())
	line(name+".age_p50_ms", uint64(p50.Milliseconds()))
	line(name+".age_p99_ms", uint64(p99.Milliseconds()))
	line(name+".not_known", uint64(unknown))
}
