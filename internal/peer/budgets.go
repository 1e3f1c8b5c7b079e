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
	channelBudget  = 2
	budgetInterval = 100 * time.Millisecond
	maxClockDrift  = 0.01
)

// Budgets are this gateway's parts of what the fleet may spend. They implement backend.Budget.
type Budgets struct {
	links   *Links
	machine *budget.Machine
	// OnGrant is called when there is more of a host's budget than before.
	OnGrant func(host policy.HostID)
}

// newBudgets makes the machine that the fleet file asks for; nil: none.
func (l *Links) newBudgets(name string) (*Budgets, error) {
	cfg := l.file.Budgets
	if cfg == nil {
		return nil, nil
	}
	if !slices.Contains(cfg.Holders, name) {
		return nil, fmt.Errorf("fleet file: budgets: this gateway, %s, is not among the holders %v", name, cfg.Holders)
	}
	b := &Budgets{links: l}
	b.machine = budget.New(budget.Config{
		Name: name, Holders: cfg.Holders, Total: cfg.Connections, Lease: cfg.Lease, Drift: maxClockDrift, Session: rand.Uint64() | 1, Seed: rand.Uint64(),
	}, l.loop.Now())
	l.every(budgetInterval, b.tick)
	return b, nil
}

func (b *Budgets) tick() {
	b.machine.Tick(b.links.loop.Now())
	b.flush()
}

// Allowed is how many connections to a host may be open and used from now until a moment.
func (b *Budgets) Allowed(host policy.HostID, until time.Duration) int {
	return b.machine.Allowed(b.links.loop.Now(), string(host), until)
}

// ReportDemand tells how many connections to a host are used, and how many more are waited for.
func (b *Budgets) ReportDemand(host policy.HostID, used, waiting int) {
	if used+waiting == 0 {
		b.machine.Forget(b.links.loop.Now(), string(host))
		return
	}
	b.machine.SetDemand(b.links.loop.Now(), string(host), used, waiting)
	b.flush()
}

func (b *Budgets) flush() {
	out, granted := b.machine.Take()
	for i := range out {
		b.links.sendTo(out[i].To, channelBudget, out[i].Message)
	}
	for _, key := range granted {
		if b.OnGrant != nil {
			b.OnGrant(policy.HostID(key))
		}
	}
}

// setMembers tells the machine what this process is to its gateway's name, and whom it can ask.
func (b *Budgets) setMembers(view membership.View) {
	b.machine.SetLive(view.Names())
	superseded, now := b.links.machine.Superseded(), b.links.loop.Now()
	b.machine.SetSibling(now, b.links.sibling, superseded)
	b.machine.SetHomeDisabled(now, superseded && !b.links.sibling)
}

// receive takes a message in; false: it is none.
func (b *Budgets) receive(body []byte) error {
	var msg budget.Message
	if err := b.links.codec.unmarshal(body, &msg); err != nil {
		return err
	}
	if !msg.Valid() {
		return errMalformed
	}
	b.machine.Receive(b.links.loop.Now(), msg)
	b.flush()
	return nil
}
