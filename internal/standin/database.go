package standin

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"lilaccove/internal/pgwire"
)

const (
	drainTime       = 2 * time.Second        // in which a draining database may still receive statements
	announceTimeout = 6 * time.Second        // in which a change reaches every gateway although watches or calls fail
	maxSilence      = 10 * time.Minute       // how long a connection without an answer is kept open
	maxReportedIDs  = 5                      // in Counts
	closeNoticeTime = 150 * time.Millisecond // in which the close of a connection is noticed with all cores busy
)

// accept serves connections until the listener is closed.
func (h *Host) accept() {
	defer h.world.wg.Done()
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		w := h.world
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			conn.Close()
			continue
		}
		now := time.Now()
		h.conns[conn] = now
		time.AfterFunc(closeNoticeTime, func() { h.countOpen(now) })
		w.counts.Connections++
		w.wg.Add(1)
		w.mu.Unlock()
		go func() {
			defer w.wg.Done()
			h.Serve(conn)
			w.mu.Lock()
			delete(h.conns, conn)
			w.mu.Unlock()
			conn.Close()
		}()
	}
}

// Serve runs the server side of the protocol on a connection: the startup, then one query after the other.
func (h *Host) Serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	var size [4]byte
	if _, err := io.ReadFull(in, size[:]); err != nil {
		return
	}
	bodySize := int64(binary.BigEndian.Uint32(size[:])) - 4
	if bodySize < 4 || bodySize > 10_000 {
		return
	}
	if _, err := io.CopyN(io.Discard, in, bodySize); err != nil {
		return
	}
	if !h.greet(conn) {
		return
	}
	defer func() {
		h.world.mu.Lock()
		defer h.world.mu.Unlock()
		h.ended++
	}()
	for {
		text, ok := h.readStatement(conn, in)
		if !ok || !h.handleStatement(conn, text) {
			return
		}
	}
}

// readStatement reads one statement. It returns false if the connection is to be closed.
func (h *Host) readStatement(conn net.Conn, in *bufio.Reader) (string, bool) {
	var head [5]byte
	if _, err := io.ReadFull(in, head[:]); err != nil || head[0] != pgwire.Query {
		return "", false
	}
	bodySize := int(binary.BigEndian.Uint32(head[1:])) - 4
	if bodySize < 1 || bodySize > pgwire.MaxQuery {
		return "", false
	}
	h.world.mu.Lock()
	reset := h.world.draw(h.world.faults.ResetBefore)
	h.world.mu.Unlock()
	body := make([]byte, bodySize)
	if reset {
		_, _ = io.ReadFull(in, body[:bodySize/2])
		resetConn(conn)
		return "", false
	}
	if _, err := io.ReadFull(in, body); err != nil || body[bodySize-1] != 0 {
		return "", false
	}
	return string(body[:bodySize-1]), true
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// errorResponse is an ErrorResponse followed by ReadyForQuery.
func errorResponse(code, why string) []byte {
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, why, ""))
}

// handleStatement runs and answers a statement. It returns false if the connection is to be closed.
func (h *Host) handleStatement(conn net.Conn, text string) bool {
	w, arrived := h.world, time.Now()
	if h.waitIfHanging() {
		return false
	}
	if !strings.HasPrefix(text, "/*") {
		if pgwire.IsEmptyQuery([]byte(text)) {
			return writeOK(conn, pgwire.AppendReady(pgwire.AppendEmptyQuery(nil)))
		}
		return writeOK(conn, Row("1", "")) // a probe, answered while the process runs, even if the database is paused
	}
	if h.runScript(conn, text) {
		return true
	}
	head, err := pgwire.ParseHead([]byte(text))
	if err != nil || int(head.Cluster) != h.Group {
		w.mu.Lock()
		w.counts.Foreign++
		w.mu.Unlock()
		return writeOK(conn, errorResponse(pgwire.CodeProtocolViolation, "no client sends this"))
	}
	isWrite := strings.HasPrefix(text[strings.Index(text, "*/")+2:], " INSERT")
	w.mu.Lock()
	h.statementCount++
	h.checkColdLoad(arrived)
	if h.health != "in_service" && time.Since(h.drainingSince) > drainTime+50*time.Millisecond+w.announceDelayAllowed(h.drainingSince) {
		w.counts.Drained++
	}
	if isWrite && !h.primary {
		w.counts.Misses++
		statuses := h.statusMessages(time.Time{})
		w.mu.Unlock()
		return writeOK(conn, append(statuses, errorResponse(pgwire.CodeReadOnly, "this is no primary")...))
	}
	h.countAttempt(string(head.ID), text)
	if h.pending >= w.options.Cores+w.options.Queue {
		w.counts.Full++
		w.mu.Unlock()
		return writeOK(conn, errorResponse(pgwire.CodeTooManyConnections, "the queue is full"))
	}
	h.pending++
	paused := h.paused
	w.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-w.done:
		}
	}
	h.slots <- struct{}{}
	time.Sleep(h.drawServiceTime())
	<-h.slots

	w.mu.Lock()
	h.pending--
	faults := w.faults
	failed := w.draw(faults.Errors)
	if !failed || w.draw(0.5) {
		h.recordExecution(head, isWrite, arrived)
	}
	reset, silent, malformed := w.draw(faults.ResetAfter), w.draw(faults.Silence), w.draw(faults.Malformed)
	now := time.Now()
	statuses := h.statusMessages(now)
	position := h.position(now)
	w.mu.Unlock()
	switch {
	case failed:
		return writeOK(conn, errorResponse("XX000", "internal error"))
	case reset:
		resetConn(conn)
		return false
	case silent:
		_ = conn.SetReadDeadline(time.Now().Add(maxSilence))
		_, _ = conn.Read(make([]byte, 1)) // returns when the gateway closes the connection
		return false
	case malformed:
		return writeOK(conn, []byte("T\xff\xff\xff\xffnoise"))
	case isWrite:
		return writeOK(conn, Row(fmt.Sprintf("commit=%d", now.UnixMilli()+1), string(statuses)))
	}
	return writeOK(conn, Row(fmt.Sprintf("applied=%d", position.UnixMilli()), string(statuses)))
}

