package tenancy

import (
	"net/netip"
	"slices"
)

// Bits of the address prefixes by which unidentified connections are counted.
const (
	ipv4NetworkBits = 24
	ipv6NetworkBits = 48
)

// Conn is the number of a connection, given by its driver.
type Conn uint64

// Frontend is the protocol of a connection.
type Frontend uint8

// The frontends.
const (
	SASP Frontend = iota + 1
	HTTP
)

// IdentityParser finds the UID in the first bytes of a connection. With needMore, it needs more bytes. An error is final:
// the bytes contain no UID.
type IdentityParser func(received []byte) (uid string, needMore bool, err error)

// RejectReason is why a connection is rejected.
type RejectReason int

// The reasons to reject a connection.
const (
	NotRejected           RejectReason = iota
	TooManyUnidentified                // too many connections whose tenant is not known
	IdentifyTimedOut                   // it sent no UID in time
	MalformedIdentity                  // it sent no valid UID
	UnknownTenant                      // there is no such tenant
	TenantStarting                     // its tenant does not run yet
	TenantConnectionsFull              // its tenant has as many connections as it may
	AcceptRateExceeded                 // its tenant's proxies connect faster than its share
	NetworkNotAllowed                  // its address is not in its tenant's networks
)

// rejectTexts are sent to proxies and are the values of a metric label, so they must not change.
var rejectTexts = [...]string{
	NotRejected:           "",
	TooManyUnidentified:   "too many connections that have not said who they are",
	IdentifyTimedOut:      "it has not said who it is",
	MalformedIdentity:     "what it says names nobody",
	UnknownTenant:         "there is no such tenant",
	TenantStarting:        "its tenant is being started",
	TenantConnectionsFull: "its tenant has as many connections as it may",
	AcceptRateExceeded:    "its tenant's relays come faster than they may",
	NetworkNotAllowed:     "it does not come from its tenant's networks",
}

// String describes the reason for the proxy.
func (r RejectReason) String() string { return rejectTexts[r] }

// RouterLimits bounds what unidentified connections may take, and how fast connections are accepted. A connection beyond
// a limit is closed. Times are in seconds.
type RouterLimits struct {
	Unidentified           int     // connections whose tenant is not known
	UnidentifiedPerNetwork int     // such connections from one network, of 24 bits of IPv4 or 48 of IPv6
	UnidentifiedBytes      int     // that one of them may send
	TotalBuffered          int     // bytes that all of them may send
	IdentifyTimeout        float64 // until the tenant must be known
	MaxTenants             int
	AcceptRate             float64 // connections per second of all tenants
	AcceptBurst            float64 // connections at once of all tenants
	RetryAfter             float64 // least time after which rejected connections may come back
}

// DefaultRouterLimits are the limits without settings.
var DefaultRouterLimits = RouterLimits{
	Unidentified:           8192,     // many proxies that dial at once; they are identified by their first message
	UnidentifiedPerNetwork: 2048,     // a quarter, so that one network that only dials leaves room for others
	UnidentifiedBytes:      32 << 10, // a registration of 700 members in one message
	TotalBuffered:          16 << 20, // of 500 such messages at once
	IdentifyTimeout:        5,        // half of what an identified connection may be silent
	MaxTenants:             20000,
	AcceptRate:             5000, // at 50 microseconds each
	AcceptBurst:            5000, // the most proxies of one tenant, at once
	RetryAfter:             1,
}

// unidentifiedConn is a connection whose tenant is not known yet.
type unidentifiedConn struct {
	id       Conn
	from     netip.Addr
	frontend Frontend
	openedAt float64
	received []byte
}

// tenantRoute is what the router knows of a tenant.
type tenantRoute struct {
	connections    int
	maxConnections int
	ready          bool
	networks       []netip.Prefix // empty: any
}

// allows tells whether a tenant's connections may come from an address.
func (t *tenantRoute) allows(from netip.Addr) bool {
	return len(t.networks) == 0 ||
		slices.ContainsFunc(t.networks, func(network netip.Prefix) bool { return network.Contains(from) })
}

// networkOf is the network of an address, by which unidentified connections are counted.
func networkOf(address netip.Addr) netip.Prefix {
	bits := ipv4NetworkBits
	if address.Is6() {
		bits = ipv6NetworkBits
	}
	network, _ := address.Prefix(bits) // fails only for more bits than the address has
	return network
}
