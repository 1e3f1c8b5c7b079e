package datapath

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"lilaccove/internal/standin"
)

// databaseSide is what the process of the databases is told.
type databaseSide struct {
	Databases int           `json:"databases"`
	GroupsOf  int           `json:"groups_of"`
	Cores     int           `json:"cores"`
	Queue     int           `json:"queue"`
	Service   time.Duration `json:"service_ns"`
	Lag       time.Duration `json:"lag_ns"`
	Seed      uint64        `json:"seed"`
}

// listening is its first line.
type listening struct {
	Discovery string          `json:"discovery"`
	List      json.RawMessage `json:"list"`
}

// PerDatabase is how many connections a database has at once, over all moments and all databases of a role.
type PerDatabase struct {
	Databases   int     `json:"databases"`
	Mean        float64 `json:"mean"`
	P99         float64 `json:"p99"`
	Max         int     `json:"max"`
	ShareAny    float64 `json:"share_of_time_with_one_or_more"`
	ShareOne    float64 `json:"share_of_time_with_just_one"`
	BusiestMean float64 `json:"busiest_mean"` // of the database with most
	PerSecond   float64 `json:"statements_per_s"`
}

// databaseReport is what it tells when asked; figures are since it was told to begin.
type databaseReport struct {
	Counts      standin.Counts         `json:"counts"` // since its start
	Connections int                    `json:"connections"`
	New         int                    `json:"new"` // connections
	Mean        float64                `json:"mean"`
	Max         int                    `json:"max"` // of all at once
	Per         map[string]PerDatabase `json:"per"`
	Heartbeat   Quantiles              `json:"heartbeat_ms"`
}

// books are what is counted between begin and report.
type books struct {
	w      *standin.World
	mu     sync.Mutex
	began  time.Time
	from   []standin.DatabaseLoad
	accept int
	per    [][]int // by database: connections at each moment
	total  []int
}

// Databases is the process of all databases and their discovery. It reads what it is told as a line of JSON, says where
// discovery is, and answers the lines {"do":"begin"} and {"do":"report"} until its input ends.
func Databases(in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return err
	}
	var set databaseSide
	if err := json.Unmarshal(first, &set); err != nil {
		return err
	}
	w, err := standin.New(standin.Options{
		Groups: set.Databases / set.GroupsOf, Members: set.GroupsOf, LastGroupMembers: set.Databases % set.GroupsOf, Cores: set.Cores, Queue: set.Queue,
		Service: set.Service, Exponential: true, Lag: set.Lag, Seed: set.Seed,
	})
	if err != nil {
		return err
	}
	defer w.Close()
	say := json.NewEncoder(out)
	if err := say.Encode(listening{w.Discovery().Addr, w.List()}); err != nil {
		return err
	}
	end := make(chan struct{})
	defer close(end)
	beats, beatEnd := histogram(), make(chan struct{})
	beaten := make(chan struct{})
	go func() {
		defer close(beaten)
		beat(beats, time.Now(), beatEnd)
	}()
	b := &books{w: w}
	go b.keep(end)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return nil // whoever started it has gone, or has done with it
		}
		var word struct{ Do string }
		if err := json.Unmarshal(line, &word); err != nil {
			return err
		}
		switch word.Do {
		case "begin":
			b.begin()
			err = say.Encode(struct{}{})
		case "count":
			n := 0
			for _, o := range w.DatabaseLoads() {
				n += o.Connections
			}
			err = say.Encode(databaseReport{Connections: n, Counts: w.Counts()})
		case "report":
			close(beatEnd)
			<-beaten
			r := b.report()
			r.Heartbeat = quantiles(beats)
			err = say.Encode(r)
		}
		if err != nil {
			return err
		}
	}
}

func (b *books) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.began, b.from, b.accept = time.Now(), b.w.DatabaseLoads(), b.w.Counts().Connections
	b.per, b.total = make([][]int, len(b.from)), nil
}

// keep looks again and again.
func (b *books) keep(end <-chan struct{}) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-end:
			return
		case <-tick.C:
		}
		b.mu.Lock()
		if b.from != nil {
			sum := 0
			for i, o := range b.w.DatabaseLoads() {
				b.per[i] = append(b.per[i], o.Connections)
				sum += o.Connections
			}
			b.total = append(b.total, sum)
		}
		b.mu.Unlock()
	}
}

func (b *books) report() databaseReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.w.DatabaseLoads()
	r := databaseReport{Counts: b.w.Counts(), Per: map[string]PerDatabase{}}
	if b.from == nil {
		return r
	}
	for _, o := range now {
		r.Connections += o.Connections
	}
	r.New = r.Counts.Connections - b.accept
	for _, n := range b.total {
		r.Mean += float64(n) / float64(len(b.total))
		r.Max = max(r.Max, n)
	}
	r.Mean = round(r.Mean, 1)
	seconds := time.Since(b.began).Seconds()
	for role, in := range map[string]func(standin.DatabaseLoad) bool{
		"all":     func(standin.DatabaseLoad) bool { return true },
		"primary": func(o standin.DatabaseLoad) bool { return o.Primary },
		"replica": func(o standin.DatabaseLoad) bool { return !o.Primary },
	} {
		var p PerDatabase
		var all []int
		for i, o := range now {
			if !in(o) {
				continue
			}
			p.Databases++
			p.PerSecond += float64(o.Begun-b.from[i].Begun) / seconds
			sum := 0
			for _, n := range b.per[i] {
				sum += n
			}
			p.BusiestMean = max(p.BusiestMean, round(float64(sum)/float64(max(1, len(b.per[i]))), 3))
			all = append(all, b.per[i]...)
		}
		p.PerSecond = round(p.PerSecond/float64(max(1, p.Databases)), 3)
		p.spread(all)
		r.Per[role] = p
	}
	return r
}

// spread fills in what the counts at all moments come to.
func (p *PerDatabase) spread(all []int) {
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	sum, some, one := 0, 0, 0
	for _, n := range all {
		sum += n
		if n > 0 {
			some++
		}
		if n == 1 {
			one++
		}
	}
	share := func(n int) float64 { return round(float64(n)/float64(len(all)), 4) }
	p.Mean, p.ShareAny, p.ShareOne = share(sum), share(some), share(one)
	p.P99, p.Max = float64(all[min(len(all)-1, len(all)*99/100)]), all[len(all)-1]
}
