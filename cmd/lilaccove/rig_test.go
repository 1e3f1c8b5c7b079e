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
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return
	}
	for _, entry := range entries {
		if fd, err := strconv.Atoi(entry.Name()); err == nil && fd > 2 {
			syscall.CloseOnExec(fd)
		}
	}
}

const waitTimeout = 10 * time.Second // for what must happen; never a pause

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

// setHandler has it answer so; nil: with its name.
func (d *database) setHandler(handler func(d *database, c net.Conn, text string)) {
	if handler == nil {
		handler = func(d *database, c net.Conn, _ string) { d.Answer(c, d.ID) }
	}
	d.SetScript(func(c net.Conn, text string) { handler(d, c, text) })
}

// blockAnswers has it answer "late" to all that has come and comes, once the channel is closed.
func (d *database) blockAnswers() (release chan struct{}) {
	release = make(chan struct{})
	d.setHandler(func(d *database, c net.Conn, _ string) {
		<-release
		d.Answer(c, "late")
	})
	return release
}

func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var header [5]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(header[1:])-4)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

// testGateway is one gateway with a primary and two replicas.
type testGateway struct {
	*lab.Process
	t                           *testing.T
	world                       *standin.World
	discovery                   *standin.Discovery // the one that it is to ask at
	primary, replicaA, replicaB *database
	clientAddr                  string
	log                         *bytes.Buffer
	logMu                       sync.Mutex
	settings                    string
	sockets                     int
	memory                      int    // MB
	configPath                  string // the path of its file

	listen          string   // in its file
	tmpDir          string   // its $TMPDIR
	hasManagement   bool     // it has an operators' address
	managementAddr  string   // which
	inheritedSocket *os.File // the clients' socket, held open by the test
	fleetFile       string   // the path of its fleet file; empty: none
	faultPlan       string   // the path of the plan by which its system calls fail; empty: they do not
}

// startGateway starts the program; change may alter what it is told before.
func startGateway(t *testing.T, configure func(*testGateway)) *testGateway {
	world, err := standin.New(standin.Options{Groups: 1, FirstGroup: 2, Members: 3, Names: []string{"p", "a", "b"}, Cores: 1, Seed: 1})
	require.NoError(t, err)
	t.Cleanup(world.Close)
	gw := &testGateway{
		t: t, world: world, discovery: world.Discovery(), log: &bytes.Buffer{}, settings: testSettings, sockets: 256, memory: 192,
		listen: "127.0.0.1:0", tmpDir: t.TempDir(),
	}
	for i, d := range []**database{&gw.primary, &gw.replicaA, &gw.replicaB} {
		*d = &database{world.Members()[i]}
		(*d).setHandler(nil)
	}
	initialList := world.List()
	if configure != nil {
		configure(gw)
	}
	gw.configPath = filepath.Join(t.TempDir(), "config.json")
	gw.configure(gw.discovery.Addr, initialList)
	gw.start()
	return gw
}

// start runs the program and waits until it says that it has started.
func (gw *testGateway) start() {
	t := gw.t
	cmd := exec.Command(os.Args[0])
	if gw.faultPlan != "" {
		cmd = exec.Command(buildFaultyGateway(t))
	}
	cmd.Env = append(os.Environ(), "LILACCOVE_RUN=1", "GW_CONFIG="+gw.configPath, "GW_DISCOVERY="+gw.discovery.Addr, "TMPDIR="+gw.tmpDir,
		"LILACCOVE_FAULTS="+gw.faultPlan)
	if gw.hasManagement {
		cmd.Env = append(cmd.Env, "GW_MANAGEMENT=127.0.0.1:0")
	}
	if gw.fleetFile != "" {
		cmd.Env = append(cmd.Env, "GW_FLEET="+gw.fleetFile)
	}
	if gw.inheritedSocket != nil {
		cmd.ExtraFiles = []*os.File{nil, gw.inheritedSocket} // descriptor 4
		cmd.Env = append(cmd.Env, "GW_INHERITED_FD=4")
	}
	gw.Process = lab.NewProcess(cmd)
	require.NoError(t, gw.Launch(func(line string) {
		gw.logMu.Lock()
		defer gw.logMu.Unlock()
		fmt.Fprintln(gw.log, line)
	}, func() {}))
	t.Cleanup(func() {
		gw.Kill()
		assert.NotContains(t, gw.logText(), "event=violation", "an invariant was violated")
		if t.Failed() {
			t.Log(gw.logText())
		}
	})
	startLine, err := gw.WaitStarted(waitTimeout)
	require.NoError(t, err, gw.logText())
	gw.clientAddr, gw.managementAddr = lab.LogField(startLine, "listen"), lab.LogField(startLine, "management")
}

