package http1

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Each response is parsed in two parts, cut at each byte: the boundaries of network reads must not matter.
func TestResponse(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\ntransfer-encoding: Chunked\r\n\r\n"
	tests := []struct {
		name, in, body string
		status         int
		done           bool
		err            error
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc", 200, true, nil},
		{"no body", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "", 503, true, nil},
		{"no reason", "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n", "", 503, true, nil},
		{"until the end", "HTTP/1.0 200 OK\r\n\r\nabc", "abc", 200, false, nil},
		{"chunks", chunked + "3\r\nabc\r\n1;x=y\r\n\n\r\n", "abc\n", 200, false, nil},
		{"all chunks", chunked + "A\r\n0123456789\r\n0\r\n\r\n", "0123456789", 200, true, nil},
		{"trailer", chunked + "1\r\nz\r\n0\r\nX: y\r\n\r\n", "z", 200, true, nil},
		{"continue first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "x", 200, true, nil},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", "", 0, false, errMalformedHead},
		{"bad status", "HTTP/1.1 two\r\n\r\n", "", 0, false, errMalformedHead},
		{"bad length", "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", "", 200, false, errMalformedHead},
		{"bad header", "HTTP/1.1 200 OK\r\nnonsense\r\n\r\n", "", 200, false, errMalformedHead},
		{"bad chunk size", chunked + "x\r\n", "", 200, false, errMalformedChunk},
		{"negative chunk", chunked + "-1\r\n", "", 200, false, errMalformedChunk},
		{"no line end", chunked + "1\r\nabc", "a", 200, false, errMalformedChunk},
	}
	for _, tt := range tests {
		for cut := range len(tt.in) {
			var r Response
			var body []byte
			keep := func(b []byte) error { body = append(body, b...); return nil }
			n, err := r.Feed([]byte(tt.in[:cut]), keep)
			if err == nil {
				_, err = r.Feed([]byte(tt.in[n:]), keep)
			}
			assert.ErrorIs(t, err, tt.err, "%s cut at %d", tt.name, cut)
			assert.Equal(t, tt.body, string(body), "%s cut at %d", tt.name, cut)
			assert.Equal(t, tt.status, r.Status, "%s cut at %d", tt.name, cut)
			assert.Equal(t, tt.done, r.Done, "%s cut at %d", tt.name, cut)
		}
	}
}

func TestHeadLengthIsLimited(t *testing.T) {
	var r Response
	_, err := r.Feed(make([]byte, maxResponseHead+1), nil)
	assert.ErrorIs(t, err, errMalformedHead)
	r = Response{HeadComplete: true, chunked: true}
	_, err = r.Feed(make([]byte, maxChunkHead+1), nil)
	assert.ErrorIs(t, err, errMalformedChunk)
}

// A response gives the same body wherever it is cut.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 50)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"), 7)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		run := func(parts ...[]byte) (string, bool) {
			var r Response
			var body, left []byte
			for _, p := range parts {
				left = append(left, p...)
				n, err := r.Feed(left, func(b []byte) error { body = append(body, b...); return nil })
				if err != nil {
					return "", false
				}
				left = left[n:]
			}
			return string(body), r.Done
		}
		cut = min(max(cut, 0), len(in))
		a, doneA := run(in)
		b, doneB := run(in[:cut:cut], in[cut:])
		assert.Equal(t, doneA, doneB)
		assert.Equal(t, a, b)
	})
}
