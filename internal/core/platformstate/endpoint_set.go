package platformstate

import (
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/wire/discovery"
)

// EndpointSet holds the servers listed by discovery, with their addresses for health checks, and the version up to
// which all changes of the list are known.
type EndpointSet struct {
	zones           []string
	machineKinds    []string
	endpoints       map[balancer.Server]listedEndpoint
	version         int64
	completeVersion int64
	incomplete      bool // a change after completeVersion could not be parsed
	everListed      bool

	Malformed uint64 // entries that could not be used
}

// listedEndpoint is the most recent usable description of a server by discovery.
type listedEndpoint struct {
	address  netip.AddrPort
	endpoint balancer.Endpoint
}

// NewEndpointSet returns an empty set. The slices map the names of zones and machine kinds in lists of discovery to the
// numbers that package balancer uses.
func NewEndpointSet(zones, machineKinds []string) *EndpointSet {
	return &EndpointSet{
		zones:           zones,
		machineKinds:    machineKinds,
		endpoints:       map[balancer.Server]listedEndpoint{},
		version:         -1,
		completeVersion: -1,
	}
}

// CompleteVersion returns the version up to which all lists were applied completely; 0 before the first list.
func (s *EndpointSet) CompleteVersion() int64 { return max(s.completeVersion, 0) }

// NewestVersion returns the version of the newest list that was applied; -1 before the first list.
func (s *EndpointSet) NewestVersion() int64 { return s.version }

// MarkIncomplete records that a list could not be parsed. Its changes are missing until a new connection has delivered
// everything after CompleteVersion.
func (s *EndpointSet) MarkIncomplete() { s.incomplete = true }

// Incomplete reports whether changes are missing from the set.
func (s *EndpointSet) Incomplete() bool { return s.incomplete }

// Contains reports whether a server is listed.
func (s *EndpointSet) Contains(id balancer.Server) bool {
	_, ok := s.endpoints[id]
	return ok
}

// Address returns the address of a server. It is invalid if the server is not listed or its address could not be
// parsed.
func (s *EndpointSet) Address(id balancer.Server) netip.AddrPort { return s.endpoints[id].address }

// EverListed reports whether any server has been listed, now or earlier.
func (s *EndpointSet) EverListed() bool { return s.everListed }

// Len returns the number of listed servers.
func (s *EndpointSet) Len() int { return len(s.endpoints) }

// LoadCached replaces the set by a list that was stored earlier and may be out of date.
func (s *EndpointSet) LoadCached(list *discovery.List, events *balancer.Events) {
	s.merge(list, balancer.CachedList, events)
	s.completeVersion = s.version
	s.incomplete = false
}

// Apply applies a list from discovery and reports whether the set is complete afterwards. first is true for the first
// list on a connection.
//
// A list older than the set is ignored unless it is full and the first one, since discovery may have restarted. If an
// entry cannot be used, the others are still applied, and the set is incomplete until the first list of a new connection.
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

// accepts reports whether a list is to be applied: it is newer than the set or may replace it.
func (s *EndpointSet) accepts(list *discovery.List, first bool) bool {
	switch {
	case list.Version > s.version:
		return true
	case list.Version == s.version:
		return first || list.Full
	}
	return first && list.Full
}

// merge updates the set with a list and reports whether every entry could be used.
func (s *EndpointSet) merge(list *discovery.List, scope balancer.ListScope, events *balancer.Events) bool {
	s.version = list.Version
	malformedBefore := s.Malformed
	s.Malformed += uint64(list.Malformed)
	if scope == balancer.FullList && list.Malformed > 0 { // a server that seems absent may belong to an unreadable entry
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

// mergeServer updates one server. If its entry cannot be used, the server keeps its state from previous, except that the
// draining state is always applied.
func (s *EndpointSet) mergeServer(server discovery.Server, previous map[balancer.Server]listedEndpoint) (balancer.Endpoint, bool) {
	endpoint, usable := s.endpoint(server)
	if usable && endpoint.Phase == balancer.Removed {
		delete(s.endpoints, endpoint.Server)
		return endpoint, true
	}
	if usable {
		address, _ := netip.ParseAddrPort(server.Address) // a server without a valid address gets no health checks
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

// endpoint converts an entry and reports whether it can be used. For a removed server only the ID is checked.
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
	endpoint.Kind = balancer.Kind(max(slices.Index(s.machineKinds, server.Kind), 0)) // an unknown kind is treated as the first one
	usable := server.ID != "" && !server.Malformed && endpoint.Zone >= 0 && server.NumbersValid()
	return endpoint, usable
}
