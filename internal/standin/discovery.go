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
	srv           *http.Server
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
	dial := h.announcedAddr
	if dial == "" {
		dial = h.listener.Addr().String()
	}
	e := discoveryEntry{Host: h.ID, Dial: dial, Site: h.Site, Class: "m", Block: h.Group, Health: h.health, Share: 1, Role: "replica"}
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
	for ch, of := range w.watches {
		if of == d {
			delete(w.watches, ch)
			close(ch)
		}
	}
}

// List is the whole list as discovery would tell it now.
func (w *World) List() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listMessage()
}

func (w *World) listMessage() []byte {
	l := discoveryMessage{Seq: w.listVersion, Whole: true}
	for _, h := range w.hosts {
		l.Hosts = append(l.Hosts, h.listEntry())
	}
	b, _ := json.Marshal(l)
	return b
}

// announce passes a change on to all that watch.
func (w *World) announce(h *Host) {
	w.listVersion++
	b, _ := json.Marshal(discoveryMessage{Seq: w.listVersion, Hosts: []discoveryEntry{h.listEntry()}})
	w.broadcast(b)
}

// SilenceWatches has the watches that are on now say nothing any more, though their connections stay open.
func (w *World) SilenceWatches() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watchesDisturbedAt = time.Now()
	for ch := range w.watches {
		w.silenced[ch] = true
	}
	clear(w.watches)
}

func (w *World) isSilenced(ch chan []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silenced[ch]
}

// broadcast sends a line to all that watch. One that does not read is let go: it asks again.
func (w *World) broadcast(b []byte) {
	for ch, d := range w.watches {
		if d.frozenList != nil {
			continue
		}
		select {
		case ch <- b:
		default:
			delete(w.watches, ch)
			close(ch)
		}
	}
}

func newDiscovery(world *World) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{world: world, Addr: ln.Addr().String(), stop: make(chan struct{})}
	d.srv = &http.Server{Handler: d}
	world.wg.Add(1)
	go func() {
		defer world.wg.Done()
		_ = d.srv.Serve(ln)
	}()
	return d, nil
}

func (d *Discovery) close() {
	close(d.stop)
	d.srv.Close()
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
