package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
	"lilaccove/internal/standin"
)

// blob is a value of n bytes in which no two places look alike for long.
func blob(n int) string {
	b := make([]byte, n)
	x := uint32(n)
	for i := range b {
		x = x*1664525 + 1013904223
		b[i] = byte(x >> 24)
	}
	return string(b)
}

// Values of any size come whole, on one connection, one after the other, with small ones between.
func TestLargeValues(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	c := s.client()
	sizes := []int{pgwire.MaxBufferedValue - 1, pgwire.MaxBufferedValue, pgwire.MaxBufferedValue + 1, pgwire.MaxBufferedValue + 5, 500 << 10, 1, 4 << 20, 1 << 20}
	for i, n := range sizes {
		value := blob(n)
		s.p.will(func(d *database, c net.Conn, _ string) { d.Answer(c, value) })
		got := c.ask(stmt("write", 2900, ""))
		assert.True(t, got.value == value, "a value of %d bytes", n)
		assert.Equal(t, 1, got.rows)
		s.eventually("it is counted", func() bool { return s.figure("passed.write") == i+1 })
	}
	assert.Equal(t, len(sizes), len(s.p.Statements()), "each is asked for once")
	assert.Zero(t, s.figure("in_progress"))
}

// The first bytes of a large value do not wait for the last. Once they have gone the deadline has been kept: the
// rest may come later.
func TestFirstBytesGoOnAtOnce(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	value, rest := blob(1<<20), make(chan struct{})
	s.p.will(func(_ *database, c net.Conn, _ string) {
		text := standin.Row(value, "")
		_, _ = io.WriteString(c, string(text[:200<<10]))
		<-rest
		for text = text[200<<10:]; len(text) > 0; text = text[min(len(text), 7001):] {
			_, _ = c.Write(text[:min(len(text), 7001)])
		}
	})
	c := s.client()
	asked := time.Now()
	c.write(query(stmt("write", 300, "")))
	head, err := c.in.Peek(4000)
	require.NoError(t, err)
	assert.Equal(t, byte('T'), head[0])
	assert.Equal(t, 1, s.figure("in_progress"), "it has not ended")
	s.eventually("its time is over", func() bool { return time.Since(asked) > 350*time.Millisecond })
	close(rest)
	assert.True(t, c.read().value == value)
	assert.NotContains(t, s.logged(), "overdue")
}

// A value that breaks off, or goes wrong behind its row, ends the connection so that the client can tell, is counted
// as failed and is not asked for again; the other clients notice nothing.
func TestLargeValueBreaksOff(t *testing.T) {
	t.Parallel()
	value := blob(300 << 10)
	whole := string(standin.Row(value, ""))
	for name, says := range map[string]string{
		"an end in the row":       whole[:200<<10],
		"an end behind the row":   whole[:len(whole)-6-14],
		"noise behind the row":    whole[:len(whole)-6-14] + "noise",
		"a row behind the row":    whole[:len(whole)-6-14] + whole[30:],
		"an error behind the row": whole[:len(whole)-6-14] + string(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", "XX000", "no", ""))),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, managed)
			s.p.will(func(_ *database, c net.Conn, _ string) {
				_, _ = io.WriteString(c, says)
				c.Close()
			})
			c, other := s.client(), s.client()
			c.write(query(stmt("write", 2000, "")))
			got, err := io.ReadAll(c.in)
			require.NoError(t, err, "it ends, in order")
			assert.True(t, strings.HasPrefix(whole, string(got)), "nothing but what the database gave")
			assert.NotEqual(t, byte('Z'), got[len(got)-6], "and not as a whole answer")
			assert.Equal(t, 1, s.figure("bad_gateway.write"))
			assert.Zero(t, s.figure("in_progress"))
			s.p.will(nil)
			assert.Equal(t, "p", other.ask(stmt("write", 2000, "")).value)
			assert.Equal(t, 2, len(s.p.Statements()))
		})
	}
}

