//go:build review

// Command 1 shows that a gateway ends a client's connection, with the write on it unanswered, when the database of a later
// command on that connection is reset in the middle of a value of over 64 KiB.
package main

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"lilaccove/review/rig"
)

const (
	rounds     = 10
	largeBytes = 200 << 10 // the pages allow 4 MiB
	firstPart  = 96 << 10  // of the value, before the reset
	writeTime  = 250 * time.Millisecond
	readTime   = 60 * time.Millisecond
)

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
	var resets, executed atomic.Int32
	serve := func(c *rig.DBConn, q rig.Query) {
		record.Printf("database %s got id=%s class=%s", c.DB.Name, q.ID, q.Class)
		switch {
		case q.Write && !c.DB.Primary():
			c.Error("25006")
		case q.Write:
			time.Sleep(writeTime)
			executed.Add(1)
			record.Printf("database %s ran the write id=%s and answers", c.DB.Name, q.ID)
			c.Value([]byte{0x9f, 0x03}, time.Time{}, time.Now())
		case q.Key == "large" && rig.Trouble():
			time.Sleep(readTime)
			c.BeginValue(largeBytes, firstPart)
			time.Sleep(20 * time.Millisecond)
			resets.Add(1)
			record.Printf("database %s resets the connection in the middle of the value for id=%s", c.DB.Name, q.ID)
			c.Reset()
		case q.Key == "large":
			time.Sleep(readTime)
			c.Value(make([]byte, largeBytes), c.DB.Position(), time.Time{})
		default:
			c.Value([]byte{1}, c.DB.Position(), time.Time{})
		}
	}
	var hosts []rig.Host
	for i, name := range []string{"s-p", "s-r1", "s-r2"} {
		db, err := rig.StartDB(record, name, i == 0, serve)
		if err != nil {
			return 0, err
		}
		hosts = append(hosts, rig.Entry(db, 1))
	}
	discovery, err := rig.StartDiscovery(record, hosts...)
	if err != nil {
		return 0, err
	}
	addr := rig.FreeAddr()
	classes := []rig.Class{
		{Name: "browse-read", Level: "recent", Repeat: "retryable", Aim: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Bound: 3 * time.Second, Worth: 1},
		{Name: "licence-write", Level: "update", Repeat: "fragile", Aim: 600 * time.Millisecond, Deadline: 3 * time.Second, Worth: 4, LateWorth: 0.5},
	}
	gateway, err := rig.Start(record, root, "g", tmp, rig.Config{
		Name: "n1", Listen: addr, Discovery: discovery.Addr, Seed: "8c1f30d27a5be964", Limits: map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		Known: &rig.Change{Seq: 41, Whole: true, Hosts: hosts}, Settings: rig.Settings(classes, "client", "ask"),
	}, nil)
	if err != nil {
		return 0, err
	}
	defer gateway.Kill()
	if err := rig.AwaitReady(addr, 30*time.Second); err != nil {
		return 0, err
	}
	time.Sleep(500 * time.Millisecond)
	answered, lost := 0, 0
	for i := range rounds {
		ok, err := round(record, addr, i)
		switch {
		case err != nil:
			return 0, err
		case ok:
			answered++
		default:
			lost++
		}
		time.Sleep(700 * time.Millisecond)
	}
	record.Printf("writes sent %d, run by the primary %d, answered %d, lost %d; connections reset under a value %d", rounds, executed.Load(), answered, lost, resets.Load())
	fmt.Printf("writes sent %d, run %d, answered %d, lost %d; resets under a value %d\n", rounds, executed.Load(), answered, lost, resets.Load())
	switch {
	case lost > 0:
		return rig.Broken, nil
	case rig.Trouble() && resets.Load() == 0:
		return 0, errors.New("no connection was reset under a value")
	}
	return rig.Held, nil
}

// round sends a write and behind it, on the same connection, a read of a large value. It reports whether the write got a final
// answer before the gateway ended the connection.
func round(record *rig.Record, addr string, i int) (bool, error) {
	c, err := rig.Open(addr)
	if err != nil {
		return false, err
	}
	defer c.Conn.Close()
	_ = c.Conn.SetDeadline(time.Now().Add(5 * time.Second))
	write, read := fmt.Sprintf("w%02d", i), fmt.Sprintf("r%02d", i)
	record.Printf("client sends id=%s (licence-write) and id=%s (browse-read) on one connection", write, read)
	err = c.Send(rig.Insert(write, "licence-write", 3*time.Second, 1, "7f3a9c21e0b4d655", "9f03"))
	if err == nil {
		err = c.Send(rig.Select(read, "browse-read", 1200*time.Millisecond, 1, "large"))
	}
	if err != nil {
		return false, err
	}
	a, err := c.Read()
	if err != nil {
		record.Printf("client: the gateway ended the connection (%v) with no answer to id=%s", err, write)
		return false, nil
	}
	record.Printf("client got for id=%s: %s", write, a)
	if a, err = c.Read(); err != nil {
		record.Printf("client: the connection ended (%v) in or before the answer to id=%s", err, read)
	} else {
		record.Printf("client got for id=%s: %s", read, a)
	}
	return true, nil
}
