package platformstate

import (
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/wire/discovery"
)

// EndpointSet holds the servers that discovery lists, with the addresses of their health checks, and the
// version up to which they are known completely.
type EndpointSet struct {
	zones           []string
	machineKinds    []string
	endpoints       map[balancer.Server]listedEndpoint
	version         int64
	completeVersion int64
	incomplete      bool // something after completeVersion could not be read
	everListed      bool

	Malformed uint64 // entries that could not be used
}

// listedEndpoint is a server as discovery described it last.
type listedEndpoint struct {
	address  netip.AddrPort
	endpoint balancer.Endpoint
}

// NewEndpointSet returns an empty set. Discovery names zones and kinds of machines, which package balancer
// numbers in the order of these slices.
func NewEndpointSet(zones, machineKinds []string) *EndpointSet {
	return &EndpointSet{
		zones:           zones,
		machineKinds:    machineKinds,
		endpoints:       map[balancer.Server]listedEndpoint{},
		version:         -1,
		completeVersion: -1,
	}
}

// CompleteVersion returns the version up to which all lists were read completely; 0 before the first.
func (s *EndpointSet) CompleteVersion() int64 { return max(s.completeVersion, 0) }

// NewestVersion returns the version of the newest list that was applied; -1 before the first.
func (s *EndpointSet) NewestVersion() int64 { return s.version }

// MarkIncomplete says that a list could not be read: what it changed is missing until a new connection has
// delivered everything after CompleteVersion.
func (s *EndpointSet) MarkIncomplete() { s.incomplete = true }

// Incomplete reports whether a change is missing.
func (s *EndpointSet) Incomplete() bool { return s.incomplete }

// Contains reports whether a server is listed.
func (s *EndpointSet) Contains(id balancer.Server) bool {
	_, ok := s.endpoints[id]
	return ok
}

// Address returns where a server listens. It is invalid if the server is not listed or its address could not be
// read.
func (s *EndpointSet) Address(id balancer.Server) netip.AddrPort { return s.endpoints[id].address }

// EverListed reports whether any server has been listed, now or earlier.
func (s *EndpointSet) EverListed() bool { return s.everListed }

// Len returns the number of listed servers.
func (s *EndpointSet) Len() int { return len(s.endpoints) }

// LoadCached takes a list that was stored earlier and may be out of date.
func (s *EndpointSet) LoadCached(list *discovery.List, events *balancer.Events) {
	s.merge(list, balancer.CachedList, events)
	s.completeVersion = s.version
	s.incomplete = false
}

// Apply takes a list of discovery and reports whether the set is complete. first says that it is the first list
// on its connection.
//
// A list older than the set changes nothing, unless it is full and first: discovery may have restarted. Where
// an entry cannot be used the others count, and the set is incomplete until the first list of a new connection.
func (s *EndpointSet) Apply(list *discovery.List, first bool, events *balancer.Events) bool {
	if !s.accepts(list, first) {
		return !s.incomplete
	}
	scope := balancer.DeltaList
	if list.Full {
		scope = balancer.FullList
	}
	usable := s.merge(list, scope, events)
	s.incomplete = !usable || s.incomplete && !first && !list.Full
	if !s.incomplete {
		s.completeVersion = list.Version
	}
	return !s.incomplete
}

// accepts reports whether a list is newer than the set, or replaces it.
func (s *EndpointSet) accepts(list *discovery.List, first bool) bool {
	switch {
	case list.Version > s.version:
		return true
	case list.Version == s.version:
		return first || list.Full
	}
	return first && list.Full
}

// merge updates the set and reports whether every entry could be used.
func (s *EndpointSet) merge(list *discovery.List, scope balancer.ListScope, events *balancer.Events) bool {
	s.version = list.Version
	malformedBefore := s.Malformed
	s.Malformed += uint64(list.Malformed)
	if scope == balancer.FullList && list.Malformed > 0 { // an absent server may be the one of an unreadable entry
		scope = balancer.DeltaList
	}
	previous := s.endpoints
	if scope != balancer.DeltaList {
		s.endpoints = map[balancer.Server]listedEndpoint{}
	}
	merged := balancer.EndpointList{Scope: scope}
	for _, server := range list.Servers {
		endpoint, ok := s.mergeServer(server, previous)
		if !ok {
			continue
		}
		s.everListed = true
		merged.Endpoints = append(merged.Endpoints, endpoint)
	}
	events.Lists = append(events.Lists, merged)
	return s.Malformed == malformedBefore
}

// mergeServer updates one server. One whose entry cannot be used stays as it was in previous, except that
// draining always counts.
func (s *EndpointSet) mergeServer(server discovery.Server, previous map[balancer.Server]listedEndpoint) (balancer.Endpoint, bool) {
	endpoint, usable := s.endpoint(server)
	if usable && endpoint.Phase == balancer.Removed {
		delete(s.endpoints, endpoint.Server)
		return endpoint, true
	}
	if usable {
		address, _ := netip.ParseAddrPort(server.Address) // a server without a readable address is not health-checked
		s.endpoints[endpoint.Server] = listedEndpoint{address: address, endpoint: endpoint}
		return endpoint, true
	}
	s.Malformed++
	known, ok := previous[endpoint.Server]
	if !ok {
		return endpoint, false
	}
	if endpoint.Phase == balancer.Draining {
		known.endpoint.Phase = balancer.Draining
	}
	s.endpoints[endpoint.Server] = known
	return known.endpoint, true
}

// endpoint converts an entry and reports whether it can be used. The fields of a removed server, other than its
// id, do not matter.
func (s *EndpointSet) endpoint(server discovery.Server) (balancer.Endpoint, bool) {
	endpoint := balancer.Endpoint{
		Server:        balancer.Server(server.ID),
		FailureDomain: balancer.FailureDomain(server.FailureDomain),
		Weight:        server.Weight,
		Started:       server.StartedMS / 1000,
	}
	switch server.State {
	case discovery.Ready:
		endpoint.Phase = balancer.Ready
	case discovery.Draining:
		endpoint.Phase = balancer.Draining
	case discovery.Removed:
		endpoint.Phase = balancer.Removed
		return endpoint, server.ID != ""
	default:
		return endpoint, false
	}
	endpoint.Zone = balancer.Zone(slices.Index(s.zones, server.Zone))
	endpoint.Kind = balancer.Kind(max(slices.Index(s.machineKinds, server.Kind), 0)) // an unknown kind counts as the first
	usable := server.ID != "" && !server.Malformed && endpoint.Zone >= 0 && server.Weight >= 0 && server.StartedMS >= 0
	return endpoint, usable
}
