package state

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const now = 1_800_000_000 * time.Second

const step = 200 * time.Millisecond

func all(string) bool { return true }

// Whatever order news come in, how often, and whatever is lost of them: copies never exceed what a database said,
// and what one told all is known to all when links are well.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(r, "n")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		loss := rapid.Float64Range(0, 0.5).Draw(r, "loss")
		names, truth := []string{}, map[string]time.Duration{}
		for i := range n {
			names = append(names, fmt.Sprint("n", i))
		}
		var list []*Positions
		for i := range n {
			p := NewPositions(names[i], uint64(i), step, all)
			p.SetMembers(names)
			list = append(list, p)
		}
		var wire []PositionsSend
		round := func(loss float64) {
			for _, p := range list {
				wire = append(wire, p.Tick()...)
			}
			rnd.Shuffle(len(wire), func(i, j int) { wire[i], wire[j] = wire[j], wire[i] })
			for range len(wire) {
				s := wire[0]
				wire = wire[1:]
				if rnd.Float64() < loss/2 {
					wire = append(wire, s) // it comes again later
				}
				if rnd.Float64() < loss {
					continue
				}
				var i int
				_, _ = fmt.Sscanf(s.To, "n%d", &i)
				list[i].Receive(now+time.Hour, s.Message)
			}
		}
		for k := range 40 {
			host := fmt.Sprint("s", rnd.IntN(5))
			truth[host] = max(truth[host], now+time.Duration(k)*300*time.Millisecond)
			list[rnd.IntN(n)].Observe(host, truth[host])
			round(loss)
			for _, p := range list {
				for h, at := range p.known {
					require.LessOrEqual(r, at, truth[h])
				}
			}
		}
		// The links are well, and each database is heard of once more.
		for h := range truth {
			truth[h] += time.Second
			list[rnd.IntN(n)].Observe(h, truth[h])
		}
		for range 30 {
			round(0)
		}
		know := 0
		for _, p := range list {
			for h, at := range truth {
				if p.known[h] == at {
					know++
				}
			}
		}
		require.Greater(r, float64(know), 0.75*float64(n*len(truth)), "gossip reaches most at once; the next position is told anew")
	})
}

func TestWhatIsNotBelieved(t *testing.T) {
	p := NewPositions("a", 1, step, func(h string) bool { return h == "s1" })
	news := p.Receive(now, PositionsMessage{Positions: []Position{
		{"s1", now - time.Second}, {"s1", now - 2*time.Second}, {"s1", now + time.Hour}, {"s9", now},
	}})
	assert.Equal(t, []Position{{"s1", now - time.Second}}, news)
	assert.Equal(t, Counts{Received: 1, Outdated: 1, Future: 1, Unknown: 1}, p.Counts())
}

// A position that has hardly risen is no news, and messages are bounded.
func TestLittleIsSent(t *testing.T) {
	p := NewPositions("a", 1, step, all)
	p.SetMembers([]string{"a", "b", "c", "d", "e"})
	sent := 0
	for k := range 100 { // ten seconds of answers every 10 ms
		for j := range 10 {
			p.Observe("s1", now+time.Duration(k*100+j*10)*time.Millisecond)
		}
		sent += len(p.Tick())
	}
	assert.LessOrEqual(t, sent, 51*fanout)
	for i := range 100 {
		p.Observe(fmt.Sprint("x", i), now)
	}
	for _, s := range p.Tick() {
		assert.Len(t, s.Message.Positions, perSend)
		assert.NotEqual(t, "a", s.To)
	}
	p.listed = func(h string) bool { return h == "s1" }
	p.DropUnlisted()
	assert.Len(t, p.known, 1)
}

// Databases may have names of up to 256 bytes: news of many still fit into datagrams of 1200 bytes with their envelopes, and
// all arrive.
func TestPositionsOfLongNamesFitTheirMessages(t *testing.T) {
	const hosts = 40
	for _, long := range []int{0, 40, 100, maxNameBytes - 2} {
		a, b := NewPositions("a", 1, step, all), NewPositions("b", 2, step, all)
		a.SetMembers([]string{"b"})
		for i := range hosts {
			a.Observe(fmt.Sprintf("%02d%s", i, strings.Repeat("x", long)), now)
		}
		for range hosts {
			for _, s := range a.Tick() {
				text, err := cbor.Marshal(s.Message)
				require.NoError(t, err)
				require.LessOrEqual(t, len(text), 1200-100, "names of %d bytes", long+2)
				b.Receive(now, s.Message)
			}
		}
		assert.EqualValues(t, hosts, b.Counts().Received)
	}
}
