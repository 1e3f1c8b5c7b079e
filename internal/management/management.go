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
	requestTimeout = 3 * time.Second // a call is whole by then, or its caller is let go
	closeTimeout   = time.Second     // an answer is read by then
	maxInputBytes  = http1.MaxRequestHead + http1.MaxRequestBody + 512
)

// reasonPhrases are the phrases of the statuses in use.
var reasonPhrases = map[int]string{
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
	loop          *netloop.Loop
	ops           Operations
	conns         []*conn // oldest first
	badRequestLog netloop.RateLimitedLog
}

// Listen begins to take calls; it returns the address in use.
func Listen(loop *netloop.Loop, addr netip.AddrPort, ops Operations) (netip.AddrPort, error) {
	server := &Server{loop: loop, ops: ops}
	ln, err := loop.ListenReserved(addr, MaxConnections, server.accept, server.evict)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("management: %w", err)
	}
	return ln.Addr, nil
}

// conn is one caller.
type conn struct {
	server          *Server
	netConn         *netloop.Conn
	timer           *netloop.Timer
	requestComplete bool // its call is whole
	answered        bool // it has its answer
}

func (s *Server) accept(nc *netloop.Conn) {
	s.removeClosed()
	c := &conn{server: s, netConn: nc}
	nc.SetHandler(c, maxInputBytes)
	c.timer = s.loop.At(s.loop.Now()+requestTimeout, func() { c.answerText(408, "no whole call in time\n") })
	s.conns = append(s.conns, c)
}

// removeClosed forgets who is gone.
func (s *Server) removeClosed() {
	open := s.conns[:0]
	for _, c := range s.conns {
		if c.netConn.HasDescriptor() {
			open = append(open, c)
		}
	}
	clear(s.conns[len(open):])
	s.conns = open
}

// evict closes the connection of who has its answer, else of who has said nothing, or half a call, for
// longest. Who waits for an answer stays.
func (s *Server) evict() bool {
	s.removeClosed()
	for _, c := range s.conns {
		if c.answered {
			c.close()
			return true
		}
	}
	for _, c := range s.conns {
		if c.netConn.Poll(); !c.requestComplete { // what it has sent by now counts
			c.close()
			return true
		}
	}
	return false
}

func (c *conn) close() {
	c.timer.Stop()
	c.netConn.Close()
}

// Connected is for dialled connections.
func (c *conn) Connected() {}

// Ended tells that the caller is gone; what it asked for has been done.
func (c *conn) Ended(error) { c.timer.Stop() }

// Received carries out a call once it is whole. What follows it is not read.
func (c *conn) Received() {
	if c.requestComplete {
		c.netConn.Consume(len(c.netConn.Input()))
		return
	}
	req, n, err := http1.ParseRequest(c.netConn.Input())
	if bad, ok := err.(*http1.StatusError); ok {
		c.server.badRequestLog.Printf(c.server.loop.Now(), "event=bad_call status=%d err=%q", bad.Status, bad.Reason)
		c.answerText(bad.Status, bad.Reason+"\n")
		return
	}
	if n > 0 {
		c.requestComplete = true
		c.route(req)
	}
}

