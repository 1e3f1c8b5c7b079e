package wan

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// onEachThread runs do on that many threads at once, so that every idle thread of this process has run it.
func onEachThread(threads int, do func()) {
	var running, done sync.WaitGroup
	running.Add(threads)
	for range threads {
		done.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			do()
			running.Done()
			running.Wait() // no thread is released before every goroutine has its own
		})
	}
	done.Wait()
}

// Closing a relay must not kill child processes. The kernel sends a parent-death signal when the thread that started
// the child ends, even if the process of that thread keeps running.
func TestScaleRelayCloseKeepsChildProcesses(t *testing.T) {
	const threads = 24
	var mu sync.Mutex
	var started []*exec.Cmd
	onEachThread(threads, func() {
		c := exec.Command("sleep", "60")
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		mu.Lock()
		defer mu.Unlock()
		if assert.NoError(t, c.Start()) {
			started = append(started, c)
		}
	})
	ended := make(chan error, threads)
	for _, c := range started {
		go func() { ended <- c.Wait() }()
	}
	for range 8 {
		r, err := Open(1, []int{0, 0}, 1)
		require.NoError(t, err)
		r.Close()
	}
	select {
	case err := <-ended:
		t.Errorf("a child process ended when a relay was closed: %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	for _, c := range started {
		_ = c.Process.Kill()
	}
}
