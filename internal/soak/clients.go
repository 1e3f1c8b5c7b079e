package soak

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"lilaccove/internal/pgwire"
)

const (
	badClientPause = 30 * time.Millisecond
	badClientTime  = time.Second
	nobodysKey     = 1<<32 | 2 // by which nothing can be cancelled
)

// client is one connection that misbehaves. What it asks for is not judged by answers: databases judge what of it runs.
type client struct {
	net.Conn
	s *soak
}

// client connects to a gateway and greets it.
func (s *soak) client(i int) (*client, error) {
	c, err := net.DialTimeout("tcp", s.lab.Node(i).ClientAddr, badClientTime)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(badClientTime))
	_, err = c.Write(pgwire.Startup("api", "ledger"))
	if err != nil {
		c.Close()
		return nil, err
	}
	return &client{c, s}, nil
}

var badIDs atomic.Uint64

// statement is one that a client of the platform might write, of a class of reads or of writes.
func statement(write bool, d time.Duration) []byte {
	id, class := fmt.Sprintf("%016x", 1<<63|badIDs.Add(1)), "browse"
	if write {
		class = "write"
	}
	head := fmt.Sprintf("id=%s,c=%s,d=%d,cluster=0", id, class, d.Milliseconds())
	return pgwire.AppendQuery(nil, pgwire.ClientStatement(head, id, write))
}

func (c *client) say(b []byte) { _, _ = c.Write(b) }

// leave asks and closes at once, in one of four ways.
func (c *client) leave() {
	c.say(statement(badIDs.Load()%2 == 0, badClientTime))
	if badIDs.Load()%4 < 2 {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // with a reset
		}
	}
}

// cancel asks, and sends a key that cancels nothing on a connection of its own.
func (c *client) cancel() {
	c.say(statement(true, badClientTime))
	other, err := net.DialTimeout("tcp", c.RemoteAddr().String(), badClientTime)
	if err != nil {
		return
	}
	defer other.Close()
	_, _ = other.Write(pgwire.CancelRequest(nobodysKey))
	c.listen()
}

// stopMidway writes half a statement and stays.
func (c *client) stopMidway() {
	text := statement(true, badClientTime)
	c.say(text[:len(text)/2])
	c.listen()
}

// pipeline writes many statements at once, in pieces, and goes before all are answered.
func (c *client) pipeline() {
	var all []byte
	for k := range 20 {
		all = append(all, statement(k%5 == 0, badClientTime)...)
	}
	for len(all) > 0 {
		n := min(97, len(all))
		c.say(all[:n])
		all = all[n:]
	}
	_ = c.SetReadDeadline(time.Now().Add(badClientTime / 10))
	c.listen()
}

// rest is idle on a connection for a while and then asks, whatever has become of it.
func (c *client) rest() {
	_ = c.SetReadDeadline(time.Now().Add(badClientTime / 4))
	c.listen()
	_ = c.SetDeadline(time.Now().Add(badClientTime))
	c.say(statement(false, badClientTime))
	c.listen()
}

// listen reads until the deadline, or the end.
func (c *client) listen() {
	var b [4096]byte
	for {
		if _, err := c.Read(b[:]); err != nil {
			return
		}
	}
}
