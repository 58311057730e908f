// Package service runs a coordinator, a host of many tenants or a proxy as a process: sockets, stores, metrics, traces and
// the administration API.
package service

import (
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/env"
	"snowquay/internal/frontend/eventloop"
)

const (
	leaveTimeout      = 2 * time.Second       // limit for the other members of a group to learn that this one leaves
	gcPercent         = 50                    // heap growth in percent that triggers a collection
	leavePollInterval = 20 * time.Millisecond // time between two checks whether they have learnt it
)

// process owns the resources that a running program has opened, and closes them in reverse order.
type process struct {
	role    string // "coordinator", "host" or "proxy", for the log
	logger  *slog.Logger
	server  *eventloop.Server
	failed  chan error // receives the error that stops the program; nil if nothing but a signal stops it
	closers []func() error
}

// limitGarbage makes the garbage collector run earlier than by default, so that data that many clients have sent and that is no longer
// needed does not double the memory of the process. The environment variable GOGC takes precedence.
func limitGarbage() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// onClose adds a function that close calls.
func (p *process) onClose(closer func() error) { p.closers = append(p.closers, closer) }

// close closes everything that was opened, the last one first, and joins the errors.
func (p *process) close() error {
	var err error
	for i := len(p.closers) - 1; i >= 0; i-- {
		err = errors.Join(err, p.closers[i]())
	}
	return err
}

// groupMember holds what a process needs to take part in its group.
type groupMember struct {
	storage     consensus.Storage
	incarnation uint64
	addresses   []netip.AddrPort // addresses to which the other members connect
}

// openGroup opens the consensus log of a member at a path. It returns the zero groupMember if there is no group. From
// then on the process stops when fail is called.
func (p *process) openGroup(config *coordinator.GroupConfig, path string) (groupMember, error) {
	p.failed = make(chan error, 1)
	if config == nil {
		return groupMember{}, nil
	}
	storage, err := consensus.OpenFileStorage(path, consensus.ID(config.Self))
	if err != nil {
		return groupMember{}, err
	}
	p.onClose(storage.Close)
	return groupMember{
		storage:     storage,
		incarnation: consensus.RandomID(),
		addresses:   []netip.AddrPort{config.Members[config.Self]},
	}, nil
}

// fail stops the process with an error. It is called at most once, so the send to the buffered channel never blocks.
func (p *process) fail(err error) { p.failed <- err }

// listen starts the event loop of the program.
func (p *process) listen(program env.Program, addresses []netip.AddrPort, measurements netip.AddrPort, clock func() float64) error {
	server, err := eventloop.Listen(program, addresses, measurements, clock)
	if err != nil {
		return err
	}
	p.server = server
	p.onClose(server.Stop)
	return nil
}

// serveMetrics serves the metrics endpoint. Requests in progress are answered before it closes.
func (p *process) serveMetrics(address netip.AddrPort, handler http.Handler) error {
	server, err := listenHTTP("metrics", address, handler, p.logger)
	if err != nil {
		return err
	}
	p.onClose(server.shutdown)
	return nil
}

// serveAdministration serves the administration API. Requests in progress are aborted when it closes.
func (p *process) serveAdministration(address netip.AddrPort, handler http.Handler) error {
	server, err := listenHTTP("administration", address, handler, p.logger)
	if err != nil {
		return err
	}
	p.onClose(server.abort)
	return nil
}

// wait blocks until a signal arrives or the program has failed, and returns the error it failed with. A failed
// program is not restarted here: proxies connect to another coordinator, and the process supervisor restarts this one
// or reports why it can't.
func (p *process) wait(stop <-chan os.Signal) error {
	select {
	case received := <-stop:
		p.logger.Info(p.role+" stopping", "signal", received.String())
		return nil
	case err := <-p.failed:
		return err
	}
}

// leave releases what this process owns in its group, and waits until the other members know of it, for leaveTimeout
// at most.
func (p *process) leave(leave func(now float64) (known bool)) {
	deadline := time.Now().Add(leaveTimeout)
	for time.Now().Before(deadline) {
		known := false
		p.server.Do(func(now float64) { known = leave(now) })
		if known {
			return
		}
		time.Sleep(leavePollInterval)
	}
}
