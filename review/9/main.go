//go:build review

// Case 9: an upgrade of a gateway at a site whose longest deadline is 5 s, while the primary hangs.
package main

import (
	"fmt"
	"net"
	"net/http"
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
	clients  = 40
	sendAt   = 900 * time.Millisecond  // after SIGTERM
	killAt   = 3700 * time.Millisecond // 3 s, as which the deadline of 5 s counts, and 0.7 s more
	slack    = 50 * time.Millisecond
	deadline = 5 * time.Second
)

func main() {
	c := shared2.Start(100 * time.Second)
	var hang atomic.Bool
	var received sync.Map // ids of the writes that the primary has read
	var entries []shared2.Entry
	for _, id := range []string{"p", "a", "b"} {
		primary := id == "p"
		d := c.NewDatabase(id, func(s shared2.Statement) shared2.Reply {
			if primary && hang.Load() {
				received.Store(s.ID, true)
				c.Log("database %s got %s %s and hangs", id, s.Class, s.ID)
				return shared2.Reply{Silent: true}
			}
			time.Sleep(40 * time.Millisecond)
			if s.Write && !primary {
				return shared2.Reply{Code: "25006", Position: time.Now()}
			}
			return shared2.Reply{Value: []byte("of " + s.ID), Primary: primary, Position: time.Now()}
		})
		d.SetReport(func() (float64, int) {
			if primary {
				return float64(time.Now().UnixMilli()) / 1000, 1
			}
			return float64(time.Now().UnixMilli()) / 1000, 0
		})
		role := "replica"
		if primary {
			role = "primary"
		}
		entries = append(entries, shared2.Entry{Host: id, Dial: d.Addr, Site: "duluth", Class: "std-4", Block: group, Health: "in_service", Share: 1, Role: role})
	}
	discovery := c.NewDiscovery(entries)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "clients' socket")
	socket, err := listener.(*net.TCPListener).File()
	c.Must(err, "clients' socket")
	temp := filepath.Join(c.Temp, "shared")
	c.Must(os.MkdirAll(temp, 0o700), "shared folder")
	start := func() *shared2.Gateway {
		return c.StartGateway(shared2.GatewayOptions{Name: "n1", Listen: listener.Addr().String(), Discovery: discovery.Addr, MemoryMB: 192, Sockets: 1024,
			Known: discovery.List(), Settings: shared2.Lakeshore(), TempDir: temp, Inherited: socket})
	}
	old := start()
	old.WaitReady()

	var conns []*shared2.Client
	for range clients {
		cl := c.MustDial(old.Listen)
		a := cl.Query(shared2.WriteText(shared2.NewID(), "quote-save", group, deadline, "00aa", "01"), 6*time.Second)
		if a.Kind() != "served" {
			c.Log("warm-up: %s", a.Kind())
		}
		conns = append(conns, cl)
	}

	successor := start()
	c.Until(6*time.Second, "the new process says yes", func() bool {
		response, err := http.Get("http://" + successor.Management + "/v1/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode/100 == 2
	})
	hang.Store(c.Trouble)
	c.Log("the primary hangs: %t", c.Trouble)
	term := time.Now()
	old.Signal(syscall.SIGTERM)
	time.Sleep(time.Until(term.Add(sendAt)))

	var wg sync.WaitGroup
	answers := make([]string, len(conns))
	for i, cl := range conns {
		wg.Go(func() {
			id := shared2.NewID()
			text := shared2.WriteText(id, "quote-save", group, deadline, fmt.Sprintf("%04x", i), "02")
			sent := time.Now()
			if err := cl.Send(text); err != nil {
				answers[i] = "closed before"
				return
			}
			a := cl.Read(time.Until(term.Add(killAt + slack)))
			kind := a.Kind()
			if a.TimedUp {
				kind = "unanswered"
			}
			_, reached := received.Load(id)
			if kind == "ended" && !reached {
				kind = "closed unread" // the client would send it once more on a new connection
			}
			answers[i] = kind
			c.Log("request %s sent %.3f s after SIGTERM on connection %d: %s %.3f s after SIGTERM, reached the primary: %t", id,
				sent.Sub(term).Seconds(), i, kind, a.At.Sub(term).Seconds(), reached)
		})
	}
	wg.Wait()
	time.Sleep(time.Until(term.Add(killAt + slack)))
	exited := old.Exited()
	if !exited {
		old.Signal(syscall.SIGKILL)
	}
	counts := map[string]int{}
	for _, kind := range answers {
		counts[kind]++
	}
	c.Log("old process ended by itself: %t, answers %v", exited, counts)
	lost := counts["unanswered"] + counts["ended"]
	switch {
	case len(conns)-counts["closed before"]-counts["closed unread"] == 0:
		c.End(shared2.NotRun, "no connection was open any more %v after SIGTERM", sendAt)
	case lost > 0:
		c.End(shared2.Broken, "%d requests that came %v after SIGTERM had no answer at SIGKILL %v after it: %v", lost, sendAt, killAt, counts)
	default:
		c.End(shared2.Held, "all requests were answered before SIGKILL: %v", counts)
	}
}
