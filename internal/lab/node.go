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
	ClientAddr     string         // listening address for clients
	ManagementAddr string         // listening address for operators
	PeerAddr       netip.AddrPort // listening address for other gateways; invalid without a fleet
	ConfigPath     string         // of its configuration file

	*Process
	slot        int // its index in the lab's nodes
	mu          sync.Mutex
	endExpected bool // it was ended by the plan or a test
	fleetEvents []string
}

// name returns the name of a gateway; a sibling process has the same name as the first.
func (l *Lab) name(i int) string {
	if n := l.Plan.Lab.Gateways; i >= n {
		i = l.Siblings[i-n]
	}
	return fmt.Sprintf("n%d", i)
}

// Node returns the newest process of gateway i.
func (l *Lab) Node(i int) *Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodes[i]
}

// processes returns every process that was started.
func (l *Lab) processes() []*Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Node(nil), l.started...)
}

// StartSibling starts a second process under the name of gateway Siblings[k].
func (l *Lab) StartSibling(k int) (*Node, error) { return l.Start(l.Plan.Lab.Gateways + k) }

// Start starts a process of gateway i and waits until it logs its listening addresses.
func (l *Lab) Start(i int) (*Node, error) { return l.StartCommand(i, l.Gateway) }

// processDir returns the private directory of a new process of gateway i. Processes that share a held socket share the
// directory as well.
func (l *Lab) processDir(i int) (string, error) {
	name := l.name(i)
	if _, ok := l.sockets[name]; !ok {
		return os.MkdirTemp(l.dir, name+"-")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sharedDirs[name] == "" {
		dir, err := os.MkdirTemp(l.dir, name+"-")
		if err != nil {
			return "", err
		}
		l.sharedDirs[name] = dir
	}
	return l.sharedDirs[name], nil
}

// PrivateDir returns the private directory of a gateway with a held socket. All its processes use the same one.
func (l *Lab) PrivateDir(i int) (string, error) { return l.processDir(i) }

// heldSocket is a gateway's client socket that the lab has opened and passes to the gateway's processes.
type heldSocket struct {
	*os.File
	addr string
}

// openHeldSockets opens the client sockets of HeldSockets.
func (l *Lab) openHeldSockets() error {
	for _, i := range l.HeldSockets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		file, err := listener.(*net.TCPListener).File()
		if err != nil {
			return err
		}
		l.sockets[l.name(i)] = heldSocket{file, listener.Addr().String()}
		l.heldClosers = append(l.heldClosers, listener, file)
	}
	return nil
}

// StartCommand is Start with another command line and additional environment variables.
func (l *Lab) StartCommand(i int, command []string, env ...string) (*Node, error) {
	name := l.name(i)
	dir, err := l.processDir(i)
	if err != nil {
		return nil, err
	}
	config, err := json.Marshal(l.Config(i))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	node := &Node{Name: name, Process: NewProcess(exec.Command(command[0], command[1:]...)), slot: i, ConfigPath: path}
	node.cmd.Env = append(append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+dir, "GW_MANAGEMENT=127.0.0.1:0"), l.Env...)
	node.cmd.Env = append(node.cmd.Env, env...)
	if s, ok := l.sockets[name]; ok {
		node.cmd.ExtraFiles = []*os.File{nil, s.File} // becomes descriptor 4
		node.cmd.Env = append(node.cmd.Env, "GW_INHERITED_FD=4")
	}
	if l.mesh != nil {
		file := filepath.Join(dir, "fleet.yaml")
		if err := os.WriteFile(file, l.fleetFile(i), 0o600); err != nil {
			return nil, err
		}
		node.cmd.Env = append(node.cmd.Env, "GW_FLEET="+file)
	}
	if err := node.Launch(func(line string) { l.handleLogLine(node, line) }, func() { l.routeToNewest(name) }); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.started = append(l.started, node)
	l.mu.Unlock()
	if _, err := node.WaitStarted(startTimeout); err != nil {
		return nil, fmt.Errorf("gateway %s %w", name, err)
	}
	l.mu.Lock()
	l.nodes[i] = node
	l.mu.Unlock()
	l.routeToNewest(name)
	if i < l.Plan.Lab.Gateways {
		l.balancer.SetAddr(i, node.ClientAddr)
	}
	return node, nil
}

// OverridesDir returns the directory in which all processes of a gateway store operator overrides.
func (l *Lab) OverridesDir(i int) string { return filepath.Join(l.dir, l.name(i)+"-words") }

// AuditFile returns the file to which all processes of a gateway write their audit records.
func (l *Lab) AuditFile(i int) string { return filepath.Join(l.dir, l.name(i)+"-audit.jsonl") }

