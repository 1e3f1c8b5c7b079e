// Package discovery requests the list of databases from the discovery service and watches its changes. The list in force
// stays when discovery fails; the decision module decides when to ask again.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"net/netip"
	"slices"
	"time"

	"lilaccove/internal/gateway"
	"lilaccove/internal/http1"
	"lilaccove/internal/netloop"
	"lilaccove/internal/stats"
	"lilaccove/policy"
)

const (
	// The protocol requires that a change is in force 6 s after discovery received it. A silent watch is detected
	// watchTimeout after its last message, a request without an answer after callTimeout. Both leave the decision module
	// enough time to ask again and have the answer within the 6 s.
	callTimeout       = 2500 * time.Millisecond // discovery itself gives up on a request well before
	watchTimeout      = 2500 * time.Millisecond // a watch sends a heartbeat every 2 s
	queuedRefusalTime = 500 * time.Millisecond  // a refusal after this time is taken to have waited in a queue
	maxInputBytes     = 64 << 10

	maxFailureLinesPerSecond = 5
	maxObjectBytes           = 4 << 20
)

var (
	errSilent        = errors.New("no message within the timeout")
	errObjectTooLong = errors.New("list message is too long")
	errAnswerEnded   = errors.New("the response ended")
	errQueued        = errors.New("refused after a wait")
	errOlderVersion  = errors.New("the change has an older version than the list")
)

// Core receives the lists and changes, and is notified when the watch fails.
type Core interface {
	ListUpdated(kind policy.ListKind, entries []gateway.Entry)
}

// Client keeps one watch on the discovery service.
type Client struct {
	loop        *netloop.Loop
	core        Core
	addr        netip.AddrPort
	zones       []string
	listVersion int64

	conn          *netloop.Conn
	response      http1.Response
	splitter      objectSplitter
	timer         *netloop.Timer
	askedAt       time.Duration
	answerTimeout time.Duration // a new watch fails if it receives nothing for this time
	watchReceived bool          // this watch has delivered a list or a change
	everReceived  bool          // some watch has delivered one
	traffic       stats.Traffic
	failureLog    netloop.RateLimitedLog
}

// New returns a client for the discovery service at addr. zones are the zones' names in the order of the settings.
func New(loop *netloop.Loop, core Core, addr netip.AddrPort, zones []string) *Client {
	return &Client{loop: loop, core: core, addr: addr, zones: zones, answerTimeout: callTimeout,
		failureLog: netloop.RateLimitedLog{MaxPerSecond: maxFailureLinesPerSecond}}
}

