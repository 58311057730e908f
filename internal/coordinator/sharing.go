package coordinator

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
)

// drainCleanupInterval is the number of seconds between checks for drains that have ended at other members.
const drainCleanupInterval = 1.0

// Peers is a coordinator's interface to the group of coordinators that share its fleet.
type Peers interface {
	// Ready reports whether changes can be proposed to the group.
	Ready() bool
	// HoldsLease reports whether this coordinator holds a lease. If it does, it has applied all commands that were committed before
	// the lease.
	HoldsLease(now float64) bool
	// Owns reports whether this coordinator may send commands to a proxy now.
	Owns(now float64, uid string) bool
	// Epoch returns the epoch of the ownership of proxies.
	Epoch() uint64
	// ProxyRedirected records that a proxy with another owner was redirected.
	ProxyRedirected(now float64, uid string)
	// Drain proposes a drain or the end of a drain. The ticket identifies the order when it is accepted or rejected. ok is false if
	// it can't be proposed.
	Drain(now float64, server balancer.Server, draining bool) (ticket uint64, ok bool)
	// Drains returns the draining servers with the clock times in seconds at which their committed drains were ordered. The caller
	// must not change the map.
	Drains() map[balancer.Server]float64
	// ServerRecords returns the committed server records, ordered by server.
	ServerRecords() []registry.Record
	// StoreRecords proposes the records that differ from the committed ones.
	StoreRecords(now float64, records []registry.Record)
}

// replicatedStore saves records locally and proposes them to the group. Saving does not wait for the group: each coordinator gets
// the state of every server directly and treats unknown servers as warming up, and drains are committed separately.
type replicatedStore struct {
	coordinator *Coordinator
	local       controlplane.RecordStore // nil if there is no local store
}

// Save implements controlplane.RecordStore.
func (s *replicatedStore) Save(records []registry.Record) error {
	peers := s.coordinator.peers
	if peers.Ready() {
		peers.StoreRecords(s.coordinator.lastTick, records)
	}
	if s.local == nil {
		return nil
	}
	return s.local.Save(records)
}

// OrderDrain implements saspsession.Handler. A drain has no effect until the group has committed it.
func (c *Coordinator) OrderDrain(now float64, server balancer.Server, draining bool) (ticket uint64, ok bool) {
	if c.peers == nil {
		return 0, true
	}
	if !c.peers.Ready() {
		return 0, false
	}
	return c.peers.Drain(now, server, draining)
}

// RequestDrain orders a drain or the end of a drain for an administrator. done is called once: with true when the order is in
// effect and durable (in a group: when the group has accepted it), otherwise with false. After false the order may still be in
// effect, or take effect later.
func (c *Coordinator) RequestDrain(now float64, server balancer.Server, draining bool, done func(ok bool)) {
	ticket, ok := c.OrderDrain(now, server, draining)
	if !ok {
		done(false)
		return
	}
	if ticket > 0 {
		if c.pendingDrains == nil {
			c.pendingDrains = map[uint64]func(bool){}
		}
		c.pendingDrains[ticket] = done
		return
	}
	applied := c.Fleet.Registry.SetDrain(now, server, draining)
	persisted := c.Fleet.Persist()
	c.tick(now)
	done(applied && persisted)
}

// drainCommitted applies a drain that the group has committed.
func (c *Coordinator) drainCommitted(now float64, command membership.Command) {
	c.Fleet.Registry.SetDrain(now, command.Server, command.Draining)
}

// recordsCommitted applies server starts that another coordinator has observed.
func (c *Coordinator) recordsCommitted(_ float64, records []registry.Record) {
	for _, record := range records {
		if record.Phase != balancer.Removed {
			c.Fleet.Registry.ObserveLaterStart(record.Server, record.Started)
		}
	}
}

// orderCompleted reports to the administrator or the SASP connection that ordered a drain whether the order was accepted.
func (c *Coordinator) orderCompleted(now float64, order membership.Ticket, accepted bool) {
	ticket := uint64(order)
	done := c.pendingDrains[ticket]
	if done == nil {
		c.SASP.OrderCompleted(now, ticket, accepted)
		return
	}
	delete(c.pendingDrains, ticket)
	done(accepted)
}

// abandonDrains reports all pending drains of administrators as not confirmed: they may be in effect, and may be ordered again.
func (c *Coordinator) abandonDrains() {
	tickets := make([]uint64, 0, len(c.pendingDrains))
	for ticket := range c.pendingDrains {
		tickets = append(tickets, ticket)
	}
	slices.Sort(tickets)
	for _, ticket := range tickets {
		done := c.pendingDrains[ticket]
		delete(c.pendingDrains, ticket)
		done(false)
	}
}

// reconcileWithGroup brings the registry in line with the state of the group. This covers servers that registered after their
// drain was committed, and drains that were stored locally and have been ended by other members.
func (c *Coordinator) reconcileWithGroup(now float64) {
	drains := c.peers.Drains()
	for server := range drains {
		phase, _ := c.Fleet.Registry.Phase(server)
		if phase == balancer.Ready {
			c.Fleet.Registry.SetDrain(now, server, true)
		}
	}
	// Without a lease, this coordinator may not have applied yet a committed command that ended a drain.
	if !c.peers.HoldsLease(now) || now < c.nextDrainCleanup {
		return
	}
	if !c.serversRestored {
		c.serversRestored = true
		c.restoreServers(now)
	}
	c.nextDrainCleanup = now + drainCleanupInterval
	for _, server := range c.Fleet.Registry.OrderedDrains() {
		_, draining := drains[server]
		if !draining {
			c.Fleet.Registry.SetDrain(now, server, false)
		}
	}
}

// restoreServers adds the servers that are in the group's state but have not connected to this coordinator yet.
func (c *Coordinator) restoreServers(now float64) {
	for _, record := range c.peers.ServerRecords() {
		_, known := c.Fleet.Registry.Find(record.Server)
		if known || record.Phase == balancer.Removed {
			continue
		}
		err := c.Fleet.Registry.Restore(now, []registry.Record{record})
		if err != nil {
			c.Log("server record from the group rejected", "server", record.Server, "error", err)
		}
	}
}
