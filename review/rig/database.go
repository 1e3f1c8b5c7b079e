//go:build review

package rig

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Query is a statement that a database has received.
type Query struct {
	Text, ID, Class, Key string
	Timeout              time.Duration // how long the gateway waits
	Arrived              time.Time
	Write                bool
}

// DB is a stand-in for a database. Its behaviour is that of the protocol page, apart from what Serve does.
type DB struct {
	Name   string
	Addr   string
	Record *Record
	Serve  func(c *DBConn, q Query) // answers a statement; runs on the connection's goroutine

	mu       sync.Mutex
	primary  bool
	position func() time.Time // up to which all commits are applied
	hungTill time.Time
	listener net.Listener
}

// DBConn is one connection to a database.
type DBConn struct {
	DB *DB
	net.Conn
	in *bufio.Reader
}

// StartDB starts a database on a free port of the loopback interface.
func StartDB(record *Record, name string, primary bool, serve func(c *DBConn, q Query)) (*DB, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	db := &DB{Name: name, Addr: listener.Addr().String(), Record: record, Serve: serve, primary: primary, position: time.Now, listener: listener}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go db.serve(&DBConn{DB: db, Conn: c, in: bufio.NewReaderSize(c, 64<<10)})
		}
	}()
	return db, nil
}

// SetPosition sets the function that tells up to when all commits are applied.
func (db *DB) SetPosition(position func() time.Time) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.position = position
}

// Position returns the time up to which all commits are applied; of a primary, the present.
func (db *DB) Position() time.Time {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.primary {
		return time.Now()
	}
	return db.position()
}

// Primary reports whether the database is the primary of its group.
func (db *DB) Primary() bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	return db.primary
}

// Hang makes the process stand still up to a time: what arrives meanwhile is handled after that.
func (db *DB) Hang(until time.Time) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.hungTill = until
}

// awaitRunning returns once the process does not stand still.
func (db *DB) awaitRunning() {
	db.mu.Lock()
	until := db.hungTill
	db.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (db *DB) serve(c *DBConn) {
	defer c.Close()
	if readStartup(c.in) != nil {
		return
	}
	db.awaitRunning()
	_, _ = c.Write(append(message('R', []byte{0, 0, 0, 0}), ready...))
	for {
		kind, body, err := readMessage(c.in)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		arrived := time.Now()
		db.awaitRunning()
		text := strings.TrimSpace(string(body[:len(body)-1]))
		switch {
		case text == "":
			_, _ = c.Write(append(message('I', nil), ready...))
		case strings.HasPrefix(text, "SELECT 1"), strings.HasPrefix(text, "SHOW load"):
			c.Value([]byte("1"), db.Position(), time.Time{})
		default:
			q, err := parse(text)
			if err != nil {
				db.Record.Printf("database %s got a statement that nobody sent: %.80q", db.Name, text)
				c.Error("08P01")
				continue
			}
			q.Arrived = arrived
			if q.Timeout > 0 && time.Since(arrived) > q.Timeout { // its time has passed: it is not begun
				db.Record.Printf("database %s drops id=%s: its time has passed", db.Name, q.ID)
				continue
			}
			db.Serve(c, q)
		}
	}
}

// parse reads the heading comment.
func parse(text string) (q Query, err error) {
	head, rest, ok := strings.Cut(strings.TrimPrefix(text, "/*"), "*/")
	if !ok || !strings.HasPrefix(text, "/*") {
		return q, fmt.Errorf("no heading comment")
	}
	q.Text = text
	for _, field := range strings.Split(head, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		switch name {
		case "id":
			q.ID = value
		case "c":
			q.Class = value
		case "d":
			var ms int
			ms, err = strconv.Atoi(value)
			q.Timeout = time.Duration(ms) * time.Millisecond
		}
	}
	q.Write = strings.HasPrefix(strings.TrimSpace(rest), "INSERT")
	if parts := strings.SplitN(rest, "'", 3); len(parts) == 3 {
		q.Key = parts[1]
	}
	return q, err
}

// Status returns the ParameterStatus messages of an answer.
func (db *DB) Status(position time.Time) []byte {
	role := "replica"
	if db.Primary() {
		role = "primary"
	}
	return append(parameter("role", role), parameter("applied_ms", strconv.FormatInt(position.UnixMilli(), 10))...)
}

// Value answers with a value and the position, or with the commit of a write instead, if it is not zero.
func (c *DBConn) Value(value []byte, position, commit time.Time) {
	_, _ = c.Write(c.ValueBytes(value, position, commit))
}

// ValueBytes returns the messages that Value sends.
func (c *DBConn) ValueBytes(value []byte, position, commit time.Time) []byte {
	b := append(rowHead(), dataRow(value)...)
	b = append(b, message('C', []byte("SELECT 1\x00"))...)
	if !commit.IsZero() {
		position = commit.Truncate(time.Millisecond)
		if position.Before(commit) {
			position = position.Add(time.Millisecond) // commits are rounded up
		}
	}
	b = append(b, c.DB.Status(position)...)
	return append(b, ready...)
}

// Error answers with an error.
func (c *DBConn) Error(code string) {
	b := message('E', []byte("SERROR\x00C"+code+"\x00Mstand-in\x00\x00"))
	b = append(b, c.DB.Status(c.DB.Position())...)
	_, _ = c.Write(append(b, ready...))
}

// BeginValue sends the head of an answer and the first part of a value of the given size.
func (c *DBConn) BeginValue(size, part int) {
	row := dataRow(make([]byte, size))
	_, _ = c.Write(append(rowHead(), row[:len(row)-size+part]...))
}

// Reset ends the connection with a reset.
func (c *DBConn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// EndValue sends what follows the last byte of a value.
func (c *DBConn) EndValue() {
	b := append(message('C', []byte("SELECT 1\x00")), c.DB.Status(c.DB.Position())...)
	_, _ = c.Write(append(b, ready...))
}
