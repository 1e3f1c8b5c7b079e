package http1

import (
	"bytes"
	"fmt"
	"strings"
)

// Request is a parsed request line.
type Request struct {
	Method, Path string // Path is still percent-encoded and has no query
}

// StatusError is the error of a request that cannot be carried out, with the status code of its answer.
type StatusError struct {
	Status int
	Reason string
}

func (e *StatusError) Error() string { return e.Reason }

const (
	// MaxRequestHead is the maximum length of a request's head in bytes.
	MaxRequestHead = 8 << 10
	// MaxRequestBody is the maximum length of a request's body in bytes. Bodies are skipped.
	MaxRequestBody = 4 << 10
)

// ParseRequest parses the request at the start of b. n is its length with its body, or 0 if it is incomplete. Every error is
// a *StatusError.
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

// parseRequestLine parses METHOD TARGET HTTP/1.x.
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

// isToken reports whether b is a token by RFC 9110.
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

// DecodeSegment decodes one segment of a path. It returns false if a percent sign is not followed by two hexadecimal digits,
// or if the decoded text is empty or contains control characters, which no name here does.
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

// hexDigit returns the value of a hexadecimal digit; -1 for any other byte.
func hexDigit(c byte) int {
	if c >= 'A' && c <= 'F' {
		c += 'a' - 'A'
	}
	return strings.IndexByte("0123456789abcdef", c)
}
