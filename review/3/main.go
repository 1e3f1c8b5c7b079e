//go:build review

// Command 3 shows that clients which send many commands at once and read the answers slowly make a gateway exceed its memory limit,
// for which the platform kills it.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lilaccove/review/rig"
)

const (
	clients    = 150
	step       = 350 * time.Millisecond // between two new clients
	large      = 3                      // commands for a large value, of each client, sent first
	commands   = 32                     // of each client, sent at once
	largeBytes = 4 << 20                // the most that the pages allow
	smallBytes = 63 << 10
	slowRate   = 140 << 10 // bytes per second
	pieceBytes = 8 << 10   // read at a time: a read each 57 ms
	workTime   = 70 * time.Millisecond
	memoryMB   = 192
	databases  = 14
	groups     = 4
	longest    = 75 * time.Second
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
	serve := func(c *rig.DBConn, q rig.Query) {
		time.Sleep(workTime)
		size := smallBytes
		if q.Key == "large" {
			size = largeBytes
		}
		c.BeginValue(size, 0)
		for piece := make([]byte, 64<<10); size > 0; size -= len(piece) {
			piece = piece[:min(size, len(piece))]
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
		c.EndValue()
	}
	var hosts []rig.Host
	for i := range databases {
		db, err := rig.StartDB(record, fmt.Sprintf("s-%02d", i), i < groups, serve)
		if err != nil {
			return 0, err
		}
		hosts = append(hosts, rig.Entry(db, i%groups))
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
		Name: "n1", Listen: addr, Discovery: discovery.Addr, Seed: "8c1f30d27a5be964", Limits: map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": 1024},
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
	var sent, served, refused, lost atomic.Int32
	start := time.Now()
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * step)
			if time.Since(start) > longest || !gateway.Running() {
				return
			}
			n, err := client(record, addr, i, start, &sent, &served, &refused)
			if n < commands && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				lost.Add(int32(commands - n))
			}
		}()
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	peak, killed := 0.0, false
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-done:
		case <-ticker.C:
			memory := gateway.ResidentMB()
			peak = max(peak, memory)
			if n%20 == 0 {
				record.Printf("platform: the gateway uses %.0f MB; commands sent %d, served %d, refused %d", memory, sent.Load(), served.Load(), refused.Load())
			}
			if memory > memoryMB && !killed {
				killed = true
				record.Printf("platform: the gateway uses %.1f MB, its limit is %d MB: it is killed; commands sent %d, served %d, refused %d",
					memory, memoryMB, sent.Load(), served.Load(), refused.Load())
				gateway.Signal(syscall.SIGKILL)
			}
			continue
		}
		break
	}
	result := fmt.Sprintf("peak memory %.0f MB of %d MB, killed %t; commands sent %d, served %d, refused %d, without an answer at the end of their connection %d",
		peak, memoryMB, killed, sent.Load(), served.Load(), refused.Load(), lost.Load())
	record.Printf("%s", result)
	fmt.Println(result)
	switch {
	case killed:
		return rig.Broken, nil
	case !gateway.Running():
		return 0, errors.New("the gateway has ended")
	case served.Load() == 0:
		return 0, errors.New("nothing was served")
	}
	return rig.Held, nil
}

// slowReader reads at slowRate in small pieces.
type slowReader struct {
	io.Reader
	start time.Time
	total int
}

func (s *slowReader) Read(b []byte) (int, error) {
	if rig.Trouble() {
		time.Sleep(time.Until(s.start.Add(time.Duration(s.total) * time.Second / slowRate)))
		b = b[:min(len(b), pieceBytes)]
	}
	n, err := s.Reader.Read(b)
	s.total += n
	return n, err
}

// client sends its commands at once and reads the answers. It returns how many it got.
func client(record *rig.Record, addr string, i int, start time.Time, sent, served, refused *atomic.Int32) (got int, err error) {
	c, err := rig.Open(addr)
	if err != nil {
		return 0, err
	}
	defer c.Conn.Close()
	_ = c.Conn.SetReadDeadline(start.Add(longest))
	c.In.Reset(&slowReader{Reader: c.Conn, start: time.Now()})
	for n := range commands {
		key := "small"
		if n < large {
			key = "large"
		}
		if err := c.Send(rig.Select(fmt.Sprintf("q%03d-%02d", i, n), "browse-read", 1200*time.Millisecond, (i+n)%groups, key)); err != nil {
			return 0, err
		}
		sent.Add(1)
	}
	for ; got < commands; got++ {
		a, err := c.Read()
		switch {
		case err != nil:
			record.Printf("client %d: %d of %d answers, then the connection ended: %v", i, got, commands, err)
			return got, err
		case a.Served:
			served.Add(1)
		default:
			refused.Add(1)
		}
	}
	return got, nil
}
