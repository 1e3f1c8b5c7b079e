// Troubles of gateways: their processes, machines, links and operators.

package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"lilaccove/internal/lab"
	"lilaccove/internal/load/plan"
	"lilaccove/internal/standin"
	"lilaccove/internal/stats"
)

// restartPause is how long a gateway is away between two processes.
const restartPause = 200 * time.Millisecond

func (s *soak) kill(t Fault) error {
	return s.eachGateway(t, func(i int) error {
		defer s.judge.excuse(s.lab.Node(i).Name)()
		s.lab.Node(i).Kill()
		standin.Sleep(t.Duration/2, s.stop)
		return s.start(i)
	})
}

// gracefulRestart ends a process in order. What it has read it owes; nothing is excused but the time in which nobody listens.
func (s *soak) gracefulRestart(t Fault) error {
	return s.eachGateway(t, func(i int) error {
		s.terminate(s.lab.Node(i))
		standin.Sleep(restartPause, s.stop)
		return s.start(i)
	})
}

func (s *soak) pauseProcess(t Fault) error {
	return s.eachGateway(t, func(i int) error {
		node := s.lab.Node(i)
		defer s.judge.excuse(node.Name)()
		if err := node.Pause(); err != nil {
			return err
		}
		standin.Sleep(t.Duration, s.stop)
		if err := node.Resume(); err != nil {
			return err
		}
		standin.Sleep(restartPause, s.stop) // what it stood still with is answered late
		return nil
	})
}

// reload moves a gateway from one address of discovery to the other and back, signals in quick succession.
func (s *soak) reload(t Fault) error {
	s.lab.World().NoteWatchDisturbance()
	for _, i := range t.Gateways {
		node := s.lab.Node(i)
		for k := range 5 {
			text, err := os.ReadFile(node.ConfigPath)
			if errors.Is(err, fs.ErrNotExist) {
				break // another trouble has taken its folder away
			}
			if err != nil {
				return err
			}
			var config map[string]any
			if err := json.Unmarshal(text, &config); err != nil {
				return err
			}
			config["discovery"] = s.discoveries[k%2].Addr
			if text, err = json.Marshal(config); err != nil {
				return err
			}
			if err := os.WriteFile(node.ConfigPath, text, 0o600); errors.Is(err, fs.ErrNotExist) {
				break
			} else if err != nil {
				return err
			}
			if err := node.Signal(syscall.SIGHUP); err != nil {
				return err
			}
			standin.Sleep(t.Duration/20, s.stop)
		}
	}
	return nil
}

// heldGateway is a gateway whose socket the lab holds, in a trouble's place for one.
func (s *soak) heldGateway(t Fault) int {
	return s.lab.HeldSockets[t.Gateways[0]%len(s.lab.HeldSockets)]
}

// withSuccessor starts a second process of a gateway whose socket the lab holds, waits until it is ready, and does something to both.
func (s *soak) withSuccessor(t Fault, do func(i int, old, successor *lab.Node) error) error {
	i := s.heldGateway(t)
	if !s.reserve(i) {
		return nil
	}
	defer s.release(i)
	old := s.lab.Node(i)
	if err := s.start(i); err != nil {
		return err
	}
	next := s.lab.Node(i)
	s.waitReady(next)
	return do(i, old, next)
}

// terminate ends a process in order; one that does not end in time is a violation.
func (s *soak) terminate(node *lab.Node) {
	if err := node.Terminate(); err != nil {
		s.judge.recordViolation("no_end", 1, "%v", err)
	}
}

func (s *soak) upgrade(t Fault) error {
	return s.withSuccessor(t, func(_ int, old, _ *lab.Node) error {
		s.terminate(old)
		return nil
	})
}

