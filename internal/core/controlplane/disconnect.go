package controlplane

// DisconnectReason tells why a proxy must be disconnected; empty if it need not be. It has not acknowledged a message in
// time, a drain has waited for it too long, or its load reports show that it does not apply what it acknowledges. A
// proxy that reconnects gets the newest table first, so that it does not go on sending to a server that drains. The cost
// is a reconnection of proxies that are only slow to acknowledge.
func (f *Fleet) DisconnectReason(now float64, p *Proxy) string {
	if reason := f.Noncompliance(p); reason != "" {
		return reason
	}
	switch {
	case !p.Joined:
		return ""
	case p.inFlight && now-p.inFlightSince > f.site.Limits.StallTimeout:
		f.Stats.Stalled++
		return "message not acknowledged within the stall timeout"
	case p.inFlight || p.Polls:
		return f.DrainOverdue(now, p)
	}
	return ""
}

// DrainOverdue tells why a proxy must be disconnected for a drain that has waited for it too long; empty if none has.
func (f *Fleet) DrainOverdue(now float64, p *Proxy) string {
	limit := f.site.Limits.DrainFraction * f.site.Guarantees.DrainDeadline
	if !p.Joined || !p.urgent || f.site.DisabledGuards[GuardOverdue] || now-p.urgentSince <= limit {
		return ""
	}
	f.Stats.Overdue++
	return "a drain has waited for most of its deadline"
}

// Noncompliance tells why a proxy must be disconnected for load reports that show attempts at a server removed from its
// tables; empty if there are none.
func (f *Fleet) Noncompliance(p *Proxy) string {
	if !p.Joined || p.noncompliantWith == "" {
		return ""
	}
	f.Stats.Noncompliant++
	return "load reports show attempts at " + string(p.noncompliantWith) + " after its removal"
}

// HasUrgent tells whether an urgent change, such as a drain, waits for a proxy.
func (f *Fleet) HasUrgent(p *Proxy) bool { return p.urgent }
