// Package simnet is a net and a clock in virtual time. Everything that happens follows from the seed. Faults: delivery a
// byte at a time, hosts that stop reading, cuts between zones (connections stay half open until they are noticed),
// lost, doubled and late datagrams, gaps in the clock, hosts that die and start again.
package simnet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"

	"snowquay/internal/env"
)

// Faults of the net, by chance.
type Faults struct {
	Split     float64 // chance that a delivery comes in pieces
	Loss      float64 // of a datagram
	Double    float64 // of a datagram
	LateMost  float64 // seconds by which a datagram may be late
	Near, Far float64 // seconds one way within a zone and between two
	Notice    float64 // seconds until a cut connection is noticed, at most
}

// UsualFaults is a net that works.
var UsualFaults = Faults{Near: 0.0003, Far: 0.001, Notice: 2}

const (
	window     = 32 << 10 // bytes that a host takes for a program that does not read
	pieceMost  = 64       // pieces of one delivery
	dialTime   = 3.0      // one ways until a dial is answered
	dialGiveUp = 1.0      // seconds
)

type event struct {
	at  float64
	seq uint64
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1].do = nil
	*q = old[:len(old)-1]
	return e
}

// Net is one world. Use New.
type Net struct {
	Faults Faults
	now    float64
	seq    uint64
	queue  queue
	chance *rand.Rand
	hosts  map[netip.Addr]*Host
	cut    map[[2]int]bool // zones that do not reach each other
	Events int
}

// Host runs one program at an address.
type Host struct {
	net     *Net
	addr    netip.Addr
	zone    int
	program env.Program
	life    int // grows with every start and end
	up      bool
	next    env.Conn
	conns   map[env.Conn]*end
	silent  bool // no datagram of it arrives
	lateBy  float64
	window  int
	frozen  float64
	stall   float64               // it reads nothing until then
	shuns   func(netip.Addr) bool // whom it does not reach, and who does not reach it; nil: everybody
}

// end is one side of a connection.
type end struct {
	host    *Host
	id      env.Conn
	peer    *end
	closed  bool
	ready   bool     // the dial was answered
	inbox   [][]byte // what the host holds while it stalls, or while a cut lasts at the sender
	held    int      // bytes in it
	arrived uint64   // bytes that the host has taken
	lastAt  float64  // when the latest delivery to it is due, so that order is kept
	blocked [][]byte // sent to it, but its host takes no more
	window  int
}

// New makes a world at a clock time.
func New(seed uint64, now float64) *Net {
	return &Net{Faults: UsualFaults, now: now, chance: rand.New(rand.NewPCG(seed, 0x5eed)),
		hosts: map[netip.Addr]*Host{}, cut: map[[2]int]bool{}}
}

// Now is the clock.
func (n *Net) Now() float64 { return n.now }

// At does something at a clock time.
func (n *Net) At(at float64, do func()) {
	n.seq++
	heap.Push(&n.queue, event{max(at, n.now), n.seq, do})
}

// Run plays until a clock time, or until nothing is left.
func (n *Net) Run(until float64) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = max(n.now, e.at)
		n.Events++
		e.do()
	}
	n.now = max(n.now, until)
}

// Gap moves the clock forward at once: all that was due in between happens late, as after a pause of the machine.
func (n *Net) Gap(seconds float64) { n.now += seconds }

// Add makes a host in a zone. It is down until Start. A guest shares its address with another host: it can dial, and
// is not dialled.
func (n *Net) Add(addr netip.Addr, zone int, guest bool) *Host {
	h := &Host{net: n, addr: addr, zone: zone, window: window, conns: map[env.Conn]*end{}}
	if !guest {
		n.hosts[addr] = h
	}
	return h
}

// Start runs a program on the host.
func (h *Host) Start(p env.Program) {
	h.program, h.up, h.stall, h.frozen = p, true, 0, 0
	h.life++
	p.Start(h.net.now, h)
}

// Kill ends the program at once. Peers in reach see their connections reset.
func (h *Host) Kill() {
	h.up = false
	h.life++
	for _, e := range h.sorted() {
		h.drop(e)
	}
	h.conns = map[env.Conn]*end{}
}

// Up tells whether a program runs.
func (h *Host) Up() bool { return h.up }

