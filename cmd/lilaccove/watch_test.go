package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/standin"
)

// binds is how long after discovery had a change, and could be reached, it counts as told.
const binds = 6 * time.Second

// lines is a discovery that answers each call as the test says, byte by byte.
type lines struct {
	t     *testing.T
	ln    net.Listener
	mu    sync.Mutex
	calls []time.Time
	do    func(c net.Conn, call int) // nil: the call is cut off
	open  map[net.Conn]bool
	last  string // the path of the last call
}

// listing makes a discovery of s that nobody else knows.
func (s *site) listing(do func(c net.Conn, call int)) *lines {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	d := &lines{t: s.t, ln: ln, do: do, open: map[net.Conn]bool{}}
	s.t.Cleanup(func() { ln.Close() })
	go d.accept(ln)
	s.disc = &standin.Discovery{Addr: ln.Addr().String()}
	return d
}

func (d *lines) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			q, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil || q.URL.Path != "/api/targets" {
				return
			}
			d.mu.Lock()
			d.calls = append(d.calls, time.Now())
			n, do := len(d.calls), d.do
			d.open[c], d.last = true, q.URL.String()
			d.mu.Unlock()
			if do != nil {
				do(c, n)
			}
		}()
	}
}

// answers changes what is answered from now on.
func (d *lines) answers(do func(c net.Conn, call int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.do = do
}

func (d *lines) lastCall() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// cut ends all calls that are out.
func (d *lines) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.open {
		c.Close()
	}
	clear(d.open)
}

// asked waits for a call after a moment and tells when it came.
func (s *site) asked(d *lines, after time.Time) (at time.Time) {
	s.t.Helper()
	s.eventually("discovery is asked", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, at = range d.calls {
			if at.After(after) {
				return true
			}
		}
		return false
	})
	return at
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" // no length: it ends with the connection

