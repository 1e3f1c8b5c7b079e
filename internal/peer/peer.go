package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/fleet"
	"lilaccove/internal/fleet/audit"
	"lilaccove/internal/fleet/membership"
	"lilaccove/internal/netloop"
)

const (
	maxDatagram             = 1200                   // bytes sent in one; updates that do not fit are left out
	datagramLoopShare       = 0.1                    // maximum share of the loop's time spent on datagrams
	maxDatagramsPerSecond   = 500                    // from one sender
	maxSenders              = 8192                   // for which rates are kept
	maxStreams              = 16                     // in each direction
	streamTimeout           = 2 * time.Second        // for a whole exchange
	rebindInterval          = 500 * time.Millisecond // see Links.rebind
	oldSocketTime           = 5 * time.Second        // how long the previous address is still read after a rebind
	maxBindAttempts         = 8
	maxMemberLinesPerSecond = 200 // state changes of members logged in a second
)

// Counts holds the messages dropped, by reason, and the traffic sent and received.
type Counts struct {
	Garbage, UnknownVersion, Foreign, Corrupt, Malformed, Oversized, RateLimited uint64
	Received, Sent, ReceivedBytes, SentBytes, Unsent                             uint64
	Exchanges, ExchangesFailed                                                   uint64
}

// Links connects a gateway to the other members of its fleet. All methods run on the loop's goroutine.
type Links struct {
	loop           *netloop.Loop
	file           *fleet.File
	codec          *codec
	machine        *membership.Machine
	udp            *netloop.UDPSocket
	listener       *netloop.Listener
	timer          *netloop.Timer
	sibling        bool
	onFallbackPort bool // bound to another port, as the configured address was in use
	lastStreamID   uint64
	inbound        map[uint64]*stream
	inboundOrder   []*stream // inbound streams, oldest first
	outboundCount  int
	buf            []byte
	counts         Counts
	traffic        traffic
	senders        map[netip.AddrPort]*rateWindow
	invalidLog     netloop.RateLimitedLog
	suspectLog     netloop.RateLimitedLog
	memberLog      netloop.RateLimitedLog // its limit lets the start of a fleet be logged whole, but not a flood of invalid members
	viewVersion    uint64                 // of the view logged last
	budgets        *Budgets
	versions       *versions // nil: versions are not shared
	overrides      *overrides
	onView         func()         // called when the stable view has changed
	positions      *Positions     // nil: positions are not shared
	primaries      *Positions     // likewise
	audit          *AuditRecorder // nil: no audit records are kept
	fence          *audit.Fence   // nil: this process is never fenced
	fenced         bool           // as last reported to onFence
	onFence        func(active bool)
	deaths         uint64
	onDeath        func(name string)
}

// rateWindow counts the datagrams of one sender within a second.
type rateWindow struct {
	start time.Duration
	count int
}

