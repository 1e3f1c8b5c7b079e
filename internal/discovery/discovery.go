// Package discovery asks for the list of databases and watches its changes. The list
// in force stays when discovery fails; the decision module says when to ask again.
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
	// A change binds 6 s after discovery had it (protocol). A watch that fell silent is noticed quietTime behind its last
	// message, a call that brings none after callTime; the module asks again soon enough for the answer to come in time.
	callTime  = 2500 * time.Millisecond // discovery gives up on a call well before
	quietTime = 2500 * time.Millisecond // a watch says something every 2 s
	crowdTime = 500 * time.Millisecond  // a refusal that took so long to come has stood in a queue
	inputMost = 64 << 10

	failedLines = 5 // in the log, in a second
	mostLine    = 4 << 20
)

var (
	errQuiet = errors.New("nothing heard in time")
	errLine  = errors.New("list is too long")
	errEnded = errors.New("the answer ended")
	errCrowd = errors.New("refused after a wait")
	errOlder = errors.New("a change of an older version than the list")
)

// Core takes the news.
type Core interface {
	ListUpdated(kind policy.ListKind, entries []gateway.Entry)
}

// Client is the one watch of a gateway.
type Client struct {
	loop  *netloop.Loop
	core  Core
	addr  netip.AddrPort
	zones []string
	seq   int64

	nc      *netloop.Conn
	answer  http1.Response
	objects objects
	timer   *netloop.Timer
	askedAt time.Duration
	within  time.Duration // a call that has brought nothing new for so long has failed
	told    bool          // this watch has brought an object
	heard   bool          // some watch has
	traffic stats.Traffic
	failed  netloop.RateLimitedLog
}

// New makes a client that asks at addr. Zones are the names in the order of the settings.
func New(loop *netloop.Loop, core Core, addr netip.AddrPort, zones []string) *Client {
	return &Client{loop: loop, core: core, addr: addr, zones: zones, within: callTime, failed: netloop.RateLimitedLog{MaxPerSecond: failedLines}}
}

type listing struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []line `json:"hosts"`
}

type line struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Block  int    `json:"block"`
	Health string `json:"health"`
	Role   string `json:"role"`
	BornMS int64  `json:"born_ms"`
}

// LoadCachedList takes the list that the gateway had before it started, which may be old.
func (c *Client) LoadCachedList(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	var l listing
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("known list: %w", err)
	}
	c.seq = l.Seq
	c.core.ListUpdated(policy.ListCached, c.entries(l.Hosts))
	return nil
}

func (c *Client) entries(lines []line) []gateway.Entry {
	list := make([]gateway.Entry, 0, len(lines))
	for _, e := range lines {
		dial, err := netip.ParseAddrPort(e.Dial)
		if err != nil && e.Health != "terminated" {
			log.Printf("event=bad_entry host=%s dial=%q", e.Host, e.Dial)
		}
		list = append(list, gateway.Entry{Dial: dial, Member: policy.Member{
			Host: policy.HostID(e.Host), Group: policy.GroupID(e.Block), Zone: c.zone(e.Site),
			Status: status(e.Health), Primary: e.Role == "primary",
			StartedAt: time.Duration(e.BornMS) * time.Millisecond,
		}})
	}
	return list
}

func (c *Client) zone(name string) int {
	for i, z := range c.zones {
		if z == name {
			return i
		}
	}
	return -1
}

// status of a word nobody knows is that of a host which wants nothing new.
func status(word string) policy.Status {
	switch word {
	case "in_service":
		return policy.Healthy
	case "terminated":
		return policy.Gone
	}
	return policy.Draining
}

// ListReceived tells whether discovery has ever told a list or a change.
func (c *Client) ListReceived() bool { return c.heard }

// Subscribe begins a watch, unless one is on. A call that brings nothing for the time given has failed.
func (c *Client) Subscribe(within time.Duration) {
	if c.within = within; c.nc == nil {
		c.ask()
	}
}

func (c *Client) ask() {
	c.answer, c.objects, c.told = http1.Response{}, objects{text: c.objects.text[:0]}, false
	nc, err := c.loop.Dial(c.addr, c, inputMost)
	if err != nil {
		c.fail(err)
		return
	}
	c.nc, c.askedAt = nc, c.loop.Now()
	c.listen(c.askedAt + min(c.within, callTime))
}

