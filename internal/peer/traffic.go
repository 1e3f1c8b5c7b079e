package peer

import (
	"lilaccove/internal/fleet/membership"
	"lilaccove/internal/stats"
)

// roleNames name what the channels are for; positions and primaries have one without a budget and one with.
var roleNames = [...]string{
	channelMembership: "membership", channelBudget: "budgets", channelPositions: "positions", channelOverrides: "words", channelVersions: "versions",
	channelPrimaries: "primaries", channelReconcilePositions: "positions", channelReconcilePrimaries: "primaries",
}

// traffic is that of each channel.
type traffic [len(roleNames)]stats.Traffic

// countSent counts an envelope that was sent, and so many bytes before it.
func (t *traffic) countSent(b []byte, prefix int) { t[b[3]].Out(len(b) + prefix) }

// countReceived counts an envelope that has come. Only a sound one tells its channel.
func (t *traffic) countReceived(channel byte, size int) {
	if int(channel) < len(t) {
		t[channel].In(size)
	}
}

// Traffic tells what each role has sent and taken in, by its name.
func (l *Links) Traffic() map[string]stats.Traffic {
	all := map[string]stats.Traffic{}
	for channel, role := range roleNames {
		if role != "" {
			all[role] = all[role].Plus(l.traffic[channel])
		}
	}
	return all
}

// Totals are the messages dropped, sent and taken in, of all roles.
func (l *Links) Totals() Counts { return l.counts }

// Self is this gateway's entry, and whether it is a member at the moment.
func (l *Links) Self() (own membership.Entry, member bool) { return l.machine.Self() }

// OnDeath has do called with the name of each gateway that was known here and is now taken for dead.
func (l *Links) OnDeath(callback func(name string)) { l.onDeath = callback }

// Deaths is how many gateways that were known here were taken for dead so far.
func (l *Links) Deaths() uint64 { return l.deaths }
