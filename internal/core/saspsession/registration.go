package saspsession

import (
	"snowquay/balancer"
	"snowquay/internal/core/registry"
	"snowquay/internal/wire/sasp"
)

// register adds members to groups of a balancer, or members that register themselves.
func (s *Server) register(now float64, conn *connection, message *sasp.Message) sasp.Code {
	lb, code := s.authorize(now, conn, message)
	if code != sasp.OK {
		return code
	}
	if code := s.checkRegistration(conn, lb, message); code != sasp.OK {
		return code
	}
	if lb == nil {
		return s.registerMembers(now, conn, message)
	}
	if s.policy.BalancersRegister && !s.hasRoomFor(now, message) {
		return sasp.NotAccepted
	}
	if code := s.join(now, lb); code != sasp.OK {
		return code
	}
	for _, named := range message.Groups {
		s.addMembers(now, lb, message, named)
	}
	return sasp.OK
}

// checkRegistration checks the groups of a registration. sender is nil if members register themselves.
func (s *Server) checkRegistration(conn *connection, sender *loadBalancer, message *sasp.Message) sasp.Code {
	added := map[*loadBalancer]int{} // groups
	for _, named := range message.Groups {
		if len(named.Name) == 0 {
			return sasp.InvalidGroupName
		}
		if _, ok := s.fleet.Class(string(named.Name)); !ok {
			return sasp.InvalidGroup
		}
		owner := sender
		if sender == nil {
			owner = s.balancers[string(named.UID)]
		}
		if owner == nil { // members register with the fleet alone
			continue
		}
		if owner.groups[string(named.Name)] == nil {
			added[owner]++
		}
		if len(owner.groupOrder)+added[owner] > s.limits.MaxGroups {
			return sasp.InvalidGroup
		}
		if code := s.checkMembers(conn, owner, sender != nil, message, named); code != sasp.OK {
			return code
		}
	}
	return sasp.OK
}

// checkMembers checks the members that a registration adds to a group of a balancer. A server that registers on another
// connection than before is not registered twice: its earlier connection may be broken without being known to be.
func (s *Server) checkMembers(conn *connection, owner *loadBalancer, byBalancer bool, message *sasp.Message, named sasp.Group) sasp.Code {
	existing := owner.groups[string(named.Name)]
	members := 0
	if existing != nil {
		members = len(existing.memberOrder)
	}
	for _, row := range message.Rows[named.From:named.To] {
		server := s.serverAt(row.Address)
		var member *registration
		if existing != nil {
			member = existing.members[server]
		}
		switch {
		case member == nil:
			members++
		case byBalancer && member.byBalancer, !byBalancer && member.byMember && conn.servers[server]:
			return sasp.AlreadyRegistered
		}
	}
	if members > s.limits.MaxMembers {
		return sasp.NotAccepted
	}
	return sasp.OK
}

// hasRoomFor reports whether the registry can take all servers of a registration.
func (s *Server) hasRoomFor(now float64, message *sasp.Message) bool {
	servers := make([]balancer.Server, 0, len(message.Rows))
	for _, row := range message.Rows {
		servers = append(servers, s.serverAt(row.Address))
	}
	if s.fleet.Registry.HasRoom(now, servers) {
		return true
	}
	s.handler.Log("servers refused", "error", registry.ErrFull, "servers", len(servers))
	return false
}

// addMembers registers the members of one group for a balancer, after checkRegistration and hasRoomFor.
func (s *Server) addMembers(now float64, lb *loadBalancer, message *sasp.Message, named sasp.Group) {
	class, _ := s.fleet.Class(string(named.Name))
	group := lb.addGroup(string(named.Name), class)
	for _, row := range message.Rows[named.From:named.To] {
		server := s.serverAt(row.Address)
		if s.policy.BalancersRegister {
			s.logRefused(server, s.fleet.Registry.AdjustListings(now, server, s.zoneOf(lb), 1))
		}
		group.addMember(server, row).byBalancer = true
	}
	s.scheduleGroup(now, lb, group, len(group.memberOrder)+1)
}

func (s *Server) registerMembers(now float64, conn *connection, message *sasp.Message) sasp.Code {
	if !s.hasRoomFor(now, message) {
		return sasp.NotAccepted
	}
	for _, named := range message.Groups {
		for _, row := range message.Rows[named.From:named.To] {
			s.registerMember(now, conn, named, row)
		}
	}
	return sasp.OK
}

// logRefused logs an error of the registry, which hasRoomFor has ruled out.
func (s *Server) logRefused(server balancer.Server, err error) {
	if err != nil {
		s.handler.Log("server refused", "server", server, "error", err)
	}
}
