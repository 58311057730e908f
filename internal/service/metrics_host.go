package service

import (
	"github.com/prometheus/client_golang/prometheus"

	"snowquay/internal/coordinator"
	"snowquay/internal/frontend/eventloop"
)

// hostCollector collects the metrics of a host when they are scraped.
type hostCollector struct {
	server  *eventloop.Server
	program *coordinator.Host
}

// tenantMetric is a gauge that a host has for each of its tenants.
type tenantMetric struct {
	desc  *prometheus.Desc
	value func(host *coordinator.Host, tenant *coordinator.TenantRuntime) float64
}

var tenantMetrics = []tenantMetric{
	{tenantDesc("runs", "1 while the tenant's coordinator runs."), tenantRunning},
	{tenantDesc("relays_joined", "Relays that are joined."), tenantJoinedProxies},
	{tenantDesc("waiting_lines", "Lines that wait in the tenant's channel."), tenantQueuedEntries},
	{tenantDesc("work_seconds_total", "Seconds of a core that it was reckoned at."), tenantCPUSeconds},
	{tenantDesc("longest_wait_seconds", "The longest that it was due and waited for its turn."), tenantLongestWait},
}

var rejectedConnectionsDesc = prometheus.NewDesc(
	"snowquay_host_refused_total", "Connections refused at the entry.", []string{"why"}, nil)

func tenantDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("snowquay_tenant_"+name, help, []string{"tenant"}, nil)
}

func tenantRunning(_ *coordinator.Host, tenant *coordinator.TenantRuntime) float64 {
	return boolGauge(tenant.Coordinator != nil)
}

func tenantJoinedProxies(_ *coordinator.Host, tenant *coordinator.TenantRuntime) float64 {
	if tenant.Coordinator == nil {
		return 0
	}
	return float64(tenant.Coordinator.Fleet.Joined())
}

func tenantQueuedEntries(_ *coordinator.Host, tenant *coordinator.TenantRuntime) float64 {
	if tenant.Coordinator == nil {
		return 0
	}
	queued, _ := tenant.Coordinator.Fleet.QueuedEntries()
	return queued
}

func tenantCPUSeconds(host *coordinator.Host, tenant *coordinator.TenantRuntime) float64 {
	cpuSeconds, _ := host.Scheduler.Usage(tenant.Name)
	return cpuSeconds
}

func tenantLongestWait(host *coordinator.Host, tenant *coordinator.TenantRuntime) float64 {
	_, longestWait := host.Scheduler.Usage(tenant.Name)
	return longestWait
}

// Describe implements prometheus.Collector. It describes nothing, since the set of metrics depends on the tenants.
func (c *hostCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *hostCollector) Collect(out chan<- prometheus.Metric) {
	doOnLoop(c.server, func(float64) {
		w := metricWriter{prefix: "snowquay_host_", out: out}
		w.writeGraphite(c.program.GraphiteSender())
		w.writeHost(c.program)
		w.writeRejectedConnections(c.program)
		w.writeTenants(c.program)
	})
}

func (w metricWriter) writeHost(host *coordinator.Host) {
	identified, unidentified, unidentifiedBytes := host.Router.Count()
	used := host.Directory.Used()
	w.gauge("tenants", "Tenants that there are.", float64(len(host.Directory.Tenants)))
	w.gauge("tenants_starting", "Of them, still to be started.", float64(host.PendingStarts()))
	w.gauge("connections", "Connections whose tenant is known.", float64(identified))
	w.gauge("strangers", "Connections that have not said whose they are.", float64(unidentified))
	w.gauge("strangers_bytes", "Bytes that they have sent.", float64(unidentifiedBytes))
	w.gauge("memory_promised_bytes", "Memory that tenants may take by their limits.", used.Memory)
	w.gauge("lines_promised", "Lines a second, likewise.", used.EntriesPerSecond)
	w.gauge("work_promised", "Seconds of a core a second, likewise.", used.CPU)
	w.gauge("turns_waiting", "Tenants that are due.", float64(host.Scheduler.DueLen()))
	w.counter("turns", "Turns of tenants.", host.Scheduler.Stats.Turns)
	w.counter("turns_urgent", "Those for drains.", host.Scheduler.Stats.Urgent)
	w.counter("turns_held", "Times that work was used up while tenants were due.", host.Scheduler.Stats.BudgetExhausted)
	w.counter("starts", "Tenants started.", host.Stats.Starts)
	w.counter("restarts", "Tenants that started anew for other settings.", host.Stats.Restarts)
	w.counter("revised", "Tenants that took other settings while they ran.", host.Stats.Reconfigured)
	w.counter("save_failed", "Changes and records that could not be made durable.", host.Stats.SaveFailures)
	w.counter("measurements_unsigned", "Measurement packets that nobody signed.", host.Stats.UnsignedPackets)
	w.counter("measurements_foreign", "Those signed by nobody who is known.", host.Stats.UnknownUserPackets)
	if host.Stats.Panics > 0 { // the metric exists from the first panic on
		w.counter("panics", "Panics of tenants, which were started again.", host.Stats.Panics)
	}
}

func (w metricWriter) writeRejectedConnections(host *coordinator.Host) {
	for reason, total := range host.Router.Rejected {
		w.out <- prometheus.MustNewConstMetric(
			rejectedConnectionsDesc, prometheus.CounterValue, float64(total), reason.String())
	}
}

func (w metricWriter) writeTenants(host *coordinator.Host) {
	for _, tenant := range host.Tenants() {
		for _, metric := range tenantMetrics {
			w.out <- prometheus.MustNewConstMetric(
				metric.desc, prometheus.GaugeValue, metric.value(host, tenant), string(tenant.Name))
		}
	}
}
