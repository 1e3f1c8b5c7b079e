// Package wordstore keeps operators' words to the fleet in a file, on a goroutine of its own: a slow, full or failing disk is
// told and never holds up who saves. The file is one more copy of the words, under the rules of all copies: what it has and
// the process has not is kept, whichever process wrote it. It is replaced whole, so that it is either the old or the new one
// whenever the machine stops, and bears a sum, so that damage shows. A file that is damaged, foreign, of a later build or too
// old is put aside or left alone: the gateway starts without it and catches up from the others.
package wordstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"log"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"lilaccove/internal/fleet/state"
	"lilaccove/internal/sys"
)

const (
	fileName              = "words"
	magic                 = "lilaccove words\n"
	format                = 1
	maxFileSize           = 64 << 20
	lockTimeout           = 2 * time.Second        // for another process of this gateway that saves
	lockRetryInterval     = 5 * time.Millisecond   // between two tries
	refreshInterval       = time.Minute            // how often it is noted that the process lives
	retryInterval         = time.Second            // and behind a failure
	logInterval           = 10 * time.Second       // a disk that goes on failing is told so often
	refreshesPerRetention = 4                      // and in a horizon at least so often
	minRefreshInterval    = 100 * time.Millisecond // whatever the horizon
)

// Why a file is not used.
var (
	ErrForeign    = errors.New("it is another gateway's or another fleet's")
	ErrFormat     = errors.New("it is of a later build")
	ErrOld        = errors.New("its process was away for longer than words are kept")
	ErrCorrupt    = errors.New("it is damaged")
	ErrInUse      = errors.New("another process holds the lock")
	ErrUnreadable = errors.New("it cannot be read yet") // it is tried again: see Options.Found
)

// Options are a store's.
type Options struct {
	Dir       string
	Fleet     string              // its name
	Gateway   string              // likewise
	Session   uint64              // of the process
	Retention time.Duration       // a copy that was not in use for so long may bring back what others have forgotten
	Now       func() ClockReading // nil: the machine's clocks

	// OnFound is called from another goroutine with words that the file has besides those saved; nil: nobody asks. Behind an
	// Open that ended with ErrUnread it is called once the file has been read, also if there are none.
	OnFound func(words []state.Override)
}

// content is what the file tells.
type content struct {
	Format    int              `cbor:"1,keyasint"`
	Fleet     string           `cbor:"2,keyasint"`
	Gateway   string           `cbor:"3,keyasint"`
	Session   uint64           `cbor:"4,keyasint"` // of the process that wrote it
	AtMS      int64            `cbor:"5,keyasint"` // when it did, Unix time
	Overrides []state.Override `cbor:"6,keyasint"`
	Boot      string           `cbor:"7,keyasint,omitempty"` // of its machine
	BootMS    int64            `cbor:"8,keyasint,omitempty"` // when it did, since then
}

// writtenAt is when a file was written.
func (c *content) writtenAt() ClockReading {
	return ClockReading{Wall: time.UnixMilli(c.AtMS), BootID: c.Boot, SinceBoot: time.Duration(c.BootMS) * time.Millisecond}
}

// Stats is how it went so far.
type Stats struct {
	Saved, Failed uint64 // writes
	OtherWriters  uint64 // files found that another process had written meanwhile
	Err           string // the last failure, empty once a write was done again
}

// Store is the file. Use Open.
type Store struct {
	opt  Options
	done chan struct{}

	mu        sync.Mutex // between the writer and who hands over
	wake      sync.Cond
	overrides []state.Override
	callbacks []func(err error)
	pending   bool
	closed    bool
	stats     Stats

	lastSession uint64 // the session that the last file was of; only the writer's
	fileRead    bool   // what the file had has been read, or it was put aside; only the writer's
	lastLogTime time.Time
}

