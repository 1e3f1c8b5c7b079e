package standin

// DatabaseLoad is what one database has at a moment.
type DatabaseLoad struct {
	Primary     bool
	Connections int
	Begun       int // statements that came since the start
}

// DatabaseLoads tells of each database in service how many connections it has now.
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
