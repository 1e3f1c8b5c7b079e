//go:build review

package shared2

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// message returns a message of the protocol.
func message(kind byte, body []byte) []byte {
	b := make([]byte, 5, 5+len(body))
	b[0] = kind
	binary.BigEndian.PutUint32(b[1:], uint32(4+len(body)))
	return append(b, body...)
}

func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > 32<<20 {
		return 0, nil, errors.New("length of a message")
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// Client is a client's connection.
type Client struct {
	Conn   net.Conn
	reader *bufio.Reader
	count  int // bytes read
}

// countingReader counts what a client reads.
type countingReader struct{ client *Client }

func (r countingReader) Read(b []byte) (int, error) {
	n, err := r.client.Conn.Read(b)
	r.client.count += n
	return n, err
}

// Answer is what a client got for one query.
type Answer struct {
	Value   string
	Rows    int
	Code    string
	Empty   bool
	Ended   bool // the connection ended before ReadyForQuery
	TimedUp bool // nothing whole came in time
	Bytes   int  // read of it, also of a message that is not whole
	At      time.Time
}

// Kind names the answer.
func (a Answer) Kind() string {
	switch {
	case a.Empty:
		return "empty"
	case a.Code == "53300" || a.Code == "57P03":
		return "refused " + a.Code
	case a.Code != "":
		return "failed " + a.Code
	case a.Rows == 1 && !a.TimedUp && !a.Ended:
		return "served"
	case a.Ended:
		return "ended"
	}
	return "unanswered"
}

// Dial connects a client and completes the startup.
func (c *Case) Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	body := append([]byte{0, 3, 0, 0}, "user\x00api\x00database\x00ledger\x00\x00"...)
	startup := binary.BigEndian.AppendUint32(nil, uint32(4+len(body)))
	if _, err = conn.Write(append(startup, body...)); err != nil {
		return nil, err
	}
	client := &Client{Conn: conn}
	client.reader = bufio.NewReaderSize(countingReader{client}, 4096)
	if a := client.Read(time.Second); a.Kind() != "unanswered" || a.TimedUp {
		conn.Close()
		return nil, fmt.Errorf("startup: %s", a.Kind())
	}
	return client, nil
}

// MustDial is Dial; it ends the run if that fails.
func (c *Case) MustDial(addr string) *Client {
	client, err := c.Dial(addr)
	c.Must(err, "client")
	return client
}

// Close closes the connection.
func (cl *Client) Close() { cl.Conn.Close() }

// Send writes one query.
func (cl *Client) Send(text string) error {
	_, err := cl.Conn.Write(message('Q', append([]byte(text), 0)))
	return err
}

// Read reads one answer, for a limited time.
func (cl *Client) Read(limit time.Duration) (a Answer) {
	_ = cl.Conn.SetReadDeadline(time.Now().Add(limit))
	before := cl.count
	defer func() { a.At, a.Bytes = time.Now(), cl.count-before }()
	for {
		kind, body, err := readMessage(cl.reader)
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				a.TimedUp = true
			} else {
				a.Ended = true
			}
			return a
		}
		switch kind {
		case 'D':
			a.Rows++
			if len(body) >= 6 {
				a.Value = string(body[6:])
			}
		case 'E':
			for _, field := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(field, "C") {
					a.Code = field[1:]
				}
			}
		case 'I':
			a.Empty = true
		case 'Z':
			return a
		}
	}
}

// Query sends a query and reads its answer.
func (cl *Client) Query(text string, limit time.Duration) Answer {
	if err := cl.Send(text); err != nil {
		return Answer{Ended: true, At: time.Now()}
	}
	return cl.Read(limit)
}

var lastID atomic.Int64

// NewID returns a request's id.
func NewID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// ReadText returns a read; more is appended to the comment.
func ReadText(id, class string, group int, wait time.Duration, key, more string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d%s */ SELECT blob FROM rows WHERE handle = '%s'", id, class, wait.Milliseconds(), group, more, key)
}

// WriteText returns a write.
func WriteText(id, class string, group int, wait time.Duration, key, hex string) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ INSERT INTO rows (handle, blob) VALUES ('%s', '\\x%s') RETURNING blob",
		id, class, wait.Milliseconds(), group, key, hex)
}

// Statement is what a database received.
type Statement struct {
	Text        string
	ID, Class   string
	Key         string
	Wait        time.Duration // d
	Write       bool
	First, Last time.Time // of its bytes
}

// Reply is what a database answers.
type Reply struct {
	Value    []byte
	Code     string // of an error instead of a value
	Primary  bool
	Position time.Time       // zero: none
	Silent   bool            // nothing is answered, ever
	Pieces   int             // the answer is written in pieces of so many bytes; 0: whole
	Pause    time.Duration   // between two pieces
	Done     func(err error) // called when the answer was written
}

// Database is a stand-in for one database.
type Database struct {
	c        *Case
	ID       string
	Addr     string
	listener net.Listener

	mu       sync.Mutex
	handle   func(s Statement) Reply     // runs on the connection's goroutine
	report   func() (x0 float64, x1 int) // for SHOW load; nil: 42501
	cutUntil time.Time                   // it neither reads nor sends until then
}

// NewDatabase starts a database.
func (c *Case) NewDatabase(id string, handle func(s Statement) Reply) *Database {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err, "database")
	d := &Database{c: c, ID: id, Addr: l.Addr().String(), listener: l, handle: handle}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				d.serve(conn)
			}()
		}
	}()
	return d
}

// SetReport sets what SHOW load answers.
func (d *Database) SetReport(report func() (float64, int)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report = report
}

