package tenancy

import (
	"net/netip"
	"slices"
)

// Prefix lengths of the networks by which unidentified connections are counted.
const (
	ipv4NetworkBits = 24
	ipv6NetworkBits = 48
)

// Conn identifies a connection. Its number is assigned by the network driver.
type Conn uint64

// Frontend is the protocol of a connection.
type Frontend uint8

// Frontend protocols.
const (
	SASP Frontend = iota + 1
	HTTP
)

// IdentityParser extracts the UID from the first bytes received on a connection. needMore reports that it needs more bytes.
// An error is final: the bytes contain no UID.
type IdentityParser func(received []byte) (uid string, needMore bool, err error)

// RejectReason is the reason for which a connection is rejected.
type RejectReason int

// Reasons for rejecting a connection.
const (
	NotRejected           RejectReason = iota
	TooManyUnidentified                // there are too many connections whose tenant is not known
	IdentifyTimedOut                   // the proxy sent no UID in time
	MalformedIdentity                  // the proxy sent no valid UID
	UnknownTenant                      // the tenant does not exist
	TenantStarting                     // the tenant is not running yet
	TenantConnectionsFull              // the tenant has reached its maximum number of connections
	AcceptRateExceeded                 // the tenant's proxies connect faster than its share of the accept rate
	NetworkNotAllowed                  // the proxy's address is not in the tenant's networks
)

// rejectTexts are sent to proxies and used as values of a metric label, so they must not change.
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

// String returns the text that is sent to the proxy.
func (r RejectReason) String() string { return rejectTexts[r] }

// RouterLimits limits the resources of unidentified connections and the rate at which connections are accepted. A
// connection that exceeds a limit is closed. Times are in seconds.
type RouterLimits struct {
	Unidentified           int     // maximum number of connections whose tenant is not known
	UnidentifiedPerNetwork int     // maximum number of such connections from one network, an IPv4 /24 or IPv6 /48
	UnidentifiedBytes      int     // maximum bytes buffered for one of them
	TotalBuffered          int     // maximum bytes buffered for all of them
	IdentifyTimeout        float64 // time within which a connection must identify its tenant
	MaxTenants             int
	AcceptRate             float64 // connections accepted per second, for all tenants together
	AcceptBurst            float64 // connections accepted at once, for all tenants together
	RetryAfter             float64 // minimum time after which a rejected proxy may reconnect
}

// DefaultRouterLimits holds the limits that apply if the settings specify none.
var DefaultRouterLimits = RouterLimits{
	Unidentified:           8192,     // allows many proxies to connect at once; they are identified by their first message
	UnidentifiedPerNetwork: 2048,     // a quarter of Unidentified, so that a network that only opens connections leaves room for others
	UnidentifiedBytes:      32 << 10, // a registration of 700 members in one message
	TotalBuffered:          16 << 20, // 500 such messages at once
	IdentifyTimeout:        5,        // half the time for which an identified connection may be silent
	MaxTenants:             20000,
	AcceptRate:             5000, // each takes 50 microseconds
	AcceptBurst:            5000, // the maximum number of proxies of one tenant, all at once
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

// tenantRoute holds the router's state of a tenant.
type tenantRoute struct {
	connections    int
	maxConnections int
	ready          bool
	networks       []netip.Prefix // empty: any
}

// allows reports whether the tenant accepts connections from an address.
func (t *tenantRoute) allows(from netip.Addr) bool {
	return len(t.networks) == 0 ||
		slices.ContainsFunc(t.networks, func(network netip.Prefix) bool { return network.Contains(from) })
}

// networkOf returns the network of an address by which unidentified connections are counted.
func networkOf(address netip.Addr) netip.Prefix {
	bits := ipv4NetworkBits
	if address.Is6() {
		bits = ipv6NetworkBits
	}
	network, _ := address.Prefix(bits) // fails only if bits exceeds the address length
	return network
}
