//go:build review

// Case 8: some clients write large values slowly, others send theirs at once and wait a short time.
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
	slow        = 10      // clients that write values of slowBytes slowly, and as many with mediumBytes
	slowBytes   = 1 << 20 // in a statement a value takes twice as many bytes
	mediumBytes = 128 << 10
	pieces      = 90 // in which they write
	pause       = 20 * time.Millisecond
	quick       = 10        // clients that send a value at once
	quickBytes  = 100 << 10 // their values
	between     = 200 * time.Millisecond
	slowWait    = 3 * time.Second         // the class's time
	quickWait   = 1260 * time.Millisecond // 42% of it
	late        = 500 * time.Millisecond  // an answer until then only earns nothing
	slack       = 50 * time.Millisecond
	length      = 8 * time.Second
)

func main() {
	c := shared2.Start(100 * time.Second)
	g := c.NewGroup(group, "osu-room", 0, "p", "a", "b")
	g.Set(func(members []*shared2.Member) {
		members[0].Hook = func(s shared2.Statement) (shared2.Reply, bool) {
			if !s.Write {
				return shared2.Reply{}, false
			}
			c.Log("database p runs %s %s of %d bytes, which it may take %v for", s.Class, s.ID, len(s.Text), s.Wait)
			time.Sleep(70 * time.Millisecond)
			return shared2.Reply{Value: []byte("done"), Primary: true, Position: time.Now()}, true
		}
	})
	discovery := c.NewDiscovery(g.Entries())
	gateway := c.StartGateway(shared2.GatewayOptions{Name: "n1", Discovery: discovery.Addr, MemoryMB: memoryMB, Sockets: 1024,
		Known: discovery.List(), Settings: shared2.Accra()})
	gateway.WaitReady()

	var answered, lost, slowLost, other atomic.Int64
	begin := time.Now()
	var wg sync.WaitGroup
	// write sends a write and judges when its answer comes.
	write := func(conn **shared2.Client, bytes, pieceCount int, wait time.Duration) (tooLate, counted bool) {
		if *conn == nil {
			var err error
			if *conn, err = c.Dial(gateway.Listen); err != nil {
				time.Sleep(between)
				return false, false
			}
			_ = (*conn).Buffer(400_000)
			// No request is the first on its connection.
			(*conn).Query(shared2.WriteText(shared2.NewID(), "licence-write", group, slowWait, "7f3a", "01"), slowWait)
		}
		id := shared2.NewID()
		text := shared2.WriteText(id, "licence-write", group, wait, "7f3a"+id, strings.Repeat("9f", bytes))
		first := time.Now()
		err := (*conn).SendPieces(text, len(text)/pieceCount+1, pause)
		last := time.Now()
		if err != nil {
			(*conn).Close()
			*conn = nil
			return false, false
		}
		a := (*conn).Read(time.Until(last.Add(wait + late + slack)))
		tooLate = a.TimedUp
		c.Log("write %s of %d bytes, first byte %.3f, last byte %.3f, to wait %v: %s after %.3f s", id, len(text), c.At(first), c.At(last), wait, a.Kind(),
			a.At.Sub(last).Seconds())
		if a.TimedUp { // for the record: when does it come?
			b := (*conn).Read(4 * time.Second)
			c.Log("write %s: %s after %.3f s", id, b.Kind(), b.At.Sub(last).Seconds())
			a = b
		}
		if a.Ended || a.TimedUp {
			(*conn).Close()
			*conn = nil
		}
		return tooLate, true
	}
	run := func(start time.Duration, bytes, pieceCount int, wait time.Duration, lostCount *atomic.Int64) {
		wg.Go(func() {
			var conn *shared2.Client
			time.Sleep(time.Until(begin.Add(start)))
			for time.Since(begin) < length {
				switch tooLate, counted := write(&conn, bytes, pieceCount, wait); {
				case !counted:
					other.Add(1)
				case tooLate:
					lostCount.Add(1)
				default:
					answered.Add(1)
				}
				time.Sleep(between)
			}
		})
	}
	for i := range slow {
		if c.Trouble {
			run(time.Duration(i)*pause, slowBytes, pieces, slowWait, &slowLost)
			run(time.Duration(i)*pause+pause/2, mediumBytes, pieces, slowWait, &slowLost)
		}
	}
	for i := range quick {
		run(time.Second+time.Duration(i)*between/quick, quickBytes, 1, quickWait, &lost)
	}
	wg.Wait()
	summary := fmt.Sprintf("%d writes were answered by then, %d of the slow clients were not, %d connections ended", answered.Load(), slowLost.Load(), other.Load())
	switch {
	case answered.Load() == 0:
		c.End(shared2.NotRun, "no write was answered")
	case lost.Load()+slowLost.Load() > 0:
		c.End(shared2.Broken, "%d writes that were sent whole had no answer %v after the client's time of %v was over (%s)", lost.Load(), late, quickWait, summary)
	default:
		c.End(shared2.Held, "each write had its answer in time (%s)", summary)
	}
}
