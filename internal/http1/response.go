// Package http1 parses HTTP/1.1 incrementally: discovery's responses and operators' requests. It works on bytes, without
// sockets.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Errors of a response. Some are also the reasons of a [StatusError].
var (
	errMalformedHead  = errors.New("malformed answer head")
	errMalformedChunk = errors.New("malformed chunk")
)

const (
	maxResponseHead = 16 << 10 // bytes; also the maximum length of a line of the trailer
	maxChunkHead    = 256      // bytes
)

// Response parses one HTTP/1.1 response incrementally.
type Response struct {
	HeadComplete bool
	Status       int
	chunked      bool
	remaining    int64 // bytes of the body or of the chunk; -1: until the connection ends
	inChunk      bool  // the data of a chunk is next, and then its line end
	inTrailer    bool  // the last chunk has been read
	Done         bool
}

// Feed parses as much of b as it can and passes the bytes of the body to data. It returns how many bytes of b were used: the
// caller passes the rest again, with what follows.
func (r *Response) Feed(b []byte, data func([]byte) error) (n int, err error) {
	for !r.Done {
		used := 0
		switch {
		case !r.HeadComplete:
			used, err = r.parseHead(b[n:])
		case !r.chunked:
			used = r.takeBody(b[n:])
			err = data(b[n : n+used])
		case r.inTrailer:
			used, err = r.parseTrailer(b[n:])
		case !r.inChunk:
			used, err = r.parseChunkHead(b[n:])
		case r.remaining > 0:
			used = r.takeBody(b[n:])
			err = data(b[n : n+used])
		default:
			used, err = r.parseChunkEnd(b[n:])
		}
		if err != nil || used == 0 {
			return n, err
		}
		n += used
	}
	return n, nil
}

// takeBody returns how many bytes of b belong to the body or the chunk, and subtracts them from what remains.
func (r *Response) takeBody(b []byte) int {
	used := int64(len(b))
	if r.remaining >= 0 {
		used = min(used, r.remaining)
		r.remaining -= used
		r.Done = !r.chunked && r.remaining == 0
	}
	return int(used)
}

// parseHead parses the status line and the header fields.
func (r *Response) parseHead(b []byte) (int, error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > maxResponseHead {
			return 0, errMalformedHead
		}
		return 0, nil
	}
	line, rest, _ := bytes.Cut(b[:end+2], []byte("\r\n"))
	version, after, ok := bytes.Cut(line, []byte{' '})
	if !ok || !bytes.HasPrefix(version, []byte("HTTP/1.")) || len(after) < 3 {
		return 0, fmt.Errorf("%w: %.40q", errMalformedHead, line)
	}
	status, err := strconv.Atoi(string(after[:3]))
	if err != nil || status < 100 {
		return 0, fmt.Errorf("%w: %.40q", errMalformedHead, line)
	}
	if status < 200 { // an interim response, such as 100 Continue, precedes the final one
		return end + 4, nil
	}
	r.HeadComplete, r.Status, r.remaining = true, status, -1
	err = parseFields(rest, func(name, value []byte) error {
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			r.chunked = bytes.EqualFold(value, []byte("chunked"))
		case bytes.EqualFold(name, []byte("Content-Length")):
			return parseContentLength(value, &r.remaining)
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	if r.chunked {
		r.remaining = 0
	}
	r.Done = !r.chunked && r.remaining == 0
	return end + 4, nil
}

// parseFields calls handle for each header field; lines end in CRLF.
func parseFields(rest []byte, handle func(name, value []byte) error) error {
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok {
			return fmt.Errorf("%w: %.40q", errMalformedHead, line)
		}
		if err := handle(name, bytes.TrimSpace(value)); err != nil {
			return err
		}
	}
	return nil
}

// parseContentLength parses the value of Content-Length.
func parseContentLength(text []byte, length *int64) error {
	value, err := strconv.ParseUint(string(text), 10, 63)
	if err != nil {
		return fmt.Errorf("%w: length %.40q", errMalformedHead, text)
	}
	*length = int64(value)
	return nil
}

// parseChunkHead parses the size of a chunk.
func (r *Response) parseChunkHead(b []byte) (int, error) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > maxChunkHead {
			return 0, errMalformedChunk
		}
		return 0, nil
	}
	size, _, _ := bytes.Cut(b[:end], []byte{';'})
	n, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 32)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%w: size %.20q", errMalformedChunk, size)
	}
	r.remaining, r.inChunk, r.inTrailer = n, n > 0, n == 0
	return end + 2, nil
}

// parseChunkEnd parses the line end after a chunk's data.
func (r *Response) parseChunkEnd(b []byte) (int, error) {
	if len(b) < 2 {
		return 0, nil
	}
	if b[0] != '\r' || b[1] != '\n' {
		return 0, fmt.Errorf("%w: no line end after the data", errMalformedChunk)
	}
	r.inChunk = false
	return 2, nil
}

// parseTrailer skips one line of the trailer. An empty line ends the response.
func (r *Response) parseTrailer(b []byte) (int, error) {
	end := bytes.Index(b, []byte("\r\n"))
	if end < 0 {
		if len(b) > maxResponseHead {
			return 0, errMalformedChunk
		}
		return 0, nil
	}
	r.Done = end == 0
	return end + 2, nil
}
