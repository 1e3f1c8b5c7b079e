//go:build review

package rig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Config is the configuration of a gateway.
type Config struct {
	Name       string         `json:"name"`
	Listen     string         `json:"listen"`
	Discovery  string         `json:"discovery"`
	Management string         `json:"management,omitempty"`
	Seed       string         `json:"seed"`
	Limits     map[string]any `json:"limits"`
	Known      *Change        `json:"known,omitempty"`
	Settings   map[string]any `json:"settings"`
}

// Gateway is a process of the gateway's program.
type Gateway struct {
	Record *Record
	Label  string
	Ended  chan struct{} // closed at its end
	cmd    *exec.Cmd
	output bytes.Buffer
}

// FreeAddr returns a free address of the loopback interface.
func FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

var runLine = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]*)"`)

// Start starts a gateway with the command of the deploy file. root is the repository's root, tmp the process's private folder.
// listener, if not nil, is inherited as descriptor 4.
func Start(record *Record, root, label, tmp string, cfg Config, listener *os.File) (*Gateway, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("no key run in the deploy file")
	}
	file := filepath.Join(tmp, "..", label+".json")
	text, err := json.Marshal(cfg)
	if err == nil {
		err = os.WriteFile(file, text, 0o600)
	}
	if err != nil {
		return nil, err
	}
	g := &Gateway{Record: record, Label: label, Ended: make(chan struct{})}
	g.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	g.cmd.Dir = root
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "GW_CONFIG=" + file, "GW_NAME=" + cfg.Name, "GW_LISTEN=" + cfg.Listen, "GW_DISCOVERY=" + cfg.Discovery}
	if cfg.Management != "" {
		g.cmd.Env = append(g.cmd.Env, "GW_MANAGEMENT="+cfg.Management)
	}
	if listener != nil {
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		defer null.Close()
		g.cmd.ExtraFiles = []*os.File{null, listener}
		g.cmd.Env = append(g.cmd.Env, "GW_INHERITED_FD=4")
	}
	g.cmd.Stdout, g.cmd.Stderr = &g.output, &g.output
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	record.Printf("platform starts gateway process %s", label)
	go func() {
		_ = g.cmd.Wait()
		record.Printf("gateway process %s has ended: %s", label, g.cmd.ProcessState)
		close(g.Ended)
	}()
	return g, nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.Record.Printf("platform sends %v to gateway process %s", s, g.Label)
	_ = g.cmd.Process.Signal(s)
}

// Kill kills the process, waits for its end and writes its log.
func (g *Gateway) Kill() {
	select {
	case <-g.Ended:
	default:
		g.Signal(syscall.SIGKILL)
		<-g.Ended
	}
	lines := strings.Split(strings.TrimSpace(g.output.String()), "\n")
	for i, line := range lines {
		if i >= 60 {
			g.Record.Printf("log of %s: %d more lines", g.Label, len(lines)-i)
			break
		}
		g.Record.Printf("log of %s: %s", g.Label, line)
	}
}

// Running reports whether the process has not ended.
func (g *Gateway) Running() bool {
	select {
	case <-g.Ended:
		return false
	default:
		return true
	}
}

// ResidentMB returns the memory that the process uses, in MiB.
func (g *Gateway) ResidentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// AwaitReady waits until the gateway answers an empty query with EmptyQueryResponse.
func AwaitReady(addr string, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		c, err := Open(addr)
		if err != nil {
			continue
		}
		_ = c.Conn.SetDeadline(time.Now().Add(time.Second))
		if c.Send("") == nil {
			if a, err := c.Read(); err == nil && a.Empty {
				c.Conn.Close()
				return nil
			}
		}
		c.Conn.Close()
	}
	return errors.New("the gateway is not ready in time")
}

// Class describes a class of requests in the settings.
type Class struct {
	Name, Level, Repeat string
	Aim, Deadline       time.Duration
	Bound               time.Duration
	Worth, LateWorth    float64
}

// Settings returns the settings of a small deployment.
func Settings(classes []Class, sessions, discovery string) map[string]any {
	var lanes []any
	var levels []string
	var bounds []int64
	for _, c := range classes {
		lanes = append(lanes, map[string]any{"Name": c.Name, "GoalTimeUs": c.Aim.Microseconds(), "DeadlineUs": c.Deadline.Microseconds(),
			"Repeat": c.Repeat, "DedupWindowUs": 5000000, "Group": "all", "Streaming": false, "Worth": c.Worth, "LateWorth": c.LateWorth})
		levels, bounds = append(levels, c.Level), append(bounds, c.Bound.Microseconds())
	}
	return map[string]any{
		"Allowed": map[string]any{"Cancel": true, "ConnIdleUs": 15000000, "DialTimeoutUs": 250000, "MaxOpen": 33333, "MaxRetryAfterUs": 1000000,
			"MaxStreams": 1, "Peers": false, "Probes": true, "RetryAfter": true, "SecondCopies": true, "TryLimit": 6},
		"Discovery": discovery,
		"Domain": map[string]any{"Behind": "none", "ClassBoundUs": bounds, "PatienceUs": 0, "ProgressTold": true, "ReadLevel": levels,
			"SessionMarks": sessions, "ShowsRole": "delayed", "WaitsForCopy": true, "ZeroUs": 0},
		"Family": "replicas", "Flavors": []string{"m2"}, "Instances": 3, "Lanes": lanes, "Localities": []string{"a"},
		"Report": map[string]any{"Fields": []string{}, "Source": "none"}, "ResolutionUs": 5000,
		"Rules": map[string]any{"AnswerSlackUs": 20000, "ColdUs": 18000000, "DrainGraceUs": 2000000, "FallMultiple": 2.0, "FallUs": 1000000,
			"MustAskInUs": 10000000, "StartCapacity": 0.27},
		"SlotNo": 0, "Tier": 0, "Weights": "nominal", "WorthBy": "request", "Zone": 0,
	}
}

// Folders returns the repository's root and the folder of the case, and makes a temporary one, whose subfolder tmp is the gateway's.
func Folders() (root, caseDir, tmp string, cleanUp func(), err error) {
	root, caseDir = os.Getenv("REVIEW_ROOT"), os.Getenv("REVIEW_CASE")
	if root == "" || caseDir == "" {
		return "", "", "", nil, errors.New("REVIEW_ROOT and REVIEW_CASE are set by run.sh")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return "", "", "", nil, err
	}
	tmp = filepath.Join(dir, "tmp")
	return root, caseDir, tmp, func() { os.RemoveAll(dir) }, os.Mkdir(tmp, 0o700)
}