// New joins a fleet. The name and the zone are the gateway's; start is the time at which the process started.
func New(loop *netloop.Loop, name, zone string, file *fleet.File, start time.Duration) (*Links, error) {
	if !fleet.ValidName(name) {
		return nil, fmt.Errorf("fleet: a gateway named %q cannot be a member; letters, digits, dots, dashes and underscores, 64 at most", name)
	}
	c, err := newCodec(file.Fleet)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l := &Links{
		loop: loop, file: file, codec: c, inbound: map[uint64]*stream{}, senders: map[netip.AddrPort]*rateWindow{},
		memberLog: netloop.RateLimitedLog{MaxPerSecond: maxMemberLinesPerSecond},
	}
	err = l.bind(file.Listen)
	if errors.Is(err, unix.EADDRINUSE) {
		// A predecessor during an upgrade has it, or it is a fault, which the fleet will report.
		log.Printf("event=fleet_address_taken listen=%s", file.Listen)
		l.onFallbackPort = true
		err = l.bind(netip.AddrPortFrom(file.Listen.Addr(), 0))
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	cfg := membership.Config{
		Name: name, Addr: l.advertisedAddr(), Start: start, Session: rand.Uint64() | 1, Seed: rand.Uint64(), Seeds: file.Seeds, Zone: zone,
		ProbePeriod: file.ProbePeriod, StableAfter: file.StableAfter, MaxMembers: file.MaxMembers,
	}
	l.machine = membership.New(cfg, loop.Now())
	log.Printf("event=fleet_started fleet=%s name=%s listen=%s advertise=%s seeds=%d", file.Fleet, name, l.udp.Addr, cfg.Addr, len(file.Seeds))
	if l.onFallbackPort {
		loop.At(loop.Now()+rebindInterval, l.rebind)
	}
	l.overrides = l.newOverrides()
	if file.FenceAfter > 0 {
		l.fence = audit.NewFence(file.FenceAfter)
	}
	if l.budgets, err = l.newBudgets(name); err != nil {
		return nil, err
	}
	l.flush()
	return l, nil
}

// Budgets returns this gateway's part of the fleet's connection budgets; nil: there are none.
func (l *Links) Budgets() *Budgets { return l.budgets }

// bind opens the listener and the datagram socket on the same port.
func (l *Links) bind(addr netip.AddrPort) error {
	for attempt := 1; ; attempt++ {
		listener, err := l.loop.ListenReserved(addr, maxStreams, l.accept, l.closeOldestStream)
		if err != nil {
			return err
		}
		udp, err := l.loop.ListenUDP(listener.Addr, datagramLoopShare, l.receiveDatagram, l.receiveOversized)
		if err == nil {
			l.listener, l.udp = listener, udp
			return nil
		}
		listener.Close()
		if addr.Port() != 0 || attempt == maxBindAttempts {
			return err
		}
	}
}

// advertisedAddr is the address at which other members reach this process.
func (l *Links) advertisedAddr() netip.AddrPort {
	if a := l.file.Advertise; a.IsValid() && !l.onFallbackPort {
		return a
	}
	return l.udp.Addr
}

// rebind switches to the configured address once its previous owner has ended. The old one is read for oldSocketTime.
func (l *Links) rebind() {
	udp, listener := l.udp, l.listener
	if l.sibling || l.bind(l.file.Listen) != nil {
		l.loop.At(l.loop.Now()+rebindInterval, l.rebind)
		return
	}
	l.onFallbackPort = false
	log.Printf("event=fleet_moved listen=%s", l.udp.Addr)
	l.machine.SetAddr(l.loop.Now(), l.advertisedAddr())
	l.flush()
	l.loop.At(l.loop.Now()+oldSocketTime, func() {
		udp.Close()
		listener.Close()
	})
}

// Leave announces to the fleet that this gateway takes no more work; Join reverses it.
func (l *Links) Leave() {
	l.machine.Leave(l.loop.Now())
	l.flush()
}

// Join returns to the fleet after Leave.
func (l *Links) Join() {
	l.machine.Join(l.loop.Now())
	l.flush()
}

// SetSibling sets whether a sibling process of this gateway is alive, as during an upgrade.
func (l *Links) SetSibling(alive bool) {
	if l.sibling != alive {
		l.sibling = alive
		l.machine.SetSibling(alive)
		if l.budgets != nil {
			l.budgets.setMembers(l.machine.View())
		}
		l.flush()
	}
}

// OnView sets a function that is called whenever the stable view has changed.
func (l *Links) OnView(callback func()) { l.onView = callback }

// Name returns the gateway's name.
func (l *Links) Name() string {
	own, _ := l.machine.Self()
	return own.Name
}

// Knows reports whether a gateway of that name is in the member list, live or not, or is this one.
func (l *Links) Knows(name string) bool {
	own, _ := l.machine.Self()
	return name == own.Name || slices.ContainsFunc(l.machine.Members(), func(e membership.Entry) bool { return e.Name == name })
}

// View returns the stable view, see [membership.View].
func (l *Links) View() membership.View { return l.machine.View() }

func (l *Links) tick() {
	l.machine.Tick(l.loop.Now())
	l.flush()
}

// flush carries out what the membership machine has decided and sets the timer for its next tick.
func (l *Links) flush() {
	out, changes := l.machine.Take()
	for i := range out {
		l.send(&out[i])
	}
	for _, change := range changes {
		l.recordChange(change)
	}
	if l.overrides != nil && len(changes) > 0 {
		l.overrides.setMembers()
	}
	if l.budgets != nil && (len(changes) > 0 || l.machine.View().Version != l.viewVersion) {
		l.budgets.setMembers(l.machine.View())
	}
	if view := l.machine.View(); view.Version != l.viewVersion {
		l.viewVersion = view.Version
		for _, p := range []*Positions{l.positions, l.primaries} {
			if p != nil {
				p.setMembers(view)
			}
		}
		if l.onView != nil {
			l.onView()
		}
		log.Printf("event=fleet_view version=%d members=%d digest=%016x", view.Version, len(view.Members), view.Digest)
	}
	l.timer.Stop()
	l.timer = l.loop.At(max(l.machine.Wake(), l.loop.Now()+time.Millisecond), l.tick)
}

// recordChange counts deaths and logs a membership change. Suspicions are frequent and logged at a limited rate.
func (l *Links) recordChange(change membership.Change) {
	e := change.Entry
	own, member := l.machine.Self()
	if e.State == membership.Dead && !change.New && change.Previous != membership.Dead && e.Name != own.Name {
		l.deaths++
		if l.onDeath != nil {
			l.onDeath(e.Name)
		}
	}
	switch {
	case e.DuplicateName && (e.Name == own.Name || change.Previous == e.State):
		log.Printf("event=fleet_twice name=%s addr=%s session=%x own=%t", e.Name, e.Addr, e.Session, e.Session == own.Session)
	case e.Name == own.Name && !member:
		log.Printf("event=fleet_superseded name=%s by=%s session=%x beside=%t", e.Name, e.Addr, e.Session, l.sibling)
	case e.Name == own.Name:
		log.Printf("event=fleet_resumed name=%s incarnation=%d", e.Name, e.Incarnation)
	case e.State == membership.Suspect:
		l.suspectLog.Printf(l.loop.Now(), "event=fleet_suspect name=%s by=%s", e.Name, e.SuspectedBy)
	case change.New || change.Previous != e.State && change.Previous != membership.Suspect || e.State != membership.Alive:
		l.memberLog.Printf(l.loop.Now(), "event=fleet_member name=%s state=%s addr=%s session=%x twice=%t",
			e.Name, e.State, e.Addr, e.Session, e.DuplicateName)
	}
}

// dialAddr returns the address at which this process reaches a member.
func (l *Links) dialAddr(msg *membership.Send) netip.AddrPort {
	if a, ok := l.file.Dial[msg.To]; ok && !msg.Direct {
		return a
	}
	return msg.Addr
}

// send sends a membership message, leaving out the updates that do not fit in a datagram.
func (l *Links) send(msg *membership.Send) {
	if msg.Stream {
		l.sendStream(msg)
		return
	}
	for {
		b, err := l.codec.encode(l.buf[:0], channelMembership, msg.Message)
		l.buf = b
		if n := len(msg.Message.Updates); err == nil && len(b) > maxDatagram && n > 0 {
			msg.Message.Updates = msg.Message.Updates[:n-1]
			continue
		}
		l.sendDatagram(l.dialAddr(msg), b, err)
		return
	}
}

// sendDatagram sends one datagram, or counts it as unsent if encoding or sending failed.
func (l *Links) sendDatagram(to netip.AddrPort, b []byte, err error) {
	if err != nil || !l.udp.Send(to, b) {
		l.counts.Unsent++
		return
	}
	l.counts.Sent++
	l.counts.SentBytes += uint64(len(b))
	l.traffic.countSent(b, 0)
}

// every calls task repeatedly, first after one interval.
func (l *Links) every(interval time.Duration, task func()) {
	l.loop.At(l.loop.Now()+interval, func() {
		task()
		l.every(interval, task)
	})
}

// sendTo sends a message of another protocol to a member, if it is alive.
func (l *Links) sendTo(to string, channel byte, body any) {
	addr, ok := l.machine.Addr(to)
	if !ok {
		l.counts.Unsent++
		return
	}
	b, err := l.codec.encode(l.buf[:0], channel, body)
	l.buf = b
	l.sendDatagram(l.dialAddr(&membership.Send{To: to, Addr: addr}), b, err)
}

// receiveDatagram limits the rate per sender and handles one datagram.
func (l *Links) receiveDatagram(from netip.AddrPort, b []byte) {
	l.counts.Received++
	l.counts.ReceivedBytes += uint64(len(b))
	now := l.loop.Now()
	window := l.senders[from]
	if window == nil || now-window.start >= time.Second {
		if window == nil && len(l.senders) >= maxSenders {
			clear(l.senders)
		}
		window = &rateWindow{start: now}
		l.senders[from] = window
	}
	if window.count++; window.count > maxDatagramsPerSecond {
		l.counts.RateLimited++
		l.invalidLog.Printf(now, "event=fleet_bad from=%s err=%q", from, "too many datagrams per second")
		return
	}
	l.receiveEnvelope(from, b, 0, 0)
}

func (l *Links) receiveOversized(from netip.AddrPort) {
	l.counts.Oversized++
	l.invalidLog.Printf(l.loop.Now(), "event=fleet_bad from=%s err=%q", from, "datagram too large")
}

// receiveEnvelope decodes an envelope and dispatches its body; prefix is the number of bytes that came before it. It returns
// false if the envelope was dropped.
func (l *Links) receiveEnvelope(from netip.AddrPort, b []byte, prefix int, streamID uint64) bool {
	channel, body, err := l.codec.decode(b)
	if err == nil {
		l.traffic.countReceived(channel, prefix+len(b))
	}
	switch {
	case err != nil:
	case channel == channelMembership:
		var msg membership.Message
		if msg, err = l.codec.decodeMembership(body); err == nil {
			l.machine.Receive(l.loop.Now(), msg, streamID)
			l.flush()
		}
	case channel == channelBudget && l.budgets != nil:
		err = l.budgets.receive(body)
	case channel == channelVersions && l.versions != nil:
		err = l.versions.receive(body)
	case channel == channelOverrides:
		err = l.overrides.receive(body)
	case channel == channelPositions && l.positions != nil:
		err = l.positions.receiveGossip(body)
	case channel == channelPrimaries && l.primaries != nil:
		err = l.primaries.receiveGossip(body)
	case channel == channelReconcilePositions && l.positions != nil:
		err = l.positions.receiveReconcile(body)
	case channel == channelReconcilePrimaries && l.primaries != nil:
		err = l.primaries.receiveReconcile(body)
	case channel == channelReconcilePositions || channel == channelReconcilePrimaries:
		err = errNoBudget
	default:
		err = errVersion
	}
	if err != nil {
		l.countDropped(from, err)
	}
	return err == nil
}

// countDropped counts and logs a message that was dropped.
func (l *Links) countDropped(from netip.AddrPort, err error) {
	count := &l.counts.Malformed
	switch {
	case errors.Is(err, errGarbage):
		count = &l.counts.Garbage
	case errors.Is(err, errVersion):
		count = &l.counts.UnknownVersion
	case errors.Is(err, errForeign):
		count = &l.counts.Foreign
	case errors.Is(err, errCorrupt):
		count = &l.counts.Corrupt
	}
	*count++
	l.invalidLog.Printf(l.loop.Now(), "event=fleet_bad from=%s err=%q", from, err)
}

// stream is one exchange over a connection: a frame in each direction, each preceded by its length.
type stream struct {
	links   *Links
	conn    *netloop.Conn
	id      uint64 // of an inbound stream; 0: outbound
	request []byte // sent when the connection is up
	timer   *netloop.Timer
}

// sendStream sends a message on a new connection, or as the response on an inbound stream.
func (l *Links) sendStream(msg *membership.Send) {
	b, err := l.codec.encode(make([]byte, lengthPrefixSize), channelMembership, msg.Message)
	if err != nil || len(b) > maxFrame {
		l.counts.ExchangesFailed++
		return
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthPrefixSize))
	if msg.Via != 0 {
		if st := l.inbound[msg.Via]; st != nil {
			l.counts.SentBytes += uint64(len(b))
			l.traffic.countSent(b[lengthPrefixSize:], lengthPrefixSize)
			st.conn.Write(b)
			st.finish()
		}
		return
	}
	if l.outboundCount >= maxStreams {
		l.counts.ExchangesFailed++
		return
	}
	st := &stream{links: l, request: b}
	if st.conn, err = l.loop.Dial(l.dialAddr(msg), st, maxFrame); err != nil {
		l.counts.ExchangesFailed++
		return
	}
	l.outboundCount++
	l.counts.Exchanges++
	st.timer = l.loop.At(l.loop.Now()+streamTimeout, st.fail)
}

