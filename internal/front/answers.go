// Memory for answers that clients have not read yet, and for those that wait for earlier ones.

package front

import "lilaccove/internal/pgwire"

// answerMemory counts the memory that answers take or may take.
type answerMemory struct {
	held     int // bytes of answers that are not read yet or wait for earlier ones
	reserved int // bytes for the answers to commands that are processed ahead of their turn
}

func (m *answerMemory) add(other answerMemory) {
	m.held += other.held
	m.reserved += other.reserved
}

func (m *answerMemory) subtract(other answerMemory) {
	m.held -= other.held
	m.reserved -= other.reserved
}

// SetMaxAnswerBytes changes the limit of memory for answers, see Options.
func (f *Front) SetMaxAnswerBytes(bytes int) { f.options.MaxAnswerBytes = bytes }

// mayReserveAnswer reports whether another command may be processed ahead of its turn: its answer may have to be held until then.
func (f *Front) mayReserveAnswer() bool {
	return f.answers.held+f.answers.reserved+pgwire.MaxBufferedValue <= f.options.MaxAnswerBytes
}

// answersExceeded reports whether clients leave so many answers unread that no further one can be held.
func (f *Front) answersExceeded() bool { return f.answers.held > 2*f.options.MaxAnswerBytes }

// updateAnswerMemory updates the connection's part of the memory for answers.
func (c *conn) updateAnswerMemory() {
	c.front.answers.subtract(c.answers)
	c.answers = answerMemory{}
	if !c.nc.Closed() {
		c.answers = answerMemory{held: c.nc.Pending() + c.bufferedBytes, reserved: c.unansweredAhead() * pgwire.MaxBufferedValue}
	}
	c.front.answers.add(c.answers)
}

// unansweredAhead returns how many unanswered commands are processed ahead of their turn.
func (c *conn) unansweredAhead() (n int) {
	for i, call := range c.calls {
		if i > 0 && !call.done {
			n++
		}
	}
	return n
}
