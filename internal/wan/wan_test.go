package wan

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// socket is the UDP socket of a gateway.
type socket struct {
	t *testing.T
	*net.UDPConn
}

func openRelay(t *testing.T, zones int, of []int, seed uint64) (*Relay, []socket) {
	r, err := Open(zones, of, seed)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	var list []socket
	for g := range of {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.ListenAddr(g)))
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_ = c.SetReadBuffer(4 << 20)
		list = append(list, socket{t, c})
	}
	return r, list
}

func (s socket) send(to netip.AddrPort, text string) {
	_, err := s.WriteToUDPAddrPort([]byte(text), to)
	require.NoError(s.t, err)
}

// receive returns the next datagram and its source, or an empty text after the timeout.
func (s socket) receive(timeout time.Duration) (string, netip.AddrPort) {
	var b [maxDatagram]byte
	_ = s.SetReadDeadline(time.Now().Add(timeout))
	n, from, err := s.ReadFromUDPAddrPort(b[:])
	if err != nil {
		return "", netip.AddrPort{}
	}
	return string(b[:n]), from
}

const (
	receiveTimeout = 5 * time.Second // generous, for a busy machine
	silenceTime    = 150 * time.Millisecond
)

func TestScaleRelayKeepsTheSenderAddress(t *testing.T) {
	r, s := openRelay(t, 2, []int{0, 0, 1}, 1)
	for round := range 3 {
		for g := range 2 {
			s[g].send(r.DialAddr(0, 2), fmt.Sprint(g, round))
			text, from := s[2].receive(receiveTimeout)
			assert.Equal(t, fmt.Sprint(g, round), text)
			assert.Equal(t, r.ListenAddr(g).Addr(), from.Addr(), "the source address is the sender's")
		}
	}
	s[0].send(r.AdvertiseAddr(2), "any")
	text, from := s[2].receive(receiveTimeout)
	assert.Equal(t, "any", text)
	assert.Equal(t, r.ListenAddr(0).Addr(), from.Addr())
	// Datagrams to the address for another zone, and those from no gateway, are not forwarded.
	s[0].send(r.DialAddr(1, 2), "wrong zone")
	c, err := net.Dial("udp4", r.DialAddr(0, 2).String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("stranger"))
	require.NoError(t, err)
	text, _ = s[2].receive(silenceTime)
	assert.Empty(t, text)
	assert.Equal(t, uint64(2), r.Counts().Foreign)
	assert.Equal(t, uint64(7), r.Counts().Passed)
}

// Each ordered pair of zones has its own delay, which does not apply in the other direction or to other pairs.
func TestScaleRelayDelays(t *testing.T) {
	r, s := openRelay(t, 2, []int{0, 1, 0}, 1)
	const delay, jitter = 200 * time.Millisecond, 50 * time.Millisecond
	r.SetLink(0, 1, Link{Delay: delay})
	start := time.Now()
	for i := range 50 {
		s[0].send(r.DialAddr(0, 1), fmt.Sprint(i))
	}
	s[1].send(r.DialAddr(1, 0), "back")
	s[0].send(r.DialAddr(0, 2), "beside")
	text, _ := s[0].receive(receiveTimeout)
	assert.Equal(t, "back", text)
	text, _ = s[2].receive(receiveTimeout)
	assert.Equal(t, "beside", text)
	assert.Less(t, time.Since(start), delay, "neither waits for the slow pair")
	for i := range 50 {
		text, _ = s[1].receive(receiveTimeout)
		require.Equal(t, fmt.Sprint(i), text, "equal delays keep the order")
		require.GreaterOrEqual(t, time.Since(start), delay)
	}
	r.SetLink(0, 1, Link{Delay: delay, Jitter: jitter})
	start = time.Now()
	for i := range 200 {
		s[0].send(r.DialAddr(0, 1), fmt.Sprint(i))
	}
	sent, order, last := time.Now(), true, -1
	for range 200 {
		text, _ = s[1].receive(receiveTimeout)
		var i int
		_, err := fmt.Sscan(text, &i)
		require.NoError(t, err)
		order, last = order && i > last, i
		require.GreaterOrEqual(t, time.Since(start), delay)
	}
	assert.False(t, order, "each datagram has its own jitter")
	lateness := r.Lateness(Lateness{})
	assert.Equal(t, uint64(252), lateness.Count)
	assert.Less(t, time.Since(sent), delay+jitter+lateness.Max+receiveTimeout/10, "no datagram takes longer than delay, jitter and the reported lateness")
}

