// Package controlplane implements the protocol-independent state of one coordinator: it passes events to the decision
// module, stores the weight tables that the module computes, and tracks which version of them each proxy holds.
//
// For each proxy and request class, it distinguishes three versions of a table: the wanted one (the current version of
// the table), the sent one and the acknowledged one (see TableState). At most one message is in flight to a proxy. The
// next message is built after the previous one was acknowledged, from the state that is newest at that time.
//
// Frontends ask which proxy is due, send the message, and report what was sent and acknowledged. The package performs
// no I/O of its own and reads no clock: the time is an argument. Times are in seconds on the coordinator's clock.
package controlplane

import (
	"fmt"
	"math"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/pacing"
	"snowquay/internal/core/registry"
)

const maxClasses = 64 // balancer.ClassSet has one bit per class

// RecordStore persists the registry's records across restarts of the coordinator.
type RecordStore interface {
	// Save stores records. They are durable once it returns nil.
	Save(records []registry.Record) error
}

// Fleet is the state of one coordinator: its servers, its proxies and their tables. Create it with New. It is not safe
// for concurrent use.
type Fleet struct {
	// Registry holds the servers and their lifecycle states.
	Registry *registry.Registry
	// LoadReports aggregates the proxies' load reports until the next round.
	LoadReports *loadreport.Aggregator
	// Stats counts events since New.
	Stats Stats

	site     Site
	balancer *balancer.Balancer
	store    RecordStore // nil: records are not persisted
	owner    ownership

	proxies       map[balancer.Proxy]*Proxy
	proxiesByUID  map[string]*Proxy
	listedProxies map[string]ProxyConfig
	joinedCount   int
	nextProxyID   balancer.Proxy
	freeProxyIDs  []balancer.Proxy // IDs of forgotten proxies, ascending

	tables        map[balancer.Table]*desiredTable
	changedTables []*desiredTable // changed in the current round
	sendQueue     *pacing.Queue

	pendingEvents    balancer.Events // for the next round
	startedAt        float64
	lastRoundAt      float64
	timerAt          float64 // when the decision module asked for a round; 0 if it did not
	reportsFlushedAt float64
	initialListSent  bool // the decision module has received its first endpoint list
	serversKnown     bool // the settings or the store named servers at startup
	round            uint64
	roundTrace       MessageTrace // initial trace of the messages caused by the current round

	traffic        trafficTotals
	finishedTraces []MessageTrace // finished since the last TakeTraces
}

// New creates the state of a coordinator and restores the records that an earlier process stored. If store is nil,
// records are not persisted. New returns an error if the site or the records are invalid.
func New(now float64, site Site, records []registry.Record, store RecordStore) (*Fleet, error) {
	if len(site.Classes) == 0 || len(site.Classes) > maxClasses || len(site.ClassNames) != len(site.Classes) {
		return nil, fmt.Errorf("%d classes with %d names; need 1 to %d classes, each with a name",
			len(site.Classes), len(site.ClassNames), maxClasses)
	}
	fleet := &Fleet{
		Registry:         registry.New(site.Limits.ServerHold, site.Limits.MaxServers, site.DisabledGuards[GuardWarmup]),
		LoadReports:      loadreport.New(site.Limits.MaxSeries),
		site:             site,
		store:            store,
		proxies:          map[balancer.Proxy]*Proxy{},
		proxiesByUID:     map[string]*Proxy{},
		listedProxies:    map[string]ProxyConfig{},
		tables:           map[balancer.Table]*desiredTable{},
		sendQueue:        pacing.New(site.Channel, site.DisabledGuards[GuardPacing]),
		startedAt:        now,
		lastRoundAt:      math.Inf(-1),
		reportsFlushedAt: now,
	}
	fleet.balancer = balancer.New(site.Seed, site.Classes, site.DataPlane, site.channelInTableEntries(), site.Guarantees,
		site.Reporting, balancer.HealthChecking{}, balancer.Discovery{Weights: balancer.WeightsNominal})
	if !site.DisabledGuards[GuardPersistence] && len(records) > 0 {
		fleet.serversKnown = true
		if err := fleet.Registry.Restore(now, records); err != nil {
			return nil, fmt.Errorf("restoring the server registry: %w", err)
		}
	}
	for _, server := range site.Servers {
		fleet.serversKnown = fleet.serversKnown || server.Static
		if err := fleet.Registry.Configure(now, server); err != nil {
			return nil, fmt.Errorf("configuring server %s: %w", server.Server, err)
		}
	}
	for _, listed := range site.Proxies {
		fleet.listedProxies[listed.UID] = listed
	}
	return fleet, nil
}

// channelInTableEntries returns the channel with its limits in table entries, the unit of the decision module. Classes
// that may use the same zones share a table, and a proxy is sent each of its entries once per class. Without this
// conversion, the queue would be several times as long as the module assumes. The cost is a slower pace if other classes
// have tables of their own.
func (s *Site) channelInTableEntries() balancer.Channel {
	channel := s.Channel
	if s.DisabledGuards[GuardEntryCount] || s.DisabledGuards[GuardPacing] {
		return channel
	}
	maxSharing := 1
	for i, class := range s.Classes {
		sharing := 1
		for _, other := range s.Classes[:i] {
			if other.ZoneLocal == class.ZoneLocal && slices.Equal(other.AllowedZones, class.AllowedZones) {
				sharing++
			}
		}
		maxSharing = max(maxSharing, sharing)
	}
	channel.EntriesPerSecond /= float64(maxSharing)
	channel.MessageOverhead /= float64(maxSharing)
	channel.MaxQueued /= float64(maxSharing)
	return channel
}

// Site returns the current configuration. It belongs to the Fleet and must not be modified.
func (f *Fleet) Site() *Site { return &f.site }

// Class looks up a request class by name.
func (f *Fleet) Class(name string) (balancer.Class, bool) {
	i := slices.Index(f.site.ClassNames, name)
	return balancer.Class(i), i >= 0
}
