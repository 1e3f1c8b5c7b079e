// Rows that are too large to buffer are passed on while they arrive.

package backend

import (
	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// beginStream starts to stream a row that is too large to buffer; it returns false if there is none.
func (c *conn) beginStream(input []byte) bool {
	n := pgwire.LargeRowLength(input)
	if n == 0 || c.job == nil || c.job.attempt == nil {
		return false
	}
	job := c.job
	if !c.pool.core.BeginStream(job.attempt) {
		c.pool.abandon(job, policy.Cancelled) // no client waits for it
		return false
	}
	job.timer.Stop()
	c.rowRemaining, c.lastRead = n, c.pool.loop.Now()
	c.answer.kinds, c.answer.streamed = append(c.answer.kinds, pgwire.DataRow), true
	c.nc.SetMinBuffer(streamReadBytes)
	c.watchStream()
	c.forward(c.receivedValue())
	c.dropValue()
	return true
}

// watchStream gives up a streamed row if the database sends nothing for streamSilenceTimeout. Time in which reading is paused
// for the client does not count.
func (c *conn) watchStream() {
	job, now := c.job, c.pool.loop.Now()
	if c.paused {
		c.lastRead = now
	}
	if now-c.lastRead >= streamSilenceTimeout {
		c.pool.abandon(job, policy.Timeout)
		return
	}
	job.timer = c.pool.loop.At(c.lastRead+streamSilenceTimeout, c.watchStream)
}

// streamInput forwards the received bytes of a streamed row.
func (c *conn) streamInput() {
	b := c.nc.Input()
	b = b[:min(len(b), c.rowRemaining)]
	c.rowRemaining -= len(b)
	c.job.attempt.RowMissing = c.rowRemaining
	c.lastRead = c.pool.loop.Now()
	c.forward(b)
	c.nc.Consume(len(b))
}

// forward passes bytes to the client, and pauses reading if the client can take no more for now.
func (c *conn) forward(b []byte) {
	if !c.pool.core.StreamChunk(c.job.attempt, b) {
		c.paused = true
		c.nc.Pause()
	}
}

// resumeStream continues after the client has read.
func (c *conn) resumeStream() {
	if c.paused {
		c.paused = false
		c.lastRead = c.pool.loop.Now()
		c.nc.Resume()
		c.Received()
	}
}
