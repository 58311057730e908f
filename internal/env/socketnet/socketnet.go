// Package socketnet runs programs over real sockets on loopback, as package simnet does in virtual time. All programs of a Net take
// turns under one lock, since they emulate the other parties of a test; the program under test has an event loop of its own.
package socketnet

import (
	"net/netip"
	"sync"
	"time"

	"snowquay/internal/env"
	"snowquay/internal/env/partition"
)

// Net is a set of hosts whose programs take turns. Use New. Stop ends its programs.
type Net struct {
	mu         sync.Mutex // held while a program runs
	clock      func() float64
	hosts      map[netip.Addr]*Host // that listen, or whose zones are known
	partitions partition.Zones
	stopped    bool
}

// New returns a net without hosts. clock returns seconds.
func New(clock func() float64) *Net {
	return &Net{clock: clock, hosts: map[netip.Addr]*Host{}}
}

// Now returns the clock time in seconds.
func (n *Net) Now() float64 { return n.clock() }

// At calls a function under the lock at a clock time in seconds, unless the net is stopped before.
func (n *Net) At(at float64, do func()) {
	time.AfterFunc(seconds(at-n.clock()), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.stopped {
			do()
		}
	})
}

// Run waits until a clock time in seconds. The caller must not hold the lock.
func (n *Net) Run(until float64) { time.Sleep(seconds(until - n.clock())) }

// Do calls a function under the lock.
func (n *Net) Do(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
}

// Stop ends all programs of hosts that are not guests.
func (n *Net) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	for _, host := range n.hosts {
		host.Kill()
	}
}

// SetZone sets the zone of an address on which a program outside the net listens.
func (n *Net) SetZone(addr netip.Addr, zone int) { n.hosts[addr] = &Host{net: n, zone: zone} }

// Add adds a host in a zone. It listens if it has a port. A guest shares its address with an earlier host, and does not listen.
func (n *Net) Add(addr netip.AddrPort, zone int) *Host {
	host := &Host{net: n, addr: addr, zone: zone, connections: map[env.Conn]*connection{}}
	_, taken := n.hosts[addr.Addr()]
	if !taken {
		n.hosts[addr.Addr()] = host
	}
	return host
}

// Cut partitions a zone from all others, of which there are zones in all, or ends the partition: connections between them break, and
// dials fail. The caller holds the lock.
func (n *Net) Cut(zone, zones int, on bool) {
	n.partitions.Isolate(zone, zones, on)
	if !on {
		return
	}
	for _, host := range n.hosts {
		host.closePartitioned()
	}
}

func (n *Net) zoneOf(addr netip.Addr) int {
	host := n.hosts[addr]
	if host == nil {
		return 0
	}
	return host.zone
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
