// Package saspsession speaks SASP (RFC 4678) for a fleet: connections, who speaks on them, what balancers and members
// have registered, and the bytes that answer them or are pushed to them. It is pure: bytes, times and what the kernel
// says come in as arguments, bytes go out through an interface. docs/sasp.md tells what of the RFC is spoken.
package saspsession

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/wire/sasp"
)

// Conn is a connection; the driver numbers them, each number is used once.
type Conn uint64

// Handler takes what a Desk orders. Send must take the bytes before it returns: they are used again.
type Handler interface {
	Send(Conn, []byte)
	Close(Conn)
	// OrderDrain takes a drain that a member or its agent ordered, or its end. With a ticket it is not to be acted on here and its
	// teller waits until Settled says what became of it; without, it is in force. ok is false if it can't be taken.
	OrderDrain(now float64, s balancer.Server, on bool) (ticket uint64, ok bool)
	// Log logs an event with pairs of names and values.
	Log(event string, pairs ...any)
}

// Limits bound what a Desk keeps for what comes from outside; beyond each the connection concerned is closed, and
// the log says so.
type Limits struct {
	MaxConnections   int     // one more is closed at once
	MaxMessageBytes  int     // bytes
	MaxBuffered      int     // bytes of unfinished messages, over all connections
	MaxUnread        int     // bytes that a connection may leave untaken
	IdentifyTimeout  float64 // seconds until a connection must have said who it is
	MessageRate      float64 // messages a second on one connection, on average
	MessageBurst     float64 // messages that may come at once
	MaxGroups        int     // of one balancer; one more is answered with InvalidGroup
	MaxMembers       int     // of one group; one more is answered with NotAccepted
	TakeoverInterval float64 // seconds between two connections that claim one UID
}

// DefaultLimits are those that settings start from.
var DefaultLimits = Limits{
	MaxConnections:   16384,     // three for each of 5,000 relays while they reconnect
	MaxMessageBytes:  256 << 10, // 8,000 rows
	MaxBuffered:      64 << 20,  // 256 of the largest messages
	MaxUnread:        1 << 20,   // four of them
	IdentifyTimeout:  10,        // the longest pause of a relay that is still alive
	MessageRate:      200,       // a relay says a few things a minute
	MessageBurst:     400,       // and registers each of its groups at the start
	MaxGroups:        64,        // as many as there may be classes
	MaxMembers:       4096,      // the roll's limit
	TakeoverInterval: 1,         // a relay dials at most once a second
}

// Policy is who may register what.
type Policy struct {
	FleetUID          string // a UID under which members register with the coordinator itself; empty: none
	BalancersRegister bool   // servers are in service because a balancer registers them
	AnyAgent          bool   // a member's messages may come from another host than the member's
	AllowUnlisted     bool   // members that the settings do not list may register themselves
	MembersOnly       bool   // only members speak here: relays need what SASP has no word for, and ask by another front
}

const (
	weightScale = 257  // of a weight from 1 to 255 on 16 bits: proportions stay within 1 in 514
	floorWeight = 8.0  // of a member that is all that an untrusting relay has: the design's floor
	askInterval = 0.5  // of the time in which a drain must be taken, between two asks of a relay that asks
	checkEvery  = 0.25 // seconds between two looks for connections that have to be closed
)

type role int

const (
	stranger role = iota
	balancerRole
	memberRole
)

type conn struct {
	id       Conn
	from     netip.Addr
	opened   float64
	role     role
	uid      string
	buf      []byte
	sent     uint64 // bytes ordered to be sent
	taken    uint64 // bytes that the peer's host has
	awayEnd  uint64 // where the proxy's message on its way ends
	tokens   float64
	tokensAt float64
	servers  map[balancer.Server]int // registered on it by members, and how often
}

type loadBalancer struct {
	uid      string
	uidBytes []byte
	conn     *conn // nil: it is not connected
	flags    uint8
	health   uint8
	proxy    *controlplane.Proxy
	groups   map[string]*group
	order    []*group
	claimed  float64
}

type group struct {
	name      string
	nameBytes []byte
	class     balancer.Class
	members   map[balancer.Server]*registration
	order     []balancer.Server // as registered, so that messages are the same in every run
}

type registration struct {
	address  sasp.Address
	label    []byte
	opaque   uint8
	balancer bool // the balancer registered it
	itself   bool // the member registered itself
	quiet    bool // the balancer quiesced it for itself
}

// Stats is what happened, for metrics.
type Stats struct {
	Received, Replied, Pushed, Rejected, Malformed, Closed, Takeovers, Skipped int
}

// told is a message with drains whose answer waits until all of them are agreed on.
type told struct {
	conn  Conn
	id    uint32
	left  int
	wrong bool // one of them was refused
}

