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
func withCPUProfile(path string, run func() error) error {
	if path == "" {
		return run()
	}
	file, err := os.Create(path)
	if err == nil {
		err = pprof.StartCPUProfile(file)
	}
	if err != nil {
		return fmt.Errorf("--profile: %w", err)
	}
	err = run()
	pprof.StopCPUProfile()
	return errors.Join(err, file.Close())
}

func run(fleetFile string) error {
	// From the first moment on: a signal that nobody has asked for would end the process.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, unix.SIGTERM, unix.SIGINT, unix.SIGHUP)
	cfg, err := control.Load(os.Getenv)
	if err != nil {
		return err
	}
	configuredAddr, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return fmt.Errorf("GW_LISTEN: %w", err)
	}
	gatewaySettings, err := settings.FromJSON(cfg.Settings)
	if err != nil {
		return err
	}
	fleetConfig, err := control.LoadFleet(fleetFile, os.Getenv, gatewaySettings)
	if err != nil {
		return err
	}
	memoryBytes := tuneRuntime(cfg.Limits.MemoryMB)
	maxDescriptors := descriptorLimit(cfg.Limits.Sockets)

	loop, err := netloop.New(maxDescriptors, countOpenDescriptors(), memoryBytes/4)
	if err != nil {
		return err
	}
	defer loop.Close()
	side, err := control.New(loop, cfg, gatewaySettings, fleetConfig)
	if err != nil {
		return err
	}
	defer side.Close()
	core, budgets := side.Core, side.Budgets()
	options := backend.Options{
		ConnIdle: gatewaySettings.ConnIdle, DialTimeout: gatewaySettings.DialTimeout, ProbeReport: gatewaySettings.ProbeReport, Reserve: maxDescriptors / 16,
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
	frontend := front.New(loop, core, front.Options{
		Classes: gatewaySettings.Classes, MaxClients: maxDescriptors / 2, Reserve: maxDescriptors / 8, MaxLargeStatementBytes: memoryBytes / 6, FreeDescriptor: pool.CloseOldestIdle,
		Guard: side.Guard, Servable: ops.servable,
	})
	side.Connect(pool)
	ops.front, ops.listSource, ops.memoryBytes, ops.descriptorLimit = frontend, gatewaySettings.Policy.ListSource, memoryBytes, maxDescriptors
	ops.maxDeadline, ops.startTime = maxDeadline(gatewaySettings.Policy.Classes), loop.Now()
	side.Join(ops.setFleetDrain)
	frontend.SetStarting(!ops.servable()) // until the list is compared, and what operators told the fleet is known
	managementField := ""
	if cfg.Management != "" {
		addr, err := netip.ParseAddrPort(cfg.Management)
		if err != nil {
			return fmt.Errorf("GW_MANAGEMENT: %w", err)
		}
		if addr, err = management.Listen(loop, addr, ops); err != nil {
			return err
		}
		managementField = " management=" + addr.String()
	}
	listenAddr, err := ops.listen(configuredAddr, os.Getenv)
	if err != nil {
		return err
	}
	defer ops.leaveShared()
	log.Printf("event=started name=%s listen=%s discovery=%s sockets=%d memory_mb=%d%s",
		cfg.Name, listenAddr, side.DiscoveryAddr, maxDescriptors, memoryBytes>>20, managementField)

	received := make(chan os.Signal, cap(signals))
	loop.OnWake(func() {
		for len(received) > 0 {
			if sig := <-received; sig == unix.SIGHUP {
				side.Reload(os.Getenv)
			} else {
				ops.beginShutdown()
			}
		}
	})
	go func() {
		for sig := range signals {
			received <- sig
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
	memoryBytes := int(megabytes * (1 << 20))
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	setHeapLimit(memoryBytes)
	return memoryBytes
}

func setHeapLimit(memoryBytes int) { debug.SetMemoryLimit(int64(memoryBytes) * 6 / 10) }

// descriptorLimit is how many may be open: the smaller of the limit told and the system's.
func descriptorLimit(configured float64) int {
	limit := 1024
	if configured > 0 {
		limit = int(configured)
	}
	var rlimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &rlimit); err == nil && rlimit.Cur < uint64(limit) {
		limit = int(rlimit.Cur)
	}
	return limit
}

// countOpenDescriptors is how many descriptors the process has, with some for the runtime's own.
func countOpenDescriptors() int {
	const runtimeDescriptors = 8
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		return len(entries) + runtimeDescriptors
	}
	return 3 + runtimeDescriptors
}
