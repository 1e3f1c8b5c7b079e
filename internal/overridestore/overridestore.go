// Package overridestore stores the fleet's operator overrides in a file, on a goroutine of its own: a slow, full or failing disk
// is reported and never blocks the caller. The file is one more copy of the overrides and is merged like any other copy:
// overrides that it has and the process lacks are kept, whichever process wrote them. It is replaced atomically, so that a
// crash leaves either the old file or the new one, and carries a checksum, so that corruption is detected. A corrupt or
// expired file is moved aside, one of another gateway, another fleet or a later build is left alone: the gateway starts
// without it and gets the overrides from the other members.
package overridestore

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
	maxFileSize           = 64 << 20               // bytes
	lockTimeout           = 2 * time.Second        // to wait while another process of this gateway saves
	lockRetryInterval     = 5 * time.Millisecond   // between two attempts
	refreshInterval       = time.Minute            // for rewriting the file with a new time, which shows that the process runs
	retryInterval         = time.Second            // after a failed write
	logInterval           = 10 * time.Second       // between log lines about a failing disk
	refreshesPerRetention = 4                      // minimum number of refreshes within the retention time
	minRefreshInterval    = 100 * time.Millisecond // for a short retention time
)

// Reasons for which a file is not used.
var (
	ErrForeign    = errors.New("it is another gateway's or another fleet's")
	ErrFormat     = errors.New("it is of a later build")
	ErrOld        = errors.New("its process was stopped for longer than overrides are kept")
	ErrCorrupt    = errors.New("it is damaged")
	ErrInUse      = errors.New("another process holds the lock")
	ErrUnreadable = errors.New("it cannot be read yet") // reading is retried: see Options.OnFound
)

// Options configures a store.
type Options struct {
	Dir       string
	Fleet     string              // the fleet's name
	Gateway   string              // the gateway's name
	Session   uint64              // of this process
	Retention time.Duration       // a file unused for longer is not loaded: it may hold overrides that the others have already dropped
	Now       func() ClockReading // nil: the machine's clocks

	// OnFound is called from another goroutine with overrides that the file has and those saved lack; nil: not called. After
	// an Open that returned ErrUnreadable it is called once the file has been read, even if it has none.
	OnFound func(overrides []state.Override)
}

// content is the content of the file.
type content struct {
	Format    int              `cbor:"1,keyasint"`
	Fleet     string           `cbor:"2,keyasint"`
	Gateway   string           `cbor:"3,keyasint"`
	Session   uint64           `cbor:"4,keyasint"` // of the process that wrote it
	AtMS      int64            `cbor:"5,keyasint"` // when it was written, Unix time
	Overrides []state.Override `cbor:"6,keyasint"`
	Boot      string           `cbor:"7,keyasint,omitempty"` // boot ID of that machine
	BootMS    int64            `cbor:"8,keyasint,omitempty"` // when it was written, since that boot
}

// writtenAt returns when the file was written.
func (c *content) writtenAt() ClockReading {
	return ClockReading{Wall: time.UnixMilli(c.AtMS), BootID: c.Boot, SinceBoot: time.Duration(c.BootMS) * time.Millisecond}
}

// Stats counts writes and holds the last error.
type Stats struct {
	Saved, Failed uint64 // writes
	OtherWriters  uint64 // times that the file was found to be written by another process
	Err           string // the last failure, empty after a successful write
}

// Store writes the file. Use Open.
type Store struct {
	opt  Options
	done chan struct{}

	mu        sync.Mutex // guards the fields up to stats
	wake      sync.Cond
	overrides []state.Override
	callbacks []func(err error)
	pending   bool
	closed    bool
	stats     Stats

	// Only the writer uses these.
	lastSession uint64 // of the process that wrote the file last
	fileRead    bool   // the file has been read or moved aside, or there was none
	lastLogTime time.Time
}

// Open reads the stored overrides and starts the writer. An error tells why the file is not used; with ErrForeign and
// ErrFormat, where this process must not replace the file, the store is nil. With ErrUnreadable the store retries reading.
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

// withLock calls run while holding the lock that excludes other processes. The kernel releases the lock when a process ends.
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

// readFile reads the file; one that is corrupt or expired is moved aside.
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

// loadFile returns the file's bytes; nil: there is no file.
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

// moveAside renames the file, so that it can be examined and the next write creates a new one.
func (s *Store) moveAside(suffix string, reason error, now ClockReading) error {
	to := fmt.Sprintf("%s.%s.%d", s.path(), suffix, now.Wall.UnixMilli())
	if err := sys.Rename(s.path(), to); err != nil {
		return fmt.Errorf("%s: %w; it cannot be moved aside: %w", s.path(), reason, err)
	}
	return fmt.Errorf("%s: %w; it was moved to %s", s.path(), reason, to)
}

// parse decodes and validates a file.
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

// encode returns the bytes of a file: the magic, a checksum and the content in CBOR.
func encode(saved content) ([]byte, error) {
	text, err := cbor.Marshal(saved)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(text)), text...), nil
}

// Save queues the complete set of overrides; callback is called from another goroutine once the write has succeeded or
// failed, after Options.OnFound. Of the sets that wait only the newest is written.
func (s *Store) Save(overrides []state.Override, callback func(err error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overrides, s.pending = overrides, true
	if callback != nil {
		s.callbacks = append(s.callbacks, callback)
	}
	s.wake.Signal()
}

// Stats returns the statistics so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Close writes what is queued and ends the writer, or gives up after the timeout: a disk may hang forever.
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

// run writes queued overrides until Close, and rewrites the file at intervals so that it does not expire.
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

// saveFile writes the overrides and passes those that only the file had to Options.OnFound.
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

// writeFile merges the file with the overrides and replaces it. It returns those that only the file had, even with an error.
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

// replaceFile replaces a file atomically and durably: the new file is synced before it is renamed, and the directory after.
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
