package peer

import (
	"lilaccove/internal/fleet/membership"
	"lilaccove/internal/stats"
)

// roleNames maps channels to roles; positions and primaries have one channel without a byte budget and one with.
var roleNames = [...]string{
	channelMembership: "membership", channelBudget: "budgets", channelPositions: "positions", channelOverrides: "words", channelVersions: "versions",
	channelPrimaries: "primaries", channelReconcilePositions: "positions", channelReconcilePrimaries: "primaries",
}

// traffic counts the traffic of each channel.
type traffic [len(roleNames)]stats.Traffic

// countSent counts a sent envelope, with prefix bytes before it.
func (t *traffic) countSent(b []byte, prefix int) { t[b[3]].CountOut(len(b) + prefix) }

// countReceived counts a valid envelope; one of an unknown channel is not counted.
func (t *traffic) countReceived(channel byte, size int) {
	if int(channel) < len(t) {
		t[channel].CountIn(size)
	}
}

// Traffic returns what each role has sent and received, by its name.
func (l *Links) Traffic() map[string]stats.Traffic {
	all := map[string]stats.Traffic{}
	for channel, role := range roleNames {
		if role != "" {
			all[role] = all[role].Plus(l.traffic[channel])
		}
	}
	return all
}

// Totals returns the messages dropped, sent and received, of all roles.
func (l *Links) Totals() Counts { return l.counts }

// Self returns this gateway's entry, and whether it is currently a member.
func (l *Links) Self() (own membership.Entry, member bool) { return l.machine.Self() }

// OnDeath sets a function that is called with the name of each known gateway that is newly considered dead.
func (l *Links) OnDeath(callback func(name string)) { l.onDeath = callback }

// Deaths returns how many known gateways have been considered dead so far.
func (l *Links) Deaths() uint64 { return l.deaths }
