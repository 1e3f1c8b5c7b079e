package soak

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"lilaccove/internal/lab"
	"lilaccove/internal/pgwire"
)

// Clients that use their connections to a gateway until it or the platform ends them.
const (
	sequentialClients  = 3                     // one request after the other
	pipeliningClients  = 2                     // a second request before the first is answered
	restingClients     = 2                     // idle until the gateway ends the connection
	steadyPause        = 5 * time.Millisecond  // between two requests of a client
	connectPause       = 20 * time.Millisecond // between two new connections
	steadyDeadline     = time.Second           // of a request
	pipelineReadingLag = 50 * time.Millisecond // an answer so long after a request shows that the gateway was reading meanwhile
)

// steadyClients are the clients of one process while it shuts down.
type steadyClients struct {
	s       *soak
	node    *lab.Node
	running sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
	ended bool // the process has ended; connections that are left belong to its successor
}

// connectSteadyClients connects clients to a process and starts them.
func (s *soak) connectSteadyClients(node *lab.Node) *steadyClients {
	clients := &steadyClients{s: s, node: node}
	for k := range sequentialClients + pipeliningClients + restingClients {
		c, err := clients.dial()
		if err != nil {
			return clients // the process is gone already, or it is short of descriptors
		}
		switch {
		case k < sequentialClients:
			clients.start(c, (*steadyClient).sendInSequence)
		case k < sequentialClients+pipeliningClients:
			clients.start(c, (*steadyClient).sendPipelined)
		default:
			clients.start(c, (*steadyClient).rest)
		}
	}
	return clients
}

// keepConnecting opens new connections until a time, each of which sends requests until it ends.
func (clients *steadyClients) keepConnecting(until time.Time) {
	clients.running.Add(1)
	go func() {
		defer clients.running.Done()
		for time.Now().Before(until) {
			if c, err := clients.dial(); err == nil {
				clients.start(c, (*steadyClient).sendInSequence)
			}
			time.Sleep(connectPause)
		}
	}()
}

// wait waits, after the process has ended, until all connections have ended. Those to its successor end after their last answers.
func (clients *steadyClients) wait() {
	clients.mu.Lock()
	clients.ended = true
	for _, conn := range clients.conns {
		_ = conn.SetReadDeadline(time.Now().Add(steadyDeadline + clientSlack))
	}
	clients.mu.Unlock()
	clients.running.Wait()
}

// hasEnded reports whether the process has ended.
func (clients *steadyClients) hasEnded() bool {
	clients.mu.Lock()
	defer clients.mu.Unlock()
	return clients.ended
}

func (clients *steadyClients) start(c *steadyClient, use func(c *steadyClient)) {
	clients.mu.Lock()
	clients.conns = append(clients.conns, c.conn)
	clients.mu.Unlock()
	clients.running.Add(1)
	go func() {
		defer clients.running.Done()
		defer c.conn.Close()
		use(c)
		c.judgeEnd()
	}()
}

// steadyRequest is a request without an answer.
type steadyRequest struct {
	id   string
	sent time.Time
}

// steadyClient is one connection.
type steadyClient struct {
	clients    *steadyClients
	conn       net.Conn
	reader     *bufio.Reader
	pending    []steadyRequest // oldest first
	answers    int
	lastAnswer time.Time
}

// dial connects and completes the startup.
func (clients *steadyClients) dial() (*steadyClient, error) {
	conn, err := net.DialTimeout("tcp", clients.node.ClientAddr, badClientTimeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(2 * clients.s.killDelay())) // it ends with the process
	c := &steadyClient{clients: clients, conn: conn, reader: bufio.NewReader(conn)}
	if _, err = conn.Write(pgwire.Startup("api", "ledger")); err == nil {
		err = c.readUntilReady()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// send sends a read. It returns false if the connection has ended.
func (c *steadyClient) send() bool {
	text, id := newStatement(false, steadyDeadline)
	c.pending = append(c.pending, steadyRequest{id, time.Now()})
	_, err := c.conn.Write(text)
	return err == nil
}

// receive reads the answer to the oldest request. It returns false if the connection has ended.
func (c *steadyClient) receive() bool {
	if c.readUntilReady() != nil {
		return false
	}
	c.pending = c.pending[1:]
	c.answers++
	c.lastAnswer = time.Now()
	return true
}

func (c *steadyClient) sendInSequence() {
	for !c.clients.hasEnded() && c.send() && c.receive() {
		time.Sleep(steadyPause)
	}
}

func (c *steadyClient) sendPipelined() {
	for !c.clients.hasEnded() && c.send() {
		time.Sleep(steadyPause)
		if len(c.pending) > 1 && !c.receive() {
			return
		}
	}
	for len(c.pending) > 0 && c.receive() {
	}
}

// rest sends one request and then reads until the gateway ends the connection.
func (c *steadyClient) rest() {
	if c.send() && c.receive() {
		_ = c.readUntilReady()
	}
}

// judgeEnd reports requests that the gateway has read and not answered. A close may cross a request on a connection that is at
// rest. It does not cross one that was there long before the gateway's last answer.
func (c *steadyClient) judgeEnd() {
	ended, s := time.Now(), c.clients.s
	for _, request := range c.pending {
		mayCross := c.answers > 0 || s.judge.mayCrossClose(c.clients.node.Name, request.sent)
		crossed := mayCross && ended.Sub(request.sent) < closeCrossingTime && c.lastAnswer.Sub(request.sent) < pipelineReadingLag
		if !crossed && !s.judge.excuses(c.clients.node.Name, request.sent, ended) {
			s.judge.recordViolation("lost", 1, "request %s of a steady client at %s, sent %v before its connection ended, %d answers before it",
				request.id, c.clients.node.Name, ended.Sub(request.sent).Round(time.Millisecond), c.answers)
		}
	}
}

// readUntilReady reads messages up to ReadyForQuery.
func (c *steadyClient) readUntilReady() error {
	for {
		var header [5]byte
		if _, err := io.ReadFull(c.reader, header[:]); err != nil {
			return err
		}
		length := int64(binary.BigEndian.Uint32(header[1:])) - 4
		if length < 0 {
			return fmt.Errorf("message %q has length %d", header[0], length)
		}
		if _, err := io.CopyN(io.Discard, c.reader, length); err != nil {
			return err
		}
		if header[0] == pgwire.Ready {
			return nil
		}
	}
}
