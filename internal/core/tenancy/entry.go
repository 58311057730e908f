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

// Front by which a connection has come.
type Front uint8

const (
	SASP Front = iota + 1
	HTTP
)

// Speaker finds the UID that the first bytes of a connection name. need says that more are needed. An error is final: the bytes
// name nobody.
type Speaker func(b []byte) (uid string, need bool, err error)

// Reason why a connection is refused.
type Reason int

const (
	NoReason  Reason = iota
	Crowded          // too many connections whose tenant is not known
	Silent           // it has not said who it is
	Senseless        // what it says names nobody
	Nobody           // there is no such tenant
	Starting         // its tenant is not running yet
	Full             // its tenant has as many connections as it may
	TooFast          // its tenant's relays come faster than its part
	Outside          // it does not come from its tenant's networks
)

func (r Reason) String() string {
	return [...]string{"", "too many connections that have not said who they are", "it has not said who it is",
		"what it says names nobody", "there is no such tenant", "its tenant is being started",
		"its tenant has as many connections as it may", "its tenant's relays come faster than they may",
		"it does not come from its tenant's networks"}[r]
}

// EntryLimits bound what strangers may take; a connection beyond one is closed.
type EntryLimits struct {
	Strangers int     // connections whose tenant is not known
	OfNet     int     // such connections from one network, of 24 bits of IPv4 or 48 of IPv6
	Bytes     int     // that one of them may send before it is known
	Buffered  int     // bytes of all of them
	Silent    float64 // seconds until it must be known
	Tenants   int
	Comes     float64 // connections a second that are let in, of all tenants
	Burst     float64 // at once
	ComeBack  float64 // seconds after which those that were refused come back, at least
}

// UsualEntryLimits are those that settings start from.
var UsualEntryLimits = EntryLimits{
	Strangers: 8192,     // a storm of relays that dial at once; they are known with their first message
	OfNet:     2048,     // a quarter: one network that does nothing but dial leaves room for others
	Bytes:     32 << 10, // a registration of 700 members in one message
	Buffered:  16 << 20, // of 500 such at once
	Silent:    5,        // half of what a known connection may be silent
	Tenants:   20000,
	Comes:     5000, // 50 microseconds each for taking it in
	Burst:     5000, // as many relays as one tenant may have, at once
	ComeBack:  1,
}

