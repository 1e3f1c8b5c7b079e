// Command adapter hosts routers on a line protocol: batches of events on
// standard input, one reply per batch on standard output.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"lilaccove/internal/wire"
	"lilaccove/policy"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	r := wire.NewReader(in)
	w := bufio.NewWriterSize(out, 1<<16)
	h := host{routers: map[int]*policy.Router{}}
	for {
		b, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.answer(b); err != nil {
			return err
		}
		if err := h.reply.Flush(w, b.Seq); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// host keeps the routers of this process; they share nothing.
type host struct {
	routers map[int]*policy.Router
	reply   wire.Reply
}

func (h *host) answer(b wire.Batch) error {
	var order []int
	events := map[int][]policy.Event{}
	for _, it := range b.Items {
		switch it.Kind {
		case wire.RouterStart:
			p, err := policy.New(it.Settings, it.Seed)
			if err != nil {
				return fmt.Errorf("router %d: %w", it.Router, err)
			}
			h.routers[it.Router] = p
			events[it.Router] = nil
		case wire.RouterStop:
			delete(h.routers, it.Router)
			delete(events, it.Router)
		default:
			if h.routers[it.Router] == nil {
				return fmt.Errorf("router %d: event before its start", it.Router)
			}
			events[it.Router] = append(events[it.Router], it.Event)
		}
		if !slices.Contains(order, it.Router) {
			order = append(order, it.Router)
		}
	}
	for _, n := range order {
		if p := h.routers[n]; p != nil && len(events[n]) > 0 {
			h.reply.BeginRouter(n)
			h.step(p, b.Now, events[n])
		}
	}
	return nil
}

// step runs one router; a panic in it is reported and ends in GIVE_IN.
func (h *host) step(p *policy.Router, now time.Duration, events []policy.Event) {
	defer func() {
		if e := recover(); e != nil {
			h.reply.Failed(fmt.Sprint(e))
		}
	}()
	for _, a := range p.Step(now, events) {
		h.reply.Action(a)
	}
}
