package saspsession

import (
	"slices"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// memberState is the state of a server that registered itself or was registered by its agent. It is kept until the
// server deregisters, or until the registry ends its registration some time after its last connection has ended.
type memberState struct {
	conns  map[*connection]bool // open connections on which the server is registered
	groups []ownedGroup         // groups in order of registration, so that messages are the same in every run
}

// ownedGroup is a group and the balancer that it belongs to.
type ownedGroup struct {
	*group
	owner *loadBalancer
}

// ensureMemberState returns the state of a server and adds it if there is none.
func (s *Server) ensureMemberState(server balancer.Server) *memberState {
	member := s.members[server]
	if member == nil {
		member = &memberState{conns: map[*connection]bool{}}
		s.members[server] = member
	}
	return member
}

// memberConnectionEnded removes a connection from the states of its servers. It reports to the registry the servers
// that are not registered on any other connection.
func (s *Server) memberConnectionEnded(now float64, conn *connection) {
	for server := range conn.servers {
		member := s.members[server]
		delete(member.conns, conn)
		if len(member.conns) == 0 {
			s.fleet.Registry.ConnectionLost(now, server)
		}
	}
}

// removeSelfRegistration removes a server's own registration from all connections and groups.
func (s *Server) removeSelfRegistration(now float64, server balancer.Server) {
	member := s.members[server]
	if member == nil {
		return
	}
	delete(s.members, server)
	for conn := range member.conns {
		delete(conn.servers, server)
	}
	for _, owned := range member.groups {
		owned.members[server].byMember = false
		if !owned.members[server].byBalancer {
			owned.removeMember(server)
		}
		s.scheduleGroup(now, owned.owner, owned.group, 1)
	}
}

// detachGroup removes a group that is being removed from the states of the servers that registered themselves in it.
func (s *Server) detachGroup(removed *group) {
	for _, server := range removed.memberOrder {
		if removed.members[server].byMember {
			member := s.members[server]
			member.groups = slices.DeleteFunc(member.groups, func(other ownedGroup) bool { return other.group == removed })
		}
	}
}

// removeEndedSelfRegistrations removes the servers' own registrations that the registry has ended.
func (s *Server) removeEndedSelfRegistrations(now float64) {
	var ended []balancer.Server
	for server := range s.members {
		if !s.fleet.Registry.HoldsRegistration(server) {
			ended = append(ended, server)
		}
	}
	slices.Sort(ended) // so that messages are the same in every run
	for _, server := range ended {
		s.removeSelfRegistration(now, server)
	}
}

// registerMember registers a server at its own request with the fleet, and also with the balancer that the group
// belongs to, if there is one.
func (s *Server) registerMember(now float64, conn *connection, msgGroup sasp.Group, row sasp.Row) {
	server := s.serverAt(row.Address)
	member := s.ensureMemberState(server)
	if !member.conns[conn] || !s.fleet.Registry.HoldsRegistration(server) {
		s.logRegistryError(server, s.fleet.Registry.Register(now, server, s.fleet.Site().UnlistedZone))
		member.conns[conn] = true
		conn.addServer(server)
	}
	lb := s.balancers[string(msgGroup.UID)]
	if lb == nil {
		return
	}
	class, _ := s.fleet.Class(string(msgGroup.Name))
	group := lb.ensureGroup(string(msgGroup.Name), class)
	registered := group.ensureMember(server, row)
	if !registered.byMember {
		registered.byMember = true
		member.groups = append(member.groups, ownedGroup{group: group, owner: lb})
	}
	s.scheduleGroup(now, lb, group, 1)
}
