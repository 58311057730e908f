package controlplane

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/tablecheck"
)

// Preview tells what would be wrong if some servers were drained now; nothing if they may be. It assumes that each proxy
// holds either its present tables or those without the servers. Where capacities are configured, the remaining servers
// must also bear the load once the drained ones are removed. With loseZone, they must do so with any one zone lost.
func (f *Fleet) Preview(now float64, drain []balancer.Server, loseZone bool) []tablecheck.Finding {
	findings := f.snapshot(now, drain, balancer.Draining, loseZone).Check()
	if len(findings) == 0 && len(f.site.ServerCapacities) > 0 {
		findings = f.snapshot(now, drain, balancer.Removed, loseZone).Check()
	}
	return findings
}

// tablePreview is a table in the two states that a proxy may hold.
type tablePreview struct {
	present  *tablecheck.Table
	proposed *tablecheck.Table // without servers that are not ready
}

// snapshot is the site with some servers in another phase, for tablecheck.
func (f *Fleet) snapshot(now float64, drain []balancer.Server, phase balancer.Phase, loseZone bool) *tablecheck.Snapshot {
	snapshot := &tablecheck.Snapshot{
		Servers:        f.previewServers(now, drain, phase),
		WarmupFraction: f.site.Guarantees.WarmupStartFraction,
		CheckZoneLoss:  loseZone,
	}
	previews := map[*desiredTable]*tablePreview{} // proxies that share a table share its preview
	for assigned := range f.assignments() {
		preview := previews[assigned.table]
		if preview == nil {
			preview = previewTable(assigned.table, snapshot.Servers)
			previews[assigned.table] = preview
		}
		possible := []*tablecheck.Table{preview.proposed}
		if phase != balancer.Removed { // by the time of the removal, all proxies have followed
			possible = append(possible, preview.present)
		}
		snapshot.Proxies = append(snapshot.Proxies, tablecheck.Proxy{
			UID:    assigned.proxy.UID,
			Class:  assigned.class,
			Demand: assigned.proxy.ExpectedRate / float64(len(f.site.Classes)),
			Tables: possible,
		})
	}
	return snapshot
}

// previewServers are all servers, those that are ready and to be drained in the given phase.
func (f *Fleet) previewServers(now float64, drain []balancer.Server,
	phase balancer.Phase) map[balancer.Server]tablecheck.Server {
	servers := map[balancer.Server]tablecheck.Server{}
	for _, name := range f.Registry.Servers() {
		record, _ := f.Registry.Find(name)
		server := tablecheck.Server{
			Zone:      record.Zone,
			Phase:     record.Phase,
			WarmingUp: f.Registry.WarmingUp(now, name, f.site.Guarantees.WarmupDuration),
		}
		if server.Phase == balancer.Ready && slices.Contains(drain, name) {
			server.Phase = phase
		}
		if pool := f.site.ServerCapacities[name]; pool.Capacity > 0 {
			server.Pool = pool.Pool
			server.Capacity = pool.Capacity
		}
		servers[name] = server
	}
	return servers
}

func previewTable(table *desiredTable, servers map[balancer.Server]tablecheck.Server) *tablePreview {
	present := map[balancer.Server]float64{}
	proposed := map[balancer.Server]float64{}
	for entry := range table.ChangedSince(0) {
		if entry.Weight == 0 {
			continue
		}
		present[entry.Server] = entry.Weight
		if servers[entry.Server].Phase == balancer.Ready {
			proposed[entry.Server] = entry.Weight
		}
	}
	return &tablePreview{
		present:  &tablecheck.Table{Weights: present},
		proposed: &tablecheck.Table{Weights: proposed},
	}
}