func (l *Links) accept(conn *netloop.Conn) {
	l.lastStreamID++
	st := &stream{links: l, conn: conn, id: l.lastStreamID}
	conn.SetHandler(st, maxFrame)
	l.inbound[st.id] = st
	l.inboundOrder = append(l.inboundOrder, st)
	st.timer = l.loop.At(l.loop.Now()+streamTimeout, st.fail)
}

// closeOldestStream frees a descriptor by closing the oldest inbound stream; it returns false if there is none.
func (l *Links) closeOldestStream() bool {
	if len(l.inboundOrder) == 0 {
		return false
	}
	l.inboundOrder[0].fail()
	return true
}

// Connected sends the request for which the connection was opened.
func (st *stream) Connected() {
	st.links.counts.SentBytes += uint64(len(st.request))
	st.links.traffic.countSent(st.request[lengthPrefixSize:], lengthPrefixSize)
	st.conn.Write(st.request)
	st.request = nil
}

// Received handles a frame once it is complete.
func (st *stream) Received() {
	in := st.conn.Input()
	if len(in) < lengthPrefixSize {
		return
	}
	n := int(binary.BigEndian.Uint32(in))
	if n > maxFrame-lengthPrefixSize {
		st.links.countDropped(netip.AddrPort{}, errGarbage)
		st.fail()
		return
	}
	if len(in) < lengthPrefixSize+n {
		return
	}
	frame := in[lengthPrefixSize : lengthPrefixSize+n]
	st.links.counts.ReceivedBytes += uint64(len(in))
	ok := st.links.receiveEnvelope(netip.AddrPort{}, frame, lengthPrefixSize, st.id)
	switch {
	case st.conn.Closed():
	case st.id == 0 || !ok:
		st.close() // the response has come, or the frame was dropped
	default:
		st.conn.Consume(lengthPrefixSize + n)
	}
}

// Ended is called when the other side has closed the connection, after its response or before.
func (st *stream) Ended(error) {
	st.links.counts.ExchangesFailed++
	st.unregister()
}

func (st *stream) fail() {
	st.links.counts.ExchangesFailed++
	st.close()
}

func (st *stream) close() {
	st.conn.Close()
	st.unregister()
}

// finish closes the connection after the written data has been sent.
func (st *stream) finish() {
	st.conn.Finish(st.links.loop.Now() + streamTimeout)
	st.unregister()
}

// unregister removes the stream from the links' bookkeeping.
func (st *stream) unregister() {
	st.timer.Stop()
	if st.id == 0 {
		st.links.outboundCount--
		return
	}
	delete(st.links.inbound, st.id)
	for i, open := range st.links.inboundOrder {
		if open == st {
			st.links.inboundOrder = append(st.links.inboundOrder[:i], st.links.inboundOrder[i+1:]...)
			break
		}
	}
}
