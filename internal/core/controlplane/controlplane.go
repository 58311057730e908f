// Package controlplane holds one coordinator's state without its protocols: it passes events to the decision
// module, keeps the weight tables that the module wants, and tracks for each proxy which of them it holds.
//
// For each proxy and request class, three versions of a table are kept apart: the wanted one (the version of the
// table itself), the sent one and the acknowledged one (see TableState). At most one message is in flight to a
// proxy. The next one is built only after that was acknowledged, from the state that is newest by then.
//
// Frontends ask which proxy is due, send the message, and report what was sent and acknowledged. The package is
// pure: the time and all facts are arguments, times are seconds on the coordinator's clock.
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

const maxClasses = 64 // a balancer.ClassSet has a bit for each

// RecordStore stores the registry's records, so that they survive a restart.
type RecordStore interface {
	// Save stores records. They are durable when it returns without an error.
	Save(records []registry.Record) error
}

// Fleet is the state of one coordinator. Use New. It is not safe for concurrent use.
type Fleet struct {
	// Registry holds the servers and their lifecycle.
	Registry *registry.Registry
	// LoadReports aggregates the proxies' load reports until the next round.
	LoadReports *loadreport.Aggregator
	// Stats counts what happened since New.
	Stats Stats

	site     Site
	balancer *balancer.Balancer
	store    RecordStore // nil: nothing is stored
	owner    ownership

	proxies       map[balancer.Proxy]*Proxy
	proxiesByUID  map[string]*Proxy
	listedProxies map[string]ProxyConfig
	joinedCount   int
	nextProxyID   balancer.Proxy
	freeProxyIDs  []balancer.Proxy // of forgotten proxies, ascending

	tables        map[balancer.Table]*desiredTable
	changedTables []*desiredTable // in this round
	sendQueue     *pacing.Queue

	pendingEvents    balancer.Events // for the next round
	startedAt        float64
	lastRoundAt      float64
	timerAt          float64 // when the decision module asked for a round; 0: it did not
	reportsFlushedAt float64
	initialListSent  bool // the decision module has been given its first endpoint list
	serversKnown     bool // from the settings or from the store, at the start
	round            uint64
	roundTrace       MessageTrace // what messages of the current round start from

	traffic        trafficTotals
	finishedTraces []MessageTrace // since the last TakeTraces
}

// New makes a coordinator. The records are those that an earlier process stored. Without a store, nothing is
// stored. The error says what is wrong with the site or the records.
func New(now float64, site Site, records []registry.Record, store RecordStore) (*Fleet, error) {
	if len(site.Classes) == 0 || len(site.Classes) > maxClasses || len(site.ClassNames) != len(site.Classes) {
		return nil, fmt.Errorf("%d classes with %d names; 1 to %d are possible",
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

// channelInTableEntries is the channel as the decision module counts it, in table entries. Classes that may use the
// same zones share a table, and a proxy is sent each of its entries once for every class. Without this, the queue
// would be several times as long as the module believes. The cost is a slower pace where other classes have tables of
// their own.
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

// Site is the configuration that the coordinator runs with. It belongs to the Fleet and must not be changed.
func (f *Fleet) Site() *Site { return &f.site }

// Class finds a request class by its name.
func (f *Fleet) Class(name string) (balancer.Class, bool) {
	i := slices.Index(f.site.ClassNames, name)
	return balancer.Class(i), i >= 0
}
