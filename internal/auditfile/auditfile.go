// Package auditfile appends lines to a file that is rotated by size, on a goroutine of its own: a slow, full or failing disk
// loses lines, which are counted, and never blocks the caller.
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
	queueSize   = 256              // lines that wait for the disk
	logInterval = 10 * time.Second // between log lines about a failing disk
)

// Options configures a Writer.
type Options struct {
	Path     string
	MaxBytes int64 // of one file; a larger one is renamed to PATH.1, that one to PATH.2 and so on
	Keep     int   // number of rotated files
}

// Stats counts lines and holds the last error.
type Stats struct {
	Written, Lost uint64
	Err           string // the last failure, empty after a line was written
}

// Writer writes lines to the file. Use Open.
type Writer struct {
	opt         Options
	lines       chan []byte
	done        chan struct{}
	file        *os.File
	size        int64
	lastLogTime time.Time

	mu    sync.Mutex // guards stats
	stats Stats
}

// Open opens the file and starts the writer. An unusable path is an error. A temporary lack of system resources is not: it
// is logged, and lines are lost until the file can be opened.
func Open(opt Options) (*Writer, error) {
	w := &Writer{opt: opt, lines: make(chan []byte, queueSize), done: make(chan struct{})}
	if err := w.open(); err != nil {
		if !sys.IsTransient(err) {
			return nil, err
		}
		log.Printf("event=audit_file_failed lost=0 err=%q", err)
	}
	go w.run()
	return w, nil
}

// open opens the file. If the last line has no line break, as a killed process leaves it, one is added, so that the next
// line starts on its own.
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

// Write queues a line, given without its line break. It does not block; false: the line is lost.
func (w *Writer) Write(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		w.recordResult(nil, false)
		return false
	}
}

// Stats returns the statistics so far.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}

// Close writes what is queued and ends the writer, or gives up after the timeout: a disk may hang forever.
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

// write appends a line; after a partial write it truncates the file to its previous size, if it can.
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
		w.size += int64(n) // the partial line stays; open ends it with a line break
	}
	w.file.Close() // the next line opens it again
	w.file = nil
	return err
}

// rotate shifts each file to the next number and removes the oldest.
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

// Lines returns the complete lines of a file and its rotated ones, oldest first.
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
