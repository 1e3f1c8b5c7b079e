package main

import (
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
	return func(s *site) {
		s.faults = filepath.Join(s.tmp, "plan.json")
		require.NoError(s.t, os.WriteFile(s.faults, []byte(`{"seed":7,"faults":[`+faults+`]}`), 0o600))
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
