// Package peer is the network side of the fleet: it exchanges messages with the other gateways on the gateway's event loop,
// in datagrams for probes and updates and over connections for what does not fit in one. The protocols are state machines
// without I/O (internal/fleet/...); this package does framing, limits, counters and reports.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"lilaccove/internal/fleet"
	"lilaccove/internal/fleet/membership"
)

// An envelope consists of two magic bytes, a version, a channel, a hash of the fleet's name, a body in CBOR, and a hash of all
// that. The hashes (xxhash) detect corruption and misdirected messages; they do not authenticate.
const (
	magic0, magic1   = 0x6c, 0x43
	envelopeVersion  = 1
	headerSize       = 12
	trailerSize      = 8
	lengthPrefixSize = 4         // bytes before each envelope of a stream
	maxFrame         = 480 << 10 // bytes, of a stream
)

// A channel names the protocol that a message belongs to.
const channelMembership = 1

// Reasons for which a message is dropped.
var (
	errGarbage   = errors.New("garbage")
	errVersion   = errors.New("unknown version")
	errForeign   = errors.New("another fleet's")
	errCorrupt   = errors.New("spoilt")
	errMalformed = errors.New("malformed")
)

// codec encodes and decodes the envelopes of one fleet.
type codec struct {
	fleet uint64
	enc   cbor.EncMode
	dec   cbor.DecMode
}

func newCodec(name string) (*codec, error) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	dec, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 8, MaxArrayElements: fleet.MaxMembers * 2, MaxMapPairs: 64,
	}.DecMode()
	return &codec{fleet: xxhash.Sum64String(name), enc: enc, dec: dec}, err
}

// encode appends an envelope to b.
func (c *codec) encode(b []byte, channel byte, body any) ([]byte, error) {
	start := len(b)
	b = append(b, magic0, magic1, envelopeVersion, channel)
	b = binary.BigEndian.AppendUint64(b, c.fleet)
	text, err := c.enc.Marshal(body)
	if err != nil {
		return b[:start], err
	}
	b = append(b, text...)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b[start:])), nil
}

// decode checks an envelope and returns its channel and body; the body is a slice of b.
func (c *codec) decode(b []byte) (channel byte, body []byte, err error) {
	switch {
	case len(b) < headerSize+trailerSize || b[0] != magic0 || b[1] != magic1:
		return 0, nil, errGarbage
	case b[2] != envelopeVersion:
		return 0, nil, errVersion
	case binary.BigEndian.Uint64(b[len(b)-trailerSize:]) != xxhash.Sum64(b[:len(b)-trailerSize]):
		return 0, nil, errCorrupt
	case binary.BigEndian.Uint64(b[4:]) != c.fleet:
		return 0, nil, errForeign
	}
	return b[3], b[headerSize : len(b)-trailerSize], nil
}

// unmarshal decodes the body of an envelope into to.
func (c *codec) unmarshal(body []byte, to any) error {
	if err := c.dec.Unmarshal(body, to); err != nil {
		return fmt.Errorf("%w: %v", errMalformed, err)
	}
	return nil
}

// decodeMembership decodes and validates a membership message.
func (c *codec) decodeMembership(body []byte) (msg membership.Message, err error) {
	if err := c.unmarshal(body, &msg); err != nil {
		return msg, err
	}
	if msg.Kind < membership.Ping || msg.Kind > membership.Reply || !validEntry(msg.From) || msg.Target != "" && !fleet.ValidName(msg.Target) {
		return msg, errMalformed
	}
	for _, e := range msg.Updates {
		if !validEntry(e) {
			return msg, errMalformed
		}
	}
	return msg, nil
}

// validEntry reports whether an entry is plausible. An incarnation is a time; one near the end of the range could not be
// exceeded to refute it.
func validEntry(e membership.Entry) bool {
	return fleet.ValidName(e.Name) && e.Addr.IsValid() && e.Addr.Port() != 0 && e.Incarnation > 0 && e.Incarnation < 1<<62 &&
		e.State <= membership.Left && (e.SuspectedBy == "" || fleet.ValidName(e.SuspectedBy)) && len(e.Zone) <= 64
}
