package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/hollow"
	"lilaccove/internal/lab"
	"lilaccove/internal/pgwire"
	"lilaccove/internal/standin"
)

// The tests start the program as its users do: this binary runs main when told so.
func TestMain(m *testing.M) {
	if os.Getenv("LILACCOVE_RUN") == "1" {
		main()
		return
	}
	if os.Getenv("LILACCOVE_RUN") == "hollow" {
		if err := hollow.Run(os.Stdin, os.Stdout, nil); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	keepOwnDescriptors()
	os.Exit(m.Run())
}

// keepOwnDescriptors has gateways inherit none of the descriptors that the shell left open here: each counts against
// the limit that a test gives, and how many there are differs from shell to shell.
func keepOwnDescriptors() {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return
	}
	for _, entry := range list {
		if fd, err := strconv.Atoi(entry.Name()); err == nil && fd > 2 {
			syscall.CloseOnExec(fd)
		}
	}
}

const patience = 10 * time.Second // for what must happen; never a pause

const testSettings = `{"Allowed":{"Cancel":true,"ConnIdleUs":15000000,"DialTimeoutUs":250000,"MaxRetryAfterUs":1000000,
"Probes":true,"RetryAfter":true,"TryLimit":6},"Discovery":"ask","Domain":{"Behind":"none","ClassBoundUs":[3000000,0,0],
"ReadLevel":["recent","own_writes","update"],"ShowsRole":"delayed","SessionMarks":"client"},"Instances":1,"Lanes":[
{"Name":"browse","GoalTimeUs":500000,"DeadlineUs":1200000,"Repeat":"retryable","Worth":1},
{"Name":"own","GoalTimeUs":500000,"DeadlineUs":1500000,"Repeat":"retryable","Worth":2,"LateWorth":0.2},
{"Name":"write","GoalTimeUs":600000,"DeadlineUs":3000000,"Repeat":"fragile","Worth":4,"LateWorth":0.5}],
"Localities":["a","b"],"ResolutionUs":5000,"Rules":{"AnswerSlackUs":20000,"ColdUs":18000000,"DrainGraceUs":2000000,
"FallMultiple":2,"FallUs":1000000,"MustAskInUs":10000000,"StartCapacity":0.27},"Zone":0}`

// database is one of the world's that answers as its handler says and remembers what it was sent.
type database struct{ *standin.Host }

// will has it answer so; nil: with its name.
func (d *database) will(handle func(d *database, c net.Conn, text string)) {
	if handle == nil {
		handle = func(d *database, c net.Conn, _ string) { d.Answer(c, d.ID) }
	}
	d.SetScript(func(c net.Conn, text string) { handle(d, c, text) })
}

// waits has it answer "late" to all that has come and comes, once the channel is closed.
func (d *database) waits() (release chan struct{}) {
	release = make(chan struct{})
	d.will(func(d *database, c net.Conn, _ string) {
		<-release
		d.Answer(c, "late")
	})
	return release
}

func readMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	var h [5]byte
	if _, err = io.ReadFull(in, h[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(h[1:])-4)
	_, err = io.ReadFull(in, body)
	return h[0], body, err
}

// site is one gateway with a primary and two replicas.
type site struct {
	*lab.Process
	t        *testing.T
	world    *standin.World
	disc     *standin.Discovery // the one that it is to ask at
	p, a, b  *database
	addr     string
	log      *bytes.Buffer
	logMu    sync.Mutex
	settings string
	sockets  int
	memory   int    // MB
	config   string // the path of its file

	listen    string   // in its file
	tmp       string   // its $TMPDIR
	managed   bool     // it has an operators' address
	manage    string   // which
	inherited *os.File // the clients' socket, held open by the test
	fleet     string   // the path of its fleet file; empty: none
	faults    string   // the path of the plan by which its system calls fail; empty: they do not
}

// newSite starts the program; change may alter what it is told before.
func newSite(t *testing.T, change func(*site)) *site {
	w, err := standin.New(standin.Options{Groups: 1, FirstGroup: 2, Members: 3, Names: []string{"p", "a", "b"}, Cores: 1, Seed: 1})
	require.NoError(t, err)
	t.Cleanup(w.Close)
	s := &site{
		t: t, world: w, disc: w.Discovery(), log: &bytes.Buffer{}, settings: testSettings, sockets: 256, memory: 192,
		listen: "127.0.0.1:0", tmp: t.TempDir(),
	}
	for i, d := range []**database{&s.p, &s.a, &s.b} {
		*d = &database{w.Members()[i]}
		(*d).will(nil)
	}
	known := w.List()
	if change != nil {
		change(s)
	}
	s.config = filepath.Join(t.TempDir(), "config.json")
	s.configure(s.disc.Addr, known)
	s.start()
	return s
}

