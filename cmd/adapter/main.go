// Command adapter runs routers for the simulator's line protocol: it reads
// batches of events from standard input and writes one reply per batch to
// standard output.
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

// serve replies to batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	writer := bufio.NewWriterSize(out, 1<<16)
	routers := routerSet{routers: map[int]*policy.Router{}}
	for {
		batch, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := routers.handleBatch(batch); err != nil {
			return err
		}
		if err := routers.reply.Flush(writer, batch.Seq); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// routerSet holds the routers of this process. They share no state.
type routerSet struct {
	routers map[int]*policy.Router
	reply   wire.Reply
}

// handleBatch starts and stops routers as the batch says, then gives each router its events of the batch in one step.
func (s *routerSet) handleBatch(batch wire.Batch) error {
	var order []int
	events := map[int][]policy.Event{}
	for _, item := range batch.Items {
		switch item.Kind {
		case wire.RouterStart:
			router, err := policy.New(item.Settings, item.Seed)
			if err != nil {
				return fmt.Errorf("router %d: %w", item.Router, err)
			}
			s.routers[item.Router] = router
			events[item.Router] = nil
		case wire.RouterStop:
			delete(s.routers, item.Router)
			delete(events, item.Router)
		default:
			if s.routers[item.Router] == nil {
				return fmt.Errorf("router %d: event before its start", item.Router)
			}
			events[item.Router] = append(events[item.Router], item.Event)
		}
		if !slices.Contains(order, item.Router) {
			order = append(order, item.Router)
		}
	}
	for _, number := range order {
		if router := s.routers[number]; router != nil && len(events[number]) > 0 {
			s.reply.BeginRouter(number)
			s.stepRouter(router, batch.Now, events[number])
		}
	}
	return nil
}

// stepRouter runs one step of a router. A panic in it is reported to the simulator as GIVE_IN.
func (s *routerSet) stepRouter(router *policy.Router, now time.Duration, events []policy.Event) {
	defer func() {
		if e := recover(); e != nil {
			s.reply.Failed(fmt.Sprint(e))
		}
	}()
	for _, a := range router.Step(now, events) {
		s.reply.Action(a)
	}
}
