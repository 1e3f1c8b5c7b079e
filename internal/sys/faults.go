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

// PlanVariable names the file with the plan, in JSON.
const PlanVariable = "LILACCOVE_FAULTS"

// Plan is what goes wrong in a process, and when.
type Plan struct {
	Seed       uint64  `json:"seed"`
	WallStepMS int64   `json:"wall_step_ms"` // by which the wall clock of this process differs
	Faults     []Fault `json:"faults"`
}

// Fault is one way in which a call goes wrong: it fails with an error, or takes a delay and goes on, or moves few bytes.
type Fault struct {
	Call    string  `json:"call"`     // accept, socket, connect, read, write, epoll_add, epoll_mod, epoll_wait, create, open, write_file, sync, rename
	Error   string  `json:"error"`    // its name, such as EMFILE; empty: it does not fail
	Short   int     `json:"short"`    // bytes moved at most; 0: all
	DelayMS int64   `json:"delay_ms"` // behind the call
	Share   float64 `json:"share"`    // of the calls; 0: all
	Peer    string  `json:"peer"`     // ADDRESS:PORT of who is at the other end, for connect, read and write; empty: anybody
	File    string  `json:"file"`     // the last part of the path, for open, write_file, sync and rename (the new one); empty: any
	FromMS  int64   `json:"from_ms"`  // since the start of the process
	ForMS   int64   `json:"for_ms"`   // 0: to the end
	Most    int     `json:"most"`     // times; 0: without bound

	number unix.Errno
	met    int
}

var (
	begun  = time.Now()
	plan   = load(os.Getenv(PlanVariable))
	random = rand.New(rand.NewPCG(plan.Seed, 0x6661756c7473))
	mutex  sync.Mutex // files are written beside the loop
)

// load reads the plan; without one nothing goes wrong.
func load(path string) (p Plan) {
	if path == "" {
		return p
	}
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &p)
	}
	for i := range p.Faults {
		if f := &p.Faults[i]; err == nil && f.Error != "" {
			f.number, err = number(f.Error)
		}
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s: %v\n", PlanVariable, path, err)
		os.Exit(2)
	}
	return p
}

// number finds an error by its name.
func number(name string) (unix.Errno, error) {
	for n := unix.Errno(1); n < 200; n++ {
		if unix.ErrnoName(n) == name {
			return n, nil
		}
	}
	return 0, fmt.Errorf("unknown error %q", name)
}

// target is what a call is made on.
type target struct {
	peer func() unix.Sockaddr // the other end of a socket, asked for only where it matters; nil: there is none
	file string               // a path
}

// socket is a target with the other end of an open socket.
func socket(fd int) target {
	return target{peer: func() unix.Sockaddr {
		to, err := unix.Getpeername(fd)
		if err != nil {
			return nil
		}
		return to
	}}
}

// meets tells whether a fault is for a call on a target.
func (f *Fault) meets(on target) bool {
	if f.File != "" && f.File != filepath.Base(on.file) {
		return false
	}
	if f.Peer == "" {
		return true
	}
	if on.peer == nil {
		return false
	}
	return AddrPort(on.peer()).String() == f.Peer
}

// drawn is the fault that meets a call on a target now; nil: none does.
func drawn(call string, on target) *Fault {
	mutex.Lock()
	defer mutex.Unlock()
	now := time.Since(begun).Milliseconds()
	for i := range plan.Faults {
		f := &plan.Faults[i]
		switch {
		case f.Call != call, now < f.FromMS, f.ForMS > 0 && now >= f.FromMS+f.ForMS, !f.meets(on):
		case f.Most > 0 && f.met >= f.Most, f.Share > 0 && random.Float64() >= f.Share:
		default:
			f.met++
			return f
		}
	}
	return nil
}

// fails is the error that a call ends with in place of being made; nil: it is to be made.
func (f *Fault) fails() error {
	if f == nil || f.number == 0 {
		return nil
	}
	return f.number
}

// delays waits where the fault is a delay behind the call.
func (f *Fault) delays() {
	if f != nil && f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
}

// cut is the part of b that a call moves.
func (f *Fault) cut(b []byte) []byte {
	if f != nil && f.Short > 0 {
		return b[:min(len(b), f.Short)]
	}
	return b
}

