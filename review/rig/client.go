//go:build review

package rig

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

// Client is one connection of a client to a gateway.
type Client struct {
	Conn *net.TCPConn
	In   *bufio.Reader
}

// Answer is what a gateway answered.
type Answer struct {
	Value  []byte
	Empty  bool   // EmptyQueryResponse
	Code   string // of an ErrorResponse
	Served bool
}

// String describes the answer.
func (a Answer) String() string {
	switch {
	case a.Code != "":
		return "error " + a.Code
	case a.Empty:
		return "empty"
	}
	return fmt.Sprintf("value of %d bytes", len(a.Value))
}

// Connect opens a connection and sends the startup message. receiveBuffer is the size of the kernel's receive buffer; 0: the default.
func Connect(addr string, receiveBuffer int) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	client := &Client{Conn: c.(*net.TCPConn), In: bufio.NewReaderSize(c, 16<<10)}
	if receiveBuffer > 0 {
		_ = client.Conn.SetReadBuffer(receiveBuffer)
	}
	_, err = c.Write(startup())
	return client, err
}

// Send sends a statement.
func (c *Client) Send(text string) error {
	_, err := c.Conn.Write(query(text))
	return err
}

// Read reads the next answer up to ReadyForQuery, also that to the startup message.
func (c *Client) Read() (a Answer, err error) {
	for {
		kind, body, err := readMessage(c.In)
		if err != nil {
			return a, err
		}
		switch kind {
		case 'D':
			a.Value = body[6:]
		case 'C':
			a.Served = true
		case 'I':
			a.Empty = true
		case 'E':
			a.Code, _ = errorCode(body)
			if a.Code == "" {
				a.Code = "?"
			}
		case 'Z':
			return a, nil
		}
	}
}

// Open connects and reads the answer to the startup message.
func Open(addr string) (*Client, error) {
	c, err := Connect(addr, 0)
	if err == nil {
		_, err = c.Read()
	}
	return c, err
}

// Select returns a read.
func Select(id, class string, timeout time.Duration, cluster int, key string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ SELECT blob FROM rows WHERE handle = '%s'", id, class, timeout.Milliseconds(), cluster, key)
}

// Insert returns a write.
func Insert(id, class string, timeout time.Duration, cluster int, key, hex string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ INSERT INTO rows (handle, blob) VALUES ('%s', '\\x%s') RETURNING blob",
		id, class, timeout.Milliseconds(), cluster, key, hex)
}
