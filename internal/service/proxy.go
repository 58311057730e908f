package service

import (
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/prometheus/client_golang/prometheus"

	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/proxy"
	"snowquay/internal/settings"
)

// snapshot is a proxy's table in a file, replaced whole.
type snapshot string

// Save of proxy.Store.
func (s snapshot) Save(b []byte) error {
	f, err := os.CreateTemp(filepath.Dir(string(s)), ".snapshot-*")
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), string(s))
	}
	if err != nil {
		_ = os.Remove(f.Name()) // it is of no use
	}
	return err
}

// Load of proxy.Store.
func (s snapshot) Load() ([]byte, error) {
	b, err := os.ReadFile(string(s))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return b, err
}

// Proxy runs a proxy until something comes on stop.
func Proxy(c *settings.Proxy, log *slog.Logger, stop <-chan os.Signal) (err error) {
	if c.Path != "" {
		c.Store = snapshot(c.Path)
	}
	c.Log = func(event string, pairs ...any) { log.Info(event, pairs...) }
	clock := eventloop.Clock()
	program := proxy.New(clock(), c.Config)
	server, err := eventloop.Listen(program, []netip.AddrPort{c.Listen}, netip.AddrPort{}, clock)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, server.Stop()) }()
	log.Info("proxy runs", "uid", c.UID, "clients", c.Listen, "coordinators", c.Coordinators, "classes", c.Forwarding.ClassNames)
	if c.Metrics.IsValid() {
		registry := prometheus.NewRegistry()
		registry.MustRegister(&proxyState{server, program})
		var h *http.Server
		if h, err = beside("metrics", c.Metrics, metrics(registry), log); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, shut(h)) }()
	}
	log.Info("proxy ends", "signal", (<-stop).String())
	return nil
}

// proxyState reads a proxy's figures when they are asked for.
type proxyState struct {
	server  *eventloop.Server
	program *proxy.Proxy
}

// Describe of prometheus.Collector: it is unchecked.
func (s *proxyState) Describe(chan<- *prometheus.Desc) {}

// Collect of prometheus.Collector.
func (s *proxyState) Collect(out chan<- prometheus.Metric) {
	s.server.Do(func(now float64) {
		gauge, count := figures("snowquay_proxy_", out)
		p, c := s.program, s.program.Core.Stats
		led := 0.0
		if joined, _ := p.Coordinator(); joined {
			led = 1
		}
		gauge("led", "1 while a coordinator leads the proxy.", led)
		gauge("table_age_seconds", "Since the table was last known to be the newest.", p.Core.Tables.Age(now))
		gauge("queries_under_way", "Queries under way.", float64(p.Core.InFlight()))
		gauge("client_connections", "Connections of clients.", float64(p.Clients()))
		count("queries", "Queries.", c.Requests)
		count("answered", "Answered.", c.Answered)
		count("failed", "Without an answer after all tries.", c.Failed)
		count("late", "Whose client timeout was over.", c.Late)
		count("refused", "Refused by levels and limits.", c.Rejected)
		count("nowhere", "For which no server had room, or a line.", c.NoServer)
		count("keys_reused", "With a key that another query had.", c.KeysReused)
		count("tries", "Tries.", c.Attempts)
		count("repeats", "Repeats.", c.Retries)
		count("hedges", "Hedges.", c.Hedges)
		count("over_budget", "Repeats that the budget forbade.", c.OverBudget)
		count("avoided", "Times that a server was avoided.", p.Core.Outliers.Ejections)
		count("tables", "Answers with tables that were applied.", p.Core.Tables.Stats.Applied)
		count("tables_old", "Of an older epoch, refused.", p.Core.Tables.Stats.Outdated)
		count("malformed", "Requests that could not be read.", p.Stats.Malformed)
		count("dials", "Connections to servers.", p.Stats.Dials)
		count("snapshots_failed", "Snapshots that could not be saved.", p.Stats.SaveFailed)
	})
}
