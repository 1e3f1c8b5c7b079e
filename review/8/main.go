//go:build review

// Case 8: an upgrade of a gateway at a site where the gateway remembers the sessions' writes.
package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lilaccove/review/shared-2"
)

const (
	group    = 2
	sessions = 20
	lag      = 2 * time.Second
	gap      = 400 * time.Millisecond // from a session's write to its read: 220 to 620 ms
	upgrade  = 3 * time.Second        // after the start of the sessions
	length   = 8 * time.Second
)

func main() {
	c := shared2.Start(100 * time.Second)
	g := c.NewGroup(group, "osu-room", 20*time.Millisecond, "p", "a", "b")
	g.Set(func(members []*shared2.Member) { members[1].Lag, members[2].Lag = lag, lag })
	discovery := c.NewDiscovery(g.Entries())
	settings := shared2.Accra()
	settings["Domain"].(map[string]any)["SessionMarks"] = "router"

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "clients' socket")
	socket, err := listener.(*net.TCPListener).File()
	c.Must(err, "clients' socket")
	temp := filepath.Join(c.Temp, "shared")
	c.Must(os.MkdirAll(temp, 0o700), "shared folder")
	start := func() *shared2.Gateway {
		return c.StartGateway(shared2.GatewayOptions{Name: "n1", Listen: listener.Addr().String(), Discovery: discovery.Addr, MemoryMB: 192, Sockets: 1024,
			Known: discovery.List(), Settings: settings, TempDir: temp, Inherited: socket})
	}
	old := start()
	old.WaitReady()

	var wg sync.WaitGroup
	var reads, stale, writes atomic.Int64
	begin := time.Now()
	for i := range sessions {
		wg.Go(func() {
			key := fmt.Sprintf("7f3a%04x", i)
			var conn *shared2.Client
			// query sends a request, once more on a new connection if the gateway has closed the one between requests.
			query := func(text string) shared2.Answer {
				for range 2 {
					if conn == nil {
						if conn, err = c.Dial(old.Listen); err != nil {
							return shared2.Answer{Ended: true}
						}
					}
					a := conn.Query(text, 5*time.Second)
					if !a.Ended {
						return a
					}
					conn.Close()
					conn = nil
				}
				return shared2.Answer{Ended: true}
			}
			time.Sleep(time.Duration(i) * gap / sessions)
			for n := 1; time.Since(begin) < length; n++ {
				value := fmt.Sprintf("%04x", n)
				a := query(shared2.WriteText(shared2.NewID(), "licence-write", group, 3*time.Second, key, value))
				c.Log("session %s: write of %s: %s", key, value, a.Kind())
				if a.Kind() != "served" {
					continue
				}
				writes.Add(1)
				time.Sleep(gap)
				id := shared2.NewID()
				a = query(shared2.ReadText(id, "own-read", group, 1500*time.Millisecond, key, ""))
				c.Log("session %s: read %s: %s %s", key, id, a.Kind(), a.Value)
				if a.Kind() != "served" {
					continue
				}
				reads.Add(1)
				if a.Value < value {
					stale.Add(1)
					c.Log("session %s: STALE: the session's write of %s was answered before, its read %s got %s", key, value, id, a.Value)
				}
			}
		})
	}
	time.Sleep(time.Until(begin.Add(upgrade)))
	if c.Trouble {
		successor := start()
		c.WaitYes(successor)
		old.Signal(syscall.SIGTERM)
		go func() {
			time.Sleep(3700 * time.Millisecond)
			if !old.Exited() {
				old.Signal(syscall.SIGKILL)
			}
		}()
	}
	wg.Wait()
	switch {
	case writes.Load() < sessions || reads.Load() < sessions:
		c.End(shared2.NotRun, "only %d writes and %d reads were served", writes.Load(), reads.Load())
	case stale.Load() > 0:
		c.End(shared2.Broken, "%d of %d reads of sessions lack a write that this gateway had answered before", stale.Load(), reads.Load())
	default:
		c.End(shared2.Held, "all of %d reads show the sessions' writes", reads.Load())
	}
}
