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
	Anew     string            // why the coordinator has to start anew for it; empty: it need not
	Removed  []balancer.Server // that are not listed any more
	Added    []balancer.Server
	Moved    []balancer.Server // whose place or weight is another
	Sent     []string          // UIDs of relays that are not listed any more, or stand elsewhere
	Welcomed []string
}

// Nothing tells whether nothing changes.
func (r Revision) Nothing() bool {
	return r.Anew == "" && len(r.Removed)+len(r.Added)+len(r.Moved)+len(r.Sent)+len(r.Welcomed) == 0
}

// Compare tells what would become of a site by another one. Servers and relays come and go while it runs; what the decision module
// is handed at its start can't be changed under it.
func Compare(old, next *Site) (r Revision) {
	for _, x := range [...]struct {
		what string
		same bool
	}{
		{"seed", old.Seed == next.Seed},
		{"zones", slices.Equal(old.Zones, next.Zones)},
		{"classes", slices.Equal(old.Names, next.Names) && slices.EqualFunc(old.Classes, next.Classes, sameClass) && slices.Equal(old.Repeats, next.Repeats)},
		{"fleet", old.Dataplane == next.Dataplane},
		{"channel", old.Channel == next.Channel},
		{"rules", old.Guarantees == next.Guarantees},
		{"reports", old.Reporting.Period == next.Reporting.Period &&
			slices.Equal(old.Reporting.Metrics, next.Reporting.Metrics)},
		{"limits", old.Limits == next.Limits},
	} {
		if !x.same {
			r.Anew = x.what
			return r
		}
	}
	r.Added, r.Moved, r.Removed = differ(old.Servers, next.Servers, func(p registry.ServerConfig) balancer.Server { return p.Server })
	var elsewhere, gone []string
	r.Welcomed, elsewhere, gone = differ(old.Relays, next.Relays, func(x Relay) string { return x.UID })
	r.Sent = slices.Sorted(slices.Values(append(elsewhere, gone...)))
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

// Revise takes other settings whole, or not at all where the fleet would have to start anew. Relays that are not listed any more, or
// stand elsewhere, are let go: their fronts close their connections, and those that are listed come back.
func (f *Fleet) Revise(now float64, next Site) (Revision, error) {
	r := Compare(&f.site, &next)
	if r.Anew != "" {
		return r, fmt.Errorf("%s can't be changed while the coordinator runs", r.Anew)
	}
	if have := f.Roll.Len(); have+len(r.Added) > f.site.Limits.Servers+len(r.Removed) {
		return r, fmt.Errorf("%w: %d servers are kept, %d come", registry.ErrFull, have, len(r.Added))
	}
	for _, s := range r.Removed {
		f.Roll.Unconfigure(now, s)
	}
	for _, s := range next.Servers {
		if err := f.Roll.Configure(now, s); err != nil { // what must be kept of removed ones takes room
			return r, err
		}
	}
	clear(f.listed)
	for _, x := range next.Relays {
		f.listed[x.UID] = x
	}
	for _, uid := range r.Sent {
		p := f.byUID[uid]
		if p == nil {
			continue
		}
		if x, ok := f.listed[uid]; ok {
			p.Zone, p.Usual = x.Zone, x.Usual
		}
		if p.Joined {
			f.evict(now, p)
		}
	}
	f.site.Servers, f.site.Relays, f.site.Strangers, f.site.StrangerIn = next.Servers, next.Relays, next.Strangers, next.StrangerIn
	f.site.Pools = next.Pools
	return r, nil
}

// Standing tells of each joined proxy how far it is, by UID.
func (f *Fleet) Standing() (rows []Stands) {
	for _, p := range f.proxies {
		if !p.Joined {
			continue
		}
		s := Stands{UID: p.UID, Zone: p.Zone, Asks: p.Pulls, Urgent: p.urgent, Newest: true}
		for c := range p.Holds {
			h := &p.Holds[c]
			s.Newest = s.Newest && h.Bound && !h.Full && h.Known == f.tables[h.Table].Version()
		}
		rows = append(rows, s)
	}
	slices.SortFunc(rows, func(a, b Stands) int { return cmp.Compare(a.UID, b.UID) })
	return rows
}

// Stands is how far a joined proxy is.
type Stands struct {
	UID    string
	Zone   balancer.Zone
	Asks   bool // by the long-poll API
	Newest bool // it is known to hold the newest tables of all classes
	Urgent bool // a drain waits for it, or is on its way
}
