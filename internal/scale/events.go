package scale

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"lilaccove/internal/hollow"
	"lilaccove/internal/standin"
)

// whom are the gateways of an event: those that are named, or as many as it says, drawn from those that live.
func (r *Run) whom(e Event) (list []*gate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range e.Gateways {
		if g := r.byName[name]; g.live {
			list = append(list, g)
		}
	}
	if len(e.Gateways) > 0 {
		return list
	}
	zones := r.Plan.Zones()
	in := slices.Index(zones, e.Zone)
	if e.Do == doRack && in < 0 {
		in = r.rnd.IntN(len(zones))
	}
	for _, i := range r.rnd.Perm(len(r.gates)) {
		g := r.gates[i]
		if g.live && (e.Do == doZone || len(list) < e.Count) && (in < 0 || g.zone == in) {
			list = append(list, g)
		}
	}
	return list
}

// event does something to the fleet, and takes it back when its time is over.
func (r *Run) event(e Event) {
	switch e.Do {
	case doKill, doRack:
		list := r.whom(e)
		r.kill(list)
		r.settle(fmt.Sprintf("%s of %d gateways", e.Do, len(list)))
		if e.Back > 0 && standin.Sleep(e.Back, r.stop) {
			r.start(list)
			r.settle(fmt.Sprintf("return of %d gateways after %s", len(list), e.Do))
		}
	case doEnd:
		list := r.whom(e)
		r.end(list)
		r.settle(fmt.Sprintf("end of %d gateways in order", len(list)))
		if e.Back > 0 && standin.Sleep(e.Back, r.stop) {
			r.start(list)
			r.settle(fmt.Sprintf("return of %d gateways after their end", len(list)))
		}
	case doRestart:
		list := r.whom(e)
		for i, g := range list {
			if i > 0 && !standin.Sleep(max(0, e.Every-downTime), r.stop) {
				return
			}
			r.end([]*gate{g})
			if !standin.Sleep(downTime, r.stop) {
				return
			}
			r.start([]*gate{g})
		}
		r.settle(fmt.Sprintf("restart of %d gateways one after another", len(list)))
	case doZone:
		list := r.whom(e)
		r.kill(list)
		changed := r.databases(e.Zone, "terminating")
		r.settle(fmt.Sprintf("loss of zone %s: %d gateways, %d databases", e.Zone, len(list), changed))
		if standin.Sleep(e.For, r.stop) {
			r.databases(e.Zone, "in_service")
			r.start(list)
			r.settle(fmt.Sprintf("return of zone %s", e.Zone))
		}
	case doCut:
		r.cut(e)
	case doPrimary:
		groups := (r.Plan.Databases + r.Plan.Group - 1) / r.Plan.Group
		for _, g := range r.draw(groups, e.Groups) {
			if r.world.ChangePrimary(g) {
				r.changed()
			}
		}
	case doList:
		r.listChange(e)
	}
}

func (r *Run) draw(of, n int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Perm(of)[:n]
}

// listChange takes a database out of service, and back after a while; gateways that the event names start at that moment.
func (r *Run) listChange(e Event) {
	hosts := r.world.Members()
	h := hosts[r.draw(len(hosts), 1)[0]]
	list := []*gate{}
	if e.Count > 0 || len(e.Gateways) > 0 {
		list = r.whom(e)
		r.kill(list)
		if !standin.Sleep(downTime, r.stop) {
			return
		}
	}
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		r.start(list)
	}()
	h.Announce("terminating", time.Time{})
	r.changed()
	both.Wait()
	if e.For > 0 && standin.Sleep(e.For, r.stop) {
		h.Announce("in_service", time.Time{})
		r.changed()
	}
}

// changed notes that the list at discovery is new.
func (r *Run) changed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, &change{seq: int64(r.world.ListVersion()), at: time.Now(), had: map[string]bool{}})
}

// databases has discovery say something of all databases of a zone.
func (r *Run) databases(zone, health string) (n int) {
	for _, h := range r.world.Members() {
		if h.Site == zone {
			h.Announce(health, time.Time{})
			n++
		}
	}
	if n > 0 {
		r.changed()
	}
	return n
}

// settle waits, beside everything else, for all views to be equal again.
func (r *Run) settle(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range r.settlings {
		if s.took == 0 && !s.passed {
			s.passed = true // the next thing has happened before it was whole
		}
	}
	r.settlings = append(r.settlings, &settling{what: what, since: now})
}

// cut takes the ways between two sides of regions away for a while.
func (r *Run) cut(e Event) {
	zones := r.Plan.Zones()
	var c cutting
	for i, side := range e.Sides {
		for z, name := range zones {
			if slices.Contains(side, r.Plan.Regions[r.Plan.Region(name)].Name) {
				c.sides[i] = append(c.sides[i], z)
			}
		}
	}
	set := func(on bool) {
		for _, a := range c.sides[0] {
			for _, b := range c.sides[1] {
				r.relay.SetCut(a, b, on)
				r.relay.SetCut(b, a, on)
			}
		}
	}
	c.what = fmt.Sprintf("%s from %s", strings.Join(e.Sides[0], ", "), strings.Join(e.Sides[1], ", "))
	c.from = time.Now()
	r.mu.Lock()
	at := len(r.cuts)
	r.cuts = append(r.cuts, c)
	r.mu.Unlock()
	set(true)
	if !standin.Sleep(e.For, r.stop) {
		return
	}
	set(false)
	r.mu.Lock()
	r.cuts[at].to = time.Now()
	r.mu.Unlock()
	r.settle("heal of the cut of " + c.what)
}

// order has hollow gateways do something, by process.
func (r *Run) order(do string, list []*gate) {
	by := map[*process][]string{}
	for _, g := range list {
		if h := r.in[g.name]; h != nil {
			by[h] = append(by[h], g.name)
		}
	}
	for h, names := range by {
		if err := h.say(hollow.Order{Do: do, Names: names}); err != nil {
			r.fault("%s: %v", do, err)
		}
	}
}

// each does something with the real ones among gateways, all at once.
func (r *Run) each(list []*gate, do func(n *real) error) {
	var all sync.WaitGroup
	for _, g := range list {
		if g.real {
			all.Add(1)
			go func() {
				defer all.Done()
				if err := do(r.reals[g.number]); err != nil {
					r.fault("%v", err)
				}
			}()
		}
	}
	all.Wait()
}

func (r *Run) kill(list []*gate) {
	r.fall(list)
	r.order("kill", list)
	r.each(list, func(n *real) error {
		n.kill()
		return nil
	})
}

func (r *Run) end(list []*gate) {
	r.fall(list)
	r.order("end", list)
	r.each(list, (*real).term)
}

func (r *Run) start(list []*gate) {
	r.rise(list)
	r.order("start", list)
	r.each(list, (*real).start)
}

// fault notes that something went against a rule.
func (r *Run) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = append(r.failed, fmt.Sprintf(format, args...))
}
