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
	minLatencyMicros  = 1
	maxLatencyMicros  = 60 * 1000 * 1000 // longer latencies are recorded as this
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// Recorder collects the statistics of a run. Its size grows with the duration of the run, not with the requests.
type Recorder struct {
	plan     *plan.Plan
	mu       sync.Mutex
	cells    map[[2]int]*classStageStats // by class and stage
	seconds  []second
	lateness *hdrhistogram.Histogram
	stalls   []Stall
	samples  int
}

// classStageStats holds the statistics of one class in one stage.
type classStageStats struct {
	counts           map[Outcome]int
	latency, service *hdrhistogram.Histogram // of served requests
	all              *hdrhistogram.Histogram // of all requests sent
	attempts         int
}

// second holds the totals of the arrivals due in one second of the run.
type second struct {
	Offered      int     `json:"offered"`
	Served       int     `json:"served"` // within the aim
	Worth        float64 `json:"worth"`
	WorthOffered float64 `json:"asked"`
}

// Stall is a request that the generator started late.
type Stall struct {
	At   time.Duration `json:"at_ns"`
	Late time.Duration `json:"late_ns"`
}

// NewRecorder returns an empty recorder.
func NewRecorder(p *plan.Plan) *Recorder {
	return &Recorder{plan: p, cells: map[[2]int]*classStageStats{}, lateness: newHistogram()}
}

const maxStalls = 20 // listed in a report

// Add records one finished request.
func (r *Recorder) Add(sample Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := [2]int{sample.Arrival.Class, sample.Arrival.Stage}
	stats := r.cells[key]
	if stats == nil {
		stats = &classStageStats{counts: map[Outcome]int{}, latency: newHistogram(), service: newHistogram(), all: newHistogram()}
		r.cells[key] = stats
	}
	r.samples++
	stats.counts[sample.Outcome]++
	stats.attempts += sample.Attempts
	record(r.lateness, sample.Lateness)
	if sample.Lateness > r.plan.MaxLateness && len(r.stalls) < maxStalls {
		r.stalls = append(r.stalls, Stall{At: sample.Arrival.At, Late: sample.Lateness})
	}
	sec, worth := int(sample.Arrival.At/time.Second), r.plan.Classes[sample.Arrival.Class].Worth
	for len(r.seconds) <= sec {
		r.seconds = append(r.seconds, second{})
	}
	r.seconds[sec].Offered++
	r.seconds[sec].WorthOffered += worth
	if sample.Outcome != NotSent {
		record(stats.all, sample.Latency)
	}
	if sample.Outcome == InAim || sample.Outcome == Late {
		record(stats.latency, sample.Latency)
		record(stats.service, sample.Service)
	}
	if sample.Outcome == InAim {
		r.seconds[sec].Served++
		r.seconds[sec].Worth += worth
	}
}

// Percentiles lists the percentiles in reports.
var Percentiles = []float64{50, 90, 99, 99.9, 100}

// percentiles returns the values at [Percentiles], in ms.
func percentiles(h *hdrhistogram.Histogram) (list []float64) {
	for _, p := range Percentiles {
		list = append(list, float64(h.ValueAtQuantile(p))/1000)
	}
	return list
}

// Report is the result of a run.
type Report struct {
	PlanID        string        `json:"plan"`
	Schedule      int           `json:"schedule"` // number of scheduled arrivals
	Sent          int           `json:"sent"`
	Partial       bool          `json:"partial"` // the run was interrupted
	Invalid       bool          `json:"invalid"` // the generator was late by more than the bound
	Rows          []Row         `json:"rows"`
	Total         Row           `json:"total"`
	Seconds       []second      `json:"seconds"`
	Stages        []StageSpan   `json:"stages"`
	Events        []plan.Event  `json:"events,omitempty"`
	Lateness      []float64     `json:"lateness_ms"`
	LatenessBound time.Duration `json:"lateness_bound_ns"`
	Stalls        []Stall       `json:"stalls,omitempty"`
	Goodput       float64       `json:"goodput"` // share of the offered worth that was served within the aim
	Faults        []string      `json:"faults,omitempty"`
	World         any           `json:"world,omitempty"`
	Curve         []Point       `json:"curve"`
}

