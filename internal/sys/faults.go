//go:build faults

package sys

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// PlanVariable is the environment variable with the path of the plan, a JSON file.
const PlanVariable = "LILACCOVE_FAULTS"

// Plan lists the faults to inject into a process.
type Plan struct {
	Seed       uint64  `json:"seed"`
	WallStepMS int64   `json:"wall_step_ms"` // offset of this process's wall clock
	Faults     []Fault `json:"faults"`
}

// Fault makes a call fail with an error, delays its return, or limits the bytes it transfers.
type Fault struct {
	Call       string  `json:"call"`     // accept, socket, connect, read, write, epoll_create, eventfd, epoll_add, epoll_mod, epoll_wait, create, open, write_file, sync, rename
	Error      string  `json:"error"`    // name of an errno, such as EMFILE; empty: the call doesn't fail
	MaxBytes   int     `json:"short"`    // maximum of bytes transferred, for read and write; 0: all
	DelayMS    int64   `json:"delay_ms"` // after the call, for accept, read and epoll_wait
	Fraction   float64 `json:"share"`    // fraction of the calls that are affected; 0: all
	Peer       string  `json:"peer"`     // ADDRESS:PORT of the peer, for connect, read and write; empty: any
	File       string  `json:"file"`     // base name of the path, for open, write_file, sync and rename (the new path); empty: any
	FromMS     int64   `json:"from_ms"`  // since the start of the process
	DurationMS int64   `json:"for_ms"`   // 0: until the end
	MaxCount   int     `json:"most"`     // how many calls are affected; 0: no limit

	errno unix.Errno
	count int
}

var (
	processStart = time.Now()
	plan         = loadPlan(os.Getenv(PlanVariable))
	random       = rand.New(rand.NewPCG(plan.Seed, 0x6661756c7473))
	mutex        sync.Mutex // files are written on other goroutines than the loop's
)

// loadPlan reads the plan; without a path it returns one without faults.
func loadPlan(path string) (plan Plan) {
	if path == "" {
		return plan
	}
	content, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(content, &plan)
	}
	for i := range plan.Faults {
		if fault := &plan.Faults[i]; err == nil && fault.Error != "" {
			fault.errno, err = errnoByName(fault.Error)
		}
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s: %v\n", PlanVariable, path, err)
		os.Exit(2)
	}
	return plan
}

// errnoByName returns the errno of a name.
func errnoByName(name string) (unix.Errno, error) {
	for n := unix.Errno(1); n < 200; n++ {
		if unix.ErrnoName(n) == name {
			return n, nil
		}
	}
	return 0, fmt.Errorf("unknown error %q", name)
}

// callTarget is the socket or file that a call concerns.
type callTarget struct {
	peer func() unix.Sockaddr // returns the peer's address, called only if a fault depends on it; nil: there is no peer
	file string               // path
}

// socketTarget returns the target for a connected socket.
func socketTarget(fd int) callTarget {
	return callTarget{peer: func() unix.Sockaddr {
		to, err := unix.Getpeername(fd)
		if err != nil {
			return nil
		}
		return to
	}}
}

// matches reports whether a fault applies to calls on a target.
func (f *Fault) matches(target callTarget) bool {
	if f.File != "" && f.File != filepath.Base(target.file) {
		return false
	}
	if f.Peer == "" {
		return true
	}
	if target.peer == nil {
		return false
	}
	return AddrPort(target.peer()).String() == f.Peer
}

// pickFault returns the fault to inject into a call that is made now, or nil, and counts it.
func pickFault(call string, target callTarget) *Fault {
	mutex.Lock()
	defer mutex.Unlock()
	now := time.Since(processStart).Milliseconds()
	for i := range plan.Faults {
		fault := &plan.Faults[i]
		switch {
		case fault.Call != call, now < fault.FromMS, fault.DurationMS > 0 && now >= fault.FromMS+fault.DurationMS, !fault.matches(target):
		case fault.MaxCount > 0 && fault.count >= fault.MaxCount, fault.Fraction > 0 && random.Float64() >= fault.Fraction:
		default:
			fault.count++
			return fault
		}
	}
	return nil
}

// err returns the error with which the call fails instead of being made; nil: the call is made.
func (f *Fault) err() error {
	if f == nil || f.errno == 0 {
		return nil
	}
	return f.errno
}

// delay sleeps for the fault's delay, after the call.
func (f *Fault) delay() {
	if f != nil && f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
}

// truncate returns the part of b that a call transfers.
func (f *Fault) truncate(b []byte) []byte {
	if f != nil && f.MaxBytes > 0 {
		return b[:min(len(b), f.MaxBytes)]
	}
	return b
}

