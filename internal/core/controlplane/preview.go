package controlplane

import (
	"cmp"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/tablecheck"
	"snowquay/internal/core/tables"
)

// Preview looks at what would follow if some servers were drained now: why that must not be, none if it may. Each proxy may
// hold the table that it has, or the one without them; where capacities are stated, what is left must bear the queries also once
// they are gone. loseZone asks that any one zone could be lost besides.
func (f *Fleet) Preview(now float64, drain []balancer.Server, loseZone bool) []tablecheck.Finding {
	s := f.guarded(now, drain, balancer.Draining, loseZone)
	reasons := s.Check()
	if len(reasons) == 0 && len(f.site.Pools) > 0 {
		reasons = f.guarded(now, drain, balancer.Removed, loseZone).Check()
	}
	return reasons
}

// guarded is the site as the guard sees it, with some servers in another phase.
func (f *Fleet) guarded(now float64, drain []balancer.Server, phase balancer.Phase, loseZone bool) *tablecheck.Snapshot {
	s := &tablecheck.Snapshot{Servers: map[balancer.Server]tablecheck.Server{}, WarmupFraction: f.site.Guarantees.WarmupStartFraction, LoseZone: loseZone}
	for _, name := range f.Registry.Servers() {
		rec, _ := f.Registry.Find(name)
		v := tablecheck.Server{Zone: rec.Zone, Phase: rec.Phase, WarmingUp: f.Registry.WarmingUp(now, name, f.site.Guarantees.WarmupDuration)}
		if v.Phase == balancer.Ready && slices.Contains(drain, name) {
			v.Phase = phase
		}
		if x := f.site.Pools[name]; x.Capacity > 0 {
			v.Pool, v.Capacity = x.Pool, x.Capacity
		}
		s.Servers[name] = v
	}
	next, held := map[*wanted]*tablecheck.Table{}, map[*wanted]*tablecheck.Table{}
	for _, p := range f.sorted() {
		for c := range p.Tables {
			h := &p.Tables[c]
			if !p.Joined || !h.Bound {
				continue
			}
			w := f.tables[h.Table]
			if next[w] == nil {
				next[w], held[w] = &tablecheck.Table{Weights: map[balancer.Server]float64{}}, &tablecheck.Table{Weights: map[balancer.Server]float64{}}
				for l := range w.ChangedSince(0) {
					if l.Weight == 0 {
						continue
					}
					held[w].Weights[l.Server] = l.Weight
					if s.Servers[l.Server].Phase == balancer.Ready {
						next[w].Weights[l.Server] = l.Weight
					}
				}
			}
			states := []*tablecheck.Table{next[w]}
			if phase != balancer.Removed { // by then all have followed
				states = append(states, held[w])
			}
			s.Proxies = append(s.Proxies, tablecheck.Proxy{UID: p.UID, Class: balancer.Class(c),
				Demand: p.ExpectedRate / float64(len(f.site.Classes)), Tables: states})
		}
	}
	return s
}

func (f *Fleet) sorted() []*Proxy {
	all := make([]*Proxy, 0, len(f.proxies))
	for _, p := range f.proxies {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *Proxy) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// DrainProgress is how far a drain has got.
type DrainProgress struct {
	Phase      balancer.Phase
	NotifiedAt float64  // clock time; 0: it serves
	Joined     int      // proxies that are joined
	Updated    int      // of them, known to hold tables without it
	Pending    []string // UIDs of the others, the first few
}

const mostWaiting = 20 // UIDs that an answer names

// DrainProgress tells how far a drain has got: Holding reaches Joined when no proxy that we lead sends to it any more.
func (f *Fleet) DrainProgress(s balancer.Server) (d DrainProgress, ok bool) {
	if _, ok = f.Registry.Find(s); !ok {
		return d, false
	}
	if d.Phase, d.NotifiedAt = f.Registry.Phase(s); d.Phase == balancer.Ready {
		d.NotifiedAt = 0
	}
	for _, p := range f.sorted() {
		if !p.Joined {
			continue
		}
		d.Joined++
		if f.without(p, s) {
			d.Updated++
		} else if len(d.Pending) < mostWaiting {
			d.Pending = append(d.Pending, p.UID)
		}
	}
	return d, true
}

// without tells whether a proxy is known to hold no line to a server in any class that it is bound to.
func (f *Fleet) without(p *Proxy, s balancer.Server) bool {
	for c := range p.Tables {
		h := &p.Tables[c]
		if !h.Bound || h.Full || h.AckedVersion == 0 {
			return false
		}
		w := f.tables[h.Table]
		if w.Weight(s) > 0 || w.changed(s) > h.AckedVersion {
			return false
		}
	}
	return true
}

// changed is the version in which a server's line last changed; 0: it has none, and none is remembered.
func (w *wanted) changed(s balancer.Server) (v tables.Version) {
	for l := range w.ChangedSince(0) {
		if l.Server == s {
			return l.Changed
		}
	}
	return 0
}
