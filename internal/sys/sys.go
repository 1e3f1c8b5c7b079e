// Package sys wraps the system calls of the event loop and of the files that a gateway's processes read and
// share. A usual build calls the system directly. A build with the tag faults injects failures according to a
// plan (faults.go), so that real processes can be tested against errors that are rare otherwise.
package sys

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// transientErrors indicate a shortage of resources on this machine.
var transientErrors = []unix.Errno{
	unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ENOSPC, unix.EDQUOT, unix.EIO, unix.EADDRNOTAVAIL, unix.EAGAIN, unix.EINTR,
}

// IsTransient reports whether an error means a temporary shortage on this machine (of descriptors, memory,
// ports or disk space), and nothing about the file or peer concerned.
func IsTransient(err error) bool {
	var errno unix.Errno
	return errors.As(err, &errno) && slices.Contains(transientErrors, errno)
}

// AddrPort converts a socket address; it returns the zero value if the address is not of an IP family.
func AddrPort(address unix.Sockaddr) netip.AddrPort {
	switch to := address.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(to.Addr), uint16(to.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(to.Addr), uint16(to.Port))
	}
	return netip.AddrPort{}
}

const (
	startRetryTime  = 2 * time.Second       // how long a starting process retries during a shortage
	startRetryDelay = 20 * time.Millisecond // between two attempts
)

// RetryAtStart calls do until it succeeds or fails for another reason than a transient shortage, for two
// seconds at most, so that a process doesn't exit at its start for a shortage. It blocks.
func RetryAtStart(do func() error) error {
	for deadline := time.Now().Add(startRetryTime); ; time.Sleep(startRetryDelay) {
		err := do()
		if !IsTransient(err) || time.Now().After(deadline) {
			return err
		}
	}
}
