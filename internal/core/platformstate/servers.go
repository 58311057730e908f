package platformstate

import (
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/wire/discovery"
)

// EndpointSet are those that discovery has listed and not taken back, and where they are probed.
type EndpointSet struct {
	zones, kinds []string
	listed       map[balancer.Server]listed
	version      int64
	whole        int64 // version up to which all was read
	owed         bool  // something after it was not
	told         bool  // of a server

	Malformed uint64 // entries that could not be used
}

// listed is a server as it was last told.
type listed struct {
	addr  netip.AddrPort
	entry balancer.Endpoint
}

// NewEndpointSet makes an empty list. Zones and kinds go by name on the wire, and by place in the module.
func NewEndpointSet(zones, kinds []string) *EndpointSet {
	return &EndpointSet{zones: zones, kinds: kinds, listed: map[balancer.Server]listed{}, version: -1, whole: -1}
}

// CompleteVersion is that up to which all lists were read whole.
func (s *EndpointSet) CompleteVersion() int64 { return max(s.whole, 0) }

// NewestVersion is the version of the newest list that was taken.
func (s *EndpointSet) NewestVersion() int64 { return s.version }

// MarkIncomplete says that a list could not be read: what it told is missing until a link has told all that is after Version.
func (s *EndpointSet) MarkIncomplete() { s.owed = true }

// Incomplete tells whether something of the lists is.
func (s *EndpointSet) Incomplete() bool { return s.owed }

// Contains tells whether a server is, and Addr where it listens.
func (s *EndpointSet) Contains(id balancer.Server) bool { _, ok := s.listed[id]; return ok }

// Address of a server; not valid where it is not listed, or its address can't be read.
func (s *EndpointSet) Address(id balancer.Server) netip.AddrPort { return s.listed[id].addr }

// EverListed tells whether any server has ever been listed.
func (s *EndpointSet) EverListed() bool { return s.told }

// Len is how many are listed.
func (s *EndpointSet) Len() int { return len(s.listed) }

// LoadCached takes the list as it was last held.
func (s *EndpointSet) LoadCached(l *discovery.List, news *balancer.Events) {
	s.take(l, balancer.CachedList, news)
	s.whole, s.owed = s.version, false
}

// Apply takes what discovery tells. A link's word that is older than what is known changes nothing, unless it is the whole list
// and the first that the link says: discovery may have begun anew. Where an entry can't be used the rest counts, and what it told
// is owed; the first word of a new link makes that good. Take tells whether nothing is.
func (s *EndpointSet) Apply(l *discovery.List, first bool, news *balancer.Events) bool {
	if first && l.Version >= s.version || l.Version > s.version || l.Full && (first || l.Version == s.version) {
		scope := balancer.DeltaList
		if l.Full {
			scope = balancer.FullList
		}
		ok := s.take(l, scope, news)
		if s.owed = !ok || s.owed && !first && !l.Full; !s.owed {
			s.whole = l.Version
		}
	}
	return !s.owed
}

func (s *EndpointSet) take(l *discovery.List, scope balancer.ListScope, news *balancer.Events) (ok bool) {
	s.version = l.Version
	list, former, spoilt := balancer.EndpointList{Scope: scope}, s.listed, s.Malformed
	s.Malformed += uint64(l.Malformed)
	if scope == balancer.FullList && l.Malformed > 0 { // nobody is gone for being in an entry that can't be read
		list.Scope, scope = balancer.DeltaList, balancer.DeltaList
	}
	if scope != balancer.DeltaList {
		s.listed = map[balancer.Server]listed{}
	}
	for _, e := range l.Servers {
		x, good := s.entry(e)
		old, known := former[x.Server]
		switch {
		case good && x.Phase == balancer.Removed:
			delete(s.listed, x.Server)
		case good:
			addr, _ := netip.ParseAddrPort(e.Address) // one that can't be read is not probed
			s.listed[x.Server] = listed{addr, x}
		case known: // that it drains counts whatever else it says, and for the rest it is as it was
			if s.Malformed++; x.Phase == balancer.Draining {
				old.entry.Phase = x.Phase
			}
			s.listed[x.Server], x = old, old.entry
		default:
			s.Malformed++
			continue
		}
		s.told = true
		list.Endpoints = append(list.Endpoints, x)
	}
	news.Lists = append(news.Lists, list)
	return s.Malformed == spoilt
}

func (s *EndpointSet) entry(e discovery.Server) (balancer.Endpoint, bool) {
	x := balancer.Endpoint{Server: balancer.Server(e.ID), FailureDomain: balancer.FailureDomain(e.FailureDomain), Weight: e.Weight, Started: e.StartedMS / 1000}
	switch e.State {
	case discovery.Ready:
		x.Phase = balancer.Ready
	case discovery.Draining:
		x.Phase = balancer.Draining
	case discovery.Removed:
		x.Phase = balancer.Removed
		return x, e.ID != "" // its other fields tell nothing
	default:
		return x, false
	}
	x.Zone = balancer.Zone(slices.Index(s.zones, e.Zone))
	x.Kind = balancer.Kind(max(slices.Index(s.kinds, e.Kind), 0)) // a kind that nobody told of is as any
	return x, e.ID != "" && !e.Malformed && x.Zone >= 0 && e.Weight >= 0 && e.StartedMS >= 0
}
