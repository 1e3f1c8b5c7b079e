package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/sys"
)

const (
	stateFileName     = "lilaccove-state.json"
	processFilePrefix = "lilaccove-process-"
	tempFilePrefix    = "lilaccove-new-" // a state file that is being written
	maxStateSize      = 1 << 20          // bytes
	timestampDigits   = 20

	logInterval = time.Second
)

// SharedState is this process's view of the shared directory. Use Join.
type SharedState struct {
	dir            string
	state          State
	inactive       inactiveOverrides
	processFile    *os.File // locked while this process runs; holds the newest timestamp that it has applied; nil: not created yet
	loaded         bool     // the state file was read, or there is none
	mtime          time.Time
	size           int64
	unapplied      bool        // state has overrides of siblings that Poll has not applied yet
	unwritten      bool        // state has overrides that the directory may lack: a write failed
	ackedTimestamp int64       // the timestamp that processFile holds
	siblings       []string    // files of the siblings that were alive at the last check
	ids            *requestIDs // nil: not shared
	lastError      string      // the last one logged, which is not repeated
	lastErrorTime  time.Time
}

// Join registers this process in the directory and reads the state there. An invalid state file is logged and ignored. What
// fails now is retried by each Poll: see Loaded.
func Join(dir string) *SharedState {
	s := &SharedState{dir: dir, state: State{Version: stateVersion, Suspended: map[string]Override{}}, inactive: inactiveOverrides{}}
	s.createProcessFile()
	s.read()
	s.unapplied = false // the caller starts with State
	s.acknowledge()
	return s
}

// createProcessFile creates the locked file by which siblings see that this process is alive.
func (s *SharedState) createProcessFile() {
	for s.processFile == nil {
		file, err := sys.CreateTemp(s.dir, processFilePrefix)
		if err != nil {
			s.logError(fmt.Errorf("create process file: %w", withoutPath(err)))
			return
		}
		err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if _, statErr := os.Stat(file.Name()); err == nil && statErr == nil {
			s.processFile = file
			return
		}
		if file.Close(); err != nil && err != unix.EWOULDBLOCK {
			_ = os.Remove(file.Name())
			s.logError(fmt.Errorf("create process file: %w", err))
			return
		} // else a sibling checked the file before it was locked and removed it as that of an ended process
	}
}

// withoutPath strips the path from an error: the name of a temporary file differs each time.
func withoutPath(err error) error {
	if pathErr := (*fs.PathError)(nil); errors.As(err, &pathErr) {
		return pathErr.Err
	}
	return err
}

// Loaded reports whether the overrides that earlier processes accepted are known.
func (s *SharedState) Loaded() bool { return s.loaded }

// State returns the overrides as far as this process knows them.
func (s *SharedState) State() State { return s.state }

// Close removes this process's file; the state file stays for a successor.
func (s *SharedState) Close() {
	if s.processFile != nil {
		_ = os.Remove(idsPath(s.processFile.Name()))
		_ = os.Remove(s.processFile.Name())
		s.processFile.Close()
	}
}

// Suspend records an operator override for a database. If it cannot be written now, a later Poll writes it; see Persisted.
func (s *SharedState) Suspend(id string, active bool, now time.Duration) {
	s.read() // the timestamp must be later than those of all earlier overrides
	s.state.Suspended[id] = Override{Active: active, Timestamp: s.state.nextTimestamp(now)}
	s.state.pruneInactive(s.inactive, now)
	s.write()
}

// Drain records an operator override for the gateway, as Suspend does.
func (s *SharedState) Drain(active bool, now time.Duration) {
	s.read()
	s.state.Drained = Override{Active: active, Timestamp: s.state.nextTimestamp(now)}
	s.write()
}

// Persisted reports whether all overrides known here are in the directory, where a successor finds them.
func (s *SharedState) Persisted() bool { return !s.unwritten }

// Poll reports whether sibling processes are alive. If one of them has accepted an override that this process did not know,
// it calls apply with the merged state. Operations that failed before are retried.
func (s *SharedState) Poll(apply func(State)) bool {
	s.createProcessFile()
	if !s.loaded {
		s.read()
	}
	if info, err := os.Stat(s.statePath()); err == nil && (info.ModTime() != s.mtime || info.Size() != s.size) {
		s.read()
	}
	if s.unapplied {
		apply(s.state)
		s.unapplied = false
	}
	if s.unwritten {
		s.write()
	}
	s.acknowledge()
	siblings := s.liveSiblings()
	s.updateIDTables(siblings)
	return len(siblings) > 0
}

// Acknowledged reports whether every live sibling has applied all overrides known here.
func (s *SharedState) Acknowledged() bool {
	for _, path := range s.liveSiblings() {
		if !s.hasApplied(path) {
			return false
		}
	}
	return true
}

// hasApplied reports whether the process that owns a file has applied all overrides known here, or has ended.
func (s *SharedState) hasApplied(path string) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Is(err, fs.ErrNotExist)
	}
	applied, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	return err == nil && applied >= s.state.newestTimestamp()
}

