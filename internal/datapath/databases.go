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

// databaseSettings is the first line that the databases' process receives.
type databaseSettings struct {
	Databases int           `json:"databases"`
	GroupsOf  int           `json:"groups_of"`
	Cores     int           `json:"cores"`
	Queue     int           `json:"queue"`
	Service   time.Duration `json:"service_ns"`
	Lag       time.Duration `json:"lag_ns"`
	Seed      uint64        `json:"seed"`
}

// databaseAddrs is the first line that the databases' process sends.
type databaseAddrs struct {
	Discovery string          `json:"discovery"`
	List      json.RawMessage `json:"list"`
}

// PerDatabase is the distribution of the connections to a database, over all samples and all databases of a role.
type PerDatabase struct {
	Databases   int     `json:"databases"`
	Mean        float64 `json:"mean"`
	P99         float64 `json:"p99"`
	Max         int     `json:"max"`
	ShareAny    float64 `json:"share_of_time_with_one_or_more"`
	ShareOne    float64 `json:"share_of_time_with_just_one"`
	BusiestMean float64 `json:"busiest_mean"` // of the database with the highest mean
	PerSecond   float64 `json:"statements_per_s"`
}

// databaseReport is its response to count and report; the figures cover the time since begin.
type databaseReport struct {
	Counts      standin.Counts         `json:"counts"` // since its start
	Connections int                    `json:"connections"`
	New         int                    `json:"new"` // connections accepted
	Mean        float64                `json:"mean"`
	Max         int                    `json:"max"` // of all databases together
	PerDatabase map[string]PerDatabase `json:"per"`
	Heartbeat   Quantiles              `json:"heartbeat_ms"`
}

// connectionStats are sampled between begin and report.
type connectionStats struct {
	world               *standin.World
	mu                  sync.Mutex
	began               time.Time
	baseline            []standin.DatabaseLoad
	baselineConnections int
	perDatabase         [][]int // by database: connections in each sample
	total               []int
}

// RunDatabases runs the process of all databases and their discovery. It reads its settings as a line of JSON, writes the address
// of discovery, and answers {"do":"begin"}, {"do":"count"} and {"do":"report"} until its input ends.
func RunDatabases(in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return err
	}
	var settings databaseSettings
	if err := json.Unmarshal(first, &settings); err != nil {
		return err
	}
	world, err := standin.New(standin.Options{
		Groups: settings.Databases / settings.GroupsOf, Members: settings.GroupsOf, LastGroupMembers: settings.Databases % settings.GroupsOf, Cores: settings.Cores, Queue: settings.Queue,
		Service: settings.Service, Exponential: true, Lag: settings.Lag, Seed: settings.Seed,
	})
	if err != nil {
		return err
	}
	defer world.Close()
	encoder := json.NewEncoder(out)
	if err := encoder.Encode(databaseAddrs{world.Discovery().Addr, world.List()}); err != nil {
		return err
	}
	end := make(chan struct{})
	defer close(end)
	heartbeats, heartbeatEnd := histogram(), make(chan struct{})
	heartbeatsEnded := make(chan struct{})
	go func() {
		defer close(heartbeatsEnded)
		recordHeartbeats(heartbeats, time.Now(), heartbeatEnd)
	}()
	stats := &connectionStats{world: world}
	go stats.sample(end)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return nil // the parent process has ended or closed the pipe
		}
		var command struct{ Do string }
		if err := json.Unmarshal(line, &command); err != nil {
			return err
		}
		switch command.Do {
		case "begin":
			stats.begin()
			err = encoder.Encode(struct{}{})
		case "count":
			n := 0
			for _, o := range world.DatabaseLoads() {
				n += o.Connections
			}
			err = encoder.Encode(databaseReport{Connections: n, Counts: world.Counts()})
		case "report":
			close(heartbeatEnd)
			<-heartbeatsEnded
			r := stats.report()
			r.Heartbeat = quantiles(heartbeats)
			err = encoder.Encode(r)
		}
		if err != nil {
			return err
		}
	}
}

func (s *connectionStats) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began, s.baseline, s.baselineConnections = time.Now(), s.world.DatabaseLoads(), s.world.Counts().Connections
	s.perDatabase, s.total = make([][]int, len(s.baseline)), nil
}

// sample counts the connections of each database at every sampleInterval.
func (s *connectionStats) sample(end <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-end:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		if s.baseline != nil {
			sum := 0
			for i, o := range s.world.DatabaseLoads() {
				s.perDatabase[i] = append(s.perDatabase[i], o.Connections)
				sum += o.Connections
			}
			s.total = append(s.total, sum)
		}
		s.mu.Unlock()
	}
}

func (s *connectionStats) report() databaseReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.world.DatabaseLoads()
	r := databaseReport{Counts: s.world.Counts(), PerDatabase: map[string]PerDatabase{}}
	if s.baseline == nil {
		return r
	}
	for _, o := range now {
		r.Connections += o.Connections
	}
	r.New = r.Counts.Connections - s.baselineConnections
	for _, n := range s.total {
		r.Mean += float64(n) / float64(len(s.total))
		r.Max = max(r.Max, n)
	}
	r.Mean = round(r.Mean, 1)
	seconds := time.Since(s.began).Seconds()
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
			p.PerSecond += float64(o.Begun-s.baseline[i].Begun) / seconds
			sum := 0
			for _, n := range s.perDatabase[i] {
				sum += n
			}
			p.BusiestMean = max(p.BusiestMean, round(float64(sum)/float64(max(1, len(s.perDatabase[i]))), 3))
			all = append(all, s.perDatabase[i]...)
		}
		p.PerSecond = round(p.PerSecond/float64(max(1, p.Databases)), 3)
		p.setDistribution(all)
		r.PerDatabase[role] = p
	}
	return r
}

// setDistribution sets the figures that follow from the counts in all samples.
func (p *PerDatabase) setDistribution(all []int) {
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
