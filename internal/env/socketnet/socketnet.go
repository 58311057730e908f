// Package socketnet runs programs over real sockets on loopback, as package simnet does in virtual time. One lock serializes all
// programs of a Net, since they emulate the peers of the program under test, which has an event loop of its own.
package socketnet

import (
	"net/netip"
	"sync"
	"time"

	"snowquay/internal/env"
	"snowquay/internal/env/partition"
)

// Net is a set of hosts whose programs run under a common lock. Create one with New. Stop ends its programs.
type Net struct {
	mu         sync.Mutex // held while a program runs
	clock      func() float64
	hosts      map[netip.Addr]*Host // hosts that are not guests, and placeholders for the zones of other addresses
	partitions partition.Zones
	stopped    bool
}

// New returns a Net without hosts. clock returns the clock time in seconds.
func New(clock func() float64) *Net {
	return &Net{clock: clock, hosts: map[netip.Addr]*Host{}}
}

// Now returns the clock time in seconds.
func (n *Net) Now() float64 { return n.clock() }

// At calls a function under the lock at a clock time in seconds, unless the Net is stopped before then.
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

// SetZone sets the zone of an address on which a program outside the Net listens.
func (n *Net) SetZone(addr netip.Addr, zone int) { n.hosts[addr] = &Host{net: n, zone: zone} }

// Add adds a host in a zone. The host listens if its address has a port. A guest is a host that shares the IP address of an
// earlier host; it does not listen.
func (n *Net) Add(addr netip.AddrPort, zone int) *Host {
	host := &Host{net: n, addr: addr, zone: zone, connections: map[env.Conn]*connection{}}
	_, taken := n.hosts[addr.Addr()]
	if !taken {
		n.hosts[addr.Addr()] = host
	}
	return host
}

// Cut partitions a zone from all others if on is true; otherwise it ends the partition. zones is the total number of zones.
// Connections between partitioned zones break, and dials between them fail. The caller must hold the lock.
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
