//go:build review

// Command 1 shows that a process that hands over to its successor accepts writes that it has not answered when the platform kills
// it, if the primary hangs meanwhile.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"lilaccove/review/rig"
)

const (
	clients    = 48
	writeTime  = 90 * time.Millisecond
	readTime   = 70 * time.Millisecond
	deadline   = 3 * time.Second                      // of licence-write, the longest of any class
	sendFrom   = 750 * time.Millisecond               // after SIGTERM, the first client; the last one sends 0.4 s later
	killAfter  = 3*time.Second + 700*time.Millisecond // the longest deadline and 0.7 s
	countAfter = 700 * time.Millisecond               // what came later than this after SIGTERM has to be answered
	hangTime   = 6 * time.Second                      // of the primary; no replica takes over meanwhile
)

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = rig.NotRun
	}
	os.Exit(code)
}

// outcome is what became of a client's write.
type outcome struct {
	id       string
	sentAt   time.Time
	old      bool // on a connection to the old process that was still open
	answered bool
}

func run() (code int, err error) {
	root, caseDir, tmp, cleanUp, err := rig.Folders()
	if err != nil {
		return 0, err
	}
	defer cleanUp()
	record := rig.NewRecord(caseDir)
	serve := func(c *rig.DBConn, q rig.Query) {
		record.Printf("database %s got id=%s class=%s", c.DB.Name, q.ID, q.Class)
		switch {
		case q.Write && !c.DB.Primary():
			c.Error("25006")
		case q.Write:
			time.Sleep(writeTime)
			c.Value([]byte{0x9f, 0x03}, time.Time{}, time.Now())
		default:
			time.Sleep(readTime)
			c.Value([]byte{1}, c.DB.Position(), time.Time{})
		}
	}
	var hosts []rig.Host
	var primary *rig.DB
	for i, name := range []string{"s-p", "s-r1", "s-r2"} {
		db, err := rig.StartDB(record, name, i == 0, serve)
		if err != nil {
			return 0, err
		}
		if i == 0 {
			primary = db
		}
		hosts = append(hosts, rig.Entry(db, 1))
	}
	discovery, err := rig.StartDiscovery(record, hosts...)
	if err != nil {
		return 0, err
	}
	classes := []rig.Class{
		{Name: "browse-read", Level: "recent", Repeat: "retryable", Aim: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Bound: 3 * time.Second, Worth: 1},
		{Name: "own-read", Level: "own_writes", Repeat: "retryable", Aim: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 2, LateWorth: 0.2},
		{Name: "licence-write", Level: "update", Repeat: "fragile", Aim: 600 * time.Millisecond, Deadline: deadline, Worth: 4, LateWorth: 0.5},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0") // the platform holds the clients' socket
	if err != nil {
		return 0, err
	}
	addr := listener.Addr().String()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		return 0, err
	}
	start := func(label string) (*rig.Gateway, string, error) {
		management := rig.FreeAddr()
		g, err := rig.Start(record, root, label, tmp, rig.Config{
			Name: "n1", Listen: addr, Discovery: discovery.Addr, Management: management, Seed: "8c1f30d27a5be964",
			Limits: map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
			Known:  &rig.Change{Seq: 41, Whole: true, Hosts: hosts}, Settings: rig.Settings(classes, "client", "ask"),
		}, file)
		return g, management, err
	}
	old, _, err := start("old")
	if err != nil {
		return 0, err
	}
	defer old.Kill()
	if err := rig.AwaitReady(addr, 30*time.Second); err != nil {
		return 0, err
	}
	// The clients keep their connections in use with reads and writes, up to the SIGTERM.
	conns := make([]*rig.Client, clients)
	for i := range conns {
		if conns[i], err = rig.Open(addr); err != nil {
			return 0, err
		}
		defer conns[i].Conn.Close()
	}
	use := func(turn int) error {
		for i, c := range conns {
			id := fmt.Sprintf("r%d-%d", turn, i)
			text := rig.Select(id, "own-read", 1500*time.Millisecond, 1, fmt.Sprintf("%016x", i+1))
			if (i+turn)%4 == 0 {
				text = rig.Insert(id, "licence-write", deadline, 1, fmt.Sprintf("%016x", i+1), "9f03")
			}
			if err := c.Send(text); err != nil {
				return err
			}
			time.Sleep(5 * time.Millisecond)
		}
		for _, c := range conns {
			if _, err := c.Read(); err != nil {
				return fmt.Errorf("a connection in use has ended: %w", err)
			}
		}
		return nil
	}
	if err := use(0); err != nil {
		return 0, err
	}
	fresh, management, err := start("new")
	if err != nil {
		return 0, err
	}
	defer fresh.Kill()
	for turn := 1; ; turn++ {
		if turn > 5 {
			return 0, errors.New("the new process does not say yes in 6 s")
		}
		if err := use(turn); err != nil {
			return 0, err
		}
		if response, err := http.Get("http://" + management + "/v1/readyz"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				record.Printf("the new process says yes")
				break
			}
		}
	}
	termAt := time.Now()
	if rig.Trouble() {
		primary.Hang(termAt.Add(hangTime))
		record.Printf("the primary hangs for %v", hangTime)
	}
	old.Signal(syscall.SIGTERM)
	var wg sync.WaitGroup
	results := make([]outcome, clients)
	for i := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = write(record, addr, conns[i], termAt, i)
		}()
	}
	time.Sleep(time.Until(termAt.Add(killAfter)))
	record.Printf("%v after SIGTERM", killAfter)
	if old.Running() {
		old.Signal(syscall.SIGKILL)
	}
	wg.Wait()
	onOld, lost := 0, 0
	for _, r := range results {
		if r.old && r.sentAt.Sub(termAt) > countAfter {
			onOld++
			if !r.answered {
				lost++
				record.Printf("lost: id=%s, sent %v after SIGTERM to the old process, which was killed before it answered", r.id, r.sentAt.Sub(termAt).Round(time.Millisecond))
			}
		}
	}
	result := fmt.Sprintf("writes sent %d, of these to the old process over 0.7 s after SIGTERM %d, of these never answered %d", clients, onOld, lost)
	record.Printf("%s", result)
	fmt.Println(result)
	switch {
	case lost > 0:
		return rig.Broken, nil
	case onOld == 0:
		return 0, errors.New("no connection to the old process was open long enough")
	}
	return rig.Held, nil
}

