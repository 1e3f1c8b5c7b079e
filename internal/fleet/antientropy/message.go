package antientropy

import (
	"encoding/binary"
	"errors"
	"math/bits"
	"time"
)

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages.
const (
	Request      Kind = iota + 1 // a digest that asks for newer times; it pushes entries as well
	Response                     // the newer times
	Busy                         // the reply to a request when the budget for responses is spent
	ListMismatch                 // the reply to a request by index when the lists differ
)

// Entry is a lower bound: all commits up to At are applied, or the database answered then.
type Entry struct {
	Index int           // in the list that the message names
	Host  string        // where the message names no list
	At    time.Duration // 0: nothing is known
}

// Message is what one gateway sends another. Databases are identified by their index in a sorted list where ListDigest is
// the digest of that list, and by name where it is 0.
type Message struct {
	Kind        Kind
	Truncated   bool // in a response: the budget or a datagram was too small for all
	From        string
	ListDigest  uint64
	Floor       time.Duration // in a request: wanted are times newer than this of WantIndexes or WantNames
	WantIndexes []int
	WantNames   []string
	Entries     []Entry // sorted by index or by name; in a request they are part of the digest: newer times are wanted
}

const (
	timeResolution = 10 * time.Millisecond // of times in messages; they are rounded down, as an entry is a lower bound
	maxNameBytes   = 64
	maxHostBytes   = 256
	maxDatabases   = 1 << 16
	maxEntries     = 1 << 12
)

// Flags of the first byte, above the kind.
const (
	flagTruncated byte = 1 << (iota + 4)
	flagListDigest
	flagBitmap
)

var errMalformed = errors.New("malformed anti-entropy message")

// Append appends the encoded message to b. Times are rounded down to timeResolution.
func (m *Message) Append(b []byte) []byte {
	head := byte(m.Kind)
	if m.Truncated {
		head |= flagTruncated
	}
	if m.ListDigest != 0 {
		head |= flagListDigest
	}
	start := len(b)
	b = append(append(b, head, byte(len(m.From))), m.From...)
	if m.ListDigest != 0 {
		b = binary.BigEndian.AppendUint64(b, m.ListDigest)
	}
	if m.Kind == Request {
		b = binary.AppendUvarint(b, uint64(m.Floor/timeResolution))
		if m.ListDigest != 0 {
			var bitmap bool
			if b, bitmap = appendSet(b, m.WantIndexes); bitmap {
				b[start] |= flagBitmap
			}
		} else {
			b = binary.AppendUvarint(b, uint64(len(m.WantNames)))
			for _, name := range m.WantNames {
				b = append(binary.AppendUvarint(b, uint64(len(name))), name...)
			}
		}
	}
	if m.Kind > Response {
		return b
	}
	base := time.Duration(0)
	for _, entry := range m.Entries {
		base = max(base, entry.At/timeResolution)
	}
	b = binary.AppendUvarint(b, uint64(len(m.Entries)))
	if len(m.Entries) == 0 {
		return b
	}
	b = binary.AppendUvarint(b, uint64(base))
	nextIndex := 0
	for _, entry := range m.Entries {
		if m.ListDigest != 0 {
			b = binary.AppendUvarint(b, uint64(entry.Index-nextIndex))
			nextIndex = entry.Index + 1
		} else {
			b = append(binary.AppendUvarint(b, uint64(len(entry.Host))), entry.Host...)
		}
		if entry.At < timeResolution {
			b = append(b, 0)
		} else {
			b = binary.AppendUvarint(b, uint64(1+base-entry.At/timeResolution))
		}
	}
	return b
}

// appendSet appends a sorted set of indexes, as distances or as a bitmap, whichever is shorter, and reports whether it is a
// bitmap.
func appendSet(b []byte, set []int) ([]byte, bool) {
	start := len(b)
	b = binary.AppendUvarint(b, uint64(len(set)))
	nextIndex := 0
	for _, index := range set {
		b = binary.AppendUvarint(b, uint64(index-nextIndex))
		nextIndex = index + 1
	}
	size := (nextIndex + 7) / 8
	if len(b)-start <= size+2 {
		return b, false
	}
	b = binary.AppendUvarint(b[:start], uint64(size))
	offset := len(b)
	b = append(b, make([]byte, size)...)
	for _, i := range set {
		b[offset+i/8] |= 1 << (i % 8)
	}
	return b, true
}

