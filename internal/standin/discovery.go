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

// restoreVersionGap is by how many versions a discovery that is restored from a backup is behind.
const restoreVersionGap = 1000

// Discovery serves the list and its changes.
type Discovery struct {
	Addr          string
	world         *World
	server        *http.Server
	stop          chan struct{}
	calls         Calls
	frozenList    []byte // the list that it goes on telling; nil: it tells the truth
	frozenVersion int    // its version
}

type discoveryMessage struct {
	Seq   int              `json:"seq"`
	Whole bool             `json:"whole"`
	Hosts []discoveryEntry `json:"hosts"`
}

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

// Freeze has this discovery go on telling the list as it is now, to all who ask or watch, or the truth again: those who
// watch are let go, as they have missed something.
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

// List is the whole list as discovery would tell it now.
func (world *World) List() []byte {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.listMessage()
}

func (world *World) listMessage() []byte {
	message := discoveryMessage{Seq: world.listVersion, Whole: true}
	for _, h := range world.hosts {
		message.Hosts = append(message.Hosts, h.listEntry())
	}
	b, _ := json.Marshal(message)
	return b
}

// announce passes a change on to all that watch.
func (world *World) announce(h *Host) {
	world.listVersion++
	b, _ := json.Marshal(discoveryMessage{Seq: world.listVersion, Hosts: []discoveryEntry{h.listEntry()}})
	world.broadcast(b)
}

// SilenceWatches has the watches that are on now say nothing any more, though their connections stay open.
func (world *World) SilenceWatches() {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.watchesDisturbedAt = time.Now()
	for watch := range world.watches {
		world.silenced[watch] = true
	}
	clear(world.watches)
}

func (world *World) isSilenced(watch chan []byte) bool {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.silenced[watch]
}

// broadcast sends a line to all that watch. One that does not read is let go: it asks again.
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

func (d *Discovery) close() {
	close(d.stop)
	d.server.Close()
}

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
	changes := make(chan []byte, 256)
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
	// What changed is not kept: it is the whole list, or nothing, which is told as well.
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
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		_ = http.NewResponseController(response).Flush()
		select {
		case b, open := <-changes:
			if !open {
				return
			}
			_, _ = response.Write(b) // shared with all who watch
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