// countAttempt counts a statement as the gateway's first or a further attempt at a client's request. A client's own
// retry carries a mark and counts as another request.
func (h *Host) countAttempt(id, text string) {
	head, _, _ := strings.Cut(text, "*/")
	if _, mark, isRetry := strings.Cut(head, ",r="); isRetry {
		id += "," + strings.TrimSpace(mark)
	}
	if w := h.world; w.attempted[id] {
		w.counts.Repeats++
	} else {
		w.attempted[id] = true
		w.counts.Firsts++
	}
}

// drawServiceTime returns the execution time of a statement, longer on a cold database.
func (h *Host) drawServiceTime() time.Duration {
	w := h.world
	w.mu.Lock()
	defer w.mu.Unlock()
	d := float64(w.options.Service)
	if w.options.Exponential {
		d *= w.rng.ExpFloat64()
	}
	return time.Duration(d / h.speedShare(time.Now()))
}

// recordExecution counts a statement that has run, and detects duplicate writes and stale reads.
func (h *Host) recordExecution(head pgwire.Head, isWrite bool, arrived time.Time) {
	w, id := h.world, string(head.ID)
	if isWrite {
		w.counts.Writes++
		if w.executions[id]++; w.executions[id] == 2 {
			w.counts.Duplicates++
			if len(w.counts.TwiceIDs) < maxReportedIDs {
				w.counts.TwiceIDs = append(w.counts.TwiceIDs, id)
			}
		}
		return
	}
	if w.counts.Reads++; h.primary {
		w.counts.PrimaryReads++
	}
	position := h.position(time.Now())
	bound := w.options.Bounds[string(head.Class)]
	// The bound counts from the arrival of the statement's last byte; 50 ms are allowed for delays.
	tooOld := bound > 0 && position.Before(arrived.Add(-bound-50*time.Millisecond))
	if tooOld || head.After > 0 && position.UnixMilli()+1 < head.After { // a commit's position is rounded up to a millisecond
		w.counts.Stale++
		if len(w.counts.StaleIDs) < maxReportedIDs {
			w.counts.StaleIDs = append(w.counts.StaleIDs, id)
		}
	}
}

// position returns the replication position: the time up to which all commits are applied. It never goes back.
func (h *Host) position(now time.Time) time.Time {
	position := now
	if !h.primary {
		position = now.Add(-h.lag)
	}
	if position.After(h.applied) {
		h.applied = position
	}
	return h.applied
}

// statusMessages returns the messages that report role and position with an answer. The zero time stands for now.
func (h *Host) statusMessages(now time.Time) []byte {
	if now.IsZero() {
		now = time.Now()
	}
	role := "replica"
	if h.primary {
		role = "primary"
	}
	return appendParameterStatus(appendParameterStatus(nil, "role", role), "applied_ms", fmt.Sprint(h.position(now).UnixMilli()))
}

// appendParameterStatus appends a ParameterStatus message.
func appendParameterStatus(b []byte, name, value string) []byte {
	b = append(b, pgwire.ParameterStatus)
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(name)+1+len(value)+1))
	b = append(append(b, name...), 0)
	return append(append(b, value...), 0)
}

// Row returns an answer with one value; statuses are the messages to send with it.
func Row(value, statuses string) []byte {
	var b bytes.Buffer
	b.WriteString("T\x00\x00\x00\x1d\x00\x01blob\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	n := uint32(len(value))
	b.WriteByte(pgwire.DataRow)
	b.Write(binary.BigEndian.AppendUint32(nil, n+10))
	b.WriteString("\x00\x01")
	b.Write(binary.BigEndian.AppendUint32(nil, n))
	b.WriteString(value)
	b.WriteString("C\x00\x00\x00\x0dSELECT 1\x00" + statuses)
	return pgwire.AppendReady(b.Bytes())
}

// writeOK writes b and reports whether that succeeded.
func writeOK(c net.Conn, b []byte) bool {
	_, err := c.Write(b)
	return err == nil
}
