//go:build !faults

package sys

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// ReadFile reads a whole file.
func ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Accept takes a connection from a listener's queue.
func Accept(fd, flags int) (int, error) {
	accepted, _, err := unix.Accept4(fd, flags)
	return accepted, err
}

// Socket opens one.
func Socket(family, kind, protocol int) (int, error) { return unix.Socket(family, kind, protocol) }

// Connect begins to connect a socket.
func Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Read reads from a socket.
func Read(fd int, b []byte) (int, error) { return unix.Read(fd, b) }

// Write writes to a socket.
func Write(fd int, b []byte) (int, error) { return unix.Write(fd, b) }

// Writev writes the parts to a socket, one behind the other.
func Writev(fd int, parts [][]byte) (int, error) { return unix.Writev(fd, parts) }

// EpollCtl changes what epoll watches.
func EpollCtl(epoll, op, fd int, event *unix.EpollEvent) error {
	return unix.EpollCtl(epoll, op, fd, event)
}

// EpollWait waits for events.
func EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	return unix.EpollWait(epoll, events, milliseconds)
}

// WallClock is the time of the system's clock, which may be stepped, since the Unix epoch.
func WallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// CreateTemp makes a new file with a name of its own.
func CreateTemp(dir, pattern string) (*os.File, error) { return os.CreateTemp(dir, pattern) }

// OpenFile opens a file, or makes it.
func OpenFile(path string, flags int, mode os.FileMode) (*os.File, error) {
	return os.OpenFile(path, flags, mode)
}

// WriteFile writes to an open file.
func WriteFile(f *os.File, b []byte) (int, error) { return f.Write(b) }

// Sync has a file's content reach the disk.
func Sync(f *os.File) error { return f.Sync() }

// Rename puts a file in another's place.
func Rename(from, to string) error { return os.Rename(from, to) }