// Accept accepts a connection from a listening socket.
func Accept(fd, flags int) (int, error) {
	fault := pickFault("accept", callTarget{})
	if err := fault.err(); err != nil {
		return -1, err
	}
	accepted, _, err := unix.Accept4(fd, flags)
	fault.delay()
	return accepted, err
}

// Socket opens a socket.
func Socket(family, kind, protocol int) (int, error) {
	if err := pickFault("socket", callTarget{}).err(); err != nil {
		return -1, err
	}
	return unix.Socket(family, kind, protocol)
}

// EpollCreate opens an epoll descriptor.
func EpollCreate(flags int) (int, error) {
	if err := pickFault("epoll_create", callTarget{}).err(); err != nil {
		return -1, err
	}
	return unix.EpollCreate1(flags)
}

// Eventfd opens an event counter.
func Eventfd(initial uint, flags int) (int, error) {
	if err := pickFault("eventfd", callTarget{}).err(); err != nil {
		return -1, err
	}
	return unix.Eventfd(initial, flags)
}

// Connect starts to connect a socket.
func Connect(fd int, to unix.Sockaddr) error {
	if err := pickFault("connect", callTarget{peer: func() unix.Sockaddr { return to }}).err(); err != nil {
		return err
	}
	return unix.Connect(fd, to)
}

// Read reads from a socket.
func Read(fd int, b []byte) (int, error) {
	fault := pickFault("read", socketTarget(fd))
	if err := fault.err(); err != nil {
		return -1, err
	}
	n, err := unix.Read(fd, fault.truncate(b))
	fault.delay()
	return n, err
}

// Write writes to a socket.
func Write(fd int, b []byte) (int, error) {
	fault := pickFault("write", socketTarget(fd))
	if err := fault.err(); err != nil {
		return -1, err
	}
	return unix.Write(fd, fault.truncate(b))
}

// Writev writes the parts to a socket, in order.
func Writev(fd int, parts [][]byte) (int, error) {
	fault := pickFault("write", socketTarget(fd))
	if err := fault.err(); err != nil {
		return -1, err
	}
	if fault != nil && fault.MaxBytes > 0 {
		return unix.Write(fd, fault.truncate(parts[0]))
	}
	return unix.Writev(fd, parts)
}

// EpollCtl changes the events that epoll reports.
func EpollCtl(epoll, op, fd int, event *unix.EpollEvent) error {
	call := map[int]string{unix.EPOLL_CTL_ADD: "epoll_add", unix.EPOLL_CTL_MOD: "epoll_mod"}[op]
	if err := pickFault(call, callTarget{}).err(); err != nil {
		return err
	}
	return unix.EpollCtl(epoll, op, fd, event)
}

// EpollWait waits for events.
func EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	fault := pickFault("epoll_wait", callTarget{})
	if err := fault.err(); err != nil {
		return -1, err
	}
	n, err := unix.EpollWait(epoll, events, milliseconds)
	fault.delay()
	return n, err
}

// WallClock returns the system clock's time since the Unix epoch. The clock may be stepped.
func WallClock() time.Duration {
	return time.Duration(time.Now().UnixNano()) + time.Duration(plan.WallStepMS)*time.Millisecond
}

// CreateTemp creates a file with a unique name.
func CreateTemp(dir, pattern string) (*os.File, error) {
	if err := pickFault("create", callTarget{file: dir}).err(); err != nil {
		return nil, &os.PathError{Op: "open", Path: dir, Err: err}
	}
	return os.CreateTemp(dir, pattern)
}

// ReadFile reads a whole file.
func ReadFile(path string) ([]byte, error) {
	if err := pickFault("open", callTarget{file: path}).err(); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	return os.ReadFile(path)
}

// OpenFile opens a file; the flags may ask to create it.
func OpenFile(path string, flags int, mode os.FileMode) (*os.File, error) {
	if err := pickFault("open", callTarget{file: path}).err(); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	return os.OpenFile(path, flags, mode)
}

// WriteFile writes to an open file.
func WriteFile(f *os.File, b []byte) (int, error) {
	fault := pickFault("write_file", callTarget{file: f.Name()})
	if err := fault.err(); err != nil {
		n, _ := f.Write(b[:len(b)/2]) // a full disk takes a part of the data
		return n, &os.PathError{Op: "write", Path: f.Name(), Err: err}
	}
	return f.Write(b)
}

// Sync flushes a file's content to the disk.
func Sync(f *os.File) error {
	if err := pickFault("sync", callTarget{file: f.Name()}).err(); err != nil {
		return &os.PathError{Op: "sync", Path: f.Name(), Err: err}
	}
	return f.Sync()
}

// Rename renames a file and replaces the one that has the new name.
func Rename(from, to string) error {
	if err := pickFault("rename", callTarget{file: to}).err(); err != nil {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
	}
	return os.Rename(from, to)
}
