//go:build review

package rig

import (
	"bufio"
	"encoding/binary"
	"io"
)

// message returns a message of PostgreSQL's protocol.
func message(kind byte, body []byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(b, body...)
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// startup returns a startup message.
func startup() []byte {
	body := binary.BigEndian.AppendUint32(nil, 196608)
	body = append(body, "user\x00api\x00database\x00ledger\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

// readStartup reads a startup message.
func readStartup(r *bufio.Reader) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(head[:]))-4)
	return err
}

// query returns a Query message.
func query(text string) []byte { return message('Q', append([]byte(text), 0)) }

func parameter(name, value string) []byte { return message('S', []byte(name+"\x00"+value+"\x00")) }

var ready = message('Z', []byte{'I'})

// rowHead returns RowDescription for one binary column.
func rowHead() []byte {
	body := append([]byte{0, 1}, "blob\x00"...)
	body = append(body, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	return message('T', body)
}

// dataRow returns DataRow with one value.
func dataRow(value []byte) []byte {
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	return message('D', append(body, value...))
}

// errorCode returns the code of an ErrorResponse.
func errorCode(body []byte) (code, detail string) {
	for len(body) > 1 {
		end := 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		switch body[0] {
		case 'C':
			code = string(body[1:end])
		case 'D':
			detail = string(body[1:end])
		}
		body = body[min(end+1, len(body)):]
	}
	return code, detail
}
