package platformstate

import (
	"maps"
	"slices"

	"snowquay/balancer"
)

// knownProxy is a joined proxy of the registry.
type knownProxy struct {
	join      *proxyJoin
	uncertain bool // it may have left and joined again unnoticed
}

// ProxyRegistry holds the joined proxies as reported by its current source.
//
// Another source can replace the current one at any time. If the current one overlaps it, no event is missed, and no
// proxy has to be configured again. Otherwise any proxy may have left and joined again unnoticed, which ends what it
// was assigned, so all are treated as rejoined.
type ProxyRegistry struct {
	joined map[balancer.Proxy]knownProxy
	source *Source

	Rejoined uint64 // number of proxies that were treated as rejoined since events may have been missed
}

// NewProxyRegistry returns an empty registry without a source.
func NewProxyRegistry() *ProxyRegistry {
	return &ProxyRegistry{joined: map[balancer.Proxy]knownProxy{}}
}

// Len returns the number of joined proxies.
func (r *ProxyRegistry) Len() int { return len(r.joined) }

// Uncertain returns the number of joined proxies that may have left and joined again unnoticed. They are treated as
// rejoined once the source has reported them.
func (r *ProxyRegistry) Uncertain() int {
	count := 0
	for _, known := range r.joined {
		if known.uncertain {
			count++
		}
	}
	return count
}

// JoinEvents returns the join events of all joined proxies in the order of their numbers.
func (r *ProxyRegistry) JoinEvents() []balancer.ProxyEvent {
	var events []balancer.ProxyEvent
	for _, proxy := range slices.Sorted(maps.Keys(r.joined)) {
		events = append(events, r.joined[proxy].join.event)
	}
	return events
}

// Contains reports whether a proxy is joined.
func (r *ProxyRegistry) Contains(p balancer.Proxy) bool {
	_, ok := r.joined[p]
	return ok
}

// Touch records that a source's connection has delivered a message. A heartbeat must end the snapshot first.
func (r *ProxyRegistry) Touch(now float64, s *Source) { s.touch(now) }

// SwitchSource makes another source the current one. The differences are appended to events once the snapshot of the
// source is complete.
func (r *ProxyRegistry) SwitchSource(s *Source, events *balancer.Events) {
	if r.source == nil || !r.source.Overlaps(s) {
		r.markUncertain()
	}
	r.source = s
	if !s.inSnapshot {
		r.reconcile(events)
	}
}

// ProxyJoined records that a source reports a proxy as joined. A proxy that had already joined is reported as joining
// again, since its tables are unknown.
func (r *ProxyRegistry) ProxyJoined(now float64, s *Source, event balancer.ProxyEvent, events *balancer.Events) {
	join := s.proxyJoined(now, event)
	if r.source == s && (!join.snapshot || !r.Contains(event.Proxy)) {
		r.join(join, events)
	}
}

// ProxyLeft records that a source reports a proxy as left.
func (r *ProxyRegistry) ProxyLeft(s *Source, p balancer.Proxy, events *balancer.Events) {
	s.proxyLeft(p)
	if r.source == s {
		r.leave(p, events)
	}
}

// EndSnapshot ends the snapshot of a source unless it has already ended.
func (r *ProxyRegistry) EndSnapshot(s *Source, events *balancer.Events) {
	if !s.inSnapshot {
		return
	}
	s.inSnapshot = false
	if r.source == s {
		r.reconcile(events)
	}
}

func (r *ProxyRegistry) markUncertain() {
	for proxy, known := range r.joined {
		known.uncertain = true
		r.joined[proxy] = known
	}
}

func (r *ProxyRegistry) join(join *proxyJoin, events *balancer.Events) {
	r.joined[join.event.Proxy] = knownProxy{join: join}
	events.ProxyEvents = append(events.ProxyEvents, join.event)
}

func (r *ProxyRegistry) leave(p balancer.Proxy, events *balancer.Events) {
	if r.Contains(p) {
		delete(r.joined, p)
		events.ProxyEvents = append(events.ProxyEvents, balancer.ProxyEvent{Proxy: p})
	}
}

// reconcile makes the registry match its source. Proxies that the source does not list have left unnoticed.
func (r *ProxyRegistry) reconcile(events *balancer.Events) {
	source := r.source
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
		case known.mayHaveRejoined(join):
			r.Rejoined++
			r.join(join, events)
		}
	}
}

// mayHaveRejoined reports whether join, the latest one according to the source, may be a later join than the known one.
func (known knownProxy) mayHaveRejoined(join *proxyJoin) bool {
	switch {
	case known.join == join:
		return false
	case known.uncertain:
		return true
	case join.snapshot:
		return join.event.DefaultTable && !known.join.event.DefaultTable
	}
	return join.repeated || join.at > known.join.at+maxSourceSkew
}
