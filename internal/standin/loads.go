package standin

// DatabaseLoad is what one database has at a moment.
type DatabaseLoad struct {
	Primary     bool
	Connections int
	Begun       int // statements that came since the start
}

// DatabaseLoads tells of each database in service how many connections it has now.
func (w *World) DatabaseLoads() []DatabaseLoad {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]DatabaseLoad, 0, len(w.hosts))
	for _, h := range w.hosts {
		if h.health == "in_service" {
			list = append(list, DatabaseLoad{Primary: h.primary, Connections: len(h.conns), Begun: h.statementCount})
		}
	}
	return list
}
