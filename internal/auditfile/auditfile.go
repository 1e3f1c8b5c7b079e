// Package auditfile appends lines to a file that is rotated by size, on a goroutine of its own: a slow, full or failing disk
// costs lines, which are counted, and never holds up who writes them.
package auditfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log"
	"os"
	"sync"
	"time"

	"lilaccove/internal/sys"
)

const (
	queueSize   = 256              // lines on their way to the disk
	logInterval = 10 * time.Second // a disk that goes on failing is told so often
)

// Options are a file's.
type Options struct {
	Path     string
	MaxBytes int64 // bytes of one file, over which it is renamed to PATH.1, that to PATH.2 and so on
	Keep     int   // files of old lines
}

// Stats is how it went so far.
type Stats struct {
	Written, Lost uint64
	Err           string // the last failure, empty once a line was written again
}

// Writer writes the lines. Use Open.
type Writer struct {
	opt         Options
	lines       chan []byte
	done        chan struct{}
	file        *os.File
	size        int64
	lastLogTime time.Time

	mu    sync.Mutex // between the writer and who asks for the state
	stats Stats
}

// Open begins to write. A path that cannot be used is an error; what the system lacks for a moment costs lines, as later, and
// is told by State and the log.
func Open(opt Options) (*Writer, error) {
	w := &Writer{opt: opt, lines: make(chan []byte, queueSize), done: make(chan struct{})}
	if err := w.open(); err != nil {
		if !sys.Passing(err) {
			return nil, err
		}
		log.Printf("event=audit_file_failed lost=0 err=%q", err)
	}
	go w.run()
	return w, nil
}

// open opens the file. A last line without its end is what a process that was killed had not finished: the next begins on
// a line of its own.
func (w *Writer) open() error {
	f, err := os.OpenFile(w.opt.Path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o640)
	if err != nil {
		return err
	}
	size, err := f.Seek(0, io.SeekEnd)
	var last [1]byte
	if err == nil && size > 0 {
		if _, err = f.ReadAt(last[:], size-1); err == nil && last[0] != '\n' {
			_, err = f.Write([]byte{'\n'})
			size++
		}
	}
	if err != nil {
		f.Close()
		return err
	}
	w.file, w.size = f, size
	return nil
}

// Write hands a line over, without its end. It does not wait; false: the line is lost.
func (w *Writer) Write(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		w.recordResult(nil, false)
		return false
	}
}

// Stats is how it went so far.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Close writes what was handed over and ends, or gives up after a while: a disk may hang for ever.
func (w *Writer) Close(timeout time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		err := w.write(append(bytes.Clone(line), '\n'))
		w.recordResult(err, err == nil)
		if err != nil && time.Since(w.lastLogTime) >= logInterval {
			w.lastLogTime = time.Now()
			log.Printf("event=audit_file_failed lost=%d err=%q", w.Stats().Lost, err)
		}
	}
	if w.file != nil {
		w.file.Close()
	}
}

func (w *Writer) recordResult(err error, written bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if written {
		w.stats.Written++
		w.stats.Err = ""
		return
	}
	if w.stats.Lost++; err != nil {
		w.stats.Err = err.Error()
	}
}

// write appends a line, whole or not at all as far as that can be had.
func (w *Writer) write(line []byte) error {
	if w.file != nil && w.size > 0 && w.size+int64(len(line)) > w.opt.MaxBytes {
		if err := w.rotate(); err != nil {
			return err
		}
	}
	if w.file == nil {
		if err := w.open(); err != nil {
			return err
		}
	}
	n, err := w.file.Write(line)
	if err == nil {
		w.size += int64(n)
		return nil
	}
	if n > 0 && w.file.Truncate(w.size) != nil {
		w.size += int64(n) // the half of a line stays: the next goes to a new end of line
	}
	w.file.Close() // it is opened anew for the next line
	w.file = nil
	return err
}

func (w *Writer) rotate() error {
	w.file.Close()
	w.file = nil
	for i := w.opt.Keep; i >= 0; i-- {
		from := w.rotatedPath(i)
		var err error
		if i == w.opt.Keep {
			err = os.Remove(from)
		} else {
			err = os.Rename(from, w.rotatedPath(i+1))
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("rotate: %w", err)
		}
	}
	return nil
}

func (w *Writer) rotatedPath(i int) string {
	if i == 0 {
		return w.opt.Path
	}
	return fmt.Sprintf("%s.%d", w.opt.Path, i)
}

// Lines reads a file and its older ones, oldest first: whole lines only.
func Lines(path string) (lines [][]byte, err error) {
	w := Writer{opt: Options{Path: path}}
	last := 0
	for {
		if _, err := os.Stat(w.rotatedPath(last + 1)); err != nil {
			break
		}
		last++
	}
	for i := last; i >= 0; i-- {
		text, err := os.ReadFile(w.rotatedPath(i))
		if err != nil {
			return nil, err
		}
		for line := range bytes.Lines(text) {
			if whole, ok := bytes.CutSuffix(line, []byte{'\n'}); ok && len(whole) > 0 {
				lines = append(lines, whole)
			}
		}
	}
	return lines, nil
}
