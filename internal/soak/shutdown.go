package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"lilaccove/internal/lab"
	"lilaccove/internal/standin"
)

// Times of a shutdown as the platform plays it.
const (
	maxKillDelay  = 3 * time.Second        // SIGKILL comes this long after acceptTime, or the longest deadline if that is shorter
	acceptTime    = 700 * time.Millisecond // after SIGTERM
	connectTime   = 400 * time.Millisecond // after SIGTERM: new connections keep arriving
	pauseMargin   = 50 * time.Millisecond  // of a pause before connectTime ends, and after acceptTime
	restartPause  = 200 * time.Millisecond // between two processes of a gateway
	maxSignals    = 6                      // of a series
	maxSignalStep = 250 * time.Millisecond // between two signals of a slow series
	fastSteps     = 50                     // a fast series is so much shorter
)

// killDelay returns how long after SIGTERM the platform may kill a process.
func (s *soak) killDelay() time.Duration {
	longest := time.Duration(0)
	for _, class := range s.lab.Plan.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxKillDelay) + acceptTime
}

// terminate shuts a process down gracefully, while clients use its open connections until they end. It is killed as soon as the
// platform may do so. What it leaves unanswered then is lost; that it has not ended is counted in the report.
func (s *soak) terminate(node *lab.Node) {
	s.terminateWith(node, node.SignalEnd)
}

// terminateWith is terminate with a function that sends the signals.
func (s *soak) terminateWith(node *lab.Node, signal func() error) {
	clients := s.connectSteadyClients(node)
	start := time.Now()
	clients.keepConnecting(start.Add(connectTime))
	s.judge.noteEnding(node.Name)
	if err := signal(); err != nil {
		s.judge.recordViolation("no_end", 1, "%v", err)
	} else if node.KillAfter(time.Until(start.Add(s.killDelay()))) != nil {
		s.mu.Lock()
		s.killedAtEnd++
		s.mu.Unlock()
	}
	clients.wait()
}

// endAll ends the current process of each gateway after the run. It is a violation if one does not end in time.
func (s *soak) endAll() {
	var ending sync.WaitGroup
	for i := range s.options.Gateways {
		node := s.lab.Node(i)
		ending.Go(func() {
			if err := node.Terminate(); err != nil {
				s.judge.recordViolation("no_end", 1, "%v", err)
			}
		})
	}
	ending.Wait()
}

// gracefulRestart terminates a process gracefully and starts another one. The process must answer every request that it
// has read: only the time in which no process listens is excused.
func (s *soak) gracefulRestart(fault Fault) error {
	return s.eachGateway(fault, func(i int) error {
		s.terminate(s.lab.Node(i))
		standin.Sleep(restartPause, s.stop)
		return s.start(i)
	})
}

// pausedEnd pauses processes while they stop accepting clients: what arrives meanwhile waits in the kernel and has to be read.
func (s *soak) pausedEnd(fault Fault) error {
	return s.eachGateway(fault, func(i int) error {
		node := s.lab.Node(i)
		s.terminateWith(node, func() error {
			err := node.SignalEnd()
			go func() {
				time.Sleep(connectTime - pauseMargin)
				if node.Pause() == nil {
					time.Sleep(acceptTime - connectTime + 2*pauseMargin)
					_ = node.Resume()
				}
			}()
			return err
		})
		standin.Sleep(restartPause, s.stop)
		return s.start(i)
	})
}

// signalSeries draws the signals of a series, which ends with SIGTERM, and the pauses between them: milliseconds, or together up
// to a second and more.
func signalSeries(rng *rand.Rand) (signals []syscall.Signal, pauses []time.Duration) {
	step := maxSignalStep
	if rng.IntN(2) == 0 {
		step /= fastSteps
	}
	for range 1 + rng.IntN(maxSignals-1) {
		signal := syscall.SIGHUP
		if rng.IntN(2) == 0 {
			signal = syscall.SIGTERM
		}
		signals = append(signals, signal)
		pauses = append(pauses, time.Duration(rng.Int64N(int64(step))))
	}
	return append(signals, syscall.SIGTERM), append(pauses, 0)
}

// sendSeries sends a series of signals to a process. The kill counts from its first SIGTERM.
func (s *soak) sendSeries(rng *rand.Rand, node *lab.Node) {
	signals, pauses := signalSeries(rng)
	for signals[0] != syscall.SIGTERM {
		_ = node.Signal(signals[0])
		standin.Sleep(pauses[0], s.stop)
		signals, pauses = signals[1:], pauses[1:]
	}
	s.terminateWith(node, func() error {
		go func() {
			for k, signal := range signals[1:] {
				standin.Sleep(pauses[k], s.stop)
				_ = node.Signal(signal) // it may have ended
			}
		}()
		return node.SignalEnd()
	})
}

// faultRand returns the random numbers of one fault, which depend on the run's seed and the fault's number alone.
func (s *soak) faultRand(fault Fault) *rand.Rand {
	return rand.New(rand.NewPCG(s.options.Seed, uint64(fault.Number)))
}

// signalsInSeries sends SIGHUP and SIGTERM in series to running gateways.
func (s *soak) signalsInSeries(fault Fault) error {
	return s.eachGateway(fault, func(i int) error {
		s.sendSeries(s.faultRand(fault), s.lab.Node(i))
		standin.Sleep(restartPause, s.stop)
		return s.start(i)
	})
}

// signalsBeforeReady restarts gateways and sends a series of signals to the new process before it is ready.
func (s *soak) signalsBeforeReady(fault Fault) error {
	return s.eachGateway(fault, func(i int) error {
		s.terminate(s.lab.Node(i))
		node, err := s.startCommand(i, s.lab.Gateway)
		if err != nil || node == nil {
			return err
		}
		s.sendSeries(s.faultRand(fault), node)
		return s.start(i)
	})
}

// signalsDuringHandover sends series of signals to both processes of an upgrade, and starts another one.
func (s *soak) signalsDuringHandover(fault Fault) error {
	return s.withSuccessor(fault, func(i int, old, successor *lab.Node) error {
		rng := s.faultRand(fault)
		ended := make(chan struct{})
		seriesOfOld := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		go func() {
			defer close(ended)
			s.sendSeries(seriesOfOld, old)
		}()
		_ = successor.Signal(syscall.SIGHUP)
		standin.Sleep(time.Duration(rng.Int64N(int64(fault.Duration))), s.stop)
		s.sendSeries(rng, successor)
		<-ended
		return s.start(i)
	})
}