// hold keeps a connection open until its caller has given it up.
func hold(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// tells answers with the world's list, a line that goes on, and heartbeats.
func tells(w *standin.World, indent bool) func(net.Conn, int) {
	return func(c net.Conn, _ int) {
		text := w.List()
		if indent {
			var b bytes.Buffer
			_ = json.Indent(&b, text, "", "  ")
			text = b.Bytes()
		}
		_, _ = fmt.Fprintf(c, "%s%s\n", head, text)
		for {
			time.Sleep(time.Second)
			if _, err := io.WriteString(c, "\n"); err != nil {
				return
			}
		}
	}
}

// large has the gateway take itself for one of many, which spread their calls.
func crowded(s *site) {
	s.settings = strings.Replace(testSettings, `"Instances":1`, `"Instances":300`, 1)
}

// drains has a leave discovery's list for the draining ones, and checks that it gets nothing once that binds.
func (s *site) drains(binding time.Time) {
	s.t.Helper()
	s.leaves(s.a, binding.Add(2*time.Second)) // the grace in the settings
}

// leaves checks that a database gets nothing new from a moment on, however many ask.
func (s *site) leaves(d *database, from time.Time) {
	s.t.Helper()
	time.Sleep(time.Until(from))
	n := len(d.Statements())
	c := s.client()
	for range 20 {
		assert.NotEmpty(s.t, c.ask(stmt("own", 1000, "")).value)
	}
	assert.Len(s.t, d.Statements(), n, "it drains")
}

// A watch that says nothing any more is opened anew before what it does not tell binds, however it came to fall silent,
// and however many gateways there are. Bytes that never end a line tell nothing.
func TestWatchThatFellSilent(t *testing.T) {
	t.Parallel()
	whole := func(s *site) string { return head + string(s.world.List()) + "\n" }
	for name, say := range map[string]func(s *site, c net.Conn){
		"from the first byte": func(*site, net.Conn) {},
		"behind its head":     func(_ *site, c net.Conn) { _, _ = io.WriteString(c, head) },
		"in the first line":   func(s *site, c net.Conn) { _, _ = io.WriteString(c, whole(s)[:len(whole(s))/2]) },
		"behind the list":     func(s *site, c net.Conn) { _, _ = io.WriteString(c, whole(s)) },
		"behind a heartbeat":  func(s *site, c net.Conn) { _, _ = io.WriteString(c, whole(s)+"\n") },
		"in a later line":     func(s *site, c net.Conn) { _, _ = io.WriteString(c, whole(s)+`{"seq":9,"hosts":[{"host`) },
		"while it drips": func(s *site, c net.Conn) {
			_, _ = io.WriteString(c, whole(s)+`{"seq":9,"hosts":[`)
			for {
				if _, err := io.WriteString(c, " "); err != nil {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var begun time.Time
			silent := make(chan struct{})
			var d *lines
			s := newSite(t, func(s *site) {
				crowded(s)
				s.t = t
				d = s.listing(func(c net.Conn, call int) {
					if call > 1 {
						tells(s.world, false)(c, call)
						return
					}
					begun = time.Now()
					close(silent)
					say(s, c)
					hold(c)
				})
			})
			<-silent
			s.meet(s.client())
			s.a.Announce("terminating", time.Time{})
			at := s.asked(d, begun)
			assert.Less(t, at.Sub(begun), binds-500*time.Millisecond, "time is left for the answer")
			s.drains(at.Add(500 * time.Millisecond))
		})
	}
}

// However a call fails, the next comes soon enough for what discovery has by the time that it can be reached again.
func TestDiscoveryIsAskedAgainInTime(t *testing.T) {
	t.Parallel()
	for name, fails := range map[string]func(c net.Conn, call int){
		"cut off":  nil,
		"503":      func(c net.Conn, _ int) { _, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"silent":   func(c net.Conn, _ int) { hold(c) },
		"spoilt":   func(c net.Conn, _ int) { _, _ = io.WriteString(c, head+"{]\n") },
		"half":     func(c net.Conn, _ int) { _, _ = io.WriteString(c, head+`{"seq":9,"whole":true,"hosts":[`) },
		"no hosts": func(c net.Conn, _ int) { _, _ = io.WriteString(c, head+"null\n") },
		"a crowd": func(c net.Conn, _ int) {
			time.Sleep(time.Second)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var d *lines
			s := newSite(t, func(s *site) {
				crowded(s)
				s.t = t
				d = s.listing(fails)
			})
			s.meet(s.client()) // the known list serves meanwhile
			s.asked(d, time.Time{})
			time.Sleep(3 * time.Second) // the fault lasts
			s.a.Announce("terminating", time.Time{})
			d.answers(tells(s.world, false))
			back := time.Now()
			at := s.asked(d, back)
			assert.Less(t, at.Sub(back), binds-500*time.Millisecond)
			s.drains(at.Add(500 * time.Millisecond))
		})
	}
}

// SIGHUP moves the watch at once, whatever goes on at the old address; a call that fails at the new one is repeated.
func TestReloadWhileACallIsOut(t *testing.T) {
	t.Parallel()
	s := newSite(t, func(s *site) {
		crowded(s)
		s.listing(func(c net.Conn, _ int) { hold(c) })
	})
	next := s.listing(nil)
	s.configure(s.disc.Addr, []byte("{}"))
	begun := time.Now()
	s.hup()
	at := s.asked(next, begun)
	s.a.Announce("terminating", time.Time{})
	next.answers(tells(s.world, false))
	at = s.asked(next, at)
	assert.Less(t, at.Sub(begun), 4*time.Second, "a change binds 4 s after SIGHUP")
	s.drains(at.Add(500 * time.Millisecond))
}

// A list may be indented over many lines.
func TestIndentedList(t *testing.T) {
	t.Parallel()
	var d *lines
	s := newSite(t, func(s *site) {
		s.a.Announce("terminating", time.Time{})
		d = s.listing(nil)
		d.answers(tells(s.world, true))
	})
	at := s.asked(d, time.Time{})
	s.drains(at)
	assert.NotContains(t, s.logged(), "discovery_failed")
}

// A change of an older version than the list in force tells nothing new: it must not bring a database back. What a discovery
// that went back has is asked for anew, as a whole.
func TestOlderChangesBringNothingBack(t *testing.T) {
	t.Parallel()
	var d *lines
	older := make(chan struct{})
	s := newSite(t, func(s *site) {
		s.a.Announce("terminating", time.Time{})
		list := strings.Replace(string(s.world.List()), `"seq":2`, `"seq":50`, 1)
		d = s.listing(func(c net.Conn, call int) {
			if call == 1 {
				_, _ = fmt.Fprintf(c, "%s%s\n", head, list)
				<-older
				s.a.Announce("in_service", time.Time{})
				back := strings.Replace(string(s.world.List()), `"whole":true`, `"whole":false`, 1)
				s.a.Announce("terminating", time.Time{})
				_, _ = fmt.Fprintf(c, "%s\n", back)
				hold(c)
			}
			tells(s.world, false)(c, call)
		})
	})
	at := s.asked(d, time.Time{})
	s.drains(at)
	n, c := len(s.a.Statements()), s.client()
	close(older)
	for begun := time.Now(); time.Since(begun) < time.Second; {
		c.ask(stmt("own", 1000, ""))
	}
	assert.Equal(t, n, len(s.a.Statements()), "it drains by the newest that was told")
	s.asked(d, at.Add(time.Millisecond))
	assert.Contains(t, d.lastCall(), "after=0", "the whole list is asked for")
}
