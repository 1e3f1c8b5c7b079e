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
	datagram     = 1200                   // what is sent at most in one; news are left out where they do not fit
	share        = 0.1                    // of the loop's time, for datagrams
	perSecond    = 500                    // datagrams of one sender
	sendersMost  = 8192                   // whose rates are kept
	streamsMost  = 16                     // in each direction
	streamTime   = 2 * time.Second        // an exchange is over by then
	moveEvery    = 500 * time.Millisecond // see Links.move
	oldSocket    = 5 * time.Second        // how long the address before a move is still read
	bindAttempts = 8
	membersSaid  = 200 // changes of members logged in a second
)

// Counts are messages dropped, by cause, and what was sent and taken in.
type Counts struct {
	Garbage, UnknownVersion, Foreign, Corrupt, Malformed, Oversized, RateLimited uint64
	Received, Sent, ReceivedBytes, SentBytes, Unsent                             uint64
	Exchanges, ExchangesFailed                                                   uint64
}

// Links are a gateway's ties to the others of its fleet. Everything runs on the loop's goroutine.
type Links struct {
	loop      *netloop.Loop
	file      *fleet.File
	codec     *codec
	m         *membership.Machine
	udp       *netloop.Packets
	ln        *netloop.Listener
	timer     *netloop.Timer
	beside    bool
	moved     bool // bound elsewhere than told, as the address was taken
	via       uint64
	in        map[uint64]*stream
	order     []*stream // of those that others opened, oldest first
	out       int
	buf       []byte
	counts    Counts
	traffic   traffic
	senders   map[netip.AddrPort]*rate
	bad       netloop.Sparse
	news      netloop.Sparse
	members   netloop.Sparse // a fleet that starts is told whole, one that is told nonsense is not
	version   uint64         // of the view that was logged
	budgets   *Budgets
	versions  *versions // nil: they are not told
	words     *words
	seen      func()         // the view has changed
	positions *Positions     // nil: they are not shared
	primaries *Positions     // likewise
	spans     *AuditRecorder // nil: they are not kept
	fence     *audit.Fence   // nil: this process never shuts itself out
	fenced    bool           // as was told
	onFence   func(out bool)
	deaths    uint64
	died      func(name string)
}

// rate bounds what one sender may have read.
type rate struct {
	from time.Duration
	n    int
}

