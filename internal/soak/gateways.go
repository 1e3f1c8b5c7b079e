// Faults of gateways: of their processes, machines and links, and instructions of operators.

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

func (s *soak) kill(fault Fault) error {
	return s.eachGateway(fault, func(i int) error {
		defer s.judge.excuse(s.lab.Node(i).Name)()
		s.lab.Node(i).Kill()
		standin.Sleep(fault.Duration/2, s.stop)
		return s.start(i)
	})
}

// pauseProcess stops a process with a signal and lets it continue.
func (s *soak) pauseProcess(fault Fault) error {
	return s.eachGateway(fault, func(i int) error {
		node := s.lab.Node(i)
		defer s.judge.excuse(node.Name)()
		if err := node.Pause(); err != nil {
			return err
		}
		standin.Sleep(fault.Duration, s.stop)
		if err := node.Resume(); err != nil {
			return err
		}
		standin.Sleep(restartPause, s.stop) // requests that were pending during the pause are answered late
		return nil
	})
}

// reload switches a gateway between two discovery addresses, with reload signals in quick succession.
func (s *soak) reload(fault Fault) error {
	s.lab.World().NoteWatchDisturbance()
	for _, i := range fault.Gateways {
		node := s.lab.Node(i)
		for k := range 5 {
			text, err := os.ReadFile(node.ConfigPath)
			if errors.Is(err, fs.ErrNotExist) {
				break // another fault has moved its directory away
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
			standin.Sleep(fault.Duration/20, s.stop)
		}
	}
	return nil
}

// heldGateway returns the gateway for a fault that needs one whose socket is held by the lab.
func (s *soak) heldGateway(fault Fault) int {
	return s.lab.HeldSockets[fault.Gateways[0]%len(s.lab.HeldSockets)]
}

// withSuccessor starts a second process of a gateway whose socket the lab holds, waits until it is ready, and calls do
// with both.
func (s *soak) withSuccessor(fault Fault, do func(i int, old, successor *lab.Node) error) error {
	i := s.heldGateway(fault)
	if !s.reserve(i) {
		return nil
	}
	defer s.release(i)
	old := s.lab.Node(i)
	if err := s.start(i); err != nil {
		return err
	}
	successor := s.lab.Node(i)
	s.waitReady(successor)
	return do(i, old, successor)
}

func (s *soak) upgrade(fault Fault) error {
	return s.withSuccessor(fault, func(_ int, old, _ *lab.Node) error {
		s.terminate(old)
		return nil
	})
}

// killSuccessor kills the successor while its predecessor shuts down.
func (s *soak) killSuccessor(fault Fault) error {
	return s.withSuccessor(fault, func(i int, old, successor *lab.Node) error {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.terminate(old)
		}()
		standin.Sleep(fault.Duration/10, s.stop)
		defer s.judge.excuse(old.Name)()
		successor.Kill()
		err := s.start(i)
		<-ended
		return err
	})
}

// systemCallFaults replaces a gateway's process with one whose system calls fail for a while.
func (s *soak) systemCallFaults(fault Fault) error {
	if s.options.FaultyProgram == "" {
		return nil
	}
	faults := drawSystemCallFaults(s.faultRand(fault), fault.Duration)
	return s.eachGateway(fault, func(i int) error {
		s.terminate(s.lab.Node(i))
		return s.startFaulty(fault, i, map[string]any{"seed": s.options.Seed, "faults": faults})
	})
}

// startFaulty starts a gateway with the fault plan of its system calls.
func (s *soak) startFaulty(fault Fault, i int, faultPlan map[string]any) error {
	path := filepath.Join(s.dir, fmt.Sprintf("faults-%d-%d.json", fault.Number, i))
	text, err := json.Marshal(faultPlan)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		return err
	}
	_, err = s.startCommand(i, []string{s.options.FaultyProgram}, "LILACCOVE_FAULTS="+path)
	return err
}

// clockSteps are the offsets of the wall clock of a restarted gateway.
var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, -800 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second, time.Hour}

// clockStep kills or terminates a gateway and starts it again with a permanent offset of its wall clock.
func (s *soak) clockStep(fault Fault) error {
	if s.options.FaultyProgram == "" {
		return nil
	}
	step := clockSteps[fault.Number%len(clockSteps)]
	return s.eachGateway(fault, func(i int) error {
		if node := s.lab.Node(i); fault.Number%2 == 0 {
			defer s.judge.excuse(node.Name)()
			node.Kill()
		} else {
			s.terminate(node)
		}
		return s.startFaulty(fault, i, map[string]any{"wall_step_ms": step.Milliseconds()})
	})
}

