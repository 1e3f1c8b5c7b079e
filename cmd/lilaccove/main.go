// Command lilaccove is one gateway: clients on one side, groups of databases on the
// other, PostgreSQL's protocol on both. DEPLOY tells what its environment holds.
package main

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"log"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/backend"
	"lilaccove/internal/discovery"
	"lilaccove/internal/fleet"
	"lilaccove/internal/front"
	"lilaccove/internal/gateway"
	"lilaccove/internal/management"
	"lilaccove/internal/netloop"
	"lilaccove/internal/peer"
	"lilaccove/internal/settings"
	"lilaccove/internal/stats"
	"lilaccove/policy"
)

// config is the object at GW_CONFIG.
type config struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Management string          `json:"management"`
	Seed       string          `json:"seed"`
	Limits     limits          `json:"limits"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

type limits struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

func main() {
	log.SetFlags(log.Lmicroseconds)
	fleetFile := flag.String("fleet", "", "the fleet `file`, by which gateways know of each other; before $GW_FLEET")
	profile := flag.String("profile", "", "write a profile of the processor's use, from start to end, to this `file` (go tool pprof reads it)")
	flag.Parse()
	if flag.NArg() > 0 {
		log.Printf("event=stopped err=%q", "arguments are not read; the configuration is at $GW_CONFIG")
		os.Exit(2)
	}
	err := profiled(*profile, func() error { return run(*fleetFile) })
	if err != nil {
		log.Printf("event=stopped err=%q", err)
		os.Exit(1)
	}
}

// profiled runs do and writes the profile of it to a file, if one is named.
func profiled(path string, do func() error) error {
	if path == "" {
		return do()
	}
	f, err := os.Create(path)
	if err == nil {
		err = pprof.StartCPUProfile(f)
	}
	if err != nil {
		return fmt.Errorf("--profile: %w", err)
	}
	err = do()
	pprof.StopCPUProfile()
	return errors.Join(err, f.Close())
}

func run(fleetFile string) error {
	// From the first moment on: a signal that nobody has asked for would end the process.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, unix.SIGTERM, unix.SIGINT, unix.SIGHUP)
	cfg, err := load(os.Getenv)
	if err != nil {
		return err
	}
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	ask, err := netip.ParseAddrPort(cfg.Discovery)
	if err != nil {
		return fmt.Errorf("GW_DISCOVERY: %w", err)
	}
	set, err := settings.FromJSON(cfg.Settings)
	if err != nil {
		return err
	}
	party, err := loadFleet(fleetFile, os.Getenv, set)
	if err != nil {
		return err
	}
	memory := tune(cfg.Limits.MemoryMB)
	sockets := descriptors(cfg.Limits.Sockets)

	loop, err := netloop.New(sockets, openNow(), memory/4)
	if err != nil {
		return err
	}
	defer loop.Close()
	router, err := policy.New(adapt(set), seed(cfg.Seed))
	if err != nil {
		return err
	}
	counts := stats.New(set.Classes)
	core := gateway.New(loop, router, set.MaxOpen, counts)
	var links *peer.Links
	var budgets *peer.Budgets
	if party != nil {
		if links, err = peer.New(loop, cfg.Name, zone(set), party, loop.Now()); err != nil {
			return err
		}
		defer links.Close()
		budgets = links.Budgets()
	}
	options := backend.Options{
		ConnIdle: set.ConnIdle, DialTimeout: set.DialTimeout, ProbeReport: set.ProbeReport, Reserve: sockets / 16,
	}
	if budgets != nil {
		options.Budget = budgets
	}
	pool := backend.New(loop, core, options)
	if budgets != nil {
		budgets.Granted = pool.Granted
	}
	watch := discovery.New(loop, core, ask, set.Zones)
	core.Connect(pool, watch)
	// Clients get half of the descriptors at most: idle ones must never keep the gateway
	// from the databases, which get all but what discovery and turning clients away take.
	clients := front.New(loop, core, front.Options{Classes: set.Classes, Most: sockets / 2, Reserve: sockets / 8, Large: memory / 6, Free: pool.DropIdle})
	if err := watch.Known(cfg.Known); err != nil {
		log.Printf("event=bad_known err=%q", err) // discovery has a newer one
	}
	ops := &operations{
		loop: loop, front: clients, core: core, watch: watch, pool: pool, counts: counts,
		memory: memory, sockets: sockets, longest: longest(set.Policy.Classes), begunAt: loop.Now(), links: links, out: map[string]bool{},
	}
	var changed []func() // what follows from a new list
	if links != nil {
		spans, err := links.Record(func(class int) bool { return set.Policy.Classes[class].Level == policy.Write })
		if err != nil {
			return fmt.Errorf("audit file: %w", err)
		}
		defer spans.Close()
		ops.spans = spans
		core.OnActs(spans)
		spans.Listed(core.Hosts())
		changed = append(changed, func() { spans.Listed(core.Hosts()) })
		links.OnWord(ops.word)
		links.OnFence(core.Fence)
		links.Tell(peer.Facts{
			List: watch.Seq, Ask: watch.Renew, Config: sameSettings(cfg.Settings), File: digest(party.Common()), Build: build(),
		})
		clients.Hold(true) // until what operators told the fleet is known
	}
	if party != nil && party.Repeats > 0 {
		core.Fleet(policy.Repeats{Share: party.Repeats})
	}
	if links != nil && party.Subsets {
		s := &subsets{loop: loop, core: core, links: links, zones: set.Zones}
		changed = append(changed, s.stir)
		links.OnView(s.stir)
		s.stir()
	}
	if links != nil && party.Positions {
		s := links.SharePositions(core.InList, core.Hosts, core.Fleet)
		grain := set.Policy.PositionGrain // a write's position is rounded up
		core.OnPosition(func(host policy.HostID, at time.Duration) { s.Learned(host, at-grain) })
		changed = append(changed, s.Forget)
	}
	if links != nil && party.Primaries {
		s := links.SharePrimaries(core.InList, core.Hosts, core.Fleet)
		core.OnPrimary(s.Learned)
		changed = append(changed, s.Forget)
	}
	if len(changed) > 0 {
		core.OnList(func() {
			for _, do := range changed {
				do()
			}
		})
	}
	manage := ""
	if cfg.Management != "" {
		addr, err := netip.ParseAddrPort(cfg.Management)
		if err != nil {
			return fmt.Errorf("GW_MANAGEMENT: %w", err)
		}
		if addr, err = management.Listen(loop, addr, ops); err != nil {
			return err
		}
		manage = " management=" + addr.String()
	}
	at, err := ops.listen(listen, os.Getenv)
	if err != nil {
		return err
	}
	defer ops.leave()
	log.Printf("event=started name=%s listen=%s discovery=%s sockets=%d memory_mb=%d%s",
		cfg.Name, at, ask, sockets, memory>>20, manage)

	heard := make(chan os.Signal, cap(signals))
	loop.OnWake(func() {
		for len(heard) > 0 {
			if sig := <-heard; sig == unix.SIGHUP {
				reload(os.Getenv, watch)
			} else {
				ops.end()
			}
		}
	})
	go func() {
		for sig := range signals {
			heard <- sig
			loop.Wake()
		}
	}()
	return loop.Run(func() bool {
		if links != nil {
			links.Guard()
		}
		again := core.Step()
		ops.check()
		return again
	})
}

// load reads the configuration; the plain variables go before what it says.
func load(env func(string) string) (config, error) {
	var cfg config
	if err := read(env, &cfg); err != nil {
		return cfg, err
	}
	for name, to := range map[string]*string{
		"GW_NAME": &cfg.Name, "GW_LISTEN": &cfg.Listen, "GW_DISCOVERY": &cfg.Discovery,
		"GW_MANAGEMENT": &cfg.Management,
	} {
		if v := env(name); v != "" {
			*to = v
		}
	}
	return cfg, nil
}

// zone is the name of the gateway's.
func zone(set settings.Settings) string {
	if i := set.Policy.Zone; i >= 0 && i < len(set.Zones) {
		return set.Zones[i]
	}
	return ""
}

// digest is a short one of a text.
func digest(text []byte) string { return fmt.Sprintf("%x", sha256.Sum256(text))[:16] }

// sameSettings is a digest of the settings without what is each gateway's own, so that equal ones are equal.
func sameSettings(text json.RawMessage) string {
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		return ""
	}
	delete(all, "SlotNo")
	delete(all, "Zone")
	same, err := json.Marshal(all) // keys are sorted
	if err != nil {
		return ""
	}
	return digest(same)
}

// build names the program: the revision that it was built from, where the build told it.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return info.Main.Version
}

// loadFleet reads the fleet file, if one is named.
func loadFleet(path string, env func(string) string, set settings.Settings) (*fleet.File, error) {
	if path = cmp.Or(path, env("GW_FLEET")); path == "" {
		return nil, nil
	}
	if !set.Peers {
		return nil, fmt.Errorf("fleet file %s: the settings forbid that gateways talk to each other (Allowed.Peers is not true); start without the file", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet file: %w", err)
	}
	return fleet.Parse(path, text)
}

// read fills to from the file at GW_CONFIG.
func read(env func(string) string, to any) error {
	path := env("GW_CONFIG")
	if path == "" {
		return fmt.Errorf("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, to)
	}
	if err != nil {
		return fmt.Errorf("GW_CONFIG: %w", err)
	}
	return nil
}

// reload reads the file again, after SIGHUP. What it says of discovery goes before
// GW_DISCOVERY, which is as old as the process; all else is for the next start. A file
// that is no good changes nothing.
func reload(env func(string) string, watch *discovery.Client) {
	var cfg struct {
		Discovery string `json:"discovery"`
	}
	err := read(env, &cfg)
	var ask netip.AddrPort
	if err == nil {
		ask, err = netip.ParseAddrPort(cfg.Discovery)
	}
	if err != nil {
		log.Printf("event=reload_failed err=%q", err)
		return
	}
	log.Printf("event=reloaded discovery=%s", ask)
	watch.Move(ask)
}

// adapt fits the settings to real sockets.
func adapt(set settings.Settings) policy.Settings {
	p := set.Policy
	p.AskForList = true // here the list comes only when asked for
	p.Classes = append([]policy.Class(nil), p.Classes...)
	for i, c := range p.Classes {
		if c.Level == policy.Recent && c.Bound > 2*set.DialTimeout {
			// The bound counts from the send's last byte, which may have to wait for
			// a connection as long as one may take to come up.
			p.Classes[i].Bound -= set.DialTimeout
		}
	}
	return p
}

// longest is the longest deadline of a class.
func longest(classes []policy.Class) (d time.Duration) {
	for _, c := range classes {
		d = max(d, c.Deadline)
	}
	return d
}

// seed makes a number of the hexadecimal text; any other text will do, too.
func seed(text string) int64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return int64(n)
	}
	return time.Now().UnixNano()
}

// tune fits the runtime to one shared core and its memory; it returns the bytes to use.
// One P is enough: the loop is the only goroutine that works. The collector may let the
// heap grow well past what lives, and works harder only near the limit.
func tune(megabytes float64) int {
	if megabytes <= 0 {
		megabytes = 192
	}
	memory := int(megabytes * (1 << 20))
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	limitHeap(memory)
	return memory
}

func limitHeap(memory int) { debug.SetMemoryLimit(int64(memory) * 6 / 10) }

// descriptors is how many may be open: the smaller of the limit told and the system's.
func descriptors(told float64) int {
	most := 1024
	if told > 0 {
		most = int(told)
	}
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err == nil && r.Cur < uint64(most) {
		most = int(r.Cur)
	}
	return most
}

// openNow is how many descriptors the process has, with some for the runtime's own.
func openNow() int {
	const runtimeOwn = 8
	if list, err := os.ReadDir("/proc/self/fd"); err == nil {
		return len(list) + runtimeOwn
	}
	return 3 + runtimeOwn
}
