package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// splitParts splits a stream that arrives in the given parts. It returns the objects, the number of empty lines, and the
// error that ended the stream.
func splitParts(parts ...[]byte) (texts []string, heartbeats int, err error) {
	var splitter objectSplitter
	for _, part := range parts {
		for len(part) > 0 {
			text, used, complete, err := splitter.next(part)
			if err != nil {
				return texts, heartbeats, err
			}
			part = part[used:]
			if len(text) > 0 {
				texts = append(texts, string(text))
			} else if complete {
				heartbeats++
			}
		}
	}
	return texts, heartbeats, nil
}

func TestObjectSplitter(t *testing.T) {
	for _, tt := range []struct {
		in         string
		texts      []string
		heartbeats int
		bad        bool
	}{
		{in: ""},
		{in: "\n\r\n \n", heartbeats: 3},
		{in: "{}\n", texts: []string{"{}"}, heartbeats: 1},
		{in: "{\n \"a\": [\n1]\n}\n\n{}", texts: []string{"{\n \"a\": [\n1]\n}", "{}"}, heartbeats: 2},
		{in: `{"a":"}\"{\\"}` + "\n", texts: []string{`{"a":"}\"{\\"}`}, heartbeats: 1},
		{in: "{\"a\":\n\n\n"}, // an incomplete object is not a message, nor are empty lines in it
		{in: "null\n", bad: true},
		{in: "[{}]\n", bad: true},
		{in: "{}}\n", texts: []string{"{}"}, bad: true},
	} {
		t.Run(tt.in, func(t *testing.T) {
			texts, heartbeats, err := splitParts([]byte(tt.in))
			assert.Equal(t, tt.texts, texts)
			assert.Equal(t, tt.heartbeats, heartbeats)
			assert.Equal(t, tt.bad, err != nil)
		})
	}
	_, _, err := splitParts([]byte("{"), bytes.Repeat([]byte(" "), maxObjectBytes))
	assert.ErrorIs(t, err, errObjectTooLong)
}

// Whatever the layout of the objects and the boundaries of the parts, the same objects are returned.
func TestObjectSplitterInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var in bytes.Buffer
		var want []string
		for range rapid.IntRange(0, 5).Draw(t, "objects") {
			text, _ := json.Marshal(rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.String())).Draw(t, "object"))
			if rapid.Bool().Draw(t, "indented") {
				var b bytes.Buffer
				_ = json.Indent(&b, text, " ", "\t")
				text = b.Bytes()
			}
			want = append(want, string(text))
			fmt.Fprintf(&in, "%s%s\n", rapid.SampledFrom([]string{"", "\n", "\r\n", "  "}).Draw(t, "before"), text)
		}
		var parts [][]byte
		for b := in.Bytes(); len(b) > 0; {
			n := rapid.IntRange(1, len(b)).Draw(t, "part")
			parts, b = append(parts, b[:n]), b[n:]
		}
		texts, _, err := splitParts(parts...)
		if err != nil || !assert.ObjectsAreEqual(want, texts) {
			t.Fatalf("%q %v, want %q", texts, err, want)
		}
	})
}
