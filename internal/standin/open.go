package standin

// Open is what one database has at a moment.
type Open struct {
	Primary     bool
	Connections int
	Begun       int // statements that came since the start
}

// Open tells of each database in service how many connections it has now.
func (w *World) Open() []Open {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]Open, 0, len(w.hosts))
	for _, h := range w.hosts {
		if h.health == "in_service" {
			list = append(list, Open{Primary: h.primary, Connections: len(h.conns), Begun: h.begun})
		}
	}
	return list
}
