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
	statePath  = "lilaccove-state.json"
	processes  = "lilaccove-process-"
	halves     = "lilaccove-new-" // a state that is being written
	mostState  = 1 << 20
	seenDigits = 20

	complainEvery = time.Second
)

// SharedState is this process's part of the directory.
type SharedState struct {
	dir     string
	state   State
	backs   backs
	own     *os.File // locked as long as this process lives; holds the newest word that it has acted on; nil: not made yet
	known   bool     // the state was read, or there is none
	mtime   time.Time
	size    int64
	unacted bool     // state has words of others that Poll has not handed over
	owed    bool     // state has words that the directory may lack: a write failed
	acked   int64    // the newest word that own holds
	beside  []string // the other processes that lived when they were last looked at
	odd     string   // the last thing found wrong, which is not logged again at once
	oddAt   time.Time
}

// Join enters the directory and takes over the state that lies there. One that is no state is logged and left aside. What
// fails now is tried again by each Poll: see Known.
func Join(dir string) *SharedState {
	s := &SharedState{dir: dir, state: State{Version: version, Suspended: map[string]Override{}}, backs: backs{}}
	s.enter()
	s.read()
	s.unacted = false // the caller begins with State
	s.acted()
	return s
}

// enter makes this process's own file, by which others know that it lives.
func (s *SharedState) enter() {
	for s.own == nil {
		own, err := sys.CreateTemp(s.dir, processes)
		if err != nil {
			s.complain(fmt.Errorf("enter: %w", cause(err)))
			return
		}
		err = unix.Flock(int(own.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if _, gone := os.Stat(own.Name()); err == nil && gone == nil {
			s.own = own
			return
		}
		if own.Close(); err != nil && err != unix.EWOULDBLOCK {
			_ = os.Remove(own.Name())
			s.complain(fmt.Errorf("enter: %w", err))
			return
		} // else another process looked at it before it was locked, and took it for a dead one's
	}
}

// cause is an error without the path, which may be another each time.
func cause(err error) error {
	if at := (*fs.PathError)(nil); errors.As(err, &at) {
		return at.Err
	}
	return err
}

// Loaded tells whether what operators told the processes before this one is known.
func (s *SharedState) Loaded() bool { return s.known }

// State is what is agreed on as far as this process knows.
func (s *SharedState) State() State { return s.state }

// Close leaves the directory; the state stays for a successor.
func (s *SharedState) Close() {
	if s.own != nil {
		_ = os.Remove(s.own.Name())
		s.own.Close()
	}
}

// Suspend keeps an operator's word on a database. One that cannot be written now is written by a later Poll; see Kept.
func (s *SharedState) Suspend(id string, out bool, now time.Duration) {
	s.read() // the word's place is behind all that were given before it
	s.state.Suspended[id] = Override{Active: out, Timestamp: s.state.next(now)}
	s.state.forget(s.backs, now)
	s.write()
}

// Drain keeps an operator's word on the gateway, as Suspend does.
func (s *SharedState) Drain(on bool, now time.Duration) {
	s.read()
	s.state.Drained = Override{Active: on, Timestamp: s.state.next(now)}
	s.write()
}

// Persisted tells whether all words known here lie in the directory, where a successor finds them.
func (s *SharedState) Persisted() bool { return !s.owed }

// Poll tells whether other processes of this gateway live, and whether one of them has taken a word
// that this one did not know. It calls act with what is agreed on then. What failed before is tried again.
func (s *SharedState) Poll(act func(State)) (others bool) {
	s.enter()
	if !s.known {
		s.read()
	}
	if info, err := os.Stat(s.path()); err == nil && (info.ModTime() != s.mtime || info.Size() != s.size) {
		s.read()
	}
	if s.unacted {
		act(s.state)
		s.unacted = false
	}
	if s.owed {
		s.write()
	}
	s.acted()
	return len(s.others()) > 0
}

// Acknowledged tells whether every other process that lives has acted on all words known here.
func (s *SharedState) Acknowledged() bool {
	for _, path := range s.others() {
		if !s.hasActed(path) {
			return false
		}
	}
	return true
}

// hasActed tells whether the process that a file belongs to has acted on all words known here, or has ended.
func (s *SharedState) hasActed(path string) bool {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Is(err, fs.ErrNotExist)
	}
	seen, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	return err == nil && seen >= s.state.at()
}

func (s *SharedState) path() string { return filepath.Join(s.dir, statePath) }

// others are the files of the other processes that live. Those that the dead left are removed. A file that cannot be looked at
// just now is taken for a living one's, and where the directory cannot be read all is as it was.
func (s *SharedState) others() []string {
	entries, err := os.ReadDir(s.dir)
	if err != nil {
		s.complain(err)
		return s.beside
	}
	s.beside = s.beside[:0]
	var written []string
	for _, e := range entries {
		path := filepath.Join(s.dir, e.Name())
		if strings.HasPrefix(e.Name(), halves) {
			written = append(written, path)
		}
		if !strings.HasPrefix(e.Name(), processes) || s.own != nil && path == s.own.Name() {
			continue
		}
		switch dead, err := ended(path); {
		case err != nil:
			s.complain(err)
			s.beside = append(s.beside, path)
		case dead:
			_ = os.Remove(path)
		default:
			s.beside = append(s.beside, path)
		}
	}
	if len(s.beside) == 0 { // nobody writes them any more
		for _, path := range written {
			_ = os.Remove(path)
		}
	}
	return s.beside
}

// ended tells whether the process that a file belongs to has ended: the kernel drops its lock with it. An error tells that
// nobody knows.
func ended(path string) (bool, error) {
	fd, err := open(path)
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

func open(path string) (fd int, err error) {
	for {
		if fd, err = unix.Open(path, unix.O_RDONLY|unix.O_CLOEXEC, 0); err != unix.EINTR {
			return fd, err
		}
	}
}

// acted writes the newest word that this process has acted on where the others look, unless it stands there.
func (s *SharedState) acted() {
	newest := s.state.at()
	if s.own == nil || s.unacted || newest == s.acked {
		return
	}
	if _, err := s.own.WriteAt(fmt.Appendf(nil, "%0*d", seenDigits, newest), 0); err != nil {
		s.complain(err)
		return
	}
	s.acked = newest
}

// read merges what lies in the directory. Words that this process did not know are for Poll to hand over, whoever reads them.
func (s *SharedState) read() {
	info, err := os.Stat(s.path())
	if errors.Is(err, fs.ErrNotExist) {
		if _, err = os.Stat(s.dir); err == nil {
			s.known = true // nobody was told anything
		} else {
			s.complain(err)
		}
		return
	}
	var text []byte
	if err == nil && info.Size() > mostState {
		err = fmt.Errorf("state of %d bytes", info.Size())
	} else if err == nil {
		text, err = os.ReadFile(s.path())
	}
	if err != nil && (info == nil || info.Size() <= mostState) {
		s.complain(err) // it may be readable the next time
		return
	}
	s.mtime, s.size, s.known = info.ModTime(), info.Size(), true
	var found State
	if err == nil {
		found, err = parse(text)
	}
	if err != nil {
		s.complain(err)
		return
	}
	s.unacted = s.state.merge(found) || s.unacted
	if found.merge(State{Suspended: s.state.Suspended, Drained: s.state.Drained}) {
		s.write() // another process wrote at the same time and did not know ours
	}
}

// write puts the state in place whole: a reader finds the old one or the new one.
func (s *SharedState) write() {
	text, err := json.Marshal(s.state)
	var f *os.File
	if err == nil {
		f, err = sys.CreateTemp(s.dir, halves)
	}
	if err == nil {
		_, err = sys.WriteFile(f, text)
		if info, e := f.Stat(); e == nil {
			s.mtime, s.size = info.ModTime(), info.Size() // a rename keeps them
		}
		if e := f.Close(); err == nil {
			err = e
		}
		if err == nil {
			err = sys.Rename(f.Name(), s.path())
		}
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}
	if s.owed = err != nil; s.owed {
		s.complain(err)
		return
	}
	s.acted()
}

// complain logs what is wrong with the directory, once a second at most: a Poll may find the same again and again.
func (s *SharedState) complain(err error) {
	if now := time.Now(); err.Error() != s.odd && now.Sub(s.oddAt) >= complainEvery {
		s.odd, s.oddAt = err.Error(), now
		log.Printf("event=bad_state dir=%s err=%q", s.dir, err)
	}
}
