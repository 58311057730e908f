package controlplane

// DisconnectReason returns why a proxy must be disconnected, or "" if it need not be. The reasons are a message that was
// not acknowledged in time, a drain that has waited too long for the proxy, and load reports that show that the proxy
// does not apply what it acknowledges. A proxy that reconnects receives the newest table first, and so stops sending
// to draining servers. The cost is that proxies which are merely slow to acknowledge have to reconnect.
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

// DrainOverdue returns why a proxy must be disconnected because of a drain that has waited too long for it, or "" if
// there is no such drain.
func (f *Fleet) DrainOverdue(now float64, proxy *Proxy) string {
	limit := f.site.Limits.DrainFraction * f.site.Guarantees.DrainDeadline
	if !proxy.Joined || !proxy.urgent || f.site.DisabledGuards[GuardOverdue] || now-proxy.urgentSince <= limit {
		return ""
	}
	f.Stats.Overdue++
	return "a drain has waited for most of its deadline"
}

// Noncompliance returns why a proxy must be disconnected because its load reports show attempts at a server that was
// removed from its tables, or "" if there are none.
func (f *Fleet) Noncompliance(proxy *Proxy) string {
	if !proxy.Joined || proxy.noncompliantWith == "" {
		return ""
	}
	f.Stats.Noncompliant++
	return "load reports show attempts at " + string(proxy.noncompliantWith) + " after its removal"
}

// HasUrgentChange reports whether an urgent change, such as a drain, is pending for a proxy.
func (f *Fleet) HasUrgentChange(proxy *Proxy) bool { return proxy.urgent }
