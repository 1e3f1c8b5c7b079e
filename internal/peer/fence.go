package peer

import "log"

// OnFence has do called whenever this process shuts itself out, or is back. It never is without a bound in the fleet file.
func (l *Links) OnFence(callback func(active bool)) { l.onFence = callback }

// CheckFence is to be called before each round's decisions are made: one that has stood still must not act on what it knew.
func (l *Links) CheckFence() {
	if l.fence != nil && l.fence.NotePause(l.loop.Now(), l.loop.Lost()) {
		l.applyFence()
	}
}

// applyFence does what the fence has come to.
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

// Fenced tells whether this process shuts itself out.
func (l *Links) Fenced() bool { return l.fenced }

// SetFence takes an operator's word: out, or go on with the list that there is; false: the fleet file sets no bound.
func (l *Links) SetFence(active bool) bool {
	if l.fence == nil || l.versions == nil {
		return false
	}
	l.fence.Override(active, l.versions.local.ListVersion())
	l.applyFence()
	return true
}