// exchange sends n numbers in each direction over a lossy link, and returns those received and the number of lost ones.
func exchange(t *testing.T, seed uint64, n int) (forward, backward []uint32, lost uint64) {
	r, s := openRelay(t, 2, []int{0, 1}, seed)
	r.SetLink(0, 1, Link{Loss: 0.3})
	var b [4]byte
	// receiveAll reads until all datagrams sent so far were counted and the forwarded ones received, or the timeout.
	receiveAll := func(s socket, sent, before uint64) (got []uint32) {
		for deadline := time.Now().Add(receiveTimeout); ; {
			c := r.Counts()
			if c.Passed+c.Lost+c.Overflowed >= sent && c.Passed-before == uint64(len(got)) || time.Now().After(deadline) {
				return got
			}
			if text, _ := s.receive(silenceTime); text != "" {
				got = append(got, binary.BigEndian.Uint32([]byte(text)))
			}
		}
	}
	for i := range n {
		binary.BigEndian.PutUint32(b[:], uint32(i))
		s[0].send(r.DialAddr(0, 1), string(b[:]))
	}
	forward = receiveAll(s[1], uint64(n), 0)
	for i := range n {
		binary.BigEndian.PutUint32(b[:], uint32(i))
		s[1].send(r.DialAddr(1, 0), string(b[:]))
	}
	backward = receiveAll(s[0], uint64(2*n), uint64(len(forward)))
	assert.Zero(t, r.Counts().Overflowed)
	return forward, backward, r.Counts().Lost
}

func TestScaleRelayLosesByItsSeed(t *testing.T) {
	const n = 1000
	forward, back, lost := exchange(t, 7, n)
	assert.Len(t, back, n, "the other direction loses nothing")
	assert.Equal(t, n-len(forward), int(lost))
	assert.InDelta(t, 0.3*n, float64(lost), 0.06*n) // four standard deviations
	again, _, _ := exchange(t, 7, n)
	assert.Equal(t, forward, again)
	other, _, _ := exchange(t, 8, n)
	assert.NotEqual(t, forward, other)
}

func TestScaleRelayCuts(t *testing.T) {
	r, s := openRelay(t, 3, []int{0, 1, 2}, 1)
	r.SetLink(0, 1, Link{Delay: time.Millisecond})
	r.SetCut(0, 1, true)
	s[0].send(r.DialAddr(0, 1), "lost")
	s[1].send(r.DialAddr(1, 0), "back")
	s[0].send(r.DialAddr(0, 2), "beside")
	text, _ := s[0].receive(receiveTimeout)
	assert.Equal(t, "back", text)
	text, _ = s[2].receive(receiveTimeout)
	assert.Equal(t, "beside", text)
	text, _ = s[1].receive(silenceTime)
	assert.Empty(t, text)
	r.SetCut(0, 1, false)
	s[0].send(r.DialAddr(0, 1), "healed")
	text, _ = s[1].receive(receiveTimeout)
	assert.Equal(t, "healed", text, "datagrams sent during the cut are not delivered after it")
	assert.Equal(t, time.Millisecond, r.Link(0, 1).Delay)
	assert.Equal(t, uint64(1), r.Counts().Cut)
}