// Stall makes the host read nothing for so many seconds; what it has sent goes on.
func (h *Host) Stall(seconds float64) {
	h.stall = max(h.stall, h.net.now+seconds)
	h.net.At(h.stall, func() {
		for _, e := range h.sorted() {
			e.drain()
		}
	})
}

// Freeze stops the whole program for so many seconds: it reads nothing, and wakes late.
func (h *Host) Freeze(seconds float64) {
	h.frozen = max(h.frozen, h.net.now+seconds)
	h.Stall(seconds)
}

// Shun cuts the host off from those that a function names, on both sides; nil: from nobody. Connections to them break.
func (h *Host) Shun(whom func(netip.Addr) bool) {
	h.shuns = whom
	for _, e := range h.sorted() {
		if p := e.peer; p != nil && h.apartFrom(p.host) {
			life, other := h.life, p.host.life
			h.net.At(h.net.now+h.net.Faults.Notice*h.net.chance.Float64(), func() { e.gone(life) })
			h.net.At(h.net.now+h.net.Faults.Notice*h.net.chance.Float64(), func() { p.gone(other) })
		}
	}
}

// apartFrom tells whether two hosts do not reach each other.
func (h *Host) apartFrom(o *Host) bool {
	return h.net.apart(h.zone, o.zone) || h.shuns != nil && h.shuns(o.addr) || o.shuns != nil && o.shuns(h.addr)
}

// Window sets what the host takes for connections that are not read, in bytes; for those made from now on.
func (h *Host) Window(bytes int) { h.window = bytes }

// Mute makes the host's datagrams get lost, or late by some seconds.
func (h *Host) Mute(lost bool, lateBy float64) { h.silent, h.lateBy = lost, lateBy }

func (h *Host) sorted() []*end {
	all := make([]*end, 0, len(h.conns))
	for id := env.Conn(1); id <= h.next; id++ {
		if e := h.conns[id]; e != nil {
			all = append(all, e)
		}
	}
	return all
}

// drop tells the peer of an end that it is closed, if the peer can be reached; else it is noticed later.
func (h *Host) drop(e *end) {
	if e.closed {
		return
	}
	e.closed = true
	p := e.peer
	if p == nil {
		return
	}
	wait := h.net.oneWay(h, p.host)
	if h.apartFrom(p.host) {
		wait = h.net.Faults.Notice * (0.5 + h.net.chance.Float64()/2)
	}
	life := p.host.life
	h.net.At(max(h.net.now+wait, p.lastAt), func() { p.gone(life) })
}

func (e *end) gone(life int) {
	if e.closed || e.host.life != life {
		return
	}
	e.closed = true
	delete(e.host.conns, e.id)
	if e.host.up {
		e.host.program.Closed(e.host.net.now, e.id)
	}
}

func (n *Net) apart(a, b int) bool { return n.cut[[2]int{min(a, b), max(a, b)}] }

// Cut separates a zone from all others, or heals it. Connections across break when they are noticed.
func (n *Net) Cut(zone, zones int, on bool) {
	for z := range zones {
		if z != zone {
			n.cut[[2]int{min(z, zone), max(z, zone)}] = on
		}
	}
	if !on {
		return
	}
	for _, h := range n.ordered() {
		for _, e := range h.sorted() {
			if e.peer == nil || !n.apart(h.zone, e.peer.host.zone) {
				continue
			}
			e, life := e, h.life
			n.At(n.now+n.Faults.Notice*(0.3+0.7*n.chance.Float64()), func() {
				if n.apart(e.host.zone, e.peer.host.zone) {
					e.gone(life)
				}
			})
		}
	}
}

func (n *Net) ordered() []*Host {
	var all []*Host
	for _, h := range n.hosts {
		i := 0
		for i < len(all) && all[i].addr.Less(h.addr) {
			i++
		}
		all = append(all[:i], append([]*Host{h}, all[i:]...)...)
	}
	return all
}

func (n *Net) oneWay(a, b *Host) float64 {
	base := n.Faults.Far
	if a.zone == b.zone {
		base = n.Faults.Near
	}
	return base * (0.8 + 0.4*n.chance.Float64())
}

func (h *Host) conn(peer *end) *end {
	h.next++
	e := &end{host: h, id: h.next, peer: peer, window: h.window}
	h.conns[e.id] = e
	return e
}

