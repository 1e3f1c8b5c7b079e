package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lilaccove/internal/fleet/budget"
	"lilaccove/internal/fleet/membership"
	"lilaccove/policy"
)

const (
	channelBudget = 2
	budgetEvery   = 100 * time.Millisecond
	clockDrift    = 0.01
)

// Budgets are this gateway's parts of what the fleet may spend. They implement backend.Budget.
type Budgets struct {
	l *Links
	m *budget.Machine
	// OnGrant is called when there is more of a host's budget than before.
	OnGrant func(host policy.HostID)
}

// divide makes the machine that the fleet file asks for; nil: none.
func (l *Links) divide(name string) (*Budgets, error) {
	f := l.file.Budgets
	if f == nil {
		return nil, nil
	}
	if !slices.Contains(f.Holders, name) {
		return nil, fmt.Errorf("fleet file: budgets: this gateway, %s, is not among the holders %v", name, f.Holders)
	}
	b := &Budgets{l: l}
	b.m = budget.New(budget.Config{
		Name: name, Holders: f.Holders, Total: f.Connections, Lease: f.Lease, Drift: clockDrift, Session: rand.Uint64() | 1, Seed: rand.Uint64(),
	}, l.loop.Now())
	l.every(budgetEvery, b.tick)
	return b, nil
}

func (b *Budgets) tick() {
	b.m.Tick(b.l.loop.Now())
	b.after()
}

// Allowed is how many connections to a host may be open and used from now until a moment.
func (b *Budgets) Allowed(host policy.HostID, until time.Duration) int {
	return b.m.Allowed(b.l.loop.Now(), string(host), until)
}

// ReportDemand tells how many connections to a host are used, and how many more are waited for.
func (b *Budgets) ReportDemand(host policy.HostID, used, waiting int) {
	if used+waiting == 0 {
		b.m.Forget(b.l.loop.Now(), string(host))
		return
	}
	b.m.SetDemand(b.l.loop.Now(), string(host), used, waiting)
	b.after()
}

func (b *Budgets) after() {
	out, granted := b.m.Take()
	for i := range out {
		b.l.post(out[i].To, channelBudget, out[i].Message)
	}
	for _, key := range granted {
		if b.OnGrant != nil {
			b.OnGrant(policy.HostID(key))
		}
	}
}

// stand tells the machine what this process is to its gateway's name, and whom it can ask.
func (b *Budgets) stand(v membership.View) {
	b.m.SetLive(v.Names())
	superseded, now := b.l.m.Superseded(), b.l.loop.Now()
	b.m.SetSibling(now, b.l.beside, superseded)
	b.m.SetHomeDisabled(now, superseded && !b.l.beside)
}

// receive takes a message in; false: it is none.
func (b *Budgets) receive(body []byte) error {
	var msg budget.Message
	if err := b.l.codec.read(body, &msg); err != nil {
		return err
	}
	if !msg.Valid() {
		return errBad
	}
	b.m.Receive(b.l.loop.Now(), msg)
	b.after()
	return nil
}