// New joins a fleet. The name and the zone are the gateway's; start is the moment at which the process began.
func New(loop *netloop.Loop, name, zone string, file *fleet.File, start time.Duration) (*Links, error) {
	if !fleet.ValidName(name) {
		return nil, fmt.Errorf("fleet: a gateway named %q cannot be a member; letters, digits, dots, dashes and underscores, 64 at most", name)
	}
	c, err := newCodec(file.Fleet)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l := &Links{loop: loop, file: file, codec: c, in: map[uint64]*stream{}, senders: map[netip.AddrPort]*rate{}, members: netloop.Sparse{Most: membersSaid}}
	err = l.bind(file.Listen)
	if errors.Is(err, unix.EADDRINUSE) {
		// The process before this one, during an upgrade; or a fault, of which the fleet will tell.
		log.Printf("event=fleet_address_taken listen=%s", file.Listen)
		l.moved = true
		err = l.bind(netip.AddrPortFrom(file.Listen.Addr(), 0))
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	cfg := membership.Config{
		Name: name, Addr: l.told(), Start: start, Session: rand.Uint64() | 1, Seed: rand.Uint64(), Seeds: file.Seeds, Zone: zone,
		ProbePeriod: file.ProbePeriod, StableAfter: file.StableAfter, MaxMembers: file.MaxMembers,
	}
	l.m = membership.New(cfg, loop.Now())
	log.Printf("event=fleet_started fleet=%s name=%s listen=%s advertise=%s seeds=%d", file.Fleet, name, l.udp.Addr, cfg.Addr, len(file.Seeds))
	if l.moved {
		loop.At(loop.Now()+moveEvery, l.move)
	}
	l.words = l.newWords()
	if file.FenceAfter > 0 {
		l.fence = audit.NewFence(file.FenceAfter)
	}
	if l.budgets, err = l.divide(name); err != nil {
		return nil, err
	}
	l.after()
	return l, nil
}

// Budgets are this gateway's parts of the fleet's budgets; nil: none are divided.
func (l *Links) Budgets() *Budgets { return l.budgets }

// bind opens the two sockets, on one port.
func (l *Links) bind(addr netip.AddrPort) error {
	for attempt := 1; ; attempt++ {
		ln, err := l.loop.ListenReserved(addr, streamsMost, l.accept, l.makeRoom)
		if err != nil {
			return err
		}
		udp, err := l.loop.ListenPackets(ln.Addr, share, l.datagram, l.large)
		if err == nil {
			l.ln, l.udp = ln, udp
			return nil
		}
		ln.Close()
		if addr.Port() != 0 || attempt == bindAttempts {
			return err
		}
	}
}

// told is where others are told to look for this process.
func (l *Links) told() netip.AddrPort {
	if a := l.file.Advertise; a.IsValid() && !l.moved {
		return a
	}
	return l.udp.Addr
}

// move takes the address that was meant, once whoever had it has ended. The old one is read for a while.
func (l *Links) move() {
	udp, ln := l.udp, l.ln
	if l.beside || l.bind(l.file.Listen) != nil {
		l.loop.At(l.loop.Now()+moveEvery, l.move)
		return
	}
	l.moved = false
	log.Printf("event=fleet_moved listen=%s", l.udp.Addr)
	l.m.SetAddr(l.loop.Now(), l.told())
	l.after()
	l.loop.At(l.loop.Now()+oldSocket, func() {
		udp.Close()
		ln.Close()
	})
}

// Leave tells the fleet that this gateway takes no work any more; Join takes that back.
func (l *Links) Leave() {
	l.m.Leave(l.loop.Now())
	l.after()
}

// Join is the return after Leave.
func (l *Links) Join() {
	l.m.Join(l.loop.Now())
	l.after()
}

// SetSibling tells whether another process of this gateway lives as part of an upgrade.
func (l *Links) SetSibling(on bool) {
	if l.beside != on {
		l.beside = on
		l.m.SetSibling(on)
		if l.budgets != nil {
			l.budgets.stand(l.m.View())
		}
		l.after()
	}
}

// OnView has do called whenever the stable view has changed.
func (l *Links) OnView(do func()) { l.seen = do }

// Name is the gateway's.
func (l *Links) Name() string {
	own, _ := l.m.Self()
	return own.Name
}

// Knows tells whether a gateway of that name has been heard of, or is this one.
func (l *Links) Knows(name string) bool {
	own, _ := l.m.Self()
	return name == own.Name || slices.ContainsFunc(l.m.Members(), func(e membership.Entry) bool { return e.Name == name })
}

// View is the stable view, see membership.View.
func (l *Links) View() membership.View { return l.m.View() }

func (l *Links) tick() {
	l.m.Tick(l.loop.Now())
	l.after()
}

// after carries out what the machine wants done and waits for its next moment.
func (l *Links) after() {
	out, changes := l.m.Take()
	for i := range out {
		l.send(&out[i])
	}
	for _, c := range changes {
		l.tell(c)
	}
	if l.words != nil && len(changes) > 0 {
		l.words.stand()
	}
	if l.budgets != nil && (len(changes) > 0 || l.m.View().Version != l.version) {
		l.budgets.stand(l.m.View())
	}
	if v := l.m.View(); v.Version != l.version {
		l.version = v.Version
		for _, p := range []*Positions{l.positions, l.primaries} {
			if p != nil {
				p.stand(v)
			}
		}
		if l.seen != nil {
			l.seen()
		}
		log.Printf("event=fleet_view version=%d members=%d digest=%016x", v.Version, len(v.Members), v.Digest)
	}
	l.timer.Stop()
	l.timer = l.loop.At(max(l.m.Wake(), l.loop.Now()+time.Millisecond), l.tick)
}

// tell logs a change. Suspicions come and go and are told at a limited rate.
func (l *Links) tell(c membership.Change) {
	e := c.Entry
	own, member := l.m.Self()
	if e.State == membership.Dead && !c.New && c.Previous != membership.Dead && e.Name != own.Name {
		l.deaths++
		if l.died != nil {
			l.died(e.Name)
		}
	}
	switch {
	case e.DuplicateName && (e.Name == own.Name || c.Previous == e.State):
		log.Printf("event=fleet_twice name=%s addr=%s session=%x own=%t", e.Name, e.Addr, e.Session, e.Session == own.Session)
	case e.Name == own.Name && !member:
		log.Printf("event=fleet_superseded name=%s by=%s session=%x beside=%t", e.Name, e.Addr, e.Session, l.beside)
	case e.Name == own.Name:
		log.Printf("event=fleet_resumed name=%s incarnation=%d", e.Name, e.Incarnation)
	case e.State == membership.Suspect:
		l.news.Printf(l.loop.Now(), "event=fleet_suspect name=%s by=%s", e.Name, e.SuspectedBy)
	case c.New || c.Previous != e.State && c.Previous != membership.Suspect || e.State != membership.Alive:
		l.members.Printf(l.loop.Now(), "event=fleet_member name=%s state=%s addr=%s session=%x twice=%t", e.Name, e.State, e.Addr, e.Session, e.DuplicateName)
	}
}

// dial is where a member is found from here.
func (l *Links) dial(s *membership.Send) netip.AddrPort {
	if a, ok := l.file.Dial[s.To]; ok && !s.Direct {
		return a
	}
	return s.Addr
}

func (l *Links) send(s *membership.Send) {
	if s.Stream {
		l.exchange(s)
		return
	}
	for {
		b, err := l.codec.pack(l.buf[:0], channelMembership, s.Message)
		l.buf = b
		if n := len(s.Message.Updates); err == nil && len(b) > datagram && n > 0 {
			s.Message.Updates = s.Message.Updates[:n-1]
			continue
		}
		l.datagramTo(l.dial(s), b, err)
		return
	}
}

// datagramTo sends one datagram, if it could be packed.
func (l *Links) datagramTo(to netip.AddrPort, b []byte, err error) {
	if err != nil || !l.udp.Send(to, b) {
		l.counts.Unsent++
		return
	}
	l.counts.Sent++
	l.counts.SentBytes += uint64(len(b))
	l.traffic.out(b, 0)
}

// every has do called again and again.
func (l *Links) every(d time.Duration, do func()) {
	l.loop.At(l.loop.Now()+d, func() {
		do()
		l.every(d, do)
	})
}

// post sends a message of another channel to a member, if it lives.
func (l *Links) post(to string, channel byte, body any) {
	addr, ok := l.m.Addr(to)
	if !ok {
		l.counts.Unsent++
		return
	}
	b, err := l.codec.pack(l.buf[:0], channel, body)
	l.buf = b
	l.datagramTo(l.dial(&membership.Send{To: to, Addr: addr}), b, err)
}

// datagram takes one in.
func (l *Links) datagram(from netip.AddrPort, b []byte) {
	l.counts.Received++
	l.counts.ReceivedBytes += uint64(len(b))
	now := l.loop.Now()
	r := l.senders[from]
	if r == nil || now-r.from >= time.Second {
		if r == nil && len(l.senders) >= sendersMost {
			clear(l.senders)
		}
		r = &rate{from: now}
		l.senders[from] = r
	}
	if r.n++; r.n > perSecond {
		l.counts.RateLimited++
		l.bad.Printf(now, "event=fleet_bad from=%s err=%q", from, "too many datagrams in a second")
		return
	}
	l.take(from, b, 0, 0)
}

func (l *Links) large(from netip.AddrPort) {
	l.counts.Oversized++
	l.bad.Printf(l.loop.Now(), "event=fleet_bad from=%s err=%q", from, "a datagram that is too large")
}

// take opens an envelope, before which so many bytes came, and hands on what is in it; false: it was no good.
func (l *Links) take(from netip.AddrPort, b []byte, before int, via uint64) bool {
	channel, body, err := l.codec.open(b)
	if err == nil {
		l.traffic.in(channel, before+len(b))
	}
	switch {
	case err != nil:
	case channel == channelMembership:
		var msg membership.Message
		if msg, err = l.codec.membership(body); err == nil {
			l.m.Receive(l.loop.Now(), msg, via)
			l.after()
		}
	case channel == channelBudget && l.budgets != nil:
		err = l.budgets.receive(body)
	case channel == channelVersions && l.versions != nil:
		err = l.versions.receive(body)
	case channel == channelWords:
		err = l.words.receive(body)
	case channel == channelState && l.positions != nil:
		err = l.positions.rumour(body)
	case channel == channelPrimaries && l.primaries != nil:
		err = l.primaries.rumour(body)
	case channel == channelReconcilePositions && l.positions != nil:
		err = l.positions.reconcile(body)
	case channel == channelReconcilePrimaries && l.primaries != nil:
		err = l.primaries.reconcile(body)
	case channel == channelReconcilePositions || channel == channelReconcilePrimaries:
		err = errNoBudget
	default:
		err = errVersion
	}
	if err != nil {
		l.drop(from, err)
	}
	return err == nil
}

func (l *Links) drop(from netip.AddrPort, err error) {
	n := &l.counts.Malformed
	switch {
	case errors.Is(err, errGarbage):
		n = &l.counts.Garbage
	case errors.Is(err, errVersion):
		n = &l.counts.UnknownVersion
	case errors.Is(err, errForeign):
		n = &l.counts.Foreign
	case errors.Is(err, errSpoilt):
		n = &l.counts.Corrupt
	}
	*n++
	l.bad.Printf(l.loop.Now(), "event=fleet_bad from=%s err=%q", from, err)
}

// stream is one exchange over a connection: a frame each way, each behind its length.
type stream struct {
	l     *Links
	nc    *netloop.Conn
	via   uint64 // of those that others opened
	first []byte // to be sent when the connection is up
	timer *netloop.Timer
}

// exchange sends a whole list, on a connection of its own or as the answer on another's.
func (l *Links) exchange(s *membership.Send) {
	b, err := l.codec.pack(make([]byte, lengthSize), channelMembership, s.Message)
	if err != nil || len(b) > mostFrame {
		l.counts.ExchangesFailed++
		return
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthSize))
	if s.Via != 0 {
		if st := l.in[s.Via]; st != nil {
			l.counts.SentBytes += uint64(len(b))
			l.traffic.out(b[lengthSize:], lengthSize)
			st.nc.Write(b)
			st.finish()
		}
		return
	}
	if l.out >= streamsMost {
		l.counts.ExchangesFailed++
		return
	}
	st := &stream{l: l, first: b}
	if st.nc, err = l.loop.Dial(l.dial(s), st, mostFrame); err != nil {
		l.counts.ExchangesFailed++
		return
	}
	l.out++
	l.counts.Exchanges++
	st.timer = l.loop.At(l.loop.Now()+streamTime, st.fail)
}

