package antientropy

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"lilaccove/internal/fleet/state"
)

var (
	capacityDir   = flag.String("capacity", "", "where BenchmarkCapacity writes sim-positions.json")
	capacityShort = flag.Bool("capacity-short", false, "few sizes")
)

const (
	simStart         = 1_800_000_000 * time.Second
	simStep          = 200 * time.Millisecond
	envelopeBytes    = 20 // bytes of internal/peer besides the body
	ageBinWidth      = time.Millisecond
	ageBinCount      = 1 << 16
	zones            = 11
	simTick          = 50 * time.Millisecond
	answersPerSecond = 2041 // of databases to each gateway
	sameRegionDelay  = time.Millisecond
)

// packet is a message in flight.
type packet struct {
	to   int
	size int
	body any
}

// node is a machine that spreads positions.
type node interface {
	observe(now time.Duration, db int, at time.Duration)
	tick(now time.Duration) []packet
	receive(now time.Duration, body any) []packet
}

// trial has the results of a run on the simulated network.
type trial struct {
	Part        string   `json:"part"`
	Mode        string   `json:"mode"`
	Gateways    int      `json:"gateways"`
	Databases   int      `json:"databases"`
	OneWayMS    float64  `json:"one_way_ms"` // between the three regions; 1 ms within one
	Loss        float64  `json:"loss"`
	Answers     string   `json:"answers"` // even: from all databases equally; home: nine of ten from those of the own zone
	AnswersPS   float64  `json:"answers_per_s"`
	Seconds     float64  `json:"seconds"`
	BytesOut    float64  `json:"bytes_out_per_s"`
	BytesOutMax float64  `json:"bytes_out_per_s_max"`
	BytesIn     float64  `json:"bytes_in_per_s"`
	BytesInMax  float64  `json:"bytes_in_per_s_max"`
	Window      float64  `json:"bytes_out_in_the_worst_second"`
	Messages    float64  `json:"messages_per_s"`
	Entries     float64  `json:"entries_told_per_s"`
	News        *float64 `json:"share_news"`      // of received entries, those that were newer
	NewsStep    *float64 `json:"share_news_step"` // newer by at least a step: 200 ms, of primaries 1 s
	AgeP50      float64  `json:"age_p50_ms"`
	AgeP99      float64  `json:"age_p99_ms"`
	AgeP999     float64  `json:"age_p99_9_ms"`
	OverASecond float64  `json:"share_older_than_1s"`
	Unknown     float64  `json:"share_unknown"`
	CatchUpS    *float64 `json:"catch_up_s,omitempty"` // until the mean age is within a quarter of the earlier one, or of the others'
	Event       string   `json:"event,omitempty"`
}

// arrival is a packet and the time of its arrival.
type arrival struct {
	packet
	at time.Duration
}

// simulation is a fleet in simulated time.
type simulation struct {
	rnd              *rand.Rand
	now              time.Duration
	n, d             int
	interRegionDelay time.Duration
	loss             float64
	sameZone         bool
	answerRate       float64
	nodes            []node
	known            [][]time.Duration // by gateway and database
	pending          map[time.Duration][]arrival
	out, in          []int
	bytesThisSecond  []int // sent in the current second
	worstSecond      int
	messages         int
	entries          int
	newer            int
	newerByStep      int
	partitioned      func(from, to int) bool
	unreachable      func(gateway, db int) bool // the database does not answer
	down             func(gateway int) bool
	step             time.Duration
	part             string
	index            map[string]int
}

func name(i int) string { return fmt.Sprintf("gateway-%03d", i) }

// region returns the region of a gateway: the zones are divided between three.
func region(gateway int) int { return gateway % zones % 3 }

func dbName(i int) string { return fmt.Sprintf("s-%04d", i) }

func newSimulation(seed uint64, n, d int, interRegionDelay time.Duration, loss float64, sameZone bool) *simulation {
	w := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 3)), now: simStart, n: n, d: d, interRegionDelay: interRegionDelay, loss: loss, sameZone: sameZone, answerRate: answersPerSecond, step: simStep, part: "positions",
		pending: map[time.Duration][]arrival{}, out: make([]int, n), in: make([]int, n), bytesThisSecond: make([]int, n),
	}
	for range n {
		w.known = append(w.known, make([]time.Duration, d))
	}
	return w
}

