// Package state is what the gateways of a fleet tell each other of the world. It is a state machine without input or
// output. So far it holds the positions of databases: how far each is known to have applied its log. A position only
// rises, so that the greatest is the one to keep wherever copies differ, and news that are late, doubled or out of order
// change nothing (a state-based CRDT, Shapiro and others 2011, with the maximum as its join).
package state

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// GossipInterval is how often news go out.
	GossipInterval = 100 * time.Millisecond
	fanout         = 3
	perSend        = 30          // positions in one message
	ahead          = time.Second // a position so far past the own clock is not believed
	hostMost       = 256         // bytes of a name

	positionRest = 16 // bytes of a position beside its name, at most
)

// Position is how far a database has come, as somebody heard from it.
type Position struct {
	Host string        `cbor:"1,keyasint"`
	At   time.Duration `cbor:"2,keyasint"` // since the Unix epoch; all commits up to it are applied
}

// PositionsMessage is news.
type PositionsMessage struct {
	Positions []Position `cbor:"1,keyasint,omitempty"`
}

// PositionsSend is a message to a member.
type PositionsSend struct {
	To      string
	Message PositionsMessage
}

// Counts are what has happened since the start.
type Counts struct {
	Learned  uint64 // positions that this gateway heard from a database and that were news
	Received uint64 // from other gateways
	Outdated uint64 // heard, and not news
	Future   uint64 // heard, and past the clock
	Unknown  uint64 // heard, of databases that are not listed here
}

// Positions is one gateway's copy. Use New.
type Positions struct {
	step   time.Duration
	rnd    *rand.Rand
	own    string
	live   []string
	at     map[string]time.Duration // the greatest known
	told   map[string]time.Duration // the greatest sent on
	queue  []string                 // hosts with news, the oldest first
	listed func(host string) bool
	counts Counts
}

// NewPositions makes an empty copy. A position that has risen by less than step is no news. listed tells which databases the
// gateway's own list has: of no other anything is kept.
func NewPositions(own string, seed uint64, step time.Duration, listed func(host string) bool) *Positions {
	return &Positions{
		step: step, rnd: rand.New(rand.NewPCG(seed, 0x706f73)), own: own, at: map[string]time.Duration{}, told: map[string]time.Duration{}, listed: listed,
	}
}

// SetMembers tells who can be told news.
func (p *Positions) SetMembers(names []string) {
	p.live = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == p.own })
}

// DropUnlisted drops what is known of databases that are not listed any more.
func (p *Positions) DropUnlisted() {
	for h := range p.at {
		if !p.listed(h) {
			delete(p.at, h)
			delete(p.told, h)
		}
	}
}

// Observe takes in what a database told this gateway.
func (p *Positions) Observe(host string, at time.Duration) {
	if p.raise(host, at) {
		p.counts.Learned++
	}
}

// raise keeps the greatest, and has it go on where it is news.
func (p *Positions) raise(host string, at time.Duration) bool {
	if at <= p.at[host] {
		return false
	}
	p.at[host] = at
	if at >= p.told[host]+p.step && !slices.Contains(p.queue, host) {
		p.queue = append(p.queue, host)
	}
	return true
}

// Receive takes in what another gateway tells; it returns what is news here.
func (p *Positions) Receive(now time.Duration, msg PositionsMessage) (news []Position) {
	for _, x := range msg.Positions {
		switch {
		case len(x.Host) > hostMost || !p.listed(x.Host):
			p.counts.Unknown++
		case x.At > now+ahead:
			p.counts.Future++
		case !p.raise(x.Host, x.At):
			p.counts.Outdated++
		default:
			p.counts.Received++
			news = append(news, x)
		}
	}
	return news
}

// Tick sends what is news to a few members. What does not fit waits for the next time.
func (p *Positions) Tick() (out []PositionsSend) {
	n := page(p.queue, perSend, func(host string) int { return positionRest + len(host) })
	if n == 0 || len(p.live) == 0 {
		return nil
	}
	var msg PositionsMessage
	for _, h := range p.queue[:n] {
		msg.Positions = append(msg.Positions, Position{Host: h, At: p.at[h]})
		p.told[h] = p.at[h]
	}
	p.queue = slices.Delete(p.queue, 0, n)
	slices.SortFunc(msg.Positions, func(a, b Position) int { return strings.Compare(a.Host, b.Host) })
	for _, i := range p.rnd.Perm(len(p.live))[:min(fanout, len(p.live))] {
		out = append(out, PositionsSend{To: p.live[i], Message: msg})
	}
	return out
}

// Counts are figures since the start.
func (p *Positions) Counts() Counts { return p.counts }

// Ages are how far the positions that are known lie behind a moment, in no order.
func (p *Positions) Ages(now time.Duration) (ages []time.Duration) {
	for _, at := range p.at {
		ages = append(ages, now-at)
	}
	return ages
}
