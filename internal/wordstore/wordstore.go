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
	fileName   = "words"
	magic      = "lilaccove words\n"
	format     = 1
	mostBytes  = 64 << 20
	lockWait   = 2 * time.Second        // for another process of this gateway that saves
	lockPause  = 5 * time.Millisecond   // between two tries
	stampEvery = time.Minute            // how often it is noted that the process lives
	retryEvery = time.Second            // and behind a failure
	logEvery   = 10 * time.Second       // a disk that goes on failing is told so often
	stampPart  = 4                      // and in a horizon at least so often
	leastStamp = 100 * time.Millisecond // whatever the horizon
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
	Format  int              `cbor:"1,keyasint"`
	Fleet   string           `cbor:"2,keyasint"`
	Gateway string           `cbor:"3,keyasint"`
	Session uint64           `cbor:"4,keyasint"` // of the process that wrote it
	AtMS    int64            `cbor:"5,keyasint"` // when it did, Unix time
	Words   []state.Override `cbor:"6,keyasint"`
	Boot    string           `cbor:"7,keyasint,omitempty"` // of its machine
	BootMS  int64            `cbor:"8,keyasint,omitempty"` // when it did, since then
}

// at is when a file was written.
func (c *content) at() ClockReading {
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

	mu     sync.Mutex // between the writer and who hands over
	wake   sync.Cond
	words  []state.Override
	then   []func(err error)
	due    bool
	closed bool
	state  Stats

	before uint64 // the session that the last file was of; only the writer's
	known  bool   // what the file had has been read, or it was put aside; only the writer's
	told   time.Time
}

// Open reads the words and begins to take new ones. What is wrong with a file is told in the error; the store beside it is
// nil where the file is not this gateway's to replace. With ErrUnread the store goes on trying to read.
func Open(opt Options) (*Store, []state.Override, error) {
	if opt.Now == nil {
		opt.Now = Now
	}
	s := &Store{opt: opt, done: make(chan struct{})}
	s.wake.L = &s.mu
	var words []state.Override
	err := os.MkdirAll(opt.Dir, 0o750)
	if err == nil {
		err = s.locked(func() (err error) {
			words, err = s.read(opt.Now())
			return err
		})
	}
	if errors.Is(err, ErrForeign) || errors.Is(err, ErrFormat) {
		return nil, nil, err
	}
	if !s.known {
		err = fmt.Errorf("%w: %w", ErrUnreadable, err)
		s.due = true
	}
	go s.run()
	return s, words, err
}

func (s *Store) path() string { return filepath.Join(s.opt.Dir, fileName) }

// locked does something while no other process does. The system gives the lock back when a process ends.
func (s *Store) locked(do func() error) error {
	f, err := sys.OpenFile(s.path()+".lock", os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return err
	}
	defer f.Close()
	for late := time.Now().Add(lockWait); ; time.Sleep(lockPause) {
		switch err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
		case err == nil:
			return do()
		case err != unix.EWOULDBLOCK && err != unix.EINTR:
			return err
		case time.Now().After(late):
			return ErrInUse
		}
	}
}

// read takes in the file; one that is damaged or too old is put aside.
func (s *Store) read(now ClockReading) ([]state.Override, error) {
	text, err := s.load()
	if err != nil && !errors.Is(err, ErrCorrupt) {
		return nil, err
	}
	s.known = true
	if err != nil {
		return nil, s.aside("torn", err, now)
	}
	if text == nil {
		return nil, nil
	}
	c, err := parse(text)
	switch {
	case errors.Is(err, ErrCorrupt):
		return nil, s.aside("torn", err, now)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", s.path(), err)
	case c.Fleet != s.opt.Fleet || c.Gateway != s.opt.Gateway:
		return nil, fmt.Errorf("%s: %w: of %s in %s", s.path(), ErrForeign, c.Gateway, c.Fleet)
	case now.since(c.at()) > s.opt.Retention:
		since := time.UnixMilli(c.AtMS).UTC().Format(time.RFC3339)
		return nil, s.aside("old", fmt.Errorf("%w: since %s", ErrOld, since), now)
	}
	if s.before != 0 && c.Session != s.before && c.Session != s.opt.Session {
		s.mu.Lock()
		s.state.OtherWriters++
		s.mu.Unlock()
	}
	s.before = c.Session
	return c.Words, nil
}

// load is the file's text; nil: there is none.
func (s *Store) load() ([]byte, error) {
	info, err := os.Stat(s.path())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case err != nil:
		return nil, err
	case info.Size() > mostBytes:
		return nil, ErrCorrupt
	}
	return sys.ReadFile(s.path())
}

