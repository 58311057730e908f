// Package coordinator assembles a coordinator from its components: a fleet, a SASP server, a long-poll frontend and a collector
// of measurements. A Coordinator may share its fleet with other coordinators as a Member of a group, and a Host runs one
// Coordinator for each of many tenants. The same programs run in virtual time and over real sockets.
package coordinator

import (
	"context"
	"log/slog"

	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/feed/graphite"
	"snowquay/internal/frontend/longpollhttp"
)

const (
	tickInterval     = 0.02 // seconds between ticks of a coordinator that serves connections
	idleTickInterval = 0.25 // seconds between ticks of a hosted coordinator without connections
)

// Coordinator controls one fleet: it computes the weight tables of its proxies and sends them. It implements env.Program.
type Coordinator struct {
	config Config
	io     env.IO

	// Fleet is the state of the control plane: servers, proxies and their tables.
	Fleet *controlplane.Fleet
	// SASP serves proxies and servers that speak SASP.
	SASP *saspsession.Server
	// LongPoll serves proxies that use long polls over HTTP.
	LongPoll *longpollhttp.Frontend
	// Collector decodes measurement packets.
	Collector *collectd.Collector
	// Member is this coordinator's membership of its group; nil if it is standalone or the tenant of a Host.
	Member *Member

	peers           Peers // nil if the fleet is not shared
	links           auxiliaryLinks
	pollConnections map[env.Conn]bool     // connections of LongPoll
	lastTick        float64               // clock time in seconds
	pendingDrains   map[uint64]func(bool) // callbacks of administrators' drains that the group has not completed, by ticket

	serversRestored  bool    // whether the group's servers were added to the registry
	nextDrainCleanup float64 // clock time in seconds
}

// New returns a coordinator that does nothing until Start. If store is nil, server records are not stored. It returns an error if
// the records can't be loaded or the settings are invalid.
func New(now float64, config Config, store Store) (*Coordinator, error) {
	coordinator := &Coordinator{config: config, pollConnections: map[env.Conn]bool{}}
	var records []registry.Record
	var recordStore controlplane.RecordStore
	if store != nil {
		loaded, err := store.Load()
		if err != nil {
			return nil, err
		}
		records = loaded
		recordStore = store
	}
	if config.Group != nil || config.Peers != nil {
		recordStore = &replicatedStore{coordinator: coordinator, local: recordStore}
	}
	fleet, err := controlplane.New(now, config.Site, records, recordStore)
	if err != nil {
		return nil, err
	}
	coordinator.Fleet = fleet
	coordinator.SASP = saspsession.New(fleet, coordinator, config.Limits, config.Policy)
	coordinator.LongPoll = longpollhttp.New(coordinator, config.LongPollHTTPLimits, config.Site.ClassNames)
	coordinator.LongPoll.Polls = longpoll.New(now, longPollEpoch(now), fleet, coordinator.LongPoll, config.LongPollLimits)
	coordinator.Collector = collectd.New(fleet, config.User, config.Key)
	if config.Graphite != nil {
		coordinator.links.graphite = newGraphiteSender(now, *config.Graphite, config.Site.Seed)
	}
	coordinator.joinGroup()
	return coordinator, nil
}

// longPollEpoch returns the start time in microseconds, so that the epoch increases with each start of the process. It is
// never 0.
func longPollEpoch(now float64) uint64 { return uint64(now*1e6) | 1 }

// joinGroup connects the coordinator to the coordinators that share its fleet, if any.
func (c *Coordinator) joinGroup() {
	switch {
	case c.config.Group != nil:
		c.Member = c.newMember(*c.config.Group)
		c.links.member = c.Member
		c.peers = c.Member
	case c.config.Peers != nil:
		c.peers = c.config.Peers
	default:
		return
	}
	c.Fleet.SetOwnership(c.peers.Owns, c.peers.Epoch, c.peers.ProxyRedirected)
}

func (c *Coordinator) newMember(group GroupConfig) *Member {
	site := &c.config.Site
	entries := float64(len(site.Servers) * len(site.Classes))
	group.Lease.RampUp = membership.RampUpFor(site.DataPlane.Proxies, len(group.Members), entries, site.Channel.EntriesPerSecond)
	member := NewMember(group, c.config.Storage, c.config.Incarnation, c.Log)
	member.OnFail = c.config.OnFail
	member.OnDrain = c.drainCommitted
	member.OnOrderCompleted = c.orderCompleted
	member.OnRecords = c.recordsCommitted
	return member
}

// Start implements env.Program.
func (c *Coordinator) Start(now float64, io env.IO) {
	c.io = io
	c.links.start(now, io)
	io.SetTimer(now, 0)
}

// TimerFired implements env.Program.
func (c *Coordinator) TimerFired(now float64, _ int) {
	c.tick(now)
	if sender := c.links.graphite; sender != nil {
		sender.Tick(now, func() { addFleetMetrics(sender, c.Fleet, now) })
	}
	for _, trace := range c.Fleet.TakeTraces() {
		if c.config.OnMessageTrace != nil {
			c.config.OnMessageTrace(trace)
		}
	}
	if c.config.RequestTurn != nil && c.Idle() {
		c.io.SetTimer(now+idleTickInterval, 0)
		return
	}
	c.io.SetTimer(now+tickInterval, 0)
}

func (c *Coordinator) tick(now float64) {
	c.lastTick = now
	if c.Member != nil {
		c.Member.tick(now)
	}
	if c.peers != nil {
		c.Fleet.EvictUnowned(now)
		if c.peers.Ready() {
			c.reconcileWithGroup(now)
		}
	}
	c.Fleet.RunRound(now)
	c.SASP.Tick(now)
	c.LongPoll.Tick(now)
	c.Fleet.SendDue(now)
}

// tickSoon runs a tick immediately, or asks the host for a turn to run it.
func (c *Coordinator) tickSoon(now float64) {
	if c.config.RequestTurn != nil {
		c.config.RequestTurn(now)
		return
	}
	c.tick(now)
}

// Reconfigure applies changed settings to a running coordinator. If it returns an error, nothing has changed.
func (c *Coordinator) Reconfigure(now float64, config Config) (controlplane.Revision, error) {
	revision, err := c.Fleet.Reconfigure(now, config.Site)
	if err != nil {
		return revision, err
	}
	c.config.Limits = config.Limits
	c.config.Policy = config.Policy
	c.SASP.Reconfigure(config.Limits, config.Policy)
	return revision, nil
}

// Idle reports whether no client is connected, so that no work is urgent until one connects.
func (c *Coordinator) Idle() bool {
	connections, _ := c.SASP.Connections()
	return connections == 0 && c.LongPoll.Connections() == 0
}

// GraphiteSender returns the sender of metrics; nil if no metrics are sent.
func (c *Coordinator) GraphiteSender() *graphite.Sender { return c.links.graphite }

// Leave releases the lease of this coordinator, so that the other members need not wait for its expiry. It reports whether the
// group has committed the release; the caller repeats the call until it has.
func (c *Coordinator) Leave(now float64) (released bool) { return c.links.leave(now) }

// Log implements saspsession.Handler and longpollhttp.Handler. It logs an event with attributes.
func (c *Coordinator) Log(event string, attributes ...any) {
	if c.config.Log != nil {
		c.config.Log.Log(context.Background(), slog.LevelInfo, event, attributes...)
	}
}
