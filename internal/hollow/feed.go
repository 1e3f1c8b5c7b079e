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
	feedEvery  = 40 * time.Millisecond
	replicaLag = 10 * time.Millisecond // of what a replica's answer tells behind the moment
	writeShare = 0.1
	waitMost   = 500 * time.Millisecond // of a statement for a connection from the budget
)

// feed has a gateway learn what answers of databases would tell it, at the rate at which it would send statements.
type feed struct {
	side   *control.Side
	rnd    *rand.Rand
	rate   float64 // statements a second
	skew   float64 // 0: evenly; else the exponent of Zipf's law over the databases
	writes float64

	begun, last time.Duration
	done        uint64 // statements since begun

	read, write int // classes

	seq            int64 // of the list that the shares are from
	hosts          int
	preferred      []policy.HostID
	reads, primary shares
	batch          []statement
	waiting, in    map[policy.HostID]time.Duration // only with budgets: for a connection, and with one
	learned        uint64
	learnedPrimary uint64
	short          uint64 // statements that found no connection in the budget
}

// statement is one that was answered.
type statement struct {
	host  policy.HostID
	group policy.GroupID
	at    time.Duration
	write bool
}

// shares are databases with the shares that they get, added up.
type shares struct {
	hosts []policy.Member
	sum   []float64
}

func (s *shares) add(host policy.Member, weight float64) {
	if n := len(s.sum); n > 0 {
		weight += s.sum[n-1]
	}
	s.hosts, s.sum = append(s.hosts, host), append(s.sum, weight)
}

func (s *shares) draw(rnd *rand.Rand) policy.Member {
	n := len(s.sum)
	i := sort.SearchFloat64s(s.sum, rnd.Float64()*s.sum[n-1])
	return s.hosts[min(i, n-1)]
}

func newFeed(side *control.Side, classes []policy.Class, spec Spec, seed uint64) *feed {
	isWrite := func(c policy.Class) bool { return c.Level == policy.Write }
	return &feed{
		read: slices.IndexFunc(classes, func(c policy.Class) bool { return !isWrite(c) }), write: slices.IndexFunc(classes, isWrite),
		side: side, rnd: rand.New(rand.NewPCG(seed, 0x66656564)), rate: spec.StatementsPerS, skew: spec.Skew, writes: cmp.Or(spec.Writes, writeShare),
		begun: side.Loop.Now(), last: side.Loop.Now(), waiting: map[policy.HostID]time.Duration{}, in: map[policy.HostID]time.Duration{},
	}
}

// stand draws the shares anew where the list or the subset has changed: reads go over the healthy replicas of each group, those
// first that the module uses first, writes to its primary.
func (f *feed) stand() {
	preferred := f.side.Preferred()
	if f.side.Watch.ListVersion() == f.seq && f.side.Core.ListSize() == f.hosts && slices.Equal(preferred, f.preferred) {
		return
	}
	f.seq, f.hosts, f.preferred = f.side.Watch.ListVersion(), f.side.Core.ListSize(), preferred
	list := f.side.Core.Hosts()
	slices.SortFunc(list, func(a, b policy.Member) int { return cmp.Compare(a.Host, b.Host) })
	type group struct {
		replicas, first int
		primary         policy.HostID
	}
	groups := map[policy.GroupID]*group{}
	first := map[policy.HostID]bool{}
	for _, h := range preferred {
		first[h] = true
	}
	list = slices.DeleteFunc(list, func(m policy.Member) bool { return m.Status != policy.Healthy })
	for _, m := range list {
		g := groups[m.Group]
		if g == nil {
			g = &group{}
			groups[m.Group] = g
		}
		switch {
		case m.Primary:
			g.primary = m.Host
		default:
			if g.replicas++; first[m.Host] {
				g.first++
			}
		}
	}
	f.reads, f.primary = shares{}, shares{}
	for i, m := range list {
		g, weight := groups[m.Group], math.Pow(float64(i+1), -f.skew)
		switch {
		case m.Primary && m.Host == g.primary:
			f.primary.add(m, weight)
			if g.replicas == 0 {
				f.reads.add(m, weight)
			}
		case m.Primary:
		case g.first == 0:
			f.reads.add(m, weight)
		case first[m.Host]:
			f.reads.add(m, weight*float64(g.replicas)/float64(g.first))
		}
	}
}

// draw picks the databases of all statements that were answered since the last time. It is the one thing that no real
// gateway does.
func (f *feed) draw(now time.Duration) {
	f.stand()
	f.batch = f.batch[:0]
	due := uint64(f.rate * (now - f.begun).Seconds())
	n := int(due - f.done)
	f.done = due
	span := now - f.last
	f.last = now
	if len(f.reads.sum) == 0 {
		return
	}
	for i := range n {
		at := now - span + span*time.Duration(i+1)/time.Duration(n)
		if len(f.primary.sum) > 0 && f.rnd.Float64() < f.writes {
			m := f.primary.draw(f.rnd)
			f.batch = append(f.batch, statement{host: m.Host, group: m.Group, at: at, write: true})
		} else {
			m := f.reads.draw(f.rnd)
			f.batch = append(f.batch, statement{host: m.Host, group: m.Group, at: at - replicaLag})
		}
	}
}

// learn hands on what the answers tell, where the gateway would hand it on.
func (f *feed) learn(now time.Duration) {
	if f.side.Budgets() != nil {
		f.spend(now)
	}
	core := f.side.Core
	for _, s := range f.batch {
		f.learned++
		f.act(s)
		f.side.ObservePosition(s.host, s.at)
		core.FleetEvent(policy.PositionReported{Host: s.host, Position: s.at})
		if s.write {
			f.learnedPrimary++
			f.side.ObservePrimary(s.host, s.at)
			core.FleetEvent(policy.PrimaryReported{Host: s.host, At: s.at})
		}
	}
}

// act notes in the records what was done.
func (f *feed) act(s statement) {
	spans := f.side.Audit
	if spans == nil {
		return
	}
	class := f.read
	if s.write {
		class = f.write
	}
	if spans.Sent(s.host, s.group); class >= 0 {
		spans.Accepted(s.host, s.group, class)
	}
}

// spend uses connections from the fleet's budgets: each database that is asked has one in use for a batch, or one that is
// waited for.
func (f *feed) spend(now time.Duration) {
	b := f.side.Budgets()
	for host := range f.in {
		b.ReportDemand(host, 0, 0)
		delete(f.in, host)
	}
	for _, s := range f.batch {
		if _, ok := f.waiting[s.host]; !ok {
			f.waiting[s.host] = now + waitMost
		}
	}
	for host, until := range f.waiting {
		switch {
		case b.Allowed(host, now) > 0:
			b.ReportDemand(host, 1, 0)
			f.in[host] = now
		case until < now:
			f.short++
			b.ReportDemand(host, 0, 0)
		default:
			b.ReportDemand(host, 0, 1)
			continue
		}
		delete(f.waiting, host)
	}
}
