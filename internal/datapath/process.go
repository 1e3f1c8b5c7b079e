package datapath

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// side is a process of this run besides the gateway, spoken to in lines of JSON.
type side struct {
	name string
	cmd  *exec.Cmd
	in   io.WriteCloser
	said chan []byte
	last bytes.Buffer // of its standard error
}

// startSide starts one and tells it its first line.
func startSide(name string, command []string, first any) (*side, error) {
	s := &side{name: name, cmd: exec.Command(command[0], command[1:]...), said: make(chan []byte, 4)}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt is for the whole run, which ends the sides itself
	s.cmd.Stderr = &s.last
	in, err := s.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	s.in = in
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() {
		defer close(s.said)
		lines := bufio.NewReader(out)
		for {
			line, err := lines.ReadBytes('\n')
			if err != nil {
				return
			}
			s.said <- line
		}
	}()
	return s, s.tell(first)
}

func (s *side) tell(v any) error {
	line, err := json.Marshal(v)
	if err == nil {
		_, err = s.in.Write(append(line, '\n'))
	}
	if err != nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	return nil
}

// hear waits for its next line.
func (s *side) hear(into any, patience time.Duration) error {
	select {
	case line, on := <-s.said:
		if !on {
			_ = s.cmd.Wait()
			return fmt.Errorf("%s has ended: %s", s.name, bytes.TrimSpace(s.last.Bytes()))
		}
		return json.Unmarshal(line, into)
	case <-time.After(patience):
		return fmt.Errorf("%s says nothing for %v", s.name, patience)
	}
}

func (s *side) ask(do string, into any) error {
	if err := s.tell(map[string]string{"do": do}); err != nil {
		return err
	}
	return s.hear(into, sidePatience)
}

// close ends it, in order if it can.
func (s *side) close() {
	s.in.Close()
	t := time.AfterFunc(sidePatience, func() { _ = s.cmd.Process.Kill() })
	defer t.Stop()
	for range s.said {
	}
	_ = s.cmd.Wait()
}

func (s *side) pid() int { return s.cmd.Process.Pid }

// descriptors is how many a process has open; 0: it is gone.
func descriptors(pid int) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	names, _ := f.Readdirnames(-1)
	if pid == os.Getpid() {
		return len(names) - 1
	}
	return len(names)
}

const clockTicks = 100 // a second, of /proc/PID/stat

// processorTime is utime and stime of a process.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	user, err := strconv.Atoi(string(fields[11]))
	system, err2 := strconv.Atoi(string(fields[12]))
	return time.Duration(user+system) * time.Second / clockTicks, errors.Join(err, err2)
}

// resident is the memory of a process in bytes: all, and what is neither of a file nor shared.
func resident(pid int) (all, anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range bytes.Lines(text) {
		f := bytes.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.Atoi(string(f[1]))
		switch string(f[0]) {
		case "VmRSS:":
			all = n << 10
		case "RssAnon:":
			anonymous = n << 10
		}
	}
	return all, anonymous
}

// hardLimit is how many descriptors a process may have at most, whatever it asks for.
func hardLimit() int {
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) != nil {
		return 1024
	}
	return int(min(r.Max, 1<<30))
}
