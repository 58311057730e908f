// Package simnet simulates a network of hosts in virtual time. A simulation is determined by its seed. It can inject faults:
// deliveries split into pieces, hosts that stop reading or freeze, partitions between zones and between hosts (connections stay
// half open until the partition is detected), lost, duplicated and late datagrams, clock jumps, and hosts that are killed and
// restarted.
package simnet

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"

	"snowquay/internal/env"
	"snowquay/internal/env/partition"
)

// randomStream is the generator stream of a Net. It makes its random numbers differ from those of other users of the same seed.
const randomStream = 0x5eed

// Faults configures the latencies and the random faults of a network.
type Faults struct {
	SplitProbability     float64 // probability that a delivery is split into pieces
	LossProbability      float64 // probability that a datagram is lost
	DuplicateProbability float64 // probability that a datagram is duplicated
	MaxDelay             float64 // maximum extra delay of a datagram in seconds
	SameZoneLatency      float64 // mean one-way latency in seconds
	CrossZoneLatency     float64 // mean one-way latency in seconds
	DetectionDelay       float64 // maximum time in seconds until a broken connection is detected
}

// DefaultFaults has the latencies of a network without random faults.
var DefaultFaults = Faults{SameZoneLatency: 0.0003, CrossZoneLatency: 0.001, DetectionDelay: 2}

// Net is a simulated network with its own clock. It is not safe for concurrent use. Create one with New.
type Net struct {
	// Faults may be changed at any time.
	Faults Faults
	// Events is the number of events that have run.
	Events int

	now        float64 // clock time in seconds
	sequence   uint64  // sequence number of the most recently scheduled event
	events     eventQueue
	random     *rand.Rand
	hosts      map[netip.Addr]*Host
	partitions partition.Zones
}

// New returns a network without hosts whose clock is at now, in seconds.
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

// At schedules a function for a clock time in seconds. Functions with the same time run in the order in which they were
// scheduled.
func (n *Net) At(at float64, do func()) {
	n.sequence++
	heap.Push(&n.events, event{at: max(at, n.now), sequence: n.sequence, do: do})
}

// Run advances virtual time to a clock time in seconds and runs the events that are due by then.
func (n *Net) Run(until float64) {
	for len(n.events) > 0 && n.events[0].at <= until {
		next := heap.Pop(&n.events).(event)
		n.now = max(n.now, next.at)
		n.Events++
		next.do()
	}
	n.now = max(n.now, until)
}

// AdvanceClock advances the clock without running events, like a pause of the machine: events that become due meanwhile run late.
func (n *Net) AdvanceClock(seconds float64) { n.now += seconds }

// Add adds a host in a zone. It is down until Host.Start. A guest shares its address with another host: it can dial, but can't be
// dialled.
func (n *Net) Add(addr netip.Addr, zone int, guest bool) *Host {
	host := &Host{net: n, addr: addr, zone: zone, connections: map[env.Conn]*endpoint{}}
	if !guest {
		n.hosts[addr] = host
	}
	return host
}

// Cut partitions a zone from all others if on is true; otherwise it ends the partition. zones is the total number of zones.
// Connections between partitioned zones break once the partition is detected.
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

// breakPartitioned closes one side of a connection, unless the partition ends before it is detected.
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

// latency returns a random one-way latency in seconds between two hosts.
func (n *Net) latency(a, b *Host) float64 {
	mean := n.Faults.CrossZoneLatency
	if a.zone == b.zone {
		mean = n.Faults.SameZoneLatency
	}
	return mean * (0.8 + 0.4*n.random.Float64())
}