// Point is a point of the curve of latency by percentile.
type Point struct {
	Percentile float64 `json:"p"`
	Latency    float64 `json:"latency_ms"`
	Service    float64 `json:"service_ms"`
}

// StageSpan is the begin and end of a stage, in seconds of the run.
type StageSpan struct {
	Name  string  `json:"name"`
	Begin float64 `json:"from_s"`
	End   float64 `json:"to_s"`
}

// Row holds the results of one class in one stage, or of the whole run.
type Row struct {
	Class    string          `json:"class"`
	Stage    string          `json:"stage"`
	Count    int             `json:"count"`
	Attempts int             `json:"tries"`
	Counts   map[Outcome]int `json:"outcomes"`
	Latency  []float64       `json:"latency_ms"` // from the scheduled time, at Percentiles, of served requests
	Service  []float64       `json:"service_ms"`
	All      []float64       `json:"all_ms"` // of all requests sent, whatever their outcome
}

// Report returns the results recorded so far.
func (r *Recorder) Report(schedule, sent int) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		PlanID: ID(r.plan, schedule), Schedule: schedule, Sent: sent, Partial: sent < schedule, Seconds: r.seconds, Events: r.plan.Events,
		Lateness: percentiles(r.lateness), LatenessBound: r.plan.MaxLateness, Stalls: r.stalls,
		Invalid: time.Duration(r.lateness.Max())*time.Microsecond > r.plan.MaxLateness,
	}
	slices.SortFunc(report.Stalls, func(a, b Stall) int { return cmp.Compare(a.At, b.At) }) // they were added in the order in which requests finished
	latency, service, all := newHistogram(), newHistogram(), newHistogram()
	total := Row{Class: "all", Stage: "all", Counts: map[Outcome]int{}}
	start := 0.0
	for stageIndex, stage := range r.plan.Stages {
		end := start + stage.Duration().Seconds()
		report.Stages = append(report.Stages, StageSpan{Name: stage.Name, Begin: start, End: end})
		start = end
		for classIndex, class := range r.plan.Classes {
			stats := r.cells[[2]int{classIndex, stageIndex}]
			if stats == nil {
				continue
			}
			row := Row{Class: class.Name, Stage: stage.Name, Attempts: stats.attempts, Counts: stats.counts, Latency: percentiles(stats.latency), Service: percentiles(stats.service), All: percentiles(stats.all)}
			for _, outcome := range Outcomes {
				row.Count += stats.counts[outcome]
				total.Counts[outcome] += stats.counts[outcome]
			}
			total.Count += row.Count
			total.Attempts += row.Attempts
			latency.Merge(stats.latency)
			service.Merge(stats.service)
			all.Merge(stats.all)
			report.Rows = append(report.Rows, row)
		}
	}
	total.Latency, total.Service, total.All = percentiles(latency), percentiles(service), percentiles(all)
	report.Total = total
	for _, p := range slices.Concat(steps(0, 90, 2), steps(90, 99, 0.5), steps(99, 99.95, 0.05)) {
		report.Curve = append(report.Curve, Point{p, float64(latency.ValueAtQuantile(p)) / 1000, float64(service.ValueAtQuantile(p)) / 1000})
	}
	worth, offered := 0.0, 0.0
	for _, s := range r.seconds {
		worth += s.Worth
		offered += s.WorthOffered
	}
	if offered > 0 {
		report.Goodput = worth / offered
	}
	return report
}

// steps returns from, from+by and so on, as long as they are below to.
func steps(from, to, by float64) (list []float64) {
	for x := from; x < to; x += by {
		list = append(list, x)
	}
	return list
}
