package controlplane

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/pacing"
	"snowquay/internal/core/tables"
)

// urgentWarmupFraction is a fraction of an entry's previous weight. If the weight of a server that is warming up drops
// below it, the change is as urgent as a drain.
const urgentWarmupFraction = 0.5

// desiredTable is a table in the state wanted by the decision module. Its version is the wanted version.
type desiredTable struct {
	tables.Table
	id             balancer.Table
	classesByProxy map[balancer.Proxy]int // number of classes per proxy to which the table is assigned
	urgentVersion  tables.Version         // newest version with an urgent change

	// Changes of the current round.
	changed           bool
	urgent            bool
	removedReady      []removedEntry // removed entries of servers that are ready and warmed up
	changedEntries    float64
	changedAdmissions float64
}

// removedEntry is a removed table entry with its former weight.
type removedEntry struct {
	server balancer.Server
	weight float64
}

// ackRequest is an acknowledgement requested by the decision module.
type ackRequest struct {
	id          balancer.AckID
	requestedAt float64
}

// RoundSink applies the decisions of one round to a Fleet. It implements balancer.CommandSink.
type RoundSink struct {
	fleet *Fleet
	now   float64
}

// table returns a table by its ID, and creates it if it does not exist.
func (r *RoundSink) table(id balancer.Table) *desiredTable {
	table := r.fleet.tables[id]
	if table == nil {
		table = &desiredTable{id: id, classesByProxy: map[balancer.Proxy]int{}}
		r.fleet.tables[id] = table
	}
	return table
}

func (r *RoundSink) markChanged(table *desiredTable) {
	if table.changed {
		return
	}
	table.changed = true
	r.fleet.changedTables = append(r.fleet.changedTables, table)
}

// SetWeight sets the weight of a table entry; 0 removes it.
func (r *RoundSink) SetWeight(id balancer.Table, server balancer.Server, weight float64) {
	table := r.table(id)
	before := table.Weight(server)
	if !table.Set(r.now, server, weight) {
		return
	}
	phase, _ := r.fleet.Registry.Phase(server)
	warmingUp := r.fleet.Registry.WarmingUp(r.now, server, r.fleet.site.Guarantees.WarmupDuration)
	if weight == 0 && phase == balancer.Ready && !warmingUp {
		table.removedReady = append(table.removedReady, removedEntry{server: server, weight: before})
	}
	if weight == 0 && phase != balancer.Ready || warmingUp && weight < urgentWarmupFraction*before {
		table.urgent = true
	}
	table.changedEntries++
	r.markChanged(table)
}

// AssignTable assigns a table to a set of classes of a proxy, or to all classes if the set is empty. It schedules the
// whole table for the proxy.
func (r *RoundSink) AssignTable(proxyID balancer.Proxy, tableID balancer.Table, classes balancer.ClassSet) {
	table := r.table(tableID)
	proxy := r.fleet.proxies[proxyID]
	if proxy == nil || !proxy.Joined {
		return
	}
	r.fleet.Stats.TablesAssigned++
	entries := 1.0
	for class := range proxy.Tables {
		if !includes(classes, class) {
			continue
		}
		state := &proxy.Tables[class]
		r.fleet.unassign(proxy, state)
		if r.fleet.site.DisabledGuards[GuardRejoin] && state.SentVersion > 0 && state.Table == tableID {
			state.Assigned = true
		} else {
			*state = TableState{Table: tableID, Assigned: true, NeedsFull: true, Stale: state.Stale || state.SentVersion > 0}
		}
		table.classesByProxy[proxyID]++
		entries += float64(table.Len() + len(table.Admissions()))
	}
	proxy.trace = r.fleet.roundTrace
	if !proxy.Polls {
		r.fleet.sendQueue.Add(r.now, proxyID, entries, pacing.Normal)
	}
}

// SetAdmission sets the admission rate and retry policy of a set of classes in a table, or of all if the set is empty.
func (r *RoundSink) SetAdmission(id balancer.Table, classes balancer.ClassSet, rate float64, retry balancer.RetryPolicy) {
	table := r.table(id)
	for class := range r.fleet.site.Classes {
		if includes(classes, class) && table.SetAdmission(balancer.Class(class), rate, retry) {
			r.fleet.Stats.AdmissionChanges++
			table.changedAdmissions++
			r.markChanged(table)
		}
	}
}

// RequestAck requests an acknowledgement from all proxies affected by the current round. The request goes with their next
// messages.
func (r *RoundSink) RequestAck(id balancer.AckID) {
	for _, table := range r.fleet.changedTables {
		for proxyID := range table.classesByProxy {
			r.requestAck(r.fleet.proxies[proxyID], id)
		}
	}
	for _, proxy := range r.fleet.proxies {
		if proxy.Joined && slices.ContainsFunc(proxy.Tables, func(state TableState) bool { return state.NeedsFull }) {
			r.requestAck(proxy, id)
		}
	}
}

func (r *RoundSink) requestAck(proxy *Proxy, id balancer.AckID) {
	if n := len(proxy.queuedAcks); n > 0 && proxy.queuedAcks[n-1].id == id {
		return
	}
	// The decision module waits only for its newest request.
	proxy.queuedAcks = append(proxy.queuedAcks[:0], ackRequest{id: id, requestedAt: r.now})
}

// HealthCheck counts requested health checks. It is not expected to be called, since the decision module is configured
// without health checks.
func (r *RoundSink) HealthCheck(balancer.Server) { r.fleet.Stats.HealthChecks++ }

// PollDiscovery does nothing. It is never called, since the registry reports its changes without polling.
func (r *RoundSink) PollDiscovery() {}

// SetTimer schedules another round after some seconds.
func (r *RoundSink) SetTimer(after float64, _ balancer.Timer) { r.fleet.timerAt = r.now + after }

// Log counts the decision module's log messages.
func (r *RoundSink) Log(string) { r.fleet.Stats.LogMessages++ }

// includes reports whether a class belongs to a set; the empty set stands for all classes.
func includes(classes balancer.ClassSet, class int) bool {
	return classes == 0 || classes>>class&1 == 1
}
