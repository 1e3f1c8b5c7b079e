//go:build review

// Command slow shows that the gateway cuts a value off in the middle although its client reads all the time, only slowly.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"lilaccove/review/rig"
)

const (
	clients    = 4
	valueBytes = 4 << 20   // the most that the pages allow
	slowRate   = 100 << 10 // bytes per second
	pieceBytes = 8 << 10   // read at a time: a read each 80 ms
	workTime   = 70 * time.Millisecond
	longest    = 60 * time.Second // to read a value at slowRate takes 41 s
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
	var ended atomic.Int32
	serve := func(c *rig.DBConn, q rig.Query) {
		record.Printf("database %s got id=%s class=%s", c.DB.Name, q.ID, q.Class)
		time.Sleep(workTime)
		if _, err := c.Write(c.ValueBytes(make([]byte, valueBytes), c.DB.Position(), time.Time{})); err != nil {
			ended.Add(1)
			record.Printf("database %s: the gateway has ended the connection in the middle of the value for id=%s: %v", c.DB.Name, q.ID, err)
			return
		}
		record.Printf("database %s has written the whole value for id=%s", c.DB.Name, q.ID)
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
	var wg sync.WaitGroup
	var whole, cut, other atomic.Int32
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * time.Second)
			switch ok, refused, err := read(record, addr, i); {
			case err == nil && refused:
				other.Add(1)
			case err == nil && ok:
				whole.Add(1)
			case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
				cut.Add(1)
			default:
				other.Add(1)
			}
		}()
	}
	wg.Wait()
	result := fmt.Sprintf("values of %d bytes asked for %d, whole %d, cut off by the gateway %d, refused %d", valueBytes, clients, whole.Load(), cut.Load(), other.Load())
	record.Printf("%s", result)
	fmt.Println(result)
	switch {
	case cut.Load() > 0:
		return rig.Broken, nil
	case whole.Load() == 0:
		return 0, errors.New("no value was served")
	}
	return rig.Held, nil
}

// slowReader reads at slowRate in small pieces.
type slowReader struct {
	io.Reader
	start  time.Time
	total  int
	pauses time.Duration // the longest time between two reads
	last   time.Time
}

func (s *slowReader) Read(b []byte) (int, error) {
	if s.start.IsZero() {
		s.start, s.last = time.Now(), time.Now()
	}
	if rig.Trouble() {
		time.Sleep(time.Until(s.start.Add(time.Duration(s.total) * time.Second / slowRate)))
		b = b[:min(len(b), pieceBytes)]
	}
	s.pauses, s.last = max(s.pauses, time.Since(s.last)), time.Now()
	n, err := s.Reader.Read(b)
	s.total += n
	return n, err
}

// read asks for a value and reads the answer.
func read(record *rig.Record, addr string, i int) (ok, refused bool, err error) {
	c, err := rig.Open(addr)
	if err != nil {
		return false, false, err
	}
	defer c.Conn.Close()
	_ = c.Conn.SetDeadline(time.Now().Add(longest))
	slow := &slowReader{Reader: c.Conn}
	c.In.Reset(slow)
	id := fmt.Sprintf("q%02d", i)
	record.Printf("client %d sends id=%s", i, id)
	if err := c.Send(rig.Select(id, "browse-read", 1200*time.Millisecond, 1, "7f3a9c21e0b4d655")); err != nil {
		return false, false, err
	}
	a, err := c.Read()
	record.Printf("client %d: %d bytes in %v, at most %v between two reads: %s, err %v", i, slow.total, time.Since(slow.start).Round(time.Millisecond), slow.pauses.Round(time.Millisecond), a, err)
	return a.Served && len(a.Value) == valueBytes, a.Code != "", err
}
