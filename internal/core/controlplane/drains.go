package controlplane

import (
	"snowquay/balancer"
	"snowquay/internal/core/tables"
)

const maxPendingUIDs = 20 // listed in one DrainProgress

// DrainProgress is the progress of a drain among the joined proxies.
type DrainProgress struct {
	Phase      balancer.Phase
	NotifiedAt float64  // when the drain was ordered, in seconds; 0 if the server is ready
	Joined     int      // number of joined proxies
	Updated    int      // number of joined proxies known to hold tables without the server
	Pending    []string // UIDs of the joined proxies not yet updated, at most maxPendingUIDs
}

// DrainProgress returns the progress of a server's drain; ok is false if the server is unknown. Once Updated equals
// Joined, no proxy of this coordinator sends to the server any more.
func (f *Fleet) DrainProgress(server balancer.Server) (progress DrainProgress, ok bool) {
	if _, ok := f.Registry.Find(server); !ok {
		return DrainProgress{}, false
	}
	progress.Phase, progress.NotifiedAt = f.Registry.Phase(server)
	if progress.Phase == balancer.Ready {
		progress.NotifiedAt = 0
	}
	for _, proxy := range f.sortedProxies() {
		if !proxy.Joined {
			continue
		}
		progress.Joined++
		if f.holdsNoEntry(proxy, server) {
			progress.Updated++
		} else if len(progress.Pending) < maxPendingUIDs {
			progress.Pending = append(progress.Pending, proxy.UID)
		}
	}
	return progress, true
}

// holdsNoEntry reports whether a proxy is known to hold no entry of a server for any class.
func (f *Fleet) holdsNoEntry(proxy *Proxy, server balancer.Server) bool {
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		if !state.Assigned || state.NeedsFull || state.AckedVersion == 0 {
			return false
		}
		table := f.tables[state.Table]
		if table.Weight(server) > 0 || table.lastChange(server) > state.AckedVersion {
			return false
		}
	}
	return true
}

// lastChange returns the version in which a server's entry last changed; 0 if it has none and no removal is remembered.
func (t *desiredTable) lastChange(server balancer.Server) tables.Version {
	for entry := range t.ChangedSince(0) {
		if entry.Server == server {
			return entry.Changed
		}
	}
	return 0
}
