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

// selectGateways returns the gateways that an event affects: the named ones, or the given number drawn from the live ones.
func (r *Run) selectGateways(event Event) (list []*gatewayState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range event.Gateways {
		if g := r.byName[name]; g.live {
			list = append(list, g)
		}
	}
	if len(event.Gateways) > 0 {
		return list
	}
	zones := r.Plan.Zones()
	zone := slices.Index(zones, event.Zone)
	if event.Kind == eventRack && zone < 0 {
		zone = r.rnd.IntN(len(zones))
	}
	for _, i := range r.rnd.Perm(len(r.gateways)) {
		g := r.gateways[i]
		if g.live && (event.Kind == eventZoneDown || len(list) < event.Count) && (zone < 0 || g.zone == zone) {
			list = append(list, g)
		}
	}
	return list
}

// applyEvent applies an event to the fleet and reverts it after the event's duration.
func (r *Run) applyEvent(event Event) {
	switch event.Kind {
	case eventKill, eventRack:
		list := r.selectGateways(event)
		r.killGateways(list)
		r.trackConvergence(fmt.Sprintf("%s of %d gateways", event.Kind, len(list)))
		if event.RestartAfter > 0 && standin.Sleep(event.RestartAfter, r.stop) {
			r.startGateways(list)
			r.trackConvergence(fmt.Sprintf("return of %d gateways after %s", len(list), event.Kind))
		}
	case eventEnd:
		list := r.selectGateways(event)
		r.endGateways(list)
		r.trackConvergence(fmt.Sprintf("shutdown of %d gateways", len(list)))
		if event.RestartAfter > 0 && standin.Sleep(event.RestartAfter, r.stop) {
			r.startGateways(list)
			r.trackConvergence(fmt.Sprintf("return of %d gateways after shutdown", len(list)))
		}
	case eventRestart:
		list := r.selectGateways(event)
		for i, g := range list {
			if i > 0 && !standin.Sleep(max(0, event.Interval-restartDowntime), r.stop) {
				return
			}
			r.endGateways([]*gatewayState{g})
			if !standin.Sleep(restartDowntime, r.stop) {
				return
			}
			r.startGateways([]*gatewayState{g})
		}
		r.trackConvergence(fmt.Sprintf("restart of %d gateways one after the other", len(list)))
	case eventZoneDown:
		list := r.selectGateways(event)
		r.killGateways(list)
		changed := r.announceZone(event.Zone, "terminating")
		r.trackConvergence(fmt.Sprintf("loss of zone %s: %d gateways, %d databases", event.Zone, len(list), changed))
		if standin.Sleep(event.Duration, r.stop) {
			r.announceZone(event.Zone, "in_service")
			r.startGateways(list)
			r.trackConvergence(fmt.Sprintf("return of zone %s", event.Zone))
		}
	case eventCut:
		r.cutRegions(event)
	case eventPrimaryChange:
		groups := (r.Plan.Databases + r.Plan.GroupSize - 1) / r.Plan.GroupSize
		for _, g := range r.drawIndexes(groups, event.Groups) {
			if r.world.ChangePrimary(g) {
				r.recordListChange()
			}
		}
	case eventListChange:
		r.changeList(event)
	}
}

func (r *Run) drawIndexes(total, count int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Perm(total)[:count]
}

// changeList announces a drawn database as terminating, and as in service again after the event's duration. Gateways of the event
// restart at the moment of the first change.
func (r *Run) changeList(event Event) {
	hosts := r.world.Members()
	host := hosts[r.drawIndexes(len(hosts), 1)[0]]
	list := []*gatewayState{}
	if event.Count > 0 || len(event.Gateways) > 0 {
		list = r.selectGateways(event)
		r.killGateways(list)
		if !standin.Sleep(restartDowntime, r.stop) {
			return
		}
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		r.startGateways(list)
	}()
	host.Announce("terminating", time.Time{})
	r.recordListChange()
	wg.Wait()
	if event.Duration > 0 && standin.Sleep(event.Duration, r.stop) {
		host.Announce("in_service", time.Time{})
		r.recordListChange()
	}
}

