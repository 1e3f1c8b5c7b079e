// Package pgwire frames the messages of version 3 of PostgreSQL's protocol and parses the comment that heads a statement.
// It works on bytes, without sockets.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
)

// Limits in bytes. A value of up to MaxBufferedValue is buffered whole; a statement contains it in hex, with twice the
// length. Databases answer with values of up to 4 MiB, so a message over MaxServerMessage cannot be valid.
const (
	MaxBufferedValue    = 64 << 10
	MaxBufferedMessage  = 2*MaxBufferedValue + 16<<10
	MaxQuery            = 2*(4<<20) + 16<<10 // a query over MaxBufferedMessage is collected in pieces
	MaxServerMessage    = 16 << 20
	maxFirstPacketBytes = 10_000 // PostgreSQL's own limit
)

// SQLSTATE codes in an ErrorResponse.
const (
	CodeTooManyConnections = "53300" // refused or shed: the statement never ran
	CodeCannotConnectNow   = "57P03"
	CodeReadOnly           = "25006" // a write sent to a server that is not the primary
	CodeReplicaTooStale    = "72000" // a read refused by a replica for its lag
	CodeProtocolViolation  = "08P01"
	CodeUnsupported        = "0A000"
	CodeUnknownOutcome     = "40003" // the statement may have run
	CodeQueryCanceled      = "57014" // canceled by its client: the statement never ran
	CodeInvalidParameter   = "22023"
	CodeTooLarge           = "54000"
	CodeAdminShutdown      = "57P01"
)

// Message types.
const (
	AuthRequest     = 'R'
	BackendKey      = 'K'
	CommandComplete = 'C'
	DataRow         = 'D'
	EmptyQuery      = 'I'
	ErrorResponse   = 'E'
	Notice          = 'N'
	ParameterStatus = 'S'
	Query           = 'Q'
	Ready           = 'Z'
	RowDescription  = 'T'
	Terminate       = 'X'
)

// Errors of messages that break the protocol.
var (
	ErrLength           = errors.New("message length out of bounds")
	ErrVersion          = errors.New("protocol version is not 3")
	ErrUnterminatedText = errors.New("text is not terminated")
	ErrInvalidAnswer    = errors.New("invalid message from a database")
)

// Next splits the first message off b. n is the message's length including its header, or 0 if it is incomplete. A length
// field above maxLength is an error as soon as the header has arrived.
func Next(b []byte, maxLength int) (kind byte, body []byte, n int, err error) {
	if len(b) < 5 {
		return 0, nil, 0, nil
	}
	size := int(int32(binary.BigEndian.Uint32(b[1:])))
	if size < 4 || size > maxLength {
		return b[0], nil, 0, fmt.Errorf("%w: %d bytes in message %q", ErrLength, size, b[0])
	}
	if len(b) < 1+size {
		return b[0], nil, 0, nil
	}
	return b[0], b[5 : 1+size], 1 + size, nil
}

// LargeQueryLength returns the length, including the header, of the Query at the start of b if it is longer than
// MaxBufferedMessage and not longer than MaxQuery; otherwise 0.
func LargeQueryLength(b []byte) int {
	if len(b) < 5 || b[0] != Query {
		return 0
	}
	if n := int(int32(binary.BigEndian.Uint32(b[1:]))); n > MaxBufferedMessage && n <= MaxQuery {
		return 1 + n
	}
	return 0
}

// maxMessageLength holds the maximum length in bytes of each type of message in an answer, as the message's length field
// counts it, without the type byte; 0 for all other types.
var maxMessageLength = [256]int{
	AuthRequest: 8, BackendKey: 12, CommandComplete: 68, DataRow: MaxServerMessage, ErrorResponse: 16 << 10, Notice: 16 << 10,
	ParameterStatus: 16 << 10, Ready: 5, RowDescription: 1 << 10,
}

// NextAnswer splits the first message of a database off b, as Next does, and validates it. An invalid message is an error
// as soon as it can be recognized: the rest of it may never arrive, and a request that waited for it would lose the time
// for another attempt.
func NextAnswer(b []byte) (kind byte, body []byte, n int, err error) {
	if len(b) > 0 && maxMessageLength[b[0]] == 0 {
		return b[0], nil, 0, fmt.Errorf("%w: message %q", ErrInvalidAnswer, b[0])
	}
	if len(b) < 5 {
		return 0, nil, 0, nil
	}
	if kind, body, n, err = Next(b, maxMessageLength[b[0]]); err != nil {
		return kind, nil, 0, err
	}
	if kind == DataRow && len(b) >= 11 {
		// The row's header repeats the length.
		size, rowLength := int64(binary.BigEndian.Uint32(b[1:])), int64(binary.BigEndian.Uint32(b[7:]))
		if binary.BigEndian.Uint16(b[5:]) != 1 || size != 4+2+4+rowLength {
			return kind, nil, 0, fmt.Errorf("%w: a row of %d bytes in a message of %d", ErrInvalidAnswer, rowLength, size)
		}
	}
	if n > 0 && !wellFormed(kind, body) {
		return kind, nil, 0, fmt.Errorf("%w: malformed message %q", ErrInvalidAnswer, kind)
	}
	return kind, body, n, nil
}

