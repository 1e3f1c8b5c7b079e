//go:build review

// Package rig holds what the cases of the review share: stand-ins for clients, databases and discovery, and the start of the
// gateway's own program as a separate process with the command of the deploy file.
package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the folder of the case.
func NewRecord(dir string) *Record {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	return &Record{file: file, start: time.Now()}
}

// Printf writes a line with the time since the start in milliseconds.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.1f %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Trouble reports whether the disruption is wanted.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
