package controlplane

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/tablecheck"
)

// Preview returns the rule violations that draining some servers now would cause, or none if they may be drained. It
// assumes that each proxy holds either its current tables or those without the drained servers. If capacities are
// configured, the remaining servers must also carry the load once the drained ones are removed. If zoneLoss is true, all
// of this must also hold with any one zone lost.
func (f *Fleet) Preview(now float64, drain []balancer.Server, zoneLoss bool) []tablecheck.Finding {
	findings := f.snapshot(now, drain, balancer.Draining, zoneLoss).Check()
	if len(findings) == 0 && len(f.site.ServerCapacities) > 0 {
		findings = f.snapshot(now, drain, balancer.Removed, zoneLoss).Check()
	}
	return findings
}

// tablePreview holds the two states of a table that a proxy may use during a drain.
type tablePreview struct {
	current  *tablecheck.Table
	proposed *tablecheck.Table // without the servers that are not ready
}

// snapshot returns the site for validation by tablecheck, with the servers to drain in the given phase.
func (f *Fleet) snapshot(now float64, drain []balancer.Server, phase balancer.Phase, zoneLoss bool) *tablecheck.Snapshot {
	snapshot := &tablecheck.Snapshot{
		Servers:        f.previewServers(now, drain, phase),
		WarmupFraction: f.site.Guarantees.WarmupStartFraction,
		CheckZoneLoss:  zoneLoss,
	}
	previews := map[*desiredTable]*tablePreview{} // proxies that share a table share its preview
	for assigned := range f.assignments() {
		preview := previews[assigned.table]
		if preview == nil {
			preview = previewTable(assigned.table, snapshot.Servers)
			previews[assigned.table] = preview
		}
		possible := []*tablecheck.Table{preview.proposed}
		if phase != balancer.Removed { // all proxies have applied the drain by the time of the removal
			possible = append(possible, preview.current)
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

// previewServers returns all servers. Ready servers that are to be drained are in the given phase.
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
		if capacity := f.site.ServerCapacities[name]; capacity.Capacity > 0 {
			server.Pool = capacity.Pool
			server.Capacity = capacity.Capacity
		}
		servers[name] = server
	}
	return servers
}

func previewTable(table *desiredTable, servers map[balancer.Server]tablecheck.Server) *tablePreview {
	current := map[balancer.Server]float64{}
	proposed := map[balancer.Server]float64{}
	for entry := range table.ChangedSince(0) {
		if entry.Weight == 0 {
			continue
		}
		current[entry.Server] = entry.Weight
		if servers[entry.Server].Phase == balancer.Ready {
			proposed[entry.Server] = entry.Weight
		}
	}
	return &tablePreview{
		current:  &tablecheck.Table{Weights: current},
		proposed: &tablecheck.Table{Weights: proposed},
	}
}
