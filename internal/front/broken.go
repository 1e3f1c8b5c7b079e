// Streamed values that end incomplete, because their database failed.

package front

// AbortStream ends a streamed value of whose row some bytes are missing. A value of which the client has received nothing is answered as
// failed. Otherwise the connection is closed, so that the client notices, unless it is owed further answers: then the row is filled up, and
// an error follows it instead of CommandComplete.
func (call *call) AbortStream(missingBytes int) {
	c := call.conn
	if !c.nc.Closed() && c.calls[0] != call {
		call.dropBuffered()
		call.Failed()
		return
	}
	c.nc.Poll() // further commands may have arrived
	switch {
	case c.nc.Closed():
		call.markDone()
	case c.owesFurtherAnswers():
		c.front.clientLog.Printf(c.front.loop.Now(), "event=value_incomplete client=%d request=%q missing=%d", c.number, call.id, missingBytes)
		call.filler = missingBytes
		c.writeFiller()
	default:
		c.front.clientLog.Printf(c.front.loop.Now(), "event=client_closed client=%d request=%q reason=%q",
			c.number, call.id, "the streamed value ended incomplete")
		call.markDone()
		c.recordClose(closedBroken)
		c.nc.Close()
		c.Ended(nil)
	}
}

// owesFurtherAnswers reports whether the client has sent more than the command that is being answered.
func (c *conn) owesFurtherAnswers() bool {
	return len(c.calls) > 1 || c.large != nil || !c.nc.NoInputPending()
}

// fillerPiece is written again and again in place of missing bytes.
var fillerPiece [maxStreamBacklog]byte

// writeFiller writes filler as fast as the client reads, and then the error that ends the answer.
func (c *conn) writeFiller() {
	call := c.calls[0]
	for call.filler > 0 && c.nc.Pending() < maxStreamBacklog {
		piece := fillerPiece[:min(call.filler, len(fillerPiece))]
		call.filler -= len(piece)
		c.nc.Write(piece)
	}
	c.updateAnswerMemory()
	if call.filler == 0 {
		call.Failed()
	}
}
