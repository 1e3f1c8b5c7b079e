package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilaccove/internal/load/plan"
	"lilaccove/internal/peer"
	"lilaccove/internal/standin"
)

// Node is one process of a gateway.
type Node struct {
	Name           string
	ClientAddr     string         // where clients connect
	ManagementAddr string         // the operators' address
	PeerAddr       netip.AddrPort // where other gateways find it; invalid without a fleet
	ConfigPath     string         // the path of its configuration

	*Process
	slot   int
	mu     sync.Mutex
	meant  bool // it was ended by the plan
	events []string
}

// name is that of a gateway; a twin has the name of its first process.
func (l *Lab) name(i int) string {
	if n := l.Plan.Lab.Gateways; i >= n {
		i = l.Siblings[i-n]
	}
	return fmt.Sprintf("n%d", i)
}

// Node is the newest process of gateway i.
func (l *Lab) Node(i int) *Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodes[i]
}

// processes are all that were started.
func (l *Lab) processes() []*Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Node(nil), l.all...)
}

// StartSibling starts a second process under the name of gateway Twins[k].
func (l *Lab) StartSibling(k int) (*Node, error) { return l.Start(l.Plan.Lab.Gateways + k) }

// Start runs a gateway and waits until it says where it listens.
func (l *Lab) Start(i int) (*Node, error) { return l.StartCommand(i, l.Gateway) }

// folder is the private directory of a gateway's process. Processes that share a socket share it as well.
func (l *Lab) folder(i int) (string, error) {
	name := l.name(i)
	if _, ok := l.socks[name]; !ok {
		return os.MkdirTemp(l.dir, name+"-")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dirs[name] == "" {
		dir, err := os.MkdirTemp(l.dir, name+"-")
		if err != nil {
			return "", err
		}
		l.dirs[name] = dir
	}
	return l.dirs[name], nil
}

// PrivateDir is the private directory of a gateway whose socket the lab holds, whichever process it is.
func (l *Lab) PrivateDir(i int) (string, error) { return l.folder(i) }

// held is a clients' socket that the lab holds open.
type held struct {
	*os.File
	addr string
}

// hold opens the clients' sockets that the lab holds.
func (l *Lab) hold() error {
	for _, i := range l.HeldSockets {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		f, err := ln.(*net.TCPListener).File()
		if err != nil {
			return err
		}
		l.socks[l.name(i)] = held{f, ln.Addr().String()}
		l.kept = append(l.kept, ln, f)
	}
	return nil
}

// StartCommand is Start with another command, and more of an environment.
func (l *Lab) StartCommand(i int, command []string, env ...string) (*Node, error) {
	name := l.name(i)
	dir, err := l.folder(i)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(l.Config(i))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	n := &Node{Name: name, Process: NewProcess(exec.Command(command[0], command[1:]...)), slot: i, ConfigPath: path}
	n.cmd.Env = append(append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+dir, "GW_MANAGEMENT=127.0.0.1:0"), l.Env...)
	n.cmd.Env = append(n.cmd.Env, env...)
	if s, ok := l.socks[name]; ok {
		n.cmd.ExtraFiles = []*os.File{nil, s.File} // descriptor 4
		n.cmd.Env = append(n.cmd.Env, "GW_INHERITED_FD=4")
	}
	if l.mesh != nil {
		file := filepath.Join(dir, "fleet.yaml")
		if err := os.WriteFile(file, l.fleetFile(i), 0o600); err != nil {
			return nil, err
		}
		n.cmd.Env = append(n.cmd.Env, "GW_FLEET="+file)
	}
	if err := n.Launch(func(line string) { l.heard(n, line) }, func() { l.lead(name) }); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.all = append(l.all, n)
	l.mu.Unlock()
	if _, err := n.WaitStarted(startTime); err != nil {
		return nil, fmt.Errorf("gateway %s %w", name, err)
	}
	l.mu.Lock()
	l.nodes[i] = n
	l.mu.Unlock()
	l.lead(name)
	if i < l.Plan.Lab.Gateways {
		l.front.SetAddr(i, n.ClientAddr)
	}
	return n, nil
}

// OverridesDir is where a gateway keeps operators' words, whichever process it is.
func (l *Lab) OverridesDir(i int) string { return filepath.Join(l.dir, l.name(i)+"-words") }