// Dial of env.IO.
func (h *Host) Dial(to netip.AddrPort) env.Conn {
	e := h.conn(nil)
	n, life := h.net, h.life
	other := n.hosts[to.Addr()]
	fail := func() {
		if h.life == life && h.conns[e.id] == e && !e.closed {
			delete(h.conns, e.id)
			e.closed = true
			h.program.Connected(n.now, e.id, false)
		}
	}
	if other == nil || h.apartFrom(other) {
		n.At(n.now+dialGiveUp, fail)
		return e.id
	}
	way := n.oneWay(h, other)
	n.At(n.now+dialTime*way, func() {
		if h.life != life || e.closed {
			return
		}
		if !other.up || h.apartFrom(other) {
			fail()
			return
		}
		p := other.conn(e)
		e.peer, e.ready, p.ready = p, true, true
		other.program.Opened(n.now, p.id, h.addr, to.Port())
		if h.life == life && !e.closed {
			h.program.Connected(n.now, e.id, true)
		}
	})
	return e.id
}

// Send of env.IO.
func (h *Host) Send(c env.Conn, b []byte) {
	e := h.conns[c]
	if e == nil || e.closed || e.peer == nil || len(b) == 0 {
		return
	}
	n, p, data := h.net, e.peer, append([]byte(nil), b...)
	at := max(n.now+n.oneWay(h, p.host), p.lastAt)
	pieces := 1
	if n.Faults.Split > 0 && n.chance.Float64() < n.Faults.Split {
		pieces = min(len(data), pieceMost)
	}
	size := (len(data) + pieces - 1) / pieces
	life := p.host.life
	for len(data) > 0 {
		part := data[:min(size, len(data))]
		data = data[len(part):]
		p.lastAt = at
		n.At(at, func() {
			if p.host.life != life || p.closed {
				return
			}
			if h.apartFrom(p.host) {
				return // lost with the connection
			}
			p.arrive(part)
		})
		at += 1e-6
	}
}

// arrive: the host takes bytes as far as its window reaches; the program reads them unless the host stalls.
func (e *end) arrive(b []byte) {
	if len(e.blocked) > 0 || e.held > 0 && e.held+len(b) > e.window || e.window == 0 && e.host.stall > e.host.net.now {
		e.blocked = append(e.blocked, b)
		return
	}
	e.take(b)
}

func (e *end) take(b []byte) {
	n := e.host.net
	e.arrived += uint64(len(b))
	total, p := e.arrived, e.peer
	life := p.host.life
	n.At(n.now+n.oneWay(e.host, p.host), func() {
		if p.host.life == life && !p.closed && p.host.up {
			p.host.program.Delivered(n.now, p.id, total)
		}
	})
	if e.host.stall > n.now || len(e.inbox) > 0 {
		e.inbox = append(e.inbox, b)
		e.held += len(b)
		return
	}
	e.host.program.Receive(n.now, e.id, b)
}

// drain reads what came during a stall.
func (e *end) drain() {
	if e.host.stall > e.host.net.now {
		return
	}
	inbox := e.inbox
	e.inbox, e.held = nil, 0
	for _, b := range inbox {
		if !e.closed && e.host.up {
			e.host.program.Receive(e.host.net.now, e.id, b)
		}
	}
	blocked := e.blocked
	e.blocked = nil
	for _, b := range blocked {
		if !e.closed && e.host.up {
			e.take(b)
		}
	}
}

// Close of env.IO.
func (h *Host) Close(c env.Conn) {
	if e := h.conns[c]; e != nil {
		delete(h.conns, c)
		h.drop(e)
	}
}

// Datagram of env.IO.
func (h *Host) Datagram(to netip.AddrPort, b []byte) {
	n, other := h.net, h.net.hosts[to.Addr()]
	if other == nil || h.silent || h.apartFrom(other) {
		return
	}
	data := append([]byte(nil), b...)
	for range 1 + btoi(n.chance.Float64() < n.Faults.Double) {
		if n.chance.Float64() < n.Faults.Loss {
			continue
		}
		n.At(n.now+n.oneWay(h, other)+h.lateBy+n.chance.Float64()*n.Faults.LateMost, func() {
			if other.up {
				other.program.Datagram(n.now, data)
			}
		})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// SetTimer of env.IO.
func (h *Host) SetTimer(at float64, what int) {
	life := h.life
	h.net.At(at, func() {
		switch {
		case h.life != life:
		case h.frozen > h.net.now:
			h.SetTimer(h.frozen, what)
		default:
			h.program.TimerFired(h.net.now, what)
		}
	})
}
