package controlplane

import (
	"snowquay/balancer"
)

// RunRound passes the pending events to the decision module and applies its decisions. It reports whether the module was
// called: it is not called without new events or an expired timer. Registry changes are stored before they are acted on.
// If storing fails, a drain is published nevertheless: a drain that is lost at a restart is better than one that never
// began.
func (f *Fleet) RunRound(now float64) bool {
	f.Registry.ExpireHolds(now)
	if now-f.lastRoundAt < f.site.Limits.MinRoundInterval || f.awaitingRegistrations(now) {
		return false
	}
	f.collectEndpoints()
	f.collectReports(now)
	f.collectTimer(now)
	events := f.pendingEvents
	if isEmpty(&events) {
		f.Stats.Idle++
		return false
	}
	f.lastRoundAt = now
	f.round++
	f.Stats.Rounds++
	f.roundTrace = MessageTrace{
		Round:       f.round,
		Lists:       len(events.Lists),
		ProxyEvents: len(events.ProxyEvents),
		Upstreams:   len(events.Upstreams),
		Demands:     len(events.Demands),
		DecidedAt:   now,
	}
	f.balancer.Reconcile(now, events, &RoundSink{fleet: f, now: now})
	f.pendingEvents = balancer.Events{}
	f.publishChanges(now)
	return true
}

func isEmpty(events *balancer.Events) bool {
	return len(events.Lists)+len(events.ProxyEvents)+len(events.Upstreams)+len(events.Demands)+
		len(events.Acks)+len(events.FiredTimers) == 0
}

// collectEndpoints adds the registry's changes to the pending events.
func (f *Fleet) collectEndpoints() {
	if !f.Registry.HasChanges() {
		return
	}
	f.Persist()
	endpoints, whole := f.Registry.TakeChanges()
	scope := balancer.DeltaList
	switch {
	case !f.initialListSent: // the list comes from the settings and the records of an earlier process
		scope = balancer.CachedList
	case whole:
		scope = balancer.FullList
	}
	if len(endpoints) > 0 || !f.initialListSent {
		f.pendingEvents.Lists = append(f.pendingEvents.Lists, balancer.EndpointList{Scope: scope, Endpoints: endpoints})
	}
	f.initialListSent = true
}

// collectReports adds the load reports to the pending events, once per reporting period.
func (f *Fleet) collectReports(now float64) {
	if now-f.reportsFlushedAt < f.site.Reporting.Period || !f.LoadReports.HasPending() {
		return
	}
	f.reportsFlushedAt = now
	f.pendingEvents.Upstreams, f.pendingEvents.Demands = f.LoadReports.Flush()
	f.countTraffic(f.pendingEvents.Upstreams, f.pendingEvents.Demands)
}

// collectTimer adds the decision module's timer to the pending events when it is due.
func (f *Fleet) collectTimer(now float64) {
	if now >= f.timerAt && f.timerAt > 0 {
		f.pendingEvents.FiredTimers = append(f.pendingEvents.FiredTimers, 0)
		f.timerAt = 0
	}
}

// Persist stores the registry's changes immediately instead of in the next round, so that a drain survives a crash once
// it was confirmed to the caller. It reports whether all changes are durable.
func (f *Fleet) Persist() (ok bool) {
	if f.store == nil || f.site.DisabledGuards[GuardPersistence] || !f.Registry.NeedsPersist() {
		return true
	}
	if records := f.Registry.ChangedRecords(); len(records) > 0 {
		if err := f.store.Save(records); err != nil {
			f.Stats.SaveFailures++
			return false
		}
	}
	f.Registry.MarkPersisted()
	return true
}

// awaitingRegistrations reports whether a coordinator that knew no servers at startup still waits for servers to register.
// If they were passed to the decision module one by one, it would treat each as newly started. The cost is that proxies
// use their default tables during the wait.
func (f *Fleet) awaitingRegistrations(now float64) bool {
	return !f.initialListSent && !f.serversKnown && now < f.startedAt+f.site.Limits.RegistrationWait
}