// AuditFile is where a gateway keeps its records, whichever process it is.
func (l *Lab) AuditFile(i int) string { return filepath.Join(l.dir, l.name(i)+"-audit.jsonl") }

// heard takes a line of a gateway's log.
func (l *Lab) heard(n *Node, line string) {
	if l.Log != nil {
		l.mu.Lock()
		fmt.Fprintf(l.Log, "%s/%d %s\n", n.Name, n.Pid(), line)
		l.mu.Unlock()
	}
	if l.OnLogLine != nil {
		l.OnLogLine(n, line)
	}
	_, event, _ := strings.Cut(line, " event=")
	n.mu.Lock()
	defer n.mu.Unlock()
	switch kind, _, _ := strings.Cut(event, " "); {
	case kind == "fleet_started":
		n.PeerAddr, _ = netip.ParseAddrPort(LogField(event, "listen"))
	case kind == "started":
		n.ClientAddr, n.ManagementAddr = LogField(event, "listen"), LogField(event, "management")
	}
	if strings.HasPrefix(event, "violation ") {
		l.RecordFault("gateway %s: %s", n.Name, event)
	}
	if strings.HasPrefix(event, "fleet_") || strings.HasPrefix(event, "policy ") {
		n.events = append(n.events, event)
		l.History.Add(HistoryEntry{Kind: "log", Gateway: n.Name, What: event})
	}
}

// lead has the relays to a name lead to the process of it that was started last and lives.
func (l *Lab) lead(name string) {
	if l.mesh == nil {
		return
	}
	to := netip.AddrPort{}
	for _, n := range l.processes() {
		n.mu.Lock()
		if n.Name == name && n.Alive() && n.ClientAddr != "" {
			to = n.PeerAddr
		}
		n.mu.Unlock()
	}
	l.mesh.Route(name, to)
}

// fleetFile is what a gateway is told of the fleet: it finds all others behind relays of its own.
func (l *Lab) fleetFile(i int) []byte {
	b := []byte("fleet: lab\nlisten: 127.0.0.1:0\nseeds:\n")
	if len(l.nodes) == 1 {
		return []byte("fleet: lab\nlisten: 127.0.0.1:0\n")
	}
	dial := []byte("dial:\n")
	for j := range l.nodes {
		a := l.mesh.RelayAddr(i, j)
		if !a.IsValid() {
			continue
		}
		if j < 3 || i < 3 && j == 3 { // not all: newcomers learn the rest
			b = fmt.Appendf(b, "  - %s\n", a)
		}
		if j < l.Plan.Lab.Gateways {
			dial = fmt.Appendf(dial, "  %s: %s\n", l.name(j), a)
		}
	}
	b = append(b, dial...)
	if l.Plan.Lab.Subsets {
		b = append(b, "subsets: true\n"...)
	}
	told := "true"
	if n := l.Plan.Lab.MaxBytesPerSecond; n > 0 && !slices.Contains(l.WithoutByteBudget, i) {
		told = fmt.Sprintf("{bytes: %d/s}", n)
	}
	if l.Plan.Lab.Positions {
		b = fmt.Appendf(b, "positions: %s\n", told)
	}
	if l.Plan.Lab.Primaries {
		b = fmt.Appendf(b, "primaries: %s\n", told)
	}
	if d := l.Plan.Lab.FenceAfter; d > 0 {
		b = fmt.Appendf(b, "fence: %d ms\n", d.Milliseconds())
	}
	if s := l.Plan.Lab.RetryShare; s > 0 {
		b = fmt.Appendf(b, "repeats: %g%%\n", s*100)
	}
	if d := l.Plan.Lab.OverrideLifetime; d > 0 {
		b = fmt.Appendf(b, "words: {dir: %q, keep: %d s}\n", l.OverridesDir(i), int(d.Seconds()))
	}
	if l.Plan.Lab.Audit {
		b = fmt.Appendf(b, "audit: {file: %q}\n", l.AuditFile(i))
	}
	if p := l.Plan.Lab; p.Budget > 0 {
		b = fmt.Appendf(b, "budgets:\n  connections: %d\n  lease: %d ms\n  holders:\n", p.Budget, max(1000, p.Lease.Milliseconds()))
		for j := range p.Gateways {
			b = fmt.Appendf(b, "    - %s\n", l.name(j))
		}
	}
	return b
}

func (n *Node) expected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.meant
}