// advance keeps the greater time of a database as a gateway knows it.
func (w *simulation) advance(g, db int, at time.Duration) bool {
	if at <= w.known[g][db] {
		return false
	}
	w.known[g][db] = at
	return true
}

// countEntry counts a received entry.
func (w *simulation) countEntry(g, db int, at time.Duration) {
	w.entries++
	if at >= w.known[g][db]+w.step {
		w.newerByStep++
	}
	if w.advance(g, db, at) {
		w.newer++
	}
}

func (w *simulation) send(from int, list []packet) {
	for _, p := range list {
		w.out[from] += p.size
		w.bytesThisSecond[from] += p.size
		w.messages++
		if w.rnd.Float64() < w.loss || w.partitioned != nil && w.partitioned(from, p.to) {
			continue
		}
		delay := sameRegionDelay
		if region(from) != region(p.to) {
			delay = w.interRegionDelay
		}
		at := (w.now + delay + simTick - 1).Truncate(simTick)
		w.pending[at] = append(w.pending[at], arrival{p, at})
	}
}

// run advances the clock; in each tick answers of databases come before messages.
func (w *simulation) run(d time.Duration, sample func()) {
	answersPerTick := w.answerRate * simTick.Seconds()
	pendingAnswers := 0.0
	for end := w.now + d; w.now < end; {
		w.now += simTick
		pendingAnswers += answersPerTick
		count := int(pendingAnswers)
		pendingAnswers -= float64(count)
		for g := range w.n {
			if w.down != nil && w.down(g) {
				continue
			}
			for range count {
				db := w.rnd.IntN(w.d)
				if w.sameZone && w.d > zones && w.rnd.Float64() < 0.9 {
					db = db/zones*zones + g%zones
					if db >= w.d {
						continue
					}
				}
				if w.unreachable != nil && w.unreachable(g, db) {
					continue
				}
				at := w.now.Truncate(time.Millisecond)
				if w.advance(g, db, at) && w.nodes != nil {
					w.nodes[g].observe(w.now, db, at)
				}
			}
		}
		arrived := w.pending[w.now]
		delete(w.pending, w.now)
		for _, a := range arrived {
			if w.down != nil && w.down(a.to) {
				continue
			}
			w.in[a.to] += a.size
			w.send(a.to, w.nodes[a.to].receive(w.now, a.body))
		}
		for g, node := range w.nodes {
			if w.down != nil && w.down(g) {
				continue
			}
			w.send(g, node.tick(w.now))
		}
		if w.now%time.Second == 0 {
			for g := range w.bytesThisSecond {
				w.worstSecond = max(w.worstSecond, w.bytesThisSecond[g])
				w.bytesThisSecond[g] = 0
			}
		}
		if sample != nil && w.now%(500*time.Millisecond) == 0 {
			sample()
		}
	}
}

// ageHistogram is a histogram of the ages of known times.
type ageHistogram struct {
	bins       [ageBinCount]int
	total      int
	unknown    int
	overSecond int
}

func (a *ageHistogram) add(w *simulation) {
	for g := range w.n {
		for _, at := range w.known[g] {
			a.total++
			if at == 0 {
				a.unknown++
				a.overSecond++
				continue
			}
			age := w.now - at
			if age > time.Second {
				a.overSecond++
			}
			a.bins[min(int(age/ageBinWidth), ageBinCount-1)]++
		}
	}
}

func (a *ageHistogram) quantile(q float64) float64 {
	remaining := int(q * float64(a.total-a.unknown))
	for i, n := range a.bins {
		if remaining -= n; remaining < 0 {
			return float64(i) * ageBinWidth.Seconds() * 1000
		}
	}
	return -1
}