// write sends a client's write, on its connection if the gateway has left it open, else on a new one.
func write(record *rig.Record, addr string, c *rig.Client, termAt time.Time, i int) outcome {
	sendAfter := sendFrom + time.Duration(i*29%clients)*400*time.Millisecond/clients
	r := outcome{id: fmt.Sprintf("w%02d", i), old: true}
	_ = c.Conn.SetReadDeadline(termAt.Add(sendAfter))
	if _, err := c.In.Peek(1); err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		record.Printf("client %d: the gateway has closed its resting connection (%v)", i, err)
		r.old = false // closed by the gateway between requests
	}
	for {
		if !r.old {
			var err error
			if c, err = rig.Open(addr); err != nil {
				return r
			}
			defer c.Conn.Close()
			time.Sleep(time.Until(termAt.Add(sendAfter)))
		}
		_ = c.Conn.SetReadDeadline(time.Now().Add(deadline + time.Second))
		r.sentAt = time.Now()
		record.Printf("client %d sends id=%s (licence-write, d=%d); its connection is to the old process: %t", i, r.id, deadline.Milliseconds(), r.old)
		if err := c.Send(rig.Insert(r.id, "licence-write", deadline, 1, fmt.Sprintf("%016x", i+1), "9f03")); err != nil {
			if r.old {
				r.old = false
				continue
			}
			return r
		}
		a, err := c.Read()
		if err != nil {
			record.Printf("client %d: no answer to id=%s: the connection ended (%v) after %v", i, r.id, err, time.Since(r.sentAt).Round(time.Millisecond))
			return r
		}
		record.Printf("client %d got for id=%s: %s after %v", i, r.id, a, time.Since(r.sentAt).Round(time.Millisecond))
		r.answered = true
		return r
	}
}