func (n *Node) mean() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meant = true
}

// FleetEvents are its log lines about the fleet and the breakers, from the event's name on.
func (n *Node) FleetEvents() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.events...)
}

// Kill ends it at once.
func (n *Node) Kill() {
	n.mean()
	n.Process.Kill()
}

// Terminate asks it to end in order and waits until it has.
func (n *Node) Terminate() error {
	n.mean()
	if err := n.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.end:
		return nil
	case <-time.After(endTime):
		n.Process.Kill()
		return fmt.Errorf("gateway %s does not end within %v", n.Name, endTime)
	}
}

// Call asks the operators' address and returns what it says.
func (n *Node) Call(method, path string) ([]byte, error) {
	return CallManagement(method, n.ManagementAddr, path)
}

// CallManagement asks a gateway's operators' address and returns what it says.
func CallManagement(method, manage, path string) ([]byte, error) {
	q, err := http.NewRequest(method, "http://"+manage+path, nil)
	if err != nil {
		return nil, err
	}
	answer, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode/100 != 2 {
		err = fmt.Errorf("%s %s: %d %s", method, path, answer.StatusCode, strings.TrimSpace(string(text)))
	}
	return text, err
}

// Fleet is what it knows of the others.
func (n *Node) Fleet() (r peer.Report, err error) {
	text, err := n.Call("GET", "/v1/fleet/members")
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	return r, err
}

// stop ends all processes, in order if they can.
func (l *Lab) stop() {
	var all sync.WaitGroup
	for _, n := range l.processes() {
		if !n.Alive() {
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			_ = n.Resume()
			_ = n.Terminate()
			<-n.end
		}()
	}
	all.Wait()
}

// whom are the gateways of an event.
func (l *Lab) whom(e plan.Event) []int {
	if e.GatewayShare == 0 {
		return e.Gateways
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Plan.Lab.Gateways
	return l.rnd.Perm(n)[:int(e.GatewayShare*float64(n)+0.5)]
}

// fleetEvent does something to gateways, or to the links between them.
func (l *Lab) fleetEvent(e plan.Event, stop <-chan struct{}) error {
	list := l.whom(e)
	l.History.Add(HistoryEntry{Kind: "fault", What: e.Action, Gateway: fmt.Sprint(list)})
	switch e.Action {
	case "kill-gateway":
		for _, i := range list {
			l.Node(i).Kill()
		}
		if e.RestartAfter == 0 || !standin.Sleep(e.RestartAfter, stop) {
			return nil
		}
		var all sync.WaitGroup
		failed := make([]error, len(list))
		for k, i := range list {
			all.Add(1)
			go func() {
				defer all.Done()
				_, failed[k] = l.Start(i)
			}()
		}
		all.Wait()
		return errors.Join(failed...)
	case "stop-gateway":
		for _, i := range list {
			if err := l.Node(i).Pause(); err != nil {
				return err
			}
		}
		standin.Sleep(e.Duration, stop)
		for _, i := range list {
			if err := l.Node(i).Resume(); err != nil {
				return err
			}
		}
	case "roll-gateways":
		for k, i := range list {
			if k > 0 && !standin.Sleep(e.Duration/time.Duration(len(list)), stop) {
				return nil
			}
			if err := l.Node(i).Terminate(); err != nil {
				return err
			}
			if _, err := l.Start(i); err != nil {
				return err
			}
		}
	case "links":
		l.links(e, e.Link)
		standin.Sleep(e.Duration, stop)
		l.links(e, plan.Link{})
	case "partition":
		l.mesh.Partition(e.Sides, true)
		standin.Sleep(e.Duration, stop)
		l.mesh.Partition(e.Sides, false)
	}
	l.History.Add(HistoryEntry{Kind: "fault", What: "end of " + e.Action, Gateway: fmt.Sprint(list)})
	return nil
}

// links gives the links of an event these faults.
func (l *Lab) links(e plan.Event, to plan.Link) {
	in := func(list []int, i int) bool {
		for _, j := range list {
			if i == j {
				return true
			}
		}
		return len(list) == 0
	}
	for i := range l.nodes {
		for j := range l.nodes {
			if i != j && in(e.From, i) && in(e.To, j) {
				l.mesh.SetLink(i, j, to)
				l.mesh.SetCut(i, j, to.Cut)
			}
		}
	}
}
