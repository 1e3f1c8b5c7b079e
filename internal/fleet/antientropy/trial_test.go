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
	simEpoch  = 1_800_000_000 * time.Second
	simStep   = 200 * time.Millisecond
	envelope  = 20 // bytes of internal/peer besides the body
	ageGrain  = time.Millisecond
	ageBins   = 1 << 16
	zones     = 11
	simTick   = 50 * time.Millisecond
	answers   = 2041 // a second and gateway
	delaySame = time.Millisecond
)

// packet is a message under way.
type packet struct {
	to   int
	size int
	body any
}

// sharer is a machine that tells others of positions.
type sharer interface {
	learned(now time.Duration, db int, at time.Duration)
	tick(now time.Duration) []packet
	receive(now time.Duration, body any) []packet
}

// trial is a run on the simulated network.
type trial struct {
	Part        string   `json:"part"`
	Mode        string   `json:"mode"`
	Gateways    int      `json:"gateways"`
	Databases   int      `json:"databases"`
	OneWayMS    float64  `json:"one_way_ms"` // between the three regions; 1 ms within one
	Loss        float64  `json:"loss"`
	Answers     string   `json:"answers"` // even: all databases alike; home: nine of ten from those of the own zone
	AnswersPS   float64  `json:"answers_per_s"`
	Seconds     float64  `json:"seconds"`
	BytesOut    float64  `json:"bytes_out_per_s"`
	BytesOutMax float64  `json:"bytes_out_per_s_max"`
	BytesIn     float64  `json:"bytes_in_per_s"`
	BytesInMax  float64  `json:"bytes_in_per_s_max"`
	Window      float64  `json:"bytes_out_in_the_worst_second"`
	Messages    float64  `json:"messages_per_s"`
	Entries     float64  `json:"entries_told_per_s"`
	News        *float64 `json:"share_news"`      // of entries, that rose by anything at the hearer
	NewsStep    *float64 `json:"share_news_step"` // by a step and more: 200 ms, of primaries 1 s
	AgeP50      float64  `json:"age_p50_ms"`
	AgeP99      float64  `json:"age_p99_ms"`
	AgeP999     float64  `json:"age_p99_9_ms"`
	OverASecond float64  `json:"share_older_than_1s"`
	Unknown     float64  `json:"share_unknown"`
	CatchUpS    *float64 `json:"catch_up_s,omitempty"` // until the mean age is within a quarter of what it was, or of the others'
	Event       string   `json:"event,omitempty"`
}

type arrival struct {
	packet
	at time.Duration
}

// world is a fleet in simulated time.
type world struct {
	rnd     *rand.Rand
	now     time.Duration
	n, d    int
	oneWay  time.Duration
	loss    float64
	home    bool
	rate    float64
	nodes   []sharer
	known   [][]time.Duration // by gateway and database
	pending map[time.Duration][]arrival
	out, in []int
	second  []int // sent in the running second
	worst   int
	msgs    int
	entries int
	news    int
	newStep int
	cut     func(from, to int) bool
	off     func(gateway, db int) bool // no answer comes
	down    func(gateway int) bool
	step    time.Duration
	part    string
	index   map[string]int
}

func name(i int) string { return fmt.Sprintf("gateway-%03d", i) }

// Zones lie in three regions.
func region(gateway int) int { return gateway % zones % 3 }

func dbName(i int) string { return fmt.Sprintf("s-%04d", i) }

func newWorld(seed uint64, n, d int, oneWay time.Duration, loss float64, home bool) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 3)), now: simEpoch, n: n, d: d, oneWay: oneWay, loss: loss, home: home, rate: answers, step: simStep, part: "positions",
		pending: map[time.Duration][]arrival{}, out: make([]int, n), in: make([]int, n), second: make([]int, n),
	}
	for range n {
		w.known = append(w.known, make([]time.Duration, d))
	}
	return w
}

func (w *world) raise(g, db int, at time.Duration) bool {
	if at <= w.known[g][db] {
		return false
	}
	w.known[g][db] = at
	return true
}

// told counts an entry that came to a hearer.
func (w *world) told(g, db int, at time.Duration) {
	w.entries++
	if at >= w.known[g][db]+w.step {
		w.newStep++
	}
	if w.raise(g, db, at) {
		w.news++
	}
}

