package controlplane

// DisconnectReason tells why a proxy must be disconnected; empty if it need not be. It has not acknowledged a message in
// time, a drain has waited for it too long, or its load reports show that it does not apply what it acknowledges. A
// proxy that reconnects gets the newest table first, so that it does not go on sending to a server that drains. The cost
// is a reconnection of proxies that are only slow to acknowledge.
func (f *Fleet) DisconnectReason(now float64, proxy *Proxy) string {
	if reason := f.Noncompliance(proxy); reason != "" {
		return reason
	}
	switch {
	case !proxy.Joined:
		return ""
	case proxy.inFlight && now-proxy.inFlightSince > f.site.Limits.StallTimeout:
		f.Stats.Stalled++
		return "message not acknowledged within the stall timeout"
	case proxy.inFlight || proxy.Polls:
		return f.DrainOverdue(now, proxy)
	}
	return ""
}

// DrainOverdue tells why a proxy must be disconnected for a drain that has waited for it too long; empty if none has.
func (f *Fleet) DrainOverdue(now float64, proxy *Proxy) string {
	limit := f.site.Limits.DrainFraction * f.site.Guarantees.DrainDeadline
	if !proxy.Joined || !proxy.urgent || f.site.DisabledGuards[GuardOverdue] || now-proxy.urgentSince <= limit {
		return ""
	}
	f.Stats.Overdue++
	return "a drain has waited for most of its deadline"
}

// Noncompliance tells why a proxy must be disconnected for load reports that show attempts at a server removed from its
// tables; empty if there are none.
func (f *Fleet) Noncompliance(proxy *Proxy) string {
	if !proxy.Joined || proxy.noncompliantWith == "" {
		return ""
	}
	f.Stats.Noncompliant++
	return "load reports show attempts at " + string(proxy.noncompliantWith) + " after its removal"
}

// HasUrgentChange tells whether an urgent change, such as a drain, waits for a proxy.
func (f *Fleet) HasUrgentChange(proxy *Proxy) bool { return proxy.urgent }
