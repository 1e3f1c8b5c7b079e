package control

import (
	"log"
	"slices"
	"strings"
	"time"

	"lilaccove/internal/fleet/share"
	"lilaccove/internal/gateway"
	"lilaccove/internal/netloop"
	"lilaccove/internal/peer"
	"lilaccove/policy"
)

// A list or a view that changes often moves the subsets once in so long.
const subsetPause = 200 * time.Millisecond

// subsets tells the module which databases this gateway uses first, from the list and the view of the fleet.
type subsets struct {
	loop  *netloop.Loop
	core  *gateway.Gateway
	links *peer.Links
	zones []string
	due   bool
	last  []policy.HostID
	fleet int // gateways then
}

// stir has the subsets made anew.
func (s *subsets) stir() {
	if !s.due {
		s.due = true
		s.loop.At(s.loop.Now()+subsetPause, s.make)
	}
}

func (s *subsets) make() {
	s.due = false
	var fleet []share.Gateway
	self := -1
	for i, m := range s.links.View().Members {
		if m.Name == s.links.Name() {
			self = i
		}
		fleet = append(fleet, share.Gateway{Name: m.Name, Zone: slices.Index(s.zones, m.Zone)})
	}
	groups := map[policy.GroupID][]share.Database{}
	for _, h := range s.core.Hosts() {
		if h.Status == policy.Healthy {
			groups[h.Group] = append(groups[h.Group], share.Database{ID: string(h.Host), Zone: h.Zone})
		}
	}
	var hosts []policy.HostID
	for _, members := range groups {
		if self < 0 {
			break // not in its own view: drained, or its name is another's
		}
		for _, id := range share.Subsets(fleet, members)[self] {
			hosts = append(hosts, policy.HostID(id))
		}
	}
	slices.SortFunc(hosts, func(a, b policy.HostID) int { return strings.Compare(string(a), string(b)) })
	same := slices.Equal(hosts, s.last)
	if same && len(fleet) == s.fleet {
		return
	}
	s.last, s.fleet = hosts, len(fleet)
	log.Printf("event=fleet_subset gateways=%d hosts=%d of=%d", len(fleet), len(hosts), len(s.core.Hosts()))
	if !same {
		s.core.FleetEvent(policy.PreferredHosts{Hosts: hosts})
	}
}
