package antientropy

import (
	"encoding/binary"
	"errors"
	"math/bits"
	"time"
)

// Kind is what a message is for.
type Kind uint8

// The kinds.
const (
	Request      Kind = iota + 1 // a digest: of which databases what is newer than a floor is wanted; it tells news as well
	Response                     // what is newer
	Busy                         // an ask had come, and the budget for answers is spent
	ListMismatch                 // an ask by index had come, and the list here is another
)

// Entry is a floor: all commits up to At are applied, or the database answered then.
type Entry struct {
	Index int           // in the list that the message names
	Host  string        // where it names none
	At    time.Duration // 0: nothing is known
}

// Message is what one gateway sends another. Databases are told as indices of a sorted list where List names one by its
// digest, and by name where it is 0.
type Message struct {
	Kind        Kind
	Truncated   bool // an answer: there was more than the budget or a datagram carries
	From        string
	ListDigest  uint64
	Floor       time.Duration // of an ask: of those in Want, or in Names, what is newer than this is wanted
	WantIndexes []int
	WantNames   []string
	Entries     []Entry // sorted by index or by name; those of an ask are a digest, too: what is newer is wanted
}

const (
	grain     = 10 * time.Millisecond // of moments in messages; they are rounded down, for a floor may be low
	nameMost  = 64
	hostMost  = 256
	indexMost = 1 << 16
	claimMost = 1 << 12
)

// The first byte: the kind, and what is there besides.
const (
	flagCut byte = 1 << (iota + 4)
	flagListed
	flagBitmap
)

var errMalformed = errors.New("a malformed message of anti-entropy")

// Append adds the message to b. Moments are rounded down to the grain.
func (m *Message) Append(b []byte) []byte {
	head := byte(m.Kind)
	if m.Truncated {
		head |= flagCut
	}
	if m.ListDigest != 0 {
		head |= flagListed
	}
	start := len(b)
	b = append(append(b, head, byte(len(m.From))), m.From...)
	if m.ListDigest != 0 {
		b = binary.BigEndian.AppendUint64(b, m.ListDigest)
	}
	if m.Kind == Request {
		b = binary.AppendUvarint(b, uint64(m.Floor/grain))
		if m.ListDigest != 0 {
			var bitmap bool
			if b, bitmap = appendSet(b, m.WantIndexes); bitmap {
				b[start] |= flagBitmap
			}
		} else {
			b = binary.AppendUvarint(b, uint64(len(m.WantNames)))
			for _, n := range m.WantNames {
				b = append(binary.AppendUvarint(b, uint64(len(n))), n...)
			}
		}
	}
	if m.Kind > Response {
		return b
	}
	base := time.Duration(0)
	for _, c := range m.Entries {
		base = max(base, c.At/grain)
	}
	b = binary.AppendUvarint(b, uint64(len(m.Entries)))
	if len(m.Entries) == 0 {
		return b
	}
	b = binary.AppendUvarint(b, uint64(base))
	next := 0
	for _, c := range m.Entries {
		if m.ListDigest != 0 {
			b = binary.AppendUvarint(b, uint64(c.Index-next))
			next = c.Index + 1
		} else {
			b = append(binary.AppendUvarint(b, uint64(len(c.Host))), c.Host...)
		}
		if c.At < grain {
			b = append(b, 0)
		} else {
			b = binary.AppendUvarint(b, uint64(1+base-c.At/grain))
		}
	}
	return b
}

// appendSet adds a sorted set of indices, as distances or as bits, whichever is shorter.
func appendSet(b []byte, set []int) ([]byte, bool) {
	start := len(b)
	b = binary.AppendUvarint(b, uint64(len(set)))
	next := 0
	for _, i := range set {
		b = binary.AppendUvarint(b, uint64(i-next))
		next = i + 1
	}
	size := (next + 7) / 8
	if len(b)-start <= size+2 {
		return b, false
	}
	b = binary.AppendUvarint(b[:start], uint64(size))
	at := len(b)
	b = append(b, make([]byte, size)...)
	for _, i := range set {
		b[at+i/8] |= 1 << (i % 8)
	}
	return b, true
}

// reader takes a message apart; the first thing that is wrong ends it.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) number(most uint64) uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 || n > most {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[size:]
	return n
}

func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return nil
	}
	got := r.b[:n]
	r.b = r.b[n:]
	return got
}

// Parse reads a message.
func Parse(b []byte) (m Message, err error) {
	r := &reader{b: b}
	head := r.bytes(2)
	if r.bad {
		return m, errMalformed
	}
	m.Kind, m.Truncated = Kind(head[0]&0x0f), head[0]&flagCut != 0
	m.From = string(r.bytes(uint64(head[1])))
	if head[0]&0x80 != 0 || m.Kind < Request || m.Kind > ListMismatch || m.From == "" || len(m.From) > nameMost {
		return m, errMalformed
	}
	if head[0]&flagListed != 0 {
		if d := r.bytes(8); d != nil {
			m.ListDigest = binary.BigEndian.Uint64(d)
		}
		if m.ListDigest == 0 {
			return m, errMalformed
		}
	}
	const momentMost = uint64(1<<62) / uint64(grain)
	if m.Kind == Request {
		m.Floor = time.Duration(r.number(momentMost)) * grain
		r.want(&m, head[0]&flagBitmap != 0)
	} else if head[0]&flagBitmap != 0 {
		return m, errMalformed
	}
	if m.Kind <= Response {
		r.claims(&m, momentMost)
	}
	if r.bad || len(r.b) > 0 {
		return m, errMalformed
	}
	return m, nil
}

func (r *reader) want(m *Message, bitmap bool) {
	switch {
	case bitmap && m.ListDigest == 0:
		r.bad = true
	case bitmap:
		set := r.bytes(r.number(indexMost / 8))
		for i, x := range set {
			for ; x != 0; x &= x - 1 {
				m.WantIndexes = append(m.WantIndexes, 8*i+bits.TrailingZeros8(x))
			}
		}
		r.bad = r.bad || len(set) == 0 || set[len(set)-1] == 0 // there is one way to say it
	case m.ListDigest != 0:
		next := uint64(0)
		for range r.number(claimMost) {
			i := next + r.number(indexMost)
			if r.bad = r.bad || i >= indexMost; r.bad {
				return
			}
			m.WantIndexes = append(m.WantIndexes, int(i))
			next = i + 1
		}
	default:
		for range r.number(claimMost) {
			n := r.name()
			if r.bad = r.bad || len(m.WantNames) > 0 && m.WantNames[len(m.WantNames)-1] >= n; r.bad {
				return
			}
			m.WantNames = append(m.WantNames, n)
		}
	}
}

func (r *reader) name() string {
	s := string(r.bytes(r.number(hostMost)))
	r.bad = r.bad || s == ""
	return s
}

func (r *reader) claims(m *Message, momentMost uint64) {
	count := r.number(claimMost)
	if count == 0 {
		return
	}
	base, next := r.number(momentMost), uint64(0)
	for range count {
		c := Entry{}
		if m.ListDigest != 0 {
			i := next + r.number(indexMost)
			r.bad = r.bad || i >= indexMost
			c.Index, next = int(i), i+1
		} else {
			c.Host = r.name()
			r.bad = r.bad || len(m.Entries) > 0 && m.Entries[len(m.Entries)-1].Host >= c.Host
		}
		if back := r.number(base); back > 0 {
			c.At = time.Duration(base-(back-1)) * grain
		}
		if r.bad {
			return
		}
		m.Entries = append(m.Entries, c)
	}
}
