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

// helperProcess is the process of the clients or databases. Messages are lines of JSON.
type helperProcess struct {
	name   string
	cmd    *exec.Cmd
	in     io.WriteCloser
	lines  chan []byte
	stderr bytes.Buffer
}

// startHelper starts a helper process and sends its first line.
func startHelper(name string, command []string, first any) (*helperProcess, error) {
	s := &helperProcess{name: name, cmd: exec.Command(command[0], command[1:]...), lines: make(chan []byte, 4)}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt goes to the main process only, which then stops the helpers itself
	s.cmd.Stderr = &s.stderr
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
		defer close(s.lines)
		lines := bufio.NewReader(out)
		for {
			line, err := lines.ReadBytes('\n')
			if err != nil {
				return
			}
			s.lines <- line
		}
	}()
	return s, s.send(first)
}

func (s *helperProcess) send(v any) error {
	line, err := json.Marshal(v)
	if err == nil {
		_, err = s.in.Write(append(line, '\n'))
	}
	if err != nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	return nil
}

// receive waits for the next line of the process.
func (s *helperProcess) receive(into any, timeout time.Duration) error {
	select {
	case line, open := <-s.lines:
		if !open {
			_ = s.cmd.Wait()
			return fmt.Errorf("%s has ended: %s", s.name, bytes.TrimSpace(s.stderr.Bytes()))
		}
		return json.Unmarshal(line, into)
	case <-time.After(timeout):
		return fmt.Errorf("%s sent nothing for %v", s.name, timeout)
	}
}

func (s *helperProcess) call(do string, into any) error {
	if err := s.send(map[string]string{"do": do}); err != nil {
		return err
	}
	return s.receive(into, replyTimeout)
}

// close stops the process, by closing its input or else with a kill.
func (s *helperProcess) close() {
	s.in.Close()
	t := time.AfterFunc(replyTimeout, func() { _ = s.cmd.Process.Kill() })
	defer t.Stop()
	for range s.lines {
	}
	_ = s.cmd.Wait()
}

func (s *helperProcess) pid() int { return s.cmd.Process.Pid }

// descriptors returns how many descriptors a process has open, 0 if it has ended.
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

const clockTicks = 100 // per second, in /proc/PID/stat

// processorTime returns the user and system time of a process.
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

// residentMemory returns the resident memory of a process in bytes: all, and the anonymous part.
func residentMemory(pid int) (all, anonymous int) {
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

// hardLimit returns the hard limit on descriptors of a process.
func hardLimit() int {
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) != nil {
		return 1024
	}
	return int(min(r.Max, 1<<30))
}