// A connection has the delays of both directions, stalls while its link is cut, and continues without losing data.
func TestScaleRelayStreams(t *testing.T) {
	r, _ := openRelay(t, 2, []int{0, 1}, 1)
	const forward, backward = 100 * time.Millisecond, 50 * time.Millisecond
	r.SetLink(0, 1, Link{Delay: forward})
	r.SetLink(1, 0, Link{Delay: backward})
	ln, err := net.Listen("tcp4", r.ListenAddr(1).String())
	require.NoError(t, err)
	defer ln.Close()
	start := time.Now()
	dialer, err := net.Dial("tcp4", r.DialAddr(0, 1).String())
	require.NoError(t, err)
	defer dialer.Close()
	_, err = dialer.Write([]byte("hello"))
	require.NoError(t, err)
	accepted, err := ln.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	b := make([]byte, 5)
	_, err = io.ReadFull(accepted, b)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(b))
	assert.GreaterOrEqual(t, time.Since(start), 2*forward+backward, "a round trip to open it, and the delay of the data")
	start = time.Now()
	_, err = accepted.Write([]byte("world"))
	require.NoError(t, err)
	_, err = io.ReadFull(dialer, b)
	require.NoError(t, err)
	assert.Equal(t, "world", string(b))
	assert.GreaterOrEqual(t, time.Since(start), backward)

	r.SetCut(0, 1, true)
	_, err = dialer.Write([]byte("still"))
	require.NoError(t, err)
	require.NoError(t, accepted.SetReadDeadline(time.Now().Add(forward+silenceTime)))
	_, err = io.ReadFull(accepted, b)
	assert.Error(t, err, "cut")
	r.SetCut(0, 1, false)
	require.NoError(t, accepted.SetReadDeadline(time.Now().Add(receiveTimeout)))
	_, err = io.ReadFull(accepted, b)
	require.NoError(t, err)
	assert.Equal(t, "still", string(b))
	require.NoError(t, dialer.(*net.TCPConn).CloseWrite())
	_, err = io.ReadFull(accepted, b[:1])
	assert.Equal(t, io.EOF, err, "the end of the connection is forwarded")
}

func TestScaleRelayRefusesInvalidZones(t *testing.T) {
	for _, of := range [][]int{{0, 2}, {-1}} {
		_, err := Open(2, of, 1)
		assert.ErrorContains(t, err, "is in zone")
	}
	_, err := Open(0, nil, 1)
	assert.ErrorContains(t, err, "0 zones")
}

// BenchmarkScaleRelay forwards datagrams of 110 gateways between eleven zones with a delay of 60 ms each way.
func BenchmarkScaleRelay(b *testing.B) {
	of := make([]int, 110)
	for g := range of {
		of[g] = g % 11
	}
	r, err := Open(11, of, 1)
	require.NoError(b, err)
	defer r.Close()
	for i := range 11 * 11 {
		r.SetLink(i/11, i%11, Link{Delay: 60 * time.Millisecond})
	}
	var list []*net.UDPConn
	for g := range of {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.ListenAddr(g)))
		require.NoError(b, err)
		defer c.Close()
		go func() {
			var buf [maxDatagram]byte
			for {
				if _, _, err := c.ReadFromUDPAddrPort(buf[:]); err != nil {
					return
				}
			}
		}()
		list = append(list, c)
	}
	text := make([]byte, 500)
	const rate = 60_000
	b.ResetTimer()
	start := time.Now()
	for i := range b.N {
		if i%600 == 0 {
			time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / rate)))
		}
		_, _ = list[i%110].WriteToUDPAddrPort(text, r.DialAddr(i%11, (i*7+i/110)%110))
	}
	time.Sleep(100 * time.Millisecond)
	lateness, counts := r.Lateness(Lateness{}), r.Counts()
	b.ReportMetric(float64(lateness.P99.Microseconds()), "p99-late-us")
	b.ReportMetric(float64(lateness.Max.Microseconds()), "most-late-us")
	b.ReportMetric(float64(counts.Overflowed), "dropped")
	b.ReportMetric(float64(counts.Passed), "passed")
}
