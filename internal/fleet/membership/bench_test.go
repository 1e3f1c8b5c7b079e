package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The figures of docs/fleet-membership.md, in simulated time: go test -run '^$' -bench Fleet -benchtime 1x ./internal/fleet/membership

var fleetSizes = []int{8, 48, 300, 1000}

// BenchmarkFleetNotice measures how long after a kill the member is dead in other members' lists, and out of their
// views.
func BenchmarkFleetNotice(b *testing.B) {
	for _, n := range append([]int{16}, fleetSizes[:3]...) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var first, all, views []time.Duration
				for seed := range uint64(max(2, 200/n)) {
					w := joinedFleet(b, seed, n)
					for k := range 5 {
						victim, killedAt := 2+k, w.now
						name := w.nodes[victim].name
						w.deaths = nil
						w.kill(victim)
						w.runUntil(w.now+time.Minute, func() bool {
							for _, observer := range w.running() {
								if observer.sees(name) {
									return false
								}
							}
							return true
						})
						views = append(views, w.now-killedAt)
						first = append(first, w.deaths[0].at-killedAt)
						for _, d := range w.deaths {
							if d.name == name {
								all = append(all, d.at-killedAt)
							}
						}
					}
				}
				reportPercentiles(b, "first", first)
				reportPercentiles(b, "list", all)
				reportPercentiles(b, "views", views)
			}
		})
	}
}

func reportPercentiles(b *testing.B, name string, durations []time.Duration) {
	slices.Sort(durations)
	b.ReportMetric(durations[len(durations)/2].Seconds(), name+"-p50-s")
	b.ReportMetric(durations[(len(durations)*99)/100].Seconds(), name+"-p99-s")
}

// BenchmarkFleetFalse runs a fleet for a minute in which no member dies, and reports the deaths declared and what each
// member sends.
func BenchmarkFleetFalse(b *testing.B) {
	for _, n := range fleetSizes {
		for _, c := range []struct {
			name    string
			loss    float64
			starved bool
		}{{"calm", 0, false}, {"loss=10%", 0.1, false}, {"loss=20%", 0.2, false}, {"loss=30%", 0.3, false}, {"starved", 0, true}} {
			b.Run(fmt.Sprintf("%d/%s", n, c.name), func(b *testing.B) {
				for b.Loop() {
					w := joinedFleet(b, 7, n)
					w.run(45 * time.Second) // until the updates of the start are disseminated
					clear(w.bytes)
					clear(w.sent)
					w.loss = c.loss
					if c.starved { // a tenth of the members pause repeatedly
						for i := 0; i < n; i += 10 {
							starve(w, i, w.now+time.Minute)
						}
					}
					w.run(time.Minute)
					falseDeaths, starvedDeaths := 0, 0
					for _, d := range w.deaths {
						if c.starved && isStarved(d.name) {
							starvedDeaths++ // the declared member was starved
						} else {
							falseDeaths++
						}
					}
					bytes, sent := 0, 0
					for i := range n {
						bytes += w.bytes[i]
						sent += w.sent[i]
					}
					b.ReportMetric(float64(falseDeaths), "false-deaths")
					b.ReportMetric(float64(starvedDeaths), "starved-deaths")
					b.ReportMetric(float64(bytes)/float64(n)/60, "B/s/member")
					b.ReportMetric(float64(sent)/float64(n)/60, "msgs/s/member")
				}
			})
		}
	}
}

func isStarved(name string) bool {
	var i int
	_, _ = fmt.Sscanf(name, "n%d", &i)
	return i%10 == 0
}

// starve alternates pauses of up to a second with runs of up to 200 ms.
func starve(w *network, i int, until time.Duration) {
	if w.now >= until {
		return
	}
	pause := time.Duration(w.rng.Int64N(int64(time.Second)))
	w.pause(i, pause)
	w.schedule(w.now+pause+time.Duration(w.rng.Int64N(int64(200*time.Millisecond))), func() { starve(w, i, until) })
}

// BenchmarkFleetHeal partitions the fleet into halves for 20 s and measures how long the views take to agree again.
func BenchmarkFleetHeal(b *testing.B) {
	for _, n := range fleetSizes[:3] {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var healTimes []time.Duration
				for seed := range uint64(max(2, 40/n)) {
					w := joinedFleet(b, seed, n)
					w.cut = func(from, to int) bool { return (from < n/2) != (to < n/2) }
					w.run(20 * time.Second)
					w.cut = nil
					healedAt := w.now
					w.runUntil(w.now+2*time.Minute, func() bool { return w.viewsAgree(n) })
					healTimes = append(healTimes, w.now-healedAt)
				}
				reportPercentiles(b, "heal", healTimes)
			}
		})
	}
}

// BenchmarkFleetHeartbeat is the baseline: every member sends a heartbeat to every other each 200 ms, and a member
// that was silent for five periods is dead.
func BenchmarkFleetHeartbeat(b *testing.B) {
	const period, limit = 200 * time.Millisecond, time.Second
	for _, n := range append([]int{16}, fleetSizes...) {
		for _, loss := range []float64{0, 0.2, 0.3} {
			b.Run(fmt.Sprintf("%d/loss=%.0f%%", n, 100*loss), func(b *testing.B) {
				for b.Loop() {
					rnd := rand.New(rand.NewPCG(1, 1))
					deaths, pairs := 0, min(n*(n-1), 20_000) // a sample suffices: pairs are identically distributed and independent
					for range pairs {
						silent := time.Duration(0)
						for at := time.Duration(0); at < time.Minute; at += period {
							if silent += period; rnd.Float64() >= loss {
								silent = 0
							} else if silent == limit {
								deaths++
							}
						}
					}
					b.ReportMetric(float64(deaths)*float64(n*(n-1))/float64(pairs), "false-deaths")
					b.ReportMetric(float64(n-1)*100/period.Seconds(), "B/s/member")
					b.ReportMetric((limit + period/2).Seconds(), "list-p50-s")
					b.ReportMetric((limit + period).Seconds(), "list-p99-s")
				}
			})
		}
	}
}
