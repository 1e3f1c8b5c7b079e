// Package management is the operators' address: HTTP/1.1, one call to a connection. It runs on the
// loop beside the clients, with descriptors of its own, and knows operations by a small interface.
package management

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"lilaccove/internal/http1"
	"lilaccove/internal/netloop"
)

const (
	// MaxConnections is how many may be connected at once.
	MaxConnections = 12
	callTime       = 3 * time.Second // a call is whole by then, or its caller is let go
	leaveTime      = time.Second     // an answer is read by then
	inputMost      = http1.MaxRequestHead + http1.MaxRequestBody + 512
)

// reasons are the phrases of the statuses in use.
var reasons = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 411: "Length Required",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 503: "Service Unavailable",
	505: "HTTP Version Not Supported",
}

// Operations are what operators may ask for. Everything is called on the loop's goroutine.
type Operations interface {
	// Ready tells whether requests are served, or else why not.
	Ready() (why string, ok bool)
	// Metrics adds the figures.
	Metrics(b []byte) []byte
	// Suspend leaves a database out, or has it serve again, and calls then when that holds; kept tells whether a
	// successor will know it as well. False: nobody knows the database.
	Suspend(id string, out bool, then func(kept bool)) bool
	// FleetMembers tells in JSON which other gateways are known; false: this one is in no fleet.
	FleetMembers() ([]byte, bool)
	// FleetState tells in JSON what operators told the whole fleet; false: this gateway is in no fleet.
	FleetState() ([]byte, bool)
	// FleetVersions tells in JSON who acts on which versions; false: this gateway is in no fleet.
	FleetVersions() ([]byte, bool)
	// FleetAudit tells in JSON what this gateway did, by what it acted on; false: it is in no fleet.
	FleetAudit() ([]byte, bool)
	// FleetSuspend is Suspend for the whole fleet; then tells who has the word.
	FleetSuspend(id string, out bool, then func(said string)) bool
	// FleetDrain tells the fleet to drain a gateway, whichever it is, or to have it work again; false: nobody knows it.
	FleetDrain(name string, on bool, then func(said string)) bool
	// Fence shuts the gateway out, or has it go on with what it has; false: there is no fence.
	Fence(out bool) bool
	// Drain empties the gateway, or has it work again, at once, and calls then as Suspend does.
	Drain(on bool, then func(kept bool))
}

// Server is all callers.
type Server struct {
	loop  *netloop.Loop
	ops   Operations
	calls []*call // oldest first
	bad   netloop.RateLimitedLog
}

// Listen begins to take calls; it returns the address in use.
func Listen(loop *netloop.Loop, addr netip.AddrPort, ops Operations) (netip.AddrPort, error) {
	s := &Server{loop: loop, ops: ops}
	ln, err := loop.ListenReserved(addr, MaxConnections, s.accept, s.makeRoom)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("management: %w", err)
	}
	return ln.Addr, nil
}

// call is one caller.
type call struct {
	s     *Server
	nc    *netloop.Conn
	timer *netloop.Timer
	asked bool // its call is whole
	said  bool // it has its answer
}

func (s *Server) accept(nc *netloop.Conn) {
	s.prune()
	c := &call{s: s, nc: nc}
	nc.SetHandler(c, inputMost)
	c.timer = s.loop.At(s.loop.Now()+callTime, func() { c.answer(408, "no whole call in time\n") })
	s.calls = append(s.calls, c)
}

// prune forgets who is gone.
func (s *Server) prune() {
	left := s.calls[:0]
	for _, c := range s.calls {
		if c.nc.HasDescriptor() {
			left = append(left, c)
		}
	}
	clear(s.calls[len(left):])
	s.calls = left
}

// makeRoom closes the connection of who has its answer, else of who has said nothing, or half a call, for
// longest. Who waits for an answer stays.
func (s *Server) makeRoom() bool {
	s.prune()
	for _, c := range s.calls {
		if c.said {
			c.close()
			return true
		}
	}
	for _, c := range s.calls {
		if c.nc.Poll(); !c.asked { // what it has sent by now counts
			c.close()
			return true
		}
	}
	return false
}

func (c *call) close() {
	c.timer.Stop()
	c.nc.Close()
}

// Connected is for dialled connections.
func (c *call) Connected() {}

// Ended tells that the caller is gone; what it asked for has been done.
func (c *call) Ended(error) { c.timer.Stop() }

