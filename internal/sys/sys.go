// Package sys is the system calls of the event loop and of the files that two processes of a gateway share. A usual build
// calls the system directly. A build with the tag faults has the calls fail by a plan instead (faults.go), so that real
// processes meet errors which the system gives rarely.
package sys