func (w *world) send(from int, list []packet) {
	for _, p := range list {
		w.out[from] += p.size
		w.second[from] += p.size
		w.msgs++
		if w.rnd.Float64() < w.loss || w.cut != nil && w.cut(from, p.to) {
			continue
		}
		delay := delaySame
		if region(from) != region(p.to) {
			delay = w.oneWay
		}
		at := (w.now + delay + simTick - 1).Truncate(simTick)
		w.pending[at] = append(w.pending[at], arrival{p, at})
	}
}

// run lets time go by; each tick's answers come before its messages.
func (w *world) run(d time.Duration, sample func()) {
	per := w.rate * simTick.Seconds()
	owed := 0.0
	for end := w.now + d; w.now < end; {
		w.now += simTick
		owed += per
		count := int(owed)
		owed -= float64(count)
		for g := range w.n {
			if w.down != nil && w.down(g) {
				continue
			}
			for range count {
				db := w.rnd.IntN(w.d)
				if w.home && w.d > zones && w.rnd.Float64() < 0.9 {
					db = db/zones*zones + g%zones
					if db >= w.d {
						continue
					}
				}
				if w.off != nil && w.off(g, db) {
					continue
				}
				at := w.now.Truncate(time.Millisecond)
				if w.raise(g, db, at) && w.nodes != nil {
					w.nodes[g].learned(w.now, db, at)
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
		for g, o := range w.nodes {
			if w.down != nil && w.down(g) {
				continue
			}
			w.send(g, o.tick(w.now))
		}
		if w.now%time.Second == 0 {
			for g := range w.second {
				w.worst = max(w.worst, w.second[g])
				w.second[g] = 0
			}
		}
		if sample != nil && w.now%(500*time.Millisecond) == 0 {
			sample()
		}
	}
}

// ages is a histogram of how old what is known is.
type ages struct {
	bins    [ageBins]int
	all     int
	unknown int
	over    int
}

func (a *ages) add(w *world) {
	for g := range w.n {
		for _, at := range w.known[g] {
			a.all++
			if at == 0 {
				a.unknown++
				a.over++
				continue
			}
			age := w.now - at
			if age > time.Second {
				a.over++
			}
			a.bins[min(int(age/ageGrain), ageBins-1)]++
		}
	}
}

func (a *ages) quantile(q float64) float64 {
	left := int(q * float64(a.all-a.unknown))
	for i, n := range a.bins {
		if left -= n; left < 0 {
			return float64(i) * ageGrain.Seconds() * 1000
		}
	}
	return -1
}

// measure runs a world and tells its figures.
func (w *world) measure(mode string, before, window time.Duration) trial {
	w.run(before, nil)
	clear(w.out)
	clear(w.in)
	w.worst, w.msgs, w.entries, w.news, w.newStep = 0, 0, 0, 0, 0
	a := &ages{}
	w.run(window, func() { a.add(w) })
	r := trial{
		Part: w.part, Mode: mode, Gateways: w.n, Databases: w.d, OneWayMS: float64(w.oneWay) / 1e6, Loss: w.loss, Answers: "even", AnswersPS: w.rate,
		Seconds: window.Seconds(), Window: float64(w.worst), AgeP50: a.quantile(0.5), AgeP99: a.quantile(0.99), AgeP999: a.quantile(0.999),
		OverASecond: float64(a.over) / float64(a.all), Unknown: float64(a.unknown) / float64(a.all),
	}
	if w.home {
		r.Answers = "home"
	}
	each := float64(w.n) * window.Seconds()
	for g := range w.n {
		r.BytesOut += float64(w.out[g]) / each
		r.BytesIn += float64(w.in[g]) / each
		r.BytesOutMax = max(r.BytesOutMax, float64(w.out[g])/window.Seconds())
		r.BytesInMax = max(r.BytesInMax, float64(w.in[g])/window.Seconds())
	}
	r.Messages, r.Entries = float64(w.msgs)/each, float64(w.entries)/each
	if w.entries > 0 {
		news, step := float64(w.news)/float64(w.entries), float64(w.newStep)/float64(w.entries)
		r.News, r.NewsStep = &news, &step
	}
	return r
}

// meanAge is that of what some gateways know of all databases; what is not known counts as a minute.
func (w *world) meanAge(of func(g int) bool) float64 {
	sum, n := 0.0, 0
	for g := range w.n {
		if !of(g) {
			continue
		}
		for _, at := range w.known[g] {
			sum += min(w.now-at, time.Minute).Seconds()
			n++
		}
	}
	return sum / float64(n)
}

// catchUp is the time until the mean age of some gateways is within a quarter of a figure.
func (w *world) catchUp(of func(g int) bool, aim func() float64) *float64 {
	from := w.now
	for w.now < from+time.Minute {
		w.run(simTick, nil)
		if w.meanAge(of) <= 1.25*aim() {
			d := (w.now - from).Seconds()
			return &d
		}
	}
	return nil
}

// restart has a gateway begin anew, with nothing known, and tells how long it takes to know as much as the others.
func (w *world) restart(mode string, renew func(g int) sharer) trial {
	w.run(10*time.Second, nil)
	for db := range w.known[0] {
		w.known[0][db] = 0
	}
	if renew != nil {
		w.nodes[0] = renew(0)
	}
	was := w.out[0]
	from := w.now
	d := w.catchUp(func(g int) bool { return g == 0 }, func() float64 { return w.meanAge(func(g int) bool { return g > 0 }) })
	r := trial{Part: "positions", Mode: mode, Event: "a gateway starts", CatchUpS: d, Seconds: (w.now - from).Seconds()}
	return w.of(r, w.out[0]-was)
}

// heal cuts one region from the others for 20 s, databases too, and tells how long it takes after the heal until what is
// known is as new as it was.
func (w *world) heal(mode string) trial {
	w.run(10*time.Second, nil)
	all := func(int) bool { return true }
	was := w.meanAge(all)
	side := func(g int) bool { return region(g) == 0 }
	w.cut = func(from, to int) bool { return side(from) != side(to) }
	w.off = func(g, db int) bool { return side(g) != side(db) } // a database is in the zone of its number
	w.run(20*time.Second, nil)
	w.cut, w.off = nil, nil
	clear(w.out)
	w.worst = 0
	from := w.now
	d := w.catchUp(all, func() float64 { return was })
	r := trial{Part: "positions", Mode: mode, Event: "a region is cut off for 20 s and comes back", CatchUpS: d, Seconds: (w.now - from).Seconds(), Window: float64(w.worst)}
	sum := 0
	for _, b := range w.out {
		sum += b
		r.BytesOutMax = max(r.BytesOutMax, float64(b)/r.Seconds)
	}
	return w.of(r, sum/w.n)
}

func (w *world) of(r trial, bytes int) trial {
	r.Gateways, r.Databases, r.OneWayMS, r.Loss, r.AnswersPS, r.Answers = w.n, w.d, float64(w.oneWay)/1e6, w.loss, w.rate, "even"
	if w.home {
		r.Answers = "home"
	}
	r.BytesOut = float64(bytes) / r.Seconds
	return r
}

// mongers tell news to three each tenth of a second, as `positions: true` has it.
type monger struct {
	w     *world
	g     int
	p     *state.Positions
	enc   cbor.EncMode
	index map[string]int
	next  time.Duration
}

func (w *world) mongers(t require.TestingT) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
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
		m := &monger{w: w, g: g, p: state.NewPositions(name(g), uint64(g), w.step, func(string) bool { return true }), enc: enc, index: index}
		m.p.SetMembers(names)
		m.next = w.now + time.Duration(g%2)*simTick
		w.nodes = append(w.nodes, m)
	}
}

func (m *monger) learned(_ time.Duration, db int, at time.Duration) { m.p.Observe(dbNames[db], at) }

var dbNames = func() (list []string) {
	for i := range 4096 {
		list = append(list, dbName(i))
	}
	return list
}()

func (m *monger) tick(now time.Duration) (out []packet) {
	if now < m.next {
		return nil
	}
	m.next = now + state.GossipInterval
	size := 0
	for _, s := range m.p.Tick() {
		if size == 0 {
			b, err := m.enc.Marshal(s.Message)
			if err != nil {
				panic(err)
			}
			size = len(b) + envelope
		}
		out = append(out, packet{to: m.index[s.To], size: size, body: s.Message})
	}
	return out
}

func (m *monger) receive(now time.Duration, body any) []packet {
	msg := body.(state.PositionsMessage)
	for _, x := range msg.Positions {
		m.w.told(m.g, m.index[x.Host], x.At)
	}
	m.p.Receive(now, msg)
	return nil
}

// reconciler is a machine of this package.
type reconciler struct {
	w *world
	g int
	m *Machine
}

func (w *world) reconcilers(bytes int, ofZone bool) {
	members := w.members(ofZone)
	w.index = map[string]int{}
	for i, o := range members {
		w.index[o.Name] = i
	}
	for g := range w.n {
		w.nodes = append(w.nodes, w.reconciler(g, bytes, members))
	}
}

func (w *world) names() (names []string) {
	for i := range w.n {
		names = append(names, name(i))
	}
	return names
}

func (w *world) members(ofZone bool) (members []Member) {
	for i, n := range w.names() {
		o := Member{Name: n}
		if ofZone {
			o.Zone = fmt.Sprint("z", i%zones)
		}
		members = append(members, o)
	}
	return members
}

func (w *world) reconciler(g, bytes int, members []Member) *reconciler {
	m := New(Config{Name: members[g].Name, Zone: members[g].Zone, Seed: w.rnd.Uint64(), BytesPerSecond: bytes, MessageOverhead: envelope + 3, Step: w.step}, w.now)
	m.SetMembers(members)
	m.SetDatabases(dbNames[:w.d])
	return &reconciler{w, g, m}
}

func (r *reconciler) learned(_ time.Duration, db int, at time.Duration) { r.m.Observe(dbNames[db], at) }

func (r *reconciler) tick(now time.Duration) []packet { return r.packets(r.m.Tick(now)) }

func (r *reconciler) packets(list []Send) (out []packet) {
	for _, s := range list {
		out = append(out, packet{to: r.w.index[s.To], size: len(s.Body) + envelope + 3, body: s.Body})
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
			r.w.told(r.g, c.Index, c.At)
		}
	}
	out, _ := r.m.Receive(now, msg)
	return r.packets(out)
}

