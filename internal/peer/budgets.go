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
	maxClockDrift  = 0.01 // as a fraction, see budget.Config
)

// Budgets holds this gateway's leases of the connection budgets that the fleet shares. It implements backend.Budget.
type Budgets struct {
	links   *Links
	machine *budget.Machine
	// OnGrant is called when more connections to a host are allowed than before.
	OnGrant func(host policy.HostID)
}

// newBudgets creates the budgets of the fleet file; nil: the file has none.
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

// Allowed returns how many connections to a host may be open and in use from now until a time.
func (b *Budgets) Allowed(host policy.HostID, until time.Duration) int {
	return b.machine.Allowed(b.links.loop.Now(), string(host), until)
}

// ReportDemand reports how many connections to a host are in use and how many more are waited for.
func (b *Budgets) ReportDemand(host policy.HostID, used, waiting int) {
	if used+waiting == 0 {
		b.machine.Forget(b.links.loop.Now(), string(host))
		return
	}
	b.machine.SetDemand(b.links.loop.Now(), string(host), used, waiting)
	b.flush()
}

// flush sends the machine's messages and reports what was granted.
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

// setMembers passes the members of the view to the machine, and whether a sibling or another process has this gateway's name.
func (b *Budgets) setMembers(view membership.View) {
	b.machine.SetLive(view.Names())
	superseded, now := b.links.machine.Superseded(), b.links.loop.Now()
	b.machine.SetSibling(now, b.links.sibling, superseded)
	b.machine.SetHomeDisabled(now, superseded && !b.links.sibling)
}

// receive decodes a message, checks it and passes it to the machine.
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
