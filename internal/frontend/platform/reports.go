package platform

import (
	"snowquay/balancer"
	"snowquay/internal/wire/collector"
)

// handleUpstreamReport handles a report of what the proxies of a zone observed at a server. It returns false if the
// report cannot be used.
func (p *Program) handleUpstreamReport(now float64, message collector.Message) bool {
	report, err := message.UpstreamReport()
	zone := p.zone(report.Zone)
	server := balancer.Server(report.Server)
	if err != nil || zone < 0 || !p.endpoints.Contains(server) {
		return false
	}
	p.counts.reports++
	p.events.Upstreams = append(p.events.Upstreams, balancer.UpstreamReport{
		Server:   server,
		Zone:     zone,
		Attempts: report.Attempts,
		Failed:   report.Failed,
		Latency:  report.Latency,
		Interval: report.Interval,
		Load:     report.Load.Values(p.metrics),
	})
	p.scheduleRound(now)
	return true
}

// handleDemandReport handles a report of the requests of one class that a proxy received. It returns false if the report
// cannot be used.
func (p *Program) handleDemandReport(now float64, message collector.Message) bool {
	report, err := message.DemandReport()
	class := p.class(report.Class)
	proxy := balancer.Proxy(report.Proxy)
	if err != nil || class < 0 || !p.proxies.Contains(proxy) {
		return false
	}
	demand := balancer.DemandReport{
		Proxy:    proxy,
		Class:    class,
		Requests: report.Requests,
		Failed:   report.Failed,
		Interval: report.Interval,
	}
	if !demand.Plausible() {
		return false
	}
	p.counts.reports++
	p.events.Demands = append(p.events.Demands, demand)
	p.scheduleRound(now)
	return true
}