// reader decodes a message; after the first error it returns zero values.
type reader struct {
	b         []byte
	malformed bool
}

// number reads a number of at most limit.
func (r *reader) number(limit uint64) uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 || n > limit {
		r.malformed, r.b = true, nil
		return 0
	}
	r.b = r.b[size:]
	return n
}

// bytes reads n bytes.
func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.malformed, r.b = true, nil
		return nil
	}
	got := r.b[:n]
	r.b = r.b[n:]
	return got
}

// Parse decodes a message.
func Parse(b []byte) (m Message, err error) {
	r := &reader{b: b}
	head := r.bytes(2)
	if r.malformed {
		return m, errMalformed
	}
	m.Kind, m.Truncated = Kind(head[0]&0x0f), head[0]&flagTruncated != 0
	m.From = string(r.bytes(uint64(head[1])))
	if head[0]&0x80 != 0 || m.Kind < Request || m.Kind > ListMismatch || m.From == "" || len(m.From) > maxNameBytes {
		return m, errMalformed
	}
	if head[0]&flagListDigest != 0 {
		if digest := r.bytes(8); digest != nil {
			m.ListDigest = binary.BigEndian.Uint64(digest)
		}
		if m.ListDigest == 0 {
			return m, errMalformed
		}
	}
	const maxTime = uint64(1<<62) / uint64(timeResolution)
	if m.Kind == Request {
		m.Floor = time.Duration(r.number(maxTime)) * timeResolution
		r.want(&m, head[0]&flagBitmap != 0)
	} else if head[0]&flagBitmap != 0 {
		return m, errMalformed
	}
	if m.Kind <= Response {
		r.entries(&m, maxTime)
	}
	if r.malformed || len(r.b) > 0 {
		return m, errMalformed
	}
	return m, nil
}

// want reads the set of wanted databases of a request.
func (r *reader) want(m *Message, bitmap bool) {
	switch {
	case bitmap && m.ListDigest == 0:
		r.malformed = true
	case bitmap:
		set := r.bytes(r.number(maxDatabases / 8))
		for i, x := range set {
			for ; x != 0; x &= x - 1 {
				m.WantIndexes = append(m.WantIndexes, 8*i+bits.TrailingZeros8(x))
			}
		}
		r.malformed = r.malformed || len(set) == 0 || set[len(set)-1] == 0 // the encoding is canonical
	case m.ListDigest != 0:
		nextIndex := uint64(0)
		for range r.number(maxEntries) {
			index := nextIndex + r.number(maxDatabases)
			if r.malformed = r.malformed || index >= maxDatabases; r.malformed {
				return
			}
			m.WantIndexes = append(m.WantIndexes, int(index))
			nextIndex = index + 1
		}
	default:
		for range r.number(maxEntries) {
			name := r.name()
			if r.malformed = r.malformed || len(m.WantNames) > 0 && m.WantNames[len(m.WantNames)-1] >= name; r.malformed {
				return
			}
			m.WantNames = append(m.WantNames, name)
		}
	}
}

// name reads the name of a database.
func (r *reader) name() string {
	s := string(r.bytes(r.number(maxHostBytes)))
	r.malformed = r.malformed || s == ""
	return s
}

// entries reads the entries of a message.
func (r *reader) entries(m *Message, maxTime uint64) {
	count := r.number(maxEntries)
	if count == 0 {
		return
	}
	base, nextIndex := r.number(maxTime), uint64(0)
	for range count {
		entry := Entry{}
		if m.ListDigest != 0 {
			index := nextIndex + r.number(maxDatabases)
			r.malformed = r.malformed || index >= maxDatabases
			entry.Index, nextIndex = int(index), index+1
		} else {
			entry.Host = r.name()
			r.malformed = r.malformed || len(m.Entries) > 0 && m.Entries[len(m.Entries)-1].Host >= entry.Host
		}
		if distance := r.number(base); distance > 0 {
			entry.At = time.Duration(base-(distance-1)) * timeResolution
		}
		if r.malformed {
			return
		}
		m.Entries = append(m.Entries, entry)
	}
}
