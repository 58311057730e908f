package balancer

import (
	"cmp"
	"math"
	"slices"
)

// applyEndpointList updates the known servers from an endpoint list.
func (b *Balancer) applyEndpointList(now float64, list EndpointList) {
	endpoints := list.Endpoints
	if list.Scope == FullList {
		endpoints = slices.Concat(endpoints, b.missingFrom(endpoints))
	}
	for _, endpoint := range endpoints {
		b.applyEndpoint(now, plausibleEndpoint(endpoint), list.Scope)
	}
	slices.SortStableFunc(b.servers, func(left, right *server) int { return cmp.Compare(left.Zone, right.Zone) })
	for i, srv := range b.servers {
		srv.position = i
	}
}

// missingFrom returns a removal for each known server that is absent from a full list.
func (b *Balancer) missingFrom(endpoints []Endpoint) []Endpoint {
	var removals []Endpoint
	for _, srv := range b.servers {
		listed := func(endpoint Endpoint) bool { return endpoint.Server == srv.Server }
		if !slices.ContainsFunc(endpoints, listed) {
			removals = append(removals, Endpoint{Server: srv.Server, Phase: Removed})
		}
	}
	return removals
}

func (b *Balancer) applyEndpoint(now float64, endpoint Endpoint, scope ListScope) {
	srv := b.serverByAddress[endpoint.Server]
	if srv == nil {
		if endpoint.Phase != Removed {
			b.addServer(now, endpoint, scope)
		}
		return
	}
	if endpoint.Phase == Removed {
		if b.guarantees.RemovalIsAdvisory && srv.Phase == Ready {
			srv.delisted = true // the list may be wrong: keep the server while it responds
		} else {
			srv.Phase = Removed
		}
		return
	}
	restarted := endpoint.Started != srv.Started || srv.Phase != Ready
	if endpoint.Phase == Ready && restarted {
		*srv = server{Endpoint: endpoint, discoveredAt: now} // a new process: discard the state of the old one
		return
	}
	srv.Endpoint = endpoint
	srv.delisted = false
}

func (b *Balancer) addServer(now float64, endpoint Endpoint, scope ListScope) {
	srv := &server{Endpoint: endpoint, discoveredAt: now}
	if scope == CachedList {
		srv.discoveredAt = math.Inf(-1)
	}
	b.serverByAddress[endpoint.Server] = srv
	b.servers = append(b.servers, srv)
}