// Accept takes a connection from a listener's queue.
func Accept(fd, flags int) (int, error) {
	f := drawn("accept", target{})
	if err := f.fails(); err != nil {
		return -1, err
	}
	accepted, _, err := unix.Accept4(fd, flags)
	f.delays()
	return accepted, err
}

// Socket opens one.
func Socket(family, kind, protocol int) (int, error) {
	if err := drawn("socket", target{}).fails(); err != nil {
		return -1, err
	}
	return unix.Socket(family, kind, protocol)
}

// Connect begins to connect a socket.
func Connect(fd int, to unix.Sockaddr) error {
	if err := drawn("connect", target{peer: func() unix.Sockaddr { return to }}).fails(); err != nil {
		return err
	}
	return unix.Connect(fd, to)
}

// Read reads from a socket.
func Read(fd int, b []byte) (int, error) {
	f := drawn("read", socket(fd))
	if err := f.fails(); err != nil {
		return -1, err
	}
	n, err := unix.Read(fd, f.cut(b))
	f.delays()
	return n, err
}

// Write writes to a socket.
func Write(fd int, b []byte) (int, error) {
	f := drawn("write", socket(fd))
	if err := f.fails(); err != nil {
		return -1, err
	}
	return unix.Write(fd, f.cut(b))
}

// Writev writes the parts to a socket, one behind the other.
func Writev(fd int, parts [][]byte) (int, error) {
	f := drawn("write", socket(fd))
	if err := f.fails(); err != nil {
		return -1, err
	}
	if f != nil && f.Short > 0 {
		return unix.Write(fd, f.cut(parts[0]))
	}
	return unix.Writev(fd, parts)
}

// EpollCtl changes what epoll watches.
func EpollCtl(epoll, op, fd int, event *unix.EpollEvent) error {
	call := map[int]string{unix.EPOLL_CTL_ADD: "epoll_add", unix.EPOLL_CTL_MOD: "epoll_mod"}[op]
	if err := drawn(call, target{}).fails(); err != nil {
		return err
	}
	return unix.EpollCtl(epoll, op, fd, event)
}

// EpollWait waits for events.
func EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	f := drawn("epoll_wait", target{})
	if err := f.fails(); err != nil {
		return -1, err
	}
	n, err := unix.EpollWait(epoll, events, milliseconds)
	f.delays()
	return n, err
}

// WallClock is the time of the system's clock, which may be stepped, since the Unix epoch.
func WallClock() time.Duration {
	return time.Duration(time.Now().UnixNano()) + time.Duration(plan.WallStepMS)*time.Millisecond
}

// CreateTemp makes a new file with a name of its own.
func CreateTemp(dir, pattern string) (*os.File, error) {
	if err := drawn("create", target{file: dir}).fails(); err != nil {
		return nil, &os.PathError{Op: "open", Path: dir, Err: err}
	}
	return os.CreateTemp(dir, pattern)
}

// ReadFile reads a whole file.
func ReadFile(path string) ([]byte, error) {
	if err := drawn("open", target{file: path}).fails(); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	return os.ReadFile(path)
}

// OpenFile opens a file, or makes it.
func OpenFile(path string, flags int, mode os.FileMode) (*os.File, error) {
	if err := drawn("open", target{file: path}).fails(); err != nil {
		return nil, &os.PathError{Op: "open", Path: path, Err: err}
	}
	return os.OpenFile(path, flags, mode)
}

// WriteFile writes to an open file.
func WriteFile(f *os.File, b []byte) (int, error) {
	fault := drawn("write_file", target{file: f.Name()})
	if err := fault.fails(); err != nil {
		n, _ := f.Write(b[:len(b)/2]) // a disk that is full takes what there was room for
		return n, &os.PathError{Op: "write", Path: f.Name(), Err: err}
	}
	return f.Write(b)
}

// Sync has a file's content reach the disk.
func Sync(f *os.File) error {
	if err := drawn("sync", target{file: f.Name()}).fails(); err != nil {
		return &os.PathError{Op: "sync", Path: f.Name(), Err: err}
	}
	return f.Sync()
}

// Rename puts a file in another's place.
func Rename(from, to string) error {
	if err := drawn("rename", target{file: to}).fails(); err != nil {
		return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
	}
	return os.Rename(from, to)
}
