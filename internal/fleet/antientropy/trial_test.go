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
	rnd                         *rand.Rand
	now                         time.Duration
	gatewayCount, databaseCount int
	interRegionDelay            time.Duration
	loss                        float64
	ownZone                     bool // nine of ten answers come from databases of the own zone
	answerRate                  float64
	nodes                       []node
	known                       [][]time.Duration // by gateway and database
	pending                     map[time.Duration][]arrival
	bytesOut, bytesIn           []int
	bytesThisSecond             []int // sent in the current second
	worstSecond                 int
	messages                    int
	entries                     int
	newer                       int
	newerByStep                 int
	partitioned                 func(from, to int) bool
	unreachable                 func(gateway, db int) bool // the database does not answer
	down                        func(gateway int) bool
	step                        time.Duration
	part                        string
	index                       map[string]int
}

func name(i int) string { return fmt.Sprintf("gateway-%03d", i) }

// region returns the region of a gateway: the zones are divided between three.
func region(gateway int) int { return gateway % zones % 3 }

func dbName(i int) string { return fmt.Sprintf("s-%04d", i) }

func newSimulation(seed uint64, gatewayCount, databaseCount int, interRegionDelay time.Duration, loss float64, ownZone bool) *simulation {
	sim := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 3)), now: simStart, gatewayCount: gatewayCount, databaseCount: databaseCount, interRegionDelay: interRegionDelay, loss: loss, ownZone: ownZone,
		answerRate: answersPerSecond, step: simStep, part: "positions",
		pending: map[time.Duration][]arrival{}, bytesOut: make([]int, gatewayCount), bytesIn: make([]int, gatewayCount), bytesThisSecond: make([]int, gatewayCount),
	}
	for range gatewayCount {
		sim.known = append(sim.known, make([]time.Duration, databaseCount))
	}
	return sim
}

// advance keeps the greater time of a database as a gateway knows it.
func (sim *simulation) advance(gateway, db int, at time.Duration) bool {
	if at <= sim.known[gateway][db] {
		return false
	}
	sim.known[gateway][db] = at
	return true
}

// countEntry counts a received entry.
func (sim *simulation) countEntry(gateway, db int, at time.Duration) {
	sim.entries++
	if at >= sim.known[gateway][db]+sim.step {
		sim.newerByStep++
	}
	if sim.advance(gateway, db, at) {
		sim.newer++
	}
}

func (sim *simulation) send(from int, list []packet) {
	for _, p := range list {
		sim.bytesOut[from] += p.size
		sim.bytesThisSecond[from] += p.size
		sim.messages++
		if sim.rnd.Float64() < sim.loss || sim.partitioned != nil && sim.partitioned(from, p.to) {
			continue
		}
		delay := sameRegionDelay
		if region(from) != region(p.to) {
			delay = sim.interRegionDelay
		}
		at := (sim.now + delay + simTick - 1).Truncate(simTick)
		sim.pending[at] = append(sim.pending[at], arrival{p, at})
	}
}

