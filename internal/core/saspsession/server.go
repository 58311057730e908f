// Package saspsession keeps the SASP sessions (RFC 4678) of a fleet: its connections, the balancers and members that
// speak on them, what these have registered, and the messages that answer them or are pushed to them.
//
// It is pure: received bytes, times and delivery reports of the kernel come in as arguments, bytes go out through an
// interface. docs/sasp.md says which parts of the RFC are supported.
package saspsession

import (
	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/wire/sasp"
)

// Conn identifies a connection. The driver assigns the numbers and uses each of them once.
type Conn uint64

// Handler carries out what a Server decides.
type Handler interface {
	// Send sends bytes on a connection. It must copy them before it returns, since the Server reuses them.
	Send(conn Conn, data []byte)
	// Close closes a connection.
	Close(conn Conn)
	// OrderDrain takes the start or the end of a drain that a member or its agent ordered. If the ticket is 0, the order is
	// in force at once. Otherwise it must not be applied here, and its sender is answered when OrderCompleted reports the
	// outcome of the ticket. ok is false if the order cannot be taken.
	OrderDrain(now float64, server balancer.Server, on bool) (ticket uint64, ok bool)
	// Log logs an event with pairs of keys and values.
	Log(event string, pairs ...any)
}

// Limits bound the resources that a Server uses for its peers. A connection that exceeds one is closed and logged, except
// where the field says otherwise.
type Limits struct {
	MaxConnections   int     // a connection beyond it is closed at once
	MaxMessageBytes  int     // bytes of a message
	MaxBuffered      int     // bytes of incomplete messages, over all connections
	MaxUnread        int     // bytes sent on a connection that its peer has not received
	IdentifyTimeout  float64 // seconds until the peer of a connection must have identified itself
	MessageRate      float64 // messages per second on one connection, on average
	MessageBurst     float64 // messages that may come at once
	MaxGroups        int     // groups of one balancer; a further one is answered with InvalidGroup
	MaxMembers       int     // members of one group; a further one is answered with NotAccepted
	TakeoverInterval float64 // seconds between two connections that claim one UID
}

// DefaultLimits are the limits that the settings start from.
var DefaultLimits = Limits{
	MaxConnections:   16384,     // three for each of 5,000 relays while they reconnect
	MaxMessageBytes:  256 << 10, // 8,000 rows
	MaxBuffered:      64 << 20,  // 256 of the largest messages
	MaxUnread:        1 << 20,   // four of the largest messages
	IdentifyTimeout:  10,        // the longest pause of a relay that is still alive
	MessageRate:      200,       // a relay sends a few messages a minute
	MessageBurst:     400,       // a relay registers each of its groups when it starts
	MaxGroups:        64,        // the largest number of classes
	MaxMembers:       4096,      // the limit of the registry
	TakeoverInterval: 1,         // a relay dials at most once a second
}

// Policy determines who may register what.
type Policy struct {
	FleetUID          string // the UID under which members register with the coordinator itself; empty: none
	BalancersRegister bool   // servers are in service because a balancer registers them
	AnyAgent          bool   // a member's messages may come from a host other than the member's
	AllowUnlisted     bool   // members that the settings do not list may register themselves
	MembersOnly       bool   // only members are served; relays, which need more than SASP offers, use another frontend
}

// Stats counts events since the start, for metrics.
type Stats struct {
	Received, Replied, Pushed, Rejected, Malformed, Closed, Takeovers, Skipped int
}

// Server keeps the SASP sessions of one coordinator. Use New.
type Server struct {
	fleet         *controlplane.Fleet
	handler       Handler
	limits        Limits
	policy        Policy
	conns         map[Conn]*connection
	balancers     map[string]*loadBalancer // by UID
	byProxy       map[balancer.Proxy]*joinedBalancer
	members       map[balancer.Server]*memberState // servers that registered themselves
	bufferedBytes int                              // bytes of incomplete messages, over all connections

	lastExpiryCheck float64
	registryVersion int // version of the registry that relays without Trust were last scheduled for
	lastPushID      uint32
	pendingDrains   map[uint64]*drainRequest // by ticket

	addressNames    map[sasp.Address]balancer.Server
	serverAddresses map[balancer.Server]sasp.Address

	incoming    sasp.Message // reused for every received message
	outgoing    sasp.Message // reused for every sent message
	sendBuffer  []byte
	removedRows []sasp.Row // rows without weight of the group that is being written

	// Stats counts events since the start.
	Stats Stats
}

// New makes a Server for a fleet; what it decides goes to the handler.
func New(fleet *controlplane.Fleet, handler Handler, limits Limits, policy Policy) *Server {
	return &Server{
		fleet:           fleet,
		handler:         handler,
		limits:          limits,
		policy:          policy,
		conns:           map[Conn]*connection{},
		balancers:       map[string]*loadBalancer{},
		byProxy:         map[balancer.Proxy]*joinedBalancer{},
		members:         map[balancer.Server]*memberState{},
		pendingDrains:   map[uint64]*drainRequest{},
		addressNames:    map[sasp.Address]balancer.Server{},
		serverAddresses: map[balancer.Server]sasp.Address{},
	}
}

// Reconfigure replaces limits and policy from now on. Existing connections and registrations stay.
func (s *Server) Reconfigure(limits Limits, policy Policy) {
	s.limits = limits
	s.policy = policy
}

// Tick does what is due by time after a round of the fleet: it schedules updates that follow changes of the registry,
// forgets registrations that the registry has ended, and closes connections that have expired.
func (s *Server) Tick(now float64) {
	version := s.fleet.Registry.Version()
	if version != s.registryVersion {
		s.registryVersion = version
		s.scheduleUntrusting(now)
	}
	if now-s.lastExpiryCheck >= expiryCheckInterval {
		s.lastExpiryCheck = now
		s.forgetEndedMembers(now)
		s.closeExpired(now)
	}
}
