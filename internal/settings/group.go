package settings

import (
	"net/netip"

	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
)

const (
	// minKeyBytes is the minimum length of the key of a group or a caller.
	minKeyBytes = 16
	// minLeaseElections is the minimum duration of a lease in election timeouts: an election may take two.
	minLeaseElections = 4
	// maxClockDrift is the exclusive upper bound on the relative drift between two clocks.
	maxClockDrift = 0.5
)

// readGroup reads the group of coordinators that share a fleet, if there is one.
func (d *decoder) readGroup(element *node, config *Coordinator) {
	if element == nil {
		return
	}
	group := &coordinator.GroupConfig{
		Self:      membership.MemberID(element.int("number")),
		Weight:    element.number("weight"),
		Join:      element.bool("joins"),
		Members:   d.readPeers(element),
		Key:       []byte(element.attrs["key"]),
		Consensus: consensus.DefaultConfig,
		Lease:     membership.DefaultLeaseConfig,
	}
	if _, ok := group.Members[group.Self]; !ok {
		d.fail(element, "number %d is none of the peers; the coordinator itself is one of them", group.Self)
	}
	if len(group.Key) < minKeyBytes {
		d.fail(element, "key: %d bytes, %d at least: whoever has it may speak for a coordinator", len(group.Key), minKeyBytes)
	}
	d.readLease(element, group)
	config.Group = group
	config.GroupStore = element.attrs["store"]
	dataPlane := &config.Site.DataPlane
	dataPlane.Coordinators = len(group.Members)
	for number := range group.Members {
		if number < group.Self {
			dataPlane.Self++
		}
	}
}

func (d *decoder) readPeers(n *node) map[membership.MemberID]netip.AddrPort {
	peers := map[membership.MemberID]netip.AddrPort{}
	addresses := map[netip.AddrPort]bool{}
	for _, element := range n.all("peer") {
		number := membership.MemberID(element.int("number"))
		address := d.endpoint(element, "address")
		if _, duplicate := peers[number]; duplicate {
			d.fail(element, "there are two peers with number %d", number)
		}
		if addresses[address] {
			d.fail(element, "there are two peers at %s", address)
		}
		peers[number] = address
		addresses[address] = true
	}
	return peers
}

func (d *decoder) readLease(element *node, group *coordinator.GroupConfig) {
	lease := &group.Lease
	if duration := element.number("lease"); duration > 0 {
		lease.Duration = duration
		lease.RenewInterval = duration / membership.RenewalsPerLease
	}
	element.overrideNumber("margin", &lease.SafetyMargin)
	if element.attrs["drift"] != "" {
		lease.MaxClockDrift = element.number("drift")
	}
	if shortest := minLeaseElections * group.Consensus.ElectionTimeout; lease.Duration < shortest {
		d.fail(element, "lease: %g s, %g at least: an election may take half of that", lease.Duration, shortest)
	}
	if lease.MaxClockDrift >= maxClockDrift {
		d.fail(element, "drift: clocks that run apart by a half are no clocks")
	}
}