func (s *SharedState) statePath() string { return filepath.Join(s.dir, stateFileName) }

// liveSiblings returns the files of the siblings that are alive and removes those of processes that have ended. The owner of
// a file that cannot be checked counts as alive; if the directory cannot be read, the previous result is returned.
func (s *SharedState) liveSiblings() []string {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		s.logError(err)
		return s.siblings
	}
	s.siblings = s.siblings[:0]
	var tempFiles []string
	for _, entry := range entries {
		path := filepath.Join(s.dir, entry.Name())
		if strings.HasPrefix(entry.Name(), tempFilePrefix) {
			tempFiles = append(tempFiles, path)
		}
		if !strings.HasPrefix(entry.Name(), processFilePrefix) || s.processFile != nil && path == s.processFile.Name() {
			continue
		}
		switch ended, err := processEnded(path); {
		case err != nil:
			s.logError(err)
			s.siblings = append(s.siblings, path)
		case ended:
			s.removeProcess(path)
		default:
			s.siblings = append(s.siblings, path)
		}
	}
	if len(s.siblings) == 0 { // no process is writing them any more
		for _, path := range tempFiles {
			_ = os.Remove(path)
		}
	}
	return s.siblings
}

// processEnded reports whether the process that owns a file has ended: the kernel releases its lock with it. An error means
// that this is unknown.
func processEnded(path string) (bool, error) {
	fd, err := openFile(path)
	switch {
	case err == unix.ENOENT:
		return true, nil
	case err != nil:
		return false, fmt.Errorf("open %s: %w", path, err)
	}
	defer unix.Close(fd)
	switch err := unix.Flock(fd, unix.LOCK_SH|unix.LOCK_NB); err {
	case nil:
		return true, nil
	case unix.EWOULDBLOCK:
		return false, nil
	default:
		return false, fmt.Errorf("lock %s: %w", path, err)
	}
}

func openFile(path string) (fd int, err error) {
	for {
		if fd, err = unix.Open(path, unix.O_RDONLY|unix.O_CLOEXEC, 0); err != unix.EINTR {
			return fd, err
		}
	}
}

// acknowledge writes the newest timestamp that this process has applied to its own file, for siblings to read, unless the
// file already has it.
func (s *SharedState) acknowledge() {
	newest := s.state.newestTimestamp()
	if s.processFile == nil || s.unapplied || newest == s.ackedTimestamp {
		return
	}
	if _, err := s.processFile.WriteAt(fmt.Appendf(nil, "%0*d", timestampDigits, newest), 0); err != nil {
		s.logError(err)
		return
	}
	s.ackedTimestamp = newest
}

// read merges the state file. Overrides that this process did not know are applied by the next Poll, whichever method read them.
func (s *SharedState) read() {
	info, err := os.Stat(s.statePath())
	if errors.Is(err, fs.ErrNotExist) {
		if _, err = os.Stat(s.dir); err == nil {
			s.loaded = true // no override was ever set
		} else {
			s.logError(err)
		}
		return
	}
	var text []byte
	if err == nil && info.Size() > maxStateSize {
		err = fmt.Errorf("state of %d bytes", info.Size())
	} else if err == nil {
		text, err = os.ReadFile(s.statePath())
	}
	if err != nil && (info == nil || info.Size() <= maxStateSize) {
		s.logError(err) // it may be readable next time
		return
	}
	s.mtime, s.size, s.loaded = info.ModTime(), info.Size(), true
	var found State
	if err == nil {
		found, err = parse(text)
	}
	if err != nil {
		s.logError(err)
		return
	}
	s.unapplied = s.state.merge(found) || s.unapplied
	if found.merge(State{Suspended: s.state.Suspended, Drained: s.state.Drained}) {
		s.write() // a sibling replaced the file without knowing our overrides
	}
}

// write replaces the state file atomically: a reader sees the old one or the new one.
func (s *SharedState) write() {
	text, err := json.Marshal(s.state)
	var file *os.File
	if err == nil {
		file, err = sys.CreateTemp(s.dir, tempFilePrefix)
	}
	if err == nil {
		_, err = sys.WriteFile(file, text)
		if info, infoErr := file.Stat(); infoErr == nil {
			s.mtime, s.size = info.ModTime(), info.Size() // the rename keeps them
		}
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err == nil {
			err = sys.Rename(file.Name(), s.statePath())
		}
		if err != nil {
			_ = os.Remove(file.Name())
		}
	}
	if s.unwritten = err != nil; s.unwritten {
		s.logError(err)
		return
	}
	s.acknowledge()
}

// logError logs a problem with the directory, at most one per logInterval and none twice in a row: each Poll may meet the
// same again.
func (s *SharedState) logError(err error) {
	if now := time.Now(); err.Error() != s.lastError && now.Sub(s.lastErrorTime) >= logInterval {
		s.lastError, s.lastErrorTime = err.Error(), now
		log.Printf("event=bad_state dir=%s err=%q", s.dir, err)
	}
}
