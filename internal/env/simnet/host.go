package simnet

import (
	"bytes"
	"maps"
	"net/netip"
	"slices"

	"snowquay/internal/env"
)

// Host is a host with an address that runs one program at a time. It implements env.IO for the program.
type Host struct {
	net         *Net
	addr        netip.Addr
	zone        int
	program     env.Program
	incarnation int // incremented at each start and end of a program
	up          bool

	latestConn  env.Conn
	connections map[env.Conn]*endpoint

	stalledUntil    float64               // clock time in seconds until which the program reads nothing
	frozenUntil     float64               // clock time in seconds until which no timer fires
	unreachable     func(netip.Addr) bool // reports addresses that are partitioned from the host; nil: none
	dropsDatagrams  bool
	datagramsLateBy float64 // seconds
}

// Start runs a program on the host.
func (h *Host) Start(program env.Program) {
	h.program = program
	h.up = true
	h.stalledUntil = 0
	h.frozenUntil = 0
	h.incarnation++
	program.Start(h.net.now, h)
}

// Kill ends the program immediately. Peers that can be reached see their connections closed.
func (h *Host) Kill() {
	h.up = false
	h.incarnation++
	for _, conn := range h.sortedConnections() {
		conn.close()
	}
	h.connections = map[env.Conn]*endpoint{}
}

// Up reports whether a program is running.
func (h *Host) Up() bool { return h.up }

// Stall makes the program read nothing for the given number of seconds. Data that it has sent is still delivered.
func (h *Host) Stall(seconds float64) {
	h.stalledUntil = max(h.stalledUntil, h.net.now+seconds)
	h.net.At(h.stalledUntil, func() {
		for _, conn := range h.sortedConnections() {
			conn.readStalled()
		}
	})
}

// Freeze pauses the program for the given number of seconds: it reads nothing, and its timers fire late.
func (h *Host) Freeze(seconds float64) {
	h.frozenUntil = max(h.frozenUntil, h.net.now+seconds)
	h.Stall(seconds)
}

// Isolate partitions the host, in both directions, from the addresses for which unreachable returns true; nil ends the partition.
// Connections to these addresses break once the partition is detected.
func (h *Host) Isolate(unreachable func(netip.Addr) bool) {
	h.unreachable = unreachable
	for _, conn := range h.sortedConnections() {
		peer := conn.peer
		if peer == nil || !h.partitionedFrom(peer.host) {
			continue
		}
		conn.loseAfterDetection()
		peer.loseAfterDetection()
	}
}

// partitionedFrom reports whether there is a partition between the host and another one.
func (h *Host) partitionedFrom(other *Host) bool {
	return h.net.partitions.Between(h.zone, other.zone) || h.excludes(other) || other.excludes(h)
}

func (h *Host) excludes(other *Host) bool { return h.unreachable != nil && h.unreachable(other.addr) }

// DisturbDatagrams sets whether the datagrams that the host sends are lost, and by how many seconds they are late.
func (h *Host) DisturbDatagrams(lost bool, lateBy float64) {
	h.dropsDatagrams = lost
	h.datagramsLateBy = lateBy
}

func (h *Host) sortedConnections() []*endpoint {
	sorted := make([]*endpoint, 0, len(h.connections))
	for _, id := range slices.Sorted(maps.Keys(h.connections)) {
		sorted = append(sorted, h.connections[id])
	}
	return sorted
}

// Datagram implements env.IO.
func (h *Host) Datagram(to netip.AddrPort, data []byte) {
	net := h.net
	receiver := net.hosts[to.Addr()]
	if receiver == nil || h.dropsDatagrams || h.partitionedFrom(receiver) {
		return
	}
	data = bytes.Clone(data)
	copies := 1
	if net.random.Float64() < net.Faults.DuplicateProbability {
		copies = 2
	}
	for range copies {
		if net.random.Float64() < net.Faults.LossProbability {
			continue
		}
		latency := net.latency(h, receiver)
		delay := net.random.Float64() * net.Faults.MaxDelay
		net.At(net.now+latency+h.datagramsLateBy+delay, func() {
			if receiver.up {
				receiver.program.Datagram(net.now, data)
			}
		})
	}
}

// SetTimer implements env.IO.
func (h *Host) SetTimer(at float64, key int) {
	incarnation := h.incarnation
	h.net.At(at, func() {
		switch {
		case h.incarnation != incarnation:
		case h.frozenUntil > h.net.now:
			h.SetTimer(h.frozenUntil, key)
		default:
			h.program.TimerFired(h.net.now, key)
		}
	})
}