// Received carries out a call once it is whole. What follows it is not read.
func (c *call) Received() {
	if c.asked {
		c.nc.Consume(len(c.nc.Input()))
		return
	}
	q, n, err := http1.ParseRequest(c.nc.Input())
	if bad, ok := err.(*http1.StatusError); ok {
		c.s.bad.Printf(c.s.loop.Now(), "event=bad_call status=%d err=%q", bad.Status, bad.Reason)
		c.answer(bad.Status, bad.Reason+"\n")
		return
	}
	if n > 0 {
		c.asked = true
		c.route(q)
	}
}

// route finds what was asked for.
func (c *call) route(q http1.Request) {
	switch q.Path {
	case "/v1/readyz":
		if !c.method(q, "GET") {
			return
		}
		why, ok := c.s.ops.Ready()
		if ok {
			c.answer(200, "ready\n")
		} else {
			c.answer(503, "not ready: "+why+"\n")
		}
	case "/v1/metrics":
		if c.method(q, "GET") {
			c.answer(200, string(c.s.ops.Metrics(nil)))
		}
	case "/v1/fleet/members":
		c.fleet(q, c.s.ops.FleetMembers)
	case "/v1/fleet/versions":
		c.fleet(q, c.s.ops.FleetVersions)
	case "/v1/fleet/audit":
		c.fleet(q, c.s.ops.FleetAudit)
	case "/v1/fleet/state":
		c.fleet(q, c.s.ops.FleetState)
	case "/v1/gateway/fence", "/v1/gateway/unfence":
		if !c.method(q, "PUT") {
			return
		}
		if c.s.ops.Fence(q.Path == "/v1/gateway/fence") {
			c.answer(200, "ok\n")
		} else {
			c.answer(404, "the fleet file of this gateway sets no fence\n")
		}
	case "/v1/gateway/drain", "/v1/gateway/activate":
		if c.method(q, "PUT") {
			c.s.ops.Drain(strings.HasSuffix(q.Path, "drain"), c.done)
		}
	default:
		c.word(q)
	}
}

// fleet answers with what is known of the fleet.
func (c *call) fleet(q http1.Request, say func() ([]byte, bool)) {
	if !c.method(q, "GET") {
		return
	}
	if text, ok := say(); ok {
		c.reply(200, "application/json", "", string(text))
	} else {
		c.answer(404, "this gateway has no fleet file\n")
	}
}

// word handles what operators say of one database or gateway: PREFIX/NAME/VERB.
func (c *call) word(q http1.Request) {
	for _, k := range []struct {
		prefix, what, out, in string
		say                   func(name string, out bool, then func(said string)) bool
	}{
		{"/v1/databases/", "database", "suspend", "resume", func(id string, out bool, _ func(said string)) bool {
			return c.s.ops.Suspend(id, out, c.done) // done answers in then's place
		}},
		{"/v1/fleet/databases/", "database", "suspend", "resume", c.s.ops.FleetSuspend},
		{"/v1/fleet/gateways/", "gateway", "drain", "activate", c.s.ops.FleetDrain},
	} {
		rest, ok := strings.CutPrefix(q.Path, k.prefix)
		text, verb, two := strings.Cut(rest, "/")
		if !ok || !two || verb != k.out && verb != k.in {
			continue
		}
		name, ok := http1.DecodeSegment(text)
		switch {
		case !ok:
			c.answer(400, "the "+k.what+"'s name is not encoded as a path is\n")
		case !c.method(q, "PUT"):
		case !k.say(name, verb == k.out, func(said string) { c.answer(200, strings.TrimSuffix("ok: "+said, ": ")+"\n") }):
			c.answer(404, fmt.Sprintf("no %s %q\n", k.what, name))
		}
		return
	}
	c.answer(404, "no such path\n")
}

// method tells whether the call has the method, and answers if not.
func (c *call) method(q http1.Request, allowed string) bool {
	if q.Method != allowed {
		c.reply(405, "text/plain; charset=utf-8", "Allow: "+allowed+"\r\n", "use "+allowed+"\n")
	}
	return q.Method == allowed
}

// done answers a word that holds here; it is a yes only where a successor will know it as well.
func (c *call) done(kept bool) {
	if kept {
		c.answer(200, "ok\n")
		return
	}
	c.answer(503, "it holds in this process, but could not be written for its successor, which is tried again; say it once more\n")
}

func (c *call) answer(status int, body string) {
	c.reply(status, "text/plain; charset=utf-8", "", body)
}

// reply is the last thing that happens on a connection.
func (c *call) reply(status int, kind, fields, body string) {
	c.timer.Stop()
	if c.said || c.nc.Closed() {
		return
	}
	c.said, c.asked = true, true
	c.nc.Write(fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, reasons[status], kind, len(body), fields, body))
	c.nc.Finish(c.s.loop.Now() + leaveTime)
}