// measure runs a simulation and returns its results.
func (w *simulation) measure(mode string, before, window time.Duration) trial {
	w.run(before, nil)
	clear(w.out)
	clear(w.in)
	w.worstSecond, w.messages, w.entries, w.newer, w.newerByStep = 0, 0, 0, 0, 0
	a := &ageHistogram{}
	w.run(window, func() { a.add(w) })
	r := trial{
		Part: w.part, Mode: mode, Gateways: w.n, Databases: w.d, OneWayMS: float64(w.interRegionDelay) / 1e6, Loss: w.loss, Answers: "even", AnswersPS: w.answerRate,
		Seconds: window.Seconds(), Window: float64(w.worstSecond), AgeP50: a.quantile(0.5), AgeP99: a.quantile(0.99), AgeP999: a.quantile(0.999),
		OverASecond: float64(a.overSecond) / float64(a.total), Unknown: float64(a.unknown) / float64(a.total),
	}
	if w.sameZone {
		r.Answers = "home"
	}
	each := float64(w.n) * window.Seconds()
	for g := range w.n {
		r.BytesOut += float64(w.out[g]) / each
		r.BytesIn += float64(w.in[g]) / each
		r.BytesOutMax = max(r.BytesOutMax, float64(w.out[g])/window.Seconds())
		r.BytesInMax = max(r.BytesInMax, float64(w.in[g])/window.Seconds())
	}
	r.Messages, r.Entries = float64(w.messages)/each, float64(w.entries)/each
	if w.entries > 0 {
		news, step := float64(w.newer)/float64(w.entries), float64(w.newerByStep)/float64(w.entries)
		r.News, r.NewsStep = &news, &step
	}
	return r
}

// meanAge returns the mean age of what the included gateways know of all databases; unknown ones count as a minute.
func (w *simulation) meanAge(include func(g int) bool) float64 {
	sum, n := 0.0, 0
	for g := range w.n {
		if !include(g) {
			continue
		}
		for _, at := range w.known[g] {
			sum += min(w.now-at, time.Minute).Seconds()
			n++
		}
	}
	return sum / float64(n)
}

// catchUp returns the time until the mean age of the included gateways is within a quarter of the target.
func (w *simulation) catchUp(include func(g int) bool, target func() float64) *float64 {
	from := w.now
	for w.now < from+time.Minute {
		w.run(simTick, nil)
		if w.meanAge(include) <= 1.25*target() {
			d := (w.now - from).Seconds()
			return &d
		}
	}
	return nil
}

// restart replaces a gateway by one that knows nothing, and measures how long it takes to know as much as the others.
func (w *simulation) restart(mode string, newNode func(g int) node) trial {
	w.run(10*time.Second, nil)
	for db := range w.known[0] {
		w.known[0][db] = 0
	}
	if newNode != nil {
		w.nodes[0] = newNode(0)
	}
	before := w.out[0]
	from := w.now
	d := w.catchUp(func(g int) bool { return g == 0 }, func() float64 { return w.meanAge(func(g int) bool { return g > 0 }) })
	r := trial{Part: "positions", Mode: mode, Event: "a gateway starts", CatchUpS: d, Seconds: (w.now - from).Seconds()}
	return w.complete(r, w.out[0]-before)
}

// heal partitions one region with its databases from the others for 20 s, and measures how long it takes after the heal
// until the mean age is what it was before.
func (w *simulation) heal(mode string) trial {
	w.run(10*time.Second, nil)
	all := func(int) bool { return true }
	before := w.meanAge(all)
	inRegion := func(g int) bool { return region(g) == 0 }
	w.partitioned = func(from, to int) bool { return inRegion(from) != inRegion(to) }
	w.unreachable = func(g, db int) bool { return inRegion(g) != inRegion(db) } // a database is in the zone of its number
	w.run(20*time.Second, nil)
	w.partitioned, w.unreachable = nil, nil
	clear(w.out)
	w.worstSecond = 0
	from := w.now
	d := w.catchUp(all, func() float64 { return before })
	r := trial{Part: "positions", Mode: mode, Event: "a region is cut off for 20 s and comes back", CatchUpS: d, Seconds: (w.now - from).Seconds(), Window: float64(w.worstSecond)}
	sum := 0
	for _, b := range w.out {
		sum += b
		r.BytesOutMax = max(r.BytesOutMax, float64(b)/r.Seconds)
	}
	return w.complete(r, sum/w.n)
}

