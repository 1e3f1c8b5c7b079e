// Package state holds the knowledge that the gateways of a fleet share: replication positions of databases and operator
// overrides. It consists of state machines without input or output.
// A position only increases, so wherever copies differ the greatest one is kept, and messages that are late, duplicated or
// out of order change nothing (a state-based CRDT, Shapiro and others 2011, with the maximum as its join).
package state

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// GossipInterval is the time between two rounds of gossip.
	GossipInterval      = 100 * time.Millisecond
	fanout              = 3           // members that a message goes to
	positionsPerMessage = 30          // positions in one message
	maxFuture           = time.Second // positions further ahead of the own clock are rejected
	maxNameBytes        = 256

	positionOverhead = 16 // bytes of an encoded position besides its name, at most
)

// Position is the replication position of a database.
type Position struct {
	Host string        `cbor:"1,keyasint"`
	At   time.Duration `cbor:"2,keyasint"` // since the Unix epoch; all commits up to it are applied
}

// PositionsMessage is a gossip message with changed positions.
type PositionsMessage struct {
	Positions []Position `cbor:"1,keyasint,omitempty"`
}

// PositionsSend is a message to a member.
type PositionsSend struct {
	To      string
	Message PositionsMessage
}

// Counts are totals since the start.
type Counts struct {
	Learned  uint64 // positions from a database that were newer
	Received uint64 // positions from other gateways that were newer
	Outdated uint64 // received, but not newer
	Future   uint64 // received, but too far ahead of the clock
	Unknown  uint64 // received, of databases that are not listed here
}

// Positions is one gateway's copy of the positions. Use NewPositions.
type Positions struct {
	step   time.Duration
	rnd    *rand.Rand
	name   string
	peers  []string
	known  map[string]time.Duration // the greatest known
	sent   map[string]time.Duration // the greatest sent
	queue  []string                 // hosts to gossip, oldest first
	listed func(host string) bool
	counts Counts
}

// NewPositions makes an empty copy. A position is gossiped only once it has risen by at least step. listed reports whether
// the gateway's own list has a database: positions of others are not kept.
func NewPositions(name string, seed uint64, step time.Duration, listed func(host string) bool) *Positions {
	return &Positions{
		step: step, rnd: rand.New(rand.NewPCG(seed, 0x706f73)), name: name, known: map[string]time.Duration{}, sent: map[string]time.Duration{}, listed: listed,
	}
}

// SetMembers sets the live members; the own name among them is ignored.
func (p *Positions) SetMembers(names []string) {
	p.peers = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == p.name })
}

// DropUnlisted drops the positions of databases that are not listed any more.
func (p *Positions) DropUnlisted() {
	for host := range p.known {
		if !p.listed(host) {
			delete(p.known, host)
			delete(p.sent, host)
		}
	}
}

// Observe records a position that a database reported to this gateway.
func (p *Positions) Observe(host string, at time.Duration) {
	if p.advance(host, at) {
		p.counts.Learned++
	}
}

// advance keeps the greater position and queues it for gossip if it has risen by at least a step since it was last sent.
func (p *Positions) advance(host string, at time.Duration) bool {
	if at <= p.known[host] {
		return false
	}
	p.known[host] = at
	if at >= p.sent[host]+p.step && !slices.Contains(p.queue, host) {
		p.queue = append(p.queue, host)
	}
	return true
}

// Receive applies a message of another gateway; it returns the positions that were newer than the known ones.
func (p *Positions) Receive(now time.Duration, msg PositionsMessage) (newer []Position) {
	for _, position := range msg.Positions {
		switch {
		case len(position.Host) > maxNameBytes || !p.listed(position.Host):
			p.counts.Unknown++
		case position.At > now+maxFuture:
			p.counts.Future++
		case !p.advance(position.Host, position.At):
			p.counts.Outdated++
		default:
			p.counts.Received++
			newer = append(newer, position)
		}
	}
	return newer
}

// Tick sends queued positions to a few random members. What does not fit into the message waits for the next round.
func (p *Positions) Tick() (out []PositionsSend) {
	count := itemsThatFit(p.queue, positionsPerMessage, func(host string) int { return positionOverhead + len(host) })
	if count == 0 || len(p.peers) == 0 {
		return nil
	}
	var msg PositionsMessage
	for _, host := range p.queue[:count] {
		msg.Positions = append(msg.Positions, Position{Host: host, At: p.known[host]})
		p.sent[host] = p.known[host]
	}
	p.queue = slices.Delete(p.queue, 0, count)
	slices.SortFunc(msg.Positions, func(a, b Position) int { return strings.Compare(a.Host, b.Host) })
	for _, i := range p.rnd.Perm(len(p.peers))[:min(fanout, len(p.peers))] {
		out = append(out, PositionsSend{To: p.peers[i], Message: msg})
	}
	return out
}

// Counts returns the totals since the start.
func (p *Positions) Counts() Counts { return p.counts }

// Ages returns the ages of the known positions at a time, in no order.
func (p *Positions) Ages(now time.Duration) (ages []time.Duration) {
	for _, position := range p.known {
		ages = append(ages, now-position)
	}
	return ages
}
