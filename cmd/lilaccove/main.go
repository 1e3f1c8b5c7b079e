// Command lilaccove is one gateway: clients on one side, groups of databases on the
// other, PostgreSQL's protocol on both. DEPLOY tells what its environment holds.
package main

import (
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
	"time"

	"golang.org/x/sys/unix"

	"lilaccove/internal/backend"
	"lilaccove/internal/control"
	"lilaccove/internal/front"
	"lilaccove/internal/management"
	"lilaccove/internal/netloop"
	"lilaccove/internal/settings"
	"lilaccove/policy"
)

func main() {
	log.SetFlags(log.Lmicroseconds)
	fleetFile := flag.String("fleet", "", "the fleet `file`, by which gateways know of each other; before $GW_FLEET")
	profile := flag.String("profile", "", "write a profile of the processor's use, from start to end, to this `file` (go tool pprof reads it)")
	flag.Parse()
	if flag.NArg() > 0 {
		log.Printf("event=stopped err=%q", "arguments are not read; the configuration is at $GW_CONFIG")
		os.Exit(2)
	}
	err := withCPUProfile(*profile, func() error { return run(*fleetFile) })
	if err != nil {
		log.Printf("event=stopped err=%q", err)
		os.Exit(1)
	}
}

// withCPUProfile runs do and writes the profile of it to a file, if one is named.
func withCPUProfile(path string, do func() error) error {
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
	cfg, err := control.Load(os.Getenv)
	if err != nil {
		return err
	}
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	set, err := settings.FromJSON(cfg.Settings)
	if err != nil {
		return err
	}
	party, err := control.LoadFleet(fleetFile, os.Getenv, set)
	if err != nil {
		return err
	}
	memory := tuneRuntime(cfg.Limits.MemoryMB)
	sockets := descriptorLimit(cfg.Limits.Sockets)

	loop, err := netloop.New(sockets, countOpenDescriptors(), memory/4)
	if err != nil {
		return err
	}
	defer loop.Close()
	side, err := control.New(loop, cfg, set, party)
	if err != nil {
		return err
	}
	defer side.Close()
	core, budgets := side.Core, side.Budgets()
	options := backend.Options{
		ConnIdle: set.ConnIdle, DialTimeout: set.DialTimeout, ProbeReport: set.ProbeReport, Reserve: sockets / 16,
	}
	if budgets != nil {
		options.Budget = budgets
	}
	pool := backend.New(loop, core, options)
	if budgets != nil {
		budgets.OnGrant = pool.Granted
	}
	// Clients get half of the descriptors at most: idle ones must never keep the gateway
	// from the databases, which get all but what discovery and turning clients away take.
	ops := &operations{loop: loop, core: core, side: side, discovery: side.Watch, pool: pool, counts: side.Counts, links: side.Links, guard: side.Guard}
	clients := front.New(loop, core, front.Options{
		Classes: set.Classes, MaxClients: sockets / 2, Reserve: sockets / 8, MaxLargeStatementBytes: memory / 6, FreeDescriptor: pool.CloseOldestIdle,
		Guard: side.Guard, Servable: ops.servable,
	})
	side.Connect(pool)
	ops.front, ops.listSource, ops.memoryBytes, ops.descriptorLimit = clients, set.Policy.ListSource, memory, sockets
	ops.maxDeadline, ops.startTime = maxDeadline(set.Policy.Classes), loop.Now()
	side.Join(ops.setFleetDrain)
	clients.SetStarting(!ops.servable()) // until the list is compared, and what operators told the fleet is known
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
	defer ops.leaveShared()
	log.Printf("event=started name=%s listen=%s discovery=%s sockets=%d memory_mb=%d%s",
		cfg.Name, at, side.DiscoveryAddr, sockets, memory>>20, manage)

	heard := make(chan os.Signal, cap(signals))
	loop.OnWake(func() {
		for len(heard) > 0 {
			if sig := <-heard; sig == unix.SIGHUP {
				side.Reload(os.Getenv)
			} else {
				ops.beginShutdown()
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
		again := side.Step()
		ops.afterRound()
		return again
	})
}

// maxDeadline is the maxDeadline deadline of a class.
func maxDeadline(classes []policy.Class) (d time.Duration) {
	for _, c := range classes {
		d = max(d, c.Deadline)
	}
	return d
}

// tuneRuntime fits the runtime to one shared core and its memory; it returns the bytes to use.
// One P is enough: the loop is the only goroutine that works. The collector may let the
// heap grow well past what lives, and works harder only near the limit.
func tuneRuntime(megabytes float64) int {
	if megabytes <= 0 {
		megabytes = 192
	}
	memory := int(megabytes * (1 << 20))
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	setHeapLimit(memory)
	return memory
}

func setHeapLimit(memory int) { debug.SetMemoryLimit(int64(memory) * 6 / 10) }

// descriptorLimit is how many may be open: the smaller of the limit told and the system's.
func descriptorLimit(told float64) int {
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

// countOpenDescriptors is how many descriptors the process has, with some for the runtime's own.
func countOpenDescriptors() int {
	const runtimeOwn = 8
	if list, err := os.ReadDir("/proc/self/fd"); err == nil {
		return len(list) + runtimeOwn
	}
	return 3 + runtimeOwn
}
