package main

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/pgwire"
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
	sizes := []int{pgwire.MostValue - 1, pgwire.MostValue, pgwire.MostValue + 1, pgwire.MostValue + 5, 500 << 10, 1, 4 << 20, 1 << 20}
	for i, n := range sizes {
		value := blob(n)
		s.p.will(func(d *database, c net.Conn, _ string) { d.answer(c, value) })
		got := c.ask(stmt("write", 2900, ""))
		assert.True(t, got.value == value, "a value of %d bytes", n)
		assert.Equal(t, 1, got.rows)
		s.eventually("it is counted", func() bool { return s.figure("passed.write") == i+1 })
	}
	assert.Equal(t, len(sizes), len(s.p.seen()), "each is asked for once")
	assert.Zero(t, s.figure("in_progress"))
}

// The first bytes of a large value do not wait for the last. Once they have gone the deadline has been kept: the
// rest may come later.
func TestFirstBytesGoOnAtOnce(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	value, rest := blob(1<<20), make(chan struct{})
	s.p.will(func(_ *database, c net.Conn, _ string) {
		text := row(value, "")
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
	whole := string(row(value, ""))
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
			assert.Equal(t, 2, len(s.p.seen()))
		})
	}
}

// A client that does not read holds up its database connection, not the gateway: the database stops writing, others
// are served, and all of it comes when the client reads on.
func TestSlowReaderHoldsUpOnlyItsValue(t *testing.T) {
	t.Parallel()
	s := newSite(t, managed)
	value := blob(pgwire.MostAnswer - 100)
	var given atomic.Int64
	s.p.will(func(_ *database, c net.Conn, _ string) {
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		for text := row(value, ""); len(text) > 0; text = text[min(len(text), 64<<10):] {
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
			d.answer(c, first)
		} else {
			d.answer(c, second)
		}
	})
	c := s.client()
	c.write(query(stmt("write", 2000, ",n=1")) + query(stmt("write", 2000, ",n=2")) + query(stmt("write", 2000, ",n=3")))
	s.eventually("all are under way", func() bool { return len(s.p.seen()) == 3 })
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
		for text := row(blob(1<<20), ""); ; {
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