func (l *Links) accept(nc *netloop.Conn) {
	l.via++
	st := &stream{l: l, nc: nc, via: l.via}
	nc.Handle(st, mostFrame)
	l.in[st.via] = st
	l.order = append(l.order, st)
	st.timer = l.loop.At(l.loop.Now()+streamTime, st.fail)
}

// makeRoom closes the connection that was opened first.
func (l *Links) makeRoom() bool {
	if len(l.order) == 0 {
		return false
	}
	l.order[0].fail()
	return true
}

// Connected sends what the connection was opened for.
func (st *stream) Connected() {
	st.l.counts.SentBytes += uint64(len(st.first))
	st.l.traffic.out(st.first[lengthSize:], lengthSize)
	st.nc.Write(st.first)
	st.first = nil
}

// Received takes a frame in once it is whole.
func (st *stream) Received() {
	in := st.nc.Input()
	if len(in) < lengthSize {
		return
	}
	n := int(binary.BigEndian.Uint32(in))
	if n > mostFrame-lengthSize {
		st.l.drop(netip.AddrPort{}, errGarbage)
		st.fail()
		return
	}
	if len(in) < lengthSize+n {
		return
	}
	frame := in[lengthSize : lengthSize+n]
	st.l.counts.ReceivedBytes += uint64(len(in))
	ok := st.l.take(netip.AddrPort{}, frame, lengthSize, st.via)
	switch {
	case st.nc.Closed():
	case st.via == 0 || !ok:
		st.close() // it was the answer
	default:
		st.nc.Consume(lengthSize + n)
	}
}

// Ended tells that the other side has closed it, after its answer or before.
func (st *stream) Ended(error) {
	st.l.counts.ExchangesFailed++
	st.forget()
}

func (st *stream) fail() {
	st.l.counts.ExchangesFailed++
	st.close()
}

func (st *stream) close() {
	st.nc.Close()
	st.forget()
}

// finish closes it behind what was written.
func (st *stream) finish() {
	st.nc.Finish(st.l.loop.Now() + streamTime)
	st.forget()
}

func (st *stream) forget() {
	st.timer.Stop()
	if st.via == 0 {
		st.l.out--
		return
	}
	delete(st.l.in, st.via)
	for i, o := range st.l.order {
		if o == st {
			st.l.order = append(st.l.order[:i], st.l.order[i+1:]...)
			break
		}
	}
}
