//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of the list.
type Host struct {
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

// Change is one object of a watch: the whole list or a change of it.
type Change struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery is a stand-in for the discovery service.
type Discovery struct {
	Addr    string
	Record  *Record
	mu      sync.Mutex
	changes []Change // the first is the whole list at the start
	changed chan struct{}
}

// StartDiscovery starts discovery with a list.
func StartDiscovery(record *Record, hosts ...Host) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), Record: record, changes: []Change{{Seq: 41, Whole: true, Hosts: hosts}}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/targets", d.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return d, nil
}

// Entry returns the list's entry for a database that has run for long.
func Entry(db *DB, block int) Host {
	role := "replica"
	if db.Primary() {
		role = "primary"
	}
	return Host{Host: db.Name, Dial: db.Addr, Site: "a", Class: "m2", Block: block, Health: "in_service", Share: 1, Role: role}
}

// Publish publishes a change.
func (d *Discovery) Publish(hosts ...Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, Change{Seq: d.changes[len(d.changes)-1].Seq + 1, Hosts: hosts})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) after(seq int64) ([]Change, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Change
	for _, c := range d.changes {
		if c.Seq > seq {
			list = append(list, c)
		}
	}
	return list, d.changed
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	seq, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("watch") == "" {
		seq = 0
	}
	list, changed := d.after(seq)
	if len(list) == 0 { // nothing is newer: the whole list
		list, changed = d.after(0)
	}
	for {
		for _, c := range list {
			b, _ := json.Marshal(c)
			if _, err := fmt.Fprintf(w, "%s\n", b); err != nil {
				return
			}
			seq = c.Seq
		}
		if r.URL.Query().Get("watch") == "" {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			if _, err := fmt.Fprint(w, "\n"); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
		list, changed = d.after(seq)
	}
}
