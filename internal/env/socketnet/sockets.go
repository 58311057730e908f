// Package socketnet runs programs over real sockets on loopback, as package sim does in virtual time. All programs of a
// Net take turns under one lock: they are stand-ins, the one that is measured has a loop of its own.
package socketnet

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"snowquay/internal/env"
)

const (
	readSize   = 16 << 10
	writeQueue = 1024            // writes that wait for a peer that does not read; then the connection is closed
	dialWithin = 1 * time.Second // until a dial is given up
)

// Net is one set of hosts. Use New.
type Net struct {
	mu    sync.Mutex
	clock func() float64
	hosts map[netip.Addr]*Host // that listen, and whose zones are known
	cut   map[[2]int]bool
	done  bool
}

// Host runs one program.
type Host struct {
	net     *Net
	addr    netip.AddrPort // port 0: it does not listen
	zone    int
	program env.Program
	life    int
	up      bool
	next    env.Conn
	conns   map[env.Conn]*conn
	listen  net.Listener
	udp     *net.UDPConn
	frozen  float64
	silent  bool
	lateBy  float64
}

type conn struct {
	host  *Host
	id    env.Conn
	c     net.Conn
	zone  int // of the peer
	out   chan []byte
	ended bool
}

// New makes a net.
func New(clock func() float64) *Net {
	return &Net{clock: clock, hosts: map[netip.Addr]*Host{}, cut: map[[2]int]bool{}}
}

// Now is the clock.
func (n *Net) Now() float64 { return n.clock() }

// At does something at a clock time.
func (n *Net) At(at float64, do func()) {
	time.AfterFunc(time.Duration((at-n.clock())*float64(time.Second)), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.done {
			do()
		}
	})
}

// Run lets time pass until a clock time.
func (n *Net) Run(until float64) {
	time.Sleep(time.Duration((until - n.clock()) * float64(time.Second)))
}

// Do calls f while all programs stand still.
func (n *Net) Do(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// Stop ends all programs.
func (n *Net) Stop() {
	n.mu.Lock()
	n.done = true
	for _, h := range n.hosts {
		h.kill()
	}
	n.mu.Unlock()
}

// Zone tells the net in which zone an address is that another part of the process listens on.
func (n *Net) Zone(addr netip.Addr, zone int) { n.hosts[addr] = &Host{net: n, zone: zone} }

// Add makes a host. With a port it listens; guests share an address with another host, and do not.
func (n *Net) Add(addr netip.AddrPort, zone int) *Host {
	h := &Host{net: n, addr: addr, zone: zone, conns: map[env.Conn]*conn{}}
	if _, taken := n.hosts[addr.Addr()]; !taken {
		n.hosts[addr.Addr()] = h
	}
	return h
}

// Start runs a program on the host, under the lock.
func (h *Host) Start(p env.Program) error {
	h.program, h.up, h.frozen = p, true, 0
	h.life++
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: h.addr.Addr().AsSlice()})
	if err != nil {
		return err
	}
	h.udp = udp
	if h.addr.Port() != 0 {
		if h.listen, err = net.Listen("tcp", h.addr.String()); err != nil {
			return err
		}
		go h.accept(h.listen, h.life)
	}
	p.Start(h.net.clock(), h)
	return nil
}

func (h *Host) accept(l net.Listener, life int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		h.net.mu.Lock()
		from, err := netip.ParseAddrPort(c.RemoteAddr().String())
		if err != nil || h.life != life || !h.up || h.net.apart(h.zone, h.net.zoneOf(from.Addr().Unmap())) {
			_ = c.Close()
			h.net.mu.Unlock()
			continue
		}
		x := h.add(c, h.net.zoneOf(from.Addr().Unmap()))
		h.program.Opened(h.net.clock(), x.id, from.Addr().Unmap(), h.addr.Port())
		h.net.mu.Unlock()
		go x.read(life)
	}
}

func (n *Net) zoneOf(a netip.Addr) int {
	if h := n.hosts[a]; h != nil {
		return h.zone
	}
	return 0
}

func (n *Net) apart(a, b int) bool { return n.cut[[2]int{min(a, b), max(a, b)}] }

func (h *Host) add(c net.Conn, zone int) *conn {
	h.next++
	x := &conn{host: h, id: h.next, c: c, zone: zone, out: make(chan []byte, writeQueue)}
	h.conns[x.id] = x
	if c != nil {
		go x.write(c)
	}
	return x
}

func (x *conn) write(c net.Conn) {
	for b := range x.out {
		if _, err := c.Write(b); err != nil {
			_ = c.Close()
			for range x.out {
			}
			return
		}
	}
}