// killSuccessor kills the process beside an old one that has begun to leave to it.
func (s *soak) killSuccessor(t Fault) error {
	return s.withSuccessor(t, func(i int, old, next *lab.Node) error {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.terminate(old)
		}()
		standin.Sleep(t.Duration/10, s.stop)
		defer s.judge.excuse(old.Name)()
		next.Kill()
		err := s.start(i)
		<-ended
		return err
	})
}

// systemCallFaults has a gateway's process followed by one whose system calls fail for a while.
func (s *soak) systemCallFaults(t Fault) error {
	if s.options.FaultyProgram == "" {
		return nil
	}
	faults := drawSystemCallFaults(rand.New(rand.NewPCG(s.options.Seed, uint64(t.Number))), t.Duration)
	return s.eachGateway(t, func(i int) error {
		s.terminate(s.lab.Node(i))
		return s.startFaulty(t, i, map[string]any{"seed": s.options.Seed, "faults": faults})
	})
}

// startFaulty runs a gateway anew whose system calls go by a plan.
func (s *soak) startFaulty(t Fault, i int, plan map[string]any) error {
	path := filepath.Join(s.dir, fmt.Sprintf("faults-%d-%d.json", t.Number, i))
	text, err := json.Marshal(plan)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		return err
	}
	_, err = s.startCommand(i, []string{s.options.FaultyProgram}, "LILACCOVE_FAULTS="+path)
	return err
}

// clockSteps are by how much wall clocks are stepped between two starts.
var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, -800 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second, time.Hour}

// clockStep has a gateway killed, or ended, and started again with its wall clock off for good.
func (s *soak) clockStep(t Fault) error {
	if s.options.FaultyProgram == "" {
		return nil
	}
	step := clockSteps[t.Number%len(clockSteps)]
	return s.eachGateway(t, func(i int) error {
		if node := s.lab.Node(i); t.Number%2 == 0 {
			defer s.judge.excuse(node.Name)()
			node.Kill()
		} else {
			s.terminate(node)
		}
		return s.startFaulty(t, i, map[string]any{"wall_step_ms": step.Milliseconds()})
	})
}

// removePrivateDir takes the private directory of a gateway away while an operator leaves a database out there, and starts a second
// process when it is back. A yes that the operator had holds in that one, too.
func (s *soak) removePrivateDir(t Fault) error {
	i := s.heldGateway(t)
	if !s.reserve(i) {
		return nil
	}
	defer s.release(i)
	dir, err := s.lab.PrivateDir(i)
	if err != nil {
		return err
	}
	old, id := s.lab.Node(i), s.pickReplica(t).ID
	if err := os.Rename(dir, dir+"-away"); err != nil {
		return err
	}
	_, suspendErr := old.Call("PUT", "/v1/databases/"+id+"/suspend")
	standin.Sleep(t.Duration/4, s.stop)
	if err := os.Rename(dir+"-away", dir); err != nil {
		return err
	}
	standin.Sleep(time.Second, s.stop) // the word is written again, which is due within a poll
	if err := s.start(i); err != nil {
		return err
	}
	successor := s.lab.Node(i)
	s.waitReady(successor)
	if skipped := skippedDatabases(successor); suspendErr == nil && skipped == 0 {
		s.judge.recordViolation("word_lost", 1, "%s does not know that %s is left out", successor.Name, id)
	}
	s.terminate(old)
	_, _ = successor.Call("PUT", "/v1/databases/"+id+"/resume") // it may have left the list
	return nil
}

// skippedDatabases is how many databases a gateway sends nothing to.
func skippedDatabases(node *lab.Node) int {
	text, err := node.Call("GET", "/v1/metrics")
	if err != nil {
		return 0
	}
	return int(stats.Parse(text)["skipped_databases"])
}

