package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// restoreVersionGap is the number of list versions that RestoreDiscovery goes back.
const restoreVersionGap = 1000

// Discovery is a discovery server: it serves the list of databases and its changes.
type Discovery struct {
	Addr          string
	world         *World
	server        *http.Server
	stop          chan struct{}
	calls         Calls
	frozenList    []byte // the outdated list that it serves; nil: it serves the current one
	frozenVersion int    // version of frozenList
}

// discoveryMessage is the whole list, or one change of it.
type discoveryMessage struct {
	Seq   int              `json:"seq"`
	Whole bool             `json:"whole"`
	Hosts []discoveryEntry `json:"hosts"`
}

// discoveryEntry is one database in a discoveryMessage.
type discoveryEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
	Role   string  `json:"role"`
}

// listEntry returns the database's current entry in the list.
func (h *Host) listEntry() discoveryEntry {
	addr := h.announcedAddr
	if addr == "" {
		addr = h.listener.Addr().String()
	}
	e := discoveryEntry{Host: h.ID, Dial: addr, Site: h.Site, Class: "m", Block: h.Group, Health: h.health, Share: 1, Role: "replica"}
	if h.primary {
		e.Role = "primary"
	}
	if !h.startedAt.IsZero() {
		e.BornMS = h.startedAt.UnixMilli()
	}
	return e
}

// Freeze makes this server keep serving the current list, without its later changes. When it is unfrozen, the server
// ends its watches, as they have missed changes.
func (d *Discovery) Freeze(frozen bool) {
	w := d.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.frozenList, d.frozenVersion = nil, w.listVersion; frozen {
		d.frozenList = w.listMessage()
		return
	}
	for watch, discovery := range w.watches {
		if discovery == d {
			delete(w.watches, watch)
			close(watch)
		}
	}
}

// List returns the whole list as discovery would serve it now.
func (world *World) List() []byte {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.listMessage()
}

// listMessage is List for callers that hold the lock.
func (world *World) listMessage() []byte {
	message := discoveryMessage{Seq: world.listVersion, Whole: true}
	for _, h := range world.hosts {
		message.Hosts = append(message.Hosts, h.listEntry())
	}
	b, _ := json.Marshal(message)
	return b
}

// announce sends the current entry of a database to all watches, as a new version of the list.
func (world *World) announce(h *Host) {
	world.listVersion++
	b, _ := json.Marshal(discoveryMessage{Seq: world.listVersion, Hosts: []discoveryEntry{h.listEntry()}})
	world.broadcast(b)
}

// SilenceWatches stops sending changes and heartbeats to the current watches. Their connections stay open.
func (world *World) SilenceWatches() {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.watchesDisturbedAt = time.Now()
	for watch := range world.watches {
		world.silenced[watch] = true
	}
	clear(world.watches)
}

// isSilenced reports whether a watch receives no heartbeats.
func (world *World) isSilenced(watch chan []byte) bool {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.silenced[watch]
}

// broadcast sends a line to all watches. It ends a watch whose buffer is full; that gateway has to watch again.
func (world *World) broadcast(line []byte) {
	for watch, discovery := range world.watches {
		if discovery.frozenList != nil {
			continue
		}
		select {
		case watch <- line:
		default:
			delete(world.watches, watch)
			close(watch)
		}
	}
}

// newDiscovery starts a discovery server.
func newDiscovery(world *World) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{world: world, Addr: listener.Addr().String(), stop: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	world.wg.Add(1)
	go func() {
		defer world.wg.Done()
		_ = d.server.Serve(listener)
	}()
	return d, nil
}

// close ends the server and its watches.
func (d *Discovery) close() {
	close(d.stop)
	d.server.Close()
}

// ServeHTTP serves the list, or with the parameter watch a stream of its changes and heartbeats.
func (d *Discovery) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/api/targets" {
		http.NotFound(response, request)
		return
	}
	if request.URL.Query().Get("watch") == "" {
		_, _ = response.Write(append(d.world.List(), '\n'))
		return
	}
	after, _ := strconv.Atoi(request.URL.Query().Get("after"))
	changes := make(chan []byte, 256) // a watch with more unread changes is ended
	d.world.mu.Lock()
	d.calls.Requests++
	d.calls.LastAfter = request.URL.Query().Get("after")
	delay, refused := d.world.discoveryDelay, d.world.discoveryRefusals > 0 && d.world.rng.Float64() < d.world.discoveryRefusals
	d.world.mu.Unlock()
	Sleep(delay, d.stop)
	d.world.mu.Lock()
	if d.world.discoveryDown || refused {
		d.world.mu.Unlock()
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.calls.Watches++
	// Earlier changes are not kept: the first message is the whole list, or states that nothing has changed.
	list, version := d.frozenList, d.frozenVersion
	if d.frozenList == nil {
		list, version = d.world.listMessage(), d.world.listVersion
	}
	first := fmt.Appendf(nil, "{\"seq\":%d,\"hosts\":[]}\n", version)
	if after != version {
		first = append(slices.Clone(list), '\n')
	}
	d.world.watches[changes] = d
	d.world.mu.Unlock()
	defer func() {
		d.world.mu.Lock()
		delete(d.world.watches, changes)
		delete(d.world.silenced, changes)
		d.calls.Watches--
		d.world.mu.Unlock()
	}()
	_, _ = response.Write(first)
	tick := time.NewTicker(2 * time.Second) // of heartbeats
	defer tick.Stop()
	for {
		_ = http.NewResponseController(response).Flush()
		select {
		case b, open := <-changes:
			if !open {
				return
			}
			_, _ = response.Write(b) // not appended to, as all watches share it
			_, _ = response.Write([]byte{'\n'})
		case <-tick.C:
			if d.world.isSilenced(changes) {
				continue
			}
			_, _ = response.Write([]byte{'\n'})
		case <-request.Context().Done():
			return
		case <-d.stop:
			return
		}
	}
}
