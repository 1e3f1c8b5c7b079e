package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/auditfile"
	"lilaccove/internal/fleet/audit"
	"lilaccove/internal/load/plan"
	"lilaccove/internal/standin"
)

// How many schedules run, and from which seed: go test ./cmd/lilaccove -run Chaos -chaos.seeds 50
var (
	chaosSeeds = flag.Uint64("chaos.seeds", 2, "number of fault schedules that TestFleetChaos runs")
	chaosFrom  = flag.Uint64("chaos.from", 1, "the first seed")
	auditSeeds = flag.Uint64("audit.seeds", 2, "number of schedules that TestFleetAuditSchedules runs")
	chaosTime  = flag.Duration("chaos.time", 8*time.Second, "how long each schedule injects faults")
)

const chaosPlan = `seed: 31
groups: 2
sessions: {count: 300, follow: 30%, after: 100 ms}
retries: {most: 2, pause: 100 ms}
connections: 60
stall: 20 s
classes:
  browse: {kind: bounded-read, mix: 66%, aim: 500 ms, deadline: 1200 ms, bound: 1 s}
  own: {kind: session-read, mix: 14%, aim: 500 ms, deadline: 1500 ms}
  write: {kind: write, mix: 20%, aim: 600 ms, deadline: 3 s}
stages: [{shape: constant, rate: 200/s, for: 120 s}]
lab: {gateways: 7, members: 4, cores: 4, queue: 60, service: 10 ms, lag: 10 ms, cold: 3 s, fleet: true, positions: true, primaries: true, subsets: true, audit: true, words: 1 min}
`

// listPause is the minimum time between a change of the list and watches falling silent, in either order: a change that a
// silent watch does not deliver binds the gateways from the sixth second on.
const listPause = 6500 * time.Millisecond

// chaos injects faults by a schedule that a seed determines. How the processes react is not determined.
type chaos struct {
	*testFleet
	rnd       *rand.Rand
	startTime time.Time
	stop      chan struct{}
	pending   sync.WaitGroup

	mu             sync.Mutex
	steps          []string
	down           map[int]bool // gateways that are killed or paused
	replacedCount  int          // how many databases of each group were replaced
	lastListChange time.Time    // when the list last began to change or watches last fell silent
	linksFaulty    bool         // links have had their fault of this schedule
	noOperators    bool         // no operator sets overrides
}

func newChaos(t *testing.T, plan string, seed uint64) *chaos {
	c := &chaos{testFleet: newTestFleetWithPlan(t, 7, plan), rnd: rand.New(rand.NewPCG(seed, 0x6368616f73)), stop: make(chan struct{}), down: map[int]bool{}, startTime: time.Now()}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the schedule of seed %d:\n%s", seed, strings.Join(c.steps, "\n"))
		}
	})
	return c
}

func (c *chaos) logStep(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps = append(c.steps, fmt.Sprintf("%.2fs ", time.Since(c.startTime).Seconds())+fmt.Sprintf(format, args...))
}

// later calls do after d, or at the end of the faults if that is earlier.
func (c *chaos) later(d time.Duration, do func()) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		standin.Sleep(d, c.stop)
		do()
	}()
}

func (c *chaos) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rnd.Int64N(int64(to-from)))
}

// pickVictim draws a gateway for a fault and marks it down. It returns false if that gateway is down already or three others are.
func (c *chaos) pickVictim() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.rnd.IntN(c.gatewayCount)
	if len(c.down) >= 3 || c.down[i] {
		return 0, false
	}
	c.down[i] = true
	return i, true
}

func (c *chaos) markUp(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.down, i)
}

