//go:build review

// Case 7: an operator drains a gateway while clients have sent large values that it has not read completely.
package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lilaccove/review/shared-2"
)

const (
	group       = 2
	memoryMB    = 64
	slow        = 10      // clients that write a value of slowBytes slowly, and as many with mediumBytes
	slowBytes   = 1 << 20 // in a statement a value takes twice as many bytes
	mediumBytes = 128 << 10
	pieces      = 90 // in which they write
	pause       = 20 * time.Millisecond
	quick       = 10                      // clients that write a value at once
	bytes       = 100 << 10               // their values
	quickAt     = 600 * time.Millisecond  // after the slow ones
	callAt      = 1000 * time.Millisecond // after the slow ones
	before      = 100 * time.Millisecond  // the last byte was sent so long before the call
	patience    = 3 * time.Second
)

func main() {
	c := shared2.Start(100 * time.Second)
	g := c.NewGroup(group, "osu-room", 20*time.Millisecond, "p", "a", "b")
	var ran sync.Map
	g.Set(func(members []*shared2.Member) {
		members[0].Hook = func(s shared2.Statement) (shared2.Reply, bool) {
			if !s.Write {
				return shared2.Reply{}, false
			}
			ran.Store(s.ID, true)
			c.Log("database p runs %s %s of %d bytes", s.Class, s.ID, len(s.Text))
			time.Sleep(20 * time.Millisecond)
			return shared2.Reply{Value: []byte("done"), Primary: true, Position: time.Now()}, true
		}
	})
	discovery := c.NewDiscovery(g.Entries())
	gateway := c.StartGateway(shared2.GatewayOptions{Name: "n1", Discovery: discovery.Addr, MemoryMB: memoryMB, Sockets: 1024,
		Known: discovery.List(), Settings: shared2.Accra()})
	gateway.WaitReady()

	// Each connection has carried a request before.
	var conns []*shared2.Client
	for range 2*slow + quick {
		conn := c.MustDial(gateway.Listen)
		_ = conn.Buffer(400_000)
		if a := conn.Query(shared2.WriteText(shared2.NewID(), "licence-write", group, patience, "7f3a", "01"), patience); a.Kind() != "served" {
			c.End(shared2.NotRun, "a first request: %s", a.Kind())
		}
		conns = append(conns, conn)
	}
	time.Sleep(200 * time.Millisecond)

	var call atomic.Int64 // when drain was called, in Unix nanoseconds; 0: not yet
	var served, refused, cut, lost atomic.Int64
	begin := time.Now()
	var wg sync.WaitGroup
	for i, conn := range conns {
		wg.Go(func() {
			defer conn.Close()
			id := shared2.NewID()
			key := fmt.Sprintf("7f3a%04x", i)
			var err error
			var first, last time.Time
			if i < 2*slow {
				n := slowBytes
				if i >= slow {
					n = mediumBytes
					time.Sleep(pause)
				}
				text := shared2.WriteText(id, "licence-write", group, patience, key, strings.Repeat("9f", n))
				first = time.Now()
				err = conn.SendPieces(text, len(text)/pieces+1, pause)
			} else {
				text := shared2.WriteText(id, "licence-write", group, patience, key, strings.Repeat("9f", bytes))
				time.Sleep(time.Until(begin.Add(quickAt)))
				first = time.Now()
				err = conn.Send(text)
			}
			last = time.Now()
			a := conn.Read(patience + time.Second)
			at := call.Load()
			whole := err == nil && at != 0 && last.UnixNano() < at-int64(before)
			_, didRun := ran.Load(id)
			c.Log("client %d: write %s: first byte %.3f, last byte %.3f, error %v, %s %.3f, all sent %v before the call: %t, has run: %t", i, id,
				c.At(first), c.At(last), err, a.Kind(), c.At(a.At), before, whole, didRun)
			switch kind := a.Kind(); {
			case kind == "served":
				served.Add(1)
			case a.Code != "":
				refused.Add(1)
			case whole:
				lost.Add(1)
			default:
				cut.Add(1)
			}
		})
	}
	time.Sleep(time.Until(begin.Add(callAt)))
	if c.Trouble {
		call.Store(time.Now().UnixNano())
		status := c.Call("PUT", gateway.Management, "/v1/gateway/drain")
		c.Log("drain: %d", status)
		if status/100 != 2 {
			c.End(shared2.NotRun, "the drain was answered %d", status)
		}
	} else {
		call.Store(time.Now().UnixNano())
	}
	wg.Wait()
	summary := fmt.Sprintf("%d served, %d refused or failed, %d cut off while they were sent", served.Load(), refused.Load(), cut.Load())
	switch {
	case lost.Load() > 0:
		c.End(shared2.Broken, "%d writes that were sent whole %v or more before the call had no answer: the gateway ended their connections (%s)", lost.Load(),
			before, summary)
	default:
		c.End(shared2.Held, "each write that was sent whole had an answer (%s)", summary)
	}
}
