//go:build !faults

package sys

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// ReadFile reads a whole file.
func ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Accept accepts a connection from a listening socket.
func Accept(fd, flags int) (int, error) {
	accepted, _, err := unix.Accept4(fd, flags)
	return accepted, err
}

// Socket opens a socket.
func Socket(family, kind, protocol int) (int, error) { return unix.Socket(family, kind, protocol) }

// EpollCreate opens an epoll descriptor.
func EpollCreate(flags int) (int, error) { return unix.EpollCreate1(flags) }

// Eventfd opens an event counter.
func Eventfd(initial uint, flags int) (int, error) { return unix.Eventfd(initial, flags) }

// Connect starts to connect a socket.
func Connect(fd int, to unix.Sockaddr) error { return unix.Connect(fd, to) }

// Read reads from a socket.
func Read(fd int, b []byte) (int, error) { return unix.Read(fd, b) }

// Write writes to a socket.
func Write(fd int, b []byte) (int, error) { return unix.Write(fd, b) }

// Writev writes the parts to a socket, in order.
func Writev(fd int, parts [][]byte) (int, error) { return unix.Writev(fd, parts) }

// EpollCtl changes the events that epoll reports.
func EpollCtl(epoll, op, fd int, event *unix.EpollEvent) error {
	return unix.EpollCtl(epoll, op, fd, event)
}

// EpollWait waits for events.
func EpollWait(epoll int, events []unix.EpollEvent, milliseconds int) (int, error) {
	return unix.EpollWait(epoll, events, milliseconds)
}

// WallClock returns the system clock's time since the Unix epoch. The clock may be stepped.
func WallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// CreateTemp creates a file with a unique name.
func CreateTemp(dir, pattern string) (*os.File, error) { return os.CreateTemp(dir, pattern) }

// OpenFile opens a file; the flags may ask to create it.
func OpenFile(path string, flags int, mode os.FileMode) (*os.File, error) {
	return os.OpenFile(path, flags, mode)
}

// WriteFile writes to an open file.
func WriteFile(f *os.File, b []byte) (int, error) { return f.Write(b) }

// Sync flushes a file's content to the disk.
func Sync(f *os.File) error { return f.Sync() }

// Rename renames a file and replaces the one that has the new name.
func Rename(from, to string) error { return os.Rename(from, to) }
