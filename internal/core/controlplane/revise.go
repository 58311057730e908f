package controlplane

import (
	"cmp"
	"fmt"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// Revision is what becomes of a fleet by other settings: whether they can be taken while it runs, and who loses by them.
type Revision struct {
	RestartReason string            // why the coordinator has to start anew for it; empty: it need not
	Removed       []balancer.Server // that are not listed any more
	Added         []balancer.Server
	Moved         []balancer.Server // whose place or weight is another
	Evicted       []string          // UIDs of relays that are not listed any more, or stand elsewhere
	Admitted      []string
}

// Empty tells whether nothing changes.
func (r Revision) Empty() bool {
	return r.RestartReason == "" && len(r.Removed)+len(r.Added)+len(r.Moved)+len(r.Evicted)+len(r.Admitted) == 0
}

// CompareSites tells what would become of a site by another one. Servers and relays come and go while it runs; what the decision module
// is handed at its start can't be changed under it.
func CompareSites(old, next *Site) (r Revision) {
	for _, x := range [...]struct {
		what string
		same bool
	}{
		{"seed", old.Seed == next.Seed},
		{"zones", slices.Equal(old.Zones, next.Zones)},
		{"classes", slices.Equal(old.ClassNames, next.ClassNames) && slices.EqualFunc(old.Classes, next.Classes, sameClass) && slices.Equal(old.RetryPolicies, next.RetryPolicies)},
		{"fleet", old.DataPlane == next.DataPlane},
		{"channel", old.Channel == next.Channel},
		{"rules", old.Guarantees == next.Guarantees},
		{"reports", old.Reporting.Period == next.Reporting.Period &&
			slices.Equal(old.Reporting.Metrics, next.Reporting.Metrics)},
		{"limits", old.Limits == next.Limits},
	} {
		if !x.same {
			r.RestartReason = x.what
			return r
		}
	}
	r.Added, r.Moved, r.Removed = differ(old.Servers, next.Servers, func(p registry.ServerConfig) balancer.Server { return p.Server })
	var elsewhere, gone []string
	r.Admitted, elsewhere, gone = differ(old.Relays, next.Relays, func(x Relay) string { return x.UID })
	r.Evicted = slices.Sorted(slices.Values(append(elsewhere, gone...)))
	return r
}

// differ tells which of a list are new, which are otherwise than they were, and which are not there any more.
func differ[K cmp.Ordered, V comparable](old, next []V, key func(V) K) (added, moved, removed []K) {
	was := map[K]V{}
	for _, v := range old {
		was[key(v)] = v
	}
	for _, v := range next {
		before, ok := was[key(v)]
		switch {
		case !ok:
			added = append(added, key(v))
		case before != v:
			moved = append(moved, key(v))
		}
		delete(was, key(v))
	}
	for k := range was {
		removed = append(removed, k)
	}
	slices.Sort(removed)
	return added, moved, removed
}

func sameClass(a, b balancer.RequestClass) bool {
	if !slices.Equal(a.AllowedZones, b.AllowedZones) {
		return false
	}
	a.AllowedZones, b.AllowedZones = nil, nil
	return a.PriorityWeight == b.PriorityWeight && a.LateWeight == b.LateWeight && a.LatencyObjective == b.LatencyObjective && a.ClientTimeout == b.ClientTimeout &&
		a.Idempotency == b.Idempotency && a.DedupScope == b.DedupScope && a.DedupWindow == b.DedupWindow && a.ZoneLocal == b.ZoneLocal && a.Writes == b.Writes
}

// Reconfigure takes other settings whole, or not at all where the fleet would have to start anew. Relays that are not listed any more, or
// stand elsewhere, are let go: their fronts close their connections, and those that are listed come back.
func (f *Fleet) Reconfigure(now float64, next Site) (Revision, error) {
	r := CompareSites(&f.site, &next)
	if r.RestartReason != "" {
		return r, fmt.Errorf("%s can't be changed while the coordinator runs", r.RestartReason)
	}
	if have := f.Registry.Len(); have+len(r.Added) > f.site.Limits.MaxServers+len(r.Removed) {
		return r, fmt.Errorf("%w: %d servers are kept, %d come", registry.ErrFull, have, len(r.Added))
	}
	for _, s := range r.Removed {
		f.Registry.Unconfigure(now, s)
	}
	for _, s := range next.Servers {
		if err := f.Registry.Configure(now, s); err != nil { // what must be kept of removed ones takes room
			return r, err
		}
	}
	clear(f.listed)
	for _, x := range next.Relays {
		f.listed[x.UID] = x
	}
	for _, uid := range r.Evicted {
		p := f.byUID[uid]
		if p == nil {
			continue
		}
		if x, ok := f.listed[uid]; ok {
			p.Zone, p.ExpectedRate = x.Zone, x.ExpectedRate
		}
		if p.Joined {
			f.evict(now, p)
		}
	}
	f.site.Servers, f.site.Relays, f.site.AllowUnlisted, f.site.UnlistedZone = next.Servers, next.Relays, next.AllowUnlisted, next.UnlistedZone
	f.site.Pools = next.Pools
	return r, nil
}

// ProxyStatuses tells of each joined proxy how far it is, by UID.
func (f *Fleet) ProxyStatuses() (rows []ProxyStatus) {
	for _, p := range f.proxies {
		if !p.Joined {
			continue
		}
		s := ProxyStatus{UID: p.UID, Zone: p.Zone, Polls: p.Polls, Urgent: p.urgent, UpToDate: true}
		for c := range p.Tables {
			h := &p.Tables[c]
			s.UpToDate = s.UpToDate && h.Bound && !h.Full && h.AckedVersion == f.tables[h.Table].Version()
		}
		rows = append(rows, s)
	}
	slices.SortFunc(rows, func(a, b ProxyStatus) int { return cmp.Compare(a.UID, b.UID) })
	return rows
}

// ProxyStatus is how far a joined proxy is.
type ProxyStatus struct {
	UID      string
	Zone     balancer.Zone
	Polls    bool // by the long-poll API
	UpToDate bool // it is known to hold the newest tables of all classes
	Urgent   bool // a drain waits for it, or is on its way
}
