package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

var faulty struct {
	sync.Once
	path string
	err  error
}

// faultyProgram builds the program with the tag that has its system calls fail by a plan, once for all tests.
func faultyProgram(t *testing.T) string {
	t.Helper()
	faulty.Do(func() {
		var dir string
		if dir, faulty.err = os.MkdirTemp("", "lilaccove-faults-"); faulty.err != nil {
			return
		}
		faulty.path = filepath.Join(dir, "lilaccove")
		var said []byte
		if said, faulty.err = exec.Command("go", "build", "-tags", "faults", "-o", faulty.path, ".").CombinedOutput(); faulty.err != nil {
			faulty.path = string(said)
		}
	})
	require.NoError(t, faulty.err, faulty.path)
	return faulty.path
}

// failing has the system calls of a site's process go wrong.
func failing(faults string) func(*site) {
	return planned(`{"seed":7,"faults":[` + faults + `]}`)
}

// planned has a site's process read a plan.
func planned(text string) func(*site) {
	return func(s *site) {
		s.faults = filepath.Join(s.tmp, "plan.json")
		require.NoError(s.t, os.WriteFile(s.faults, []byte(text), 0o600))
	}
}

// The kernel may have no memory for one more watch just now (ENOMEM, ENOSPC): nothing that was accepted or dialled is
// dropped, and nothing stays deaf.
func TestDescriptorsThatCannotBeWatchedAtOnce(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]string{
		"from the start":  `{"call":"epoll_add","error":"ENOSPC","most":6}`,
		"again and again": `{"call":"epoll_add","error":"ENOMEM","share":0.4},{"call":"epoll_mod","error":"ENOMEM","share":0.4}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, func(s *site) {
				s.t = t
				failing(faults)(s)
			})
			large := strings.Repeat("x", 60_000)
			s.p.will(func(d *database, c net.Conn, _ string) { d.Answer(c, large) })
			for range 20 {
				c := s.client()
				for range 5 {
					c.write(query(stmt("write", 3000, "")))
				}
				for range 5 {
					assert.Len(t, c.read().value, len(large))
				}
			}
			s.term()
			s.exits()
		})
	}
}

// Connections that the machine has accepted by the end are taken though accept fails for a while: requests may have been
// written to them.
func TestAcceptFailsWhileTheProcessEnds(t *testing.T) {
	t.Parallel()
	for _, number := range []string{"ENFILE", "ENOBUFS", "EPROTO"} {
		t.Run(number, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, func(s *site) {
				s.t = t
				failing(`{"call":"accept","error":"` + number + `","most":60}`)(s)
			})
			c := s.raw()
			c.write(string(pgwire.Startup("api", "ledger")) + query(stmt("own", 2500, "")))
			s.term()
			c.read()
			assert.NotEmpty(t, c.read().value)
			s.exits()
		})
	}
}

// A process that shares its clients' socket begins to accept as soon as the kernel lets it.
func TestOpenFailsForAMoment(t *testing.T) {
	t.Parallel()
	s := held(t, failing(`{"call":"epoll_add","error":"ENOSPC","most":4}`))
	assert.True(t, s.client().ask("").empty)
	begun := time.Now()
	s.eventually("it is ready", s.ready)
	assert.Less(t, time.Since(begun), patience)
}

// The system may have no socket for a process in the moment of its start.
func TestNoSocketAtTheStart(t *testing.T) {
	t.Parallel()
	s := newSite(t, failing(`{"call":"socket","error":"ENFILE","most":3}`))
	assert.NotEmpty(t, s.client().ask(stmt("own", 1000, "")).value)
}

// Reads and writes may move less than was asked for, waits may be interrupted, connections break in all ways that the system
// knows: each request has one whole answer or an error.
func TestShortReadsAndWrites(t *testing.T) {
	t.Parallel()
	s := newSite(t, failing(`{"call":"read","short":7,"share":0.9},{"call":"write","short":5,"share":0.9},`+
		`{"call":"epoll_wait","error":"EINTR","share":0.2},{"call":"accept","error":"ECONNABORTED","share":0.5},`+
		`{"call":"connect","error":"EADDRNOTAVAIL","share":0.1}`))
	for range 10 {
		c := s.client()
		for range 3 {
			c.write(query(stmt("own", 3000, "")))
		}
		for range 3 {
			got := c.read()
			assert.Equal(t, 1, got.rows+got.errs, "%+v", got)
			assert.False(t, got.ended)
		}
	}
	s.term()
	s.exits()
}

// A connection may break with errors that tell of the way rather than of the peer.
func TestConnectionsThatBreakOnTheWay(t *testing.T) {
	t.Parallel()
	s := newSite(t, failing(`{"call":"read","error":"EHOSTUNREACH","share":0.05},{"call":"read","error":"ETIMEDOUT","share":0.05}`))
	answered := 0
	for range 60 {
		c := s.raw()
		c.write(string(pgwire.Startup("api", "ledger")) + query(stmt("write", 1000, "")))
		c.read()
		if got := c.read(); !got.ended {
			answered++
			assert.Equal(t, 1, got.rows+got.errs, "%+v", got)
		}
	}
	assert.Greater(t, answered, 30)
	counts := map[string]int{}
	for _, text := range s.p.Statements() {
		counts[text[:24]]++
	}
	for id, n := range counts {
		assert.Equal(t, 1, n, "a write may have run: %s", id)
	}
	s.term()
	s.exits()
}

// A process may stand still in the middle of a round, between its look at the clock and the write. What would begin behind its
// request's time is not begun then.
func TestNothingBeginsBehindAHoldUp(t *testing.T) {
	t.Parallel()
	const held = 700 * time.Millisecond
	s := newSite(t, failing(`{"call":"read","delay_ms":700,"from_ms":500}`))
	c := s.client()
	s.eventually("reads take long", func() bool { // and there are connections at rest
		begun := time.Now()
		c.ask(stmt("own", 1500, ""))
		return time.Since(begun) >= held
	})
	before := len(s.a.Statements()) + len(s.b.Statements()) + len(s.p.Statements())
	c.write(query(stmt("own", 500, "")))
	got := c.read()
	assert.Equal(t, 1, got.errs, "%+v", got)
	assert.Equal(t, before, len(s.a.Statements())+len(s.b.Statements())+len(s.p.Statements()))
}

// stepped has the wall clock of a site's process differ from that of the others.
func stepped(by time.Duration) func(*site) {
	return planned(fmt.Sprintf(`{"wall_step_ms":%d}`, by.Milliseconds()))
}

// overClockSteps starts a site behind each of some steps, none among them, and does something with it.
func overClockSteps(t *testing.T, do func(t *testing.T, s *site)) {
	for _, step := range []time.Duration{0, -time.Hour, -3 * time.Second, -800 * time.Millisecond, 3 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			do(t, newSite(t, func(s *site) {
				s.t = t
				stepped(step)(s)
			}))
		})
	}
}

// A process that was started after its machine's wall clock was stepped lives with that clock. Replicas go on serving reads
// of bounded age that are fresh by what databases tell, whichever way the clock is off.
func TestReplicasServeOverAClockStep(t *testing.T) {
	t.Parallel()
	overClockSteps(t, func(_ *testing.T, s *site) {
		c := s.client()
		s.eventually("replicas serve", func() bool {
			c.ask(stmt("own", 1000, "")) // any member answers, and tells how far it has come
			before := len(s.a.Statements()) + len(s.b.Statements())
			c.ask(stmt("browse", 1000, ""))
			return len(s.a.Statements())+len(s.b.Statements()) > before
		})
	})
}

// Nor do such processes read data that is older than a class allows: its bound is three seconds here.
func TestNoOldDataOverAClockStep(t *testing.T) {
	t.Parallel()
	overClockSteps(t, func(t *testing.T, s *site) {
		s.a.SetLag(5 * time.Second)
		s.b.SetLag(5 * time.Second)
		c := s.client()
		for range 60 {
			c.ask(stmt("own", 1000, "")) // any member answers, and tells how far it has come
			before := len(s.a.Statements()) + len(s.b.Statements())
			c.ask(stmt("browse", 1000, ""))
			assert.Equal(t, before, len(s.a.Statements())+len(s.b.Statements()), "both replicas are five seconds behind")
		}
	})
}

// A session reads what it has written, whichever way the clock is off: its commit is a time of the databases.
func TestSessionsReadTheirWritesOverAClockStep(t *testing.T) {
	t.Parallel()
	overClockSteps(t, func(t *testing.T, s *site) {
		c := s.client()
		s.meet(c)
		s.a.SetLag(5 * time.Second)
		s.b.SetLag(5 * time.Second)
		before := len(s.a.Statements()) + len(s.b.Statements())
		for range 30 {
			commit := time.Now().UnixMilli() + 1 // behind all that was told of the replicas
			c.ask(stmt("own", 1000, fmt.Sprintf(",after=%d", commit)))
		}
		assert.Equal(t, before, len(s.a.Statements())+len(s.b.Statements()), "no replica has come so far")
	})
}

// The system may have no socket, or no port, for a while. That is this machine's want and says nothing of the databases: no
// breaker opens, and requests go on as soon as there are sockets again.
func TestWantOfSocketsIsNoDatabasesFault(t *testing.T) {
	t.Parallel()
	const from, length = 1500, 1200 // ms
	for _, fault := range []string{
		`"call":"socket","error":"ENFILE"`, `"call":"socket","error":"EMFILE"`, `"call":"socket","error":"ENOBUFS"`,
		`"call":"socket","error":"ENOMEM"`, `"call":"connect","error":"EADDRNOTAVAIL"`,
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			s := newSite(t, func(s *site) {
				s.t = t
				failing(fmt.Sprintf(`{%s,"from_ms":%d,"for_ms":%d}`, fault, from, length))(s)
			})
			for _, d := range []*database{s.p, s.a, s.b} {
				d.will(func(d *database, c net.Conn, _ string) { // each request needs a connection of its own
					d.Answer(c, d.ID)
					c.Close()
				})
			}
			c := s.client()
			s.eventually("writes are served", func() bool { return c.ask(stmt("write", 1000, "")).value != "" })
			time.Sleep(time.Until(begun.Add((from + length/3) * time.Millisecond))) // into the fault itself
			for range 20 {
				c.write(query(stmt("write", 400, "")))
			}
			for range 20 {
				c.read()
			}
			late := time.Until(begun.Add((from + length) * time.Millisecond))
			time.Sleep(late)
			s.eventually("writes are served again", func() bool { return c.ask(stmt("write", 1000, "")).value != "" })
			assert.NotContains(t, s.logged(), "breaker opens")
		})
	}
}

// The way to one database breaks, and that to all others holds: reads go elsewhere, and each request has its answer.
func TestWayToOneDatabaseBreaks(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{
		`"call":"read","error":"ETIMEDOUT"`, `"call":"write","error":"EHOSTUNREACH"`, `"call":"connect","error":"ENETUNREACH"`,
		`"call":"connect","error":"ECONNREFUSED"`, `"call":"read","short":1`, `"call":"write","short":1`,
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, func(s *site) {
				s.t = t
				failing(fmt.Sprintf(`{%s,"peer":%q}`, fault, s.a.Addr()))(s)
			})
			c := s.client()
			for k := range 40 {
				class := []string{"own", "browse", "write"}[k%3]
				got := c.ask(stmt(class, 1000, ""))
				assert.NotEmpty(t, got.value, "request %d, %s: %+v", k, class, got)
			}
			assert.NotContains(t, s.logged(), "breaker opens", "the primary is well")
		})
	}
}

// The system may have no descriptor for the file at GW_CONFIG in the moment of a start, or of SIGHUP. The start waits for it,
// and the reload is made when it can be: operators give it once.
func TestConfigurationCannotBeOpenedAtOnce(t *testing.T) {
	t.Parallel()
	t.Run("start", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, func(s *site) {
			s.t = t
			failing(`{"call":"open","error":"ENFILE","most":3}`)(s)
		})
		assert.NotEmpty(t, s.client().ask(stmt("own", 1000, "")).value)
	})
	t.Run("reload", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, func(s *site) {
			s.t = t
			failing(`{"call":"open","error":"EMFILE","from_ms":800,"most":5}`)(s)
		})
		begun := time.Now()
		s.watches(s.disc, 1)
		old := s.disc
		next, err := s.world.AddDiscovery()
		require.NoError(t, err)
		s.disc = next
		s.configure(next.Addr, []byte("{}"))
		time.Sleep(time.Until(begun.Add(time.Second))) // into the fault itself
		s.hup()
		s.watches(next, 1)
		s.watches(old, 0)
	})
}

// Nor may it have one for the fleet file in the moment of the start, or for the operators' words on the disk: the start waits.
func TestFleetFilesCannotBeOpenedAtOnce(t *testing.T) {
	for _, file := range []string{"fleet.yaml", "words.lock", "words"} {
		t.Run(file, func(t *testing.T) {
			p := newPartyOf(t, 4, storePlan)
			host := p.World().Members()[0]
			assert.Equal(t, "ok: held by 3 of 3 others, on disk", p.word(1, host.ID, "suspend"))
			p.Node(2).Kill()
			path := filepath.Join(t.TempDir(), "plan.json")
			fault := fmt.Sprintf(`{"faults":[{"call":"open","error":"EMFILE","file":%q,"most":3}]}`, file)
			require.NoError(t, os.WriteFile(path, []byte(fault), 0o600))
			_, err := p.StartCommand(2, []string{faultyProgram(t)}, "LILACCOVE_FAULTS="+path)
			require.NoError(t, err)
			p.left(1, 2)
			p.equal()
			p.judge(0.5)
		})
	}
}
