package simnet

import (
	"bytes"
	"net/netip"

	"snowquay/internal/env"
)

const (
	receiveWindow = 32 << 10 // bytes that a host buffers for a program that does not read
	maxPieces     = 64       // pieces of one delivery
	pieceInterval = 1e-6     // seconds between consecutive pieces of a delivery
	dialLatencies = 3.0      // one-way latencies until a dial succeeds or is refused
	dialTimeout   = 1.0      // seconds
)

// endpoint is one side of a connection.
type endpoint struct {
	host   *Host
	id     env.Conn
	peer   *endpoint // nil until the dial has succeeded
	closed bool

	lastArrival  float64  // clock time in seconds of the latest scheduled delivery; keeps deliveries in order
	accepted     uint64   // bytes that the host has accepted
	unread       [][]byte // accepted by the host while the program is stalled
	unreadBytes  int
	beyondWindow [][]byte // sent, but not accepted by the host, since its receive window is full
}

func (h *Host) newEndpoint(peer *endpoint) *endpoint {
	h.latestConn++
	conn := &endpoint{host: h, id: h.latestConn, peer: peer}
	h.connections[conn.id] = conn
	return conn
}

// Dial implements env.IO.
func (h *Host) Dial(to netip.AddrPort) env.Conn {
	net := h.net
	conn := h.newEndpoint(nil)
	incarnation := h.incarnation
	target := net.hosts[to.Addr()]
	if target == nil || h.partitionedFrom(target) {
		net.At(net.now+dialTimeout, func() { conn.dialFailed(incarnation) })
		return conn.id
	}
	latency := net.latency(h, target)
	net.At(net.now+dialLatencies*latency, func() { conn.accept(incarnation, target, to.Port()) })
	return conn.id
}

// accept completes a dial.
func (e *endpoint) accept(incarnation int, target *Host, port uint16) {
	host := e.host
	if host.incarnation != incarnation || e.closed {
		return
	}
	if !target.up || host.partitionedFrom(target) {
		e.dialFailed(incarnation)
		return
	}
	e.peer = target.newEndpoint(e)
	target.program.Opened(host.net.now, e.peer.id, host.addr, port)
	if host.incarnation == incarnation && !e.closed { // the target may have closed the connection
		host.program.Connected(host.net.now, e.id, true)
	}
}

func (e *endpoint) dialFailed(incarnation int) {
	host := e.host
	if host.incarnation != incarnation || host.connections[e.id] != e || e.closed {
		return
	}
	delete(host.connections, e.id)
	e.closed = true
	host.program.Connected(host.net.now, e.id, false)
}

// Close implements env.IO.
func (h *Host) Close(id env.Conn) {
	conn := h.connections[id]
	if conn == nil {
		return
	}
	delete(h.connections, id)
	conn.close()
}

// close closes the endpoint and notifies the peer. A peer that can't be reached detects the broken connection later.
func (e *endpoint) close() {
	if e.closed {
		return
	}
	e.closed = true
	peer := e.peer
	if peer == nil {
		return
	}
	net := e.host.net
	delay := net.latency(e.host, peer.host)
	if e.host.partitionedFrom(peer.host) {
		delay = net.Faults.DetectionDelay * (0.5 + net.random.Float64()/2)
	}
	incarnation := peer.host.incarnation
	net.At(max(net.now+delay, peer.lastArrival), func() { peer.lost(incarnation) })
}

// lost closes the endpoint and notifies its program, unless that incarnation of the program has ended.
func (e *endpoint) lost(incarnation int) {
	host := e.host
	if e.closed || host.incarnation != incarnation {
		return
	}
	e.closed = true
	delete(host.connections, e.id)
	if host.up {
		host.program.Closed(host.net.now, e.id)
	}
}

// loseAfterDetection closes the endpoint once the partition is detected, after a random delay.
func (e *endpoint) loseAfterDetection() {
	net := e.host.net
	incarnation := e.host.incarnation
	net.At(net.now+net.Faults.DetectionDelay*net.random.Float64(), func() { e.lost(incarnation) })
}

// Send implements env.IO.
func (h *Host) Send(id env.Conn, data []byte) {
	conn := h.connections[id]
	if conn == nil || conn.closed || conn.peer == nil || len(data) == 0 {
		return
	}
	net := h.net
	peer := conn.peer
	data = bytes.Clone(data)
	at := max(net.now+net.latency(h, peer.host), peer.lastArrival)
	pieces := 1
	if net.Faults.SplitProbability > 0 && net.random.Float64() < net.Faults.SplitProbability {
		pieces = min(len(data), maxPieces)
	}
	pieceSize := (len(data) + pieces - 1) / pieces
	incarnation := peer.host.incarnation
	for len(data) > 0 {
		piece := data[:min(pieceSize, len(data))]
		data = data[len(piece):]
		peer.lastArrival = at
		net.At(at, func() { peer.arrive(incarnation, piece) })
		at += pieceInterval
	}
}

// arrive handles the arrival of a piece of a delivery that was sent to an incarnation of the host's program. The host accepts
// pieces while its receive window allows, and the program reads them unless it is stalled.
func (e *endpoint) arrive(incarnation int, piece []byte) {
	if e.host.incarnation != incarnation || e.closed || e.peer.host.partitionedFrom(e.host) {
		return
	}
	windowFull := e.unreadBytes > 0 && e.unreadBytes+len(piece) > receiveWindow
	if windowFull || len(e.beyondWindow) > 0 {
		e.beyondWindow = append(e.beyondWindow, piece)
		return
	}
	e.acceptPiece(piece)
}

// acceptPiece accepts a piece at the host, acknowledges it to the sender, and passes it to the program unless that is stalled.
func (e *endpoint) acceptPiece(piece []byte) {
	net := e.host.net
	e.accepted += uint64(len(piece))
	e.acknowledge(e.accepted)
	if e.host.stalledUntil > net.now || len(e.unread) > 0 {
		e.unread = append(e.unread, piece)
		e.unreadBytes += len(piece)
		return
	}
	e.host.program.Receive(net.now, e.id, piece)
}

// acknowledge reports to the sender how many bytes the host has accepted.
func (e *endpoint) acknowledge(total uint64) {
	net := e.host.net
	sender := e.peer
	incarnation := sender.host.incarnation
	net.At(net.now+net.latency(e.host, sender.host), func() {
		if sender.host.incarnation == incarnation && !sender.closed && sender.host.up {
			sender.host.program.Delivered(net.now, sender.id, total)
		}
	})
}

// readStalled passes the data that arrived during a stall to the program, if the stall has ended.
func (e *endpoint) readStalled() {
	host := e.host
	if host.stalledUntil > host.net.now {
		return
	}
	unread := e.unread
	e.unread = nil
	e.unreadBytes = 0
	for _, piece := range unread {
		if !e.closed && host.up {
			host.program.Receive(host.net.now, e.id, piece)
		}
	}
	beyondWindow := e.beyondWindow
	e.beyondWindow = nil
	for _, piece := range beyondWindow {
		if !e.closed && host.up {
			e.acceptPiece(piece)
		}
	}
}
