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

// Conn is a connection; the driver numbers them.
type Conn uint64

// Frontend by which a connection has come.
type Frontend uint8

const (
	SASP Frontend = iota + 1
	HTTP
)

// IdentityParser finds the UID that the first bytes of a connection name. need says that more are needed. An error is final: the bytes
// name nobody.
type IdentityParser func(b []byte) (uid string, need bool, err error)

// RejectReason why a connection is refused.
type RejectReason int

const (
	NotRejected           RejectReason = iota
	TooManyUnidentified                // too many connections whose tenant is not known
	IdentifyTimedOut                   // it has not said who it is
	MalformedIdentity                  // what it says names nobody
	UnknownTenant                      // there is no such tenant
	TenantStarting                     // its tenant is not running yet
	TenantConnectionsFull              // its tenant has as many connections as it may
	AcceptRateExceeded                 // its tenant's relays come faster than its part
	NetworkNotAllowed                  // it does not come from its tenant's networks
)

func (r RejectReason) String() string {
	return [...]string{"", "too many connections that have not said who they are", "it has not said who it is",
		"what it says names nobody", "there is no such tenant", "its tenant is being started",
		"its tenant has as many connections as it may", "its tenant's relays come faster than they may",
		"it does not come from its tenant's networks"}[r]
}

// RouterLimits bound what strangers may take; a connection beyond one is closed.
type RouterLimits struct {
	Unidentified           int     // connections whose tenant is not known
	UnidentifiedPerNetwork int     // such connections from one network, of 24 bits of IPv4 or 48 of IPv6
	UnidentifiedBytes      int     // that one of them may send before it is known
	TotalBuffered          int     // bytes of all of them
	IdentifyTimeout        float64 // seconds until it must be known
	MaxTenants             int
	AcceptRate             float64 // connections a second that are let in, of all tenants
	AcceptBurst            float64 // at once
	RetryAfter             float64 // seconds after which those that were refused come back, at least
}

// DefaultRouterLimits are those that settings start from.
var DefaultRouterLimits = RouterLimits{
	Unidentified:           8192,     // a storm of relays that dial at once; they are known with their first message
	UnidentifiedPerNetwork: 2048,     // a quarter: one network that does nothing but dial leaves room for others
	UnidentifiedBytes:      32 << 10, // a registration of 700 members in one message
	TotalBuffered:          16 << 20, // of 500 such at once
	IdentifyTimeout:        5,        // half of what a known connection may be silent
	MaxTenants:             20000,
	AcceptRate:             5000, // 50 microseconds each for taking it in
	AcceptBurst:            5000, // as many relays as one tenant may have, at once
	RetryAfter:             1,
}

type stranger struct {
	id     Conn
	from   netip.Addr
	front  Frontend
	opened float64
	buf    []byte
}

type gate struct {
	conns, most int
	ready       bool
	nets        []netip.Prefix
}

// lets tells whether a tenant's connections may come from an address.
func (g *gate) lets(from netip.Addr) bool {
	return len(g.nets) == 0 || slices.ContainsFunc(g.nets, func(p netip.Prefix) bool { return p.Contains(from) })
}

// network of an address, by which strangers are counted.
func network(a netip.Addr) netip.Prefix {
	bits := 24
	if a.Is6() {
		bits = 48
	}
	p, _ := a.Prefix(bits) // there are as many
	return p
}

// ConnectionRouter decides to which tenant a connection belongs: to the one that its first message names, for good. Relays of all tenants come
// by the same ports; a connection that names another tenant later on is that tenant's matter nowhere. Use NewEntry.
type ConnectionRouter struct {
	limits    RouterLimits
	speakers  map[Frontend]IdentityParser
	strangers map[Conn]*stranger
	ofNet     map[netip.Prefix]int // strangers
	buffered  int
	gates     map[Name]*gate
	of        map[Conn]Name
	comes     *fairshare.Allocator
	Rejected  map[RejectReason]int
}

// ErrInvalidRoute says that an entry can't be made so.
var ErrInvalidRoute = errors.New("entry")

// NewConnectionRouter makes an entry.
func NewConnectionRouter(now float64, l RouterLimits, speakers map[Frontend]IdentityParser) *ConnectionRouter {
	return &ConnectionRouter{limits: l, speakers: speakers, strangers: map[Conn]*stranger{}, ofNet: map[netip.Prefix]int{}, gates: map[Name]*gate{}, of: map[Conn]Name{},
		comes:    fairshare.New(now, fairshare.Config{Rate: l.AcceptRate, Burst: l.AcceptBurst, BucketSeconds: 1, MaxTenants: l.MaxTenants, RecentWindow: 0.1}),
		Rejected: map[RejectReason]int{}}
}

// Set lets connections of a tenant in: at most so many, and faster than others by its weight, from its networks; none: from anywhere.
// ready is false while it is started. A SASP connection has no credentials but where it comes from: without networks, whoever
// reaches the port may speak for any relay of the tenant.
func (e *ConnectionRouter) Set(now float64, n Name, weight float64, most int, nets []netip.Prefix, ready bool) error {
	if err := e.comes.Set(now, fairshare.Tenant(n), "", weight); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidRoute, err)
	}
	g := e.gates[n]
	if g == nil {
		g = &gate{}
		e.gates[n] = g
	}
	g.most, g.nets, g.ready = most, nets, ready
	return nil
}