// start runs the program and waits until it says that it has started.
func (s *site) start() {
	t := s.t
	cmd := exec.Command(os.Args[0])
	if s.faults != "" {
		cmd = exec.Command(faultyProgram(t))
	}
	cmd.Env = append(os.Environ(), "LILACCOVE_RUN=1", "GW_CONFIG="+s.config, "GW_DISCOVERY="+s.disc.Addr, "TMPDIR="+s.tmp,
		"LILACCOVE_FAULTS="+s.faults)
	if s.managed {
		cmd.Env = append(cmd.Env, "GW_MANAGEMENT=127.0.0.1:0")
	}
	if s.fleet != "" {
		cmd.Env = append(cmd.Env, "GW_FLEET="+s.fleet)
	}
	if s.inherited != nil {
		cmd.ExtraFiles = []*os.File{nil, s.inherited} // descriptor 4
		cmd.Env = append(cmd.Env, "GW_INHERITED_FD=4")
	}
	s.Process = lab.NewProcess(cmd)
	require.NoError(t, s.Launch(func(line string) {
		s.logMu.Lock()
		defer s.logMu.Unlock()
		fmt.Fprintln(s.log, line)
	}, func() {}))
	t.Cleanup(func() {
		s.Kill()
		assert.NotContains(t, s.logged(), "event=violation", "an invariant was violated")
		if t.Failed() {
			t.Log(s.logged())
		}
	})
	said, err := s.WaitStarted(patience)
	require.NoError(t, err, s.logged())
	s.addr, s.manage = lab.LogField(said, "listen"), lab.LogField(said, "management")
}

// configure writes the file at GW_CONFIG.
func (s *site) configure(discovery string, known []byte) {
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": s.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": s.memory, "sockets": s.sockets},
		"known":  json.RawMessage(known), "settings": json.RawMessage(s.settings),
	})
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(s.config, text, 0o600))
}

func (s *site) logged() string {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	return s.log.String()
}

func (s *site) hup() { require.NoError(s.t, s.Signal(syscall.SIGHUP)) }

func (s *site) term() { require.NoError(s.t, s.Signal(syscall.SIGTERM)) }

func (s *site) exits() {
	s.t.Helper()
	assert.NoError(s.t, s.Wait(patience))
}

// eventually waits for a condition, which the test must not outlive.
func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	require.Eventually(s.t, ok, patience, 2*time.Millisecond, what)
}

// watches waits until a discovery has so many watches on.
func (s *site) watches(d *standin.Discovery, n int) {
	s.t.Helper()
	s.eventually("the watches", func() bool { return d.Calls().Watches == n })
}

// client is one connection of a client.
type client struct {
	t  *testing.T
	c  net.Conn
	in *bufio.Reader
}

// answer is what came before ReadyForQuery, or before the end.
type answer struct {
	value, code, detail string
	rows, errs          int
	empty               bool
	ended               bool
}

func (s *site) raw() *client {
	c, err := net.Dial("tcp", s.addr)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	require.NoError(s.t, c.SetDeadline(time.Now().Add(patience)))
	return &client{t: s.t, c: c, in: bufio.NewReader(c)}
}

func (s *site) client() *client {
	c := s.raw()
	c.write(string(pgwire.Startup("api", "ledger")))
	c.read()
	return c
}

func (c *client) write(b string) {
	_, err := c.c.Write([]byte(b))
	require.NoError(c.t, err)
}

func query(text string) string { return string(pgwire.AppendQuery(nil, text)) }

// read takes in one answer.
func (c *client) read() (a answer) {
	for {
		kind, body, err := readMessage(c.in)
		if err != nil {
			a.ended = true
			return a
		}
		switch kind {
		case pgwire.DataRow:
			v, ok := pgwire.ParseSingleColumn(body)
			require.True(c.t, ok)
			a.value = string(v)
			a.rows++
		case pgwire.ErrorResponse:
			a.code = string(pgwire.ErrorCode(body))
			for _, f := range bytes.Split(body, []byte{0}) {
				if len(f) > 0 && f[0] == 'D' {
					a.detail = string(f[1:])
				}
			}
			a.errs++
		case pgwire.EmptyQuery:
			a.empty = true
		case pgwire.Ready:
			return a
		}
	}
}

func (c *client) ask(text string) answer {
	_, _ = c.c.Write([]byte(query(text))) // a connection that was ended shows in the answer
	return c.read()
}

var ids atomic.Int64

// stmt is a statement as clients write it.
func stmt(class string, d int, more string) string {
	head := fmt.Sprintf("/* id=%016x,c=%s,d=%d,cluster=2%s */ ", ids.Add(1), class, d, more)
	if class == "write" {
		return head + `INSERT INTO rows (handle, blob) VALUES ('7f3a9c21e0b4d655', '\x9f03') RETURNING blob`
	}
	return head + "SELECT blob FROM rows WHERE handle = '7f3a9c21e0b4d655'"
}

// meet has the gateway hear of both replicas' positions.
func (s *site) meet(c *client) {
	s.eventually("both replicas are heard of", func() bool {
		c.ask(stmt("own", 1000, ""))
		return len(s.a.Statements()) > 0 && len(s.b.Statements()) > 0
	})
}
