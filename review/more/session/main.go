//go:build review

// Command session shows that a session does not see its own write if the write's value is over 64 KiB and the replicas lag, where the
// settings say that gateways remember the sessions' writes.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"lilaccove/review/rig"
)

const (
	rounds     = 12
	largeBytes = 100 << 10 // the pages allow 4 MiB
	smallBytes = 1 << 10
	writeTime  = 80 * time.Millisecond
	readTime   = 70 * time.Millisecond
	gap        = 400 * time.Millisecond // between the answer to a write and the session's read
	normalLag  = 10 * time.Millisecond
	badLag     = 6 * time.Second // of the replicas, while they apply the log slowly
	startLag   = time.Second     // from the start on until they begin to lag
)

// store holds the commits of the group.
type store struct {
	mu      sync.Mutex
	commits map[string][]time.Time // by key, oldest first
}

func (s *store) commit(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.commits[key] = append(s.commits[key], now)
	return now
}

// version returns how many commits of a key a database at a position has applied.
func (s *store) version(key string, position time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.commits[key] {
		if !at.After(position) {
			n++
		}
	}
	return n
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = rig.NotRun
	}
	os.Exit(code)
}

func run() (code int, err error) {
	root, caseDir, tmp, cleanUp, err := rig.Folders()
	if err != nil {
		return 0, err
	}
	defer cleanUp()
	record := rig.NewRecord(caseDir)
	data := &store{commits: map[string][]time.Time{}}
	serve := func(c *rig.DBConn, q rig.Query) {
		switch {
		case q.Write && !c.DB.Primary():
			record.Printf("database %s turns the write id=%s away: it is a replica", c.DB.Name, q.ID)
			c.Error("25006")
		case q.Write:
			time.Sleep(writeTime)
			commit := data.commit(q.Key)
			record.Printf("database %s ran the write id=%s key=%s, commit %d", c.DB.Name, q.ID, q.Key, commit.UnixMilli()+1)
			size := smallBytes
			if strings.HasPrefix(q.Key, "aa") {
				size = largeBytes
			}
			c.Value(make([]byte, size), time.Time{}, commit)
		default:
			time.Sleep(readTime)
			position := c.DB.Position()
			version := data.version(q.Key, position)
			record.Printf("database %s (primary %t) answers id=%s key=%s with version %d, position %d", c.DB.Name, c.DB.Primary(), q.ID, q.Key, version, position.UnixMilli())
			c.Value(fmt.Appendf(nil, "%d", version), position, time.Time{})
		}
	}
	start := time.Now()
	// A replica that applies the log more slowly falls behind by degrees, up to badLag; its position never goes back.
	position := func() time.Time {
		now := time.Now()
		if behind := now.Sub(start.Add(startLag)); rig.Trouble() && behind > 0 {
			return now.Add(-min(badLag, normalLag+behind*9/10)) // ten times as slow
		}
		return now.Add(-normalLag)
	}
	var hosts []rig.Host
	for i, name := range []string{"s-p", "s-r1", "s-r2"} {
		db, err := rig.StartDB(record, name, i == 0, serve)
		if err != nil {
			return 0, err
		}
		db.SetPosition(position)
		hosts = append(hosts, rig.Entry(db, 1))
	}
	discovery, err := rig.StartDiscovery(record, hosts...)
	if err != nil {
		return 0, err
	}
	addr := rig.FreeAddr()
	classes := []rig.Class{
		{Name: "browse-read", Level: "recent", Repeat: "retryable", Aim: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Bound: 3 * time.Second, Worth: 1},
		{Name: "own-read", Level: "own_writes", Repeat: "retryable", Aim: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 2, LateWorth: 0.2},
		{Name: "licence-write", Level: "update", Repeat: "fragile", Aim: 600 * time.Millisecond, Deadline: 3 * time.Second, Worth: 4, LateWorth: 0.5},
	}
	gateway, err := rig.Start(record, root, "g", tmp, rig.Config{
		Name: "n1", Listen: addr, Discovery: discovery.Addr, Seed: "8c1f30d27a5be964", Limits: map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		Known: &rig.Change{Seq: 41, Whole: true, Hosts: hosts}, Settings: rig.Settings(classes, "router", "ask"),
	}, nil)
	if err != nil {
		return 0, err
	}
	defer gateway.Kill()
	if err := rig.AwaitReady(addr, 30*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(start.Add(startLag + 2*time.Second)))
	c, err := rig.Open(addr)
	if err != nil {
		return 0, err
	}
	defer c.Conn.Close()
	counts := map[string]*[3]int{"small": {}, "large": {}} // reads served, of these without the session's write; not served
	for i := range rounds {
		for prefix, kind := range map[string]string{"aa": "large", "bb": "small"} {
			served, stale, err := round(record, c, i, prefix, kind)
			switch {
			case err != nil:
				return 0, err
			case stale:
				counts[kind][1]++
				fallthrough
			case served:
				counts[kind][0]++
			default:
				counts[kind][2]++
			}
		}
	}
	result := fmt.Sprintf("reads after a large write: served %d, stale %d, not served %d; after a small write: served %d, stale %d, not served %d",
		counts["large"][0], counts["large"][1], counts["large"][2], counts["small"][0], counts["small"][1], counts["small"][2])
	record.Printf("%s", result)
	fmt.Println(result)
	switch {
	case counts["large"][1]+counts["small"][1] > 0:
		return rig.Broken, nil
	case counts["large"][0] == 0:
		return 0, errors.New("no read after a large write was served")
	}
	return rig.Held, nil
}

// round writes a value in a session of its own and reads it back. stale: the read was served without the write.
func round(record *rig.Record, c *rig.Client, i int, prefix, kind string) (served, stale bool, err error) {
	_ = c.Conn.SetDeadline(time.Now().Add(10 * time.Second))
	key := fmt.Sprintf("%s%014x", prefix, i+1)
	size := map[string]int{"large": largeBytes, "small": smallBytes}[kind]
	id := fmt.Sprintf("w%s%02d", prefix, i)
	record.Printf("client sends id=%s: licence-write of %d bytes, key=%s", id, size, key)
	if err = c.Send(rig.Insert(id, "licence-write", 3*time.Second, 1, key, strings.Repeat("00", size))); err != nil {
		return false, false, err
	}
	a, err := c.Read()
	if err != nil {
		return false, false, err
	}
	record.Printf("client got for id=%s: %s", id, a)
	if !a.Served {
		time.Sleep(gap)
		return false, false, nil
	}
	time.Sleep(gap)
	id = fmt.Sprintf("r%s%02d", prefix, i)
	record.Printf("client sends id=%s: own-read, key=%s", id, key)
	if err = c.Send(rig.Select(id, "own-read", 1500*time.Millisecond, 1, key)); err != nil {
		return false, false, err
	}
	if a, err = c.Read(); err != nil {
		return false, false, err
	}
	if !a.Served {
		record.Printf("client got for id=%s: %s", id, a)
		return false, false, nil
	}
	record.Printf("client got for id=%s: version %s; its write is version 1", id, a.Value)
	return true, string(a.Value) == "0", nil
}
