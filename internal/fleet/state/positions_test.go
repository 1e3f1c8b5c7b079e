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

const startTime = 1_800_000_000 * time.Second

const step = 200 * time.Millisecond

func listAll(string) bool { return true }

// Whatever the order, duplication and loss of messages: copies never exceed what a database reported, and once links work a
// new position reaches most gateways.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 20).Draw(r, "n")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		loss := rapid.Float64Range(0, 0.5).Draw(r, "loss")
		names, reported := []string{}, map[string]time.Duration{}
		for i := range n {
			names = append(names, fmt.Sprint("n", i))
		}
		var copies []*Positions
		for i := range n {
			p := NewPositions(names[i], uint64(i), step, listAll)
			p.SetMembers(names)
			copies = append(copies, p)
		}
		var network []PositionsSend
		round := func(loss float64) {
			for _, p := range copies {
				network = append(network, p.Tick()...)
			}
			rnd.Shuffle(len(network), func(i, j int) { network[i], network[j] = network[j], network[i] })
			for range len(network) {
				s := network[0]
				network = network[1:]
				if rnd.Float64() < loss/2 {
					network = append(network, s) // a duplicate
				}
				if rnd.Float64() < loss {
					continue
				}
				var i int
				_, _ = fmt.Sscanf(s.To, "n%d", &i)
				copies[i].Receive(startTime+time.Hour, s.Message)
			}
		}
		for k := range 40 {
			host := fmt.Sprint("s", rnd.IntN(5))
			reported[host] = max(reported[host], startTime+time.Duration(k)*300*time.Millisecond)
			copies[rnd.IntN(n)].Observe(host, reported[host])
			round(loss)
			for _, p := range copies {
				for h, at := range p.known {
					require.LessOrEqual(r, at, reported[h])
				}
			}
		}
		// The links work, and each database reports once more.
		for h := range reported {
			reported[h] += time.Second
			copies[rnd.IntN(n)].Observe(h, reported[h])
		}
		for range 30 {
			round(0)
		}
		upToDate := 0
		for _, p := range copies {
			for h, at := range reported {
				if p.known[h] == at {
					upToDate++
				}
			}
		}
		require.Greater(r, float64(upToDate), 0.75*float64(n*len(reported)), "gossip reaches most gateways at once; the next position is gossiped again")
	})
}

// Older positions, positions ahead of the clock and positions of unlisted databases are rejected and counted.
func TestReceiveRejectsInvalidPositions(t *testing.T) {
	p := NewPositions("a", 1, step, func(h string) bool { return h == "s1" })
	newer := p.Receive(startTime, PositionsMessage{Positions: []Position{
		{"s1", startTime - time.Second}, {"s1", startTime - 2*time.Second}, {"s1", startTime + time.Hour}, {"s9", startTime},
	}})
	assert.Equal(t, []Position{{"s1", startTime - time.Second}}, newer)
	assert.Equal(t, Counts{Received: 1, Outdated: 1, Future: 1, Unknown: 1}, p.Counts())
}

// A position that has risen by less than a step is not gossiped, and messages are bounded.
func TestGossipIsBounded(t *testing.T) {
	p := NewPositions("a", 1, step, listAll)
	p.SetMembers([]string{"a", "b", "c", "d", "e"})
	sent := 0
	for k := range 100 { // ten seconds with a position every 10 ms
		for j := range 10 {
			p.Observe("s1", startTime+time.Duration(k*100+j*10)*time.Millisecond)
		}
		sent += len(p.Tick())
	}
	assert.LessOrEqual(t, sent, 51*fanout)
	for i := range 100 {
		p.Observe(fmt.Sprint("x", i), startTime)
	}
	for _, s := range p.Tick() {
		assert.Len(t, s.Message.Positions, positionsPerMessage)
		assert.NotEqual(t, "a", s.To)
	}
	p.listed = func(h string) bool { return h == "s1" }
	p.DropUnlisted()
	assert.Len(t, p.known, 1)
}

// Names of databases may have up to 256 bytes: messages with many of them must still fit into datagrams of 1200 bytes with
// their envelopes, and all positions must arrive.
func TestLongNamesFitDatagrams(t *testing.T) {
	const hosts = 40
	for _, length := range []int{0, 40, 100, maxNameBytes - 2} {
		a, b := NewPositions("a", 1, step, listAll), NewPositions("b", 2, step, listAll)
		a.SetMembers([]string{"b"})
		for i := range hosts {
			a.Observe(fmt.Sprintf("%02d%s", i, strings.Repeat("x", length)), startTime)
		}
		for range hosts {
			for _, s := range a.Tick() {
				text, err := cbor.Marshal(s.Message)
				require.NoError(t, err)
				require.LessOrEqual(t, len(text), 1200-100, "names of %d bytes", length+2)
				b.Receive(startTime, s.Message)
			}
		}
		assert.EqualValues(t, hosts, b.Counts().Received)
	}
}
