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

// restoreBehind is by how many versions a discovery that is restored from a backup is behind.
const restoreBehind = 1000

// Discovery serves the list and its changes.
type Discovery struct {
	Addr  string
	w     *World
	srv   *http.Server
	stop  chan struct{}
	calls Calls
	stuck []byte // the list that it goes on telling; nil: it tells the truth
	at    int    // its version
}

type listing struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

type entry struct {
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

func (h *Host) entry() entry {
	dial := h.dial
	if dial == "" {
		dial = h.ln.Addr().String()
	}
	e := entry{Host: h.ID, Dial: dial, Site: h.Site, Class: "m", Block: h.Group, Health: h.health, Share: 1, Role: "replica"}
	if h.primary {
		e.Role = "primary"
	}
	if !h.born.IsZero() {
		e.BornMS = h.born.UnixMilli()
	}
	return e
}

// Freeze has this discovery go on telling the list as it is now, to all who ask or watch, or the truth again: those who
// watch are let go, as they have missed something.
func (d *Discovery) Freeze(on bool) {
	w := d.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.stuck, d.at = nil, w.seq; on {
		d.stuck = w.list()
		return
	}
	for ch, of := range w.watch {
		if of == d {
			delete(w.watch, ch)
			close(ch)
		}
	}
}

// List is the whole list as discovery would tell it now.
func (w *World) List() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list()
}

func (w *World) list() []byte {
	l := listing{Seq: w.seq, Whole: true}
	for _, h := range w.hosts {
		l.Hosts = append(l.Hosts, h.entry())
	}
	b, _ := json.Marshal(l)
	return b
}

// tell passes a change on to all that watch.
func (w *World) tell(h *Host) {
	w.seq++
	b, _ := json.Marshal(listing{Seq: w.seq, Hosts: []entry{h.entry()}})
	w.pass(b)
}

// SilenceWatches has the watches that are on now say nothing any more, though their connections stay open.
func (w *World) SilenceWatches() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = time.Now()
	for ch := range w.watch {
		w.muted[ch] = true
	}
	clear(w.watch)
}

func (w *World) mutes(ch chan []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.muted[ch]
}

// pass sends a line to all that watch. One that does not read is let go: it asks again.
func (w *World) pass(b []byte) {
	for ch, d := range w.watch {
		if d.stuck != nil {
			continue
		}
		select {
		case ch <- b:
		default:
			delete(w.watch, ch)
			close(ch)
		}
	}
}

func newDiscovery(w *World) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{w: w, Addr: ln.Addr().String(), stop: make(chan struct{})}
	d.srv = &http.Server{Handler: d}
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		_ = d.srv.Serve(ln)
	}()
	return d, nil
}

func (d *Discovery) close() {
	close(d.stop)
	d.srv.Close()
}

func (d *Discovery) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/api/targets" {
		http.NotFound(out, q)
		return
	}
	if q.URL.Query().Get("watch") == "" {
		_, _ = out.Write(append(d.w.List(), '\n'))
		return
	}
	after, _ := strconv.Atoi(q.URL.Query().Get("after"))
	ch := make(chan []byte, 256)
	d.w.mu.Lock()
	d.calls.Requests++
	d.calls.LastAfter = q.URL.Query().Get("after")
	slow, turned := d.w.slow, d.w.crowd > 0 && d.w.rnd.Float64() < d.w.crowd
	d.w.mu.Unlock()
	Sleep(slow, d.stop)
	d.w.mu.Lock()
	if d.w.down || turned {
		d.w.mu.Unlock()
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.calls.Watches++
	// What changed is not kept: it is the whole list, or nothing, which is told as well.
	list, version := d.stuck, d.at
	if d.stuck == nil {
		list, version = d.w.list(), d.w.seq
	}
	first := fmt.Appendf(nil, "{\"seq\":%d,\"hosts\":[]}\n", version)
	if after != version {
		first = append(slices.Clone(list), '\n')
	}
	d.w.watch[ch] = d
	d.w.mu.Unlock()
	defer func() {
		d.w.mu.Lock()
		delete(d.w.watch, ch)
		delete(d.w.muted, ch)
		d.calls.Watches--
		d.w.mu.Unlock()
	}()
	_, _ = out.Write(first)
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		_ = http.NewResponseController(out).Flush()
		select {
		case b, on := <-ch:
			if !on {
				return
			}
			_, _ = out.Write(b) // shared with all who watch
			_, _ = out.Write([]byte{'\n'})
		case <-tick.C:
			if d.w.mutes(ch) {
				continue
			}
			_, _ = out.Write([]byte{'\n'})
		case <-q.Context().Done():
			return
		case <-d.stop:
			return
		}
	}
}