// Server is the SASP side of one coordinator. Use New.
type Server struct {
	fleet     *controlplane.Fleet
	out       Handler
	limits    Limits
	policy    Policy
	conns     map[Conn]*conn
	balancers map[string]*loadBalancer
	byProxy   map[balancer.Proxy]*loadBalancer
	buffered  int
	checked   float64
	rolled    int // version of the roll that untrusting relays were told by
	pushID    uint32

	in, reply sasp.Message     // used again and again
	waiting   map[uint64]*told // tellers of drains that wait, by ticket
	bytes     []byte
	zeros     []sasp.Row
	names     map[sasp.Address]balancer.Server
	rows      map[balancer.Server]sasp.Address
	Stats     Stats
}

// New makes a desk.
func New(f *controlplane.Fleet, out Handler, limits Limits, policy Policy) *Server {
	return &Server{fleet: f, out: out, limits: limits, policy: policy, conns: map[Conn]*conn{},
		balancers: map[string]*loadBalancer{}, byProxy: map[balancer.Proxy]*loadBalancer{},
		waiting: map[uint64]*told{}, names: map[sasp.Address]balancer.Server{}, rows: map[balancer.Server]sasp.Address{}}
}

// Reconfigure takes other limits and another policy from now on; what stands is not undone by it.
func (d *Server) Reconfigure(limits Limits, policy Policy) { d.limits, d.policy = limits, policy }

// Connections is their number, and the bytes that they keep of unfinished messages.
func (d *Server) Connections() (n, buffered int) { return len(d.conns), d.buffered }

// Opened takes a connection from an address.
func (d *Server) Opened(now float64, id Conn, from netip.Addr) {
	c := &conn{id: id, from: from.Unmap(), opened: now, tokens: d.limits.MessageBurst, tokensAt: now}
	d.conns[id] = c
	if len(d.conns) > d.limits.MaxConnections {
		d.close(now, c, "too many connections")
	}
}

// Closed takes the end of a connection, whoever ended it.
func (d *Server) Closed(now float64, id Conn) {
	if c := d.conns[id]; c != nil {
		d.end(now, c)
	}
}

func (d *Server) close(now float64, c *conn, why string) {
	d.Stats.Closed++
	d.out.Log("connection closed", "why", why, "from", c.from, "uid", c.uid, "sent", c.sent, "taken", c.taken)
	d.end(now, c)
	d.out.Close(c.id)
}

// end forgets a connection and all that was said on it. What a balancer registered ends with it; what members
// registered stays for the roll's hold.
func (d *Server) end(now float64, c *conn) {
	delete(d.conns, c.id)
	d.buffered -= len(c.buf)
	for s := range c.servers {
		d.fleet.Registry.ConnectionLost(now, s)
	}
	b := d.balancers[c.uid]
	if c.role != balancerRole || b == nil || b.conn != c {
		return
	}
	b.conn = nil
	for _, g := range b.order {
		d.drop(now, b, g)
	}
	if b.proxy != nil {
		d.fleet.Disconnect(now, b.proxy)
		delete(d.byProxy, b.proxy.ID)
	}
	delete(d.balancers, c.uid)
}

func (d *Server) drop(now float64, b *loadBalancer, g *group) {
	for _, s := range g.order {
		d.unvouch(now, b, g.members[s], s)
	}
}

func (d *Server) unvouch(now float64, b *loadBalancer, r *registration, s balancer.Server) {
	if r.balancer && d.policy.BalancersRegister {
		_ = d.fleet.Registry.AdjustVouchers(now, s, d.zone(b), -1) // it is on the roll, so there is room
	}
}

func (d *Server) zone(b *loadBalancer) balancer.Zone {
	if b.proxy != nil {
		return b.proxy.Zone
	}
	return d.fleet.Site().UnlistedZone
}

// Delivered takes the kernel's word of how many of the bytes sent on a connection the peer's host has.
func (d *Server) Delivered(now float64, id Conn, total uint64) {
	c := d.conns[id]
	if c == nil || total <= c.taken {
		return
	}
	c.taken = min(total, c.sent)
	if b := d.balancers[c.uid]; c.role == balancerRole && b != nil && b.conn == c && b.proxy != nil &&
		b.proxy.InFlight() && c.taken >= c.awayEnd {
		d.fleet.MarkDelivered(now, b.proxy)
	}
}

// HasUndelivered tells whether bytes are on their way to a connection, so that the driver has to ask the kernel.
func (d *Server) HasUndelivered(id Conn) bool {
	c := d.conns[id]
	return c != nil && c.taken < c.sent
}

