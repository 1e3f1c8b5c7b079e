//go:build review

package shared2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is one database in the list.
type Entry struct {
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

type listMessage struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`
}

// Discovery is a stand-in for discovery, or for the agent that holds its list.
type Discovery struct {
	c       *Case
	Addr    string
	mu      sync.Mutex
	seq     int
	entries []Entry
	watches map[chan []byte]bool
}

// NewDiscovery starts discovery with a list.
func (c *Case) NewDiscovery(entries []Entry) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "discovery")
	d := &Discovery{c: c, Addr: l.Addr().String(), seq: 41, entries: entries, watches: map[chan []byte]bool{}}
	go http.Serve(l, d)
	return d
}

// List returns the whole list.
func (d *Discovery) List() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, _ := json.Marshal(listMessage{Seq: d.seq, Whole: true, Hosts: d.entries})
	return b
}

// Change changes one entry and tells all watches. It returns the time just before.
func (d *Discovery) Change(host string, change func(*Entry)) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := time.Now()
	for i := range d.entries {
		if d.entries[i].Host == host {
			change(&d.entries[i])
			d.seq++
			b, _ := json.Marshal(listMessage{Seq: d.seq, Hosts: d.entries[i : i+1]})
			d.c.Log("discovery tells %s", b)
			for w := range d.watches {
				w <- append(b, '\n')
			}
		}
	}
	return at
}

func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	flush := http.NewResponseController(w)
	if r.URL.Query().Get("watch") == "" {
		_, _ = w.Write(append(d.List(), '\n'))
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	changes := make(chan []byte, 1000)
	d.mu.Lock()
	first := listMessage{Seq: d.seq}
	if first.Whole = after != d.seq; first.Whole {
		first.Hosts = d.entries
	} else {
		first.Hosts = []Entry{}
	}
	b, _ := json.Marshal(first)
	d.watches[changes] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, changes)
		d.mu.Unlock()
	}()
	fmt.Fprintf(w, "%s\n", b)
	_ = flush.Flush()
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for {
		select {
		case b := <-changes:
			_, _ = w.Write(b)
		case <-tick.C:
			_, _ = w.Write([]byte("\n"))
		case <-r.Context().Done():
			return
		}
		_ = flush.Flush()
	}
}
