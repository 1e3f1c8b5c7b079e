package hollow

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"lilaccove/internal/control"
	"lilaccove/policy"
)

const (
	replicaLag        = 10 * time.Millisecond // of the positions in replicas' answers
	defaultWriteShare = 0.1
	maxBudgetWait     = 500 * time.Millisecond // of a statement for a connection from the budget
)

// feed generates the information that a gateway would take from databases' answers, at the rate at which it would send statements.
type feed struct {
	side       *control.Side
	rnd        *rand.Rand
	rate       float64 // statements per second
	skew       float64 // exponent of Zipf's law over the databases; 0: even
	writeShare float64

	startedAt, lastDrawAt time.Duration
	drawn                 uint64 // statements generated since startedAt

	readClass, writeClass int // indexes of the classes of reads and writes; -1: none

	listVersion             int64 // list version that the shares were computed from
	listSize                int
	preferred               []policy.HostID
	readShares, writeShares shares
	batch                   []statement
	waitUntil, inUse        map[policy.HostID]time.Duration // used with budgets: until when a database waits for a connection; since when it has one
	learned                 uint64
	learnedPrimary          uint64
	budgetTimeouts          uint64 // statements that got no connection from the budget in time
}

// statement is an answered statement.
type statement struct {
	host     policy.HostID
	group    policy.GroupID
	position time.Duration // reported by the answer
	write    bool
}

// shares is a weighted set of databases, with cumulative weights.
type shares struct {
	hosts      []policy.Member
	cumulative []float64
}

func (s *shares) add(host policy.Member, weight float64) {
	if count := len(s.cumulative); count > 0 {
		weight += s.cumulative[count-1]
	}
	s.hosts, s.cumulative = append(s.hosts, host), append(s.cumulative, weight)
}

func (s *shares) draw(rnd *rand.Rand) policy.Member {
	count := len(s.cumulative)
	i := sort.SearchFloat64s(s.cumulative, rnd.Float64()*s.cumulative[count-1])
	return s.hosts[min(i, count-1)]
}

func newFeed(side *control.Side, classes []policy.Class, spec GatewaySpec, seed uint64) *feed {
	isWrite := func(c policy.Class) bool { return c.Level == policy.Write }
	return &feed{
		readClass: slices.IndexFunc(classes, func(c policy.Class) bool { return !isWrite(c) }), writeClass: slices.IndexFunc(classes, isWrite),
		side: side, rnd: rand.New(rand.NewPCG(seed, 0x66656564)), rate: spec.StatementsPerS, skew: spec.Skew, writeShare: cmp.Or(spec.WriteShare, defaultWriteShare),
		startedAt: side.Loop.Now(), lastDrawAt: side.Loop.Now(), waitUntil: map[policy.HostID]time.Duration{}, inUse: map[policy.HostID]time.Duration{},
	}
}

// updateShares recomputes the shares after a change of the list or of the subset. Reads go to each group's healthy replicas, only to
// the preferred ones where there are any, and to the primary where there is no replica. Writes go to the primary.
func (f *feed) updateShares() {
	preferred := f.side.Preferred()
	if f.side.Watch.ListVersion() == f.listVersion && f.side.Core.ListSize() == f.listSize && slices.Equal(preferred, f.preferred) {
		return
	}
	f.listVersion, f.listSize, f.preferred = f.side.Watch.ListVersion(), f.side.Core.ListSize(), preferred
	list := f.side.Core.Hosts()
	slices.SortFunc(list, func(a, b policy.Member) int { return cmp.Compare(a.Host, b.Host) })
	type groupShares struct {
		replicas, preferredReplicas int
		primary                     policy.HostID
	}
	groups := map[policy.GroupID]*groupShares{}
	isPreferred := map[policy.HostID]bool{}
	for _, h := range preferred {
		isPreferred[h] = true
	}
	list = slices.DeleteFunc(list, func(m policy.Member) bool { return m.Status != policy.Healthy })
	for _, m := range list {
		group := groups[m.Group]
		if group == nil {
			group = &groupShares{}
			groups[m.Group] = group
		}
		switch {
		case m.Primary:
			group.primary = m.Host
		default:
			if group.replicas++; isPreferred[m.Host] {
				group.preferredReplicas++
			}
		}
	}
	f.readShares, f.writeShares = shares{}, shares{}
	for i, m := range list {
		g, weight := groups[m.Group], math.Pow(float64(i+1), -f.skew)
		switch {
		case m.Primary && m.Host == g.primary:
			f.writeShares.add(m, weight)
			if g.replicas == 0 {
				f.readShares.add(m, weight)
			}
		case m.Primary:
		case g.preferredReplicas == 0:
			f.readShares.add(m, weight)
		case isPreferred[m.Host]:
			f.readShares.add(m, weight*float64(g.replicas)/float64(g.preferredReplicas))
		}
	}
}

