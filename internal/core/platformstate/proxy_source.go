package platformstate

import "snowquay/balancer"

// Times in seconds. The relay sends a heartbeat on each connection every second.
const (
	snapshotTimeout    = 0.5  // time after which a snapshot of the joined proxies ends if no heartbeat has ended it earlier
	heartbeatTimeout   = 1.25 // maximum time between two heartbeats
	maxSourceSkew      = 0.5  // maximum time between the arrivals of one event on two connections
	sourceStaleTimeout = 1.5  // time without events after which a source is considered stale
)

// proxyJoin records that a source reported a proxy as joined.
type proxyJoin struct {
	event    balancer.ProxyEvent
	at       float64
	snapshot bool // may be part of the snapshot: the source's first report of the proxy, before the snapshot ended
	repeated bool // the source reported another join of the proxy at most maxSourceSkew earlier
}

// Source holds the joined proxies as one connection to the relay reports them: first a snapshot of the proxies that
// had already joined, then the changes.
type Source struct {
	joined         map[balancer.Proxy]*proxyJoin
	latestJoinAt   map[balancer.Proxy]float64 // of every proxy that was reported, as joined or as left
	inSnapshot     bool
	openedAt       float64
	lastReceivedAt float64
	lastUpdateAt   float64 // when the last message after the snapshot arrived; 0 if there was none
}

// NewSource returns a source whose connection has just been subscribed to proxy events.
func NewSource(now float64) *Source {
	return &Source{
		joined:         map[balancer.Proxy]*proxyJoin{},
		latestJoinAt:   map[balancer.Proxy]float64{},
		inSnapshot:     true,
		openedAt:       now,
		lastReceivedAt: now,
	}
}

// OpenedAt returns the time at which the connection was subscribed.
func (s *Source) OpenedAt() float64 { return s.openedAt }

// InSnapshot reports whether the snapshot has not ended yet.
func (s *Source) InSnapshot() bool { return s.inSnapshot }

// SnapshotOverdue reports whether the snapshot must end although no heartbeat has ended it.
func (s *Source) SnapshotOverdue(now float64) bool {
	return s.inSnapshot && now-s.openedAt >= snapshotTimeout
}

// Complete reports whether the snapshot has ended and the connection is not stale.
func (s *Source) Complete(now float64) bool {
	return !s.inSnapshot && now-s.lastReceivedAt <= sourceStaleTimeout
}

// Overlaps reports whether the source has delivered every event from before a newer one was opened. A message that
// arrived at least maxSourceSkew later proves it, since a connection delivers in order.
func (s *Source) Overlaps(newer *Source) bool {
	return s.lastUpdateAt >= newer.openedAt+maxSourceSkew
}

// MayOverlap reports whether the source does not overlap a newer one yet, but may do so with its next heartbeat.
func (s *Source) MayOverlap(now float64, newer *Source) bool {
	return !s.Overlaps(newer) && now-s.lastReceivedAt <= heartbeatTimeout
}

func (s *Source) touch(now float64) {
	s.lastReceivedAt = now
	if !s.inSnapshot {
		s.lastUpdateAt = now
	}
}

// proxyJoined records a report that a proxy has joined.
func (s *Source) proxyJoined(now float64, event balancer.ProxyEvent) *proxyJoin {
	event.Joined = true
	latestAt, reported := s.latestJoinAt[event.Proxy]
	join := &proxyJoin{
		event:    event,
		at:       now,
		snapshot: s.inSnapshot && !reported,
		repeated: reported && now-latestAt <= maxSourceSkew,
	}
	s.joined[event.Proxy] = join
	s.latestJoinAt[event.Proxy] = now
	return join
}

// proxyLeft records a report that a proxy has left.
func (s *Source) proxyLeft(p balancer.Proxy) {
	delete(s.joined, p)
	if _, reported := s.latestJoinAt[p]; !reported {
		s.latestJoinAt[p] = s.openedAt
	}
}
