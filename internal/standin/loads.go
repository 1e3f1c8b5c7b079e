package standin

// DatabaseLoad is the load of one database at one time.
type DatabaseLoad struct {
	Primary     bool
	Connections int
	Begun       int // statements that have arrived since its start
}

// DatabaseLoads returns the load of each database in service.
func (world *World) DatabaseLoads() []DatabaseLoad {
	world.mu.Lock()
	defer world.mu.Unlock()
	list := make([]DatabaseLoad, 0, len(world.hosts))
	for _, h := range world.hosts {
		if h.health == "in_service" {
			list = append(list, DatabaseLoad{Primary: h.primary, Connections: len(h.conns), Begun: h.statementCount})
		}
	}
	return list
}
