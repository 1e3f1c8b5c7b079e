package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The figures of docs/fleet-membership.md, in simulated time: go test -run '^$' -bench Fleet -benchtime 1x ./internal/fleet/membership

var sizes = []int{8, 48, 300, 1000}

// BenchmarkFleetNotice kills members and tells when others have noticed: in their lists, and in their views.
func BenchmarkFleetNotice(b *testing.B) {
	for _, n := range append([]int{16}, sizes[:3]...) {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var first, all, views []time.Duration
				for seed := range uint64(max(2, 200/n)) {
					w := joined(b, seed, n)
					for k := range 5 {
						victim, from := 2+k, w.now
						name := w.nodes[victim].name
						w.deaths = nil
						w.kill(victim)
						w.until(w.now+time.Minute, func() bool {
							for _, o := range w.up() {
								if o.sees(name) {
									return false
								}
							}
							return true
						})
						views = append(views, w.now-from)
						first = append(first, w.deaths[0].at-from)
						for _, d := range w.deaths {
							if d.name == name {
								all = append(all, d.at-from)
							}
						}
					}
				}
				report(b, "first", first)
				report(b, "list", all)
				report(b, "views", views)
			}
		})
	}
}

func report(b *testing.B, what string, list []time.Duration) {
	slices.Sort(list)
	b.ReportMetric(list[len(list)/2].Seconds(), what+"-p50-s")
	b.ReportMetric(list[(len(list)*99)/100].Seconds(), what+"-p99-s")
}

// BenchmarkFleetFalse runs for a minute without a death and counts those declared, and what each member sends.
func BenchmarkFleetFalse(b *testing.B) {
	for _, n := range sizes {
		for _, c := range []struct {
			name    string
			loss    float64
			starved bool
		}{{"calm", 0, false}, {"loss=10%", 0.1, false}, {"loss=20%", 0.2, false}, {"loss=30%", 0.3, false}, {"starved", 0, true}} {
			b.Run(fmt.Sprintf("%d/%s", n, c.name), func(b *testing.B) {
				for b.Loop() {
					w := joined(b, 7, n)
					w.run(45 * time.Second) // the news of the beginning have gone round
					clear(w.bytes)
					clear(w.sent)
					w.loss = c.loss
					if c.starved { // a tenth of the members stand still again and again
						for i := 0; i < n; i += 10 {
							starve(w, i, w.now+time.Minute)
						}
					}
					w.run(time.Minute)
					others, blamed := 0, 0
					for _, d := range w.deaths {
						if c.starved && starved(d.name) {
							blamed++ // it was silent
						} else {
							others++
						}
					}
					bytes, sent := 0, 0
					for i := range n {
						bytes += w.bytes[i]
						sent += w.sent[i]
					}
					b.ReportMetric(float64(others), "false-deaths")
					b.ReportMetric(float64(blamed), "starved-deaths")
					b.ReportMetric(float64(bytes)/float64(n)/60, "B/s/member")
					b.ReportMetric(float64(sent)/float64(n)/60, "msgs/s/member")
				}
			})
		}
	}
}

func starved(name string) bool {
	var i int
	_, _ = fmt.Sscanf(name, "n%d", &i)
	return i%10 == 0
}

// starve has a process run for up to 200 ms and stand still for up to a second, in turn.
func starve(w *network, i int, until time.Duration) {
	if w.now >= until {
		return
	}
	still := time.Duration(w.rnd.Int64N(int64(time.Second)))
	w.stop(i, still)
	w.at(w.now+still+time.Duration(w.rnd.Int64N(int64(200*time.Millisecond))), func() { starve(w, i, until) })
}

// BenchmarkFleetHeal cuts the fleet in halves for 20 s and tells when there is one view again.
func BenchmarkFleetHeal(b *testing.B) {
	for _, n := range sizes[:3] {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				var list []time.Duration
				for seed := range uint64(max(2, 40/n)) {
					w := joined(b, seed, n)
					w.cut = func(from, to int) bool { return (from < n/2) != (to < n/2) }
					w.run(20 * time.Second)
					w.cut = nil
					from := w.now
					w.until(w.now+2*time.Minute, func() bool { return w.agreed(n) })
					list = append(list, w.now-from)
				}
				report(b, "heal", list)
			}
		})
	}
}

// BenchmarkFleetHeartbeat is the baseline: each tells each other every 200 ms that it lives, and one that has been
// silent for five times that is dead.
func BenchmarkFleetHeartbeat(b *testing.B) {
	const period, limit = 200 * time.Millisecond, time.Second
	for _, n := range append([]int{16}, sizes...) {
		for _, loss := range []float64{0, 0.2, 0.3} {
			b.Run(fmt.Sprintf("%d/loss=%.0f%%", n, 100*loss), func(b *testing.B) {
				for b.Loop() {
					rnd := rand.New(rand.NewPCG(1, 1))
					deaths, pairs := 0, min(n*(n-1), 20_000) // pairs are alike and do not depend on each other
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
