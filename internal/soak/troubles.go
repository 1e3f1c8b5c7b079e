package soak

import (
	"time"

	"lilaccove/internal/standin"
)

// kind is how one trouble is done.
type kind struct {
	gateways int // to how many; 0: to none of them
	do       func(s *soak, t Fault) error
}

// kinds are all troubles by their names.
var kinds map[string]kind

func init() { // the functions read the table of names through Draw

	kinds = map[string]kind{
		"kill":                {2, (*soak).kill},
		"end":                 {2, (*soak).end},
		"stand-still":         {2, (*soak).standStill},
		"reload":              {4, (*soak).reload},
		"upgrade":             {1, (*soak).upgrade},
		"successor-killed":    {1, (*soak).successorKilled},
		"system-calls":        {2, (*soak).systemCalls},
		"clock-step":          {2, (*soak).clockStep},
		"folder-away":         {1, (*soak).folderAway},
		"drain-gateway":       {1, (*soak).drainGateway},
		"partition":           {3, (*soak).partition},
		"lossy-links":         {0, (*soak).lossyLinks},
		"suspend-database":    {1, (*soak).suspendDatabase},
		"drain-database":      {0, (*soak).drainDatabase},
		"replace-database":    {0, (*soak).replaceDatabase},
		"databases-hang":      {0, (*soak).databasesHang},
		"databases-hang-up":   {0, (*soak).databasesHangUp},
		"connections-late":    {0, (*soak).connectionsLate},
		"fail-over":           {0, (*soak).failOver},
		"replicas-lag":        {0, (*soak).replicasLag},
		"resets":              {0, answers(standin.Faults{ResetBefore: 0.15, ResetAfter: 0.15})},
		"silence":             {0, answers(standin.Faults{Silence: 0.12})},
		"spoilt-answers":      {0, answers(standin.Faults{Malformed: 0.12, Errors: 0.12})},
		"discovery-silent":    {0, (*soak).discoverySilent},
		"discovery-down":      {0, (*soak).discoveryDown},
		"discovery-spoilt":    {0, (*soak).discoverySpoilt},
		"discovery-slow":      {0, (*soak).discoverySlow},
		"discovery-restored":  {0, (*soak).discoveryRestored},
		"clients-leave":       {2, clients((*client).leave)},
		"clients-cancel":      {2, clients((*client).cancel)},
		"clients-stop-midway": {2, clients((*client).stopMidway)},
		"clients-pipeline":    {2, clients((*client).pipeline)},
		"clients-rest":        {2, clients((*client).rest)},
	}
}

// take reserves a gateway, so that two troubles do not start and end processes of it at once; false: it has one.
func (s *soak) take(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[i] {
		return false
	}
	s.busy[i] = true
	return true
}

func (s *soak) giveBack(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, i)
}

// each does something to each gateway of a trouble that no other trouble has just now, side by side.
func (s *soak) each(t Fault, do func(i int) error) error {
	results := make(chan error, len(t.Gateways))
	n := 0
	for _, i := range t.Gateways {
		if !s.take(i) {
			continue
		}
		n++
		go func() {
			defer s.giveBack(i)
			results <- do(i)
		}()
	}
	var first error
	for range n {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// clients is a trouble in which bad clients come to gateways, one after the other.
func clients(do func(c *client)) func(s *soak, t Fault) error {
	return func(s *soak, t Fault) error {
		until := time.Now().Add(t.Duration)
		done := make(chan struct{})
		for _, i := range t.Gateways {
			go func() {
				defer func() { done <- struct{}{} }()
				for time.Now().Before(until) {
					if c, err := s.client(i); err == nil {
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
