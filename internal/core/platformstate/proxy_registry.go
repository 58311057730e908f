package platformstate

import (
	"maps"
	"slices"

	"snowquay/balancer"
)

// Times in seconds. The relay sends a heartbeat on each connection every second.
const (
	snapshotTimeout    = 0.5  // time after which a snapshot of the joined proxies ends if no heartbeat has ended it earlier
	maxUnnoticedGap    = 0.25 // time without events in which no proxy can leave and join again, since it must first detect the loss and dial
	heartbeatTimeout   = 1.25 // maximum time between two heartbeats
	maxSourceSkew      = 0.5  // maximum time between the reports of one join on two connections
	sourceStaleTimeout = 1.5  // time without events after which a source is considered stale
)

// proxyJoin records that a source reported a proxy as joined.
type proxyJoin struct {
	event    balancer.ProxyEvent
	at       float64
	snapshot bool // the proxy had joined before the source was opened
}

// Source holds the joined proxies as one connection to the relay reports them: first a snapshot of the proxies that
// had already joined, then the changes.
type Source struct {
	joined         map[balancer.Proxy]proxyJoin
	inSnapshot     bool
	openedAt       float64
	lastReceivedAt float64
}

// NewSource returns a source whose connection has just been subscribed to proxy events.
func NewSource(now float64) *Source {
	return &Source{joined: map[balancer.Proxy]proxyJoin{}, inSnapshot: true, openedAt: now, lastReceivedAt: now}
}

// Complete reports whether the snapshot has ended and the connection is not stale.
func (s *Source) Complete(now float64) bool {
	return !s.inSnapshot && now-s.lastReceivedAt <= sourceStaleTimeout
}

// OpenedAt returns the time at which the connection was subscribed.
func (s *Source) OpenedAt() float64 { return s.openedAt }

// InSnapshot reports whether the snapshot has not ended yet.
func (s *Source) InSnapshot() bool { return s.inSnapshot }

// SnapshotOverdue reports whether the snapshot must end although no heartbeat has ended it.
func (s *Source) SnapshotOverdue(now float64) bool {
	return s.inSnapshot && now-s.openedAt >= snapshotTimeout
}

// ProxyRegistry holds the joined proxies as reported by its current source.
//
// Another source that was subscribed without a gap can replace the current one at any time, and no proxy has to be
// configured again. After a gap, proxies may have left and joined again unnoticed, so they are treated as rejoined.
type ProxyRegistry struct {
	joined      map[balancer.Proxy]proxyJoin
	source      *Source
	currentUpTo float64 // time up to which all events are known

	Rejoined uint64 // number of proxies that were treated as rejoined since events may have been missed
}

// NewProxyRegistry returns an empty registry without a source.
func NewProxyRegistry() *ProxyRegistry {
	return &ProxyRegistry{joined: map[balancer.Proxy]proxyJoin{}}
}

// Len returns the number of joined proxies.
func (r *ProxyRegistry) Len() int { return len(r.joined) }

// JoinEvents returns the join events of all joined proxies in the order of their numbers.
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

// Touch records that a source's connection has delivered a message.
func (r *ProxyRegistry) Touch(now float64, s *Source) {
	s.lastReceivedAt = now
	if r.source == s && !s.inSnapshot {
		r.currentUpTo = now
	}
}

// MarkReplaced records that the connection of a source is replaced while it is still open; s may be nil. If no heartbeat
// is overdue, the source has reported every join and departure, so there is no gap. Without this, each new connection
// would make all proxies join again, and their assignments would fill the channel.
func (r *ProxyRegistry) MarkReplaced(now float64, s *Source) {
	if s != nil && r.source == s && !s.inSnapshot && now-s.lastReceivedAt <= heartbeatTimeout {
		r.currentUpTo = now
	}
}

// SwitchSource makes another source the current one. The differences are appended to events once the snapshot of the
// source is complete.
func (r *ProxyRegistry) SwitchSource(now float64, s *Source, events *balancer.Events) {
	r.source = s
	if !s.inSnapshot {
		r.reconcile(now, events)
	}
}

// ProxyJoined records that a source reports a proxy as joined. A proxy that had already joined is reported as joining
// again, since its tables are unknown.
func (r *ProxyRegistry) ProxyJoined(now float64, s *Source, event balancer.ProxyEvent, events *balancer.Events) {
	event.Joined = true
	join := proxyJoin{event: event, at: now, snapshot: s.inSnapshot}
	s.joined[event.Proxy] = join
	if r.source == s && (!s.inSnapshot || !r.Contains(event.Proxy)) {
		r.join(join, events)
	}
}

// ProxyLeft records that a source reports a proxy as left.
func (r *ProxyRegistry) ProxyLeft(s *Source, p balancer.Proxy, events *balancer.Events) {
	delete(s.joined, p)
	if r.source == s {
		r.leave(p, events)
	}
}

// EndSnapshot ends the snapshot of a source unless it has already ended.
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

// reconcile makes the registry match its source. Proxies that the source does not list have left unnoticed.
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
		switch {
		case !ok:
			r.join(join, events)
		case join.rejoined(known, gap, source.openedAt):
			r.Rejoined++
			r.join(join, events)
		}
	}
}

// rejoined reports whether j, reported by a new source, may be a later join than the known one of the same proxy. gap
// is true if events may have been missed before the source was opened.
func (j proxyJoin) rejoined(known proxyJoin, gap bool, openedAt float64) bool {
	switch {
	case gap && known.at < openedAt:
		return true
	case j.snapshot:
		return j.event.DefaultTable && !known.event.DefaultTable
	}
	return j.at > known.at+maxSourceSkew
}
