// Package share assigns to each gateway of a fleet the subset of a group's databases that it uses first, without
// communication. The result depends only on the lists given, so gateways with equal lists compute equal subsets; with
// unequal lists subsets may overlap, which must do no further harm. The package does no I/O.
package share

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Gateway is a gateway of the fleet.
type Gateway struct {
	Name string
	Zone int
}

// Database is a database of a group.
type Database struct {
	ID   string
	Zone int
}

// score is the weight of rendezvous hashing (Thaler and Ravishankar 1998): the weight of a pair depends on nothing
// but the pair.
func score(parts ...string) uint64 {
	hash := xxhash.New()
	for _, part := range parts {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(part)
	}
	return hash.Sum64()
}

// edge is a candidate pair of the matching; gateway and database are indexes.
type edge struct {
	gateway, database int
	sameZone          bool
	score             uint64
}

// SubsetSize returns how many databases of a group each gateway uses first: one to serve and one for failover, and
// more if some databases would otherwise be in no subset.
func SubsetSize(gateways, databases int) int {
	if gateways <= 0 || databases <= 0 {
		return 0
	}
	return min(databases, max(2, (databases+gateways-1)/gateways))
}

// Subsets returns the databases of each gateway, for the gateways in the order given, each list in order of preference.
// The numbers of gateways per database differ by one at most. Pairs are matched greedily by score, those within one
// zone first, while both sides have capacity; since the order depends only on the scores, adding or removing a gateway
// or database moves little more than its own pairs. A gateway that is still short swaps with others.
func Subsets(gateways []Gateway, databases []Database) [][]string {
	gatewayCount, databaseCount := len(gateways), len(databases)
	size := SubsetSize(gatewayCount, databaseCount)
	subsets := make([][]string, gatewayCount)
	if size == 0 {
		return subsets
	}
	inOrder := gateways
	gateways, databases = slices.Clone(gateways), slices.Clone(databases)
	slices.SortFunc(gateways, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(databases, func(a, b Database) int { return strings.Compare(a.ID, b.ID) })
	edges := make([]edge, 0, gatewayCount*databaseCount)
	for i, g := range gateways {
		for j, d := range databases {
			edges = append(edges, edge{gateway: i, database: j, sameZone: g.Zone == d.Zone, score: score(g.Name, d.ID)})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int {
		switch {
		case a.sameZone != b.sameZone && a.sameZone:
			return -1
		case a.sameZone != b.sameZone:
			return 1
		case a.score != b.score && a.score > b.score:
			return -1
		case a.score != b.score:
			return 1
		}
		return strings.Compare(gateways[a.gateway].Name+"\x00"+databases[a.database].ID, gateways[b.gateway].Name+"\x00"+databases[b.database].ID)
	})
	mt := &matching{capacity: capacities(databases, gatewayCount*size), missing: make([]int, gatewayCount), assigned: make([][]bool, gatewayCount)}
	for i := range gateways {
		mt.missing[i], mt.assigned[i] = size, make([]bool, databaseCount)
	}
	for _, e := range edges {
		if mt.missing[e.gateway] > 0 && mt.capacity[e.database] > 0 {
			mt.assign(e.gateway, e.database)
		}
	}
	for i := range gateways {
		for mt.missing[i] > 0 && mt.augment(i) {
		}
	}
	lists := map[string][]string{}
	for _, e := range edges { // in order of preference
		if mt.assigned[e.gateway][e.database] {
			name := gateways[e.gateway].Name
			lists[name] = append(lists[name], databases[e.database].ID)
		}
	}
	for i, g := range inOrder {
		subsets[i] = lists[g.Name]
	}
	return subsets
}

// capacities returns how many gateways each database gets. A hash decides which databases get one more than others.
func capacities(databases []Database, pairs int) []int {
	order := make([]int, len(databases))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if x, y := score(databases[a].ID), score(databases[b].ID); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(databases[a].ID, databases[b].ID)
	})
	capacity := make([]int, len(databases))
	for rank, i := range order {
		if capacity[i] = pairs / len(databases); rank < pairs%len(databases) {
			capacity[i]++
		}
	}
	return capacity
}

// matching is a partial assignment of databases to gateways.
type matching struct {
	capacity []int // remaining, by database
	missing  []int // databases still to assign, by gateway
	assigned [][]bool
}

func (mt *matching) assign(gateway, database int) {
	mt.assigned[gateway][database] = true
	mt.capacity[database]--
	mt.missing[gateway]--
}

// augment assigns one more database to a gateway along the shortest augmenting path: the gateway takes a database
// that another gives up for one with free capacity, and so on. A path exists while there is free capacity, since no
// database has more capacity than there are gateways.
func (mt *matching) augment(start int) bool {
	type step struct{ gateway, database, previous int } // gateway could take database; previous is the step in which it lost one
	var steps []step
	seen := make([]bool, len(mt.capacity))
	add := func(gateway, previous int) {
		for database := range mt.capacity {
			if !mt.assigned[gateway][database] && !seen[database] {
				seen[database] = true
				steps = append(steps, step{gateway, database, previous})
			}
		}
	}
	add(start, -1)
	for i := 0; i < len(steps); i++ {
		s := steps[i]
		if mt.capacity[s.database] > 0 {
			mt.capacity[s.database]--
			mt.missing[start]--
			for {
				mt.assigned[s.gateway][s.database] = true
				if s.previous < 0 {
					return true
				}
				prev := steps[s.previous]
				mt.assigned[s.gateway][prev.database] = false // passed to the gateway of the previous step
				s = prev
			}
		}
		for owner := range mt.assigned {
			if mt.assigned[owner][s.database] {
				add(owner, i)
			}
		}
	}
	return false
}