// complete fills in the parameters of the simulation.
func (w *simulation) complete(r trial, bytes int) trial {
	r.Gateways, r.Databases, r.OneWayMS, r.Loss, r.AnswersPS, r.Answers = w.n, w.d, float64(w.interRegionDelay)/1e6, w.loss, w.answerRate, "even"
	if w.sameZone {
		r.Answers = "home"
	}
	r.BytesOut = float64(bytes) / r.Seconds
	return r
}

// gossiper is a node that gossips positions to three others each tenth of a second, as with `positions: true`.
type gossiper struct {
	w       *simulation
	g       int
	p       *state.Positions
	encoder cbor.EncMode
	index   map[string]int
	next    time.Duration
}

func (w *simulation) addGossipers(t require.TestingT) {
	encoder, err := cbor.CoreDetEncOptions().EncMode()
	require.NoError(t, err)
	names, index := []string{}, map[string]int{}
	for i := range w.n {
		names = append(names, name(i))
		index[name(i)] = i
	}
	for i := range w.d {
		index[dbName(i)] = i
	}
	for g := range w.n {
		m := &gossiper{w: w, g: g, p: state.NewPositions(name(g), uint64(g), w.step, func(string) bool { return true }), encoder: encoder, index: index}
		m.p.SetMembers(names)
		m.next = w.now + time.Duration(g%2)*simTick
		w.nodes = append(w.nodes, m)
	}
}

func (m *gossiper) observe(_ time.Duration, db int, at time.Duration) { m.p.Observe(dbNames[db], at) }

var dbNames = func() (list []string) {
	for i := range 4096 {
		list = append(list, dbName(i))
	}
	return list
}()

func (m *gossiper) tick(now time.Duration) (out []packet) {
	if now < m.next {
		return nil
	}
	m.next = now + state.GossipInterval
	size := 0
	for _, s := range m.p.Tick() {
		if size == 0 {
			b, err := m.encoder.Marshal(s.Message)
			if err != nil {
				panic(err)
			}
			size = len(b) + envelopeBytes
		}
		out = append(out, packet{to: m.index[s.To], size: size, body: s.Message})
	}
	return out
}

func (m *gossiper) receive(now time.Duration, body any) []packet {
	msg := body.(state.PositionsMessage)
	for _, x := range msg.Positions {
		m.w.countEntry(m.g, m.index[x.Host], x.At)
	}
	m.p.Receive(now, msg)
	return nil
}

// reconciler is a node with a machine of this package.
type reconciler struct {
	w *simulation
	g int
	m *Machine
}

func (w *simulation) addReconcilers(bytes int, ofZone bool) {
	members := w.members(ofZone)
	w.index = map[string]int{}
	for i, o := range members {
		w.index[o.Name] = i
	}
	for g := range w.n {
		w.nodes = append(w.nodes, w.newReconciler(g, bytes, members))
	}
}

func (w *simulation) names() (names []string) {
	for i := range w.n {
		names = append(names, name(i))
	}
	return names
}

func (w *simulation) members(ofZone bool) (members []Member) {
	for i, n := range w.names() {
		o := Member{Name: n}
		if ofZone {
			o.Zone = fmt.Sprint("z", i%zones)
		}
		members = append(members, o)
	}
	return members
}

func (w *simulation) newReconciler(g, bytes int, members []Member) *reconciler {
	m := New(Config{Name: members[g].Name, Zone: members[g].Zone, Seed: w.rnd.Uint64(), BytesPerSecond: bytes, MessageOverhead: envelopeBytes + 3, Step: w.step}, w.now)
	m.SetMembers(members)
	m.SetDatabases(dbNames[:w.d])
	return &reconciler{w, g, m}
}

func (r *reconciler) observe(_ time.Duration, db int, at time.Duration) { r.m.Observe(dbNames[db], at) }

func (r *reconciler) tick(now time.Duration) []packet { return r.packets(r.m.Tick(now)) }

func (r *reconciler) packets(list []Send) (out []packet) {
	for _, s := range list {
		out = append(out, packet{to: r.w.index[s.To], size: len(s.Body) + envelopeBytes + 3, body: s.Body})
	}
	return out
}