// Open reads the words and begins to take new ones. What is wrong with a file is told in the error; the store beside it is
// nil where the file is not this gateway's to replace. With ErrUnread the store goes on trying to read.
func Open(opt Options) (*Store, []state.Override, error) {
	if opt.Now == nil {
		opt.Now = Now
	}
	s := &Store{opt: opt, done: make(chan struct{})}
	s.wake.L = &s.mu
	var overrides []state.Override
	err := os.MkdirAll(opt.Dir, 0o750)
	if err == nil {
		err = s.withLock(func() (err error) {
			overrides, err = s.readFile(opt.Now())
			return err
		})
	}
	if errors.Is(err, ErrForeign) || errors.Is(err, ErrFormat) {
		return nil, nil, err
	}
	if !s.fileRead {
		err = fmt.Errorf("%w: %w", ErrUnreadable, err)
		s.pending = true
	}
	go s.run()
	return s, overrides, err
}

func (s *Store) path() string { return filepath.Join(s.opt.Dir, fileName) }

// withLock does something while no other process does. The system gives the lock back when a process ends.
func (s *Store) withLock(run func() error) error {
	f, err := sys.OpenFile(s.path()+".lock", os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return err
	}
	defer f.Close()
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		switch err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
		case err == nil:
			return run()
		case err != unix.EWOULDBLOCK && err != unix.EINTR:
			return err
		case time.Now().After(deadline):
			return ErrInUse
		}
	}
}

// readFile takes in the file; one that is damaged or too old is put aside.
func (s *Store) readFile(now ClockReading) ([]state.Override, error) {
	text, err := s.loadFile()
	if err != nil && !errors.Is(err, ErrCorrupt) {
		return nil, err
	}
	s.fileRead = true
	if err != nil {
		return nil, s.moveAside("torn", err, now)
	}
	if text == nil {
		return nil, nil
	}
	saved, err := parse(text)
	switch {
	case errors.Is(err, ErrCorrupt):
		return nil, s.moveAside("torn", err, now)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", s.path(), err)
	case saved.Fleet != s.opt.Fleet || saved.Gateway != s.opt.Gateway:
		return nil, fmt.Errorf("%s: %w: of %s in %s", s.path(), ErrForeign, saved.Gateway, saved.Fleet)
	case now.since(saved.writtenAt()) > s.opt.Retention:
		since := time.UnixMilli(saved.AtMS).UTC().Format(time.RFC3339)
		return nil, s.moveAside("old", fmt.Errorf("%w: since %s", ErrOld, since), now)
	}
	if s.lastSession != 0 && saved.Session != s.lastSession && saved.Session != s.opt.Session {
		s.mu.Lock()
		s.stats.OtherWriters++
		s.mu.Unlock()
	}
	s.lastSession = saved.Session
	return saved.Overrides, nil
}

// loadFile is the file's text; nil: there is none.
func (s *Store) loadFile() ([]byte, error) {
	info, err := os.Stat(s.path())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case err != nil:
		return nil, err
	case info.Size() > maxFileSize:
		return nil, ErrCorrupt
	}
	return sys.ReadFile(s.path())
}

// moveAside renames the file, so that it can be looked at, and the next begins anew.
func (s *Store) moveAside(suffix string, reason error, now ClockReading) error {
	to := fmt.Sprintf("%s.%s.%d", s.path(), suffix, now.Wall.UnixMilli())
	if err := sys.Rename(s.path(), to); err != nil {
		return fmt.Errorf("%s: %w; it cannot be put aside: %w", s.path(), reason, err)
	}
	return fmt.Errorf("%s: %w; it is now %s", s.path(), reason, to)
}

// parse takes a file's text.
func parse(text []byte) (saved content, err error) {
	rest, ok := bytes.CutPrefix(text, []byte(magic))
	if !ok || len(rest) < 8 || xxhash.Sum64(rest[8:]) != binary.BigEndian.Uint64(rest) {
		return saved, ErrCorrupt
	}
	if err := cbor.Unmarshal(rest[8:], &saved); err != nil {
		return saved, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if saved.Format > format {
		return saved, ErrFormat
	}
	for i := range saved.Overrides {
		if saved.Overrides[i].LimitWriters(); !saved.Overrides[i].Valid() {
			return saved, ErrCorrupt
		}
	}
	return saved, nil
}

func encode(saved content) ([]byte, error) {
	text, err := cbor.Marshal(saved)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(text)), text...), nil
}

