// Package simnet simulates a network of hosts in virtual time. Everything that happens follows from the seed. It can inject
// faults: deliveries in pieces, hosts that stop reading or freeze, partitions between zones and between hosts (connections stay half
// open until that is detected), lost, duplicated and late datagrams, gaps in the clock, and hosts that are killed and restarted.
package simnet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"

	"snowquay/internal/env"
	"snowquay/internal/env/partition"
)

// randomStream separates the random numbers of a Net from others of the same seed.
const randomStream = 0x5eed

// Faults are the latencies of a network and its random faults.
type Faults struct {
	SplitProbability     float64 // probability that a delivery is split into pieces
	LossProbability      float64 // probability that a datagram is lost
	DuplicateProbability float64 // probability that a datagram is duplicated
	MaxDelay             float64 // seconds by which a datagram may be late, at most
	SameZoneLatency      float64 // seconds one way, on average
	CrossZoneLatency     float64 // seconds one way, on average
	DetectionDelay       float64 // seconds until a broken connection is detected, at most
}

// DefaultFaults are those of a network without random faults.
var DefaultFaults = Faults{SameZoneLatency: 0.0003, CrossZoneLatency: 0.001, DetectionDelay: 2}

// Net is a simulated network with its clock. It is used by one goroutine. Use New.
type Net struct {
	// Faults may be changed at any time.
	Faults Faults
	// Events is the number of events that have happened.
	Events int

	now        float64 // clock time in seconds
	sequence   uint64  // of the latest event that was scheduled
	events     eventQueue
	random     *rand.Rand
	hosts      map[netip.Addr]*Host
	partitions partition.Zones
}

// New returns a network without hosts at a clock time in seconds.
func New(seed uint64, now float64) *Net {
	return &Net{
		Faults: DefaultFaults,
		now:    now,
		random: rand.New(rand.NewPCG(seed, randomStream)),
		hosts:  map[netip.Addr]*Host{},
	}
}

// Now returns the clock time in seconds.
func (n *Net) Now() float64 { return n.now }

// At schedules a function for a clock time in seconds. Functions of the same time run in the order in which they were scheduled.
func (n *Net) At(at float64, do func()) {
	n.sequence++
	heap.Push(&n.events, event{at: max(at, n.now), sequence: n.sequence, do: do})
}

// Run lets virtual time pass until a clock time in seconds.
func (n *Net) Run(until float64) {
	for len(n.events) > 0 && n.events[0].at <= until {
		next := heap.Pop(&n.events).(event)
		n.now = max(n.now, next.at)
		n.Events++
		next.do()
	}
	n.now = max(n.now, until)
}

// AdvanceClock advances the clock without running events, as a pause of the machine does: what was due meanwhile happens late.
func (n *Net) AdvanceClock(seconds float64) { n.now += seconds }

// Add adds a host in a zone. It is down until Start. A guest shares its address with another host: it can dial, but can't be
// dialled.
func (n *Net) Add(addr netip.Addr, zone int, guest bool) *Host {
	host := &Host{net: n, addr: addr, zone: zone, connections: map[env.Conn]*endpoint{}}
	if !guest {
		n.hosts[addr] = host
	}
	return host
}

// Cut partitions a zone from all others, of which there are zones in all, or ends the partition. Connections between them break when
// that is detected.
func (n *Net) Cut(zone, zones int, on bool) {
	n.partitions.Isolate(zone, zones, on)
	if !on {
		return
	}
	for _, host := range n.sortedHosts() {
		for _, conn := range host.sortedConnections() {
			if conn.peer != nil && n.partitions.Between(host.zone, conn.peer.host.zone) {
				n.breakPartitioned(conn)
			}
		}
	}
}

// breakPartitioned ends one side of a connection, unless the partition has ended before it is detected.
func (n *Net) breakPartitioned(conn *endpoint) {
	incarnation := conn.host.incarnation
	n.At(n.now+n.Faults.DetectionDelay*(0.3+0.7*n.random.Float64()), func() {
		if n.partitions.Between(conn.host.zone, conn.peer.host.zone) {
			conn.lost(incarnation)
		}
	})
}

func (n *Net) sortedHosts() []*Host {
	hosts := make([]*Host, 0, len(n.hosts))
	for _, host := range n.hosts {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b *Host) int { return a.addr.Compare(b.addr) })
	return hosts
}

// latency draws the seconds of one way between two hosts.
func (n *Net) latency(a, b *Host) float64 {
	mean := n.Faults.CrossZoneLatency
	if a.zone == b.zone {
		mean = n.Faults.SameZoneLatency
	}
	return mean * (0.8 + 0.4*n.random.Float64())
}
