package http1

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Each request is parsed whole and cut off at each byte: the start of a valid request is neither an error nor a request.
func TestRequest(t *testing.T) {
	const host = "Host: x\r\n"
	tests := []struct {
		name, in  string
		want      Request
		status, n int // n 0: the whole input
	}{
		{"get", "GET /v1/readyz HTTP/1.1\r\n" + host + "\r\n", Request{"GET", "/v1/readyz"}, 0, 0},
		{"no headers", "GET / HTTP/1.0\r\n\r\n", Request{"GET", "/"}, 0, 0},
		{"query", "GET /v1/metrics?x=%zz HTTP/1.1\r\n" + host + "\r\n", Request{"GET", "/v1/metrics"}, 0, 0},
		{"absolute", "PUT http://h:1/a%20b/c HTTP/1.1\r\n" + host + "\r\n", Request{"PUT", "/a%20b/c"}, 0, 0},
		{"body", "PUT /a HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc", Request{"PUT", "/a"}, 0, 0},
		{"no body", "PUT /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n", Request{"PUT", "/a"}, 0, 0},
		{"a second request after it", "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", Request{"GET", "/a"}, 0, 19},
		{"same length twice", "PUT /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", Request{"PUT", "/a"}, 0, 0},
		{"two lengths", "PUT /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", Request{}, 400, 0},
		{"bad length", "PUT /a HTTP/1.1\r\nContent-Length: +1\r\n\r\nx", Request{}, 400, 0},
		{"chunked body", "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", Request{}, 411, 0},
		{"long body", "PUT /a HTTP/1.1\r\nContent-Length: 999999\r\n\r\n", Request{}, 413, 0},
		{"two hosts", "GET /a HTTP/1.1\r\n" + host + host + "\r\n", Request{}, 400, 0},
		{"header without a colon", "GET /a HTTP/1.1\r\nnonsense\r\n\r\n", Request{}, 400, 0},
		{"space in a header name", "GET /a HTTP/1.1\r\nHost : x\r\n\r\n", Request{}, 400, 0},
		{"no version", "GET /a\r\n\r\n", Request{}, 400, 0},
		{"another protocol", "SSH-2.0-x\r\n", Request{}, 400, 0},
		{"HTTP/2", "PRI * HTTP/2.0\r\n\r\n", Request{}, 505, 0},
		{"bad method", "G(T /a HTTP/1.1\r\n\r\n", Request{}, 400, 0},
		{"no slash", "GET a HTTP/1.1\r\n\r\n", Request{}, 400, 0},
		{"path with bytes beyond ASCII", "GET /\xc3\xa9 HTTP/1.1\r\n\r\n", Request{}, 400, 0},
		{"leading empty line", "\r\nGET /a HTTP/1.1\r\n\r\n", Request{}, 400, 0},
		{"head without end", "GET /a HTTP/1.1\r\nX: " + strings.Repeat("y", MaxRequestHead), Request{}, 431, 0},
		{"long line", "GET /" + strings.Repeat("y", MaxRequestHead), Request{}, 431, 0},
		{"long whole head", "GET /a HTTP/1.1\r\nX: " + strings.Repeat("y", MaxRequestHead) + "\r\n\r\n", Request{}, 431, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, n, err := ParseRequest([]byte(tt.in))
			if tt.status != 0 {
				statusErr, ok := err.(*StatusError)
				if assert.True(t, ok, "%v", err) {
					assert.Equal(t, tt.status, statusErr.Status)
					assert.NotEmpty(t, statusErr.Reason)
				}
				return
			}
			whole := tt.n
			if whole == 0 {
				whole = len(tt.in)
			}
			assert.NoError(t, err)
			assert.Equal(t, whole, n)
			assert.Equal(t, tt.want, req)
			for cut := range whole {
				_, n, err := ParseRequest([]byte(tt.in[:cut]))
				assert.NoError(t, err, "cut at %d", cut)
				assert.Zero(t, n, "cut at %d", cut)
			}
		})
	}
}

func TestDecodeSegment(t *testing.T) {
	for in, want := range map[string]string{"s-5be2a07c": "s-5be2a07c", "a%2Fb%2fc": "a/b/c", "%25": "%", "+": "+", "a%c3%A9": "aé"} {
		got, ok := DecodeSegment(in)
		assert.True(t, ok, in)
		assert.Equal(t, want, got)
	}
	for _, in := range []string{"", "%", "%4", "%zz", "a%00b", "%0a", "%7f", "% 1"} {
		_, ok := DecodeSegment(in)
		assert.False(t, ok, in)
	}
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte("PUT /v1/databases/a%20b/suspend HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("GET /v1/readyz HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		req, n, err := ParseRequest(in)
		if n < 0 || n > len(in) || err != nil && n != 0 || n > 0 && (req.Method == "" || req.Path == "") {
			t.Fatal(fmt.Sprint(req, n, err))
		}
		if _, ok := err.(*StatusError); err != nil && !ok {
			t.Fatal(err)
		}
	})
}
