package discovery

import "fmt"

// objectSplitter splits a stream into JSON objects, whether each is on a line of its own or indented over many lines. It
// tracks brackets and strings only and leaves the rest to the JSON parser.
type objectSplitter struct {
	buffer   []byte // the incomplete object
	depth    int
	inString bool
	escaped  bool
}

// next reads bytes up to the end of an object, or of an empty line, which is a heartbeat; both complete a message. It
// returns the object, if any, which is valid until the next call, and how many bytes it used.
func (o *objectSplitter) next(b []byte) (object []byte, used int, complete bool, err error) {
	if o.depth == 0 {
		o.buffer = o.buffer[:0]
	}
	for i, ch := range b {
		switch {
		case o.depth == 0 && ch == '\n':
			return nil, i + 1, true, nil
		case o.depth == 0 && (ch == ' ' || ch == '\t' || ch == '\r'):
			continue
		case o.depth == 0 && ch != '{':
			return nil, i, false, fmt.Errorf("list: an object cannot begin with %q", ch)
		case len(o.buffer) >= maxObjectBytes:
			return nil, i, false, errObjectTooLong
		}
		o.buffer = append(o.buffer, ch)
		if o.endsObject(ch) {
			return o.buffer, i + 1, true, nil
		}
	}
	return nil, len(b), false, nil
}

// endsObject processes one byte of an object and reports whether it was the last.
func (o *objectSplitter) endsObject(ch byte) bool {
	switch {
	case o.escaped:
		o.escaped = false
	case o.inString:
		o.escaped, o.inString = ch == '\\', ch != '"'
	case ch == '"':
		o.inString = true
	case ch == '{' || ch == '[':
		o.depth++
	case ch == '}' || ch == ']':
		o.depth--
	}
	return o.depth == 0
}
