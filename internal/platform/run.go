// Package platform runs a coordinator as a process on the platform. It handles the configuration file, signals and
// resource limits.
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

	"snowquay/internal/frontend/eventloop"
	frontend "snowquay/internal/frontend/platform"
)

const (
	memoryLimitFraction = 0.6  // part of the process's memory limit that is the limit of the garbage collector; the rest is for code and stacks
	bufferFraction      = 0.06 // part of the process's memory limit that incomplete messages of clients may take
	gcPercent           = 60   // heap growth in percent that triggers a collection; the heap has only a few MB

	shutdownTimeout = 400 * time.Millisecond // the platform may send SIGKILL 0.7 s after SIGTERM
)

var (
	errNoConfig    = errors.New(configVariable + " names no configuration file")
	errDescriptors = errors.New("no descriptor was left for a client")
)

// Run runs a coordinator until SIGTERM or SIGINT. On SIGHUP it reads the configuration file again and switches to the
// new addresses of discovery and relay. Run returns an error if the coordinator cannot start or if its event loop ends
// unexpectedly.
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
	cfg.program.MaxDescriptors = min(cfg.program.MaxDescriptors, eventloop.MaxDescriptors())
	cfg.program.MaxBuffered = int(cfg.memoryMB * bufferFraction * (1 << 20))
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
		case err := <-server.Ended(): // exit so that the process is restarted, because it accepts no connections any more
			return fmt.Errorf("event loop ended unexpectedly: %w", cmp.Or(err, errDescriptors))
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

// reload reads the configuration file again and applies its addresses. An invalid file is logged and changes nothing.
func reload(path string, log *slog.Logger, server *eventloop.Server, program *frontend.Program) {
	c, err := readConfig(path)
	if err != nil {
		log.Error("configuration not reloaded", "error", err)
		return
	}
	log.Info("configuration reloaded", "discovery", c.program.Discovery, "relay", c.program.Relay)
	server.Do(func(now float64) { program.SetAddresses(now, c.program.Discovery, c.program.Relay) })
}

// shutDown calls closeAll and waits at most shutdownTimeout for it to return. Connections that are still open then are
// closed by the exit of the process.
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

// limitRuntime limits the Go runtime to one processor and to a part of the process's memory.
func limitRuntime(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryMB * memoryLimitFraction * (1 << 20)))
}
