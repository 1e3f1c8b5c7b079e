package pgwire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
)

const (
	MaxHeadBytes  = 1 << 10 // of a heading comment
	maxValueBytes = 128     // of each value in it
)

// Head holds the fields of the comment before a statement. Its slices point into the statement.
type Head struct {
	ID, Class      []byte
	DeadlineMillis int64 // how long the client waits, counted from when it sent the request
	Cluster        int64
	After          int64  // a position in Unix milliseconds; 0: none
	Key            []byte // the first quoted text after the comment; nil: there is none
	deadlineStart  int    // position of the digits of d in the statement
	deadlineEnd    int
}

// Errors of ParseHead.
var (
	ErrNoHead  = errors.New("statement has no heading comment")
	ErrNoField = errors.New("heading comment lacks a name")
)

// ParseHead parses the heading comment without copying. Unknown names are ignored: they are meant for the databases.
func ParseHead(text []byte) (Head, error) {
	var head Head
	trimmed := bytes.TrimLeft(text, " \t\r\n")
	start := len(text) - len(trimmed)
	if !bytes.HasPrefix(trimmed, []byte("/*")) {
		return head, ErrNoHead
	}
	start += 2
	end := bytes.Index(text[start:min(len(text), start+MaxHeadBytes)], []byte("*/"))
	if end < 0 {
		return head, ErrNoHead
	}
	end += start
	var found [6]bool
	for fieldStart := start; fieldStart < end; {
		fieldEnd := bytes.IndexByte(text[fieldStart:end], ',')
		if fieldEnd < 0 {
			fieldEnd = end
		} else {
			fieldEnd += fieldStart
		}
		if err := head.parseField(text, fieldStart, fieldEnd, &found); err != nil {
			return head, err
		}
		fieldStart = fieldEnd + 1
	}
	for i, name := range []string{"id", "c", "d", "cluster"} {
		if !found[i] {
			return head, fmt.Errorf("%w: %s", ErrNoField, name)
		}
	}
	head.Key = firstQuoted(text[end+2:])
	return head, nil
}

// parseField parses one name=value between two positions of the statement.
func (h *Head) parseField(text []byte, from, to int, found *[6]bool) error {
	for from < to && isSpace(text[from]) {
		from++
	}
	for to > from && isSpace(text[to-1]) {
		to--
	}
	equals := bytes.IndexByte(text[from:to], '=')
	if equals <= 0 {
		return fmt.Errorf("heading comment: %q is no name=value", truncate(text[from:to]))
	}
	name, value := text[from:from+equals], text[from+equals+1:to]
	if len(value) == 0 || len(value) > maxValueBytes {
		return fmt.Errorf("heading comment: %s has %d bytes", truncate(name), len(value))
	}
	index, err := 0, error(nil)
	switch string(name) {
	case "id":
		h.ID = value
	case "c":
		index, h.Class = 1, value
	case "d":
		index, h.deadlineStart, h.deadlineEnd = 2, from+equals+1, to
		h.DeadlineMillis, err = parseNumber(value, math.MaxInt32)
	case "cluster":
		index = 3
		h.Cluster, err = parseNumber(value, math.MaxInt32)
	case "after":
		index = 4
		h.After, err = parseNumber(value, math.MaxInt64/1_000_000)
	default:
		return nil
	}
	if err == nil && found[index] {
		err = errors.New("stands twice")
	}
	if err != nil {
		return fmt.Errorf("heading comment: %s: %w", name, err)
	}
	found[index] = true
	return nil
}

// SplitAtDeadline returns the parts of the statement before and after the digits of d.
func (h *Head) SplitAtDeadline(text []byte) (before, after []byte) {
	return text[:h.deadlineStart], text[h.deadlineEnd:]
}

// parseNumber parses an unsigned decimal number up to limit.
func parseNumber(b []byte, limit int64) (n int64, err error) {
	for _, digit := range b {
		if digit < '0' || digit > '9' || n > (limit-int64(digit-'0'))/10 {
			return 0, fmt.Errorf("%q is no number in bounds", truncate(b))
		}
		n = 10*n + int64(digit-'0')
	}
	return n, nil
}

// firstQuoted returns the first quoted text. It does not handle doubled quotes: keys contain none.
func firstQuoted(b []byte) []byte {
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

// truncate shortens a text for an error message.
func truncate(b []byte) []byte { return b[:min(len(b), 40)] }

// isSpace reports whether c is white space.
func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// Statement is a query with its parsed head, as a front passes it to a backend.
type Statement struct {
	Text []byte
	Head Head
	Rest [][]byte // the parts after Text, if the query arrived in pieces
}

// Length returns the length of the whole text.
func (s *Statement) Length() int {
	n := len(s.Text)
	for _, b := range s.Rest {
		n += len(b)
	}
	return n
}
