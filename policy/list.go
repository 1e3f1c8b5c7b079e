// The host list: how its entries are applied to hosts, and when it is requested.

package policy

import "time"

// onListUpdate applies a list or its changes, or requests the list again after a failure.
func (r *Router) onListUpdate(update ListUpdate) {
	if r.queueTimeouts++; update.Kind != ListQueueTimeout {
		r.queueTimeouts = 0
	}
	if update.Kind == ListFailed || update.Kind == ListQueueTimeout {
		r.requestList(max(r.settings.Routers, smallFleetSize))
		return
	}
	if update.Kind != ListCached && !r.listReceived {
		r.listReceived = true
		r.retryAll()
	}
	listed := map[HostID]bool{}
	for _, entry := range update.Entries {
		r.updateMember(entry)
		listed[entry.Host] = true
	}
	for _, h := range r.hostOrder {
		if update.Kind != ListDelta && !listed[h.id] {
			r.setStatus(h, Gone)
		}
	}
}

// requestList requests the list after a delay that depends on its source. routers is how many may be calling
// at the same time.
func (r *Router) requestList(routers int) {
	switch r.settings.ListSource {
	case ListFromService:
		r.subscribe(r.serviceDelay(routers), maxListCallTime)
	case ListFromAgent:
		r.subscribe(r.agentDelay(), r.agentTimeout())
	}
}

// subscribe requests the list after a pause. A call that brings nothing for the time within has failed.
func (r *Router) subscribe(pause, within time.Duration) {
	r.wakeAt(r.now+pause, func() { r.emit(Subscribe{Timeout: within}) })
}

// serviceDelay returns a random delay, so that routers do not all call at once. It grows after repeated
// timeouts in discovery's queue.
func (r *Router) serviceDelay(routers int) time.Duration {
	maxDelay := min(maxListCallDelay<<min(max(0, r.queueTimeouts-maxQueueTimeouts), 8),
		max(maxListCallDelay, 2*r.settings.MaxListAge))
	window := min(listCallInterval*time.Duration(max(0, routers)), maxDelay)
	return time.Duration(r.random.Int64N(int64(window) + 1))
}

// agentTimeout returns how long a call to the agent may bring nothing. A list that the agent holds binds
// whether it was received or not, and a drain binds after its grace. So a call that hangs, the delay after
// it, the next call and a process pause have to fit into that grace.
func (r *Router) agentTimeout() time.Duration {
	return min(max(r.settings.DrainGrace/agentTimeoutDivisor, minAgentTimeout), maxListCallTime)
}

// agentDelay returns the delay before a call to the agent, which spaces out calls that fail at once. The
// first call has none.
func (r *Router) agentDelay() time.Duration {
	if r.now == r.startedAt {
		return 0
	}
	return r.agentTimeout() / 2
}

// readyToSend reports whether enough is known of hosts to send requests. A list that the agent holds binds
// from the start, so the list of the start is first brought up to date with it. Earlier operator overrides
// bind as well.
func (r *Router) readyToSend() bool {
	listReady := r.settings.ListSource != ListFromAgent || r.listReceived
	return listReady && !r.overridesPending || r.now >= r.startedAt+StartupTimeout
}

// updateMember applies one entry of the list.
func (r *Router) updateMember(entry Member) {
	h := r.hosts[entry.Host]
	if h == nil {
		g := r.groups[entry.Group]
		if g == nil {
			g = &group{primaryLostAt: r.now}
			r.groups[entry.Group] = g
		}
		h = &host{
			id: entry.Host, group: g, roleAt: -1, resultAt: r.now, resultInterval: 2 * rareResultInterval,
			status: entry.Status, preferred: entry.Zone == r.settings.Zone,
			sentAt:      -time.Duration(r.random.Int64N(1 << 20)),
			unhealthyAt: -r.settings.DrainGrace, // it may have been draining for a long time
		}
		r.resetHost(h, entry.StartedAt)
		r.hosts[entry.Host] = h
		r.hostOrder = append(r.hostOrder, h)
		g.hosts = append(g.hosts, h)
	}
	h.zone = entry.Zone
	if entry.StartedAt > h.startedAt {
		r.resetHost(h, entry.StartedAt)
		r.learnRole(h, Replica, entry.StartedAt-r.clock.offset)
	}
	r.setStatus(h, entry.Status)
	// The list is late: a host that it names has been primary. That counts while no usable primary is known.
	if current := h.group.primary; entry.Primary && r.settings.ListRole != ListRoleNone &&
		(current == nil || !r.acceptsWork(current, true)) && h.roleAt < max(0, r.now-r.settings.MaxListAge) {
		h.group.primary = nil
		r.learnRole(h, Primary, max(0, h.roleAt))
	}
	r.retryWaiting(h.group)
}

// resetHost forgets what was learned of the previous process of h. Its position stays. In a large fleet its
// answer times start out as average.
func (r *Router) resetHost(h *host, startedAt time.Duration) {
	h.startedAt, h.strain, h.failures, h.coldBudget, h.coldBudgetAt = startedAt, 0, 0, 0, r.now
	h.limit, h.latencyRatio = 1+8/float64(max(r.settings.Routers, 1)),
		float64(min(1, r.settings.Routers/(smallFleetSize+1)))
}

// onSuspensionChanged applies an operator override, which the list does not change. A resumed host is cold,
// and its role is unknown.
func (r *Router) onSuspensionChanged(e SuspensionChanged) {
	r.suspended[e.Host] = e.Active
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

// ExcludedHosts returns how many listed hosts get no requests: suspended, draining, or primaries of open
// breakers.
func (r *Router) ExcludedHosts() (count int) {
	for _, h := range r.hostOrder {
		if h.status != Gone && (!r.acceptsWork(h, false) || h.group.breakerOpen && h.group.primary == h) {
			count++
		}
	}
	return count
}

// setStatus sets the status of h by the list.
func (r *Router) setStatus(h *host, s Status) {
	if h.status == Healthy {
		h.unhealthyAt = r.now - r.recentPause // it may have arrived during a process pause
	}
	h.wasDraining = s == Draining || h.wasDraining && s != Healthy
	h.status = s
}

// acceptsWork reports whether h may be sent new requests. A draining primary accepts writes while it hands
// over.
func (r *Router) acceptsWork(h *host, write bool) bool {
	return !r.suspended[h.id] && (h.status == Healthy ||
		h.status == Gone && r.settings.GoneIsAdvisory && !h.wasDraining ||
		write && h.status == Draining && r.now-h.unhealthyAt < r.settings.DrainGrace/2)
}

// hasLeft reports whether h is off the list for good: a replacement machine has a new ID.
func (r *Router) hasLeft(h *host) bool { return h.status == Gone && !r.settings.GoneIsAdvisory }
