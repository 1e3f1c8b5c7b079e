// Package http1 parses HTTP/1.1 in place: the answers that discovery gives, and the calls that
// operators make. It knows bytes only, no sockets.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Errors of an HTTP answer.
var (
	errHead  = errors.New("malformed answer head")
	errChunk = errors.New("malformed chunk")
)

const (
	mostHead      = 16 << 10
	mostChunkHead = 256
)

// Response parses one HTTP/1.1 answer in place, as it comes.
type Response struct {
	HeadComplete bool
	Status       int
	chunked      bool
	left         int64 // of the body or of the chunk; -1: until the connection ends
	inChunk      bool  // the data of a chunk, and then its line end, are next
	trailer      bool  // the last chunk has come
	Done         bool
}

// Feed parses what it can of b and hands body bytes to data. It returns how much of b
// is dealt with.
func (r *Response) Feed(b []byte, data func([]byte) error) (n int, err error) {
	for !r.Done {
		k := 0
		switch {
		case !r.HeadComplete:
			k, err = r.head(b[n:])
		case !r.chunked:
			k = r.plain(b[n:])
			err = data(b[n : n+k])
		case r.trailer:
			k, err = r.trailing(b[n:])
		case !r.inChunk:
			k, err = r.chunkHead(b[n:])
		case r.left > 0:
			k = r.plain(b[n:])
			err = data(b[n : n+k])
		default:
			k, err = r.chunkEnd(b[n:])
		}
		if err != nil || k == 0 {
			return n, err
		}
		n += k
	}
	return n, nil
}

func (r *Response) plain(b []byte) int {
	k := int64(len(b))
	if r.left >= 0 {
		k = min(k, r.left)
		r.left -= k
		r.Done = !r.chunked && r.left == 0
	}
	return int(k)
}

func (r *Response) head(b []byte) (int, error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > mostHead {
			return 0, errHead
		}
		return 0, nil
	}
	line, rest, _ := bytes.Cut(b[:end+2], []byte("\r\n"))
	version, after, ok := bytes.Cut(line, []byte{' '})
	if !ok || !bytes.HasPrefix(version, []byte("HTTP/1.")) || len(after) < 3 {
		return 0, fmt.Errorf("%w: %.40q", errHead, line)
	}
	status, err := strconv.Atoi(string(after[:3]))
	if err != nil || status < 100 {
		return 0, fmt.Errorf("%w: %.40q", errHead, line)
	}
	if status < 200 { // 100 Continue and its like come before the answer
		return end + 4, nil
	}
	r.HeadComplete, r.Status, r.left = true, status, -1
	err = fields(rest, func(name, value []byte) error {
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			r.chunked = bytes.EqualFold(value, []byte("chunked"))
		case bytes.EqualFold(name, []byte("Content-Length")):
			return length(value, &r.left)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	if r.chunked {
		r.left = 0
	}
	r.Done = !r.chunked && r.left == 0
	return end + 4, nil
}

// fields hands each header field to do; lines end in CRLF.
func fields(rest []byte, do func(name, value []byte) error) error {
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok {
			return fmt.Errorf("%w: %.40q", errHead, line)
		}
		if err := do(name, bytes.TrimSpace(value)); err != nil {
			return err
		}
	}
	return nil
}

// length reads the value of Content-Length.
func length(value []byte, to *int64) error {
	n, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil {
		return fmt.Errorf("%w: length %.40q", errHead, value)
	}
	*to = int64(n)
	return nil
}

func (r *Response) chunkHead(b []byte) (int, error) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > mostChunkHead {
			return 0, errChunk
		}
		return 0, nil
	}
	size, _, _ := bytes.Cut(b[:end], []byte{';'})
	n, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 32)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%w: size %.20q", errChunk, size)
	}
	r.left, r.inChunk, r.trailer = n, n > 0, n == 0
	return end + 2, nil
}

func (r *Response) chunkEnd(b []byte) (int, error) {
	if len(b) < 2 {
		return 0, nil
	}
	if b[0] != '\r' || b[1] != '\n' {
		return 0, fmt.Errorf("%w: no line end behind the data", errChunk)
	}
	r.inChunk = false
	return 2, nil
}

func (r *Response) trailing(b []byte) (int, error) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > mostHead {
			return 0, errChunk
		}
		return 0, nil
	}
	r.Done = end == 0
	return end + 2, nil
}