// Receive takes bytes of a connection, split in any way.
func (d *Server) Receive(now float64, id Conn, data []byte) {
	c := d.conns[id]
	if c == nil {
		return
	}
	if len(c.buf) > 0 {
		d.buffered += len(data)
		c.buf = append(c.buf, data...)
		data = c.buf
	}
	for d.conns[id] == c {
		n, err := sasp.Frame(data, d.limits.MaxMessageBytes)
		if err != nil {
			d.Stats.Malformed++
			d.close(now, c, err.Error())
			return
		}
		if n == 0 {
			break
		}
		if !d.admit(now, c) {
			d.close(now, c, "it floods")
			return
		}
		d.Stats.Received++
		d.message(now, c, data[:n])
		data = data[n:]
	}
	if d.conns[id] != c {
		return
	}
	d.buffered += len(data) - len(c.buf)
	if c.buf = append(c.buf[:0], data...); len(data) == 0 {
		c.buf = nil // an idle connection keeps nothing
	}
	if d.buffered > d.limits.MaxBuffered {
		d.close(now, c, "too many unfinished messages in all")
	}
}

func (d *Server) admit(now float64, c *conn) bool {
	c.tokens = min(d.limits.MessageBurst, c.tokens+(now-c.tokensAt)*d.limits.MessageRate) - 1
	c.tokensAt = now
	return c.tokens >= 0
}

// server is the module's name of an address. Names are kept for those on the roll.
func (d *Server) server(a sasp.Address) balancer.Server {
	if s, ok := d.names[a]; ok {
		return s
	}
	s := ServerID(a)
	if _, ok := d.fleet.Registry.Find(s); ok {
		d.names[a], d.rows[s] = s, a
	}
	return s
}

// ServerID of a server by its address: the address and port, with the protocol before it where that is not TCP.
func ServerID(a sasp.Address) balancer.Server {
	if a.Protocol == 6 {
		return balancer.Server(a.AddrPort().String())
	}
	return balancer.Server(fmt.Sprintf("%d/%s", a.Protocol, a.AddrPort()))
}

// address of a server on the roll; ok is false for one that the settings name in a way that SASP can't say.
func (d *Server) address(s balancer.Server) (sasp.Address, bool) {
	if a, ok := d.rows[s]; ok {
		return a, true
	}
	ap, err := netip.ParseAddrPort(string(s))
	if err != nil {
		return sasp.Address{}, false
	}
	a := sasp.AddressOf(ap)
	d.names[a], d.rows[s] = s, a
	return a, true
}

// Tick does what is due by time after a round of the fleet: connections that must go, and relays that are told by the
// roll.
func (d *Server) Tick(now float64) {
	if v := d.fleet.Registry.Version(); v != d.rolled {
		d.rolled = v
		d.refreshUntrusting(now)
	}
	if now-d.checked >= checkEvery {
		d.checked = now
		d.check(now)
	}
}

// refreshUntrusting makes relays due that get what is open of their own members where the table names none of them: that
// changes with the roll, not with the table.
func (d *Server) refreshUntrusting(now float64) {
	for _, b := range d.joined() {
		if b.flags&sasp.Trust != 0 {
			continue
		}
		for _, g := range b.order {
			d.fleet.ScheduleFull(now, b.proxy, g.class, float64(len(g.order)))
		}
	}
}

// joined are the balancers with a proxy, by its number.
func (d *Server) joined() []*loadBalancer {
	all := make([]*loadBalancer, 0, len(d.byProxy))
	for _, b := range d.byProxy {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b *loadBalancer) int { return int(a.proxy.ID) - int(b.proxy.ID) })
	return all
}

// Displaced of controlplane.Front: the relay speaks to another front now.
func (d *Server) Displaced(now float64, p *controlplane.Proxy) {
	b := d.byProxy[p.ID]
	if b == nil {
		return
	}
	delete(d.byProxy, p.ID)
	b.proxy = nil
	d.close(now, b.conn, "its relay has joined by another way")
}

// Deliver of controlplane.Front.
func (d *Server) Deliver(now float64, p *controlplane.Proxy) {
	b, m := d.byProxy[p.ID], &d.reply
	*m = sasp.Message{Kind: sasp.SendWeights, Groups: m.Groups[:0], Rows: m.Rows[:0]}
	lines := 0
	for _, g := range b.order {
		lines += d.render(m, b, g, false)
	}
	if lines == 0 {
		d.Stats.Skipped++
		d.fleet.SkipUpdate(now, b.proxy)
		return
	}
	d.pushID++
	m.ID = d.pushID
	d.Stats.Pushed++
	c := b.conn
	if d.send(now, c, m); d.conns[c.id] == c {
		c.awayEnd = c.sent
		d.fleet.MarkSent(now, b.proxy, lines)
	}
}