// drawBatch picks the databases of all statements that were answered since the last call. No real gateway does this, so its CPU time
// is counted apart.
func (f *feed) drawBatch(now time.Duration) {
	f.updateShares()
	f.batch = f.batch[:0]
	due := uint64(f.rate * (now - f.startedAt).Seconds())
	count := int(due - f.drawn)
	f.drawn = due
	span := now - f.lastDrawAt
	f.lastDrawAt = now
	if len(f.readShares.cumulative) == 0 {
		return
	}
	for i := range count {
		position := now - span + span*time.Duration(i+1)/time.Duration(count)
		if len(f.writeShares.cumulative) > 0 && f.rnd.Float64() < f.writeShare {
			member := f.writeShares.draw(f.rnd)
			f.batch = append(f.batch, statement{host: member.Host, group: member.Group, position: position, write: true})
		} else {
			member := f.readShares.draw(f.rnd)
			f.batch = append(f.batch, statement{host: member.Host, group: member.Group, position: position - replicaLag})
		}
	}
}

// deliverBatch passes the contents of the answers to the same functions as a real gateway.
func (f *feed) deliverBatch(now time.Duration) {
	if f.side.Budgets() != nil {
		f.useBudgets(now)
	}
	core := f.side.Core
	for _, s := range f.batch {
		f.learned++
		f.recordAudit(s)
		f.side.ObservePosition(s.host, s.position)
		core.FleetEvent(policy.PositionReported{Host: s.host, Position: s.position})
		if s.write {
			f.learnedPrimary++
			f.side.ObservePrimary(s.host, s.position)
			core.FleetEvent(policy.PrimaryReported{Host: s.host, At: s.position})
		}
	}
}

// recordAudit writes audit records of the statement.
func (f *feed) recordAudit(s statement) {
	audit := f.side.Audit
	if audit == nil {
		return
	}
	class := f.readClass
	if s.write {
		class = f.writeClass
	}
	if audit.Sent(s.host, s.group); class >= 0 {
		audit.Accepted(s.host, s.group, class)
	}
}

// useBudgets takes connections from the fleet's budgets: each database with statements uses one connection for the duration of a
// batch, or waits for one.
func (f *feed) useBudgets(now time.Duration) {
	budgets := f.side.Budgets()
	for host := range f.inUse {
		budgets.ReportDemand(host, 0, 0)
		delete(f.inUse, host)
	}
	for _, s := range f.batch {
		if _, ok := f.waitUntil[s.host]; !ok {
			f.waitUntil[s.host] = now + maxBudgetWait
		}
	}
	for host, until := range f.waitUntil {
		switch {
		case budgets.Allowed(host, now) > 0:
			budgets.ReportDemand(host, 1, 0)
			f.inUse[host] = now
		case until < now:
			f.budgetTimeouts++
			budgets.ReportDemand(host, 0, 0)
		default:
			budgets.ReportDemand(host, 0, 1)
			continue
		}
		delete(f.waitUntil, host)
	}
}
