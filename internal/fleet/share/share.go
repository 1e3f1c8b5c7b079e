// Package share divides the members of a group among the gateways of a fleet without talk: which each uses first (a
// subset). Everything follows from the lists given, so that two gateways with equal lists come to equal answers; with
// unequal ones subsets overlap, and nothing worse may come of it. It has no input or output.
package share

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Gateway is one of the fleet.
type Gateway struct {
	Name string
	Zone int
}

// Database is a database of a group.
type Database struct {
	ID   string
	Zone int
}

// score is the weight of rendezvous hashing (Thaler and Ravishankar 1998): each pair has one of its own, which
// depends on nothing else.
func score(parts ...string) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(p)))
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(p)
	}
	return h.Sum64()
}

// edge is a gateway that may use a member first.
type edge struct {
	g, m  int
	near  bool
	score uint64
}

// SubsetSize is how many members of a group each of so many gateways uses first: one to serve and one for when that
// fails, and more where there would be members that nobody uses.
func SubsetSize(gateways, members int) int {
	if gateways <= 0 || members <= 0 {
		return 0
	}
	return min(members, max(2, (members+gateways-1)/gateways))
}

// Subsets gives each gateway its members of a group, by gateways in the order given, each list in the order of use.
// Every member gets the same number of gateways within one. Pairs are taken by score, those of one zone first, as long
// as both sides have room (a greedy matching; what is stable under it depends only on the scores, so that one that
// comes or goes moves little more than its own pairs); who is left without room trades with another.
func Subsets(gateways []Gateway, members []Database) [][]string {
	n, m := len(gateways), len(members)
	k := SubsetSize(n, m)
	out := make([][]string, n)
	if k == 0 {
		return out
	}
	asked := gateways
	gateways, members = slices.Clone(gateways), slices.Clone(members)
	slices.SortFunc(gateways, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(members, func(a, b Database) int { return strings.Compare(a.ID, b.ID) })
	edges := make([]edge, 0, n*m)
	for i, g := range gateways {
		for j, d := range members {
			edges = append(edges, edge{g: i, m: j, near: g.Zone == d.Zone, score: score(g.Name, d.ID)})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int {
		switch {
		case a.near != b.near && a.near:
			return -1
		case a.near != b.near:
			return 1
		case a.score != b.score && a.score > b.score:
			return -1
		case a.score != b.score:
			return 1
		}
		return strings.Compare(gateways[a.g].Name+"\x00"+members[a.m].ID, gateways[b.g].Name+"\x00"+members[b.m].ID)
	})
	t := &table{room: places(members, n*k), want: make([]int, n), has: make([][]bool, n)}
	for i := range gateways {
		t.want[i], t.has[i] = k, make([]bool, m)
	}
	for _, e := range edges {
		if t.want[e.g] > 0 && t.room[e.m] > 0 {
			t.give(e.g, e.m)
		}
	}
	for i := range gateways {
		for t.want[i] > 0 && t.trade(i) {
		}
	}
	lists := map[string][]string{}
	for _, e := range edges { // in the order of use
		if t.has[e.g][e.m] {
			name := gateways[e.g].Name
			lists[name] = append(lists[name], members[e.m].ID)
		}
	}
	for i, g := range asked {
		out[i] = lists[g.Name]
	}
	return out
}

// places is how many gateways each member gets; who has one more than others follows from a hash.
func places(members []Database, all int) []int {
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if x, y := score(members[a].ID), score(members[b].ID); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(members[a].ID, members[b].ID)
	})
	room := make([]int, len(members))
	for r, i := range order {
		if room[i] = all / len(members); r < all%len(members) {
			room[i]++
		}
	}
	return room
}

// table is a matching in the making.
type table struct {
	room []int // left, by member
	want []int // still, by gateway
	has  [][]bool
}

func (t *table) give(g, m int) {
	t.has[g][m] = true
	t.room[m]--
	t.want[g]--
}

// trade finds room for one more member of gateway g along the shortest way: g takes a member that another gives up for
// one with room, and so on (an augmenting path). It exists as long as there is room, for no member has more than all.
func (t *table) trade(g int) bool {
	type step struct{ g, m, back int } // gateway g could take m; back is the step by which g lost a member
	var steps []step
	seen := make([]bool, len(t.room))
	add := func(g, back int) {
		for m := range t.room {
			if !t.has[g][m] && !seen[m] {
				seen[m] = true
				steps = append(steps, step{g, m, back})
			}
		}
	}
	add(g, -1)
	for i := 0; i < len(steps); i++ {
		s := steps[i]
		if t.room[s.m] > 0 {
			t.room[s.m]--
			t.want[g]--
			for {
				t.has[s.g][s.m] = true
				if s.back < 0 {
					return true
				}
				p := steps[s.back]
				t.has[s.g][p.m] = false // handed to the gateway before
				s = p
			}
		}
		for o := range t.has {
			if t.has[o][s.m] {
				add(o, i)
			}
		}
	}
	return false
}
