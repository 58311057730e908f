package coordinator

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
)

// drainCleanupInterval is the seconds between two searches for drains that have ended elsewhere.
const drainCleanupInterval = 1.0

// Peers are the coordinators that share the fleet of one, as that one sees them.
type Peers interface {
	// Ready reports whether changes can be proposed to the group.
	Ready() bool
	// HoldsLease reports whether this coordinator holds a lease, hence has applied all that was committed before the lease.
	HoldsLease(now float64) bool
	// Owns reports whether this coordinator may send commands to a proxy now.
	Owns(now float64, uid string) bool
	// Epoch returns the epoch of the ownership of proxies.
	Epoch() uint64
	// ProxyRedirected notes that a proxy of another owner was redirected.
	ProxyRedirected(now float64, uid string)
	// Drain proposes a drain, or its end. The ticket identifies it when it is committed or refused. ok is false if it can't be
	// proposed.
	Drain(now float64, server balancer.Server, draining bool) (ticket uint64, ok bool)
	// Drains returns the committed drains with the clock time in seconds of their order. The caller must not change the map.
	Drains() map[balancer.Server]float64
	// ServerRecords returns the committed records of servers, ordered by server.
	ServerRecords() []registry.Record
	// StoreRecords proposes those of the records that differ from the committed ones.
	StoreRecords(now float64, records []registry.Record)
}

// replicatedStore saves records locally and proposes them to the group. Saving does not wait for the group: each coordinator
// hears every server itself, treats servers that it does not know as warming up, and drains are committed on their own.
type replicatedStore struct {
	coordinator *Coordinator
	local       controlplane.RecordStore // nil: there is no local store
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

// OrderDrain implements saspsession.Out. A drain has no effect until the group has committed it.
func (c *Coordinator) OrderDrain(now float64, server balancer.Server, draining bool) (ticket uint64, ok bool) {
	if c.peers == nil {
		return 0, true
	}
	if !c.peers.Ready() {
		return 0, false
	}
	return c.peers.Drain(now, server, draining)
}

// RequestDrain orders a drain, or its end, for an administrator. done is called once, when the drain is committed and durable,
// or refused.
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

// orderCompleted tells the administrator or the SASP connection that ordered a drain whether it is in force.
func (c *Coordinator) orderCompleted(now float64, order membership.Ticket, committed bool) {
	ticket := uint64(order)
	done := c.pendingDrains[ticket]
	if done == nil {
		c.SASP.OrderCompleted(now, ticket, committed)
		return
	}
	delete(c.pendingDrains, ticket)
	done(committed)
}

// abandonDrains answers all who wait for a drain that was ordered here: it may be in force, and may be ordered again.
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

// reconcileWithGroup brings the registry to the state of the group: also for servers that registered after a drain was
// committed, and for drains that were persisted here and have ended elsewhere.
func (c *Coordinator) reconcileWithGroup(now float64) {
	drains := c.peers.Drains()
	for server := range drains {
		phase, _ := c.Fleet.Registry.Phase(server)
		if phase == balancer.Ready {
			c.Fleet.Registry.SetDrain(now, server, true)
		}
	}
	// Without a lease, commands that have ended a drain may be committed and not known here yet.
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

// restoreServers adds the servers that the group knows and that have not connected to this coordinator yet.
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