// BenchmarkCapacity measures what telling positions costs, and how old what gateways know is with and without it.
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
		begin := func(mode string, n, d int, oneWay time.Duration, loss float64, home bool) *world {
			w := newWorld(27, n, d, oneWay, loss, home)
			switch mode {
			case "off":
			case "rumours":
				w.mongers(b)
			default:
				var bytes int
				_, err := fmt.Sscanf(mode, "anti-entropy %d/s", &bytes)
				require.NoError(b, err)
				w.reconcilers(bytes, true)
			}
			return w
		}
		play := func(mode string, n, d int, oneWay time.Duration, loss float64, home bool) {
			add(begin(mode, n, d, oneWay, loss, home).measure(mode, 10*time.Second, 10*time.Second))
		}
		const budgeted = "anti-entropy 1500/s"
		few, many := []int{8, 16, 30, 60, 120, 240, 810}, []int{8, 48, 300, 490}
		if *capacityShort {
			few, many = []int{16, 120, 810}, []int{48}
		}
		for _, d := range few {
			play("off", 48, d, delaySame, 0, false)
			play("rumours", 48, d, delaySame, 0, false)
			play(budgeted, 48, d, delaySame, 0, false)
		}
		for _, n := range many {
			for _, d := range []int{120, 810} {
				play("rumours", n, d, delaySame, 0, false)
				play(budgeted, n, d, delaySame, 0, false)
			}
		}
		for _, home := range []bool{false, true} {
			for _, mode := range []string{"off", "rumours", "anti-entropy 800/s", budgeted, "anti-entropy 3000/s"} {
				play(mode, 490, 810, 60*time.Millisecond, 0.02, home)
			}
		}
		if *capacityShort {
			return
		}
		// Answers as primary: one database of four, three answers in ten, news by a second.
		for _, d := range []int{30, 60, 120, 203} {
			for _, mode := range []string{"rumours", "anti-entropy 500/s"} {
				w := newWorld(27, 48, d, 60*time.Millisecond, 0.02, false)
				w.part, w.step, w.rate = "primaries", time.Second, 0.3*answers
				if mode == "rumours" {
					w.mongers(b)
				} else {
					w.reconcilers(500, true)
				}
				add(w.measure(mode, 10*time.Second, 10*time.Second))
			}
		}
		for _, mode := range []string{"off", "rumours", budgeted} {
			w := begin(mode, 245, 810, 60*time.Millisecond, 0.02, true)
			var renew func(g int) sharer
			switch o := w.nodes; {
			case mode == "rumours":
				renew = func(g int) sharer {
					m := *o[g].(*monger)
					m.p = state.NewPositions(name(g), 99, w.step, func(string) bool { return true })
					m.p.SetMembers(w.names())
					return &m
				}
			case o != nil:
				renew = func(g int) sharer { return w.reconciler(g, 1500, w.members(true)) }
			}
			add(w.restart(mode, renew))
			add(begin(mode, 245, 810, 60*time.Millisecond, 0.02, true).heal(mode))
		}
	}
}
