package registry

import (
	"maps"
	"math"
	"slices"

	"snowquay/balancer"
)

// Phase returns a server's phase, and when its drain or removal became known. An unknown server was removed infinitely long ago.
func (r *Registry) Phase(address balancer.Server) (phase balancer.Phase, notifiedAt float64) {
	server := r.servers[address]
	if server == nil {
		return balancer.Removed, math.Inf(-1)
	}
	return server.Phase, server.NotifiedAt
}

// Find returns the record of a server. ok is false where it is unknown, or was taken out of the settings.
func (r *Registry) Find(address balancer.Server) (record Record, ok bool) {
	server := r.servers[address]
	if server == nil || server.unlisted {
		return Record{}, false
	}
	return server.Record, true
}

// Registered tells whether a server is registered by a connection that stands.
func (r *Registry) Registered(address balancer.Server) bool {
	server := r.servers[address]
	return server != nil && server.registered && server.connectionLostAt == 0
}

// HoldsRegistration tells whether a server is registered, by a connection that stands or that broke less than the hold ago.
func (r *Registry) HoldsRegistration(address balancer.Server) bool {
	server := r.servers[address]
	return server != nil && server.registered
}

// Version grows whenever the phase of a server changes.
func (r *Registry) Version() int { return r.version }

// Len returns the number of known servers, removed ones included.
func (r *Registry) Len() int { return len(r.servers) }

// Servers returns the servers that were not taken out of the settings, sorted by address.
func (r *Registry) Servers() []balancer.Server {
	all := make([]balancer.Server, 0, len(r.servers))
	for address, server := range r.servers {
		if !server.unlisted {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}

// KnownServers returns all known servers, sorted by address. A proxy may still have a table entry for one that was taken out of the
// settings.
func (r *Registry) KnownServers() []balancer.Server {
	return slices.Sorted(maps.Keys(r.servers))
}

// OrderedDrains returns the servers with a drain that an operator ordered, sorted by address.
func (r *Registry) OrderedDrains() (all []balancer.Server) {
	for address, server := range r.servers {
		if server.DrainOrdered {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}
