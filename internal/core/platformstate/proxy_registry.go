package platformstate

import (
	"maps"
	"slices"

	"snowquay/balancer"
)

// Times in seconds. The relay sends a heartbeat on each connection every second.
const (
	snapshotTimeout    = 0.5  // for the joined proxies to be listed, if no heartbeat ends the list earlier
	maxUnnoticedGap    = 0.25 // without events in which no proxy can leave and join again: it has to notice and to dial
	heartbeatTimeout   = 1.25 // from one heartbeat to the next at most
	maxSourceSkew      = 0.5  // between the reports of the same join on two connections
	sourceStaleTimeout = 1.5  // without events until a source is not relied on
)

// proxyJoin is a proxy that a source reported as joined.
type proxyJoin struct {
	event    balancer.ProxyEvent
	at       float64
	snapshot bool // it had joined before the source was opened
}

// Source is what one connection to the relay reports of the joined proxies: first a snapshot of those that had
// joined, then the changes.
type Source struct {
	joined     map[balancer.Proxy]proxyJoin
	inSnapshot bool
	openedAt   float64
	heardAt    float64
}

// NewSource returns a source whose connection has just been subscribed to proxy events.
func NewSource(now float64) *Source {
	return &Source{joined: map[balancer.Proxy]proxyJoin{}, inSnapshot: true, openedAt: now, heardAt: now}
}

// Complete reports whether the snapshot has ended and the connection is alive.
func (s *Source) Complete(now float64) bool {
	return !s.inSnapshot && now-s.heardAt <= sourceStaleTimeout
}

// ProxyRegistry holds the joined proxies as one source at a time reports them.
//
// A source that has been subscribed all along can replace it at any time, and no proxy has to be configured
// again. If there was none, proxies may have left and joined again unnoticed, and count as rejoined.
type ProxyRegistry struct {
	joined      map[balancer.Proxy]proxyJoin
	source      *Source
	currentUpTo float64 // events are known up to this time
}

// NewProxyRegistry returns an empty registry without a source.
func NewProxyRegistry() *ProxyRegistry {
	return &ProxyRegistry{joined: map[balancer.Proxy]proxyJoin{}}
}

// Len returns the number of joined proxies.
func (r *ProxyRegistry) Len() int { return len(r.joined) }

// JoinEvents returns the joined proxies in the order of their numbers.
func (r *ProxyRegistry) JoinEvents() []balancer.ProxyEvent {
	var events []balancer.ProxyEvent
	for _, proxy := range slices.Sorted(maps.Keys(r.joined)) {
		events = append(events, r.joined[proxy].event)
	}
	return events
}

// Contains reports whether a proxy is joined.
func (r *ProxyRegistry) Contains(p balancer.Proxy) bool {
	_, ok := r.joined[p]
	return ok
}

// Touch records that a source's connection has delivered something.
func (r *ProxyRegistry) Touch(now float64, s *Source) {
	s.heardAt = now
	if r.source == s && !s.inSnapshot {
		r.currentUpTo = now
	}
}

// MarkReplaced says that the connection of a source is replaced while it stands; s may be nil. If its heartbeat
// is not overdue it would have reported every join and departure, so there was no gap. Otherwise each new
// connection would make all proxies join again, and their assignments would fill the channel.
func (r *ProxyRegistry) MarkReplaced(now float64, s *Source) {
	if s != nil && r.source == s && !s.inSnapshot && now-s.heardAt <= heartbeatTimeout {
		r.currentUpTo = now
	}
}

// SwitchSource follows another source from now on. What differs is appended to events once the snapshot of the
// source is complete.
func (r *ProxyRegistry) SwitchSource(now float64, s *Source, events *balancer.Events) {
	r.source = s
	if !s.inSnapshot {
		r.reconcile(now, events)
	}
}

// ProxyJoined records that a source reports a proxy as joined. A proxy that was joined already joins again,
// since its tables are not known.
func (r *ProxyRegistry) ProxyJoined(now float64, s *Source, event balancer.ProxyEvent, events *balancer.Events) {
	event.Joined = true
	join := proxyJoin{event: event, at: now, snapshot: s.inSnapshot}
	s.joined[event.Proxy] = join
	if r.source == s && (!s.inSnapshot || !r.Contains(event.Proxy)) {
		r.join(join, events)
	}
}

// ProxyLeft records that a source reports that a proxy has left.
func (r *ProxyRegistry) ProxyLeft(s *Source, p balancer.Proxy, events *balancer.Events) {
	delete(s.joined, p)
	if r.source == s {
		r.leave(p, events)
	}
}

// ExpireSnapshot ends the snapshot of a source that has been in it for too long.
func (r *ProxyRegistry) ExpireSnapshot(now float64, s *Source, events *balancer.Events) {
	if now-s.openedAt >= snapshotTimeout {
		r.EndSnapshot(now, s, events)
	}
}

// EndSnapshot ends the snapshot of a source, if it has not ended.
func (r *ProxyRegistry) EndSnapshot(now float64, s *Source, events *balancer.Events) {
	if !s.inSnapshot {
		return
	}
	s.inSnapshot = false
	if r.source == s {
		r.reconcile(now, events)
	}
}

func (r *ProxyRegistry) join(join proxyJoin, events *balancer.Events) {
	r.joined[join.event.Proxy] = join
	events.ProxyEvents = append(events.ProxyEvents, join.event)
}

func (r *ProxyRegistry) leave(p balancer.Proxy, events *balancer.Events) {
	if r.Contains(p) {
		delete(r.joined, p)
		events.ProxyEvents = append(events.ProxyEvents, balancer.ProxyEvent{Proxy: p})
	}
}

// reconcile makes the registry equal to its source: proxies that are absent there have left unnoticed.
func (r *ProxyRegistry) reconcile(now float64, events *balancer.Events) {
	source := r.source
	gap := source.openedAt-r.currentUpTo > maxUnnoticedGap
	r.currentUpTo = now
	for _, proxy := range slices.Sorted(maps.Keys(r.joined)) {
		if _, ok := source.joined[proxy]; !ok {
			r.leave(proxy, events)
		}
	}
	for _, proxy := range slices.Sorted(maps.Keys(source.joined)) {
		join := source.joined[proxy]
		known, ok := r.joined[proxy]
		if !ok || join.rejoined(known, gap, source.openedAt) {
			r.join(join, events)
		}
	}
}

// rejoined reports whether j, as a new source reports it, may be another join than the known one of the same
// proxy. gap says that events were missed before the source was opened.
func (j proxyJoin) rejoined(known proxyJoin, gap bool, openedAt float64) bool {
	switch {
	case gap && known.at < openedAt:
		return true
	case j.snapshot:
		return j.event.DefaultTable && !known.event.DefaultTable
	}
	return j.at > known.at+maxSourceSkew
}
