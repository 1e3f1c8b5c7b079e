package run

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilaccove/internal/load/plan"
)

const (
	finest  = 1                // microsecond
	longest = 60 * 1000 * 1000 // microseconds; what takes longer counts as that long
	digits  = 3
)

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(finest, longest, digits) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), finest), longest))
}

// Recorder keeps what a run is judged by; its size does not grow with the run but by seconds.
type Recorder struct {
	plan *plan.Plan
	mu   sync.Mutex
	cell map[[2]int]*cell // by class and stage
	secs []second
	late *hdrhistogram.Histogram
	bad  []Stall
	n    int
}

type cell struct {
	counts           map[Outcome]int
	latency, service *hdrhistogram.Histogram // of what was served
	all              *hdrhistogram.Histogram // of everything that was sent
	tries            int
}

type second struct {
	Offered int     `json:"offered"`
	Served  int     `json:"served"` // in aim
	Worth   float64 `json:"worth"`
	Asked   float64 `json:"asked"`
}

// Stall is a moment at which the generator itself was late.
type Stall struct {
	At   time.Duration `json:"at_ns"`
	Late time.Duration `json:"late_ns"`
}

// NewRecorder makes an empty one.
func NewRecorder(p *plan.Plan) *Recorder {
	return &Recorder{plan: p, cell: map[[2]int]*cell{}, late: histogram()}
}

const mostStalls = 20 // kept one by one

// Add takes in one request.
func (r *Recorder) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := [2]int{s.Arrival.Class, s.Arrival.Stage}
	c := r.cell[at]
	if c == nil {
		c = &cell{counts: map[Outcome]int{}, latency: histogram(), service: histogram(), all: histogram()}
		r.cell[at] = c
	}
	r.n++
	c.counts[s.Outcome]++
	c.tries += s.Attempts
	record(r.late, s.Lateness)
	if s.Lateness > r.plan.MaxLateness && len(r.bad) < mostStalls {
		r.bad = append(r.bad, Stall{At: s.Arrival.At, Late: s.Lateness})
	}
	i, worth := int(s.Arrival.At/time.Second), r.plan.Classes[s.Arrival.Class].Worth
	for len(r.secs) <= i {
		r.secs = append(r.secs, second{})
	}
	r.secs[i].Offered++
	r.secs[i].Asked += worth
	if s.Outcome != NotSent {
		record(c.all, s.Latency)
	}
	if s.Outcome == InAim || s.Outcome == Late {
		record(c.latency, s.Latency)
		record(c.service, s.Service)
	}
	if s.Outcome == InAim {
		r.secs[i].Served++
		r.secs[i].Worth += worth
	}
}

// Percentiles are those of reports.
var Percentiles = []float64{50, 90, 99, 99.9, 100}

// Quantiles are milliseconds at those percentiles.
func quantiles(h *hdrhistogram.Histogram) (list []float64) {
	for _, p := range Percentiles {
		list = append(list, float64(h.ValueAtQuantile(p))/1000)
	}
	return list
}

// Report is a run as it is written down.
type Report struct {
	PlanID        string        `json:"plan"`
	Schedule      int           `json:"schedule"` // arrivals drawn
	Sent          int           `json:"sent"`
	Partial       bool          `json:"partial"` // interrupted
	Invalid       bool          `json:"invalid"` // the generator itself was late
	Rows          []Row         `json:"rows"`
	Total         Row           `json:"total"`
	Seconds       []second      `json:"seconds"`
	Stages        []StageSpan   `json:"stages"`
	Events        []plan.Event  `json:"events,omitempty"`
	Lateness      []float64     `json:"lateness_ms"`
	LatenessBound time.Duration `json:"lateness_bound_ns"`
	Stalls        []Stall       `json:"stalls,omitempty"`
	Goodput       float64       `json:"goodput"` // share of the worth asked for that was served in aim
	Faults        []string      `json:"faults,omitempty"`
	World         any           `json:"world,omitempty"`
	Curve         []Point       `json:"curve"`
}

// Point is one of the curve of latencies by percentile.
type Point struct {
	Percentile float64 `json:"p"`
	Latency    float64 `json:"latency_ms"`
	Service    float64 `json:"service_ms"`
}

// StageSpan is when a stage lasted, in seconds.
type StageSpan struct {
	Name  string  `json:"name"`
	Begin float64 `json:"from_s"`
	End   float64 `json:"to_s"`
}

// Row is one class in one stage, or all.
type Row struct {
	Class    string          `json:"class"`
	Stage    string          `json:"stage"`
	Count    int             `json:"count"`
	Attempts int             `json:"tries"`
	Counts   map[Outcome]int `json:"outcomes"`
	Latency  []float64       `json:"latency_ms"` // from the intended moment, at Percentiles, of what was served
	Service  []float64       `json:"service_ms"`
	All      []float64       `json:"all_ms"` // whatever became of it
}

// Report sums the run up.
func (r *Recorder) Report(schedule, sent int) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{
		PlanID: ID(r.plan, schedule), Schedule: schedule, Sent: sent, Partial: sent < schedule, Seconds: r.secs, Events: r.plan.Events,
		Lateness: quantiles(r.late), LatenessBound: r.plan.MaxLateness, Stalls: r.bad,
		Invalid: time.Duration(r.late.Max())*time.Microsecond > r.plan.MaxLateness,
	}
	slices.SortFunc(out.Stalls, func(a, b Stall) int { return cmp.Compare(a.At, b.At) }) // they came as they ended
	latency, service, all := histogram(), histogram(), histogram()
	total := Row{Class: "all", Stage: "all", Counts: map[Outcome]int{}}
	at := 0.0
	for i, s := range r.plan.Stages {
		end := at + s.Duration().Seconds()
		out.Stages = append(out.Stages, StageSpan{Name: s.Name, Begin: at, End: end})
		at = end
		for j, class := range r.plan.Classes {
			c := r.cell[[2]int{j, i}]
			if c == nil {
				continue
			}
			row := Row{Class: class.Name, Stage: s.Name, Attempts: c.tries, Counts: c.counts, Latency: quantiles(c.latency), Service: quantiles(c.service), All: quantiles(c.all)}
			for _, o := range Outcomes {
				row.Count += c.counts[o]
				total.Counts[o] += c.counts[o]
			}
			total.Count += row.Count
			total.Attempts += row.Attempts
			latency.Merge(c.latency)
			service.Merge(c.service)
			all.Merge(c.all)
			out.Rows = append(out.Rows, row)
		}
	}
	total.Latency, total.Service, total.All = quantiles(latency), quantiles(service), quantiles(all)
	out.Total = total
	for _, p := range slices.Concat(steps(0, 90, 2), steps(90, 99, 0.5), steps(99, 99.95, 0.05)) {
		out.Curve = append(out.Curve, Point{p, float64(latency.ValueAtQuantile(p)) / 1000, float64(service.ValueAtQuantile(p)) / 1000})
	}
	worth, asked := 0.0, 0.0
	for _, s := range r.secs {
		worth += s.Worth
		asked += s.Asked
	}
	if asked > 0 {
		out.Goodput = worth / asked
	}
	return out
}

func steps(from, to, by float64) (list []float64) {
	for x := from; x < to; x += by {
		list = append(list, x)
	}
	return list
}