// run advances the clock; in each tick answers of databases come before messages.
func (sim *simulation) run(d time.Duration, sample func()) {
	answersPerTick := sim.answerRate * simTick.Seconds()
	pendingAnswers := 0.0
	for end := sim.now + d; sim.now < end; {
		sim.now += simTick
		pendingAnswers += answersPerTick
		count := int(pendingAnswers)
		pendingAnswers -= float64(count)
		for gateway := range sim.gatewayCount {
			if sim.down != nil && sim.down(gateway) {
				continue
			}
			for range count {
				db := sim.rnd.IntN(sim.databaseCount)
				if sim.ownZone && sim.databaseCount > zones && sim.rnd.Float64() < 0.9 {
					db = db/zones*zones + gateway%zones
					if db >= sim.databaseCount {
						continue
					}
				}
				if sim.unreachable != nil && sim.unreachable(gateway, db) {
					continue
				}
				at := sim.now.Truncate(time.Millisecond)
				if sim.advance(gateway, db, at) && sim.nodes != nil {
					sim.nodes[gateway].observe(sim.now, db, at)
				}
			}
		}
		arrived := sim.pending[sim.now]
		delete(sim.pending, sim.now)
		for _, arrival := range arrived {
			if sim.down != nil && sim.down(arrival.to) {
				continue
			}
			sim.bytesIn[arrival.to] += arrival.size
			sim.send(arrival.to, sim.nodes[arrival.to].receive(sim.now, arrival.body))
		}
		for gateway, node := range sim.nodes {
			if sim.down != nil && sim.down(gateway) {
				continue
			}
			sim.send(gateway, node.tick(sim.now))
		}
		if sim.now%time.Second == 0 {
			for gateway := range sim.bytesThisSecond {
				sim.worstSecond = max(sim.worstSecond, sim.bytesThisSecond[gateway])
				sim.bytesThisSecond[gateway] = 0
			}
		}
		if sample != nil && sim.now%(500*time.Millisecond) == 0 {
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

func (a *ageHistogram) add(sim *simulation) {
	for gateway := range sim.gatewayCount {
		for _, at := range sim.known[gateway] {
			a.total++
			if at == 0 {
				a.unknown++
				a.overSecond++
				continue
			}
			age := sim.now - at
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
func (sim *simulation) measure(mode string, before, window time.Duration) trial {
	sim.run(before, nil)
	clear(sim.bytesOut)
	clear(sim.bytesIn)
	sim.worstSecond, sim.messages, sim.entries, sim.newer, sim.newerByStep = 0, 0, 0, 0, 0
	histogram := &ageHistogram{}
	sim.run(window, func() { histogram.add(sim) })
	r := trial{
		Part: sim.part, Mode: mode, Gateways: sim.gatewayCount, Databases: sim.databaseCount, OneWayMS: float64(sim.interRegionDelay) / 1e6, Loss: sim.loss,
		Answers: "even", AnswersPS: sim.answerRate,
		Seconds: window.Seconds(), Window: float64(sim.worstSecond),
		AgeP50: histogram.quantile(0.5), AgeP99: histogram.quantile(0.99), AgeP999: histogram.quantile(0.999),
		OverASecond: float64(histogram.overSecond) / float64(histogram.total), Unknown: float64(histogram.unknown) / float64(histogram.total),
	}
	if sim.ownZone {
		r.Answers = "home"
	}
	each := float64(sim.gatewayCount) * window.Seconds()
	for gateway := range sim.gatewayCount {
		r.BytesOut += float64(sim.bytesOut[gateway]) / each
		r.BytesIn += float64(sim.bytesIn[gateway]) / each
		r.BytesOutMax = max(r.BytesOutMax, float64(sim.bytesOut[gateway])/window.Seconds())
		r.BytesInMax = max(r.BytesInMax, float64(sim.bytesIn[gateway])/window.Seconds())
	}
	r.Messages, r.Entries = float64(sim.messages)/each, float64(sim.entries)/each
	if sim.entries > 0 {
		newer, step := float64(sim.newer)/float64(sim.entries), float64(sim.newerByStep)/float64(sim.entries)
		r.News, r.NewsStep = &newer, &step
	}
	return r
}

// meanAge returns the mean age of what the included gateways know of all databases; unknown ones count as a minute.
func (sim *simulation) meanAge(include func(gateway int) bool) float64 {
	sum, n := 0.0, 0
	for g := range sim.gatewayCount {
		if !include(g) {
			continue
		}
		for _, at := range sim.known[g] {
			sum += min(sim.now-at, time.Minute).Seconds()
			n++
		}
	}
	return sum / float64(n)
}

// catchUp returns the time until the mean age of the included gateways is within a quarter of the target.
func (sim *simulation) catchUp(include func(g int) bool, target func() float64) *float64 {
	from := sim.now
	for sim.now < from+time.Minute {
		sim.run(simTick, nil)
		if sim.meanAge(include) <= 1.25*target() {
			seconds := (sim.now - from).Seconds()
			return &seconds
		}
	}
	return nil
}

// restart replaces a gateway by one that knows nothing, and measures how long it takes to know as much as the others.
func (sim *simulation) restart(mode string, newNode func(g int) node) trial {
	sim.run(10*time.Second, nil)
	for db := range sim.known[0] {
		sim.known[0][db] = 0
	}
	if newNode != nil {
		sim.nodes[0] = newNode(0)
	}
	before := sim.bytesOut[0]
	from := sim.now
	catchUpSeconds := sim.catchUp(func(g int) bool { return g == 0 }, func() float64 { return sim.meanAge(func(g int) bool { return g > 0 }) })
	r := trial{Part: "positions", Mode: mode, Event: "a gateway starts", CatchUpS: catchUpSeconds, Seconds: (sim.now - from).Seconds()}
	return sim.complete(r, sim.bytesOut[0]-before)
}

// heal partitions one region with its databases from the others for 20 s, and measures how long it takes after the heal
// until the mean age is what it was before.
func (sim *simulation) heal(mode string) trial {
	sim.run(10*time.Second, nil)
	all := func(int) bool { return true }
	before := sim.meanAge(all)
	inRegion := func(g int) bool { return region(g) == 0 }
	sim.partitioned = func(from, to int) bool { return inRegion(from) != inRegion(to) }
	sim.unreachable = func(g, db int) bool { return inRegion(g) != inRegion(db) } // a database is in the zone of its number
	sim.run(20*time.Second, nil)
	sim.partitioned, sim.unreachable = nil, nil
	clear(sim.bytesOut)
	sim.worstSecond = 0
	from := sim.now
	catchUpSeconds := sim.catchUp(all, func() float64 { return before })
	r := trial{
		Part: "positions", Mode: mode, Event: "a region is cut off for 20 s and comes back", CatchUpS: catchUpSeconds, Seconds: (sim.now - from).Seconds(),
		Window: float64(sim.worstSecond),
	}
	sum := 0
	for _, b := range sim.bytesOut {
		sum += b
		r.BytesOutMax = max(r.BytesOutMax, float64(b)/r.Seconds)
	}
	return sim.complete(r, sum/sim.gatewayCount)
}

// complete fills in the parameters of the simulation.
func (sim *simulation) complete(r trial, bytes int) trial {
	r.Gateways, r.Databases, r.OneWayMS, r.Loss, r.AnswersPS, r.Answers = sim.gatewayCount, sim.databaseCount, float64(sim.interRegionDelay)/1e6, sim.loss, sim.answerRate, "even"
	if sim.ownZone {
		r.Answers = "home"
	}
	r.BytesOut = float64(bytes) / r.Seconds
	return r
}

// gossiper is a node that gossips positions to three others each tenth of a second, as with `positions: true`.
type gossiper struct {
	sim       *simulation
	gateway   int
	positions *state.Positions
	encoder   cbor.EncMode
	index     map[string]int
	next      time.Duration
}

func (sim *simulation) addGossipers(t require.TestingT) {
	encoder, err := cbor.CoreDetEncOptions().EncMode()
	require.NoError(t, err)
	names, index := []string{}, map[string]int{}
	for i := range sim.gatewayCount {
		names = append(names, name(i))
		index[name(i)] = i
	}
	for i := range sim.databaseCount {
		index[dbName(i)] = i
	}
	for gateway := range sim.gatewayCount {
		m := &gossiper{
			sim: sim, gateway: gateway,
			positions: state.NewPositions(name(gateway), uint64(gateway), sim.step, func(string) bool { return true }),
			encoder:   encoder, index: index,
		}
		m.positions.SetMembers(names)
		m.next = sim.now + time.Duration(gateway%2)*simTick
		sim.nodes = append(sim.nodes, m)
	}
}

func (m *gossiper) observe(_ time.Duration, db int, at time.Duration) {
	m.positions.Observe(dbNames[db], at)
}

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
	for _, s := range m.positions.Tick() {
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
	for _, position := range msg.Positions {
		m.sim.countEntry(m.gateway, m.index[position.Host], position.At)
	}
	m.positions.Receive(now, msg)
	return nil
}

// reconciler is a node with a machine of this package.
type reconciler struct {
	sim     *simulation
	gateway int
	machine *Machine
}

func (sim *simulation) addReconcilers(bytes int, zoned bool) {
	members := sim.members(zoned)
	sim.index = map[string]int{}
	for i, member := range members {
		sim.index[member.Name] = i
	}
	for gateway := range sim.gatewayCount {
		sim.nodes = append(sim.nodes, sim.newReconciler(gateway, bytes, members))
	}
}

func (sim *simulation) names() (names []string) {
	for i := range sim.gatewayCount {
		names = append(names, name(i))
	}
	return names
}

func (sim *simulation) members(zoned bool) (members []Member) {
	for i, n := range sim.names() {
		member := Member{Name: n}
		if zoned {
			member.Zone = fmt.Sprint("z", i%zones)
		}
		members = append(members, member)
	}
	return members
}

func (sim *simulation) newReconciler(gateway, bytes int, members []Member) *reconciler {
	machine := New(Config{
		Name: members[gateway].Name, Zone: members[gateway].Zone, Seed: sim.rnd.Uint64(), BytesPerSecond: bytes,
		MessageOverhead: envelopeBytes + 3, Step: sim.step,
	}, sim.now)
	machine.SetMembers(members)
	machine.SetDatabases(dbNames[:sim.databaseCount])
	return &reconciler{sim, gateway, machine}
}

func (r *reconciler) observe(_ time.Duration, db int, at time.Duration) {
	r.machine.Observe(dbNames[db], at)
}

func (r *reconciler) tick(now time.Duration) []packet { return r.packets(r.machine.Tick(now)) }

func (r *reconciler) packets(list []Send) (out []packet) {
	for _, s := range list {
		out = append(out, packet{to: r.sim.index[s.To], size: len(s.Body) + envelopeBytes + 3, body: s.Body})
	}
	return out
}

func (r *reconciler) receive(now time.Duration, body any) []packet {
	msg, err := Parse(body.([]byte))
	if err != nil {
		panic(err)
	}
	for _, entry := range msg.Entries {
		if entry.At > 0 && (msg.Kind == Response || entry.At > r.sim.known[r.gateway][entry.Index]) {
			r.sim.countEntry(r.gateway, entry.Index, entry.At)
		}
	}
	out, _ := r.machine.Receive(now, msg)
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
		start := func(mode string, n, d int, interRegionDelay time.Duration, loss float64, ownZone bool) *simulation {
			sim := newSimulation(27, n, d, interRegionDelay, loss, ownZone)
			switch mode {
			case "off":
			case "rumours":
				sim.addGossipers(b)
			default:
				var bytes int
				_, err := fmt.Sscanf(mode, "anti-entropy %d/s", &bytes)
				require.NoError(b, err)
				sim.addReconcilers(bytes, true)
			}
			return sim
		}
		measure := func(mode string, n, d int, interRegionDelay time.Duration, loss float64, ownZone bool) {
			add(start(mode, n, d, interRegionDelay, loss, ownZone).measure(mode, 10*time.Second, 10*time.Second))
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
		for _, ownZone := range []bool{false, true} {
			for _, mode := range []string{"off", "rumours", "anti-entropy 800/s", budgeted, "anti-entropy 3000/s"} {
				measure(mode, 490, 810, 60*time.Millisecond, 0.02, ownZone)
			}
		}
		if *capacityShort {
			return
		}
		// Answers as primary: one database of four, three answers in ten, with a step of one second.
		for _, d := range []int{30, 60, 120, 203} {
			for _, mode := range []string{"rumours", "anti-entropy 500/s"} {
				sim := newSimulation(27, 48, d, 60*time.Millisecond, 0.02, false)
				sim.part, sim.step, sim.answerRate = "primaries", time.Second, 0.3*answersPerSecond
				if mode == "rumours" {
					sim.addGossipers(b)
				} else {
					sim.addReconcilers(500, true)
				}
				add(sim.measure(mode, 10*time.Second, 10*time.Second))
			}
		}
		for _, mode := range []string{"off", "rumours", budgeted} {
			sim := start(mode, 245, 810, 60*time.Millisecond, 0.02, true)
			var newNode func(g int) node
			switch nodes := sim.nodes; {
			case mode == "rumours":
				newNode = func(g int) node {
					m := *nodes[g].(*gossiper)
					m.positions = state.NewPositions(name(g), 99, sim.step, func(string) bool { return true })
					m.positions.SetMembers(sim.names())
					return &m
				}
			case nodes != nil:
				newNode = func(g int) node { return sim.newReconciler(g, 1500, sim.members(true)) }
			}
			add(sim.restart(mode, newNode))
			add(start(mode, 245, 810, 60*time.Millisecond, 0.02, true).heal(mode))
		}
	}
}
