package soak

import (
	"time"

	"lilaccove/internal/standin"
)

// faultKind is how one trouble is done.
type faultKind struct {
	gateways int // to how many; 0: to none of them
	apply    func(s *soak, t Fault) error
}

// faultKinds are all troubles by their names.
var faultKinds map[string]faultKind

func init() { // the functions read the table of names through Draw

	faultKinds = map[string]faultKind{
		"kill":                {2, (*soak).kill},
		"end":                 {2, (*soak).gracefulRestart},
		"stand-still":         {2, (*soak).pauseProcess},
		"reload":              {4, (*soak).reload},
		"upgrade":             {1, (*soak).upgrade},
		"successor-killed":    {1, (*soak).killSuccessor},
		"system-calls":        {2, (*soak).systemCallFaults},
		"clock-step":          {2, (*soak).clockStep},
		"folder-away":         {1, (*soak).removePrivateDir},
		"drain-gateway":       {1, (*soak).drainGateway},
		"partition":           {3, (*soak).partition},
		"lossy-links":         {0, (*soak).lossyLinks},
		"suspend-database":    {1, (*soak).suspendDatabase},
		"drain-database":      {0, (*soak).drainDatabase},
		"replace-database":    {0, (*soak).replaceDatabase},
		"databases-hang":      {0, (*soak).databasesHang},
		"databases-hang-up":   {0, (*soak).databasesCloseConnections},
		"connections-late":    {0, (*soak).delayGreetings},
		"fail-over":           {0, (*soak).failOver},
		"replicas-lag":        {0, (*soak).replicasLag},
		"resets":              {0, answerFaults(standin.Faults{ResetBefore: 0.15, ResetAfter: 0.15})},
		"silence":             {0, answerFaults(standin.Faults{Silence: 0.12})},
		"spoilt-answers":      {0, answerFaults(standin.Faults{Malformed: 0.12, Errors: 0.12})},
		"discovery-silent":    {0, (*soak).discoverySilent},
		"discovery-down":      {0, (*soak).discoveryDown},
		"discovery-spoilt":    {0, (*soak).discoveryMalformed},
		"discovery-slow":      {0, (*soak).discoverySlow},
		"discovery-restored":  {0, (*soak).discoveryRestored},
		"clients-leave":       {2, clientFaults((*badClient).disconnect)},
		"clients-cancel":      {2, clientFaults((*badClient).cancel)},
		"clients-stop-midway": {2, clientFaults((*badClient).stopMidway)},
		"clients-pipeline":    {2, clientFaults((*badClient).pipeline)},
		"clients-rest":        {2, clientFaults((*badClient).idleThenQuery)},
	}
}

// reserve reserves a gateway, so that two troubles do not start and end processes of it at once; false: it has one.
func (s *soak) reserve(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[i] {
		return false
	}
	s.reserved[i] = true
	return true
}

func (s *soak) release(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, i)
}

// eachGateway does something to eachGateway gateway of a trouble that no other trouble has just now, side by side.
func (s *soak) eachGateway(fault Fault, do func(i int) error) error {
	results := make(chan error, len(fault.Gateways))
	started := 0
	for _, i := range fault.Gateways {
		if !s.reserve(i) {
			continue
		}
		started++
		go func() {
			defer s.release(i)
			results <- do(i)
		}()
	}
	var first error
	for range started {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// clientFaults is a trouble in which bad clientFaults come to gateways, one after the other.
func clientFaults(do func(c *badClient)) func(s *soak, t Fault) error {
	return func(s *soak, t Fault) error {
		end := time.Now().Add(t.Duration)
		done := make(chan struct{})
		for _, i := range t.Gateways {
			go func() {
				defer func() { done <- struct{}{} }()
				for time.Now().Before(end) {
					if c, err := s.connectBadClient(i); err == nil {
						do(c)
						c.Close()
					}
					standin.Sleep(badClientPause, s.stop)
				}
			}()
		}
		for range t.Gateways {
			<-done
		}
		return nil
	}
}