// step injects one fault. The random numbers are drawn whether or not the fault is possible, so that a seed always gives the
// same schedule.
func (c *chaos) step() {
	fault, d := c.rnd.IntN(9), c.randomDuration(200*time.Millisecond, 2500*time.Millisecond)
	switch fault {
	case 0, 1:
		if i, ok := c.pickVictim(); ok {
			c.logStep("kill n%d for %v", i, d/2)
			c.Node(i).Kill()
			c.later(d/2, func() {
				_, err := c.Start(i)
				assert.NoError(c.t, err)
				c.markUp(i)
			})
		}
	case 2, 3:
		if i, ok := c.pickVictim(); ok {
			c.logStep("pause n%d for %v", i, d)
			node := c.Node(i)
			assert.NoError(c.t, node.Pause())
			c.later(d, func() {
				assert.NoError(c.t, node.Resume())
				c.markUp(i)
			})
		}
	case 4:
		k := 1 + c.rnd.IntN(c.gatewayCount-1)
		order := c.rnd.Perm(c.gatewayCount)
		if sides := [][]int{order[:k], order[k:]}; !c.linksFaulty {
			c.linksFaulty = true
			c.logStep("partition %v for %v", sides, d)
			c.Mesh().Partition(sides, true)
			c.later(d, func() { c.Mesh().Partition(sides, false) })
		}
	case 5:
		link := plan.Link{Loss: 0.2 * c.rnd.Float64(), Duplicate: 0.2, Reorder: 0.2, Delay: c.randomDuration(0, 50*time.Millisecond), Jitter: 30 * time.Millisecond}
		if !c.linksFaulty {
			c.linksFaulty = true
			c.logStep("links %+v for %v", link, d)
			c.setLinks(link)
			c.later(d, func() { c.setLinks(plan.Link{}) })
		}
	case 6:
		// One database at a time in each group, and none while a silent watch may not have been noticed yet.
		if members := c.World().Members(); c.replacedCount < 2 && time.Since(c.lastListChange) > listPause {
			c.replacedCount++
			for g := range 2 {
				h := members[slices.IndexFunc(members, func(h *standin.Host) bool { return h.Group == g })]
				c.logStep("replace %s", h.ID)
				c.pending.Add(1)
				go func() {
					defer c.pending.Done()
					assert.NoError(c.t, c.World().Replace(h, 4*time.Second, nil))
				}()
			}
			c.lastListChange = time.Now()
		}
	case 7:
		faults := []standin.Faults{{ResetBefore: 0.05}, {ResetAfter: 0.05}, {Silence: 0.03}, {Errors: 0.05}, {Malformed: 0.03}}
		answerFaults := faults[c.rnd.IntN(len(faults))]
		c.logStep("answers %+v for %v", answerFaults, d)
		c.World().SetFaults(answerFaults)
		c.later(d, func() { c.World().SetFaults(standin.Faults{}) })
	case 8:
		if time.Since(c.lastListChange) > listPause {
			c.lastListChange = time.Now()
			c.logStep("watches fall silent")
			c.World().SilenceWatches()
		}
	}
	if c.rnd.IntN(3) == 0 && !c.noOperators { // an operator sets an override
		host, verb, i := c.World().Members()[c.rnd.IntN(8)].ID, []string{"suspend", "resume"}[c.rnd.IntN(2)], c.rnd.IntN(c.gatewayCount)
		c.mu.Lock()
		down := c.down[i]
		c.mu.Unlock()
		if !down {
			_, err := c.Node(i).Call("PUT", "/v1/fleet/databases/"+host+"/"+verb)
			c.logStep("%s %s at n%d: %v", verb, host, i, err)
		}
	}
}

func (c *chaos) setLinks(l plan.Link) {
	for i := range c.gatewayCount {
		for j := range c.gatewayCount {
			if i != j {
				c.Mesh().SetLink(i, j, l)
			}
		}
	}
}

// auditFileRecords returns the records of all processes that ran, from the gateways' audit files.
func (c *chaos) auditFileRecords() (records []audit.ChainedRecord) {
	for i := range c.gatewayCount {
		lines, err := auditfile.Lines(c.AuditFile(i))
		require.NoError(c.t, err)
		for _, l := range lines {
			if record, err := audit.ParseRecord(l); err == nil { // a killed process may leave an incomplete line
				records = append(records, record)
			}
		}
	}
	return records
}

// Seven gateways run under faults drawn from a seed: gateways killed and paused, partitions, links that lose messages, databases
// replaced and cold, invalid answers, operators who set overrides at any gateway. Throughout, each request gets one answer, no
// write runs twice, no read is too old, and no database gets work that it must not have. Afterwards all copies of the overrides
// are equal, all gateways serve, and the audit has no findings, because no rule was broken.
func TestFleetChaos(t *testing.T) {
	for seed := *chaosFrom; seed < *chaosFrom+*chaosSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newChaos(t, chaosPlan, seed)
			for time.Since(c.startTime) < *chaosTime {
				c.step()
				time.Sleep(c.randomDuration(100*time.Millisecond, 700*time.Millisecond))
			}
			close(c.stop)
			c.pending.Wait()
			c.setLinks(plan.Link{})
			c.waitView(7, c.all()...)
			c.waitOverridesEqual()
			for _, h := range c.World().Members() {
				c.setOverride(0, h.ID, "resume")
			}
			c.waitSuspendedCount(0, c.all()...)
			c.waitOverridesEqual()
			c.eventually("the load balancer admits all gateways", func() bool { return c.Balancer().Admitted() == 7 })
			writesBefore := make([]int, 7)
			for i := range 7 {
				writesBefore[i] = c.metric(i, "passed.write")
			}
			c.eventually("each serves writes", func() bool {
				for i := range 7 {
					if c.metric(i, "passed.write") < writesBefore[i]+3 {
						return false
					}
				}
				return true
			})
			c.finishAndCheck(0.3)
			findings := map[string][]string{}
			for _, f := range audit.Analyze(c.auditFileRecords(), audit.DefaultTolerances()) {
				findings[f.Kind] = append(findings[f.Kind], fmt.Sprintf("%+v", f))
			}
			for _, kind := range []string{"two-primaries", "after-drain", "after-word", "two-processes", "broken-chain"} {
				assert.Empty(t, findings[kind], kind)
			}
		})
	}
}

