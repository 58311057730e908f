package service

import (
	"github.com/prometheus/client_golang/prometheus"

	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/proxy"
)

// proxyCollector collects the metrics of a proxy when they are scraped.
type proxyCollector struct {
	server  *eventloop.Server
	program *proxy.Proxy
}

// Describe implements prometheus.Collector. It describes nothing, like the collectors of the coordinator and the host.
func (c *proxyCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *proxyCollector) Collect(out chan<- prometheus.Metric) {
	c.server.Do(func(now float64) {
		w := metricWriter{prefix: "snowquay_proxy_", out: out}
		w.writeForwarding(c.program)
		w.writeTables(now, c.program)
	})
}

func (w metricWriter) writeForwarding(program *proxy.Proxy) {
	stats := program.Core.Stats
	w.gauge("queries_under_way", "Queries under way.", float64(program.Core.InFlight()))
	w.gauge("client_connections", "Connections of clients.", float64(program.Clients()))
	w.counter("queries", "Queries.", stats.Requests)
	w.counter("answered", "Answered.", stats.Answered)
	w.counter("failed", "Without an answer after all tries.", stats.Failed)
	w.counter("late", "Whose client timeout was over.", stats.DeadlineExceeded)
	w.counter("refused", "Refused by levels and limits.", stats.Rejected)
	w.counter("nowhere", "For which no server had room, or a line.", stats.NoServer)
	w.counter("keys_reused", "With a key that another query had.", stats.KeysReused)
	w.counter("tries", "Tries.", stats.Attempts)
	w.counter("repeats", "Repeats.", stats.Retries)
	w.counter("hedges", "Hedges.", stats.Hedges)
	w.counter("over_budget", "Repeats that the budget forbade.", stats.OverBudget)
	w.counter("avoided", "Times that a server was avoided.", program.Core.Outliers.Ejections)
	w.counter("malformed", "Requests that could not be read.", program.Stats.Malformed)
	w.counter("dials", "Connections to servers.", program.Stats.Dials)
}

func (w metricWriter) writeTables(now float64, program *proxy.Proxy) {
	joined, _ := program.Coordinator()
	tables := program.Core.Tables
	w.gauge("led", "1 while a coordinator leads the proxy.", boolGauge(joined))
	w.gauge("table_age_seconds", "Since the table was last known to be the newest.", tables.Age(now))
	w.counter("tables", "Answers with tables that were applied.", tables.Stats.Applied)
	w.counter("tables_old", "Of an older epoch, refused.", tables.Stats.Outdated)
	w.counter("snapshots_failed", "Snapshots that could not be saved.", program.Stats.SaveFailed)
}