// handleLogLine copies a line of a gateway's log, and reads addresses, violations and fleet events from it.
func (l *Lab) handleLogLine(node *Node, line string) {
	if l.Log != nil {
		l.mu.Lock()
		fmt.Fprintf(l.Log, "%s/%d %s\n", node.Name, node.Pid(), line)
		l.mu.Unlock()
	}
	if l.OnLogLine != nil {
		l.OnLogLine(node, line)
	}
	_, event, _ := strings.Cut(line, " event=")
	node.mu.Lock()
	defer node.mu.Unlock()
	switch kind, _, _ := strings.Cut(event, " "); {
	case kind == "fleet_started":
		node.PeerAddr, _ = netip.ParseAddrPort(LogField(event, "listen"))
	case kind == "started":
		node.ClientAddr, node.ManagementAddr = LogField(event, "listen"), LogField(event, "management")
	}
	if strings.HasPrefix(event, "violation ") {
		l.RecordFault("gateway %s: %s", node.Name, event)
	}
	if strings.HasPrefix(event, "fleet_") || strings.HasPrefix(event, "policy ") {
		node.fleetEvents = append(node.fleetEvents, event)
		l.History.Add(HistoryEntry{Kind: "log", Gateway: node.Name, What: event})
	}
}

// routeToNewest makes the relays to a name forward to its process that was started last and is alive.
func (l *Lab) routeToNewest(name string) {
	if l.mesh == nil {
		return
	}
	target := netip.AddrPort{}
	for _, n := range l.processes() {
		n.mu.Lock()
		if n.Name == name && n.Alive() && n.ClientAddr != "" {
			target = n.PeerAddr
		}
		n.mu.Unlock()
	}
	l.mesh.Route(name, target)
}

// fleetFile returns the fleet file of gateway i, in which the addresses of the others are those of its relays.
func (l *Lab) fleetFile(i int) []byte {
	file := []byte("fleet: lab\nlisten: 127.0.0.1:0\nseeds:\n")
	if len(l.nodes) == 1 {
		return []byte("fleet: lab\nlisten: 127.0.0.1:0\n")
	}
	dialEntries := []byte("dial:\n")
	for j := range l.nodes {
		addr := l.mesh.RelayAddr(i, j)
		if !addr.IsValid() {
			continue
		}
		if j < 3 || i < 3 && j == 3 { // only some: gateways learn the other members through gossip
			file = fmt.Appendf(file, "  - %s\n", addr)
		}
		if j < l.Plan.Lab.Gateways {
			dialEntries = fmt.Appendf(dialEntries, "  %s: %s\n", l.name(j), addr)
		}
	}
	file = append(file, dialEntries...)
	if l.Plan.Lab.Subsets {
		file = append(file, "subsets: true\n"...)
	}
	setting := "true"
	if maxBytes := l.Plan.Lab.MaxBytesPerSecond; maxBytes > 0 && !slices.Contains(l.WithoutByteBudget, i) {
		setting = fmt.Sprintf("{bytes: %d/s}", maxBytes)
	}
	if l.Plan.Lab.Positions {
		file = fmt.Appendf(file, "positions: %s\n", setting)
	}
	if l.Plan.Lab.Primaries {
		file = fmt.Appendf(file, "primaries: %s\n", setting)
	}
	if d := l.Plan.Lab.FenceAfter; d > 0 {
		file = fmt.Appendf(file, "fence: %d ms\n", d.Milliseconds())
	}
	if s := l.Plan.Lab.RetryShare; s > 0 {
		file = fmt.Appendf(file, "repeats: %g%%\n", s*100)
	}
	if d := l.Plan.Lab.OverrideLifetime; d > 0 {
		file = fmt.Appendf(file, "words: {dir: %q, keep: %d s}\n", l.OverridesDir(i), int(d.Seconds()))
	}
	if l.Plan.Lab.Audit {
		file = fmt.Appendf(file, "audit: {file: %q}\n", l.AuditFile(i))
	}
	if p := l.Plan.Lab; p.Budget > 0 {
		file = fmt.Appendf(file, "budgets:\n  connections: %d\n  lease: %d ms\n  holders:\n", p.Budget, max(1000, p.Lease.Milliseconds()))
		for j := range p.Gateways {
			file = fmt.Appendf(file, "    - %s\n", l.name(j))
		}
	}
	return file
}

// isEndExpected reports whether the plan or a test has ended the process.
func (n *Node) isEndExpected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endExpected
}

// expectEnd records that the end of the process is not a fault.
func (n *Node) expectEnd() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endExpected = true
}

// FleetEvents returns the log lines about the fleet and those of the policy, such as breaker changes, from the event's
// name on.
func (n *Node) FleetEvents() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.fleetEvents...)
}

