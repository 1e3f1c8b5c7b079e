package peer

import "log"

// OnFence has do called whenever this process shuts itself out, or is back. It never is without a bound in the fleet file.
func (l *Links) OnFence(do func(out bool)) { l.onFence = do }

// CheckFence is to be called before each round's decisions are made: one that has stood still must not act on what it knew.
func (l *Links) CheckFence() {
	if l.fence != nil && l.fence.NotePause(l.loop.Now(), l.loop.Lost()) {
		l.guard()
	}
}

// guard does what the fence has come to.
func (l *Links) guard() {
	out, why := l.fence.Fenced()
	if out == l.fenced {
		return
	}
	l.fenced = out
	log.Printf("event=fleet_fenced on=%t why=%q", out, why)
	if l.onFence != nil {
		l.onFence(out)
	}
}

// Fenced tells whether this process shuts itself out.
func (l *Links) Fenced() bool { return l.fenced }

// SetFence takes an operator's word: out, or go on with the list that there is; false: the fleet file sets no bound.
func (l *Links) SetFence(out bool) bool {
	if l.fence == nil || l.versions == nil {
		return false
	}
	l.fence.Override(out, l.versions.facts.ListVersion())
	l.guard()
	return true
}