// MessageLength returns the length, including the header, of the message at the start of b; 0 if its header is incomplete.
func MessageLength(b []byte) int {
	if len(b) < 5 {
		return 0
	}
	return 1 + int(binary.BigEndian.Uint32(b[1:]))
}

// LargeRowLength returns the length, including the header, of the DataRow at the start of b if its value is larger than
// MaxBufferedValue and enough of it has arrived for NextAnswer to check its lengths; otherwise 0.
func LargeRowLength(b []byte) int {
	if len(b) < 11 || b[0] != DataRow {
		return 0
	}
	if n := MessageLength(b); n > 11+MaxBufferedValue {
		return n
	}
	return 0
}

// wellFormed validates the body of a message from a database.
func wellFormed(kind byte, body []byte) bool {
	switch kind {
	case AuthRequest:
		return bytes.Equal(body, []byte{0, 0, 0, 0}) // AuthenticationOk: no password is requested
	case BackendKey:
		return len(body) == 8
	case CommandComplete:
		text, err := ParseText(body)
		return err == nil && len(text) > 0 && bytes.IndexFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) < 0
	case DataRow:
		value, ok := ParseSingleColumn(body)
		return ok && value != nil
	case ErrorResponse:
		return isSQLState(ErrorCode(body)) && bytes.HasSuffix(body, []byte{0, 0})
	case ParameterStatus:
		_, _, err := ParseParameterStatus(body)
		return err == nil
	case Ready:
		return len(body) == 1 && bytes.IndexByte([]byte("ITE"), body[0]) >= 0
	case RowDescription:
		// One column: its name and 18 bytes of description.
		end := bytes.IndexByte(body[min(2, len(body)):], 0)
		return end >= 0 && binary.BigEndian.Uint16(body) == 1 && len(body) == 2+end+1+18
	}
	return true
}

// isSQLState reports whether b has the form of an SQLSTATE.
func isSQLState(b []byte) bool {
	invalid := func(r rune) bool { return !(r >= '0' && r <= '9' || r >= 'A' && r <= 'Z') }
	return len(b) == 5 && bytes.IndexFunc(b, invalid) < 0
}

// FirstPacket is the kind of a client's first packet.
type FirstPacket uint8

// Kinds of first packets.
const (
	FirstPacketIncomplete FirstPacket = iota
	FirstPacketStartup
	FirstPacketTLS
	FirstPacketGSS
	FirstPacketCancel
)

// ParseFirstPacket parses a first packet, which has a length but no type byte. n is its length, or 0 if it is incomplete.
func ParseFirstPacket(b []byte) (kind FirstPacket, n int, err error) {
	if len(b) < 4 {
		return FirstPacketIncomplete, 0, nil
	}
	size := int(int32(binary.BigEndian.Uint32(b)))
	if size < 8 || size > maxFirstPacketBytes {
		return FirstPacketIncomplete, 0, fmt.Errorf("%w: %d bytes in the first packet", ErrLength, size)
	}
	if len(b) < size {
		return FirstPacketIncomplete, 0, nil
	}
	switch code := binary.BigEndian.Uint32(b[4:]); {
	case code == 80877102:
		return FirstPacketCancel, size, nil
	case code == 80877103:
		return FirstPacketTLS, size, nil
	case code == 80877104:
		return FirstPacketGSS, size, nil
	case code>>16 != 3:
		return FirstPacketIncomplete, 0, fmt.Errorf("%w but %d.%d", ErrVersion, code>>16, code&0xffff)
	}
	return FirstPacketStartup, size, nil
}

// CancelKey returns the key in a complete cancel request; false if it contains none.
func CancelKey(b []byte) (key uint64, ok bool) {
	if len(b) != 16 {
		return 0, false
	}
	return binary.BigEndian.Uint64(b[8:]), true
}

// CancelRequest returns the packet that cancels the current query of the connection with this key.
func CancelRequest(key uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{0, 0, 0, 16, 4, 0xd2, 0x16, 0x2e}, key)
}

// ClientStatement returns a statement as the platform's clients write it: headed by a comment, on the row with the handle.
func ClientStatement(head, handle string, write bool) string {
	if write {
		return fmt.Sprintf(`/* %s */ INSERT INTO rows (handle, blob) VALUES ('%s', '\x9f03') RETURNING blob`, head, handle)
	}
	return fmt.Sprintf("/* %s */ SELECT blob FROM rows WHERE handle = '%s'", head, handle)
}

