package soak

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"lilaccove/internal/pgwire"
)

const (
	badClientPause   = 30 * time.Millisecond
	badClientTimeout = time.Second
	unknownCancelKey = 1<<32 | 2 // matches no request
)

// badClient is a connection that misbehaves. Its answers are not checked: the databases check the statements that run.
type badClient struct {
	net.Conn
	s *soak
}

// connectBadClient connects to a gateway and sends the startup message.
func (s *soak) connectBadClient(i int) (*badClient, error) {
	c, err := net.DialTimeout("tcp", s.lab.Node(i).ClientAddr, badClientTimeout)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(badClientTimeout))
	_, err = c.Write(pgwire.Startup("api", "ledger"))
	if err != nil {
		c.Close()
		return nil, err
	}
	return &badClient{c, s}, nil
}

var badClientIDs atomic.Uint64

// statement returns a message with a statement as clients of the platform write it, of a read or a write class.
func statement(write bool, deadline time.Duration) []byte {
	message, _ := newStatement(write, deadline)
	return message
}

// newStatement is statement that also returns the request's id.
func newStatement(write bool, deadline time.Duration) (message []byte, id string) {
	id, class := fmt.Sprintf("%016x", 1<<63|badClientIDs.Add(1)), "browse"
	if write {
		class = "write"
	}
	head := fmt.Sprintf("id=%s,c=%s,d=%d,cluster=0", id, class, deadline.Milliseconds())
	return pgwire.AppendQuery(nil, pgwire.ClientStatement(head, id, write)), id
}

func (c *badClient) send(b []byte) { _, _ = c.Write(b) }

// disconnect sends a read or a write and closes at once, with or without a reset.
func (c *badClient) disconnect() {
	c.send(statement(badClientIDs.Load()%2 == 0, badClientTimeout))
	if badClientIDs.Load()%4 < 2 {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close sends a reset
		}
	}
}

// cancel sends a statement, and a cancel request with an unknown key on another connection.
func (c *badClient) cancel() {
	c.send(statement(true, badClientTimeout))
	cancelConn, err := net.DialTimeout("tcp", c.RemoteAddr().String(), badClientTimeout)
	if err != nil {
		return
	}
	defer cancelConn.Close()
	_, _ = cancelConn.Write(pgwire.CancelRequest(unknownCancelKey))
	c.readUntilEnd()
}

// stopMidway sends half a statement and stays connected.
func (c *badClient) stopMidway() {
	text := statement(true, badClientTimeout)
	c.send(text[:len(text)/2])
	c.readUntilEnd()
}

// pipeline sends many statements at once, in small pieces, and closes before all are answered.
func (c *badClient) pipeline() {
	var pending []byte
	for k := range 20 {
		pending = append(pending, statement(k%5 == 0, badClientTimeout)...)
	}
	for len(pending) > 0 {
		size := min(97, len(pending))
		c.send(pending[:size])
		pending = pending[size:]
	}
	_ = c.SetReadDeadline(time.Now().Add(badClientTimeout / 10))
	c.readUntilEnd()
}

// idleThenQuery leaves the connection idle for a while and then sends a statement, even if it was closed.
func (c *badClient) idleThenQuery() {
	_ = c.SetReadDeadline(time.Now().Add(badClientTimeout / 4))
	c.readUntilEnd()
	_ = c.SetDeadline(time.Now().Add(badClientTimeout))
	c.send(statement(false, badClientTimeout))
	c.readUntilEnd()
}

// readUntilEnd reads until the deadline or the end of the connection.
func (c *badClient) readUntilEnd() {
	var buffer [4096]byte
	for {
		if _, err := c.Read(buffer[:]); err != nil {
			return
		}
	}
}
