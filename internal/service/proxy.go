package service

import (
	"errors"
	"log/slog"
	"net/netip"
	"os"

	"github.com/prometheus/client_golang/prometheus"

	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/proxy"
	"snowquay/internal/settings"
)

// ServeProxy runs a proxy until a signal arrives on stop. It sets the fields of config that belong to the running process, such as
// its logger.
func ServeProxy(config *settings.Proxy, logger *slog.Logger, stop <-chan os.Signal) (err error) {
	limitGarbage()
	proc := &process{role: "proxy", logger: logger}
	defer func() { err = errors.Join(err, proc.close()) }()
	if config.SnapshotPath != "" {
		config.Store = tableSnapshot(config.SnapshotPath)
	}
	config.Limits.MaxConnections = connectionLimit(eventloop.MaxDescriptors(), 1)
	config.Log = func(event string, pairs ...any) { logger.Info(event, pairs...) }
	clock := eventloop.Clock()
	program := proxy.New(clock(), config.Config)
	err = proc.listen(program, []netip.AddrPort{config.Listen}, netip.AddrPort{}, clock)
	if err != nil {
		return err
	}
	logger.Info("proxy started",
		"uid", config.UID, "clients", config.Listen, "coordinators", config.Coordinators,
		"classes", config.Forwarding.ClassNames)
	if config.Metrics.IsValid() {
		registry := prometheus.NewRegistry()
		registry.MustRegister(&proxyCollector{server: proc.server, program: program})
		err = proc.serveMetrics(config.Metrics, metricsMux(registry))
		if err != nil {
			return err
		}
	}
	return proc.wait(stop)
}
