// Package sys is the system calls of the event loop and of the files that processes of a gateway read and share. A usual build
// calls the system directly. A build with the tag faults has the calls fail by a plan instead (faults.go), so that real
// processes meet errors which the system gives rarely.
package sys

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// passing are errors that say what a machine lacks just now.
var passing = []unix.Errno{
	unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EDQUOT, unix.EIO, unix.EADDRNOTAVAIL, unix.EAGAIN, unix.EINTR,
}

// IsTransient tells whether an error says what this machine lacks for a moment, a descriptor, memory, a port or room on a disk, and
// nothing of the file or the peer that was meant.
func IsTransient(err error) bool {
	var number unix.Errno
	return errors.As(err, &number) && slices.Contains(passing, number)
}

// AddrPort is a socket's address; the zero value where it is of no family of IP.
func AddrPort(to unix.Sockaddr) netip.AddrPort {
	switch to := to.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(to.Addr), uint16(to.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(to.Addr), uint16(to.Port))
	}
	return netip.AddrPort{}
}

const (
	startTime  = 2 * time.Second       // for which a process that starts waits for what the machine lacks
	startPause = 20 * time.Millisecond // between two tries
)

// RetryAtStart calls do again and again while it fails for what this machine lacks for a moment, for two seconds at most: a process
// that starts should not end for that. It blocks.
func RetryAtStart(do func() error) error {
	for late := time.Now().Add(startTime); ; time.Sleep(startPause) {
		err := do()
		if !IsTransient(err) || time.Now().After(late) {
			return err
		}
	}
}