func (r *reconciler) receive(now time.Duration, body any) []packet {
	msg, err := Parse(body.([]byte))
	if err != nil {
		panic(err)
	}
	for _, c := range msg.Entries {
		if c.At > 0 && (msg.Kind == Response || c.At > r.w.known[r.g][c.Index]) {
			r.w.countEntry(r.g, c.Index, c.At)
		}
	}
	out, _ := r.m.Receive(now, msg)
	return r.packets(out)
}

// BenchmarkCapacity measures the cost of spreading positions, and how old the knowledge of gateways is with and without it.
func BenchmarkCapacity(b *testing.B) {
	const command = "go test ./internal/fleet/antientropy -run ^$ -bench Capacity -benchtime 1x -timeout 30m -capacity $PWD/docs/capacity"
	for b.Loop() {
		rows := []trial{}
		add := func(r trial) {
			rows = append(rows, r)
			b.Logf("%+v", r)
			if *capacityDir != "" {
				text, err := json.MarshalIndent(map[string]any{"command": command, "kind": "trial", "seed": 27, "rows": rows}, "", " ")
				require.NoError(b, err)
				require.NoError(b, os.WriteFile(filepath.Join(*capacityDir, "sim-positions.json"), append(text, '\n'), 0o644))
			}
		}
		start := func(mode string, n, d int, oneWay time.Duration, loss float64, home bool) *simulation {
			w := newSimulation(27, n, d, oneWay, loss, home)
			switch mode {
			case "off":
			case "rumours":
				w.addGossipers(b)
			default:
				var bytes int
				_, err := fmt.Sscanf(mode, "anti-entropy %d/s", &bytes)
				require.NoError(b, err)
				w.addReconcilers(bytes, true)
			}
			return w
		}
		measure := func(mode string, n, d int, oneWay time.Duration, loss float64, home bool) {
			add(start(mode, n, d, oneWay, loss, home).measure(mode, 10*time.Second, 10*time.Second))
		}
		const budgeted = "anti-entropy 1500/s"
		databaseCounts, gatewayCounts := []int{8, 16, 30, 60, 120, 240, 810}, []int{8, 48, 300, 490}
		if *capacityShort {
			databaseCounts, gatewayCounts = []int{16, 120, 810}, []int{48}
		}
		for _, d := range databaseCounts {
			measure("off", 48, d, sameRegionDelay, 0, false)
			measure("rumours", 48, d, sameRegionDelay, 0, false)
			measure(budgeted, 48, d, sameRegionDelay, 0, false)
		}
		for _, n := range gatewayCounts {
			for _, d := range []int{120, 810} {
				measure("rumours", n, d, sameRegionDelay, 0, false)
				measure(budgeted, n, d, sameRegionDelay, 0, false)
			}
		}
		for _, home := range []bool{false, true} {
			for _, mode := range []string{"off", "rumours", "anti-entropy 800/s", budgeted, "anti-entropy 3000/s"} {
				measure(mode, 490, 810, 60*time.Millisecond, 0.02, home)
			}
		}
		if *capacityShort {
			return
		}
		// Answers as primary: one database of four, three answers in ten, with a step of one second.
		for _, d := range []int{30, 60, 120, 203} {
			for _, mode := range []string{"rumours", "anti-entropy 500/s"} {
				w := newSimulation(27, 48, d, 60*time.Millisecond, 0.02, false)
				w.part, w.step, w.answerRate = "primaries", time.Second, 0.3*answersPerSecond
				if mode == "rumours" {
					w.addGossipers(b)
				} else {
					w.addReconcilers(500, true)
				}
				add(w.measure(mode, 10*time.Second, 10*time.Second))
			}
		}
		for _, mode := range []string{"off", "rumours", budgeted} {
			w := start(mode, 245, 810, 60*time.Millisecond, 0.02, true)
			var restarted func(g int) node
			switch o := w.nodes; {
			case mode == "rumours":
				restarted = func(g int) node {
					m := *o[g].(*gossiper)
					m.p = state.NewPositions(name(g), 99, w.step, func(string) bool { return true })
					m.p.SetMembers(w.names())
					return &m
				}
			case o != nil:
				restarted = func(g int) node { return w.newReconciler(g, 1500, w.members(true)) }
			}
			add(w.restart(mode, restarted))
			add(start(mode, 245, 810, 60*time.Millisecond, 0.02, true).heal(mode))
		}
	}
}