// Remove forgets a tenant. Its connections are the caller's to close: they are returned, in their order.
func (e *ConnectionRouter) Remove(n Name) (conns []Conn) {
	conns = e.Connections(n)
	for _, c := range conns {
		delete(e.of, c)
	}
	e.comes.Remove(fairshare.Tenant(n))
	delete(e.gates, n)
	return conns
}

// Connections of a tenant, in their order.
func (e *ConnectionRouter) Connections(n Name) (conns []Conn) {
	if g := e.gates[n]; g == nil || g.conns == 0 {
		return nil
	}
	for c, of := range e.of {
		if of == n {
			conns = append(conns, c)
		}
	}
	slices.Sort(conns)
	return conns
}

// Tenant is the tenant of a connection that is known.
func (e *ConnectionRouter) Tenant(c Conn) (Name, bool) {
	n, ok := e.of[c]
	return n, ok
}

// Count is the number of connections that are known and of those that are not, and what the latter have sent.
func (e *ConnectionRouter) Count() (known, strangers, buffered int) {
	return len(e.of), len(e.strangers), e.buffered
}

// Opened takes a connection; a reason closes it.
func (e *ConnectionRouter) Opened(now float64, c Conn, from netip.Addr, f Frontend) RejectReason {
	from = from.Unmap()
	if net := network(from); len(e.strangers) >= e.limits.Unidentified || e.ofNet[net] >= e.limits.UnidentifiedPerNetwork {
		return e.refuse(TooManyUnidentified)
	} else {
		e.ofNet[net]++
	}
	e.strangers[c] = &stranger{id: c, from: from, front: f, opened: now}
	return NotRejected
}

func (e *ConnectionRouter) refuse(r RejectReason) RejectReason {
	e.Rejected[r]++
	return r
}

// Closed forgets a connection.
func (e *ConnectionRouter) Closed(c Conn) {
	e.forget(e.strangers[c])
	if n, ok := e.of[c]; ok {
		delete(e.of, c)
		if g := e.gates[n]; g != nil {
			g.conns--
		}
	}
}

func (e *ConnectionRouter) forget(s *stranger) {
	if s != nil {
		e.buffered -= len(s.buf)
		delete(e.strangers, s.id)
		if net := network(s.from); e.ofNet[net] > 1 {
			e.ofNet[net]--
		} else {
			delete(e.ofNet, net)
		}
	}
}

// RouteResult is what became of bytes of a connection that was not known.
type RouteResult struct {
	Tenant     Name   // that it belongs to from now on; empty: it is not known yet, or is refused
	Bytes      []byte // all that it has sent, for that tenant
	Frontend   Frontend
	Reason     RejectReason // it is to be closed
	RetryAfter float64      // seconds after which it may come back; 0: nothing is to be said
}

// Receive takes bytes of a connection that is not known.
func (e *ConnectionRouter) Receive(now float64, c Conn, b []byte) RouteResult {
	s := e.strangers[c]
	if s == nil {
		return RouteResult{}
	}
	e.buffered += len(b)
	s.buf = append(s.buf, b...)
	uid, need, err := e.speakers[s.front](s.buf)
	if err == nil && need && len(s.buf) < e.limits.UnidentifiedBytes && e.buffered <= e.limits.TotalBuffered {
		return RouteResult{}
	}
	e.forget(s)
	n, _, ok := SplitUID(uid)
	if err != nil || need || !ok {
		return RouteResult{Frontend: s.front, Reason: e.refuse(MalformedIdentity)}
	}
	g := e.gates[n]
	switch {
	case g == nil:
		return RouteResult{Frontend: s.front, Reason: e.refuse(UnknownTenant), RetryAfter: e.limits.RetryAfter}
	case !g.lets(s.from):
		return RouteResult{Frontend: s.front, Reason: e.refuse(NetworkNotAllowed)}
	case !g.ready:
		return RouteResult{Frontend: s.front, Reason: e.refuse(TenantStarting), RetryAfter: e.limits.RetryAfter, Tenant: n}
	case g.conns >= g.most:
		return RouteResult{Frontend: s.front, Reason: e.refuse(TenantConnectionsFull), RetryAfter: e.limits.RetryAfter}
	}
	after, in, err := e.comes.Take(now, fairshare.Tenant(n), 1, false)
	if !in || err != nil {
		return RouteResult{Frontend: s.front, Reason: e.refuse(AcceptRateExceeded), RetryAfter: math.Max(after, e.limits.RetryAfter)}
	}
	g.conns++
	e.of[c] = n
	return RouteResult{Tenant: n, Bytes: s.buf, Frontend: s.front}
}

// TakeExpired are the connections that have had their time to say who they are; each is to be closed, and is forgotten.
func (e *ConnectionRouter) TakeExpired(now float64) (late []Conn) {
	var all []*stranger
	for _, s := range e.strangers {
		if now-s.opened > e.limits.IdentifyTimeout {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *stranger) int { return cmp.Compare(a.id, b.id) })
	for _, s := range all {
		e.forget(s)
		e.refuse(IdentifyTimedOut)
		late = append(late, s.id)
	}
	return late
}