// route finds what was asked for.
func (c *conn) route(req http1.Request) {
	switch req.Path {
	case "/v1/readyz":
		if !c.requireMethod(req, "GET") {
			return
		}
		reason, ok := c.server.ops.Ready()
		if ok {
			c.answerText(200, "ready\n")
		} else {
			c.answerText(503, "not ready: "+reason+"\n")
		}
	case "/v1/metrics":
		if c.requireMethod(req, "GET") {
			c.answerText(200, string(c.server.ops.Metrics(nil)))
		}
	case "/v1/fleet/members":
		c.answerFleet(req, c.server.ops.FleetMembers)
	case "/v1/fleet/versions":
		c.answerFleet(req, c.server.ops.FleetVersions)
	case "/v1/fleet/audit":
		c.answerFleet(req, c.server.ops.FleetAudit)
	case "/v1/fleet/state":
		c.answerFleet(req, c.server.ops.FleetState)
	case "/v1/gateway/fence", "/v1/gateway/unfence":
		if !c.requireMethod(req, "PUT") {
			return
		}
		if c.server.ops.Fence(req.Path == "/v1/gateway/fence") {
			c.answerText(200, "ok\n")
		} else {
			c.answerText(404, "the fleet file of this gateway sets no fence\n")
		}
	case "/v1/gateway/drain", "/v1/gateway/activate":
		if c.requireMethod(req, "PUT") {
			c.server.ops.Drain(strings.HasSuffix(req.Path, "drain"), c.answerOverride)
		}
	default:
		c.routeOverride(req)
	}
}

// answerFleet answers with what is known of the answerFleet.
func (c *conn) answerFleet(req http1.Request, read func() ([]byte, bool)) {
	if !c.requireMethod(req, "GET") {
		return
	}
	if body, ok := read(); ok {
		c.respond(200, "application/json", "", string(body))
	} else {
		c.answerText(404, "this gateway has no fleet file\n")
	}
}

// routeOverride handles what operators say of one database or gateway: PREFIX/NAME/VERB.
func (c *conn) routeOverride(req http1.Request) {
	for _, route := range []struct {
		prefix, what, onVerb, offVerb string
		apply                         func(name string, active bool, then func(result string)) bool
	}{
		{"/v1/databases/", "database", "suspend", "resume", func(id string, active bool, _ func(result string)) bool {
			return c.server.ops.Suspend(id, active, c.answerOverride) // done answers in then's place
		}},
		{"/v1/fleet/databases/", "database", "suspend", "resume", c.server.ops.FleetSuspend},
		{"/v1/fleet/gateways/", "gateway", "drain", "activate", c.server.ops.FleetDrain},
	} {
		rest, ok := strings.CutPrefix(req.Path, route.prefix)
		segment, verb, hasVerb := strings.Cut(rest, "/")
		if !ok || !hasVerb || verb != route.onVerb && verb != route.offVerb {
			continue
		}
		name, ok := http1.DecodeSegment(segment)
		switch {
		case !ok:
			c.answerText(400, "the "+route.what+"'s name is not encoded as a path is\n")
		case !c.requireMethod(req, "PUT"):
		case !route.apply(name, verb == route.onVerb, func(result string) { c.answerText(200, strings.TrimSuffix("ok: "+result, ": ")+"\n") }):
			c.answerText(404, fmt.Sprintf("no %s %q\n", route.what, name))
		}
		return
	}
	c.answerText(404, "no such path\n")
}

// requireMethod tells whether the call has the requireMethod, and answers if not.
func (c *conn) requireMethod(req http1.Request, allowed string) bool {
	if req.Method != allowed {
		c.respond(405, "text/plain; charset=utf-8", "Allow: "+allowed+"\r\n", "use "+allowed+"\n")
	}
	return req.Method == allowed
}

// answerOverride answers a word that holds here; it is a yes only where a successor will know it as well.
func (c *conn) answerOverride(kept bool) {
	if kept {
		c.answerText(200, "ok\n")
		return
	}
	c.answerText(503, "it holds in this process, but could not be written for its successor, which is tried again; say it once more\n")
}

func (c *conn) answerText(status int, body string) {
	c.respond(status, "text/plain; charset=utf-8", "", body)
}

// respond is the last thing that happens on a connection.
func (c *conn) respond(status int, contentType, extraFields, body string) {
	c.timer.Stop()
	if c.answered || c.netConn.Closed() {
		return
	}
	c.answered, c.requestComplete = true, true
	c.netConn.Write(fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, reasonPhrases[status], contentType, len(body), extraFields, body))
	c.netConn.Finish(c.server.loop.Now() + closeTimeout)
}
