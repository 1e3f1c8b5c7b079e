package soak

import (
	"net"
	"time"

	"lilaccove/internal/pgwire"
	"lilaccove/internal/standin"
)

const (
	crowdSize     = 1100                   // connections: more than the descriptors of a gateway
	extraCrowd    = 8 * time.Second        // a crowd outlasts the time within which a change of the list binds
	redialPause   = 250 * time.Millisecond // until the crowd replaces the connections that were closed
	crowdDialTime = 100 * time.Millisecond // for one connection: a full gateway does not answer
)

// crowd fills the descriptors of gateways with idle clients, which connect again when they are closed.
func (s *soak) crowd(fault Fault) error {
	end := time.Now().Add(fault.Duration + extraCrowd)
	done := make(chan struct{})
	for _, i := range fault.Gateways {
		go func() {
			defer func() { done <- struct{}{} }()
			s.fill(i, end)
		}()
	}
	for range fault.Gateways {
		<-done
	}
	return nil
}

// fill keeps crowdSize idle connections to a gateway until a time.
func (s *soak) fill(i int, end time.Time) {
	var idle []net.Conn
	defer func() {
		for _, conn := range idle {
			conn.Close()
		}
	}()
	for time.Now().Before(end) {
		open := idle[:0]
		for _, conn := range idle {
			if isOpen(conn) {
				open = append(open, conn)
			} else {
				conn.Close()
			}
		}
		for idle = open; len(idle) < crowdSize && time.Now().Before(end); {
			conn, err := net.DialTimeout("tcp", s.lab.Node(i).ClientAddr, crowdDialTime)
			if err != nil {
				break // it restarts, or its accept queue is full
			}
			_, _ = conn.Write(pgwire.Startup("api", "ledger"))
			idle = append(idle, conn)
		}
		if !standin.Sleep(redialPause, s.stop) {
			return
		}
	}
}

// isOpen reports whether the peer has not closed a connection, and drops what it has sent.
func isOpen(conn net.Conn) bool {
	var buffer [512]byte
	_ = conn.SetReadDeadline(time.Now().Add(time.Microsecond))
	_, err := conn.Read(buffer[:])
	netErr, ok := err.(net.Error)
	return err == nil || ok && netErr.Timeout()
}
