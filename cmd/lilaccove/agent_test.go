package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// agentGrace is how long after a change was told new work may still begin at a draining database, in these tests.
const agentGrace = 250 * time.Millisecond

// pushed has the gateway take discovery for an agent on its own machine, which is sent all lists, and itself for one of many.
func pushed(s *site) {
	crowded(s)
	s.settings = strings.Replace(s.settings, `"Discovery":"ask"`, `"Discovery":"push"`, 1)
	s.settings = strings.Replace(s.settings, `"DrainGraceUs":2000000`, `"DrainGraceUs":250000`, 1)
}

// What an agent has counts as told whether or not a watch is open. So it is asked again within the grace of a drain, however
// it failed and however many gateways there are: it is this machine's own.
func TestAgentIsAskedAgainAtOnce(t *testing.T) {
	t.Parallel()
	for name, fails := range map[string]func(c net.Conn, call int){
		"cut off": nil,
		"503":     func(c net.Conn, _ int) { _, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"silent":  func(c net.Conn, _ int) { hold(c) },
		"half":    func(c net.Conn, _ int) { _, _ = io.WriteString(c, head+`{"seq":9,"whole":true,"hosts":[`); hold(c) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var d *lines
			s := newSite(t, func(s *site) {
				pushed(s)
				s.t = t
				d = s.listing(tells(s.world, false))
			})
			s.meet(s.client())
			d.answers(fails)
			d.cut()
			time.Sleep(4 * time.Second) // long enough for any pause between calls to have grown
			s.a.Announce("terminating", time.Time{})
			d.answers(tells(s.world, false))
			back := time.Now()
			at := s.asked(d, back)
			assert.Less(t, at.Sub(back), agentGrace, "new work has to end by then")
			s.leaves(s.a, back.Add(agentGrace))
		})
	}
}

// A new process has been told what its agent has from its first moment on, though the list that it starts with is older.
func TestNewProcessComparesItsListWithTheAgent(t *testing.T) {
	t.Parallel()
	var d *lines
	release := make(chan struct{})
	s := newSite(t, func(s *site) {
		pushed(s)
		s.a.Announce("terminating", time.Time{}) // behind the list that the process is started with
		d = s.listing(func(c net.Conn, call int) {
			<-release
			tells(s.world, false)(c, call)
		})
	})
	c := s.client()
	for range 8 {
		c.write(query(stmt("own", 1000, "")))
	}
	s.asked(d, time.Time{})
	assert.Empty(t, s.a.Statements(), "nothing goes where the agent may have said otherwise")
	close(release)
	for range 8 {
		assert.NotEmpty(t, c.read().value, "what came before is served")
	}
	assert.Empty(t, s.a.Statements())
}

// An agent that says nothing while a process starts is not waited for without end: the list of the start serves.
func TestNewProcessBesideASilentAgent(t *testing.T) {
	t.Parallel()
	s := newSite(t, func(s *site) {
		pushed(s)
		s.listing(func(c net.Conn, _ int) { hold(c) })
	})
	s.eventually("it serves", func() bool {
		return s.client().ask("").empty && s.client().ask(stmt("own", 1000, "")).value != ""
	})
}
