// Command lilaccove is a gateway between clients and groups of databases that speaks PostgreSQL's protocol on both
// sides. DEPLOY describes its environment variables.
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
	fleetFile := flag.String("fleet", "", "fleet `file`, which names the other gateways; overrides $GW_FLEET")
	profile := flag.String("profile", "", "write a CPU profile of the whole run to this `file` (for go tool pprof)")
	flag.Parse()
	if flag.NArg() > 0 {
		log.Printf("event=stopped err=%q", "unexpected arguments; $GW_CONFIG names the configuration file")
		os.Exit(2)
	}
	err := withCPUProfile(*profile, func() error { return run(*fleetFile) })
	if err != nil {
		log.Printf("event=stopped err=%q", err)
		os.Exit(1)
	}
}

// withCPUProfile calls run and writes its CPU profile to the file at path, if path is not empty.
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

// run starts the gateway and serves until shutdown is complete.
func run(fleetFile string) error {
	// First of all: a signal without a handler would end the process.
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
		ConnIdle: gatewaySettings.ConnIdle, DialTimeout: gatewaySettings.DialTimeout, ProbeReport: gatewaySettings.ProbeReport, Reserve: maxDescriptors / poolReservePart,
	}
	if budgets != nil {
		options.Budget = budgets
	}
	pool := backend.New(loop, core, options)
	if budgets != nil {
		budgets.OnGrant = pool.Granted
	}
	// Clients get at most half of the descriptors, so that idle clients cannot prevent connections to databases.
	// Connections to databases may use all the others but the few reserved for discovery and for refusing clients.
	ops := &operations{loop: loop, core: core, side: side, discovery: side.Watch, pool: pool, counts: side.Counts, links: side.Links, guard: side.Guard}
	frontend := front.New(loop, core, front.Options{
		Classes: gatewaySettings.Classes, MaxClients: maxDescriptors / clientsPart, Reserve: maxDescriptors / clientReservePart, MaxLargeStatementBytes: memoryBytes / largeMemoryPart,
		MaxAnswerBytes: memoryBytes / answerMemoryPart, FreeDescriptor: pool.CloseOldestIdle, Guard: side.Guard, Servable: ops.servable,
	})
	side.Connect(pool)
	ops.front, ops.listSource, ops.memoryBytes, ops.descriptorLimit = frontend, gatewaySettings.Policy.ListSource, memoryBytes, maxDescriptors
	ops.maxDeadline, ops.startTime = maxDeadline(gatewaySettings.Policy.Classes), loop.Now()
	side.Join(ops.setFleetDrain)
	frontend.SetStarting(!ops.servable()) // until the list is confirmed and the overrides are known
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

// maxDeadline returns the longest deadline of any class.
func maxDeadline(classes []policy.Class) (d time.Duration) {
	for _, c := range classes {
		d = max(d, c.Deadline)
	}
	return d
}

// tuneRuntime configures the Go runtime for one shared core and the memory limit (192 MiB if none is given), which it
// returns in bytes. One P is enough because the event loop is the only busy goroutine. The garbage collector lets the
// heap grow well beyond the live data and runs more often only near the limit.
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

// setHeapLimit limits the Go heap to 60% of the process's memory.
func setHeapLimit(memoryBytes int) { debug.SetMemoryLimit(int64(memoryBytes) * 6 / 10) }

// descriptorLimit returns how many descriptors may be open: the configured limit (1024 if none) or the system's,
// whichever is lower.
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

// countOpenDescriptors returns how many descriptors the process has open, including an allowance for the runtime's own.
func countOpenDescriptors() int {
	const runtimeDescriptors = 8
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		return len(entries) + runtimeDescriptors
	}
	return 3 + runtimeDescriptors
}
