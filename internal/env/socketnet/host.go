package socketnet

import (
	"bytes"
	"net"
	"net/netip"
	"time"

	"snowquay/internal/env"
)

// Host runs one program at a time. It implements env.IO for the program. The caller of its methods must hold the lock of its Net.
type Host struct {
	net         *Net
	addr        netip.AddrPort // with port 0 the host does not listen
	zone        int
	program     env.Program
	incarnation int // incremented at each start and end of a program
	up          bool

	latestConn  env.Conn
	connections map[env.Conn]*connection
	listener    net.Listener
	datagrams   *net.UDPConn

	frozenUntil     float64 // clock time in seconds
	dropsDatagrams  bool
	datagramsLateBy float64 // seconds
}

// Start runs a program on the host. It returns an error if the host can't listen.
func (h *Host) Start(program env.Program) error {
	h.program = program
	h.up = true
	h.frozenUntil = 0
	h.incarnation++
	datagrams, err := net.ListenUDP("udp", &net.UDPAddr{IP: h.addr.Addr().AsSlice()})
	if err != nil {
		return err
	}
	h.datagrams = datagrams
	if h.addr.Port() != 0 {
		listener, err := net.Listen("tcp", h.addr.String())
		if err != nil {
			return err
		}
		h.listener = listener
		go h.acceptAll(listener, h.incarnation)
	}
	program.Start(h.net.clock(), h)
	return nil
}

// acceptAll accepts connections until the listener is closed.
func (h *Host) acceptAll(listener net.Listener, incarnation int) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		h.accept(socket, incarnation)
	}
}

func (h *Host) accept(socket net.Conn, incarnation int) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	from, err := netip.ParseAddrPort(socket.RemoteAddr().String())
	peerZone := h.net.zoneOf(from.Addr().Unmap())
	if err != nil || h.incarnation != incarnation || !h.up || h.net.partitions.Between(h.zone, peerZone) {
		_ = socket.Close()
		return
	}
	conn := h.newConnection(peerZone)
	conn.socket = socket
	go conn.writeAll(socket)
	h.program.Opened(h.net.clock(), conn.id, from.Addr().Unmap(), h.addr.Port())
	go conn.readAll(incarnation)
}

// Kill ends the program immediately. Peers see their connections reset.
func (h *Host) Kill() {
	if !h.up {
		return
	}
	h.up = false
	h.incarnation++
	if h.listener != nil {
		_ = h.listener.Close()
	}
	_ = h.datagrams.Close()
	for _, conn := range h.connections {
		tcp, ok := conn.socket.(*net.TCPConn)
		if ok {
			_ = tcp.SetLinger(0)
		}
		conn.close()
	}
}

// Freeze pauses the program for the given number of seconds.
func (h *Host) Freeze(seconds float64) {
	h.frozenUntil = max(h.frozenUntil, h.net.clock()+seconds)
}

// waitWhileFrozen blocks until the host is no longer frozen. The caller must not hold the lock.
func (h *Host) waitWhileFrozen() {
	for {
		h.net.mu.Lock()
		wait := h.frozenUntil - h.net.clock()
		h.net.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(seconds(wait))
	}
}

// DisturbDatagrams sets whether the datagrams that the host sends are lost, and by how many seconds they are late.
func (h *Host) DisturbDatagrams(lost bool, lateBy float64) {
	h.dropsDatagrams = lost
	h.datagramsLateBy = lateBy
}

// closePartitioned closes the connections to zones that the host can no longer reach.
func (h *Host) closePartitioned() {
	for _, conn := range h.connections {
		if h.net.partitions.Between(h.zone, conn.peerZone) && !conn.closed {
			conn.close()
			h.program.Closed(h.net.clock(), conn.id)
		}
	}
}

// Datagram implements env.IO.
func (h *Host) Datagram(to netip.AddrPort, data []byte) {
	if h.dropsDatagrams || h.net.partitions.Between(h.zone, h.net.zoneOf(to.Addr())) {
		return
	}
	data = bytes.Clone(data)
	socket := h.datagrams
	send := func() { _, _ = socket.WriteToUDPAddrPort(data, to) } // errors are ignored, since a datagram may get lost
	if h.datagramsLateBy > 0 {
		h.net.At(h.net.clock()+h.datagramsLateBy, send)
		return
	}
	send()
}

// SetTimer implements env.IO.
func (h *Host) SetTimer(at float64, key int) {
	incarnation := h.incarnation
	h.net.At(at, func() {
		switch {
		case h.incarnation != incarnation:
		case h.frozenUntil > h.net.clock():
			h.SetTimer(h.frozenUntil, key)
		default:
			h.program.TimerFired(h.net.clock(), key)
		}
	})
}