// A client that does not read holds up its database connection, not the gateway: the database stops writing, others
// are served, and all of it comes when the client reads on.
func TestSlowReaderHoldsUpOnlyItsValue(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	value := blob(pgwire.MaxServerMessage - 100)
	var given atomic.Int64
	s.p.will(func(_ *database, c net.Conn, _ string) {
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		for text := standin.Row(value, ""); len(text) > 0; text = text[min(len(text), 64<<10):] {
			n, _ := c.Write(text[:min(len(text), 64<<10)])
			given.Add(int64(n))
		}
	})
	c := s.client()
	require.NoError(t, c.c.(*net.TCPConn).SetReadBuffer(64<<10))
	c.write(query(stmt("write", 2000, "")))
	_, err := c.in.Peek(1)
	require.NoError(t, err)
	others := s.client()
	s.meet(others)
	last := int64(-1)
	s.eventually("the database is held up", func() bool {
		for range 20 {
			assert.NotEmpty(t, others.ask(stmt("own", 2000, "")).value)
		}
		now := given.Load()
		stopped := now == last
		last = now
		return stopped
	})
	assert.Less(t, last, int64(len(value)), "it could not give all")
	assert.Equal(t, 1, s.figure("in_progress"))
	assert.True(t, c.read().value == value)
	s.eventually("it is counted", func() bool { return s.figure("passed.write") == 1 })
}

// Large values that were asked for ahead come in the order of the commands, whatever the order of the answers.
func TestLargeValuesInOrder(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	first, second := blob(1<<20), blob(900<<10)
	release := make(chan struct{})
	s.p.will(func(d *database, c net.Conn, text string) {
		if strings.Contains(text, ",n=1") {
			<-release
			d.Answer(c, first)
		} else {
			d.Answer(c, second)
		}
	})
	c := s.client()
	c.write(query(stmt("write", 2000, ",n=1")) + query(stmt("write", 2000, ",n=2")) + query(stmt("write", 2000, ",n=3")))
	s.eventually("all are under way", func() bool { return len(s.p.Statements()) == 3 })
	close(release)
	assert.True(t, c.read().value == first)
	assert.True(t, c.read().value == second)
	assert.True(t, c.read().value == second)
}

// A client that leaves in the middle of a value frees the database's connection.
func TestClientLeavesInTheMiddle(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	gone := make(chan struct{})
	s.p.will(func(_ *database, c net.Conn, _ string) {
		for text := standin.Row(blob(1<<20), ""); ; {
			if _, err := c.Write(text[:200<<10]); err != nil {
				close(gone)
				return
			}
		}
	})
	c := s.client()
	c.write(query(stmt("write", 2000, "")))
	_, err := c.in.Peek(1)
	require.NoError(t, err)
	c.c.Close()
	select {
	case <-gone:
	case <-time.After(patience):
		t.Error("the attempt goes on")
	}
	s.eventually("nothing is in progress", func() bool { return s.figure("in_progress") == 0 })
	assert.Zero(t, s.figure("passed.write"))
}

// large is a write of n bytes of value; it begins with its head comment.
func large(n int) string {
	return strings.Replace(stmt("write", 2900, ""), `\x9f03`, `\x`+strings.Repeat("9f", n), 1)
}

// Statements of any size come to the database byte for byte but for d, wherever the network cuts them, and small
// ones go on before and behind them.
func TestLargeStatements(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	c := s.client()
	d := regexp.MustCompile(`,d=(\d+),`)
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, n := range []int{pgwire.MaxBufferedValue, pgwire.MaxBufferedMessage / 2, pgwire.MaxBufferedMessage/2 + 1000, 500 << 10, 4 << 20} {
		text := large(n)
		before, message := len(s.p.Statements()), query(text)+query(stmt("write", 2900, ""))
		for len(message) > 0 {
			cut := min(len(message), 1+rnd.IntN(1<<rnd.IntN(20)))
			c.write(message[:cut])
			message = message[cut:]
		}
		assert.Equal(t, "p", c.read().value, "%d bytes", n)
		assert.Equal(t, "p", c.read().value, "the one behind it")
		seen := s.p.Statements()
		require.Equal(t, before+2, len(seen))
		got, _ := largest(seen[before:])
		assert.True(t, d.ReplaceAllString(got, ",d=,") == d.ReplaceAllString(text, ",d=,"), "%d bytes are not what was sent", n)
	}
	assert.Equal(t, 10, s.figure("upstream_tries.write"))
}

func largest(list []string) (text string, at int) {
	for i, s := range list {
		if len(s) > len(text) {
			text, at = s, i
		}
	}
	return text, at
}

// What cannot be read in a large statement is an error, whether it shows at its head or at its end, and the connection
// goes on where its end is known.
func TestBadLargeStatements(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	text := large(200 << 10)
	for name, bad := range map[string]string{
		"no head": "SELECT '" + strings.Repeat("x", 300<<10) + "'", "unknown class": strings.Replace(text, "c=write", "c=other", 1),
		"a zero in the middle": text[:200<<10] + "\x00" + text[200<<10:],
	} {
		c := s.client()
		got := c.ask(bad)
		assert.Equal(t, "08P01", got.code, name)
		assert.Equal(t, "p", c.ask(text).value, name)
		text = large(200 << 10)
	}
	c := s.client()
	c.write("Q\x02\x00\x00\x00") // 32 MiB
	assert.Equal(t, "08P01", c.read().code)
	assert.Empty(t, s.a.Statements())
}

