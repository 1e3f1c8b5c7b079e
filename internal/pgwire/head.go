package pgwire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
)

const (
	mostHead = 1 << 10
	mostName = 128
)

// Head is what the comment before a statement tells. The texts lie in the statement.
type Head struct {
	ID, Class      []byte
	DeadlineMillis int64 // how long the client waits, from when it sent the request
	Cluster        int64
	After          int64 // a position in Unix milliseconds; 0: none
	Key            []byte
	waitAt         int // where the digits of d stand in the statement
	waitEnd        int
}

// Errors of heads.
var (
	ErrNoHead  = errors.New("statement has no heading comment")
	ErrNoField = errors.New("heading comment lacks a name")
)

// ParseHead reads the comment in place. Names it does not know are passed over: they
// are for the databases.
func ParseHead(text []byte) (Head, error) {
	var h Head
	open := bytes.TrimLeft(text, " \t\r\n")
	at := len(text) - len(open)
	if !bytes.HasPrefix(open, []byte("/*")) {
		return h, ErrNoHead
	}
	at += 2
	end := bytes.Index(text[at:min(len(text), at+mostHead)], []byte("*/"))
	if end < 0 {
		return h, ErrNoHead
	}
	end += at
	var seen [6]bool
	for pos := at; pos < end; {
		stop := bytes.IndexByte(text[pos:end], ',')
		if stop < 0 {
			stop = end
		} else {
			stop += pos
		}
		if err := h.field(text, pos, stop, &seen); err != nil {
			return h, err
		}
		pos = stop + 1
	}
	for i, name := range []string{"id", "c", "d", "cluster"} {
		if !seen[i] {
			return h, fmt.Errorf("%w: %s", ErrNoField, name)
		}
	}
	h.Key = quoted(text[end+2:])
	return h, nil
}

// field reads one name=value between two places of the statement.
func (h *Head) field(text []byte, from, to int, seen *[6]bool) error {
	for from < to && space(text[from]) {
		from++
	}
	for to > from && space(text[to-1]) {
		to--
	}
	eq := bytes.IndexByte(text[from:to], '=')
	if eq <= 0 {
		return fmt.Errorf("heading comment: %q is no name=value", clip(text[from:to]))
	}
	name, value := text[from:from+eq], text[from+eq+1:to]
	if len(value) == 0 || len(value) > mostName {
		return fmt.Errorf("heading comment: %s has %d bytes", clip(name), len(value))
	}
	which, err := 0, error(nil)
	switch string(name) {
	case "id":
		h.ID = value
	case "c":
		which, h.Class = 1, value
	case "d":
		which, h.waitAt, h.waitEnd = 2, from+eq+1, to
		h.DeadlineMillis, err = number(value, math.MaxInt32)
	case "cluster":
		which = 3
		h.Cluster, err = number(value, math.MaxInt32)
	case "after":
		which = 4
		h.After, err = number(value, math.MaxInt64/1_000_000)
	default:
		return nil
	}
	if err == nil && seen[which] {
		err = errors.New("stands twice")
	}
	if err != nil {
		return fmt.Errorf("heading comment: %s: %w", name, err)
	}
	seen[which] = true
	return nil
}

// SplitAtDeadline returns the parts of the statement before and behind the digits of d.
func (h *Head) SplitAtDeadline(text []byte) (before, behind []byte) {
	return text[:h.waitAt], text[h.waitEnd:]
}

func number(b []byte, most int64) (n int64, err error) {
	for _, c := range b {
		if c < '0' || c > '9' || n > (most-int64(c-'0'))/10 {
			return 0, fmt.Errorf("%q is no number in bounds", clip(b))
		}
		n = 10*n + int64(c-'0')
	}
	return n, nil
}

// quoted is the first quoted text; a doubled quote in it is no concern of a key.
func quoted(b []byte) []byte {
	from := bytes.IndexByte(b, '\'')
	if from < 0 {
		return nil
	}
	to := bytes.IndexByte(b[from+1:], '\'')
	if to < 0 {
		return nil
	}
	return b[from+1 : from+1+to]
}

func clip(b []byte) []byte { return b[:min(len(b), 40)] }

func space(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// Statement is a query with its head, as a front hands it to a backend.
type Statement struct {
	Text []byte
	Head Head
	Rest [][]byte // what follows Text, of one that came in pieces
}

// Length is that of the whole text.
func (s *Statement) Length() int {
	n := len(s.Text)
	for _, b := range s.Rest {
		n += len(b)
	}
	return n
}
