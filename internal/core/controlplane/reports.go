package controlplane

import (
	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
)

// maxDeliveries is how many messages to a proxy are remembered: at one per second, longer than any drain deadline.
const maxDeliveries = 16

// delivery is a message that the proxy's host has acknowledged.
type delivery struct {
	sentAt  float64 // 0: none
	ackedAt float64
}

// deliveryLog holds the latest deliveries to a proxy in a ring.
type deliveryLog struct {
	ring [maxDeliveries]delivery
	next int // where the next delivery goes; the oldest one is there now
}

func (l *deliveryLog) clear() { l.ring = [maxDeliveries]delivery{} }

func (l *deliveryLog) add(sentAt, ackedAt float64) {
	l.ring[l.next] = delivery{sentAt: sentAt, ackedAt: ackedAt}
	l.next = (l.next + 1) % maxDeliveries
}

// ackedSince is when the first message sent at a time or later was acknowledged; ok is false if none was.
func (l *deliveryLog) ackedSince(sent float64) (ackedAt float64, ok bool) {
	for i := range l.ring {
		d := l.ring[(l.next+i)%maxDeliveries]
		if d.sentAt >= sent && d.sentAt > 0 {
			return d.ackedAt, true
		}
	}
	return 0, false
}

// ReportUpstream takes a proxy's running totals at a server, which it counted at a time of its own clock. Reports that
// name an unknown server, or come from a proxy that is not joined, are counted and ignored.
func (f *Fleet) ReportUpstream(now, at float64, uid string, server balancer.Server, totals loadreport.Totals) {
	proxy := f.proxiesByUID[uid]
	if proxy == nil || !proxy.Joined {
		f.Stats.UnknownProxy++
		return
	}
	if _, ok := f.Registry.Find(server); !ok {
		f.Stats.UnknownServer++
		return
	}
	proxy.clockOffset = min(proxy.clockOffset, now-at)
	attempts, since := f.LoadReports.AddUpstream(now, at, proxy.ID, proxy.Zone, server, totals)
	if attempts > 0 && !f.site.DisabledGuards[GuardReports] {
		f.checkCompliance(proxy, server, since)
	}
}

// checkCompliance looks at attempts that a proxy reports at a server, counted since a time of its own clock. It notes
// the proxy as noncompliant if its host had acknowledged, before then, that the server is removed from its tables:
// an acknowledgement by the host says nothing about a program that does not read its messages. The proxy's clock is
// compared with ours by the fastest of its reports, so that late reports are not held against it.
func (f *Fleet) checkCompliance(proxy *Proxy, server balancer.Server, since float64) {
	if phase, _ := f.Registry.Phase(server); phase == balancer.Ready {
		return
	}
	removedAt := 0.0 // from the last of its tables
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		if !state.Assigned {
			return
		}
		at, ok := f.tables[state.Table].RemovedAt(server)
		if !ok {
			return
		}
		removedAt = max(removedAt, at)
	}
	// The first message sent from then on contains the removal, since urgent changes go first.
	ackedAt, ok := proxy.deliveries.ackedSince(removedAt)
	if ok && !proxy.urgent && since+proxy.clockOffset > ackedAt+f.site.Limits.ApplyGrace {
		proxy.noncompliantWith = server
	}
}

// ReportDemand takes a proxy's running totals of a request class. Reports that name an unknown class, or come from a
// proxy that is not joined, are counted and ignored.
func (f *Fleet) ReportDemand(now, at float64, uid, className string, totals loadreport.Totals) {
	proxy := f.proxiesByUID[uid]
	class, ok := f.Class(className)
	if proxy == nil || !proxy.Joined || !ok {
		f.Stats.UnknownProxy++
		return
	}
	f.LoadReports.AddDemand(now, at, proxy.ID, class, totals)
}

// ObserveUptime takes the seconds since a server's start. An unknown server is counted and ignored.
func (f *Fleet) ObserveUptime(now float64, server balancer.Server, uptime float64) {
	if _, ok := f.Registry.Find(server); !ok {
		f.Stats.UnknownServer++
		return
	}
	f.Registry.ObserveUptime(now, server, uptime)
}
