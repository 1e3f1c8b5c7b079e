package peer

import "log"

// OnFence sets a function that is called whenever this process fences itself or lifts the fence. Without a fence bound in the
// fleet file that never happens.
func (l *Links) OnFence(callback func(active bool)) { l.onFence = callback }

// CheckFence must be called before the decisions of each loop round: after a pause the process must not act on stale state.
func (l *Links) CheckFence() {
	if l.fence != nil && l.fence.NotePause(l.loop.Now(), l.loop.StallTime()) {
		l.applyFence()
	}
}

// applyFence reports a change of the fence.
func (l *Links) applyFence() {
	active, reason := l.fence.Fenced()
	if active == l.fenced {
		return
	}
	l.fenced = active
	log.Printf("event=fleet_fenced on=%t why=%q", active, reason)
	if l.onFence != nil {
		l.onFence(active)
	}
}

// Fenced reports whether this process is fenced.
func (l *Links) Fenced() bool { return l.fenced }

// SetFence applies an operator override: fence this process, or go on with its current list. It returns false if the fleet
// file sets no fence bound.
func (l *Links) SetFence(active bool) bool {
	if l.fence == nil || l.versions == nil {
		return false
	}
	l.fence.Override(active, l.versions.local.ListVersion())
	l.applyFence()
	return true
}
