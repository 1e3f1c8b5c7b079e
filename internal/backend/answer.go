// What a database answers.

package backend

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/pgwire"
	"lilaccove/policy"
)

// answer is what has been received for the current job or during the greeting.
type answer struct {
	valueBytes    int    // length of RowDescription, DataRow and CommandComplete as received, which stay at the start of the input
	value         []byte // their own buffer, once the connection may end before they are used
	kinds         []byte // message types of those
	probeColumn   []byte // the column of a probe's row
	errorCode     string // of an ErrorResponse
	errorText     string
	streamed      bool // its value is streamed and not buffered
	reply         gateway.Reply
	timeoutBuffer [20]byte
	kindsBuffer   [len(answerKinds)]byte
}

// setParameter stores what a ParameterStatus reports about the database.
func (a *answer) setParameter(name, value []byte) {
	switch string(name) {
	case "role":
		a.reply.Role = parseRole(string(value))
	case "applied_ms":
		if ms, err := strconv.ParseInt(string(value), 10, 64); err == nil && ms > 0 && ms <= maxTime.Milliseconds() {
			a.reply.Position, a.reply.HasPosition = time.Duration(ms)*time.Millisecond, true
		}
	case "load":
		a.parseReport(value)
	}
}

// maxTime bounds parsed times so that arithmetic on them cannot overflow; the decision module judges whether a position is
// plausible.
const maxTime = time.Duration(math.MaxInt64 / 2)

func parseRole(s string) policy.Role {
	switch s {
	case "primary":
		return policy.Primary
	case "replica":
		return policy.Replica
	}
	return policy.RoleUnknown
}

// parseReport parses a load report of name=value pairs; unknown names are ignored. A report with
// an invalid value is ignored as a whole.
func (a *answer) parseReport(text []byte) {
	var report policy.Report
	for pair := range bytes.SplitSeq(text, []byte{','}) {
		name, value, _ := bytes.Cut(pair, []byte{'='})
		number, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			return
		}
		switch string(name) {
		case "x0":
			if !(number >= 0 && number <= maxTime.Seconds()) {
				return
			}
			report.Position, report.HasPosition = time.Duration(number*float64(time.Second)), true
		case "x1":
			report.Role = policy.Replica
			if number == 1 {
				report.Role = policy.Primary
			}
		}
	}
	a.reply.Report = report
}

// outcome maps an answer's SQLSTATE to an outcome, as the protocol defines it.
func (p *Pool) outcome(a *answer, host policy.HostID) policy.Outcome {
	switch a.errorCode {
	case "":
		return policy.OK
	case pgwire.CodeReadOnly, pgwire.CodeReplicaTooStale:
		return policy.Miss
	case pgwire.CodeTooManyConnections, pgwire.CodeCannotConnectNow:
		return policy.AtCapacity
	case pgwire.CodeProtocolViolation:
		p.invalidAnswerLog.Printf(p.loop.Now(), "event=bad_statement host=%s text=%q", host, a.errorText)
	}
	return policy.Error
}

// complete reports whether the answer is complete, apart from ReadyForQuery.
func (a *answer) complete() bool { return a.errorCode != "" || string(a.kinds) == answerKinds }