// render adds a group to a message, and says how many rows it has. Rows that bring queries come before those that
// take them away, so that no state on the way through a message lacks a line. A relay that wants unchanged members left
// out gets what changed, the others the whole group.
func (d *Server) render(m *sasp.Message, b *loadBalancer, g *group, whole bool) int {
	lines, full, ok := d.fleet.Delta(b.proxy, g.class)
	if !ok {
		return 0
	}
	trusts := b.flags&sasp.Trust != 0
	if !full && b.flags&sasp.NoChange != 0 {
		none := true
		for range lines {
			none = false
			break
		}
		if none && !whole {
			return 0
		}
	}
	if whole || !trusts || b.flags&sasp.NoChange == 0 {
		full = true
		lines, _ = d.fleet.FullTable(b.proxy, g.class)
	}
	from := len(m.Rows)
	d.zeros = d.zeros[:0]
	add := func(s balancer.Server, r *registration, weight float64) {
		a, ok := d.address(s)
		if !ok {
			return
		}
		row := d.row(s, a, r, weight)
		if row.Weight > 0 {
			m.Rows = append(m.Rows, row)
		} else {
			d.zeros = append(d.zeros, row)
		}
	}
	for l := range lines {
		r := g.members[l.Server]
		// Of a whole table, removed lines count only for one that may have learnt them from us.
		if r == nil && !trusts || l.Weight == 0 && full && (r != nil || !d.fleet.Notified(b.proxy, g.class)) {
			continue
		}
		add(l.Server, r, l.Weight)
	}
	if trusts && d.fleet.MayHoldStale(b.proxy, g.class) {
		for _, s := range d.fleet.Registry.KnownServers() {
			if g.members[s] == nil && d.fleet.Weight(b.proxy, g.class, s) == 0 {
				add(s, nil, 0)
			}
		}
	}
	if full { // all that it registered, also what has no line
		for _, s := range g.order {
			if d.fleet.Weight(b.proxy, g.class, s) == 0 {
				add(s, g.members[s], 0)
			}
		}
	}
	if len(m.Rows) == from && !trusts {
		d.fallback(m)
	}
	m.Rows = append(m.Rows, d.zeros...)
	if len(m.Rows) > from {
		m.Groups = append(m.Groups, sasp.Group{UID: b.uidBytes, Name: g.nameBytes, From: from, To: len(m.Rows)})
	}
	return len(m.Rows) - from
}

// fallback gives an untrusting relay, none of whose own members has a line, all of its open ones evenly. Guards
// against a relay without a line because its table names servers that it will not take; it does harm where the few
// that it has are the ones that are meant to rest.
func (d *Server) fallback(m *sasp.Message) {
	kept := d.zeros[:0]
	for _, r := range d.zeros {
		if phase, _ := d.fleet.Registry.Phase(d.server(r.Address)); phase == balancer.Ready && r.Flags&sasp.Quiesce == 0 {
			r.Weight = uint16(floorWeight * weightScale)
			m.Rows = append(m.Rows, r)
		} else {
			kept = append(kept, r)
		}
	}
	d.zeros = kept
}

func (d *Server) row(s balancer.Server, a sasp.Address, r *registration, weight float64) sasp.Row {
	row := sasp.Row{Address: a, Weight: uint16(min(math.Round(weight*weightScale), math.MaxUint16))}
	if weight > 0 {
		row.Weight = max(row.Weight, 1)
	}
	phase, _ := d.fleet.Registry.Phase(s)
	if d.fleet.Registry.Registered(s) {
		row.Flags |= sasp.Contact
	}
	if phase == balancer.Ready {
		row.Flags |= sasp.Confident
	}
	if phase == balancer.Draining && weight == 0 {
		row.Flags |= sasp.Quiesce
	}
	if r != nil {
		row.Label, row.Opaque = r.label, r.opaque
		if r.balancer {
			row.Flags |= sasp.ByBalancer
		}
		if r.quiet {
			row.Flags |= sasp.Quiesce
			row.Weight = 0
		}
	}
	// The weight is the table's, also where the roll has news since: what is told beside the tables' versions would not
	// be taken back when the news is.
	return row
}

func (d *Server) send(now float64, c *conn, m *sasp.Message) {
	d.bytes = sasp.Append(d.bytes[:0], m)
	c.sent += uint64(len(d.bytes))
	d.out.Send(c.id, d.bytes)
	if c.sent-c.taken > uint64(d.limits.MaxUnread) {
		d.close(now, c, "it does not read")
	}
}

// check closes what must go: connections that have not said who they are, relays that do not take their messages.
func (d *Server) check(now float64) {
	var silent []*conn
	for _, c := range d.conns {
		if c.role == stranger && now-c.opened > d.limits.IdentifyTimeout {
			silent = append(silent, c)
		}
	}
	slices.SortFunc(silent, func(a, b *conn) int { return int(a.id) - int(b.id) })
	for _, c := range silent {
		d.close(now, c, "it has not said who it is")
	}
	for _, b := range d.joined() {
		if why := d.fleet.DisconnectReason(now, b.proxy); why != "" {
			d.fleet.Stats.Disconnected++
			d.close(now, b.conn, why)
		}
	}
}
