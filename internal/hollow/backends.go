package hollow

import (
	"lilaccove/internal/backend"
	"lilaccove/internal/gateway"
	"lilaccove/policy"
)

// backends are the program's own pool, with its books of databases and budgets, that never finds a connection.
type backends struct {
	*backend.Pool
	core *gateway.Gateway
}

// Send ends an attempt that nobody has asked for: a hollow gateway takes no requests.
func (b *backends) Send(a *gateway.Attempt) {
	b.core.Resolved(a, policy.ConnectFailed, gateway.Reply{})
}

// Probe finds no connection, and tells so.
func (b *backends) Probe(host policy.HostID) {
	b.core.Probed(host, policy.ConnectFailed, gateway.Reply{})
}
