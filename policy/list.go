// The list of hosts: what its entries mean for a host, and when it is asked for.

package policy

import "time"

func (r *Router) onMembers(m ListUpdate) {
	if r.crowded++; m.Kind != ListQueueTimeout {
		r.crowded = 0
	}
	if m.Kind == ListFailed || m.Kind == ListQueueTimeout {
		r.askForList(max(r.set.Routers, fewRouters))
		return
	}
	if m.Kind != ListCached && !r.compared {
		r.compared = true
		r.retryAll()
	}
	listed := map[HostID]bool{}
	for _, e := range m.Entries {
		r.onMember(e)
		listed[e.Host] = true
	}
	for _, h := range r.order {
		if m.Kind != ListDelta && !listed[h.id] {
			r.setStatus(h, Gone)
		}
	}
}

// askForList asks after a pause, which depends on whom it asks. routers is how many may be asking just then.
func (r *Router) askForList(routers int) {
	switch r.set.ListSource {
	case ListFromService:
		r.subscribe(r.servicePause(routers), callMost)
	case ListFromAgent:
		r.subscribe(r.agentPause(), r.agentTime())
	}
}

func (r *Router) subscribe(pause, within time.Duration) {
	r.wakeAt(r.now+pause, func() { r.emit(Subscribe{Timeout: within}) })
}

// servicePause ends at a random moment, lest all routers ask at once; later where a crowd has long kept this
// one out.
func (r *Router) servicePause(routers int) time.Duration {
	most := min(askMost<<min(max(0, r.crowded-crowdMost), 8), max(askMost, 2*r.set.MaxListAge))
	span := min(askPace*time.Duration(max(0, routers)), most)
	return time.Duration(r.rnd.Int64N(int64(span) + 1))
}

// agentTime is by when an agent has to go on with an answer. What it has counts as told whether it was heard
// or not, and a drain binds after its grace: a call that hangs, a pause and the next call have to fit into
// that, and a hold-up besides.
func (r *Router) agentTime() time.Duration {
	return min(max(r.set.DrainGrace/agentPart, agentLeast), callMost)
}

// agentPause keeps calls that fail at once apart. The first of all does not wait.
func (r *Router) agentPause() time.Duration {
	if r.now == r.begunAt {
		return 0
	}
	return r.agentTime() / 2
}

// mayAct tells whether requests may be sent by what is known of hosts. What an agent has counts as told
// from the first moment on, so the list of the start is compared with it before; and what operators said
// before holds.
func (r *Router) mayAct() bool {
	compared := r.set.ListSource != ListFromAgent || r.compared
	return compared && !r.held || r.now >= r.begunAt+StartupTimeout
}

func (r *Router) onMember(e Member) {
	h := r.hosts[e.Host]
	if h == nil {
		g := r.groups[e.Group]
		if g == nil {
			g = &group{lostAt: r.now}
			r.groups[e.Group] = g
		}
		h = &host{id: e.Host, group: g, roleAt: -1, judgedAt: r.now, gap: 2 * seldom, status: e.Status,
			first: e.Zone == r.set.Zone, sentAt: -time.Duration(r.rnd.Int64N(1 << 20)),
			toldAt: -r.set.DrainGrace} // one that drains may have done so for long
		r.resetHost(h, e.StartedAt)
		r.hosts[e.Host] = h
		r.order = append(r.order, h)
		g.hosts = append(g.hosts, h)
	}
	h.zone = e.Zone
	if e.StartedAt > h.startedAt {
		r.resetHost(h, e.StartedAt)
		r.learnRole(h, Replica, e.StartedAt-r.clock.offset)
	}
	r.setStatus(h, e.Status)
	// Whom the late list names has been primary. That counts while no other that may take work is known.
	if old := h.group.primary; e.Primary && r.set.ListRole != ListRoleNone &&
		(old == nil || !r.mayTake(old, true)) && h.roleAt < max(0, r.now-r.set.MaxListAge) {
		h.group.primary = nil
		r.learnRole(h, Primary, max(0, h.roleAt))
	}
	r.retryWaiting(h.group)
}

// resetHost begins to learn of a process of h: its log position stands; in a large fleet it begins as
// average.
func (r *Router) resetHost(h *host, startedAt time.Duration) {
	h.startedAt, h.strain, h.fails, h.budget, h.budgetAt = startedAt, 0, 0, 0, r.now
	h.limit, h.slow = 1+8/float64(max(r.set.Routers, 1)), float64(min(1, r.set.Routers/(fewRouters+1)))
}

// onSuspended keeps the operators' word, which the list does not change. Who is back is cold, in any role.
func (r *Router) onSuspended(e SuspensionChanged) {
	r.out[e.Host] = e.Active
	if e.Active {
		r.emit(StopUsingHost{Host: e.Host})
	}
	if h := r.hosts[e.Host]; h != nil {
		r.learnRole(h, Replica, r.now)
		if r.resetHost(h, r.databaseTime()); !e.Active {
			h.roleAt = -1
		}
		r.retryWaiting(h.group)
	}
}

// ExcludedHosts is how many listed hosts get no requests: suspended, draining, or primaries of open breakers.
func (r *Router) ExcludedHosts() (n int) {
	for _, h := range r.order {
		if h.status != Gone && (!r.mayTake(h, false) || h.group.open && h.group.primary == h) {
			n++
		}
	}
	return n
}

func (r *Router) setStatus(h *host, s Status) {
	if h.status == Healthy {
		h.toldAt = r.now - r.missed // it may have come while this process was away
	}
	h.drained = s == Draining || h.drained && s != Healthy
	h.status = s
}

// mayTake tells whether h may have new work. A primary that drains takes writes while it hands over.
func (r *Router) mayTake(h *host, write bool) bool {
	return !r.out[h.id] && (h.status == Healthy || h.status == Gone && r.set.GoneIsAdvisory && !h.drained ||
		write && h.status == Draining && r.now-h.toldAt < r.set.DrainGrace/2)
}

// left tells that h is off the list for good: machines that replace others have new ids.
func (r *Router) left(h *host) bool { return h.status == Gone && !r.set.GoneIsAdvisory }
