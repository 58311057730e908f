package controlplane

import (
	"cmp"
	"fmt"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// Revision is the difference between two sites. It states whether a running coordinator can change from one to the
// other, and which servers and proxies are affected.
type Revision struct {
	RestartReason string            // part of the settings whose change requires a restart; empty if none does
	Removed       []balancer.Server // servers no longer listed
	Added         []balancer.Server
	Changed       []balancer.Server // servers with a changed zone, weight or other configuration
	Evicted       []string          // UIDs of proxies no longer listed, or listed with a changed configuration
	NewlyListed   []string          // UIDs of newly listed proxies
}

// Empty reports whether the revision contains no difference.
func (r Revision) Empty() bool {
	return r.RestartReason == "" && len(r.Removed)+len(r.Added)+len(r.Changed)+len(r.Evicted)+len(r.NewlyListed) == 0
}

// CompareSites returns the changes from one site to another. Servers and proxies may change at run time. A change of the
// settings that the decision module receives at startup requires a restart.
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

// restartReason names the first changed part of the settings that requires a restart; empty if there is none.
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

// listChanges holds the keys of the elements that differ between two lists.
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

// Reconfigure switches to another site. It changes nothing and returns an error if the change requires a restart, or if
// the servers exceed the limit (registry.ErrFull). Proxies that are no longer listed, or listed with a changed
// configuration, are evicted; those that are still listed can join again.
func (f *Fleet) Reconfigure(now float64, next Site) (Revision, error) {
	revision := CompareSites(&f.site, &next)
	if revision.RestartReason != "" {
		return revision, fmt.Errorf("%s can't be changed while the coordinator runs", revision.RestartReason)
	}
	if known := f.Registry.Len(); known+len(revision.Added) > f.site.Limits.MaxServers+len(revision.Removed) {
		return revision, fmt.Errorf("%w: %d servers are known, %d are added", registry.ErrFull, known, len(revision.Added))
	}
	if !f.Registry.HasRoom(now, serversOf(next.Servers)) { // removed servers that must be remembered count too
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
