// The work for one connection in one round of the loop.

package front

import "time"

// maxCommandsPerRound bounds how many commands of one connection are handled in one round, so that a client that sends at full speed does not keep
// others waiting.
const maxCommandsPerRound = maxPipelined

// roundWork counts the commands of a connection that were handled in one round.
type roundWork struct {
	round     time.Duration // when it began
	commands  int
	postponed bool // the connection is served again in the next round
}

// mayHandleNow reports whether the next command may be handled in this round. Otherwise the connection is served again in the next one.
func (c *conn) mayHandleNow() bool {
	if now := c.front.loop.Now(); c.work.round != now {
		c.work.round, c.work.commands = now, 0
	}
	if c.work.commands < maxCommandsPerRound || c.takesRemaining {
		c.work.commands++
		return true
	}
	c.front.postpone(c)
	return false
}

// postpone serves a connection again in the next round.
func (f *Front) postpone(c *conn) {
	if c.work.postponed {
		return
	}
	c.work.postponed = true
	if f.postponed = append(f.postponed, c); len(f.postponed) == 1 {
		f.loop.At(f.loop.Now()+1, f.servePostponed)
	}
}

func (f *Front) servePostponed() {
	list := f.postponed
	f.postponed = nil
	for _, c := range list {
		c.work.postponed = false
		if !c.nc.Closed() {
			c.serve()
		}
	}
}
