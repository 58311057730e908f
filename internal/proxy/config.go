package proxy

import (
	"math"
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/forwarding"
	"snowquay/internal/wire/http1"
)

// Route assigns requests whose path starts with a prefix to a request class. The longest matching prefix takes precedence.
type Route struct {
	Prefix string
	Class  balancer.Class
}

// Limits bounds the connections of a proxy and the size of requests and responses.
type Limits struct {
	MaxClients       int     // client connections; further ones are closed immediately
	MaxConnections   int     // connections of clients and to servers together; at the limit, clients without a request in flight are closed; 0: no limit
	MaxIdlePerServer int     // idle connections per server; further ones are closed after use
	IdleTimeout      float64 // seconds after which an idle client connection is closed
	MaxBuffered      int     // bytes of requests and responses of all clients together; the clients with the most are closed
	HTTP             http1.Limits
}

// DefaultLimits are the limits that apply unless the settings override them.
var DefaultLimits = Limits{
	MaxClients:       20000,
	MaxIdlePerServer: 64,
	IdleTimeout:      75,
	MaxBuffered:      24 << 20, // 24 requests of the maximum size
	HTTP:             http1.DefaultLimits,
}

// minBufferedMessages is the number of messages of the maximum size for which there is always room.
const minBufferedMessages = 4

// maxBuffered returns the effective limit on the bytes of the requests and responses of all clients.
func (l *Limits) maxBuffered() int {
	return max(l.MaxBuffered, minBufferedMessages*(l.HTTP.Head+l.HTTP.Body))
}

// idleServerShare is the part of MaxConnections that idle connections to servers may take.
const idleServerShare = 1.0 / 8

// maxIdleServerConns returns the limit on idle connections to all servers.
func (l *Limits) maxIdleServerConns() int {
	if l.MaxConnections <= 0 {
		return math.MaxInt
	}
	return int(idleServerShare * float64(l.MaxConnections))
}

// Config is the configuration of a Proxy.
type Config struct {
	UID            string
	Forwarding     forwarding.Config
	Routes         []Route
	Limits         Limits
	Coordinators   []netip.AddrPort                 // tried in turn, starting with a random one
	SASP           bool                             // whether to use SASP to communicate with coordinators instead of the long-poll API
	CollectorPort  uint16                           // port of the load report collectors on the coordinators' hosts; 0: no reports are sent
	User, Key      string                           // credentials that sign the load reports
	ReportInterval float64                          // seconds between load reports
	DefaultServers []balancer.Server                // servers with weight 1 in each table until the Store or a coordinator provides tables
	Seed           uint64                           // seed of the random choices, such as jittered delays
	Store          Store                            // stores the tables; nil: they are lost when the proxy stops
	Log            func(event string, pairs ...any) // nil: nothing is logged
	Observer       Observer                         // nil: none
}

// Store persists a proxy's tables across restarts.
type Store interface {
	// Save replaces the stored snapshot.
	Save([]byte) error
	// Load returns the stored snapshot, or nil if there is none.
	Load() ([]byte, error)
}

// Observer is notified of events in a proxy, for tests and invariant checks.
type Observer interface {
	// Joined is called when a coordinator has accepted the proxy.
	Joined(now float64)
	// Left is called when the proxy has lost its coordinator.
	Left(now float64)
	// TableChanged is called when tables have changed, and when the proxy joins with the tables that it already holds. entries is the
	// number of changed entries, or negative when the proxy joins; hasServer reports for each class whether its table has a server.
	TableChanged(now float64, entries int, hasServer []bool)
	// AttemptSent is called when a request is forwarded to a server.
	AttemptSent(now float64, server balancer.Server)
}
