// Faults of databases and of discovery.

package soak

import (
	"strings"
	"time"

	"lilaccove/internal/standin"
)

// suspendDatabase suspends a database on one gateway while the others use it, and resumes it.
func (s *soak) suspendDatabase(fault Fault) error {
	members := s.lab.World().Members()
	path := "/v1/databases/" + members[fault.Number%len(members)].ID
	return s.eachGateway(fault, func(i int) error {
		node := s.lab.Node(i)
		if _, err := node.Call("PUT", path+"/suspend"); err != nil {
			return nil // the database may have left the list in the meantime
		}
		standin.Sleep(fault.Duration, s.stop)
		_, err := node.Call("PUT", path+"/resume")
		return err
	})
}

// pickReplica returns a replica for a fault, not always the same one.
func (s *soak) pickReplica(fault Fault) *standin.Host {
	members := s.lab.World().Members()
	for k := range members {
		if host := members[(fault.Number*7+k)%len(members)]; host.IsReplica() {
			return host
		}
	}
	return members[0]
}

// extraDrainTime is how much longer than other faults a drain lasts: longer than any excused disturbance of watches
// plus the drain grace.
const extraDrainTime = 9 * time.Second

// drainDatabase announces that a replica is terminating, and later that it is in service again.
func (s *soak) drainDatabase(fault Fault) error {
	host := s.pickReplica(fault)
	host.Announce("terminating", time.Time{})
	standin.Sleep(fault.Duration+extraDrainTime, s.stop)
	host.Announce("in_service", time.Time{})
	return nil
}

func (s *soak) replaceDatabase(fault Fault) error {
	return s.lab.World().Replace(s.pickReplica(fault), 4*time.Second, nil)
}

func (s *soak) databasesHang(fault Fault) error {
	resume := s.lab.World().Pause(0.1)
	standin.Sleep(fault.Duration, s.stop)
	resume()
	return nil
}

func (s *soak) databasesCloseConnections(fault Fault) error {
	for end := time.Now().Add(fault.Duration); time.Now().Before(end); standin.Sleep(fault.Duration/10, s.stop) {
		for k, host := range s.lab.World().Members() {
			if k%3 == fault.Number%3 {
				host.CloseConnections()
			}
		}
	}
	return nil
}

// delayGreetings makes a third of the databases greet new connections late.
func (s *soak) delayGreetings(fault Fault) error {
	members := s.lab.World().Members()
	for k, host := range members {
		if k%3 == 0 {
			host.DelayGreeting(fault.Duration / 4)
		}
	}
	standin.Sleep(fault.Duration, s.stop)
	for _, host := range members {
		host.DelayGreeting(0)
	}
	return nil
}

// Replication lag with and without the fault.
const (
	faultLag  = 2 * time.Second // exceeds the staleness bound of 1 s
	normalLag = 10 * time.Millisecond
)

// replicasLag increases the lag of the replicas among a third of the databases.
func (s *soak) replicasLag(fault Fault) error {
	members := s.lab.World().Members()
	for k, host := range members {
		if k%3 == fault.Number%3 && host.IsReplica() {
			host.SetLag(faultLag)
		}
	}
	standin.Sleep(fault.Duration, s.stop)
	for _, host := range members {
		host.SetLag(normalLag)
	}
	return nil
}

func (s *soak) failOver(Fault) error {
	s.lab.World().FailOver(0.12)
	return nil
}

// answerFaults returns a fault in which the databases answer incorrectly or not at all.
func answerFaults(faults standin.Faults) func(s *soak, fault Fault) error {
	return func(s *soak, fault Fault) error {
		s.lab.World().SetFaults(faults)
		standin.Sleep(fault.Duration, s.stop)
		s.lab.World().SetFaults(standin.Faults{})
		return nil
	}
}

func (s *soak) discoverySilent(Fault) error {
	s.lab.World().SilenceWatches()
	return nil
}

func (s *soak) discoveryDown(fault Fault) error {
	s.lab.World().SetDiscoveryDown(true)
	standin.Sleep(fault.Duration, s.stop)
	s.lab.World().SetDiscoveryDown(false)
	return nil
}

// discoveryMalformed sends invalid lines to the watches.
func (s *soak) discoveryMalformed(fault Fault) error {
	for _, line := range []string{"no JSON\n", `{"seq":1,"whole":false,"hosts":[{"host":` + "\n", strings.Repeat(" ", 100) + "\n"} {
		s.lab.World().SendToWatches(line)
		standin.Sleep(fault.Duration/3, s.stop)
	}
	return nil
}

// slowCallTime is the duration of a call to a slow discovery. Together with the silence before the call and the pause
// after it, it stays within the limit of six seconds.
const slowCallTime = 600 * time.Millisecond

// discoverySlow makes calls slow, and refuses some of them after the wait.
func (s *soak) discoverySlow(fault Fault) error {
	if s.lab.PushDiscovery {
		return nil // an agent answers at once
	}
	s.lab.World().SlowDiscovery(slowCallTime, 0.3)
	standin.Sleep(fault.Duration, s.stop)
	s.lab.World().SlowDiscovery(0, 0)
	return nil
}

// discoveryRestored restarts discovery with the state of a backup.
func (s *soak) discoveryRestored(Fault) error {
	s.lab.World().RestoreDiscovery()
	return nil
}
