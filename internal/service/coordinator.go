package service

import (
	"errors"
	"log/slog"
	"os"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/frontend/admin"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/settings"
	"snowquay/internal/store"
)

// Serve runs a coordinator until a signal arrives on stop or the coordinator fails, and returns the error that it failed with.
// It sets the fields of config that belong to the running process, such as its logger.
func Serve(config *settings.Coordinator, logger *slog.Logger, stop <-chan os.Signal) (err error) {
	limitGarbage()
	proc := &process{role: "coordinator", logger: logger}
	defer func() { err = errors.Join(err, proc.close()) }()
	records, err := proc.openRecords(config.Store)
	if err != nil {
		return err
	}
	group, err := proc.openGroup(config.Group, config.GroupStore)
	if err != nil {
		return err
	}
	traces := newTraceRecorder(coordinatorTraceCapacity)
	config.ConnectionLimit = connectionLimit(eventloop.MaxDescriptors(), 2)
	config.Storage = group.storage
	config.Incarnation = group.incarnation
	config.OnFail = proc.fail
	config.Log = logger
	config.OnMessageTrace = traces.record
	clock := eventloop.Clock()
	program, err := coordinator.New(clock(), config.Config, records)
	if err != nil {
		return err
	}
	err = proc.listen(program, append(config.ListenAddresses(), group.addresses...), config.Measurements, clock)
	if err != nil {
		return err
	}
	logger.Info("coordinator started",
		"sasp", config.SASP, "http", config.HTTP, "measurements", config.Measurements, "store", config.Store,
		"servers", len(config.Site.Servers), "classes", len(config.Site.Classes))
	err = proc.serveCoordinatorMetrics(config, program, traces)
	if err != nil {
		return err
	}
	err = proc.serveCoordinatorAdministration(config, clock(), program, traces)
	if err != nil {
		return err
	}
	err = proc.wait(stop)
	if err != nil {
		return err
	}
	proc.leave(program.Leave)
	return nil
}

// openRecords opens the store of server records at a path. It returns nil if the path is empty.
func (p *process) openRecords(path string) (coordinator.Store, error) {
	if path == "" {
		return nil, nil
	}
	records, err := store.Open(path)
	if err != nil {
		return nil, err
	}
	p.onClose(records.Close)
	return records, nil
}

func (p *process) serveCoordinatorMetrics(config *settings.Coordinator, program *coordinator.Coordinator, traces *traceRecorder) error {
	if !config.Metrics.IsValid() {
		return nil
	}
	traces.registry.MustRegister(&coordinatorCollector{server: p.server, program: program})
	mux := metricsMux(traces.registry)
	mux.HandleFunc("GET /orders", traces.serveHTTP)
	return p.serveMetrics(config.Metrics, mux)
}

func (p *process) serveCoordinatorAdministration(
	config *settings.Coordinator, now float64, program *coordinator.Coordinator, traces *traceRecorder,
) error {
	if !config.Admin.IsValid() {
		return nil
	}
	administered := &administeredCoordinator{server: p.server, program: program, traces: traces}
	err := administered.Set("", config.Callers)
	if err != nil {
		return err
	}
	return p.serveAdministration(config.Admin, admin.New(now, administered, p.logger))
}

// administeredCoordinator gives the administration API access to a coordinator. It implements admin.Program.
type administeredCoordinator struct {
	authz.Credentials
	server  *eventloop.Server
	program *coordinator.Coordinator
	traces  *traceRecorder
}

// Do implements admin.Program.
func (c *administeredCoordinator) Do(f func(now float64)) { c.server.Do(f) }

// Fleet implements admin.Program.
func (c *administeredCoordinator) Fleet(tenancy.Name) (*controlplane.Fleet, bool) {
	return c.program.Fleet, true
}

// MessageTraces implements admin.Program.
func (c *administeredCoordinator) MessageTraces(_ tenancy.Name, proxyUID string) []admin.MessageTrace {
	return c.traces.log.latest("", proxyUID)
}

// Drain implements admin.Program.
func (c *administeredCoordinator) Drain(now float64, _ tenancy.Name, server balancer.Server, on bool, done func(ok bool)) {
	c.program.RequestDrain(now, server, on, done)
}
