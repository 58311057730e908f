package settings

import (
	"net/netip"

	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/membership"
)

const (
	// minKeyBytes is the minimum length in bytes of the key of a group or a caller.
	minKeyBytes = 16
	// minLeaseElections is the minimum duration of a lease in election timeouts. An election may take two of them.
	minLeaseElections = 4
	// maxClockDrift is the exclusive upper bound of the relative drift between two clocks.
	maxClockDrift = 0.5
)

// readGroup reads the group of coordinators that share a fleet. The element is nil if there is no group.
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
		d.addError(element, "number %d is not among the peers, which must include the coordinator itself", group.Self)
	}
	if len(group.Key) < minKeyBytes {
		d.addError(element, "key: %d bytes, must be at least %d: anyone who knows it can impersonate a coordinator",
			len(group.Key), minKeyBytes)
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
	for _, element := range n.childrenNamed("peer") {
		number := membership.MemberID(element.int("number"))
		address := d.endpoint(element, "address")
		if _, duplicate := peers[number]; duplicate {
			d.addError(element, "there are two peers with number %d", number)
		}
		if addresses[address] {
			d.addError(element, "there are two peers at %s", address)
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
		d.addError(element, "lease: %g s, must be at least %g s: an election may take half of that", lease.Duration, shortest)
	}
	if lease.MaxClockDrift >= maxClockDrift {
		d.addError(element, "drift: the relative drift between two clocks must be below 0.5")
	}
}
