package balancer

import "slices"

// reportDelay is the mean delay of reports in seconds in addition to their period. It varies by about half.
const reportDelay = 1.0

// applyProxyEvent processes a proxy that joined or left. If a connected proxy joins again, its old
// connection is closed first.
func (b *Balancer) applyProxyEvent(now float64, event ProxyEvent) {
	if joining := b.proxyByID[event.Proxy]; joining != nil {
		b.disconnect(now, joining)
	}
	if !event.Joined {
		return
	}
	isSame := func(joining *proxy) bool { return joining.Proxy == event.Proxy }
	if slices.ContainsFunc(b.disconnected, isSame) {
		b.recoverZone(now, event.Zone)
		b.reconnectedAt = now
		b.disconnected = slices.DeleteFunc(b.disconnected, isSame)
	}
	joining := &proxy{
		ProxyEvent: event,
		joinedAt:   now,
		group:      b.groupOf(event),
		demand:     b.expectedDemand(event.ExpectedRate),
	}
	b.proxies = append(b.proxies, joining)
	b.proxyByID[event.Proxy] = joining
}

func (b *Balancer) disconnect(now float64, p *proxy) {
	p.leftAt = now
	if p.assigned {
		p.group.assignedProxies--
	}
	b.disconnected = append(b.disconnected, p)
	b.proxies = slices.DeleteFunc(b.proxies, func(other *proxy) bool { return other == p })
	delete(b.proxyByID, p.Proxy)
}

// recoverZone marks the end of a zone's outage when its first proxy reconnects. Reports of failing servers
// in the zone may still describe the outage, so they are ignored for a while, and these servers get at
// least half of their usual intake.
func (b *Balancer) recoverZone(now float64, zone Zone) {
	if slices.ContainsFunc(b.proxies, func(p *proxy) bool { return p.Zone == zone }) {
		return
	}
	for _, srv := range b.servers {
		newest := len(srv.samples) - 1
		if srv.Zone != zone || newest < 0 || srv.samples[newest].failed <= 0 {
			continue
		}
		srv.ignoreReportsUntil = now + b.reportPeriod + reportDelay
		srv.samples = nil
		srv.intake = max(srv.intake, srv.completionRates.Mean()/2)
	}
}

// expectedDemand splits the expected rate of a joining proxy into classes, in proportion to the demand of
// the connected proxies or evenly if they have none. The result is used until reports of the proxy itself
// arrive. An implausible rate counts as 0.
func (b *Balancer) expectedDemand(rate float64) []float64 {
	if !inRange(rate, 0, maxReportedRate) {
		rate = 0
	}
	total := offeredRate(b.proxies, nil, allClasses)
	demand := make([]float64, len(b.classes))
	for class := range demand {
		fraction := 1 / float64(len(b.classes))
		if total > 0 {
			fraction = offeredRate(b.proxies, nil, 1<<class) / total
		}
		demand[class] = rate * fraction
	}
	return demand
}