// drawSystemCallFaults are ways in which calls fail now and then, for so long.
func drawSystemCallFaults(rng *rand.Rand, length time.Duration) (list []map[string]any) {
	for _, fault := range []map[string]any{
		{"call": "accept", "error": "ECONNABORTED"}, {"call": "accept", "error": "ENFILE"}, {"call": "accept", "error": "EPROTO"},
		{"call": "socket", "error": "ENFILE"}, {"call": "connect", "error": "EADDRNOTAVAIL"}, {"call": "connect", "error": "ENETUNREACH"},
		{"call": "epoll_add", "error": "ENOSPC"}, {"call": "epoll_mod", "error": "ENOMEM"}, {"call": "epoll_wait", "error": "EINTR"},
		{"call": "epoll_wait", "delay_ms": 100}, {"call": "read", "short": 9}, {"call": "write", "short": 9},
		{"call": "create", "error": "ENOSPC"}, {"call": "write_file", "error": "ENOSPC"}, {"call": "rename", "error": "EIO"},
	} {
		if rng.IntN(2) == 0 {
			fault["share"], fault["for_ms"] = 0.05+0.2*rng.Float64(), length.Milliseconds()
			list = append(list, fault)
		}
	}
	return list
}

func (s *soak) drainGateway(t Fault) error {
	return s.eachGateway(t, func(i int) error {
		node := s.lab.Node(i)
		if _, err := node.Call("PUT", "/v1/gateway/drain"); err != nil {
			return err
		}
		standin.Sleep(t.Duration, s.stop)
		_, err := node.Call("PUT", "/v1/gateway/activate")
		return err
	})
}

// partition cuts some gateways off from the others.
func (s *soak) partition(t Fault) error {
	isolated := map[int]bool{}
	for _, i := range t.Gateways {
		isolated[i] = true
	}
	var rest []int
	for i := range s.options.Gateways {
		if !isolated[i] {
			rest = append(rest, i)
		}
	}
	s.lab.Mesh().Partition([][]int{t.Gateways, rest}, true)
	standin.Sleep(t.Duration, s.stop)
	s.lab.Mesh().Partition([][]int{t.Gateways, rest}, false)
	return nil
}

func (s *soak) lossyLinks(t Fault) error {
	s.setLinks(plan.Link{Loss: 0.15, Duplicate: 0.1, Reorder: 0.2, Corrupt: 0.02, Delay: 20 * time.Millisecond, Jitter: 30 * time.Millisecond})
	standin.Sleep(t.Duration, s.stop)
	s.setLinks(plan.Link{})
	return nil
}

func (s *soak) setLinks(link plan.Link) {
	for i := range s.options.Gateways {
		for j := range s.options.Gateways {
			if i != j {
				s.lab.Mesh().SetLink(i, j, link)
			}
		}
	}
}

// start runs a gateway anew.
func (s *soak) start(i int) error {
	_, err := s.startCommand(i, s.lab.Gateway)
	return err
}

// startCommand is start with another program. A process that does not start in time is one that crashed.
func (s *soak) startCommand(i int, command []string, env ...string) (*lab.Node, error) {
	start := time.Now()
	node, err := s.lab.StartCommand(i, command, env...)
	if err != nil {
		s.judge.recordViolation("no_start", 1, "%v", err)
		return nil, nil
	}
	s.judge.registerProcess(node)
	s.mu.Lock()
	s.restarts++
	s.mu.Unlock()
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		if s.waitReady(node) {
			s.mu.Lock()
			s.readyTimes = append(s.readyTimes, time.Since(start))
			s.mu.Unlock()
		}
	}()
	return node, nil
}

const readyTimeout = 10 * time.Second

// waitReady waits until a process says that it serves; false: it ends first, or does not in time.
func (s *soak) waitReady(node *lab.Node) bool {
	for deadline := time.Now().Add(readyTimeout); node.Alive(); time.Sleep(20 * time.Millisecond) {
		if _, err := node.Call("GET", "/v1/readyz"); err == nil {
			return true
		}
		if time.Now().After(deadline) {
			s.judge.recordViolation("not_ready", 1, "%s within %v", node.Name, readyTimeout)
			return false
		}
	}
	return false
}
