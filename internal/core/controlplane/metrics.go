package controlplane

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
)

// Scopes of metrics: the first part of their paths.
const (
	scopeServers = "servers"
	scopeClasses = "classes"
	scopeFleet   = "fleet"
)

// Metric is a value exported for monitoring.
type Metric struct {
	Scope      string // "servers", "classes" or "fleet"
	Name       string // name of the server or class; empty for the scope "fleet"
	Quantity   string
	Class      string // request class of a weight; otherwise empty
	Cumulative bool   // whether Value is a total since the start of the coordinator
	Value      float64
}

// Path returns the components of the metric's name.
func (m Metric) Path() []string {
	parts := []string{m.Scope}
	if m.Name != "" {
		parts = append(parts, m.Name)
	}
	parts = append(parts, m.Quantity)
	if m.Class != "" {
		parts = append(parts, m.Class)
	}
	return parts
}

// trafficTotals accumulates the load reports of proxies since the start of the coordinator.
type trafficTotals struct {
	servers map[balancer.Server]*loadreport.Totals
	classes []loadreport.Totals // by class
}

// countTraffic adds the load reports of one reporting period to the totals.
func (f *Fleet) countTraffic(upstreams []balancer.UpstreamReport, demands []balancer.DemandReport) {
	if f.traffic.servers == nil {
		f.traffic = trafficTotals{
			servers: map[balancer.Server]*loadreport.Totals{},
			classes: make([]loadreport.Totals, len(f.site.Classes)),
		}
	}
	for _, report := range upstreams {
		totals := f.serverTotals(report.Server)
		totals.Attempts += report.Attempts
		totals.Failed += report.Failed
		totals.LatencySum += report.Latency * (report.Attempts - report.Failed)
	}
	for _, report := range demands {
		if class := int(report.Class); class >= 0 && class < len(f.traffic.classes) {
			f.traffic.classes[class].Attempts += report.Requests
			f.traffic.classes[class].Failed += report.Failed
		}
	}
}

// serverTotals returns the totals of a server, and creates them if there are none. If the limit is reached, the totals of
// servers that are no longer known are dropped.
func (f *Fleet) serverTotals(server balancer.Server) *loadreport.Totals {
	totals := f.traffic.servers[server]
	if totals != nil {
		return totals
	}
	if len(f.traffic.servers) >= f.site.Limits.MaxServers {
		for name := range f.traffic.servers {
			if _, known := f.Registry.Find(name); !known {
				delete(f.traffic.servers, name)
			}
		}
	}
	totals = &loadreport.Totals{}
	f.traffic.servers[server] = totals
	return totals
}

// Metrics returns the current values in a deterministic order. A server's weight for a class is the mean of its weights
// in the tables of all joined proxies.
func (f *Fleet) Metrics(now float64) (metrics []Metric) {
	usage := f.tableUsage()
	for _, server := range f.Registry.Servers() {
		metrics = append(metrics, f.serverMetrics(now, server)...)
		metrics = append(metrics, f.weightMetrics(server, usage)...)
	}
	for class, totals := range f.traffic.classes {
		name := f.site.ClassNames[class]
		metrics = append(metrics,
			Metric{Scope: scopeClasses, Name: name, Quantity: "queries", Value: totals.Attempts, Cumulative: true},
			Metric{Scope: scopeClasses, Name: name, Quantity: "lost", Value: totals.Failed, Cumulative: true})
	}
	return append(metrics, f.fleetMetrics()...)
}

// usedTable is a table with the number of joined proxies that use it for a class.
type usedTable struct {
	table   *desiredTable
	proxies float64
}

// tableUsage returns, by class, the tables in use by joined proxies.
func (f *Fleet) tableUsage() [][]usedTable {
	usage := make([][]usedTable, len(f.site.Classes))
	for assigned := range f.assignments() {
		used := usage[assigned.class]
		i := slices.IndexFunc(used, func(u usedTable) bool { return u.table == assigned.table })
		if i < 0 {
			i = len(used)
			used = append(used, usedTable{table: assigned.table})
		}
		used[i].proxies++
		usage[assigned.class] = used
	}
	return usage
}

func (f *Fleet) serverMetrics(now float64, server balancer.Server) []Metric {
	phase, _ := f.Registry.Phase(server)
	warmingUp := f.Registry.WarmingUp(now, server, f.site.Guarantees.WarmupDuration)
	name := string(server)
	metrics := []Metric{
		{Scope: scopeServers, Name: name, Quantity: "serves", Value: indicator(phase == balancer.Ready)},
		{Scope: scopeServers, Name: name, Quantity: "drains", Value: indicator(phase == balancer.Draining)},
		{Scope: scopeServers, Name: name, Quantity: "cold", Value: indicator(warmingUp)},
	}
	totals := f.traffic.servers[server]
	if totals == nil {
		return metrics
	}
	return append(metrics,
		Metric{Scope: scopeServers, Name: name, Quantity: "tries", Value: totals.Attempts, Cumulative: true},
		Metric{Scope: scopeServers, Name: name, Quantity: "lost", Value: totals.Failed, Cumulative: true},
		Metric{Scope: scopeServers, Name: name, Quantity: "seconds", Value: totals.LatencySum, Cumulative: true})
}

// weightMetrics returns a server's mean weight for each class that has a table in use.
func (f *Fleet) weightMetrics(server balancer.Server, usage [][]usedTable) (metrics []Metric) {
	for class, used := range usage {
		sum := 0.0
		proxies := 0.0
		for _, u := range used {
			sum += u.proxies * u.table.Weight(server)
			proxies += u.proxies
		}
		if proxies > 0 {
			metrics = append(metrics, Metric{
				Scope:    scopeServers,
				Name:     string(server),
				Quantity: "weight",
				Class:    f.site.ClassNames[class],
				Value:    sum / proxies,
			})
		}
	}
	return metrics
}

func (f *Fleet) fleetMetrics() []Metric {
	queued, _ := f.QueuedEntries()
	return []Metric{
		{Scope: scopeFleet, Quantity: "joined", Value: float64(f.Joined())},
		{Scope: scopeFleet, Quantity: "holding", Value: float64(f.UpToDate())},
		{Scope: scopeFleet, Quantity: "waiting", Value: queued},
		{Scope: scopeFleet, Quantity: "rounds", Value: float64(f.Stats.Rounds), Cumulative: true},
		{Scope: scopeFleet, Quantity: "messages", Value: float64(f.Stats.Messages), Cumulative: true},
		{Scope: scopeFleet, Quantity: "lines", Value: float64(f.Stats.Entries), Cumulative: true},
		{Scope: scopeFleet, Quantity: "cut", Value: float64(f.Stats.Disconnected), Cumulative: true},
	}
}

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
