package hollow

import (
	"lilaccove/internal/backend"
	"lilaccove/internal/gateway"
	"lilaccove/policy"
)

// backends is the gateway's own connection pool, with its accounting of databases and budgets, in which every connect fails.
type backends struct {
	*backend.Pool
	core *gateway.Gateway
}

// Send fails the attempt at once: a hollow gateway has no requests.
func (b *backends) Send(a *gateway.Attempt) {
	b.core.Resolved(a, policy.ConnectFailed, gateway.Reply{})
}

// Probe reports a failed connect.
func (b *backends) Probe(host policy.HostID) {
	b.core.Probed(host, policy.ConnectFailed, gateway.Reply{})
}
