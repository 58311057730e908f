package controlplane

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
)

// Metric of a fleet, for those who watch it.
type Metric struct {
	Scope      string // "servers", "classes" or "fleet"
	Name       string // the server's or the class's
	Quantity   string
	Class      string // of a weight
	Cumulative bool   // it is a total since the coordinator's start
	Value      float64
}

// sums are what proxies reported since the start.
type sums struct {
	servers map[balancer.Server]*loadreport.Totals
	classes []loadreport.Totals
}

// count takes what is handed to the module of a period.
func (f *Fleet) count(traffic []balancer.UpstreamReport, demand []balancer.DemandReport) {
	if f.sums.servers == nil {
		f.sums = sums{map[balancer.Server]*loadreport.Totals{}, make([]loadreport.Totals, len(f.site.Classes))}
	}
	for _, t := range traffic {
		s := f.sums.servers[t.Server]
		if s == nil {
			if len(f.sums.servers) >= f.site.Limits.MaxServers { // those that are gone make room
				for name := range f.sums.servers {
					if _, known := f.Registry.Find(name); !known {
						delete(f.sums.servers, name)
					}
				}
			}
			s = &loadreport.Totals{}
			f.sums.servers[t.Server] = s
		}
		s.Attempts += t.Attempts
		s.Failed += t.Failed
		s.Seconds += t.Latency * (t.Attempts - t.Failed)
	}
	for _, d := range demand {
		if c := int(d.Class); c >= 0 && c < len(f.sums.classes) {
			f.sums.classes[c].Attempts += d.Requests
			f.sums.classes[c].Failed += d.Failed
		}
	}
}

// Metrics of the fleet now, in an order that is the same in every run. A server's weight for a class is the mean over the tables that
// joined proxies are bound to, by how many are.
func (f *Fleet) Metrics(now float64) (all []Metric) {
	add := func(of, name, what string, v float64, grows bool) {
		all = append(all, Metric{Scope: of, Name: name, Quantity: what, Value: v, Cumulative: grows})
	}
	type held struct {
		table   *wanted
		proxies float64
	}
	users := make([][]held, len(f.site.Classes))
	for _, p := range f.sorted() {
		for c := range p.Tables {
			h := &p.Tables[c]
			if !p.Joined || !h.Bound {
				continue
			}
			w := f.tables[h.Table]
			i := slices.IndexFunc(users[c], func(x held) bool { return x.table == w })
			if i < 0 {
				i = len(users[c])
				users[c] = append(users[c], held{table: w})
			}
			users[c][i].proxies++
		}
	}
	for _, s := range f.Registry.Servers() {
		phase, _ := f.Registry.Phase(s)
		serves, drains, cold := 0.0, 0.0, 0.0
		switch phase {
		case balancer.Ready:
			serves = 1
		case balancer.Draining:
			drains = 1
		}
		if f.Registry.WarmingUp(now, s, f.site.Guarantees.WarmupDuration) {
			cold = 1
		}
		add("servers", string(s), "serves", serves, false)
		add("servers", string(s), "drains", drains, false)
		add("servers", string(s), "cold", cold, false)
		if t := f.sums.servers[s]; t != nil {
			add("servers", string(s), "tries", t.Attempts, true)
			add("servers", string(s), "lost", t.Failed, true)
			add("servers", string(s), "seconds", t.Seconds, true)
		}
		for c, list := range users {
			sum, n := 0.0, 0.0
			for _, h := range list {
				sum, n = sum+h.proxies*h.table.Weight(s), n+h.proxies
			}
			if n > 0 {
				all = append(all, Metric{Scope: "servers", Name: string(s), Quantity: "weight", Class: f.site.ClassNames[c], Value: sum / n})
			}
		}
	}
	for c, t := range f.sums.classes {
		add("classes", f.site.ClassNames[c], "queries", t.Attempts, true)
		add("classes", f.site.ClassNames[c], "lost", t.Failed, true)
	}
	waiting, _ := f.QueuedEntries()
	add("fleet", "", "joined", float64(f.Joined()), false)
	add("fleet", "", "holding", float64(f.UpToDate()), false)
	add("fleet", "", "waiting", waiting, false)
	add("fleet", "", "rounds", float64(f.Stats.Rounds), true)
	add("fleet", "", "messages", float64(f.Stats.Messages), true)
	add("fleet", "", "lines", float64(f.Stats.Entries), true)
	add("fleet", "", "cut", float64(f.Stats.Disconnected), true)
	return all
}

// Path of a figure, in parts.
func (x Metric) Path() []string {
	parts := []string{x.Scope}
	if x.Name != "" {
		parts = append(parts, x.Name)
	}
	if parts = append(parts, x.Quantity); x.Class != "" {
		parts = append(parts, x.Class)
	}
	return parts
}
