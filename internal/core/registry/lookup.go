package registry

import (
	"maps"
	"math"
	"slices"

	"snowquay/balancer"
)

// Phase returns a server's phase and the time at which its drain or removal became known, which is 0 for a server that is in
// service or never was. For an unknown server these are Removed and negative infinity.
func (r *Registry) Phase(address balancer.Server) (phase balancer.Phase, notifiedAt float64) {
	server := r.servers[address]
	if server == nil {
		return balancer.Removed, math.Inf(-1)
	}
	return server.Phase, server.NotifiedAt
}

// Find returns the record of a server. ok is false if the server is unknown or was removed from the settings.
func (r *Registry) Find(address balancer.Server) (record Record, ok bool) {
	server := r.servers[address]
	if server == nil || server.removedFromConfig {
		return Record{}, false
	}
	return server.Record, true
}

// Registered reports whether a server is registered by a connection that is open.
func (r *Registry) Registered(address balancer.Server) bool {
	server := r.servers[address]
	return server != nil && server.registered && server.connectionLostAt == 0
}

// HoldsRegistration reports whether a server is registered, by a connection that is open or whose hold has not expired.
func (r *Registry) HoldsRegistration(address balancer.Server) bool {
	server := r.servers[address]
	return server != nil && server.registered
}

// Version returns a number that increases whenever the phase of a server changes.
func (r *Registry) Version() int { return r.version }

// Len returns the number of known servers, including removed ones.
func (r *Registry) Len() int { return len(r.servers) }

// Servers returns the known servers except those that were removed from the settings, sorted by address.
func (r *Registry) Servers() []balancer.Server {
	all := make([]balancer.Server, 0, len(r.servers))
	for address, server := range r.servers {
		if !server.removedFromConfig {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}

// KnownServers returns all known servers, sorted by address. It includes those that were removed from the settings, since proxies may
// still have table entries for them.
func (r *Registry) KnownServers() []balancer.Server {
	return slices.Sorted(maps.Keys(r.servers))
}

// OrderedDrains returns the servers with an ordered drain, sorted by address.
func (r *Registry) OrderedDrains() (all []balancer.Server) {
	for address, server := range r.servers {
		if server.DrainOrdered {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}
