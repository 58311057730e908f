// Package saspsession implements the SASP sessions (RFC 4678) of a fleet: its connections, the balancers and members
// that communicate on them, their registrations, and the messages that are sent to them as replies or pushed.
//
// The package is pure: received bytes, times and delivery reports of the kernel are passed in as arguments, and bytes
// are sent through an interface. docs/sasp.md lists the supported parts of the RFC.
package saspsession

import (
	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/wire/sasp"
)

// Conn identifies a connection. The driver assigns the numbers and never reuses one.
type Conn uint64

// Handler performs the actions of a Server, such as sending bytes and ordering drains.
type Handler interface {
	// Send sends bytes on a connection. It must copy them before it returns, since the Server reuses them.
	Send(conn Conn, data []byte)
	// Close closes a connection.
	Close(conn Conn)
	// OrderDrain orders the start or the end of a drain, as a member or its agent requested. If the ticket is 0, the
	// order is in force at once and the Server applies it. Otherwise the Server does not apply it, and replies to the
	// sender when OrderCompleted reports the outcome of the ticket. ok is false if the order is rejected.
	OrderDrain(now float64, server balancer.Server, on bool) (ticket uint64, ok bool)
	// Log logs an event with pairs of keys and values.
	Log(event string, pairs ...any)
}

// Limits bound the resources that a Server uses for its peers. A connection that exceeds a limit is closed and logged,
// unless the comment on the field says otherwise.
type Limits struct {
	MaxConnections   int     // open connections; one more is closed as soon as it is opened
	MaxMessageBytes  int     // bytes of one message
	MaxBuffered      int     // bytes of incomplete messages over all connections together
	MaxUnread        int     // bytes sent on one connection that its peer has not received
	IdentifyTimeout  float64 // seconds within which the peer of a connection must identify itself
	MessageRate      float64 // messages per second on one connection, on average
	MessageBurst     float64 // messages that may come at once
	MaxGroups        int     // groups of one balancer; the registration of one more is answered with InvalidGroup
	MaxMembers       int     // members of one group; the registration of one more is answered with NotAccepted
	TakeoverInterval float64 // least number of seconds between two connections that claim the same UID
}

// DefaultLimits are the limits that apply unless the settings change them.
var DefaultLimits = Limits{
	MaxConnections:   16384,     // three connections for each of 5,000 relays, while these reconnect
	MaxMessageBytes:  256 << 10, // enough for 8,000 rows
	MaxBuffered:      24 << 20,  // 96 messages of the maximum size
	MaxUnread:        1 << 20,   // four messages of the maximum size
	IdentifyTimeout:  10,        // the longest pause of a relay that is still alive
	MessageRate:      200,       // a relay normally sends a few messages per minute
	MessageBurst:     400,       // a relay registers each of its groups when it starts
	MaxGroups:        64,        // the largest number of classes
	MaxMembers:       4096,      // the limit of the registry
	TakeoverInterval: 1,         // a relay dials at most once a second
}

// Policy determines which peers may register which servers.
type Policy struct {
	FleetUID          string // UID under which members register with the coordinator itself; empty if they cannot
	BalancersRegister bool   // the registration of a server by a balancer puts the server into service
	AnyAgent          bool   // messages about a member may come from another host
	AllowUnlisted     bool   // members that the settings do not list may register themselves
	MembersOnly       bool   // only members are served; relays use another frontend, since they need more than SASP offers
}

// Stats holds counters of events since the start, for metrics.
type Stats struct {
	Received, Replied, Pushed, Rejected, Malformed, Closed, Takeovers, Skipped int
}

// Server manages the SASP sessions of one coordinator. Create one with New.
type Server struct {
	fleet         *controlplane.Fleet
	handler       Handler
	limits        Limits
	policy        Policy
	conns         map[Conn]*connection
	balancers     map[string]*loadBalancer // by UID
	byProxy       map[balancer.Proxy]*joinedBalancer
	members       map[balancer.Server]*memberState // the servers that registered themselves
	bufferedBytes int                              // bytes of incomplete messages over all connections together

	lastExpiryCheck float64
	registryVersion int                      // version of the registry for which relays without Trust were last scheduled
	lastPushID      uint32                   // message ID of the last SendWeights
	pendingDrains   map[uint64]*drainRequest // by ticket

	addressNames    map[sasp.Address]balancer.Server
	serverAddresses map[balancer.Server]sasp.Address

	incoming    sasp.Message // reused for every received message
	outgoing    sasp.Message // reused for every sent message
	sendBuffer  []byte       // reused for every sent message
	removedRows []sasp.Row   // rows with weight 0 of the group that is being appended to a message

	// Stats counts events since the start.
	Stats Stats
}

// New returns a Server for a fleet. The handler performs its actions.
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

// Reconfigure replaces the limits and the policy. Existing connections and registrations stay.
func (s *Server) Reconfigure(limits Limits, policy Policy) {
	s.limits = limits
	s.policy = policy
}

// Tick performs the time-dependent work after a round of the fleet: it schedules updates that changes of the registry
// require, removes registrations that the registry has ended, and closes connections that have expired.
func (s *Server) Tick(now float64) {
	version := s.fleet.Registry.Version()
	if version != s.registryVersion {
		s.registryVersion = version
		s.scheduleNonTrustingRelays(now)
	}
	if now-s.lastExpiryCheck >= expiryCheckInterval {
		s.lastExpiryCheck = now
		s.removeEndedSelfRegistrations(now)
		s.closeExpired(now)
	}
}