// configure writes the file at GW_CONFIG.
func (gw *testGateway) configure(discovery string, initialList []byte) {
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": gw.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": gw.memory, "sockets": gw.sockets},
		"known":  json.RawMessage(initialList), "settings": json.RawMessage(gw.settings),
	})
	require.NoError(gw.t, err)
	require.NoError(gw.t, os.WriteFile(gw.configPath, text, 0o600))
}

func (gw *testGateway) logText() string {
	gw.logMu.Lock()
	defer gw.logMu.Unlock()
	return gw.log.String()
}

func (gw *testGateway) sendSIGHUP() { require.NoError(gw.t, gw.Signal(syscall.SIGHUP)) }

func (gw *testGateway) sendSIGTERM() { require.NoError(gw.t, gw.Signal(syscall.SIGTERM)) }

func (gw *testGateway) waitExit() {
	gw.t.Helper()
	assert.NoError(gw.t, gw.Wait(waitTimeout))
}

// eventually waits for a condition, which the test must not outlive.
func (gw *testGateway) eventually(what string, ok func() bool) {
	gw.t.Helper()
	require.Eventually(gw.t, ok, waitTimeout, 2*time.Millisecond, what)
}

// waitWatches waits until a discovery has so many waitWatches on.
func (gw *testGateway) waitWatches(server *standin.Discovery, n int) {
	gw.t.Helper()
	gw.eventually("the watches", func() bool { return server.Calls().Watches == n })
}

// client is one connection of a client.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// answer is what came before ReadyForQuery, or before the end.
type answer struct {
	value, code, detail string
	rows, errors        int
	empty               bool
	ended               bool
}

func (gw *testGateway) dial() *client {
	conn, err := net.Dial("tcp", gw.clientAddr)
	require.NoError(gw.t, err)
	gw.t.Cleanup(func() { conn.Close() })
	require.NoError(gw.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return &client{t: gw.t, conn: conn, reader: bufio.NewReader(conn)}
}

func (gw *testGateway) connect() *client {
	c := gw.dial()
	c.write(string(pgwire.Startup("api", "ledger")))
	c.readAnswer()
	return c
}

func (c *client) write(b string) {
	_, err := c.conn.Write([]byte(b))
	require.NoError(c.t, err)
}

func queryMessage(text string) string { return string(pgwire.AppendQuery(nil, text)) }

// readAnswer takes in one answer.
func (c *client) readAnswer() (a answer) {
	for {
		kind, body, err := readMessage(c.reader)
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
			a.errors++
		case pgwire.EmptyQuery:
			a.empty = true
		case pgwire.Ready:
			return a
		}
	}
}

func (c *client) query(text string) answer {
	_, _ = c.conn.Write([]byte(queryMessage(text))) // a connection that was ended shows in the answer
	return c.readAnswer()
}

var lastRequestID atomic.Int64

// statement is a statement as clients write it.
func statement(class string, deadlineMillis int, options string) string {
	head := fmt.Sprintf("/* id=%016x,c=%s,d=%d,cluster=2%s */ ", lastRequestID.Add(1), class, deadlineMillis, options)
	if class == "write" {
		return head + `INSERT INTO rows (handle, blob) VALUES ('7f3a9c21e0b4d655', '\x9f03') RETURNING blob`
	}
	return head + "SELECT blob FROM rows WHERE handle = '7f3a9c21e0b4d655'"
}

// learnPositions has the gateway hear of both replicas' positions.
func (gw *testGateway) learnPositions(c *client) {
	gw.eventually("both replicas are heard of", func() bool {
		c.query(statement("own", 1000, ""))
		return len(gw.replicaA.Statements()) > 0 && len(gw.replicaB.Statements()) > 0
	})
}
