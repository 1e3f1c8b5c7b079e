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

// subsetUpdateDelay limits how often the subsets are computed when the list or the view changes repeatedly.
const subsetUpdateDelay = 200 * time.Millisecond

// subsets computes the databases that this gateway prefers, from the list and the view of the fleet, and passes them to the
// decision module.
type subsets struct {
	loop         *netloop.Loop
	core         *gateway.Gateway
	links        *peer.Links
	zones        []string
	scheduled    bool
	preferred    []policy.HostID
	gatewayCount int // at the last update
}

// schedule requests an update after subsetUpdateDelay.
func (s *subsets) schedule() {
	if !s.scheduled {
		s.scheduled = true
		s.loop.At(s.loop.Now()+subsetUpdateDelay, s.update)
	}
}

// update computes the subsets and passes them on if they changed.
func (s *subsets) update() {
	s.scheduled = false
	var gateways []share.Gateway
	self := -1
	for i, member := range s.links.View().Members {
		if member.Name == s.links.Name() {
			self = i
		}
		gateways = append(gateways, share.Gateway{Name: member.Name, Zone: slices.Index(s.zones, member.Zone)})
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
			break // not in its own view: drained, or another gateway has its name
		}
		for _, id := range share.Subsets(gateways, members)[self] {
			hosts = append(hosts, policy.HostID(id))
		}
	}
	slices.SortFunc(hosts, func(a, b policy.HostID) int { return strings.Compare(string(a), string(b)) })
	unchanged := slices.Equal(hosts, s.preferred)
	if unchanged && len(gateways) == s.gatewayCount {
		return
	}
	s.preferred, s.gatewayCount = hosts, len(gateways)
	log.Printf("event=fleet_subset gateways=%d hosts=%d of=%d", len(gateways), len(hosts), len(s.core.Hosts()))
	if !unchanged {
		s.core.FleetEvent(policy.PreferredHosts{Hosts: hosts})
	}
}
