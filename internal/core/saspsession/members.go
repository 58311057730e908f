package saspsession

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// memberState is a server that has registered itself, or was registered by its agent. It is kept until the server
// deregisters, or the registry no longer holds it after its last connection has ended.
type memberState struct {
	conns  map[*connection]bool // open connections on which it is registered
	groups []ownedGroup         // in the order of its registrations, so that messages are the same in every run
}

// ownedGroup is a group with the balancer that has it.
type ownedGroup struct {
	*group
	owner *loadBalancer
}

// memberAt returns the state of a server, which is added if there is none.
func (s *Server) memberAt(server balancer.Server) *memberState {
	member := s.members[server]
	if member == nil {
		member = &memberState{conns: map[*connection]bool{}}
		s.members[server] = member
	}
	return member
}

// memberConnectionEnded reports to the registry the servers that are registered on no connection any more.
func (s *Server) memberConnectionEnded(now float64, conn *connection) {
	for server := range conn.servers {
		member := s.members[server]
		delete(member.conns, conn)
		if len(member.conns) == 0 {
			s.fleet.Registry.ConnectionLost(now, server)
		}
	}
}

// forgetMember takes a server's own registration out of all connections and groups.
func (s *Server) forgetMember(now float64, server balancer.Server) {
	member := s.members[server]
	if member == nil {
		return
	}
	delete(s.members, server)
	for conn := range member.conns {
		delete(conn.servers, server)
	}
	for _, left := range member.groups {
		left.members[server].byMember = false
		if !left.members[server].byBalancer {
			left.removeMember(server)
		}
		s.scheduleGroup(now, left.owner, left.group, 1)
	}
}

// forgetGroup forgets that servers have registered themselves in a group, which is being removed.
func (s *Server) forgetGroup(removed *group) {
	for _, server := range removed.memberOrder {
		if removed.members[server].byMember {
			member := s.members[server]
			member.groups = slices.DeleteFunc(member.groups, func(other ownedGroup) bool { return other.group == removed })
		}
	}
}

// forgetEndedMembers forgets the servers whose own registration the registry does not hold any more.
func (s *Server) forgetEndedMembers(now float64) {
	var ended []balancer.Server
	for server := range s.members {
		if !s.fleet.Registry.HoldsRegistration(server) {
			ended = append(ended, server)
		}
	}
	slices.Sort(ended) // messages are the same in every run
	for _, server := range ended {
		s.forgetMember(now, server)
	}
}

// registerMember registers a server on its own request, with the fleet and, if the group is one of a balancer's, with it.
func (s *Server) registerMember(now float64, conn *connection, named sasp.Group, row sasp.Row) {
	server := s.serverAt(row.Address)
	member := s.memberAt(server)
	if !member.conns[conn] || !s.fleet.Registry.HoldsRegistration(server) {
		s.logRefused(server, s.fleet.Registry.Register(now, server, s.fleet.Site().UnlistedZone))
		member.conns[conn] = true
		conn.addServer(server)
	}
	lb := s.balancers[string(named.UID)]
	if lb == nil {
		return
	}
	class, _ := s.fleet.Class(string(named.Name))
	group := lb.addGroup(string(named.Name), class)
	registered := group.addMember(server, row)
	if !registered.byMember {
		registered.byMember = true
		member.groups = append(member.groups, ownedGroup{group: group, owner: lb})
	}
	s.scheduleGroup(now, lb, group, 1)
}