// listMessage is one JSON object of a watch: the whole list, or a change of it.
type listMessage struct {
	Seq   int64       `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []listEntry `json:"hosts"`
}

// listEntry describes one database in a list or a change.
type listEntry struct {
	Host      string `json:"host"`
	Dial      string `json:"dial"`
	Site      string `json:"site"`
	Block     int    `json:"block"`
	Health    string `json:"health"`
	Role      string `json:"role"`
	StartedMS int64  `json:"born_ms"`
}

// LoadCachedList applies the list that the configuration holds, which may be old.
func (c *Client) LoadCachedList(content []byte) error {
	if len(content) == 0 {
		return nil
	}
	var list listMessage
	if err := json.Unmarshal(content, &list); err != nil {
		return fmt.Errorf("cached list: %w", err)
	}
	c.listVersion = list.Seq
	c.core.ListUpdated(policy.ListCached, c.parseEntries(list.Hosts))
	return nil
}

func (c *Client) parseEntries(lines []listEntry) []gateway.Entry {
	entries := make([]gateway.Entry, 0, len(lines))
	for _, line := range lines {
		dial, err := netip.ParseAddrPort(line.Dial)
		if err != nil && line.Health != "terminated" {
			log.Printf("event=bad_entry host=%s dial=%q", line.Host, line.Dial)
		}
		entries = append(entries, gateway.Entry{Dial: dial, Member: policy.Member{
			Host: policy.HostID(line.Host), Group: policy.GroupID(line.Block), Zone: c.zoneIndex(line.Site),
			Status: parseStatus(line.Health), Primary: line.Role == "primary",
			StartedAt: time.Duration(line.StartedMS) * time.Millisecond,
		}})
	}
	return entries
}

// zoneIndex returns the zone's index in the settings; -1 if they don't name it.
func (c *Client) zoneIndex(name string) int {
	for i, zone := range c.zones {
		if zone == name {
			return i
		}
	}
	return -1
}

// parseStatus reads a health value. An unknown value counts as draining, so that the host gets no new requests.
func parseStatus(health string) policy.Status {
	switch health {
	case "in_service":
		return policy.Healthy
	case "terminated":
		return policy.Gone
	}
	return policy.Draining
}

// ListReceived reports whether discovery has ever sent a list or a change.
func (c *Client) ListReceived() bool { return c.everReceived }

// Subscribe starts a watch unless one is open. A new watch fails if it receives nothing for answerTimeout.
func (c *Client) Subscribe(answerTimeout time.Duration) {
	if c.answerTimeout = answerTimeout; c.conn == nil {
		c.startWatch()
	}
}

func (c *Client) startWatch() {
	c.response, c.splitter, c.watchReceived = http1.Response{}, objectSplitter{buffer: c.splitter.buffer[:0]}, false
	conn, err := c.loop.Dial(c.addr, c, maxInputBytes)
	if err != nil {
		c.fail(err)
		return
	}
	c.conn, c.askedAt = conn, c.loop.Now()
	c.setDeadline(c.askedAt + min(c.answerTimeout, callTimeout))
}

// SetAddr changes discovery's address and starts a watch there at once. The list, its version and all connections to
// databases stay. A watch that is already open at that address goes on.
func (c *Client) SetAddr(addr netip.AddrPort) {
	if addr == c.addr && c.conn != nil {
		return
	}
	c.addr = addr
	c.closeWatch()
	c.startWatch()
}

// ListVersion returns the version of the current list.
func (c *Client) ListVersion() int64 { return c.listVersion }

// Resubscribe replaces the watch at once: an open watch may still send heartbeats but no changes any more.
func (c *Client) Resubscribe() {
	c.closeWatch()
	c.startWatch()
}

// setDeadline sets the time by which discovery must have sent something again.
func (c *Client) setDeadline(deadline time.Duration) {
	c.timer.Stop()
	c.timer = c.loop.At(deadline, func() { c.fail(errSilent) })
}

// fail closes the watch and notifies the decision module, which decides when to subscribe again.
func (c *Client) fail(err error) {
	c.failureLog.Printf(c.loop.Now(), "event=discovery_failed err=%q told=%t seq=%d", err, c.watchReceived, c.listVersion)
	c.closeWatch()
	kind := policy.ListFailed
	if errors.Is(err, errQueued) {
		kind = policy.ListQueueTimeout
	}
	c.core.ListUpdated(kind, nil)
}

// closeWatch closes the watch's connection, if there is one.
func (c *Client) closeWatch() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	c.timer.Stop()
}

// Connected sends the request for the list and its changes after the current version.
func (c *Client) Connected() {
	request := fmt.Appendf(nil, "GET /api/targets?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n",
		c.listVersion, c.addr)
	c.traffic.CountOut(len(request))
	c.conn.Write(request)
}

// Traffic returns the traffic of all watches: requests go out, lists and changes come in.
func (c *Client) Traffic() stats.Traffic { return c.traffic }

// Received parses the part of the response that has arrived.
func (c *Client) Received() {
	n, err := c.response.Feed(c.conn.Input(), c.receiveBody)
	c.conn.Consume(n)
	c.traffic.InBytes += uint64(n)
	if !c.watchReceived {
		c.setDeadline(min(c.askedAt+callTimeout, c.loop.Now()+c.answerTimeout))
	}
	switch {
	case err != nil:
	case c.response.HeadComplete && c.response.Status != 200:
		if err = fmt.Errorf("status %d", c.response.Status); c.loop.Now()-c.askedAt >= queuedRefusalTime {
			err = fmt.Errorf("%w: %w", err, errQueued)
		}
	case c.response.Done:
		err = errAnswerEnded
	}
	if err != nil {
		c.fail(err)
	}
}

// Ended handles the loss of the connection.
func (c *Client) Ended(err error) { c.fail(err) }

// receiveBody parses bytes of the body. Only a complete message extends the watch's deadline: bytes that never complete an
// object don't show that discovery still sends changes.
func (c *Client) receiveBody(body []byte) error {
	if c.response.Status != 200 {
		return nil
	}
	for len(body) > 0 {
		object, used, complete, err := c.splitter.next(body)
		if err == nil && len(object) > 0 {
			err = c.applyObject(object)
		}
		if err != nil {
			return err
		}
		if body = body[used:]; complete && c.watchReceived {
			c.setDeadline(c.loop.Now() + watchTimeout)
		}
	}
	return nil
}

// applyObject applies a list or a change.
func (c *Client) applyObject(object []byte) error {
	var message listMessage
	if err := json.Unmarshal(object, &message); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	c.traffic.InMessages++
	if !message.Whole && message.Seq < c.listVersion {
		return c.applyOlder(message)
	}
	kind := policy.ListDelta
	if message.Whole {
		kind = policy.ListFull
	}
	c.listVersion, c.watchReceived, c.everReceived = message.Seq, true, true
	c.core.ListUpdated(kind, c.parseEntries(message.Hosts))
	return nil
}

// applyOlder applies a change with an older version than the list in force. A discovery service sends one if it lost state,
// or if the client now uses another service. Such a change may take databases out of service but brings none back. The
// version is reset and the watch ends, so that the next request asks for the whole list.
func (c *Client) applyOlder(message listMessage) error {
	unhealthy := slices.DeleteFunc(message.Hosts, func(line listEntry) bool { return parseStatus(line.Health) == policy.Healthy })
	c.core.ListUpdated(policy.ListDelta, c.parseEntries(unhealthy))
	c.listVersion = 0
	return fmt.Errorf("%w: %d", errOlderVersion, message.Seq)
}
