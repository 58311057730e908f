package registry

import (
	"cmp"
	"slices"

	"snowquay/balancer"
)

// TakeChanges returns the entries that the decision module does not know yet, sorted by address. full says that they are all entries
// rather than those that have changed.
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

// appendEntry appends a server's entry, unless the server is removed and the decision module does not know it.
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

// ChangedRecords returns the records of the servers that have changed since the last TakeChanges, sorted by address. They have to be
// stored before the changes are acted on, so it is called before TakeChanges.
func (r *Registry) ChangedRecords() (records []Record) {
	for _, server := range r.changed {
		records = append(records, server.Record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Server, b.Server) })
	return records
}

// HasChanges tells whether TakeChanges has something to return.
func (r *Registry) HasChanges() bool { return len(r.changed) > 0 || r.announceAll }

// NeedsPersist tells whether a record has changed since the last MarkPersisted.
func (r *Registry) NeedsPersist() bool { return r.unpersisted }

// MarkPersisted says that the records which ChangedRecords returned are stored.
func (r *Registry) MarkPersisted() { r.unpersisted = false }