// Kill ends the process with SIGKILL.
func (n *Node) Kill() {
	n.expectEnd()
	n.Process.Kill()
}

// Terminate sends SIGTERM and waits for the graceful shutdown. A process that takes too long is killed.
func (n *Node) Terminate() error {
	if err := n.SignalEnd(); err != nil {
		return err
	}
	return n.KillAfter(shutdownTimeout)
}

// SignalEnd sends SIGTERM.
func (n *Node) SignalEnd() error {
	n.expectEnd()
	return n.Signal(syscall.SIGTERM)
}

// KillAfter waits until the process has ended. If it has not within the timeout it is killed, and that is an error.
func (n *Node) KillAfter(timeout time.Duration) error {
	select {
	case <-n.done:
		return nil
	case <-time.After(timeout):
		n.Process.Kill()
		return fmt.Errorf("gateway %s does not end within %v", n.Name, timeout)
	}
}

// Call sends a request to the gateway's management address and returns the body of the response.
func (n *Node) Call(method, path string) ([]byte, error) {
	return CallManagement(method, n.ManagementAddr, path)
}

// CallManagement sends a request to a management address and returns the body of the response. A status other than 2xx
// is an error.
func CallManagement(method, managementAddr, path string) ([]byte, error) {
	request, err := http.NewRequest(method, "http://"+managementAddr+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := (&http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode/100 != 2 {
		err = fmt.Errorf("%s %s: %d %s", method, path, response.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, err
}

// Fleet returns the gateway's report of the fleet's members.
func (n *Node) Fleet() (r peer.Report, err error) {
	text, err := n.Call("GET", "/v1/fleet/members")
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	return r, err
}

// stopProcesses shuts all processes down gracefully, and kills those that take too long.
func (l *Lab) stopProcesses() {
	var stops sync.WaitGroup
	for _, n := range l.processes() {
		if !n.Alive() {
			continue
		}
		stops.Add(1)
		go func() {
			defer stops.Done()
			_ = n.Resume()
			_ = n.Terminate()
			<-n.done
		}()
	}
	stops.Wait()
}

// selectGateways returns the gateways of an event, drawn at random if it names a share of them.
func (l *Lab) selectGateways(event plan.Event) []int {
	if event.GatewayShare == 0 {
		return event.Gateways
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Plan.Lab.Gateways
	return l.rng.Perm(n)[:int(event.GatewayShare*float64(n)+0.5)]
}

// fleetEvent runs an event of the plan that concerns gateways or the links between them.
func (l *Lab) fleetEvent(event plan.Event, stop <-chan struct{}) error {
	selected := l.selectGateways(event)
	l.History.Add(HistoryEntry{Kind: "fault", What: event.Action, Gateway: fmt.Sprint(selected)})
	switch event.Action {
	case "kill-gateway":
		for _, i := range selected {
			l.Node(i).Kill()
		}
		if event.RestartAfter == 0 || !standin.Sleep(event.RestartAfter, stop) {
			return nil
		}
		var starts sync.WaitGroup
		errs := make([]error, len(selected))
		for k, i := range selected {
			starts.Add(1)
			go func() {
				defer starts.Done()
				_, errs[k] = l.Start(i)
			}()
		}
		starts.Wait()
		return errors.Join(errs...)
	case "stop-gateway":
		for _, i := range selected {
			if err := l.Node(i).Pause(); err != nil {
				return err
			}
		}
		standin.Sleep(event.Duration, stop)
		for _, i := range selected {
			if err := l.Node(i).Resume(); err != nil {
				return err
			}
		}
	case "roll-gateways":
		for k, i := range selected {
			if k > 0 && !standin.Sleep(event.Duration/time.Duration(len(selected)), stop) {
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
		l.setLinks(event, event.Link)
		standin.Sleep(event.Duration, stop)
		l.setLinks(event, plan.Link{})
	case "partition":
		l.mesh.Partition(event.Sides, true)
		standin.Sleep(event.Duration, stop)
		l.mesh.Partition(event.Sides, false)
	}
	l.History.Add(HistoryEntry{Kind: "fault", What: "end of " + event.Action, Gateway: fmt.Sprint(selected)})
	return nil
}

// setLinks sets the faults of all links that an event selects.
func (l *Lab) setLinks(event plan.Event, link plan.Link) {
	matches := func(list []int, i int) bool {
		for _, j := range list {
			if i == j {
				return true
			}
		}
		return len(list) == 0
	}
	for i := range l.nodes {
		for j := range l.nodes {
			if i != j && matches(event.From, i) && matches(event.To, j) {
				l.mesh.SetLink(i, j, link)
				l.mesh.SetCut(i, j, link.Cut)
			}
		}
	}
}