// aside renames the file, so that it can be looked at, and the next begins anew.
func (s *Store) aside(what string, why error, now ClockReading) error {
	to := fmt.Sprintf("%s.%s.%d", s.path(), what, now.Wall.UnixMilli())
	if err := sys.Rename(s.path(), to); err != nil {
		return fmt.Errorf("%s: %w; it cannot be put aside: %w", s.path(), why, err)
	}
	return fmt.Errorf("%s: %w; it is now %s", s.path(), why, to)
}

// parse takes a file's text.
func parse(text []byte) (c content, err error) {
	rest, ok := bytes.CutPrefix(text, []byte(magic))
	if !ok || len(rest) < 8 || xxhash.Sum64(rest[8:]) != binary.BigEndian.Uint64(rest) {
		return c, ErrCorrupt
	}
	if err := cbor.Unmarshal(rest[8:], &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if c.Format > format {
		return c, ErrFormat
	}
	for i := range c.Words {
		if c.Words[i].LimitWriters(); !c.Words[i].Valid() {
			return c, ErrCorrupt
		}
	}
	return c, nil
}

func compose(c content) ([]byte, error) {
	text, err := cbor.Marshal(c)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(text)), text...), nil
}

// Save hands over all words there are; then is called from another goroutine once they are on the disk, or are not, and
// behind Options.Found. Sets that wait are written as one, the newest.
func (s *Store) Save(words []state.Override, then func(err error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words, s.due = words, true
	if then != nil {
		s.then = append(s.then, then)
	}
	s.wake.Signal()
}

// Stats is how it went so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Close writes what was handed over and ends, or gives up after a while: a disk may hang for ever.
func (s *Store) Close(patience time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.wake.Signal()
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(patience):
	}
}

func (s *Store) run() {
	defer close(s.done)
	every := max(leastStamp, min(stampEvery, s.opt.Retention/stampPart))
	var tick *time.Timer
	tick = time.AfterFunc(every, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.due = true
		s.wake.Signal()
	})
	defer tick.Stop()
	for {
		s.mu.Lock()
		for !s.due && !s.closed {
			s.wake.Wait()
		}
		words, then, due := s.words, s.then, s.due
		s.then, s.due = nil, false
		s.mu.Unlock()
		if !due {
			return
		}
		err := s.save(words)
		s.note(err)
		for _, do := range then {
			do(err)
		}
		pause := every
		if err != nil {
			pause = min(every, retryEvery)
		}
		tick.Reset(pause)
	}
}

// save writes the words and hands on what the file had besides.
func (s *Store) save(words []state.Override) error {
	knew := s.known
	var more []state.Override
	err := s.locked(func() (err error) {
		more, err = s.write(words, s.opt.Now())
		return err
	})
	if s.opt.OnFound != nil && (len(more) > 0 || s.known && !knew) {
		s.opt.OnFound(more)
	}
	return err
}

// write merges what the file has with the words and replaces it; it returns what the words lacked, also where it fails.
func (s *Store) write(words []state.Override, now ClockReading) (more []state.Override, err error) {
	had, err := s.read(now)
	if err != nil && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrOld) {
		return nil, err
	}
	if err != nil {
		log.Printf("event=fleet_words_file err=%q", err)
	}
	all, more := state.Merge(words, had)
	text, err := compose(content{
		Format: format, Fleet: s.opt.Fleet, Gateway: s.opt.Gateway, Session: s.opt.Session, Words: all,
		AtMS: now.Wall.UnixMilli(), Boot: now.BootID, BootMS: now.SinceBoot.Milliseconds(),
	})
	if err != nil {
		return more, err
	}
	if err := replace(s.path(), text); err != nil {
		return more, err
	}
	s.before = s.opt.Session
	return more, nil
}

// replace puts a new file in the place of an old one: on the disk before it is renamed, and the renaming, too, before it returns.
func replace(path string, text []byte) error {
	next := path + ".next"
	f, err := sys.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	if _, err = sys.WriteFile(f, text); err == nil {
		err = sys.Sync(f)
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = sys.Rename(next, path)
	}
	if err != nil {
		_ = os.Remove(next)
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (s *Store) note(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.state.Saved++
		s.state.Err = ""
		return
	}
	s.state.Failed++
	s.state.Err = err.Error()
	if time.Since(s.told) >= logEvery {
		s.told = time.Now()
		log.Printf("event=fleet_words_not_saved failed=%d err=%q", s.state.Failed, err)
	}
}
