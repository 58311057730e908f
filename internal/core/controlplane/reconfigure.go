package controlplane

import (
	"cmp"
	"fmt"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// Revision is the difference between two sites: whether a running coordinator can change from one to the other, and which
// servers and proxies that concerns.
type Revision struct {
	RestartReason string            // the part of the settings that needs a restart; empty if none does
	Removed       []balancer.Server // no longer listed
	Added         []balancer.Server
	Changed       []balancer.Server // with another zone, weight or other configuration
	Evicted       []string          // UIDs of proxies no longer listed, or listed with another configuration
	NewlyListed   []string          // UIDs of proxies newly listed
}

// Empty tells whether the sites do not differ.
func (r Revision) Empty() bool {
	return r.RestartReason == "" && len(r.Removed)+len(r.Added)+len(r.Changed)+len(r.Evicted)+len(r.NewlyListed) == 0
}

// CompareSites tells what changes from one site to the other. Servers and proxies may change at run time. What the
// decision module is given at its start needs a restart.
func CompareSites(old, next *Site) Revision {
	reason := restartReason(old, next)
	if reason != "" {
		return Revision{RestartReason: reason}
	}
	servers := compareLists(old.Servers, next.Servers, func(c registry.ServerConfig) balancer.Server { return c.Server })
	proxies := compareLists(old.Proxies, next.Proxies, func(r ProxyConfig) string { return r.UID })
	return Revision{
		Removed:     servers.removed,
		Added:       servers.added,
		Changed:     servers.changed,
		Evicted:     slices.Sorted(slices.Values(append(proxies.changed, proxies.removed...))),
		NewlyListed: proxies.added,
	}
}

// restartReason names the first part of the settings that differs and can't be changed at run time; empty if none does.
func restartReason(old, next *Site) string {
	sameClasses := slices.Equal(old.ClassNames, next.ClassNames) &&
		slices.EqualFunc(old.Classes, next.Classes, equalClasses) &&
		slices.Equal(old.RetryPolicies, next.RetryPolicies)
	sameReporting := old.Reporting.Period == next.Reporting.Period &&
		slices.Equal(old.Reporting.Metrics, next.Reporting.Metrics)
	parts := [...]struct {
		name string
		same bool
	}{
		{"seed", old.Seed == next.Seed},
		{"zones", slices.Equal(old.Zones, next.Zones)},
		{"classes", sameClasses},
		{"fleet", old.DataPlane == next.DataPlane},
		{"channel", old.Channel == next.Channel},
		{"rules", old.Guarantees == next.Guarantees},
		{"reports", sameReporting},
		{"limits", old.Limits == next.Limits},
	}
	for _, part := range parts {
		if !part.same {
			return part.name
		}
	}
	return ""
}

func equalClasses(a, b balancer.RequestClass) bool {
	return slices.Equal(a.AllowedZones, b.AllowedZones) &&
		a.PriorityWeight == b.PriorityWeight &&
		a.LateWeight == b.LateWeight &&
		a.LatencyObjective == b.LatencyObjective &&
		a.ClientTimeout == b.ClientTimeout &&
		a.Idempotency == b.Idempotency &&
		a.DedupScope == b.DedupScope &&
		a.DedupWindow == b.DedupWindow &&
		a.ZoneLocal == b.ZoneLocal &&
		a.Writes == b.Writes
}

// listChanges is the difference between two lists, by the keys of their elements.
type listChanges[K cmp.Ordered] struct {
	added   []K // in the order of the new list
	changed []K // in the order of the new list
	removed []K // ascending
}

func compareLists[K cmp.Ordered, V comparable](old, next []V, key func(V) K) (changes listChanges[K]) {
	remaining := map[K]V{}
	for _, value := range old {
		remaining[key(value)] = value
	}
	for _, value := range next {
		k := key(value)
		before, ok := remaining[k]
		switch {
		case !ok:
			changes.added = append(changes.added, k)
		case before != value:
			changes.changed = append(changes.changed, k)
		}
		delete(remaining, k)
	}
	for k := range remaining {
		changes.removed = append(changes.removed, k)
	}
	slices.Sort(changes.removed)
	return changes
}

// Reconfigure changes to another site. If that needs a restart, or has more servers than the limit (registry.ErrFull),
// nothing changes. Proxies that are no longer listed, or listed with another configuration, are evicted; those that are
// listed come back.
func (f *Fleet) Reconfigure(now float64, next Site) (Revision, error) {
	revision := CompareSites(&f.site, &next)
	if revision.RestartReason != "" {
		return revision, fmt.Errorf("%s can't be changed while the coordinator runs", revision.RestartReason)
	}
	if known := f.Registry.Len(); known+len(revision.Added) > f.site.Limits.MaxServers+len(revision.Removed) {
		return revision, fmt.Errorf("%w: %d servers are known, %d are added", registry.ErrFull, known, len(revision.Added))
	}
	if !f.Registry.HasRoom(now, serversOf(next.Servers)) { // what must be remembered of removed servers takes space too
		return revision, fmt.Errorf("%w: %d servers are added", registry.ErrFull, len(revision.Added))
	}
	for _, server := range revision.Removed {
		f.Registry.Unconfigure(now, server)
	}
	for _, server := range next.Servers {
		if err := f.Registry.Configure(now, server); err != nil {
			return revision, fmt.Errorf("configuring server %s: %w", server.Server, err)
		}
	}
	f.reconfigureProxies(now, next.Proxies, revision.Evicted)
	f.site.Servers = next.Servers
	f.site.Proxies = next.Proxies
	f.site.AllowUnlisted = next.AllowUnlisted
	f.site.UnlistedZone = next.UnlistedZone
	f.site.ServerCapacities = next.ServerCapacities
	return revision, nil
}

func serversOf(configs []registry.ServerConfig) []balancer.Server {
	servers := make([]balancer.Server, 0, len(configs))
	for _, config := range configs {
		servers = append(servers, config.Server)
	}
	return servers
}

func (f *Fleet) reconfigureProxies(now float64, listed []ProxyConfig, evicted []string) {
	clear(f.listedProxies)
	for _, entry := range listed {
		f.listedProxies[entry.UID] = entry
	}
	for _, uid := range evicted {
		proxy := f.proxiesByUID[uid]
		if proxy == nil {
			continue
		}
		if config, ok := f.listedProxies[uid]; ok {
			proxy.Zone = config.Zone
			proxy.ExpectedRate = config.ExpectedRate
		}
		if proxy.Joined {
			f.evict(now, proxy)
		}
	}
}
