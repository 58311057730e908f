package saspsession

import (
	"bytes"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// group is a group of members that a balancer has registered; it stands for a request class.
type group struct {
	name        string
	nameBytes   []byte
	class       balancer.Class
	members     map[balancer.Server]*registration
	memberOrder []balancer.Server // in the order of their registration, so that messages are the same in every run
}

// registration is a member of a group.
type registration struct {
	label      []byte
	opaque     uint8
	byBalancer bool // the balancer registered it
	byMember   bool // the member registered itself
	quiesced   bool // the balancer quiesced it for itself alone
}

// addGroup returns the group of a name, which is added if the balancer has none.
func (lb *loadBalancer) addGroup(name string, class balancer.Class) *group {
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

// addMember returns the registration of a member, which is added if there is none, with the label of the row.
func (g *group) addMember(server balancer.Server, row sasp.Row) *registration {
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

// withdrawGroup takes back a balancer's vouchers for the members of a group, which is being removed.
func (s *Server) withdrawGroup(now float64, lb *loadBalancer, group *group) {
	s.forgetGroup(group)
	for _, server := range group.memberOrder {
		s.withdrawVoucher(now, lb, group.members[server], server)
	}
}

func (s *Server) withdrawVoucher(now float64, lb *loadBalancer, member *registration, server balancer.Server) {
	if member.byBalancer && s.policy.BalancersRegister {
		_ = s.fleet.Registry.AdjustListings(now, server, s.zoneOf(lb), -1) // fails only for a new server in a full registry
	}
}

func remove[T comparable](list []T, removed T) []T {
	return slices.DeleteFunc(list, func(value T) bool { return value == removed })
}