// recordListChange records that discovery has a new list version.
func (r *Run) recordListChange() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listChanges = append(r.listChanges, &listChange{version: int64(r.world.ListVersion()), changedAt: time.Now(), receivedBy: map[string]bool{}})
}

// announceZone announces a health status for all databases of a zone and returns their number.
func (r *Run) announceZone(zone, health string) (n int) {
	for _, host := range r.world.Members() {
		if host.Site == zone {
			host.Announce(health, time.Time{})
			n++
		}
	}
	if n > 0 {
		r.recordListChange()
	}
	return n
}

// trackConvergence starts to measure how long the views of all gateways take to be equal again. It doesn't wait.
func (r *Run) trackConvergence(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, s := range r.convergences {
		if s.took == 0 && !s.superseded {
			s.superseded = true // another event came before the views were equal
		}
	}
	r.convergences = append(r.convergences, &convergence{description: description, since: now})
}

// cutRegions drops all traffic between two sets of regions for the event's duration.
func (r *Run) cutRegions(event Event) {
	zones := r.Plan.Zones()
	var cut zoneCut
	for i, side := range event.Sides {
		for z, name := range zones {
			if slices.Contains(side, r.Plan.Regions[r.Plan.RegionOf(name)].Name) {
				cut.sides[i] = append(cut.sides[i], z)
			}
		}
	}
	set := func(on bool) {
		for _, a := range cut.sides[0] {
			for _, b := range cut.sides[1] {
				r.relay.SetCut(a, b, on)
				r.relay.SetCut(b, a, on)
			}
		}
	}
	cut.description = fmt.Sprintf("%s from %s", strings.Join(event.Sides[0], ", "), strings.Join(event.Sides[1], ", "))
	cut.from = time.Now()
	r.mu.Lock()
	index := len(r.cuts)
	r.cuts = append(r.cuts, cut)
	r.mu.Unlock()
	set(true)
	if !standin.Sleep(event.Duration, r.stop) {
		return
	}
	set(false)
	r.mu.Lock()
	r.cuts[index].to = time.Now()
	r.mu.Unlock()
	r.trackConvergence("heal of the cut of " + cut.description)
}

// sendOrder sends an order to the processes of the hollow gateways in the list.
func (r *Run) sendOrder(do string, list []*gatewayState) {
	namesByProcess := map[*hollowProcess][]string{}
	for _, g := range list {
		if process := r.processOf[g.name]; process != nil {
			namesByProcess[process] = append(namesByProcess[process], g.name)
		}
	}
	for h, names := range namesByProcess {
		if err := h.send(hollow.Order{Do: do, Names: names}); err != nil {
			r.recordFailure("%s: %v", do, err)
		}
	}
}

// forEachReal calls do for the real gateways in the list concurrently and waits for all calls.
func (r *Run) forEachReal(list []*gatewayState, do func(gateway *realGateway) error) {
	var wg sync.WaitGroup
	for _, g := range list {
		if g.real {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if err := do(r.realGateways[g.index]); err != nil {
					r.recordFailure("%v", err)
				}
			}()
		}
	}
	wg.Wait()
}

func (r *Run) killGateways(list []*gatewayState) {
	r.markDown(list)
	r.sendOrder("kill", list)
	r.forEachReal(list, func(n *realGateway) error {
		n.kill()
		return nil
	})
}

func (r *Run) endGateways(list []*gatewayState) {
	r.markDown(list)
	r.sendOrder("end", list)
	r.forEachReal(list, (*realGateway).shutDown)
}

func (r *Run) startGateways(list []*gatewayState) {
	r.markStarted(list)
	r.sendOrder("start", list)
	r.forEachReal(list, (*realGateway).start)
}

// recordFailure records a failure for the report.
func (r *Run) recordFailure(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}
