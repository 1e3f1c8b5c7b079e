package soak

import (
	"time"

	"lilaccove/internal/standin"
)

// faultKind describes how a fault is injected.
type faultKind struct {
	gateways int // number of affected gateways; 0: it does not act on single gateways
	apply    func(s *soak, fault Fault) error
}

// faultKinds holds all kinds of faults by name.
var faultKinds map[string]faultKind

// init fills faultKinds: an initializer would be a cycle, as the functions refer to the table.
func init() {
	faultKinds = map[string]faultKind{
		"kill":                 {2, (*soak).kill},
		"end":                  {2, (*soak).gracefulRestart},
		"end-paused":           {1, (*soak).pausedEnd},
		"signals":              {2, (*soak).signalsInSeries},
		"signals-before-ready": {1, (*soak).signalsBeforeReady},
		"signals-at-handover":  {1, (*soak).signalsDuringHandover},
		"crowd":                {2, (*soak).crowd},
		"stand-still":          {2, (*soak).pauseProcess},
		"reload":               {4, (*soak).reload},
		"upgrade":              {1, (*soak).upgrade},
		"successor-killed":     {1, (*soak).killSuccessor},
		"system-calls":         {2, (*soak).systemCallFaults},
		"clock-step":           {2, (*soak).clockStep},
		"folder-away":          {1, (*soak).removePrivateDir},
		"drain-gateway":        {1, (*soak).drainGateway},
		"partition":            {3, (*soak).partition},
		"lossy-links":          {0, (*soak).lossyLinks},
		"suspend-database":     {1, (*soak).suspendDatabase},
		"drain-database":       {0, (*soak).drainDatabase},
		"replace-database":     {0, (*soak).replaceDatabase},
		"databases-hang":       {0, (*soak).databasesHang},
		"databases-hang-up":    {0, (*soak).databasesCloseConnections},
		"connections-late":     {0, (*soak).delayGreetings},
		"fail-over":            {0, (*soak).failOver},
		"replicas-lag":         {0, (*soak).replicasLag},
		"resets":               {0, answerFaults(standin.Faults{ResetBefore: 0.15, ResetAfter: 0.15})},
		"silence":              {0, answerFaults(standin.Faults{Silence: 0.12})},
		"spoilt-answers":       {0, answerFaults(standin.Faults{Malformed: 0.12, Errors: 0.12})},
		"discovery-silent":     {0, (*soak).discoverySilent},
		"discovery-down":       {0, (*soak).discoveryDown},
		"discovery-spoilt":     {0, (*soak).discoveryMalformed},
		"discovery-slow":       {0, (*soak).discoverySlow},
		"discovery-restored":   {0, (*soak).discoveryRestored},
		"clients-leave":        {2, clientFaults((*badClient).disconnect)},
		"clients-cancel":       {2, clientFaults((*badClient).cancel)},
		"clients-stop-midway":  {2, clientFaults((*badClient).stopMidway)},
		"clients-pipeline":     {2, clientFaults((*badClient).pipeline)},
		"clients-rest":         {2, clientFaults((*badClient).idleThenQuery)},
	}
}

// reserve reserves a gateway, so that no two faults start and end its processes at once. It returns false if the
// gateway is reserved already.
func (s *soak) reserve(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[i] {
		return false
	}
	s.reserved[i] = true
	return true
}

// release ends the reservation of a gateway.
func (s *soak) release(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, i)
}

// eachGateway calls do concurrently for each gateway of a fault that no other fault has reserved.
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

// clientFaults returns a fault in which misbehaving clients connect to each gateway, one at a time.
func clientFaults(do func(c *badClient)) func(s *soak, fault Fault) error {
	return func(s *soak, fault Fault) error {
		end := time.Now().Add(fault.Duration)
		done := make(chan struct{})
		for _, i := range fault.Gateways {
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
		for range fault.Gateways {
			<-done
		}
		return nil
	}
}
