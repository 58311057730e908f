package tenancy

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"snowquay/internal/core/fairshare"
)

// acceptWindow is the time window in seconds for the fair sharing of the accept rate.
const acceptWindow = 0.1

// ErrInvalidRoute reports that a tenant can't be added to a router.
var ErrInvalidRoute = errors.New("invalid route")

// ConnectionRouter assigns connections to tenants. The proxies of all tenants connect to the same ports, and the first message
// on a connection determines its tenant permanently. Use NewConnectionRouter. It is not safe for concurrent use.
type ConnectionRouter struct {
	// Rejected counts rejected connections by reason.
	Rejected map[RejectReason]int

	limits  RouterLimits
	parsers map[Frontend]IdentityParser

	unidentified          map[Conn]*unidentifiedConn
	unidentifiedByNetwork map[netip.Prefix]int
	bufferedBytes         int // bytes received on all unidentified connections

	tenants      map[Name]*tenantRoute
	tenantByConn map[Conn]Name
	acceptRate   *fairshare.Allocator
}

// NewConnectionRouter returns a router without tenants.
func NewConnectionRouter(now float64, limits RouterLimits, parsers map[Frontend]IdentityParser) *ConnectionRouter {
	return &ConnectionRouter{
		Rejected:              map[RejectReason]int{},
		limits:                limits,
		parsers:               parsers,
		unidentified:          map[Conn]*unidentifiedConn{},
		unidentifiedByNetwork: map[netip.Prefix]int{},
		tenants:               map[Name]*tenantRoute{},
		tenantByConn:          map[Conn]Name{},
		acceptRate: fairshare.New(now, fairshare.Config{
			Rate:          limits.AcceptRate,
			Burst:         limits.AcceptBurst,
			BucketSeconds: 1,
			MaxTenants:    limits.MaxTenants,
			MaxYield:      acceptWindow,
		}),
	}
}

// Set adds or changes a tenant: its weight for the accept rate, its connection limit and the networks of its proxies (none:
// any). ready is false while the tenant is starting. Without networks, any client that can connect to the SASP port may
// impersonate any proxy of the tenant, since the protocol has no credentials. Errors wrap ErrInvalidRoute and the error of
// the accept rate's allocator.
func (r *ConnectionRouter) Set(now float64, name Name, weight float64, maxConnections int,
	networks []netip.Prefix, ready bool) error {
	if err := r.acceptRate.Set(now, fairshare.Tenant(name), "", weight); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidRoute, err)
	}
	route := r.tenants[name]
	if route == nil {
		route = &tenantRoute{}
		r.tenants[name] = route
	}
	route.maxConnections = maxConnections
	route.networks = networks
	route.ready = ready
	return nil
}

// Remove removes a tenant. It returns the tenant's connections in ascending order, which the caller must close.
func (r *ConnectionRouter) Remove(name Name) []Conn {
	connections := r.Connections(name)
	for _, conn := range connections {
		delete(r.tenantByConn, conn)
	}
	r.acceptRate.Remove(fairshare.Tenant(name))
	delete(r.tenants, name)
	return connections
}

// Connections returns a tenant's connections in ascending order.
func (r *ConnectionRouter) Connections(name Name) (connections []Conn) {
	route := r.tenants[name]
	if route == nil || route.connections == 0 {
		return nil
	}
	for conn, tenant := range r.tenantByConn {
		if tenant == name {
			connections = append(connections, conn)
		}
	}
	slices.Sort(connections)
	return connections
}

// Tenant returns the tenant of a connection. ok is false if the connection is not identified.
func (r *ConnectionRouter) Tenant(conn Conn) (name Name, ok bool) {
	name, ok = r.tenantByConn[conn]
	return name, ok
}

// Count returns the numbers of identified and unidentified connections, and the bytes received on the unidentified ones.
func (r *ConnectionRouter) Count() (identified, unidentified, buffered int) {
	return len(r.tenantByConn), len(r.unidentified), r.bufferedBytes
}

// Opened adds a new connection. If it returns a reason other than NotRejected, the caller must close the connection.
func (r *ConnectionRouter) Opened(now float64, conn Conn, from netip.Addr, frontend Frontend) RejectReason {
	from = from.Unmap()
	network := networkOf(from)
	if len(r.unidentified) >= r.limits.Unidentified ||
		r.unidentifiedByNetwork[network] >= r.limits.UnidentifiedPerNetwork {
		return r.reject(TooManyUnidentified)
	}
	r.unidentifiedByNetwork[network]++
	r.unidentified[conn] = &unidentifiedConn{id: conn, from: from, frontend: frontend, openedAt: now}
	return NotRejected
}