// removePrivateDir moves the private directory of a gateway away while an operator suspends a database there, and
// starts a second process when the directory is back. If the gateway accepted the override, it must be active in the
// second process, too.
func (s *soak) removePrivateDir(fault Fault) error {
	i := s.heldGateway(fault)
	if !s.reserve(i) {
		return nil
	}
	defer s.release(i)
	dir, err := s.lab.PrivateDir(i)
	if err != nil {
		return err
	}
	old, id := s.lab.Node(i), s.pickReplica(fault).ID
	if err := os.Rename(dir, dir+"-away"); err != nil {
		return err
	}
	_, suspendErr := old.Call("PUT", "/v1/databases/"+id+"/suspend")
	standin.Sleep(fault.Duration/4, s.stop)
	if err := os.Rename(dir+"-away", dir); err != nil {
		return err
	}
	standin.Sleep(time.Second, s.stop) // the gateway writes the override again within a poll interval
	if err := s.start(i); err != nil {
		return err
	}
	successor := s.lab.Node(i)
	s.waitReady(successor)
	if skipped := skippedDatabases(successor); suspendErr == nil && skipped == 0 {
		s.judge.recordViolation("word_lost", 1, "%s does not know that %s is suspended", successor.Name, id)
	}
	s.terminate(old)
	_, _ = successor.Call("PUT", "/v1/databases/"+id+"/resume") // the database may have left the list
	return nil
}

// skippedDatabases returns the number of databases to which a gateway sends no requests.
func skippedDatabases(node *lab.Node) int {
	text, err := node.Call("GET", "/v1/metrics")
	if err != nil {
		return 0
	}
	return int(stats.Parse(text)["skipped_databases"])
}

// drawSystemCallFaults draws faults of system calls that last for duration, each on a share of the calls.
func drawSystemCallFaults(rng *rand.Rand, duration time.Duration) (list []map[string]any) {
	for _, fault := range []map[string]any{
		{"call": "accept", "error": "ECONNABORTED"}, {"call": "accept", "error": "ENFILE"}, {"call": "accept", "error": "EPROTO"},
		{"call": "socket", "error": "ENFILE"}, {"call": "connect", "error": "EADDRNOTAVAIL"}, {"call": "connect", "error": "ENETUNREACH"},
		{"call": "epoll_add", "error": "ENOSPC"}, {"call": "epoll_mod", "error": "ENOMEM"}, {"call": "epoll_wait", "error": "EINTR"},
		{"call": "epoll_wait", "delay_ms": 100}, {"call": "read", "short": 9}, {"call": "write", "short": 9},
		{"call": "create", "error": "ENOSPC"}, {"call": "write_file", "error": "ENOSPC"}, {"call": "rename", "error": "EIO"},
	} {
		if rng.IntN(2) == 0 {
			fault["share"], fault["for_ms"] = 0.05+0.2*rng.Float64(), duration.Milliseconds()
			list = append(list, fault)
		}
	}
	return list
}

func (s *soak) drainGateway(fault Fault) error {
	return s.eachGateway(fault, func(i int) error {
		node := s.lab.Node(i)
		if _, err := node.Call("PUT", "/v1/gateway/drain"); err != nil {
			return err
		}
		standin.Sleep(fault.Duration, s.stop)
		_, err := node.Call("PUT", "/v1/gateway/activate")
		return err
	})
}

// partition cuts the links between the affected gateways and the others.
func (s *soak) partition(fault Fault) error {
	isolated := map[int]bool{}
	for _, i := range fault.Gateways {
		isolated[i] = true
	}
	var others []int
	for i := range s.options.Gateways {
		if !isolated[i] {
			others = append(others, i)
		}
	}
	s.lab.Mesh().Partition([][]int{fault.Gateways, others}, true)
	standin.Sleep(fault.Duration, s.stop)
	s.lab.Mesh().Partition([][]int{fault.Gateways, others}, false)
	return nil
}

func (s *soak) lossyLinks(fault Fault) error {
	s.setLinks(plan.Link{Loss: 0.15, Duplicate: 0.1, Reorder: 0.2, Corrupt: 0.02, Delay: 20 * time.Millisecond, Jitter: 30 * time.Millisecond})
	standin.Sleep(fault.Duration, s.stop)
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

// start starts a new process of a gateway.
func (s *soak) start(i int) error {
	_, err := s.startCommand(i, s.lab.Gateway)
	return err
}

// startCommand is start with a given command. It is a violation if the process does not start in time.
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
			s.readyDurations = append(s.readyDurations, time.Since(start))
			s.mu.Unlock()
		}
	}()
	return node, nil
}

const readyTimeout = 10 * time.Second

// waitReady waits until a process reports that it is ready. It returns false if the process ends first or is not ready
// in time.
func (s *soak) waitReady(node *lab.Node) bool {
	for deadline := time.Now().Add(readyTimeout); node.Alive(); time.Sleep(20 * time.Millisecond) {
		if _, err := node.Call("GET", "/v1/readyz"); err == nil {
			return true
		}
		if time.Now().After(deadline) {
			s.judge.recordViolation("not_ready", 1, "%s is not ready within %v", node.Name, readyTimeout)
			return false
		}
	}
	return false
}
