package service

import (
	"errors"
	"log/slog"
	"os"

	"snowquay/internal/coordinator"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/frontend/admin"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/settings"
	"snowquay/internal/store"
)

// ServeHost runs a host of many tenants until a signal arrives on stop or the host fails, and returns the error that it failed
// with. It sets the fields of config that belong to the running process, such as its loggers.
func ServeHost(config *settings.Host, logger *slog.Logger, stop <-chan os.Signal) (err error) {
	limitGarbage()
	proc := &process{role: "host", logger: logger}
	defer func() { err = errors.Join(err, proc.close()) }()
	tenants, err := store.OpenTenantStore(config.Store)
	if err != nil {
		return err
	}
	proc.onClose(tenants.Close)
	group, err := proc.openGroup(config.Group, config.GroupStore)
	if err != nil {
		return err
	}
	traces := newTraceRecorder(tenantTraceCapacity)
	loggers := newTenantLoggers(logger)
	config.ParseTenant = func(tenant tenancy.Tenant) (coordinator.TenantConfig, error) {
		return settings.ParseTenant(tenant.Name, tenant.Settings, config)
	}
	config.ConnectionLimit = connectionLimit(eventloop.MaxDescriptors(), 2)
	config.Storage = group.storage
	config.Incarnation = group.incarnation
	config.OnFail = proc.fail
	config.Log = loggers.logger
	config.OnMessageTrace = traces.recordTenant
	clock := eventloop.Clock()
	program, err := coordinator.NewHost(clock(), config.HostConfig, tenants)
	if err != nil {
		return err
	}
	err = program.Credentials.Set("", config.Callers)
	if err != nil {
		return err
	}
	err = proc.listen(program, append(config.ListenAddresses(), group.addresses...), config.Measurements, clock)
	if err != nil {
		return err
	}
	logger.Info("host started",
		"sasp", config.SASP, "http", config.HTTP, "administration", config.Admin, "store", config.Store,
		"tenants", program.PendingStarts())
	if config.Metrics.IsValid() {
		traces.registry.MustRegister(&hostCollector{server: proc.server, program: program})
		err = proc.serveMetrics(config.Metrics, metricsMux(traces.registry))
		if err != nil {
			return err
		}
	}
	administered := &administeredHost{server: proc.server, program: program, traces: traces, loggers: loggers}
	err = proc.serveAdministration(config.Admin, admin.NewHosted(clock(), administered, logger))
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