// Closed removes a connection.
func (r *ConnectionRouter) Closed(conn Conn) {
	if c := r.unidentified[conn]; c != nil {
		r.removeUnidentified(c)
	}
	name, ok := r.tenantByConn[conn]
	if !ok {
		return
	}
	delete(r.tenantByConn, conn)
	if route := r.tenants[name]; route != nil {
		route.connections--
	}
}

// RouteResult is the result of bytes received on an unidentified connection.
type RouteResult struct {
	Tenant     Name   // the connection's tenant from now on; empty if it is not known yet or the connection is rejected, except with TenantStarting
	Bytes      []byte // all bytes received on the connection, to be passed to the tenant
	Frontend   Frontend
	Reason     RejectReason // unless NotRejected, the caller must close the connection
	RetryAfter float64      // seconds after which the proxy may reconnect; 0: unspecified
}

// Receive processes bytes received on an unidentified connection. With TenantStarting, the result contains the tenant too.
func (r *ConnectionRouter) Receive(now float64, conn Conn, received []byte) RouteResult {
	c := r.unidentified[conn]
	if c == nil {
		return RouteResult{}
	}
	r.bufferedBytes += len(received)
	c.received = append(c.received, received...)
	uid, needMore, err := r.parsers[c.frontend](c.received)
	if err == nil && needMore && len(c.received) < r.limits.UnidentifiedBytes && r.bufferedBytes <= r.limits.TotalBuffered {
		return RouteResult{}
	}
	r.removeUnidentified(c)
	name, _, ok := SplitUID(uid)
	if err != nil || needMore || !ok {
		return RouteResult{Frontend: c.frontend, Reason: r.reject(MalformedIdentity)}
	}
	return r.route(now, c, name)
}

// route assigns an identified connection to its tenant, or rejects it.
func (r *ConnectionRouter) route(now float64, conn *unidentifiedConn, name Name) RouteResult {
	result := RouteResult{Frontend: conn.frontend, RetryAfter: r.limits.RetryAfter}
	route := r.tenants[name]
	switch {
	case route == nil:
		result.Reason = r.reject(UnknownTenant)
		return result
	case !route.allows(conn.from):
		result.Reason = r.reject(NetworkNotAllowed)
		result.RetryAfter = 0
		return result
	case !route.ready:
		result.Reason = r.reject(TenantStarting)
		result.Tenant = name
		return result
	case route.connections >= route.maxConnections:
		result.Reason = r.reject(TenantConnectionsFull)
		return result
	}
	wait, ok, err := r.acceptRate.Take(now, fairshare.Tenant(name), 1, false)
	if !ok || err != nil {
		result.Reason = r.reject(AcceptRateExceeded)
		result.RetryAfter = math.Max(wait, r.limits.RetryAfter)
		return result
	}
	route.connections++
	r.tenantByConn[conn.id] = name
	return RouteResult{Tenant: name, Bytes: conn.received, Frontend: conn.frontend}
}

// TakeExpired removes the connections that were not identified in time. It returns them in ascending order, and the caller
// must close them.
func (r *ConnectionRouter) TakeExpired(now float64) (connections []Conn) {
	return r.TakeUnidentified(now, r.limits.IdentifyTimeout, len(r.unidentified))
}

// TakeUnidentified removes up to count connections that were not identified within some seconds, the oldest ones. It returns them in
// ascending order, and the caller must close them.
func (r *ConnectionRouter) TakeUnidentified(now, seconds float64, count int) (connections []Conn) {
	var expired []*unidentifiedConn
	for _, c := range r.unidentified {
		if now-c.openedAt > seconds {
			expired = append(expired, c)
		}
	}
	slices.SortFunc(expired, func(a, b *unidentifiedConn) int { return cmp.Compare(a.id, b.id) })
	for _, c := range expired[:min(len(expired), max(count, 0))] {
		r.removeUnidentified(c)
		r.reject(IdentifyTimedOut)
		connections = append(connections, c.id)
	}
	return connections
}

func (r *ConnectionRouter) removeUnidentified(conn *unidentifiedConn) {
	r.bufferedBytes -= len(conn.received)
	delete(r.unidentified, conn.id)
	network := networkOf(conn.from)
	r.unidentifiedByNetwork[network]--
	if r.unidentifiedByNetwork[network] <= 0 {
		delete(r.unidentifiedByNetwork, network)
	}
}

func (r *ConnectionRouter) reject(reason RejectReason) RejectReason {
	r.Rejected[reason]++
	return reason
}
