// Package platform runs a coordinator as a process on the platform: its configuration file, its signals and its
// limits.
package platform

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"snowquay/internal/frontend/eventloop"
	frontend "snowquay/internal/frontend/platform"
)

const (
	memoryLimitFraction = 0.6 // of the process's limit that the garbage collector keeps to: the rest is code and stacks
	gcPercent           = 60  // heap growth before a collection: the heap has a few MB

	shutdownTimeout = 400 * time.Millisecond // SIGKILL may follow 0.7 s after SIGTERM
)

var (
	errNoConfig    = errors.New(configVariable + " names no configuration file")
	errDescriptors = errors.New("no descriptor was left for a client")
)

// Run runs a coordinator until SIGTERM or SIGINT. On SIGHUP it reads its configuration again and moves to the
// new addresses of discovery and relay. The error is that of the start, or of an event loop that has ended by
// itself.
func Run(log *slog.Logger) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := os.Getenv(configVariable)
	if path == "" {
		return errNoConfig
	}
	cfg, err := readConfig(path)
	if err != nil {
		return err
	}
	for _, warning := range cfg.program.Deployment.Warnings() {
		log.Warn("the settings do not allow every rule to be kept", "warning", warning)
	}
	limitRuntime(cfg.memoryMB)
	cfg.program.MaxDescriptors = availableDescriptors(cfg.program.MaxDescriptors)
	program := frontend.New(cfg.program, log)
	server, err := eventloop.Listen(program, []netip.AddrPort{cfg.listen}, netip.AddrPort{}, eventloop.Clock())
	if err != nil {
		return err
	}
	log.Info("coordinator started",
		"listen", cfg.listen,
		"discovery", cfg.program.Discovery,
		"relay", cfg.program.Relay,
		"memory_mb", cfg.memoryMB,
		"descriptors", cfg.program.MaxDescriptors)
	for {
		select {
		case err := <-server.Ended(): // a coordinator that accepts no connection is of no use: it is to be restarted
			return fmt.Errorf("the event loop has ended by itself: %w", cmp.Or(err, errDescriptors))
		case received := <-signals:
			if received != syscall.SIGHUP {
				log.Info("coordinator stopping", "signal", received.String())
				shutDown(func() { server.Do(func(float64) { program.Shutdown() }) })
				return nil
			}
			reload(path, log, server, program)
		}
	}
}

// reload reads the configuration again. One that cannot be read changes nothing.
func reload(path string, log *slog.Logger, server *eventloop.Server, program *frontend.Program) {
	c, err := readConfig(path)
	if err != nil {
		log.Error("configuration not reloaded", "error", err)
		return
	}
	log.Info("configuration reloaded", "discovery", c.program.Discovery, "relay", c.program.Relay)
	server.Do(func(now float64) { program.SetAddresses(now, c.program.Discovery, c.program.Relay) })
}

// shutDown calls closeAll, and waits for its end for a limited time: what it does not close ends with the
// process.
func shutDown(closeAll func()) {
	done := make(chan struct{})
	go func() {
		closeAll()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(shutdownTimeout):
	}
}

// limitRuntime confines the Go runtime to one processor and to a part of the process's memory.
func limitRuntime(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryMB * memoryLimitFraction * (1 << 20)))
}

// availableDescriptors returns how many descriptors the process may hold: the configured number, or its own
// limit if that is lower.
func availableDescriptors(configured int) int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil && limit.Cur < uint64(configured) {
		return int(limit.Cur)
	}
	return configured
}