// plantedViolation is a violation that the audit has to find, with the gateway and database that the finding has to name.
type plantedViolation struct {
	kind   string // empty: no violation
	victim int    // the gateway that acts against a rule
	host   *standin.Host
}

// plantViolation draws a violation and causes it.
func (c *chaos) plantViolation() (planted plantedViolation) {
	planted.kind = []string{"", audit.TwoPrimaries, audit.AfterOverride, audit.AfterDrain}[c.rnd.IntN(4)]
	planted.victim = c.rnd.IntN(c.gatewayCount)
	members := c.World().Members()
	sides := [][]int{{planted.victim}, c.except(planted.victim)}
	switch planted.kind {
	case audit.TwoPrimaries:
		planted.host = members[1+4*c.rnd.IntN(2)]
		planted.host.ClaimPrimary()
	case audit.AfterOverride: // the override does not reach the victim
		planted.host = members[4*c.rnd.IntN(2)]
		c.Mesh().Partition(sides, true)
		c.setOverride((planted.victim+1)%c.gatewayCount, planted.host.ID, "suspend")
	case audit.AfterDrain: // neither the list nor the other gateways' list versions reach the victim
		planted.host = members[1+4*c.rnd.IntN(2)]
		c.makeLagging(planted.victim)
		c.Mesh().Partition(sides, true)
		planted.host.Announce("terminating", time.Time{})
	}
	c.logStep("planted %q at n%d", planted.kind, planted.victim)
	return planted
}

// Under other faults the audit reports the planted violation, with the right gateway and database, and no other.
func TestFleetAuditSchedules(t *testing.T) {
	for seed := *chaosFrom; seed < *chaosFrom+*auditSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newChaos(t, strings.Replace(chaosPlan, "subsets: true, ", "", 1), seed)
			c.linksFaulty, c.replacedCount, c.noOperators = true, 2, true // only the planted violation changes links, databases and overrides
			c.waitWrites(3)
			planted := c.plantViolation()
			c.mu.Lock()
			c.down[planted.victim] = true // no other fault hits it
			c.mu.Unlock()
			for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(c.randomDuration(100*time.Millisecond, 600*time.Millisecond)) {
				c.step()
			}
			close(c.stop)
			c.pending.Wait()
			if planted.kind != "" {
				c.eventually("the violation is found", func() bool { return len(c.auditFindings(planted.kind)) > 0 })
			}
			c.Mesh().Partition([][]int{{planted.victim}, c.except(planted.victim)}, false)
			c.finish()
			world := c.report.World.(standin.Counts)
			assert.Zero(t, world.Duplicates+world.Stale)
			kinds := map[string]int{}
			for _, f := range audit.Analyze(c.auditFileRecords(), audit.DefaultTolerances()) {
				expected := f.Kind == planted.kind || planted.kind == audit.AfterDrain && f.Kind == audit.LaggingList
				switch {
				case slices.Contains([]string{audit.Gap, audit.Incomplete, audit.Unordered}, f.Kind):
					continue // kills and pauses cause them
				case !expected:
					assert.Fail(t, "no such violation was planted", "%+v", f)
				case f.Kind == audit.TwoPrimaries:
					assert.Equal(t, planted.host.Group, f.Group)
				case f.Kind == audit.AfterOverride || f.Kind == audit.AfterDrain:
					assert.Equal(t, planted.host.ID, f.Database)
					fallthrough
				default:
					assert.Equal(t, []string{fmt.Sprintf("n%d", planted.victim)}, f.Gateways)
				}
				kinds[f.Kind]++
			}
			if planted.kind != "" {
				assert.Positive(t, kinds[planted.kind], "the audit files show it, too")
			}
			t.Logf("planted %q, found %v", planted.kind, kinds)
		})
	}
}
