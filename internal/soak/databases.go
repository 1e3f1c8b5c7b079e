// Troubles of databases and of discovery.

package soak

import (
	"strings"
	"time"

	"lilaccove/internal/standin"
)

// suspendDatabase has one gateway leave a database out, while others use it, and takes it back.
func (s *soak) suspendDatabase(t Fault) error {
	members := s.lab.World().Members()
	path := "/v1/databases/" + members[t.Number%len(members)].ID
	return s.each(t, func(i int) error {
		node := s.lab.Node(i)
		if _, err := node.Call("PUT", path+"/suspend"); err != nil {
			return nil // it may have left the list meanwhile
		}
		standin.Sleep(t.Duration, s.stop)
		_, err := node.Call("PUT", path+"/resume")
		return err
	})
}

// replica is one that a trouble may have, not always the same.
func (s *soak) replica(t Fault) *standin.Host {
	members := s.lab.World().Members()
	for k := range members {
		if h := members[(t.Number*7+k)%len(members)]; h.IsReplica() {
			return h
		}
	}
	return members[0]
}

// drainMore is how much longer than other troubles a drain lasts: beyond what any disturbance of watches excuses, and the grace.
const drainMore = 9 * time.Second

func (s *soak) drainDatabase(t Fault) error {
	h := s.replica(t)
	h.Announce("terminating", time.Time{})
	standin.Sleep(t.Duration+drainMore, s.stop)
	h.Announce("in_service", time.Time{})
	return nil
}

func (s *soak) replaceDatabase(t Fault) error {
	return s.lab.World().Replace(s.replica(t), 4*time.Second, nil)
}

func (s *soak) databasesHang(t Fault) error {
	resume := s.lab.World().Pause(0.1)
	standin.Sleep(t.Duration, s.stop)
	resume()
	return nil
}

func (s *soak) databasesHangUp(t Fault) error {
	for until := time.Now().Add(t.Duration); time.Now().Before(until); standin.Sleep(t.Duration/10, s.stop) {
		for k, h := range s.lab.World().Members() {
			if k%3 == t.Number%3 {
				h.CloseConnections()
			}
		}
	}
	return nil
}

func (s *soak) connectionsLate(t Fault) error {
	members := s.lab.World().Members()
	for k, h := range members {
		if k%3 == 0 {
			h.DelayGreeting(t.Duration / 4)
		}
	}
	standin.Sleep(t.Duration, s.stop)
	for _, h := range members {
		h.DelayGreeting(0)
	}
	return nil
}

// Replicas are this far behind while they lag; the bound of bounded reads is a second, and usually they are lagUsual behind.
const (
	lagMuch  = 2 * time.Second
	lagUsual = 10 * time.Millisecond
)

// replicasLag has a third of the databases fall behind, where they are replicas.
func (s *soak) replicasLag(t Fault) error {
	members := s.lab.World().Members()
	for k, h := range members {
		if k%3 == t.Number%3 && h.IsReplica() {
			h.SetLag(lagMuch)
		}
	}
	standin.Sleep(t.Duration, s.stop)
	for _, h := range members {
		h.SetLag(lagUsual)
	}
	return nil
}

func (s *soak) failOver(Fault) error {
	s.lab.World().FailOver(0.12)
	return nil
}

// answers is a trouble in which databases' answers go wrong.
func answers(f standin.Faults) func(s *soak, t Fault) error {
	return func(s *soak, t Fault) error {
		s.lab.World().SetFaults(f)
		standin.Sleep(t.Duration, s.stop)
		s.lab.World().SetFaults(standin.Faults{})
		return nil
	}
}

func (s *soak) discoverySilent(Fault) error {
	s.lab.World().SilenceWatches()
	return nil
}

func (s *soak) discoveryDown(t Fault) error {
	s.lab.World().SetDiscoveryDown(true)
	standin.Sleep(t.Duration, s.stop)
	s.lab.World().SetDiscoveryDown(false)
	return nil
}

func (s *soak) discoverySpoilt(t Fault) error {
	for _, line := range []string{"no JSON\n", `{"seq":1,"whole":false,"hosts":[{"host":` + "\n", strings.Repeat(" ", 100) + "\n"} {
		s.lab.World().SendToWatches(line)
		standin.Sleep(t.Duration/3, s.stop)
	}
	return nil
}

// slowCall is how long a call to a slow discovery takes: with the silence before it and the pause behind that, six seconds hold.
const slowCall = 600 * time.Millisecond

// discoverySlow has calls take long, and some of them end in a refusal behind the wait.
func (s *soak) discoverySlow(t Fault) error {
	if s.lab.PushDiscovery {
		return nil // an agent answers at once
	}
	s.lab.World().SlowDiscovery(slowCall, 0.3)
	standin.Sleep(t.Duration, s.stop)
	s.lab.World().SlowDiscovery(0, 0)
	return nil
}

// discoveryRestored has discovery come back as from a backup.
func (s *soak) discoveryRestored(Fault) error {
	s.lab.World().RestoreDiscovery()
	return nil
}
