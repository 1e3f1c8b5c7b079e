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
	return s.eachGateway(t, func(i int) error {
		node := s.lab.Node(i)
		if _, err := node.Call("PUT", path+"/suspend"); err != nil {
			return nil // it may have left the list meanwhile
		}
		standin.Sleep(t.Duration, s.stop)
		_, err := node.Call("PUT", path+"/resume")
		return err
	})
}

// pickReplica is one that a trouble may have, not always the same.
func (s *soak) pickReplica(t Fault) *standin.Host {
	members := s.lab.World().Members()
	for k := range members {
		if host := members[(t.Number*7+k)%len(members)]; host.IsReplica() {
			return host
		}
	}
	return members[0]
}

// extraDrainTime is how much longer than other troubles a drain lasts: beyond what any disturbance of watches excuses, and the grace.
const extraDrainTime = 9 * time.Second

func (s *soak) drainDatabase(t Fault) error {
	host := s.pickReplica(t)
	host.Announce("terminating", time.Time{})
	standin.Sleep(t.Duration+extraDrainTime, s.stop)
	host.Announce("in_service", time.Time{})
	return nil
}

func (s *soak) replaceDatabase(t Fault) error {
	return s.lab.World().Replace(s.pickReplica(t), 4*time.Second, nil)
}

func (s *soak) databasesHang(t Fault) error {
	resume := s.lab.World().Pause(0.1)
	standin.Sleep(t.Duration, s.stop)
	resume()
	return nil
}

func (s *soak) databasesCloseConnections(t Fault) error {
	for end := time.Now().Add(t.Duration); time.Now().Before(end); standin.Sleep(t.Duration/10, s.stop) {
		for k, host := range s.lab.World().Members() {
			if k%3 == t.Number%3 {
				host.CloseConnections()
			}
		}
	}
	return nil
}

func (s *soak) delayGreetings(t Fault) error {
	members := s.lab.World().Members()
	for k, host := range members {
		if k%3 == 0 {
			host.DelayGreeting(t.Duration / 4)
		}
	}
	standin.Sleep(t.Duration, s.stop)
	for _, host := range members {
		host.DelayGreeting(0)
	}
	return nil
}

// Replicas are this far behind while they lag; the bound of bounded reads is a second, and usually they are normalLag behind.
const (
	faultLag  = 2 * time.Second
	normalLag = 10 * time.Millisecond
)

// replicasLag has a third of the databases fall behind, where they are replicas.
func (s *soak) replicasLag(t Fault) error {
	members := s.lab.World().Members()
	for k, host := range members {
		if k%3 == t.Number%3 && host.IsReplica() {
			host.SetLag(faultLag)
		}
	}
	standin.Sleep(t.Duration, s.stop)
	for _, host := range members {
		host.SetLag(normalLag)
	}
	return nil
}

func (s *soak) failOver(Fault) error {
	s.lab.World().FailOver(0.12)
	return nil
}

// answerFaults is a trouble in which databases' answerFaults go wrong.
func answerFaults(faults standin.Faults) func(s *soak, t Fault) error {
	return func(s *soak, t Fault) error {
		s.lab.World().SetFaults(faults)
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

func (s *soak) discoveryMalformed(t Fault) error {
	for _, line := range []string{"no JSON\n", `{"seq":1,"whole":false,"hosts":[{"host":` + "\n", strings.Repeat(" ", 100) + "\n"} {
		s.lab.World().SendToWatches(line)
		standin.Sleep(t.Duration/3, s.stop)
	}
	return nil
}

// slowCallTime is how long a call to a slow discovery takes: with the silence before it and the pause behind that, six seconds hold.
const slowCallTime = 600 * time.Millisecond

// discoverySlow has calls take long, and some of them end in a refusal behind the wait.
func (s *soak) discoverySlow(t Fault) error {
	if s.lab.PushDiscovery {
		return nil // an agent answers at once
	}
	s.lab.World().SlowDiscovery(slowCallTime, 0.3)
	standin.Sleep(t.Duration, s.stop)
	s.lab.World().SlowDiscovery(0, 0)
	return nil
}

// discoveryRestored has discovery come back as from a backup.
func (s *soak) discoveryRestored(Fault) error {
	s.lab.World().RestoreDiscovery()
	return nil
}
