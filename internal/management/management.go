// Package management serves the operators' HTTP/1.1 address, with one request per connection. It runs on the same loop as
// the clients' connections, with reserved descriptors, and carries out requests through the interface Operations.
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
	// MaxConnections is the maximum number of open connections.
	MaxConnections = 12
	requestTimeout = 3 * time.Second // for the complete request to arrive
	closeTimeout   = time.Second     // for the caller to read the answer and close
	maxInputBytes  = http1.MaxRequestHead + http1.MaxRequestBody + 512
)

// reasonPhrases holds the reason phrases of the status codes in use.
var reasonPhrases = map[int]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 411: "Length Required",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 503: "Service Unavailable",
	505: "HTTP Version Not Supported",
}

// Operations carries out operators' requests. All methods are called on the loop's goroutine.
type Operations interface {
	// Ready reports whether the gateway serves requests, and if not, why.
	Ready() (reason string, ok bool)
	// Metrics appends the metrics.
	Metrics(b []byte) []byte
	// Suspend suspends a database, or resumes it, and calls done once the override is in force; persisted tells whether
	// a successor will know it as well. It returns false if the database is unknown.
	Suspend(id string, active bool, done func(persisted bool)) bool
	// FleetMembers returns the known gateways of the fleet as JSON; false if this gateway is in no fleet.
	FleetMembers() ([]byte, bool)
	// FleetState returns the fleet-wide overrides as JSON; false if this gateway is in no fleet.
	FleetState() ([]byte, bool)
	// FleetVersions returns as JSON which gateway acts on which versions; false if this gateway is in no fleet.
	FleetVersions() ([]byte, bool)
	// FleetAudit returns as JSON what this gateway did, by what it acted on; false if it is in no fleet.
	FleetAudit() ([]byte, bool)
	// FleetSuspend is Suspend for the whole fleet; result tells how many gateways have the override.
	FleetSuspend(id string, active bool, done func(result string)) bool
	// FleetDrain drains any gateway of the fleet, or activates it again. It returns false if the gateway is unknown.
	FleetDrain(name string, on bool, done func(result string)) bool
	// Fence fences the gateway, or has it go on with its current list. It returns false if the fleet file sets no
	// fence bound.
	Fence(on bool) bool
	// Drain drains the gateway at once, or activates it again, and calls done as Suspend does.
	Drain(on bool, done func(persisted bool))
}

// Server holds the open connections of the operators' address.
type Server struct {
	loop          *netloop.Loop
	ops           Operations
	conns         []*conn // oldest first
	badRequestLog netloop.RateLimitedLog
}

// Listen starts to accept connections at addr and returns the address in use.
func Listen(loop *netloop.Loop, addr netip.AddrPort, ops Operations) (netip.AddrPort, error) {
	server := &Server{loop: loop, ops: ops}
	ln, err := loop.ListenReserved(addr, MaxConnections, server.accept, server.evict)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("management: %w", err)
	}
	return ln.Addr, nil
}

// conn is an operator's connection.
type conn struct {
	server          *Server
	netConn         *netloop.Conn
	timer           *netloop.Timer
	requestComplete bool
	answered        bool
}

// accept sets up a new connection and the timeout of its request.
func (s *Server) accept(netConn *netloop.Conn) {
	s.removeClosed()
	c := &conn{server: s, netConn: netConn}
	netConn.SetHandler(c, maxInputBytes)
	c.timer = s.loop.At(s.loop.Now()+requestTimeout, func() { c.answerText(408, "no whole call in time\n") })
	s.conns = append(s.conns, c)
}

// removeClosed removes the connections that are closed from the list.
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

// evict closes a connection to free its descriptor: the oldest one that has its answer, or else the oldest one without a
// complete request. Connections that wait for an answer stay open.
func (s *Server) evict() bool {
	s.removeClosed()
	for _, c := range s.conns {
		if c.answered {
			c.close()
			return true
		}
	}
	for _, c := range s.conns {
		if c.netConn.Poll(); !c.requestComplete { // Poll first reads what has arrived
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

// Connected does nothing: it is called for dialled connections only.
func (c *conn) Connected() {}

// Ended handles the loss of the connection. A request that was complete has been carried out.
func (c *conn) Ended(error) { c.timer.Stop() }

// Received carries out a request once it is complete. Input after it is discarded.
func (c *conn) Received() {
	if c.requestComplete {
		c.netConn.Consume(len(c.netConn.Input()))
		return
	}
	req, n, err := http1.ParseRequest(c.netConn.Input())
	if statusErr, ok := err.(*http1.StatusError); ok {
		c.server.badRequestLog.Printf(c.server.loop.Now(), "event=bad_call status=%d err=%q", statusErr.Status, statusErr.Reason)
		c.answerText(statusErr.Status, statusErr.Reason+"\n")
		return
	}
	if n > 0 {
		c.requestComplete = true
		c.route(req)
	}
}

// route dispatches a request by its path.
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

// answerFleet answers with the JSON that read returns about the fleet.
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

// routeOverride handles overrides of one database or gateway: PREFIX/NAME/VERB.
func (c *conn) routeOverride(req http1.Request) {
	for _, route := range []struct {
		prefix, what, onVerb, offVerb string
		apply                         func(name string, active bool, done func(result string)) bool
	}{
		{"/v1/databases/", "database", "suspend", "resume", func(id string, active bool, _ func(result string)) bool {
			return c.server.ops.Suspend(id, active, c.answerOverride) // answerOverride answers instead of the callback
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

// requireMethod reports whether the request has the allowed method, and answers it with 405 if not.
func (c *conn) requireMethod(req http1.Request, allowed string) bool {
	if req.Method != allowed {
		c.respond(405, "text/plain; charset=utf-8", "Allow: "+allowed+"\r\n", "use "+allowed+"\n")
	}
	return req.Method == allowed
}

// answerOverride answers an override that is in force here. The answer is a success only if a successor will know the
// override as well.
func (c *conn) answerOverride(persisted bool) {
	if persisted {
		c.answerText(200, "ok\n")
		return
	}
	c.answerText(503, "it holds in this process, but could not be written for its successor, which is tried again; say it once more\n")
}

// answerText answers with a plain text.
func (c *conn) answerText(status int, body string) {
	c.respond(status, "text/plain; charset=utf-8", "", body)
}

// respond sends the answer and closes the connection. Only the first answer to a request is sent.
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
