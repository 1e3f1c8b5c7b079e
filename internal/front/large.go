package front

import (
	"bytes"
	"slices"
	"time"

	"lilaccove/internal/netloop"
	"lilaccove/internal/pgwire"
)

const (
	queryHeaderBytes   = 5                     // of a message, before its text
	largeRefusalMargin = 20 * time.Millisecond // a statement that waits for memory is refused so long before its client's time is over
)

// largeWait is a connection's wait for memory for a large statement.
type largeWait struct {
	active bool
	held   bool           // reading is stopped
	timer  *netloop.Timer // ends the wait when the client's time is over
}

// largeStatement is a statement, partly received, that is too large for one buffer.
type largeStatement struct {
	size         int      // length including the message header
	received     int      // bytes of size received
	progressMark int      // value of received when the timeout last restarted
	pieces       [][]byte // in order
}

// collectLarge reads the received part of a large statement; it returns true when the statement is complete.
func (c *conn) collectLarge() bool {
	if c.large == nil && !c.beginLarge() {
		return false
	}
	pending := c.large
	// A piece fills its buffer, however small the reads are, so that all take little more than was reserved. The first one
	// holds the heading comment.
	n := min(len(c.nc.Input()), pending.size-pending.received)
	if n < min(maxPieceBytes, pending.size-pending.received) {
		return false
	}
	pending.pieces = append(pending.pieces, c.nc.Take(n))
	if pending.received += n; pending.received < pending.size {
		return false
	}
	c.large = nil
	c.nc.SetMinBuffer(0)
	c.queried = true
	c.dequeue()
	statement, class, err := c.assembleStatement(pending)
	if err != nil {
		c.front.freeBuffers(pending)
		c.rejectStatement(err)
		return true
	}
	c.submit(class, statement, pending.pieces, pending.size)
	return true
}

// beginLarge reserves memory for a large statement that has begun to arrive; it returns false if there is not enough yet, or never.
func (c *conn) beginLarge() bool {
	length := pgwire.LargeQueryLength(c.nc.Input())
	switch {
	case length > c.front.options.MaxLargeStatementBytes:
		c.fatal(pgwire.CodeTooLarge, "the statement is too large for this gateway's memory")
		return false
	case c.largeWait.active:
		c.holdLarge()
		return false
	case !c.front.reserveLarge(length):
		c.largeWait.active = true
		c.front.largeWaiting = append(c.front.largeWaiting, c)
		c.holdLarge()
		return false
	}
	c.large = &largeStatement{size: length}
	c.nc.SetMinBuffer(maxPieceBytes)
	return true
}

// holdLarge stops reading a statement for which there is no memory yet, once its head has arrived. The head says when the client's time is
// over at the earliest: the rest may have been sent whole by now.
func (c *conn) holdLarge() {
	text := c.nc.Input()[queryHeaderBytes:]
	head, err := pgwire.ParseHead(text)
	if c.largeWait.held || err != nil && len(text) < pgwire.MaxHeadBytes {
		return
	}
	c.largeWait.held = true
	c.nc.Pause()
	if err == nil {
		c.largeWait.timer = c.front.loop.At(c.deadline(&head)-largeRefusalMargin, c.refuseLarge)
	}
}

// refuseLarge refuses the statement that waits for memory.
func (c *conn) refuseLarge() {
	c.fatal(pgwire.CodeTooManyConnections, "too many large statements at once; nothing has run")
	c.endLargeWait()
	c.serve()
}

// endLargeWait ends the wait for memory for a large statement.
func (c *conn) endLargeWait() {
	if !c.largeWait.active {
		return
	}
	c.largeWait.timer.Stop()
	c.largeWait = largeWait{}
	c.front.largeWaiting = slices.DeleteFunc(c.front.largeWaiting, func(other *conn) bool { return other == c })
	c.nc.Resume()
}

// assembleStatement builds the statement from its pieces, without the message header and the final NUL.
func (c *conn) assembleStatement(large *largeStatement) (statement *pgwire.Statement, class int, err error) {
	statement = &pgwire.Statement{Text: large.pieces[0][queryHeaderBytes:], Rest: slices.Clone(large.pieces[1:])}
	last := &statement.Text
	if n := len(statement.Rest); n > 0 {
		last = &statement.Rest[n-1]
	}
	end := len(*last) - 1
	terminated := (*last)[end] == 0
	*last = (*last)[:end]
	hasNUL := func(b []byte) bool { return bytes.IndexByte(b, 0) >= 0 }
	if !terminated || hasNUL(statement.Text) || slices.ContainsFunc(statement.Rest, hasNUL) {
		return nil, 0, pgwire.ErrUnterminatedText
	}
	statement.Head, class, err = c.parseHead(statement.Text)
	return statement, class, err
}

// discardLarge discards a large statement that will not be completed.
func (c *conn) discardLarge() {
	if large := c.large; large != nil {
		c.large = nil
		c.front.freeBuffers(large)
	}
	c.endLargeWait()
}

// freeBuffers frees the pieces of a large statement and its reservation.
func (f *Front) freeBuffers(large *largeStatement) {
	for _, b := range large.pieces {
		f.loop.FreeBuffer(b)
	}
	f.releaseLarge(large.size)
}

// reserveLarge reserves memory for a large statement; it returns false if there is not enough.
func (f *Front) reserveLarge(n int) bool {
	if f.largeBytes+n > f.maxLargeBytes {
		return false
	}
	f.largeBytes += n
	return true
}

// SetMaxLargeBytes changes the total of concurrent large statements. One that exceeds it alone waits for a higher total, up to its client's time.
func (f *Front) SetMaxLargeBytes(bytes int) {
	f.maxLargeBytes = bytes
	f.loop.At(f.loop.Now(), f.admitLarge)
}

// releaseLarge releases a reservation and admits waiting connections: in the next loop iteration, because the
// caller may be handling any connection.
func (f *Front) releaseLarge(n int) {
	if n > 0 {
		f.largeBytes -= n
		f.loop.At(f.loop.Now(), f.admitLarge)
	}
}

// admitLarge lets waiting connections continue, in order, as far as memory allows. A statement that exceeds the total alone keeps none from it.
func (f *Front) admitLarge() {
	for _, c := range slices.Clone(f.largeWaiting) {
		length := pgwire.LargeQueryLength(c.nc.Input())
		if !c.largeWait.active || length > f.maxLargeBytes {
			continue
		}
		if f.largeBytes+length > f.maxLargeBytes {
			return
		}
		c.endLargeWait()
		c.serve()
	}
}