type stranger struct {
	id     Conn
	from   netip.Addr
	front  Front
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

// Entry decides to which tenant a connection belongs: to the one that its first message names, for good. Relays of all tenants come
// by the same ports; a connection that names another tenant later on is that tenant's matter nowhere. Use NewEntry.
type Entry struct {
	limits    EntryLimits
	speakers  map[Front]Speaker
	strangers map[Conn]*stranger
	ofNet     map[netip.Prefix]int // strangers
	buffered  int
	gates     map[Name]*gate
	of        map[Conn]Name
	comes     *fairshare.Shares
	Refused   map[Reason]int
}

// ErrEntry says that an entry can't be made so.
var ErrEntry = errors.New("entry")

// NewEntry makes an entry.
func NewEntry(now float64, l EntryLimits, speakers map[Front]Speaker) *Entry {
	return &Entry{limits: l, speakers: speakers, strangers: map[Conn]*stranger{}, ofNet: map[netip.Prefix]int{}, gates: map[Name]*gate{}, of: map[Conn]Name{},
		comes:   fairshare.New(now, fairshare.Terms{Rate: l.Comes, Burst: l.Burst, Own: 1, Tenants: l.Tenants, Lately: 0.1}),
		Refused: map[Reason]int{}}
}

// Set lets connections of a tenant in: at most so many, and faster than others by its weight, from its networks; none: from anywhere.
// ready is false while it is started. A SASP connection has no credentials but where it comes from: without networks, whoever
// reaches the port may speak for any relay of the tenant.
func (e *Entry) Set(now float64, n Name, weight float64, most int, nets []netip.Prefix, ready bool) error {
	if err := e.comes.Set(now, fairshare.Tenant(n), "", weight); err != nil {
		return fmt.Errorf("%w: %w", ErrEntry, err)
	}
	g := e.gates[n]
	if g == nil {
		g = &gate{}
		e.gates[n] = g
	}
	g.most, g.nets, g.ready = most, nets, ready
	return nil
}

// Drop forgets a tenant. Its connections are the caller's to close: they are returned, in their order.
func (e *Entry) Drop(n Name) (conns []Conn) {
	conns = e.Conns(n)
	for _, c := range conns {
		delete(e.of, c)
	}
	e.comes.Remove(fairshare.Tenant(n))
	delete(e.gates, n)
	return conns
}

// Conns of a tenant, in their order.
func (e *Entry) Conns(n Name) (conns []Conn) {
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

// Of is the tenant of a connection that is known.
func (e *Entry) Of(c Conn) (Name, bool) {
	n, ok := e.of[c]
	return n, ok
}

// Count is the number of connections that are known and of those that are not, and what the latter have sent.
func (e *Entry) Count() (known, strangers, buffered int) {
	return len(e.of), len(e.strangers), e.buffered
}

// Opened takes a connection; a reason closes it.
func (e *Entry) Opened(now float64, c Conn, from netip.Addr, f Front) Reason {
	from = from.Unmap()
	if net := network(from); len(e.strangers) >= e.limits.Strangers || e.ofNet[net] >= e.limits.OfNet {
		return e.refuse(Crowded)
	} else {
		e.ofNet[net]++
	}
	e.strangers[c] = &stranger{id: c, from: from, front: f, opened: now}
	return NoReason
}

func (e *Entry) refuse(r Reason) Reason {
	e.Refused[r]++
	return r
}

// Closed forgets a connection.
func (e *Entry) Closed(c Conn) {
	e.forget(e.strangers[c])
	if n, ok := e.of[c]; ok {
		delete(e.of, c)
		if g := e.gates[n]; g != nil {
			g.conns--
		}
	}
}

func (e *Entry) forget(s *stranger) {
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

// Comes is what became of bytes of a connection that was not known.
type Comes struct {
	Tenant Name   // that it belongs to from now on; empty: it is not known yet, or is refused
	Bytes  []byte // all that it has sent, for that tenant
	Front  Front
	Why    Reason  // it is to be closed
	After  float64 // seconds after which it may come back; 0: nothing is to be said
}

// Receive takes bytes of a connection that is not known.
func (e *Entry) Receive(now float64, c Conn, b []byte) Comes {
	s := e.strangers[c]
	if s == nil {
		return Comes{}
	}
	e.buffered += len(b)
	s.buf = append(s.buf, b...)
	uid, need, err := e.speakers[s.front](s.buf)
	if err == nil && need && len(s.buf) < e.limits.Bytes && e.buffered <= e.limits.Buffered {
		return Comes{}
	}
	e.forget(s)
	n, _, ok := Split(uid)
	if err != nil || need || !ok {
		return Comes{Front: s.front, Why: e.refuse(Senseless)}
	}
	g := e.gates[n]
	switch {
	case g == nil:
		return Comes{Front: s.front, Why: e.refuse(Nobody), After: e.limits.ComeBack}
	case !g.lets(s.from):
		return Comes{Front: s.front, Why: e.refuse(Outside)}
	case !g.ready:
		return Comes{Front: s.front, Why: e.refuse(Starting), After: e.limits.ComeBack, Tenant: n}
	case g.conns >= g.most:
		return Comes{Front: s.front, Why: e.refuse(Full), After: e.limits.ComeBack}
	}
	after, in, err := e.comes.Take(now, fairshare.Tenant(n), 1, false)
	if !in || err != nil {
		return Comes{Front: s.front, Why: e.refuse(TooFast), After: math.Max(after, e.limits.ComeBack)}
	}
	g.conns++
	e.of[c] = n
	return Comes{Tenant: n, Bytes: s.buf, Front: s.front}
}

// Late are the connections that have had their time to say who they are; each is to be closed, and is forgotten.
func (e *Entry) Late(now float64) (late []Conn) {
	var all []*stranger
	for _, s := range e.strangers {
		if now-s.opened > e.limits.Silent {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *stranger) int { return cmp.Compare(a.id, b.id) })
	for _, s := range all {
		e.forget(s)
		e.refuse(Silent)
		late = append(late, s.id)
	}
	return late
}
