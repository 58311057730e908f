package controlplane

import (
	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
)

// maxDeliveries is the number of messages to a proxy that are remembered. At one message per second, they cover more than
// any drain deadline.
const maxDeliveries = 16

// delivery records a message that the proxy's host has acknowledged.
type delivery struct {
	sentAt  float64 // 0 if the ring slot is unused
	ackedAt float64
}

// deliveryLog is a ring buffer of the latest deliveries to a proxy.
type deliveryLog struct {
	ring [maxDeliveries]delivery
	next int // index of the next delivery to write, which is also the oldest one
}

func (l *deliveryLog) clear() { l.ring = [maxDeliveries]delivery{} }

func (l *deliveryLog) add(sentAt, ackedAt float64) {
	l.ring[l.next] = delivery{sentAt: sentAt, ackedAt: ackedAt}
	l.next = (l.next + 1) % maxDeliveries
}

// ackedSince returns the acknowledgement time of the first delivery that was sent at a given time or later; ok is false
// if there is none.
func (l *deliveryLog) ackedSince(sent float64) (ackedAt float64, ok bool) {
	for i := range l.ring {
		d := l.ring[(l.next+i)%maxDeliveries]
		if d.sentAt >= sent && d.sentAt > 0 {
			return d.ackedAt, true
		}
	}
	return 0, false
}

// ReportUpstream records a proxy's running totals for a server, as of time at on the proxy's own clock. Reports about an
// unknown server, or from a proxy that is not joined, are counted and ignored.
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
	attempts, since := f.LoadReports.AddUpstream(now, at, proxy.ID, proxy.Zone, server, totals)
	if attempts <= 0 {
		return
	}
	proxy.clockOffset = min(proxy.clockOffset, now-at)
	if !f.site.DisabledGuards[GuardReports] {
		f.checkCompliance(proxy, server, since)
	}
}

// checkCompliance checks whether attempts at a server that a proxy reports, counted since a given time of its own clock,
// contradict the tables that it holds. It marks the proxy as noncompliant if its host had acknowledged the removal of the
// server from these tables before that time. This detects a proxy program that does not read its messages, which the
// acknowledgements of its host cannot show. The offset of the proxy's clock is taken from the fastest of its reports, so
// that delayed reports do not make a proxy noncompliant.
func (f *Fleet) checkCompliance(proxy *Proxy, server balancer.Server, since float64) {
	if phase, _ := f.Registry.Phase(server); phase == balancer.Ready {
		return
	}
	removedAt := 0.0 // time of the removal from the last of the proxy's tables
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
	// The first message sent after the removal contains it, since urgent changes are sent first.
	ackedAt, ok := proxy.deliveries.ackedSince(removedAt)
	if ok && !proxy.urgent && since+proxy.clockOffset > ackedAt+f.site.Limits.ApplyGrace {
		proxy.noncompliantWith = server
	}
}

// ReportDemand records a proxy's running totals for a request class. Reports about an unknown class, or from a proxy that
// is not joined, are counted and ignored.
func (f *Fleet) ReportDemand(now, at float64, uid, className string, totals loadreport.Totals) {
	proxy := f.proxiesByUID[uid]
	class, ok := f.Class(className)
	if proxy == nil || !proxy.Joined || !ok {
		f.Stats.UnknownProxy++
		return
	}
	f.LoadReports.AddDemand(now, at, proxy.ID, class, totals)
}

// ObserveUptime records the seconds since a server's start. Reports about an unknown server are counted and ignored.
func (f *Fleet) ObserveUptime(now float64, server balancer.Server, uptime float64) {
	if _, ok := f.Registry.Find(server); !ok {
		f.Stats.UnknownServer++
		return
	}
	f.Registry.ObserveUptime(now, server, uptime)
}