func (x *conn) read(life int) {
	buf := make([]byte, readSize)
	for {
		n, err := x.c.Read(buf)
		x.host.thaw()
		x.host.net.mu.Lock()
		h := x.host
		if h.life != life || x.ended {
			h.net.mu.Unlock()
			return
		}
		if n > 0 {
			h.program.Receive(h.net.clock(), x.id, buf[:n])
		}
		if err != nil && !x.ended {
			h.drop(x)
			h.program.Closed(h.net.clock(), x.id)
		}
		h.net.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// thaw waits until the host is no longer frozen.
func (h *Host) thaw() {
	for {
		h.net.mu.Lock()
		wait := h.frozen - h.net.clock()
		h.net.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(time.Duration(wait * float64(time.Second)))
	}
}

func (h *Host) drop(x *conn) {
	if x.ended {
		return
	}
	x.ended = true
	delete(h.conns, x.id)
	close(x.out)
	if x.c != nil {
		_ = x.c.Close()
	}
}

// Kill ends the program at once; peers see resets. Under the lock.
func (h *Host) Kill() { h.kill() }

func (h *Host) kill() {
	if !h.up {
		return
	}
	h.up = false
	h.life++
	if h.listen != nil {
		_ = h.listen.Close()
	}
	_ = h.udp.Close()
	for _, x := range h.conns {
		if t, ok := x.c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		h.drop(x)
	}
}

// Freeze stops the program for so many seconds.
func (h *Host) Freeze(seconds float64) { h.frozen = max(h.frozen, h.net.clock()+seconds) }

// Mute makes the host's datagrams get lost, or late by some seconds.
func (h *Host) Mute(lost bool, lateBy float64) { h.silent, h.lateBy = lost, lateBy }

// Cut separates a zone from all others, or heals it: connections across break, dials across fail.
func (n *Net) Cut(zone, zones int, on bool) {
	for z := range zones {
		if z != zone {
			n.cut[[2]int{min(z, zone), max(z, zone)}] = on
		}
	}
	if !on {
		return
	}
	for _, h := range n.hosts {
		for _, x := range h.conns {
			if n.apart(h.zone, x.zone) && !x.ended {
				h.drop(x)
				h.program.Closed(n.clock(), x.id)
			}
		}
	}
}

// Dial of env.IO.
func (h *Host) Dial(to netip.AddrPort) env.Conn {
	x := h.add(nil, h.net.zoneOf(to.Addr()))
	life := h.life
	go func() {
		h.net.mu.Lock()
		apart := h.net.apart(h.zone, x.zone)
		h.net.mu.Unlock()
		var c net.Conn
		err := net.ErrClosed
		if apart {
			time.Sleep(dialWithin)
		} else {
			d := net.Dialer{Timeout: dialWithin, LocalAddr: &net.TCPAddr{IP: h.addr.Addr().AsSlice()}}
			c, err = d.Dial("tcp", to.String())
		}
		h.thaw()
		h.net.mu.Lock()
		defer h.net.mu.Unlock()
		if h.life != life || x.ended {
			if err == nil {
				_ = c.Close()
			}
			return
		}
		if err != nil {
			h.drop(x)
			h.program.Connected(h.net.clock(), x.id, false)
			return
		}
		x.c = c
		go x.write(c)
		h.program.Connected(h.net.clock(), x.id, true)
		go x.read(life)
	}()
	return x.id
}

// Send of env.IO.
func (h *Host) Send(id env.Conn, b []byte) {
	x := h.conns[id]
	if x == nil || x.ended {
		return
	}
	select {
	case x.out <- append([]byte(nil), b...):
	default:
		_ = x.c.Close() // the reader notices
	}
}

// Close of env.IO.
func (h *Host) Close(id env.Conn) {
	if x := h.conns[id]; x != nil {
		h.drop(x)
	}
}

// Datagram of env.IO.
func (h *Host) Datagram(to netip.AddrPort, b []byte) {
	if h.silent || h.net.apart(h.zone, h.net.zoneOf(to.Addr())) {
		return
	}
	data, udp := append([]byte(nil), b...), h.udp
	send := func() { _, _ = udp.WriteToUDPAddrPort(data, to) } // a datagram may get lost
	if h.lateBy > 0 {
		h.net.At(h.net.clock()+h.lateBy, send)
		return
	}
	send()
}

// SetTimer of env.IO.
func (h *Host) SetTimer(at float64, what int) {
	life := h.life
	h.net.At(at, func() {
		switch {
		case h.life != life:
		case h.frozen > h.net.clock():
			h.SetTimer(h.frozen, what)
		default:
			h.program.TimerFired(h.net.clock(), what)
		}
	})
}
