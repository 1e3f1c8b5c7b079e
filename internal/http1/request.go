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
func ParseRequest(b []byte) (req Request, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 && len(b) > MaxRequestHead || end > MaxRequestHead {
		return req, 0, &StatusError{431, fmt.Sprintf("the head is longer than %d bytes", MaxRequestHead)}
	}
	line, _, lineComplete := bytes.Cut(b, []byte("\r\n"))
	if lineComplete || len(b) > 0 && b[0] <= ' ' {
		if req, err = parseRequestLine(line); err != nil {
			return req, 0, err
		}
	}
	if end < 0 {
		return req, 0, nil
	}
	body, hosts := int64(-1), 0
	err = parseFields(b[min(len(line)+2, end+2):end+2], func(name, value []byte) error {
		switch {
		case !isToken(name):
			return fmt.Errorf("bad header name %.40q", name)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return &StatusError{411, "send a body with its length, or none"}
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		case bytes.EqualFold(name, []byte("Content-Length")):
			previous := body
			if err := parseContentLength(value, &body); err != nil {
				return err
			}
			if previous >= 0 && previous != body {
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
		return req, 0, err
	case hosts > 1:
		return req, 0, &StatusError{400, "two Host headers"}
	case body > MaxRequestBody:
		return req, 0, &StatusError{413, fmt.Sprintf("the body is longer than %d bytes", MaxRequestBody)}
	}
	if n = end + 4 + int(max(0, body)); n > len(b) {
		return req, 0, nil
	}
	return req, n, nil
}

// parseRequestLine reads METHOD TARGET HTTP/1.x.
func parseRequestLine(line []byte) (Request, error) {
	malformed := &StatusError{400, fmt.Sprintf("not a request line: %.60q", line)}
	parts := strings.Split(string(line), " ")
	if len(parts) != 3 || !isToken([]byte(parts[0])) {
		return Request{}, malformed
	}
	switch {
	case parts[2] == "HTTP/1.1", parts[2] == "HTTP/1.0":
	case strings.HasPrefix(parts[2], "HTTP/"):
		return Request{}, &StatusError{505, "HTTP/1.1 is spoken here"}
	default:
		return Request{}, malformed
	}
	path := parts[1]
	if rest, ok := strings.CutPrefix(path, "http://"); ok {
		_, path, _ = strings.Cut(rest, "/")
		path = "/" + path
	}
	path, _, _ = strings.Cut(path, "?")
	if !strings.HasPrefix(path, "/") || strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return Request{}, malformed
	}
	return Request{Method: parts[0], Path: path}, nil
}

// isToken tells whether b is a isToken of RFC 9110.
func isToken(b []byte) bool {
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
func DecodeSegment(segment string) (string, bool) {
	var decoded strings.Builder
	for i := 0; i < len(segment); i++ {
		c := segment[i]
		if c == '%' {
			if i+2 >= len(segment) {
				return "", false
			}
			hi, lo := hexDigit(segment[i+1]), hexDigit(segment[i+2])
			if hi < 0 || lo < 0 {
				return "", false
			}
			c = byte(hi<<4 | lo)
			i += 2
		}
		if c < ' ' || c == 0x7f {
			return "", false
		}
		decoded.WriteByte(c)
	}
	return decoded.String(), decoded.Len() > 0
}

func hexDigit(c byte) int {
	if c >= 'A' && c <= 'F' {
		c += 'a' - 'A'
	}
	return strings.IndexByte("0123456789abcdef", c)
}
