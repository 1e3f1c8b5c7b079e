package front

import (
	"bytes"
	"slices"

	"lilaccove/internal/pgwire"
)

// pieces are those of a statement that is too large to be collected in one buffer.
type pieces struct {
	whole int      // its length, with the head of its message
	got   int      // of that
	seen  int      // got when its time last began anew
	list  [][]byte // as they came
}

// collect takes what has come of a large statement; true when that was all.
func (c *conn) collect() bool {
	p := c.pieces
	if p == nil {
		if slices.Contains(c.front.queued, c) {
			return false
		}
		n := pgwire.LargeQuery(c.nc.Input())
		if n > c.front.opt.MaxLargeStatementBytes {
			c.fatal(pgwire.CodeTooLarge, "the statement is too large for this gateway's memory")
			return false
		}
		if !c.front.takeLarge(n) {
			c.front.queued = append(c.front.queued, c)
			c.nc.Pause()
			return false
		}
		p = &pieces{whole: n}
		c.pieces = p
		c.nc.Widen(pieceMost)
	}
	// A piece fills most of its buffer, however small the parts are in which it comes. The first one so
	// holds the heading comment.
	n := min(len(c.nc.Input()), p.whole-p.got)
	if n < min(pieceMost*3/4, p.whole-p.got) {
		return false
	}
	p.list = append(p.list, c.nc.Take(n))
	if p.got += n; p.got < p.whole {
		return false
	}
	c.pieces = nil
	c.nc.Widen(0)
	c.asked, c.last = true, c.front.closing && !c.taking
	c.unfile()
	st, class, err := c.statement(p)
	if err != nil {
		c.front.free(p)
		c.refuse(err)
		return true
	}
	c.take(class, st, p.list, p.whole)
	return true
}

// statement is the whole of the pieces, without the head of the message and its last byte.
func (c *conn) statement(p *pieces) (st *pgwire.Statement, class int, err error) {
	st = &pgwire.Statement{Text: p.list[0][5:], More: slices.Clone(p.list[1:])}
	last := &st.Text
	if n := len(st.More); n > 0 {
		last = &st.More[n-1]
	}
	end := len(*last) - 1
	ended := (*last)[end] == 0
	*last = (*last)[:end]
	zero := func(b []byte) bool { return bytes.IndexByte(b, 0) >= 0 }
	if !ended || zero(st.Text) || slices.ContainsFunc(st.More, zero) {
		return nil, 0, pgwire.ErrText
	}
	st.Head, class, err = c.head(st.Text)
	return st, class, err
}

// dropPieces forgets a large statement that does not become whole.
func (c *conn) dropPieces() {
	if p := c.pieces; p != nil {
		c.pieces = nil
		c.front.free(p)
	}
	c.front.queued = slices.DeleteFunc(c.front.queued, func(o *conn) bool { return o == c })
}

func (f *Front) free(p *pieces) {
	for _, b := range p.list {
		f.loop.Free(b)
	}
	f.freeLarge(p.whole)
}

// takeLarge sets room for a large statement aside.
func (f *Front) takeLarge(n int) bool {
	if f.large+n > f.opt.MaxLargeStatementBytes {
		return false
	}
	f.large += n
	return true
}

// freeLarge gives room back, and has those who wait for it go on: in the next round, for the caller may be in
// the midst of any connection's work.
func (f *Front) freeLarge(n int) {
	if n > 0 {
		f.large -= n
		f.loop.At(f.loop.Now(), f.admitLarge)
	}
}

// admitLarge has those who wait go on as far as there is room, the first in front.
func (f *Front) admitLarge() {
	for len(f.queued) > 0 {
		c := f.queued[0]
		if f.large+pgwire.LargeQuery(c.nc.Input()) > f.opt.MaxLargeStatementBytes {
			return
		}
		f.queued = f.queued[1:]
		c.nc.Resume()
		c.serve()
	}
}
