package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
)

// The tests start the program as its users do: this binary runs main when told so.
func TestMain(m *testing.M) {
	if os.Getenv("LILACCOVE_RUN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
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

// database is one that answers as its handler says and remembers what it was sent.
type database struct {
	t    *testing.T
	name string
	addr string
	role string

	mu      sync.Mutex
	handle  func(d *database, c net.Conn, text string) // nil: serves
	lag     time.Duration
	full    bool // admits nobody
	texts   []string
	dials   int
	hangups int
}

func newDatabase(t *testing.T, name, role string) *database {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	d := &database{t: t, name: name, addr: ln.Addr().String(), role: role}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

func (d *database) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var size [4]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, in, int64(size[3])-4); err != nil {
		return
	}
	d.count(&d.dials)
	d.mu.Lock()
	full := d.full
	d.mu.Unlock()
	if full {
		_, _ = c.Write(pgwire.AppendError(nil, "FATAL", "53300", "too many connections", ""))
		return
	}
	_, _ = c.Write(pgwire.AppendWelcome(nil))
	for {
		kind, body, err := readMessage(in)
		if err != nil || kind != pgwire.Query {
			d.count(&d.hangups)
			return
		}
		text := string(body[:len(body)-1])
		if !strings.HasPrefix(text, "/*") { // a probe
			_, _ = c.Write(row("1", ""))
			continue
		}
		d.mu.Lock()
		d.texts = append(d.texts, text)
		handle := d.handle
		d.mu.Unlock()
		if handle == nil {
			handle = func(d *database, c net.Conn, _ string) { d.answer(c, d.name) }
		}
		handle(d, c, text)
	}
}

func (d *database) count(n *int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*n++
}

func (d *database) will(handle func(d *database, c net.Conn, text string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handle = handle
}

// seen is what it was sent, without probes.
func (d *database) seen() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.texts...)
}

// answer serves a value with the note that goes with it.
func (d *database) answer(c net.Conn, value string) {
	d.mu.Lock()
	at := time.Now().Add(-d.lag).UnixMilli()
	d.mu.Unlock()
	_, _ = c.Write(row(value, fmt.Sprintf("S\x00\x00\x00%crole\x00%s\x00S\x00\x00\x00\x1dapplied_ms\x00%013d\x00",
		rune(4+5+len(d.role)+1), d.role, at)))
}

func row(value, notes string) []byte {
	var b bytes.Buffer
	b.WriteString("T\x00\x00\x00\x1d\x00\x01blob\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	n := len(value)
	fmt.Fprintf(&b, "D%s\x00\x01%s%s", be32(n+10), be32(n), value)
	b.WriteString("C\x00\x00\x00\x0dSELECT 1\x00" + notes)
	return pgwire.AppendReady(b.Bytes())
}

func be32(n int) string { return string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}) }

func readMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	var h [5]byte
	if _, err = io.ReadFull(in, h[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, int(h[1])<<24+int(h[2])<<16+int(h[3])<<8+int(h[4])-4)
	_, err = io.ReadFull(in, body)
	return h[0], body, err
}

// discovered serves the list and, on the watch, what is sent on changes.
type discovered struct {
	addr    string
	changes chan string
	mu      sync.Mutex
	list    string // empty: down
	asked   int
	watches int // on now
	after   string
}

func newDiscovery(t *testing.T) *discovered {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &discovered{addr: ln.Addr().String(), changes: make(chan string)}
	srv := &http.Server{Handler: d}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
	return d
}

func (d *discovered) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.asked++
	d.watches++
	d.after = r.URL.Query().Get("after")
	list := d.list
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.watches--
		d.mu.Unlock()
	}()
	if list == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, list)
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case line := <-d.changes:
			if line == "" {
				return
			}
			fmt.Fprintln(w, line)
		case <-time.After(time.Second):
			fmt.Fprintln(w)
		}
	}
}

func entry(d *database, health string, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":2,"health":%q,"share":1,"born_ms":%d,"role":%q}`,
		d.name, d.addr, health, born, d.role)
}

func list(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// site is one gateway with a primary and two replicas.
type site struct {
	t        *testing.T
	p, a, b  *database
	disc     *discovered
	cmd      *exec.Cmd
	addr     string
	exited   chan error
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
}

// newSite starts the program; change may alter what it is told before.
func newSite(t *testing.T, change func(*site)) *site {
	s := &site{
		t: t, p: newDatabase(t, "p", "primary"), a: newDatabase(t, "a", "replica"), b: newDatabase(t, "b", "replica"),
		disc: newDiscovery(t), exited: make(chan error, 1), log: &bytes.Buffer{}, settings: testSettings, sockets: 256, memory: 192,
		listen: "127.0.0.1:0", tmp: t.TempDir(),
	}
	known := list(1, true, entry(s.p, "in_service", 0), entry(s.a, "in_service", 0), entry(s.b, "in_service", 0))
	s.disc.list = known
	if change != nil {
		change(s)
	}
	s.config = filepath.Join(t.TempDir(), "config.json")
	s.configure(s.disc.addr, known)
	s.start()
	return s
}

// start runs the program and waits until it says that it has started.
func (s *site) start() {
	t := s.t
	s.cmd = exec.Command(os.Args[0])
	s.cmd.Env = append(os.Environ(), "LILACCOVE_RUN=1", "GW_CONFIG="+s.config, "GW_DISCOVERY="+s.disc.addr, "TMPDIR="+s.tmp)
	if s.managed {
		s.cmd.Env = append(s.cmd.Env, "GW_MANAGEMENT=127.0.0.1:0")
	}
	if s.fleet != "" {
		s.cmd.Env = append(s.cmd.Env, "GW_FLEET="+s.fleet)
	}
	if s.inherited != nil {
		s.cmd.ExtraFiles = []*os.File{nil, s.inherited} // descriptor 4
		s.cmd.Env = append(s.cmd.Env, "GW_INHERITED_FD=4")
	}
	out, err := s.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, s.cmd.Start())
	started := make(chan []string, 1)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			s.logMu.Lock()
			fmt.Fprintln(s.log, lines.Text())
			s.logMu.Unlock()
			if _, rest, ok := strings.Cut(lines.Text(), "event=started name=n1 listen="); ok {
				started <- strings.Fields(rest)
			}
		}
		s.exited <- s.cmd.Wait()
	}()
	t.Cleanup(func() {
		_ = s.cmd.Process.Kill()
		if t.Failed() {
			t.Log(s.logged())
		}
	})
	select {
	case words := <-started:
		s.addr = words[0]
		s.manage, _ = strings.CutPrefix(words[len(words)-1], "management=")
	case <-time.After(patience):
		t.Fatal("the gateway does not start:\n" + s.logged())
	}
}

// configure writes the file at GW_CONFIG.
func (s *site) configure(discovery, known string) {
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

func (s *site) hup() { require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGHUP)) }

func (s *site) term() { require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGTERM)) }

// eventually waits for a condition, which the test must not outlive.
func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	require.Eventually(s.t, ok, patience, 2*time.Millisecond, what)
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
			v, ok := pgwire.Column(body)
			require.True(c.t, ok)
			a.value = string(v)
			a.rows++
		case pgwire.ErrorMsg:
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
		return len(s.a.seen()) > 0 && len(s.b.seen()) > 0
	})
}
