package platformstate

import (
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/wire/discovery"
)

// Servers are those that discovery has listed and not taken back, and where they are probed.
type Servers struct {
	zones, kinds []string
	listed       map[balancer.Server]listed
	version      int64
	whole        int64 // version up to which all was read
	owed         bool  // something after it was not
	told         bool  // of a server

	Spoilt uint64 // entries that could not be used
}

// listed is a server as it was last told.
type listed struct {
	addr  netip.AddrPort
	entry balancer.Endpoint
}

// NewServers makes an empty list. Zones and kinds go by name on the wire, and by place in the module.
func NewServers(zones, kinds []string) *Servers {
	return &Servers{zones: zones, kinds: kinds, listed: map[balancer.Server]listed{}, version: -1, whole: -1}
}

// Version is that up to which all lists were read whole.
func (s *Servers) Version() int64 { return max(s.whole, 0) }

// Newest is the version of the newest list that was taken.
func (s *Servers) Newest() int64 { return s.version }

// Owe says that a list could not be read: what it told is missing until a link has told all that is after Version.
func (s *Servers) Owe() { s.owed = true }

// Owed tells whether something of the lists is.
func (s *Servers) Owed() bool { return s.owed }

// Listed tells whether a server is, and Addr where it listens.
func (s *Servers) Listed(id balancer.Server) bool { _, ok := s.listed[id]; return ok }

// Addr of a server; not valid where it is not listed, or its address can't be read.
func (s *Servers) Addr(id balancer.Server) netip.AddrPort { return s.listed[id].addr }

// Told tells whether any server has ever been listed.
func (s *Servers) Told() bool { return s.told }

// Len is how many are listed.
func (s *Servers) Len() int { return len(s.listed) }

// Cached takes the list as it was last held.
func (s *Servers) Cached(l *discovery.List, news *balancer.Events) {
	s.take(l, balancer.CachedList, news)
	s.whole, s.owed = s.version, false
}

// Take takes what discovery tells. A link's word that is older than what is known changes nothing, unless it is the whole list
// and the first that the link says: discovery may have begun anew. Where an entry can't be used the rest counts, and what it told
// is owed; the first word of a new link makes that good. Take tells whether nothing is.
func (s *Servers) Take(l *discovery.List, first bool, news *balancer.Events) bool {
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

func (s *Servers) take(l *discovery.List, scope balancer.ListScope, news *balancer.Events) (ok bool) {
	s.version = l.Version
	list, former, spoilt := balancer.EndpointList{Scope: scope}, s.listed, s.Spoilt
	s.Spoilt += uint64(l.Spoilt)
	if scope == balancer.FullList && l.Spoilt > 0 { // nobody is gone for being in an entry that can't be read
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
			addr, _ := netip.ParseAddrPort(e.Addr) // one that can't be read is not probed
			s.listed[x.Server] = listed{addr, x}
		case known: // that it drains counts whatever else it says, and for the rest it is as it was
			if s.Spoilt++; x.Phase == balancer.Draining {
				old.entry.Phase = x.Phase
			}
			s.listed[x.Server], x = old, old.entry
		default:
			s.Spoilt++
			continue
		}
		s.told = true
		list.Endpoints = append(list.Endpoints, x)
	}
	news.Lists = append(news.Lists, list)
	return s.Spoilt == spoilt
}

func (s *Servers) entry(e discovery.Server) (balancer.Endpoint, bool) {
	x := balancer.Endpoint{Server: balancer.Server(e.ID), FailureDomain: balancer.FailureDomain(e.Cell), Weight: e.Weight, Started: e.Started / 1000}
	switch e.State {
	case discovery.Ready:
		x.Phase = balancer.Ready
	case discovery.Draining:
		x.Phase = balancer.Draining
	case discovery.Gone:
		x.Phase = balancer.Removed
		return x, e.ID != "" // its other fields tell nothing
	default:
		return x, false
	}
	x.Zone = balancer.Zone(slices.Index(s.zones, e.Zone))
	x.Kind = balancer.Kind(max(slices.Index(s.kinds, e.Kind), 0)) // a kind that nobody told of is as any
	return x, e.ID != "" && !e.Bad && x.Zone >= 0 && e.Weight >= 0 && e.Started >= 0
}
