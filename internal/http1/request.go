package http1

import (
	"bytes"
	"fmt"
	"strings"
)

// Request is one call, as it came.
type Request struct {
	Method, Path string // the path as it was sent, still encoded, without a query
}

// StatusError is a call that cannot be carried out, and the status that says so.
type StatusError struct {
	Status int
	Reason string
}

func (e *StatusError) Error() string { return e.Reason }

const (
	// MaxRequestHead is how long the head of a call may be.
	MaxRequestHead = 8 << 10
	// MaxRequestBody is how long its body may be; nothing here reads one.
	MaxRequestBody = 4 << 10
)

// ParseRequest reads the call at the start of b. n is its length with its body; 0 without an
// error: it has not come whole. Every error is a *StatusError.
func ParseRequest(b []byte) (q Request, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 && len(b) > MaxRequestHead || end > MaxRequestHead {
		return q, 0, &StatusError{431, fmt.Sprintf("the head is longer than %d bytes", MaxRequestHead)}
	}
	line, _, whole := bytes.Cut(b, []byte("\r\n"))
	if whole || len(b) > 0 && b[0] <= ' ' {
		if q, err = requestLine(line); err != nil {
			return q, 0, err
		}
	}
	if end < 0 {
		return q, 0, nil
	}
	body, hosts := int64(-1), 0
	err = fields(b[min(len(line)+2, end+2):end+2], func(name, value []byte) error {
		switch {
		case !token(name):
			return fmt.Errorf("bad header name %.40q", name)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return &StatusError{411, "send a body with its length, or none"}
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Content-Length")):
			before := body
			if err := length(value, &body); err != nil {
				return err
			}
			if before >= 0 && before != body {
				return fmt.Errorf("two lengths")
			}
		}
		return nil
	})
	switch {
	case err != nil:
		if _, ok := err.(*StatusError); !ok {
			err = &StatusError{400, err.Error()}
		}
		return q, 0, err
	case hosts > 1:
		return q, 0, &StatusError{400, "two Host headers"}
	case body > MaxRequestBody:
		return q, 0, &StatusError{413, fmt.Sprintf("the body is longer than %d bytes", MaxRequestBody)}
	}
	if n = end + 4 + int(max(0, body)); n > len(b) {
		return q, 0, nil
	}
	return q, n, nil
}

// requestLine reads METHOD TARGET HTTP/1.x.
func requestLine(line []byte) (Request, error) {
	bad := &StatusError{400, fmt.Sprintf("not a request line: %.60q", line)}
	part := strings.Split(string(line), " ")
	if len(part) != 3 || !token([]byte(part[0])) {
		return Request{}, bad
	}
	switch {
	case part[2] == "HTTP/1.1", part[2] == "HTTP/1.0":
	case strings.HasPrefix(part[2], "HTTP/"):
		return Request{}, &StatusError{505, "HTTP/1.1 is spoken here"}
	default:
		return Request{}, bad
	}
	path := part[1]
	if rest, ok := strings.CutPrefix(path, "http://"); ok {
		_, path, _ = strings.Cut(rest, "/")
		path = "/" + path
	}
	path, _, _ = strings.Cut(path, "?")
	if !strings.HasPrefix(path, "/") || strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return Request{}, bad
	}
	return Request{Method: part[0], Path: path}, nil
}

// token tells whether b is a token of RFC 9110.
func token(b []byte) bool {
	for _, c := range b {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(b) > 0
}

// DecodeSegment decodes one part of a path; false where its percent signs are not followed by two
// digits each, or where it would hold what no name here does.
func DecodeSegment(s string) (string, bool) {
	var out strings.Builder
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c == '%' {
			if i+2 >= len(s) {
				return "", false
			}
			hi, lo := hex(s[i+1]), hex(s[i+2])
			if hi < 0 || lo < 0 {
				return "", false
			}
			c = byte(hi<<4 | lo)
			i += 2
		}
		if c < ' ' || c == 0x7f {
			return "", false
		}
		out.WriteByte(c)
	}
	return out.String(), out.Len() > 0
}

func hex(c byte) int {
	if c >= 'A' && c <= 'F' {
		c += 'a' - 'A'
	}
	return strings.IndexByte("0123456789abcdef", c)
}