// Save hands over all words there are; then is called from another goroutine once they are on the disk, or are not, and
// behind Options.Found. Sets that wait are written as one, the newest.
func (s *Store) Save(overrides []state.Override, callback func(err error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overrides, s.pending = overrides, true
	if callback != nil {
		s.callbacks = append(s.callbacks, callback)
	}
	s.wake.Signal()
}

// Stats is how it went so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close writes what was handed over and ends, or gives up after a while: a disk may hang for ever.
func (s *Store) Close(timeout time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.wake.Signal()
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

func (s *Store) run() {
	defer close(s.done)
	interval := max(minRefreshInterval, min(refreshInterval, s.opt.Retention/refreshesPerRetention))
	var timer *time.Timer
	timer = time.AfterFunc(interval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pending = true
		s.wake.Signal()
	})
	defer timer.Stop()
	for {
		s.mu.Lock()
		for !s.pending && !s.closed {
			s.wake.Wait()
		}
		overrides, callbacks, pending := s.overrides, s.callbacks, s.pending
		s.callbacks, s.pending = nil, false
		s.mu.Unlock()
		if !pending {
			return
		}
		err := s.saveFile(overrides)
		s.recordResult(err)
		for _, callback := range callbacks {
			callback(err)
		}
		pause := interval
		if err != nil {
			pause = min(interval, retryInterval)
		}
		timer.Reset(pause)
	}
}

// saveFile writes the words and hands on what the file had besides.
func (s *Store) saveFile(overrides []state.Override) error {
	wasRead := s.fileRead
	var missing []state.Override
	err := s.withLock(func() (err error) {
		missing, err = s.writeFile(overrides, s.opt.Now())
		return err
	})
	if s.opt.OnFound != nil && (len(missing) > 0 || s.fileRead && !wasRead) {
		s.opt.OnFound(missing)
	}
	return err
}

// writeFile merges what the file has with the words and replaces it; it returns what the words lacked, also where it fails.
func (s *Store) writeFile(overrides []state.Override, now ClockReading) (missing []state.Override, err error) {
	stored, err := s.readFile(now)
	if err != nil && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrOld) {
		return nil, err
	}
	if err != nil {
		log.Printf("event=fleet_words_file err=%q", err)
	}
	all, missing := state.Merge(overrides, stored)
	text, err := encode(content{
		Format: format, Fleet: s.opt.Fleet, Gateway: s.opt.Gateway, Session: s.opt.Session, Overrides: all,
		AtMS: now.Wall.UnixMilli(), Boot: now.BootID, BootMS: now.SinceBoot.Milliseconds(),
	})
	if err != nil {
		return missing, err
	}
	if err := replaceFile(s.path(), text); err != nil {
		return missing, err
	}
	s.lastSession = s.opt.Session
	return missing, nil
}

// replaceFile puts a new file in the place of an old one: on the disk before it is renamed, and the renaming, too, before it returns.
func replaceFile(path string, text []byte) error {
	temp := path + ".next"
	f, err := sys.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	if _, err = sys.WriteFile(f, text); err == nil {
		err = sys.Sync(f)
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = sys.Rename(temp, path)
	}
	if err != nil {
		_ = os.Remove(temp)
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (s *Store) recordResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.stats.Saved++
		s.stats.Err = ""
		return
	}
	s.stats.Failed++
	s.stats.Err = err.Error()
	if time.Since(s.lastLogTime) >= logInterval {
		s.lastLogTime = time.Now()
		log.Printf("event=fleet_words_not_saved failed=%d err=%q", s.stats.Failed, err)
	}
}