func errorMessage(code, text string) []byte {
	return message('E', []byte("SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00"))
}

func parameter(name, value string) []byte { return message('S', []byte(name+"\x00"+value+"\x00")) }

var ready = message('Z', []byte{'I'})

func row(value []byte) (head, rest []byte) {
	head = message('T', append([]byte("\x00\x01blob\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1))
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	head = append(head, message('D', append(body, value...))...)
	return head, message('C', []byte("SELECT 1\x00"))
}

func (d *Database) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	var size [4]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return
	}
	n := int(binary.BigEndian.Uint32(size[:])) - 4
	if n < 4 || n > 10_000 {
		return
	}
	if _, err := io.CopyN(io.Discard, in, int64(n)); err != nil {
		return
	}
	d.waitWhileCut()
	if _, err := conn.Write(append(message('R', []byte{0, 0, 0, 0}), ready...)); err != nil {
		return
	}
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		kind, body, err := readMessage(in)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		text := string(body[:len(body)-1])
		d.waitWhileCut()
		d.mu.Lock()
		handle, report := d.handle, d.report
		d.mu.Unlock()
		switch {
		case strings.TrimSpace(text) == "":
			_, err = conn.Write(append(message('I', nil), ready...))
		case text == "SHOW load" && report == nil:
			_, err = conn.Write(append(errorMessage("42501", "not here"), ready...))
		case text == "SHOW load":
			x0, x1 := report()
			head, rest := row([]byte(fmt.Sprintf("x0=%.3f,x1=%d", x0, x1)))
			_, err = conn.Write(append(append(head, rest...), ready...))
		case text == "SELECT 1":
			head, rest := row([]byte("1"))
			_, err = conn.Write(append(append(head, rest...), ready...))
		case !strings.HasPrefix(text, "/*"):
			d.c.Log("database %s: foreign statement %q", d.ID, text)
			_, err = conn.Write(append(errorMessage("08P01", "no client sends this"), ready...))
		default:
			s := parse(text)
			s.First, s.Last = first, time.Now()
			err = d.answer(conn, s, handle(s))
		}
		if err != nil {
			return
		}
	}
}

func parse(text string) (s Statement) {
	s.Text = text
	comment, rest, _ := strings.Cut(strings.TrimPrefix(text, "/*"), "*/")
	for _, field := range strings.Split(comment, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		switch name {
		case "id":
			s.ID = value
		case "c":
			s.Class = value
		case "d":
			ms, _ := strconv.Atoi(value)
			s.Wait = time.Duration(ms) * time.Millisecond
		}
	}
	if _, after, ok := strings.Cut(rest, "'"); ok {
		s.Key, _, _ = strings.Cut(after, "'")
	}
	s.Write = strings.HasPrefix(strings.TrimSpace(rest), "INSERT")
	return s
}

func (d *Database) answer(conn net.Conn, s Statement, r Reply) (err error) {
	if r.Done != nil {
		defer func() { r.Done(err) }()
	}
	if r.Silent {
		_, err := io.Copy(io.Discard, conn) // until the other side closes or ends its sending
		if err == nil {
			err = io.EOF
		}
		return err
	}
	role := "replica"
	if r.Primary {
		role = "primary"
	}
	tail := parameter("role", role)
	if !r.Position.IsZero() {
		tail = append(tail, parameter("applied_ms", strconv.FormatInt(r.Position.UnixMilli(), 10))...)
	}
	tail = append(tail, ready...)
	if r.Code != "" {
		_, err := conn.Write(append(errorMessage(r.Code, "no"), tail...))
		return err
	}
	head, rest := row(r.Value)
	b := append(append(head, rest...), tail...)
	if r.Pieces == 0 {
		r.Pieces = len(b)
	}
	for len(b) > 0 {
		d.waitWhileCut()
		n := min(r.Pieces, len(b))
		if _, err := conn.Write(b[:n]); err != nil {
			return err
		}
		if b = b[n:]; len(b) > 0 {
			time.Sleep(r.Pause)
		}
	}
	return nil
}

// SendPieces writes one query in pieces, with a pause after each but the last. It does not read meanwhile.
func (cl *Client) SendPieces(text string, size int, pause time.Duration) error {
	b := message('Q', append([]byte(text), 0))
	for len(b) > 0 {
		n := min(size, len(b))
		if _, err := cl.Conn.Write(b[:n]); err != nil {
			return err
		}
		if b = b[n:]; len(b) > 0 {
			time.Sleep(pause)
		}
	}
	return nil
}

// Cut makes the database fall silent until a time: open connections stay open, new ones do not come up, and all go on after
// that.
func (d *Database) Cut(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cutUntil = until
}

func (d *Database) waitWhileCut() {
	d.mu.Lock()
	until := d.cutUntil
	d.mu.Unlock()
	time.Sleep(time.Until(until))
}

// Buffer sets how many bytes the client's system takes before the gateway has read them.
func (cl *Client) Buffer(n int) error {
	if tcp, ok := cl.Conn.(*net.TCPConn); ok {
		return tcp.SetWriteBuffer(n)
	}
	return nil
}

// Flood writes commands at once and reads whatever comes for a time.
func (cl *Client) Flood(commands []byte, limit time.Duration) {
	_ = cl.Conn.SetDeadline(time.Now().Add(limit))
	go cl.Conn.Write(commands)
	_, _ = io.Copy(io.Discard, cl.reader)
}

// QueryBytes returns a query as a client writes it.
func QueryBytes(text string) []byte { return message('Q', append([]byte(text), 0)) }
