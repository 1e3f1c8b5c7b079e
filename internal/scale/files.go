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
	seeds       = 3 // gateways that all others are told of
	connections = 2 // to each database for each holder, where a plan's budgets do not say
)

// zone is the number of a gateway's, in the order of Zones.
func (p *Plan) zone(g int) int { return g % len(p.Zones()) }

// FleetFile is what gateway g is told of the fleet. It finds all others behind the relay, as its own zone finds them. In the plan's
// part {name} is the gateway's name and {dir} a directory of its own.
func (p *Plan) FleetFile(g int, dir string, r *wan.Relay) ([]byte, error) {
	var b bytes.Buffer
	own := "127.0.0.1:0"
	if r != nil {
		own = r.ListenAddr(g).String()
	}
	fmt.Fprintf(&b, "fleet: scale\nlisten: %s\n", own)
	if r != nil {
		fmt.Fprintf(&b, "advertise: %s\nseeds:\n", r.AdvertiseAddr(g))
		for s := range min(seeds+1, p.Gateways) {
			if s != g {
				fmt.Fprintf(&b, "  - %s\n", r.DialAddr(p.zone(g), s))
			}
		}
		fmt.Fprintf(&b, "dial:\n")
		for o := range p.Gateways {
			if o != g {
				fmt.Fprintf(&b, "  %s: %s\n", p.Name(o), r.DialAddr(p.zone(g), o))
			}
		}
	}
	if p.fleet == nil {
		return b.Bytes(), nil
	}
	part := *p.fleet
	part.Style &^= yaml.FlowStyle
	part.Content = slices.Clone(part.Content)
	for i := 0; i+1 < len(part.Content); i += 2 {
		if part.Content[i].Value == "budgets" {
			part.Content[i+1] = p.holders(part.Content[i+1])
		}
	}
	text, err := yaml.Marshal(&part)
	if err != nil {
		return nil, err
	}
	b.WriteString(strings.NewReplacer("{name}", p.Name(g), "{dir}", dir).Replace(string(text)))
	return b.Bytes(), nil
}

// holders gives budgets the names of all gateways, and connections for each, where the plan does not say them.
func (p *Plan) holders(n *yaml.Node) *yaml.Node {
	if n.Kind != yaml.MappingNode {
		return n
	}
	budgets := *n
	budgets.Content = slices.Clone(n.Content)
	has := func(key string) bool {
		return slices.ContainsFunc(n.Content, func(v *yaml.Node) bool { return v.Value == key })
	}
	scalar := func(s string) *yaml.Node { return &yaml.Node{Kind: yaml.ScalarNode, Value: s} }
	if !has("holders") {
		list := &yaml.Node{Kind: yaml.SequenceNode}
		for g := range p.Gateways {
			list.Content = append(list.Content, scalar(p.Name(g)))
		}
		budgets.Content = append(budgets.Content, scalar("holders"), list)
	}
	if !has("connections") {
		budgets.Content = append(budgets.Content, scalar("connections"), scalar(fmt.Sprint(connections*p.Gateways)))
	}
	return &budgets
}

// Config is what the platform would tell gateway g.
func (p *Plan) Config(g int, discovery string) map[string]any {
	return map[string]any{
		"name": p.Name(g), "listen": "127.0.0.1:0", "discovery": discovery, "seed": fmt.Sprintf("%x", p.Seed*1_000_003+uint64(g)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": p.Allowance.MemoryMB, "sockets": 4096},
		"settings": map[string]any{
			"Allowed": map[string]any{"Cancel": true, "Peers": true, "ConnIdleUs": 15000000, "DialTimeoutUs": 250000, "MaxRetryAfterUs": 1000000,
				"Probes": true, "RetryAfter": true, "TryLimit": 6},
			"Discovery": "ask", "Domain": map[string]any{"Behind": "none", "ClassBoundUs": []int64{3000000, 0, 0},
				"ReadLevel": []string{"recent", "own_writes", "update"}, "ShowsRole": "delayed", "SessionMarks": "client"},
			"Instances": p.Gateways, "Localities": p.Zones(), "ResolutionUs": 5000, "Zone": p.zone(g),
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

// sites are the zones of the databases: members of a group are in different ones.
func (p *Plan) sites() (list []string) {
	zones := p.Zones()
	for d := range p.Databases {
		group, member := d/p.Group, d%p.Group
		list = append(list, zones[(group+member)%len(zones)])
	}
	return list
}

// config is Config as text; known is the list that a real gateway had before, as a process that is started again has one. Hollow ones
// ask for theirs, so that hundreds of files with it are spared.
func (p *Plan) config(g int, discovery string, known []byte) ([]byte, error) {
	c := p.Config(g, discovery)
	if g < p.Real {
		c["known"] = json.RawMessage(known)
	}
	return json.Marshal(c)
}