// SetAddr asks at another address from now on, at once. The list, its version and all
// connections to databases stay; a watch that is on at that address goes on.
func (c *Client) SetAddr(addr netip.AddrPort) {
	if addr == c.addr && c.nc != nil {
		return
	}
	c.addr = addr
	c.drop()
	c.ask()
}

// ListVersion is the version of the list now.
func (c *Client) ListVersion() int64 { return c.seq }

// Resubscribe asks again at once, though a watch is on: it may tell nothing any more without being silent.
func (c *Client) Resubscribe() {
	c.drop()
	c.ask()
}

// listen sets until when discovery must have been heard again.
func (c *Client) listen(until time.Duration) {
	c.timer.Stop()
	c.timer = c.loop.At(until, func() { c.fail(errQuiet) })
}

// fail ends the watch and tells the module, which asks again after
// a while of its own choice.
func (c *Client) fail(err error) {
	c.failed.Printf(c.loop.Now(), "event=discovery_failed err=%q told=%t seq=%d", err, c.told, c.seq)
	c.drop()
	kind := policy.ListFailed
	if errors.Is(err, errCrowd) {
		kind = policy.ListQueueTimeout
	}
	c.core.ListUpdated(kind, nil)
}

// drop ends the watch, if there is one.
func (c *Client) drop() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
	c.timer.Stop()
}

// Connected asks.
func (c *Client) Connected() {
	call := fmt.Appendf(nil, "GET /api/targets?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n",
		c.seq, c.addr)
	c.traffic.CountOut(len(call))
	c.nc.Write(call)
}

// Traffic is that of all watches: calls go out, lists and changes come in.
func (c *Client) Traffic() stats.Traffic { return c.traffic }

// Received takes in the answer.
func (c *Client) Received() {
	n, err := c.answer.Feed(c.nc.Input(), c.data)
	c.nc.Consume(n)
	c.traffic.InBytes += uint64(n)
	if !c.told {
		c.listen(min(c.askedAt+callTime, c.loop.Now()+c.within))
	}
	switch {
	case err != nil:
	case c.answer.HeadComplete && c.answer.Status != 200:
		if err = fmt.Errorf("status %d", c.answer.Status); c.loop.Now()-c.askedAt >= crowdTime {
			err = fmt.Errorf("%w: %w", err, errCrowd)
		}
	case c.answer.Done:
		err = errEnded
	}
	if err != nil {
		c.fail(err)
	}
}

// Ended tells that the watch is over.
func (c *Client) Ended(err error) { c.fail(err) }

// data takes bytes of the body. Only a whole message shows that discovery goes on telling: bytes that never end an
// object are as silent as none.
func (c *Client) data(b []byte) error {
	if c.answer.Status != 200 {
		return nil
	}
	for len(b) > 0 {
		text, n, whole, err := c.objects.next(b)
		if err == nil && len(text) > 0 {
			err = c.object(text)
		}
		if err != nil {
			return err
		}
		if b = b[n:]; whole && c.told {
			c.listen(c.loop.Now() + quietTime)
		}
	}
	return nil
}

func (c *Client) object(text []byte) error {
	var l listing
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	c.traffic.InMessages++
	if !l.Whole && l.Seq < c.seq {
		return c.older(l)
	}
	kind := policy.ListDelta
	if l.Whole {
		kind = policy.ListFull
	}
	c.seq, c.told, c.heard = l.Seq, true, true
	c.core.ListUpdated(kind, c.entries(l.Hosts))
	return nil
}

// older takes a change of an older version than the list in force, from a discovery that went back or was moved to. It may
// take a database out and bring none back; the whole list is asked for.
func (c *Client) older(l listing) error {
	careful := slices.DeleteFunc(l.Hosts, func(e line) bool { return status(e.Health) == policy.Healthy })
	c.core.ListUpdated(policy.ListDelta, c.entries(careful))
	c.seq = 0
	return fmt.Errorf("%w: %d", errOlder, l.Seq)
}
