package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"lilaccove/internal/standin"
	"lilaccove/internal/wan"
)

const (
	seedCount            = 3 // gateways that every fleet file lists as seeds
	connectionsPerHolder = 2 // connections to each database in a budget, per holder, unless the plan sets them
)

// zoneOf returns the index in Zones of gateway g's zone.
func (p *Plan) zoneOf(g int) int { return g % len(p.Zones()) }

// FleetFile returns the fleet file of gateway g. It reaches all others through the relay, at the addresses for its own zone; a nil
// relay leaves their addresses out. In the plan's part {name} stands for the gateway's name and {dir} for its directory.
func (p *Plan) FleetFile(g int, dir string, relay *wan.Relay) ([]byte, error) {
	var buffer bytes.Buffer
	listenAddr := "127.0.0.1:0"
	if relay != nil {
		listenAddr = relay.ListenAddr(g).String()
	}
	fmt.Fprintf(&buffer, "fleet: scale\nlisten: %s\n", listenAddr)
	if relay != nil {
		fmt.Fprintf(&buffer, "advertise: %s\nseeds:\n", relay.AdvertiseAddr(g))
		for seed := range min(seedCount+1, p.Gateways) {
			if seed != g {
				fmt.Fprintf(&buffer, "  - %s\n", relay.DialAddr(p.zoneOf(g), seed))
			}
		}
		fmt.Fprintf(&buffer, "dial:\n")
		for other := range p.Gateways {
			if other != g {
				fmt.Fprintf(&buffer, "  %s: %s\n", p.GatewayName(other), relay.DialAddr(p.zoneOf(g), other))
			}
		}
	}
	if p.fleetNode == nil {
		return buffer.Bytes(), nil
	}
	part := *p.fleetNode
	part.Style &^= yaml.FlowStyle
	part.Content = slices.Clone(part.Content)
	for i := 0; i+1 < len(part.Content); i += 2 {
		if part.Content[i].Value == "budgets" {
			part.Content[i+1] = p.completeBudgets(part.Content[i+1])
		}
	}
	text, err := yaml.Marshal(&part)
	if err != nil {
		return nil, err
	}
	buffer.WriteString(strings.NewReplacer("{name}", p.GatewayName(g), "{dir}", dir).Replace(string(text)))
	return buffer.Bytes(), nil
}

// completeBudgets adds all gateways as holders, and connections for each, to the plan's budgets unless the plan sets them.
func (p *Plan) completeBudgets(node *yaml.Node) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return node
	}
	budgets := *node
	budgets.Content = slices.Clone(node.Content)
	has := func(key string) bool {
		return slices.ContainsFunc(node.Content, func(child *yaml.Node) bool { return child.Value == key })
	}
	scalar := func(s string) *yaml.Node { return &yaml.Node{Kind: yaml.ScalarNode, Value: s} }
	if !has("holders") {
		list := &yaml.Node{Kind: yaml.SequenceNode}
		for g := range p.Gateways {
			list.Content = append(list.Content, scalar(p.GatewayName(g)))
		}
		budgets.Content = append(budgets.Content, scalar("holders"), list)
	}
	if !has("connections") {
		budgets.Content = append(budgets.Content, scalar("connections"), scalar(fmt.Sprint(connectionsPerHolder*p.Gateways)))
	}
	return &budgets
}

// Config returns the configuration that the platform would give gateway g.
func (p *Plan) Config(g int, discovery string) map[string]any {
	return map[string]any{
		"name": p.GatewayName(g), "listen": "127.0.0.1:0", "discovery": discovery, "seed": fmt.Sprintf("%x", p.Seed*1_000_003+uint64(g)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": p.Allowance.MemoryMB, "sockets": 4096},
		"settings": map[string]any{
			"Allowed": map[string]any{"Cancel": true, "Peers": true, "ConnIdleUs": 15000000, "DialTimeoutUs": 250000, "MaxRetryAfterUs": 1000000,
				"Probes": true, "RetryAfter": true, "TryLimit": 6},
			"Discovery": "ask", "Domain": map[string]any{"Behind": "none", "ClassBoundUs": []int64{3000000, 0, 0},
				"ReadLevel": []string{"recent", "own_writes", "update"}, "ShowsRole": "delayed", "SessionMarks": "client"},
			"Instances": p.Gateways, "Localities": p.Zones(), "ResolutionUs": 5000, "Zone": p.zoneOf(g),
			"Lanes": []any{
				map[string]any{"Name": "browse", "GoalTimeUs": 500000, "DeadlineUs": 1200000, "Repeat": "retryable", "Worth": 1},
				map[string]any{"Name": "own", "GoalTimeUs": 500000, "DeadlineUs": 1500000, "Repeat": "retryable", "Worth": 2},
				map[string]any{"Name": "write", "GoalTimeUs": 600000, "DeadlineUs": 3000000, "Repeat": "fragile", "Worth": 4},
			},
			"Rules": map[string]any{"AnswerSlackUs": 20000, "ColdUs": 5000000, "DrainGraceUs": 2000000, "FallMultiple": 2,
				"FallUs": 1000000, "MustAskInUs": 10000000, "StartCapacity": standin.StartCapacity},
		},
	}
}

// databaseZones returns the zone of each database. Members of a group are in different zones as far as there are enough.
func (p *Plan) databaseZones() (list []string) {
	zones := p.Zones()
	for database := range p.Databases {
		group, member := database/p.GroupSize, database%p.GroupSize
		list = append(list, zones[(group+member)%len(zones)])
	}
	return list
}

// configJSON returns Config as JSON. A real gateway also gets known, the list that it would have cached before a restart. Hollow
// gateways ask discovery instead, which keeps the list out of hundreds of files.
func (p *Plan) configJSON(g int, discovery string, known []byte) ([]byte, error) {
	config := p.Config(g, discovery)
	if g < p.RealGateways {
		config["known"] = json.RawMessage(known)
	}
	return json.Marshal(config)
}