// Startup returns the startup packet that a gateway sends to a database.
func Startup(user, database string) []byte {
	b := binary.BigEndian.AppendUint32(nil, 0)
	b = binary.BigEndian.AppendUint32(b, 3<<16)
	for _, s := range []string{"user", user, "database", database, "application_name", "lilaccove", ""} {
		b = append(append(b, s...), 0)
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)))
	return b
}

// appendTextMessage appends one message that consists of texts, each terminated by a zero byte.
func appendTextMessage(b []byte, kind byte, texts ...string) []byte {
	start := len(b)
	b = append(b, kind, 0, 0, 0, 0)
	for _, s := range texts {
		b = append(append(b, s...), 0)
	}
	return setLength(b, start)
}

// setLength fills in the length of the message that begins at start and ends with b.
func setLength(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start+1:], uint32(len(b)-start-1))
	return b
}

// AppendStartupReply appends a server's answer to a startup packet. With the key a client can cancel queries from another
// connection.
func AppendStartupReply(b []byte, key uint64) []byte {
	b = append(b, AuthRequest, 0, 0, 0, 8, 0, 0, 0, 0)
	for _, p := range [][2]string{
		{"server_version", "15.0 (lilaccove)"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
	} {
		b = appendTextMessage(b, ParameterStatus, p[0], p[1])
	}
	b = append(b, BackendKey, 0, 0, 0, 12)
	return AppendReady(binary.BigEndian.AppendUint64(b, key))
}

// AppendReady appends a ReadyForQuery outside a transaction.
func AppendReady(b []byte) []byte { return append(b, Ready, 0, 0, 0, 5, 'I') }

// AppendEmptyQuery appends an EmptyQueryResponse.
func AppendEmptyQuery(b []byte) []byte { return append(b, EmptyQuery, 0, 0, 0, 4) }

// AppendError appends an ErrorResponse; detail may be empty.
func AppendError(b []byte, severity, code, message, detail string) []byte {
	texts := []string{"S" + severity, "V" + severity, "C" + code, "M" + message}
	if detail != "" {
		texts = append(texts, "D"+detail)
	}
	return appendTextMessage(b, ErrorResponse, append(texts, "")...)
}

// AppendQuery appends a Query message.
func AppendQuery(b []byte, text string) []byte { return appendTextMessage(b, Query, text) }

// QueryHeader returns the header of a Query message; body is the length of the text with its zero byte.
func QueryHeader(body int) [5]byte {
	header := [5]byte{Query}
	binary.BigEndian.PutUint32(header[1:], uint32(body+4))
	return header
}

// ErrorCode returns the SQLSTATE in the body of an ErrorResponse; empty if there is none.
func ErrorCode(body []byte) []byte { return errorField(body, 'C') }

// ErrorMessage returns the message text in the body of an ErrorResponse; empty if there is none.
func ErrorMessage(body []byte) []byte { return errorField(body, 'M') }

// errorField returns a field of an ErrorResponse; nil if it is missing.
func errorField(body []byte, field byte) []byte {
	for len(body) > 0 && body[0] != 0 {
		end := bytes.IndexByte(body, 0)
		if end < 0 {
			return nil
		}
		if body[0] == field {
			return body[1:end]
		}
		body = body[end+1:]
	}
	return nil
}

// ParseParameterStatus parses the body of a ParameterStatus.
func ParseParameterStatus(body []byte) (name, value []byte, err error) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	value, rest, ok2 := bytes.Cut(rest, []byte{0})
	if !ok || !ok2 || len(rest) > 0 {
		return nil, nil, ErrUnterminatedText
	}
	return name, value, nil
}

// ParseSingleColumn parses the body of a DataRow with one column, as all rows of the platform have. The value of a NULL is
// nil.
func ParseSingleColumn(body []byte) (value []byte, ok bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, false
	}
	length := int32(binary.BigEndian.Uint32(body[2:]))
	if length == -1 && len(body) == 6 {
		return nil, true
	}
	return body[6:], length >= 0 && len(body) == 6+int(length)
}

// ParseText returns the text of a message whose body is a single text, such as a Query.
func ParseText(body []byte) ([]byte, error) {
	if n := len(body); n == 0 || bytes.IndexByte(body, 0) != n-1 {
		return nil, ErrUnterminatedText
	}
	return body[:len(body)-1], nil
}

// IsEmptyQuery reports whether a query consists only of white space and semicolons.
func IsEmptyQuery(text []byte) bool { return len(bytes.Trim(text, " \t\r\n\f\v;")) == 0 }

// AppendMillis appends a number of milliseconds in decimal.
func AppendMillis(b []byte, ms int64) []byte { return strconv.AppendInt(b, ms, 10) }
