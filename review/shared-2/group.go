//go:build review

package shared2

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Group is one primary with its replicas, which hold the last value of each key.
type Group struct {
	c       *Case
	Number  int
	mu      sync.Mutex
	members []*Member
	commits map[string][]commit // by key, oldest first
}

type commit struct {
	at    time.Time
	value string
}

// Member is one database of a group.
type Member struct {
	*Database
	group   *Group
	Primary bool
	Lag     time.Duration // of a replica
	Service time.Duration // time that a statement takes
	Site    string
	Hook    func(s Statement) (Reply, bool) // answers instead, if it returns true
}

// NewGroup starts the databases of a group; the first is the primary.
func (c *Case) NewGroup(number int, site string, service time.Duration, ids ...string) *Group {
	g := &Group{c: c, Number: number, commits: map[string][]commit{}}
	for i, id := range ids {
		m := &Member{group: g, Primary: i == 0, Service: service, Site: site}
		m.Database = c.NewDatabase(id, m.run)
		g.members = append(g.members, m)
	}
	return g
}

// Member returns a member by its place.
func (g *Group) Member(i int) *Member { return g.members[i] }

// Set changes members under the group's lock.
func (g *Group) Set(change func(members []*Member)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g.members)
}

// Entries returns the members' entries in the list.
func (g *Group) Entries() (entries []Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		e := Entry{Host: m.ID, Dial: m.Addr, Site: m.Site, Class: "std-4", Block: g.Number, Health: "in_service", Share: 1, Role: "replica"}
		if m.Primary {
			e.Role = "primary"
		}
		entries = append(entries, e)
	}
	return entries
}

// position returns what a member has applied.
func (m *Member) position(now time.Time) time.Time {
	if m.Primary {
		return now
	}
	return now.Add(-m.Lag)
}

// run runs a statement.
func (m *Member) run(s Statement) Reply {
	g := m.group
	g.mu.Lock()
	hook, service := m.Hook, m.Service
	g.mu.Unlock()
	if hook != nil {
		if reply, ok := hook(s); ok {
			return reply
		}
	}
	time.Sleep(service)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	at := m.position(now)
	switch {
	case s.Write && !m.Primary:
		return Reply{Code: "25006", Position: at}
	case s.Write:
		value := hexValue(s.Text)
		committed := now.Truncate(time.Millisecond).Add(time.Millisecond)
		g.commits[s.Key] = append(g.commits[s.Key], commit{committed, value})
		g.c.Log("database %s commits %s for %s of request %s", m.ID, value, s.Key, s.ID)
		return Reply{Value: []byte(value), Primary: true, Position: committed}
	}
	value := "0"
	for _, one := range g.commits[s.Key] {
		if m.Primary || !one.at.After(at) {
			value = one.value
		}
	}
	g.c.Log("database %s answers %s %s of %s with %s, primary %t", m.ID, s.Class, s.ID, s.Key, value, m.Primary)
	return Reply{Value: []byte(value), Primary: m.Primary, Position: at.Truncate(time.Millisecond)}
}

// hexValue returns the digits of a write's value.
func hexValue(text string) string {
	_, after, _ := strings.Cut(text, "'\\x")
	value, _, _ := strings.Cut(after, "'")
	return value
}

// Call sends an operator's call to a gateway and returns the status.
func (c *Case) Call(method, addr, path string) int {
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	c.Must(err, "call")
	request.Close = true
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// WaitYes waits until a gateway says that it is ready, for the 6 s of an upgrade.
func (c *Case) WaitYes(g *Gateway) {
	c.Until(6*time.Second, fmt.Sprintf("gateway %s says yes", g.Name), func() bool { return c.Call("GET", g.Management, "/v1/readyz")/100 == 2 })
}
