package controlplane

import (
	"iter"

	"snowquay/balancer"
	"snowquay/internal/core/tables"
)

// NeedsUpdate reports whether a proxy has yet to be sent the newest table of an assigned class.
func (f *Fleet) NeedsUpdate(proxy *Proxy) bool {
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		if state.Assigned && (state.NeedsFull || state.SentVersion != f.wantedVersion(state)) {
			return true
		}
	}
	return false
}

// Delta returns the table entries of a class for a proxy's next message. If full is true, these are all entries, and
// those without weight may be omitted; otherwise they are the changed entries, newest first. ok is false if the class is
// not assigned a table yet.
func (f *Fleet) Delta(proxy *Proxy, class balancer.Class) (entries iter.Seq[*tables.Entry], full, ok bool) {
	state := &proxy.Tables[class]
	if !state.Assigned {
		return nil, false, false
	}
	table := f.tables[state.Table]
	if state.NeedsFull || !table.HasDeltaSince(state.SentVersion) {
		return table.ChangedSince(0), true, true
	}
	return table.ChangedBetween(state.SentVersion, f.targetVersion(proxy, state)), false, true
}

// FullTable returns the whole table of a class, like a full Delta, regardless of what the proxy holds. ok is false if
// the class is not assigned a table yet.
func (f *Fleet) FullTable(proxy *Proxy, class balancer.Class) (entries iter.Seq[*tables.Entry], ok bool) {
	state := &proxy.Tables[class]
	if !state.Assigned {
		return nil, false
	}
	return f.tables[state.Table].ChangedSince(0), true
}

// AdmissionsSince returns the admission settings of a class that have changed since the last version sent to the proxy,
// or all of them if full is true.
func (f *Fleet) AdmissionsSince(proxy *Proxy, class balancer.Class, full bool) (changed []tables.Admission) {
	state := &proxy.Tables[class]
	if !state.Assigned {
		return nil
	}
	for _, admission := range f.tables[state.Table].Admissions() {
		if admission.Class == class && (full || admission.Changed > state.SentVersion) {
			changed = append(changed, admission)
		}
	}
	return changed
}

// MayHoldStaleEntries reports whether a proxy may hold entries that no delta removes: they belong to a table that it
// is no longer assigned, or were removed so long ago that the removal is forgotten. Such a proxy must be sent an explicit
// removal for each server without an entry.
func (f *Fleet) MayHoldStaleEntries(proxy *Proxy, class balancer.Class) bool {
	state := &proxy.Tables[class]
	return state.Stale || state.Assigned && state.SentVersion > 0 && !f.tables[state.Table].HasDeltaSince(state.SentVersion)
}

// HasSentTable reports whether a proxy was sent a table of a class since it joined.
func (f *Fleet) HasSentTable(proxy *Proxy, class balancer.Class) bool {
	return proxy.Tables[class].SentVersion > 0
}

// Weight returns the wanted weight of a server for a proxy's class; 0 if the server has no entry.
func (f *Fleet) Weight(proxy *Proxy, class balancer.Class, server balancer.Server) float64 {
	state := &proxy.Tables[class]
	if !state.Assigned {
		return 0
	}
	return f.tables[state.Table].Weight(server)
}

// TableSize returns the number of entries in the table of a class.
func (f *Fleet) TableSize(proxy *Proxy, class balancer.Class) int {
	state := &proxy.Tables[class]
	if !state.Assigned {
		return 0
	}
	return f.tables[state.Table].Len()
}
