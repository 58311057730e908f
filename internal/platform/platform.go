// Package platform starts a coordinator on the platform: its configuration, its signals, its limits.
package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"snowquay/internal/deployment"
	"snowquay/internal/frontend/eventloop"
	front "snowquay/internal/frontend/platform"
	"snowquay/internal/wire/discovery"
)

const (
	variable  = "PROXY_CONFIG" // names the configuration file
	softPart  = 0.6            // of the memory limit that the runtime keeps to by collecting more often: the rest is code and stacks
	gcPercent = 60             // heap growth until a collection: the heap is a few MB

	leaveWithin = 400 * time.Millisecond // SIGKILL may follow 0.7 s after SIGTERM
)

// configuration is the file.
type configuration struct {
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Hub       struct {
		Address string `json:"address"`
	} `json:"hub"`
	Limits struct {
		Memory  float64 `json:"memory_mb"`
		Sockets int     `json:"sockets"`
	} `json:"limits"`
}

// read reads the file whole; an error names it and the key.
func read(path string) (listen netip.AddrPort, memory float64, place front.Config, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return listen, 0, place, err
	}
	wrong := func(format string, args ...any) (netip.AddrPort, float64, front.Config, error) {
		return listen, 0, place, fmt.Errorf("%s: %w", path, fmt.Errorf(format, args...))
	}
	var c configuration
	if err := json.Unmarshal(b, &c); err != nil {
		return wrong("%w", err)
	}
	place = front.Config{Sockets: c.Limits.Sockets}
	for _, a := range []struct {
		key, text string
		to        *netip.AddrPort
	}{{"listen", c.Listen, &listen}, {"discovery", c.Discovery, &place.Discovery}, {"hub.address", c.Hub.Address, &place.Relay}} {
		if *a.to, err = netip.ParseAddrPort(a.text); err != nil {
			return wrong("%s: no address and port: %q", a.key, a.text)
		}
	}
	if c.Limits.Memory <= 0 || c.Limits.Sockets <= 0 {
		return wrong("limits: memory_mb and sockets have to be above 0")
	}
	if place.Seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return wrong("seed: %w", err)
	}
	if place.Deployment, err = deployment.Read(c.Settings); err != nil {
		return wrong("settings: %w", err)
	}
	if len(c.Known) > 0 { // it may be out of date as it is: where it can't be read discovery tells all
		place.Known, place.KnownErr = discovery.Parse(c.Known)
	}
	return listen, c.Limits.Memory, place, nil
}

// Run runs a coordinator until it is told to end by SIGTERM or SIGINT. SIGHUP has it read its configuration again.
func Run(log *slog.Logger) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := os.Getenv(variable)
	if path == "" {
		return errors.New(variable + " names no configuration file")
	}
	listen, memory, place, err := read(path)
	if err != nil {
		return err
	}
	for _, doubt := range place.Deployment.Warnings() {
		log.Warn("the settings do not allow to keep every rule", "key", doubt)
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memory * softPart * (1 << 20)))
	place.Sockets = descriptors(place.Sockets)
	program := front.New(place, log)
	server, err := eventloop.Listen(program, []netip.AddrPort{listen}, netip.AddrPort{}, eventloop.Clock())
	if err != nil {
		return err
	}
	log.Info("coordinator runs", "listen", listen, "discovery", place.Discovery, "hub", place.Relay, "memory_mb", memory,
		"sockets", place.Sockets)
	for {
		select {
		case err := <-server.Ended(): // a coordinator that can't be dialled is of no use: it is to be started anew
			return fmt.Errorf("the event loop has ended by itself: %w", cmp.Or(err, errDescriptors))
		case s := <-signals:
			if s != syscall.SIGHUP {
				log.Info("coordinator ends", "signal", s.String())
				leave(func() { server.Do(func(float64) { program.Leave() }) })
				return nil
			}
			_, _, place, err := read(path)
			if err != nil {
				log.Error("configuration stands as it was", "error", err)
				continue
			}
			log.Info("configuration read again", "discovery", place.Discovery, "hub", place.Relay)
			server.Do(func(now float64) { program.SetAddresses(now, place.Discovery, place.Relay) })
		}
	}
}

var errDescriptors = errors.New("no descriptor was left for a caller")

// leave has all connections closed, if the loop comes to it in time; they end with the process otherwise.
func leave(do func()) {
	done := make(chan struct{})
	go func() {
		do()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(leaveWithin):
	}
}

// descriptors is how many the process may hold: what it is told, or less where its limit is lower.
func descriptors(told int) int {
	var l unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &l) == nil && l.Cur < uint64(told) {
		return int(l.Cur)
	}
	return told
}
