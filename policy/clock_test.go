package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// clockRig is a router whose clock is off by a step from that of its databases.
type clockRig struct {
	*rig
	step time.Duration // of the databases' clock over the router's
	seq  int
}

func newClockRig(t *testing.T, step time.Duration) *clockRig {
	set := base()
	set.IndependentClock = true
	return &clockRig{rig: newRig(t, set), step: step}
}

// ask has a request of a class answered by whomever the router sends it to, after a while: with the position of its host,
// which a host is behind by some lag; it returns the host.
func (c *clockRig) ask(class int, took time.Duration, position func(h HostID, now time.Duration) time.Duration) (HostID, bool) {
	c.seq++
	id := RequestID(fmt.Sprint(c.seq))
	c.rig.ask(id, class)
	for _, a := range c.got {
		if s, ok := a.(Send); ok && s.Request == id {
			role := Replica
			if s.Host == "p" {
				role = Primary
			}
			c.at(took, Result{Request: id, Host: s.Host, Outcome: OK, Latency: took, Finished: true, Role: role,
				HasPosition: true, Position: position(s.Host, c.now+took+c.step)})
			return s.Host, true
		}
	}
	c.at(took, RequestAbandoned{Request: id})
	return "", false
}

// lagging are positions of replicas so far behind.
func lagging(lag time.Duration) func(HostID, time.Duration) time.Duration {
	return func(h HostID, now time.Duration) time.Duration {
		if h == "p" {
			return now
		}
		return now - lag
	}
}

// clockSteps are some; the router of the rig begins at 100 s, so that databases cannot be an hour behind it.
var clockSteps = []time.Duration{0, 50 * ms, -50 * ms, 900 * ms, 3 * time.Second, -3 * time.Second, time.Hour, -time.Minute}

// Whichever way the clock is off, replicas that are fresh serve bounded reads soon, and those that are not never do.
func TestReplicasAreJudgedByTheDatabasesClock(t *testing.T) {
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) {
			fresh, old := newClockRig(t, step), newClockRig(t, step)
			last := HostID("")
			for range 60 {
				fresh.ask(own, 20*ms, lagging(20*ms))
				last, _ = fresh.ask(recent, 20*ms, lagging(20*ms))
				old.ask(own, 20*ms, lagging(900*ms))
				host, sent := old.ask(recent, 20*ms, lagging(900*ms))
				assert.True(t, !sent || host == "p", "%s is 900 ms behind, 500 are allowed", host)
			}
			assert.Contains(t, []HostID{"a", "b"}, last)
		})
	}
}

// Two replicas that are next to the present confirm the clock where no primary answers; one does not, nor do two that lag.
func TestReplicasConfirmTheClock(t *testing.T) {
	for name, c := range map[string]struct {
		step, lag time.Duration
		hosts     []HostID
		want      bool
	}{
		"two":                 {0, 20 * ms, []HostID{"a", "b"}, true},
		"one, twice":          {0, 20 * ms, []HostID{"a", "a"}, false},
		"two that lag":        {0, 400 * ms, []HostID{"a", "b"}, false},
		"two behind a step":   {3 * time.Second, 20 * ms, []HostID{"a", "b"}, false},
		"two ahead of a step": {-3 * time.Second, 20 * ms, []HostID{"a", "b"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newClockRig(t, c.step).r
			for _, host := range c.hosts {
				r.observeDatabaseTime(&attempt{host: r.hosts[host], sentAt: r.now - 5*ms}, Replica, r.now+c.step-c.lag)
			}
			assert.Equal(t, c.want, r.knowsDatabaseTime())
		})
	}
}

// One answer that tells another time, or a log that stands still, moves no clock.
func TestOneAnswerMovesNoClock(t *testing.T) {
	c := newClockRig(t, 0)
	stood := c.now - 5*time.Second
	for i := range 60 {
		c.ask(latest, 30*ms, func(h HostID, now time.Duration) time.Duration {
			switch {
			case i == 7:
				return now + time.Hour
			case i > 20:
				return stood
			}
			return now
		})
		assert.Zero(t, c.r.clock.offset, "after %d", i)
	}
}

// Without a word of any primary the pages hold, by which every machine reads one clock.
func TestClockIsTrustedWhereNoPrimarySpeaks(t *testing.T) {
	set := base()
	set.IndependentClock = true
	c := &clockRig{rig: newRig(t, set, Member{Host: "a"}, Member{Host: "b"})}
	c.ask(own, 5*ms, lagging(10*ms))
	_, sent := c.ask(recent, 5*ms, lagging(10*ms))
	assert.False(t, sent, "its age cannot be told yet")
	c.at(clockTimeout)
	c.ask(own, 5*ms, lagging(10*ms))
	host, sent := c.ask(recent, 5*ms, lagging(10*ms))
	assert.True(t, sent, "%s", host)
}

// Whatever the step, the load, the lags and one spoilt answer in ten: no bounded read goes to a replica that is older than
// allowed by what it has told, but for the tolerance, twice (when a step is set, and when it is kept), and for what an answer
// leaves open: how long it took, and a grain each way.
func TestNoBoundedReadIsOlderThanTheDatabasesClockAllows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		step := time.Duration(rapid.Int64Range(-int64(time.Minute), int64(time.Minute)).Draw(rt, "step"))
		c := newClockRig(t, step)
		told := map[HostID]time.Duration{}
		const slack = 2*clockTolerance + 60*ms + 2*ms
		for range 80 {
			spoilt := rapid.IntRange(0, 9).Draw(rt, "spoilt") == 0
			lag := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "lag")) * ms
			took := time.Duration(rapid.IntRange(1, 60).Draw(rt, "took")) * ms
			class := rapid.SampledFrom([]int{own, recent, recent, latest, keyed}).Draw(rt, "class")
			begun := c.now + step
			host, sent := c.ask(class, took, func(h HostID, now time.Duration) time.Duration {
				if h == "p" && spoilt {
					return now + time.Duration(rapid.IntRange(-3000, 3000).Draw(rt, "off"))*ms
				}
				told[h+"!"] = lagging(lag)(h, now)
				return told[h+"!"]
			})
			if sent && class == recent && host != "p" {
				if age := begun - told[host]; age > 500*ms+slack {
					rt.Fatalf("a read went to %s, which has told a position %v old", host, age)
				}
			}
			if sent && host != "p" {
				told[host] = max(told[host], told[host+"!"])
			}
		}
	})
}
