package saspsession

import (
	"bytes"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// group is a group of members of one balancer. It corresponds to the request class of the same name.
type group struct {
	name        string
	nameBytes   []byte
	class       balancer.Class
	members     map[balancer.Server]*registration
	memberOrder []balancer.Server // in order of registration, so that messages are the same in every run
}

// registration is the registration of a member in a group.
type registration struct {
	label      []byte // as sent in the last registration
	opaque     uint8  // opaque state that the balancer set, which is sent back to it
	byBalancer bool   // the balancer registered it
	byMember   bool   // the member registered itself
	quiesced   bool   // the balancer quiesced it, only for itself
}

// ensureGroup returns the balancer's group of the given name and adds it if it does not exist.
func (lb *loadBalancer) ensureGroup(name string, class balancer.Class) *group {
	existing := lb.groups[name]
	if existing != nil {
		return existing
	}
	added := &group{
		name:      name,
		nameBytes: []byte(name),
		class:     class,
		members:   map[balancer.Server]*registration{},
	}
	lb.groups[name] = added
	lb.groupOrder = append(lb.groupOrder, added)
	return added
}

func (lb *loadBalancer) removeGroup(removed *group) {
	delete(lb.groups, removed.name)
	lb.groupOrder = remove(lb.groupOrder, removed)
}

// ensureMember returns the registration of a member and adds it if there is none. It sets the label to that of the row.
func (g *group) ensureMember(server balancer.Server, row sasp.Row) *registration {
	member := g.members[server]
	if member == nil {
		member = &registration{}
		g.members[server] = member
		g.memberOrder = append(g.memberOrder, server)
	}
	member.label = bytes.Clone(row.Label)
	return member
}

func (g *group) removeMember(server balancer.Server) {
	delete(g.members, server)
	g.memberOrder = remove(g.memberOrder, server)
}

// withdrawGroup withdraws a balancer's listings of the members of a group that is being removed, and removes the group
// from the states of servers that registered themselves in it.
func (s *Server) withdrawGroup(now float64, lb *loadBalancer, group *group) {
	s.detachGroup(group)
	for _, server := range group.memberOrder {
		s.withdrawListing(now, lb, group.members[server], server)
	}
}

// withdrawListing reports to the registry that a balancer no longer lists a server in one of its groups.
func (s *Server) withdrawListing(now float64, lb *loadBalancer, member *registration, server balancer.Server) {
	if member.byBalancer && s.policy.BalancersRegister {
		_ = s.fleet.Registry.AdjustListings(now, server, s.zoneOf(lb), -1) // fails only for a new server in a full registry
	}
}

func remove[T comparable](list []T, removed T) []T {
	return slices.DeleteFunc(list, func(value T) bool { return value == removed })
}
