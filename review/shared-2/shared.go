//go:build review

// Package shared2 has what the cases 6 to 10 share: stand-ins for databases, discovery and clients, written from the
// protocol page, the start of gateways by the command of the deploy file, and the record of a run.
package shared2

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case.
type Case struct {
	Trouble bool
	Root    string // of the repository
	Temp    string // removed at the end
	start   time.Time
	mu      sync.Mutex
	record  *os.File
	procs   []*Gateway
	done    bool
}

// Start reads the environment: TROUBLE=0 leaves out the disruption, ROOT and CASE are the folders of the repository and the
// case. The run ends by itself after the limit.
func Start(limit time.Duration) *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Root: os.Getenv("ROOT"), start: time.Now()}
	var err error
	if c.Temp, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	if c.record, err = os.Create(filepath.Join(os.Getenv("CASE"), "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	time.AfterFunc(limit, func() { c.End(NotRun, "the run took too long") })
	c.Log("trouble=%t", c.Trouble)
	return c
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.done {
		fmt.Fprintf(c.record, "%9.4f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// End ends all processes and the run.
func (c *Case) End(code int, format string, args ...any) {
	verdict := map[int]string{Held: "held", Broken: "BROKEN", NotRun: "not run"}[code]
	text := fmt.Sprintf(format, args...)
	c.Log("result: %s: %s", verdict, text)
	c.mu.Lock()
	if c.done {
		c.mu.Unlock()
		select {}
	}
	c.done = true
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	os.RemoveAll(c.Temp)
	c.record.Close()
	fmt.Printf("%s: %s\n", verdict, text)
	os.Exit(code)
}

// Must ends the run as not run if err is an error.
func (c *Case) Must(err error, what string) {
	if err != nil {
		c.End(NotRun, "%s: %v", what, err)
	}
}

// Until waits until ok holds; it ends the run as not run if that takes longer than limit.
func (c *Case) Until(limit time.Duration, what string, ok func() bool) {
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.End(NotRun, "waited in vain: %s", what)
		}
	}
}

// Gateway is one process of the gateway.
type Gateway struct {
	c          *Case
	Name       string
	Listen     string
	Management string
	cmd        *exec.Cmd
	exited     chan struct{}
	mu         sync.Mutex
	started    bool
}

// GatewayOptions configure a gateway.
type GatewayOptions struct {
	Name, Listen, Management, Discovery string
	MemoryMB, Sockets                   int
	Known                               json.RawMessage
	Settings                            map[string]any
	TempDir                             string   // its $TMPDIR; empty: one of its own
	Inherited                           *os.File // the clients' listening socket, passed as descriptor 4; nil: it opens its own
}

// runCommand reads the command run from the deploy file.
func (c *Case) runCommand() string {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Must(err, "deploy file")
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			return strings.TrimSuffix(strings.TrimSpace(rest), "\"")
		}
	}
	c.End(NotRun, "the deploy file has no run")
	return ""
}

// FreePort returns a free address of the loopback interface.
func (c *Case) FreePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "free port")
	defer l.Close()
	return l.Addr().String()
}

// StartGateway starts a gateway and returns when it has logged that it started.
func (c *Case) StartGateway(o GatewayOptions) *Gateway {
	if o.TempDir == "" {
		o.TempDir = filepath.Join(c.Temp, "tmp-"+o.Name)
		c.Must(os.MkdirAll(o.TempDir, 0o700), "temporary folder")
	}
	if o.Listen == "" {
		o.Listen = c.FreePort()
	}
	if o.Management == "" {
		o.Management = c.FreePort()
	}
	config := map[string]any{
		"name": o.Name, "listen": o.Listen, "discovery": o.Discovery, "management": o.Management, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": o.MemoryMB, "sockets": o.Sockets}, "known": o.Known, "settings": o.Settings,
	}
	text, err := json.Marshal(config)
	c.Must(err, "configuration")
	path := filepath.Join(c.Temp, fmt.Sprintf("config-%s-%d.json", o.Name, len(c.procs)))
	c.Must(os.WriteFile(path, text, 0o600), "configuration")
	g := &Gateway{c: c, Name: fmt.Sprintf("%s/%d", o.Name, len(c.procs)), Listen: o.Listen, Management: o.Management, exited: make(chan struct{})}
	g.cmd = exec.Command("/bin/sh", "-c", c.runCommand())
	g.cmd.Dir = c.Root
	g.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME="+o.Name, "GW_LISTEN="+o.Listen, "GW_DISCOVERY="+o.Discovery,
		"GW_MANAGEMENT="+o.Management, "TMPDIR="+o.TempDir)
	if o.Inherited != nil {
		g.cmd.ExtraFiles = []*os.File{nil, o.Inherited}
		g.cmd.Env = append(g.cmd.Env, "GW_INHERITED_FD=4")
	}
	logFile := &lineWriter{line: func(line string) {
		c.Log("gateway %s: %s", g.Name, line)
		if strings.Contains(line, "event=started") {
			g.mu.Lock()
			g.started = true
			g.mu.Unlock()
		}
	}}
	g.cmd.Stdout, g.cmd.Stderr = logFile, logFile
	c.Must(g.cmd.Start(), "start of the gateway")
	c.mu.Lock()
	c.procs = append(c.procs, g)
	c.mu.Unlock()
	go func() {
		err := g.cmd.Wait()
		c.Log("gateway %s ended: %v", g.Name, err)
		close(g.exited)
	}()
	c.Until(10*time.Second, "the gateway starts", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.started
	})
	return g
}

// lineWriter passes on whole lines.
type lineWriter struct {
	rest string
	line func(string)
}

func (w *lineWriter) Write(b []byte) (int, error) {
	w.rest += string(b)
	for {
		line, rest, ok := strings.Cut(w.rest, "\n")
		if !ok {
			return len(b), nil
		}
		w.line(line)
		w.rest = rest
	}
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.c.Log("signal %v to gateway %s", s, g.Name)
	_ = g.cmd.Process.Signal(s)
}

// Exited reports whether the process has ended.
func (g *Gateway) Exited() bool {
	select {
	case <-g.exited:
		return true
	default:
		return false
	}
}

// Kill ends the process.
func (g *Gateway) Kill() {
	if !g.Exited() {
		_ = g.cmd.Process.Kill()
		select {
		case <-g.exited:
		case <-time.After(3 * time.Second):
		}
	}
}

// WaitReady waits until the gateway answers an empty query with EmptyQueryResponse, and reads return rows.
func (g *Gateway) WaitReady() {
	g.c.Until(10*time.Second, "the gateway is ready", func() bool {
		client, err := g.c.Dial(g.Listen)
		if err != nil {
			return false
		}
		defer client.Close()
		a := client.Query("", time.Second)
		return a.Empty
	})
}

// At returns a time as the record gives it: in seconds since the start.
func (c *Case) At(t time.Time) float64 { return t.Sub(c.start).Seconds() }

// AnonymousMemory returns the resident anonymous memory of the process in bytes, which does not count the program's file; 0: unknown.
func (g *Gateway) AnonymousMemory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			n, _ := strconv.Atoi(fields[1])
			return n << 10
		}
	}
	return 0
}
