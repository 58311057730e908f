package registry

import (
	"cmp"
	"slices"

	"snowquay/balancer"
)

// TakeChanges returns the endpoint entries that changed since the last call, sorted by address, for the decision module. If full is true,
// the entries are those of all servers.
func (r *Registry) TakeChanges() (entries []balancer.Endpoint, full bool) {
	full = r.announceAll
	r.announceAll = false
	for _, server := range r.changed {
		server.changed = false
	}
	if full {
		for _, server := range r.servers {
			entries = appendEntry(entries, server)
		}
	} else {
		for _, server := range r.changed {
			entries = appendEntry(entries, server)
		}
	}
	r.changed = r.changed[:0]
	slices.SortFunc(entries, func(a, b balancer.Endpoint) int { return cmp.Compare(a.Server, b.Server) })
	return entries, full
}

// appendEntry appends a server's entry, unless the server is removed and the decision module has no entry of it.
func appendEntry(entries []balancer.Endpoint, server *serverState) []balancer.Endpoint {
	if server.Phase == balancer.Removed && !server.announced {
		return entries
	}
	server.announced = server.Phase != balancer.Removed
	return append(entries, balancer.Endpoint{
		Server:        server.Server,
		Zone:          server.Zone,
		Kind:          server.Kind,
		FailureDomain: server.FailureDomain,
		Weight:        server.Weight,
		Phase:         server.Phase,
		Started:       server.Started,
	})
}

// ChangedRecords returns the records of the servers that changed since the last TakeChanges, sorted by address. Call it before
// TakeChanges: the records must be stored before the changes take effect.
func (r *Registry) ChangedRecords() (records []Record) {
	for _, server := range r.changed {
		records = append(records, server.Record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Server, b.Server) })
	return records
}

// HasChanges reports whether changes are pending for TakeChanges, or all servers are to be listed.
func (r *Registry) HasChanges() bool { return len(r.changed) > 0 || r.announceAll }

// NeedsPersist reports whether a record has changed since the last MarkPersisted.
func (r *Registry) NeedsPersist() bool { return r.unpersisted }

// MarkPersisted notes that the records returned by ChangedRecords have been stored.
func (r *Registry) MarkPersisted() { r.unpersisted = false }