// An attempt that breaks before the whole statement is written has never run: it is sent again, from the bytes that
// are held. Behind the last byte it may have run, and is not.
func TestLargeStatementThatBreaksOff(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	s := newSite(t, managed)
	// A primary that resets the first connection in the midst of the statement.
	go func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				if i > 0 {
					s.p.Serve(c)
					return
				}
				_, _ = c.Read(make([]byte, 1024))
				_, _ = c.Write(pgwire.AppendStartupReply(nil, 0))
				_, _ = io.CopyN(io.Discard, c, 64<<10)
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}()
		}
	}()
	s.p.AnnounceAddr(ln.Addr().String())
	s.eventually("it has moved", func() bool {
		c := s.client()
		got := c.ask(large(4 << 20))
		return got.value == "p" && s.figure("upstream_tries.write") > 0
	})
	assert.Equal(t, s.figure("upstream_tries.write"), len(s.p.Statements()), "the one that broke off is not counted as written")
	assert.Zero(t, s.figure("bad_gateway.write"))
}

// Many large statements at once stay within the memory they may have: some wait for the others, those for which it takes
// too long are refused, and the gateway's memory is bounded by its limit all the while.
func TestLargeStatementsShareMemory(t *testing.T) {
	t.Parallel()
	s := newSite(t, func(s *site) { s.managed, s.memory = true, 64 })
	text := query(large(2 << 20))
	var held []*client
	for range 2 { // both take room and do not end
		c := s.client()
		c.write(text[:len(text)-1])
		held = append(held, c)
	}
	waits := s.client()
	waits.write(query(large(4 << 20))[:100<<10])
	for _, c := range held {
		c.write("\x00")
		assert.Equal(t, "p", c.read().value)
	}
	var all []*client
	for range 24 {
		c := s.client()
		go func() { _, _ = io.WriteString(c.c, query(large(2<<20))) }()
		all = append(all, c)
	}
	served := 0
	for _, c := range all {
		got := c.read()
		if got.value == "p" {
			served++
		} else {
			assert.Equal(t, "53300", got.code, "a refusal, not a cut: %+v", got)
		}
	}
	assert.Positive(t, served)
	text2, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.Pid()))
	require.NoError(t, err)
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(text2)
	peak, _ := strconv.Atoi(string(m[1]))
	t.Logf("served %d of 24, peak %d KiB", served, peak)
	assert.Less(t, peak, 64<<10+racePart)
	waits.c.Close()
	assert.Equal(t, "p", s.client().ask(large(4<<20)).value, "the room is given back")
}

// A client that is let go for want of memory in the midst of a large statement gives back at once what that held: nobody else
// has to go.
func TestLargeStatementLetGoForMemoryGivesItBack(t *testing.T) {
	t.Parallel()
	s := newSite(t, func(s *site) { s.managed, s.memory, s.sockets = true, 64, 1024 }) // buffers hold a quarter of the memory
	text := query(large(4 << 20))
	half := s.client()
	half.write(text[:len(text)*9/10])
	packet := query(strings.Replace(stmt("own", 3000, ""), "SELECT", strings.Repeat(" ", 60_000)+"SELECT", 1))
	other := s.client()
	for range 100 { // rounds, in each of which some hundred kilobytes of the statement are read
		require.NotEmpty(t, other.ask(stmt("own", 3000, "")).value)
	}
	other.write(packet[:50_000])
	// Those who are owed an answer keep their buffers, so that one of the two has to go.
	release := s.p.waits()
	owed := func() {
		c := s.client()
		c.write(query(stmt("write", 3000, "")) + packet[:50_000])
		assert.True(t, s.client().ask("").empty, "it has been read meanwhile")
	}
	s.eventually("memory runs short", func() bool {
		owed()
		return s.figure("closed.memory") > 0
	})
	for range 10 {
		owed()
	}
	close(release)
	assert.Equal(t, 1, s.figure("closed.memory"))
	_, err := io.WriteString(other.c, packet[50_000:])
	require.NoError(t, err)
	got := other.read()
	assert.NotEmpty(t, got.value, "%+v", got)
}
