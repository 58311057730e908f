package saspsession

import (
	"snowquay/balancer"
	"snowquay/internal/core/registry"
	"snowquay/internal/wire/sasp"
)

// register handles a registration, in which a balancer adds members to its groups, or members register themselves.
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
	for _, msgGroup := range message.Groups {
		s.addMembers(now, lb, message, msgGroup)
	}
	return sasp.OK
}

// checkRegistration checks the groups in a registration. sender is nil if members register themselves.
func (s *Server) checkRegistration(conn *connection, sender *loadBalancer, message *sasp.Message) sasp.Code {
	added := map[*loadBalancer]int{} // number of new groups of each balancer
	for _, msgGroup := range message.Groups {
		if len(msgGroup.Name) == 0 {
			return sasp.InvalidGroupName
		}
		if _, ok := s.fleet.Class(string(msgGroup.Name)); !ok {
			return sasp.InvalidGroup
		}
		owner := sender
		if sender == nil {
			owner = s.balancers[string(msgGroup.UID)]
		}
		if owner == nil { // the members register only with the fleet
			continue
		}
		if owner.groups[string(msgGroup.Name)] == nil {
			added[owner]++
		}
		if len(owner.groupOrder)+added[owner] > s.limits.MaxGroups {
			return sasp.InvalidGroup
		}
		if code := s.checkMembers(conn, owner, sender != nil, message, msgGroup); code != sasp.OK {
			return code
		}
	}
	return sasp.OK
}

// checkMembers checks the members that a registration adds to a group of a balancer. A server that registers again on a
// different connection is not a duplicate, since its earlier connection may be broken without this being known.
func (s *Server) checkMembers(conn *connection, owner *loadBalancer, byBalancer bool, message *sasp.Message, msgGroup sasp.Group) sasp.Code {
	existing := owner.groups[string(msgGroup.Name)]
	members := 0
	if existing != nil {
		members = len(existing.memberOrder)
	}
	for _, row := range message.Rows[msgGroup.From:msgGroup.To] {
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

// hasRoomFor reports whether the registry has room for all servers in a registration, and logs if it has not.
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

// addMembers registers the members of one group for a balancer. The caller has checked the message with
// checkRegistration and, if balancers put servers into service, hasRoomFor.
func (s *Server) addMembers(now float64, lb *loadBalancer, message *sasp.Message, msgGroup sasp.Group) {
	class, _ := s.fleet.Class(string(msgGroup.Name))
	group := lb.ensureGroup(string(msgGroup.Name), class)
	for _, row := range message.Rows[msgGroup.From:msgGroup.To] {
		server := s.serverAt(row.Address)
		if s.policy.BalancersRegister {
			s.logRegistryError(server, s.fleet.Registry.AdjustListings(now, server, s.zoneOf(lb), 1))
		}
		group.ensureMember(server, row).byBalancer = true
	}
	s.scheduleGroup(now, lb, group, len(group.memberOrder)+1)
}

func (s *Server) registerMembers(now float64, conn *connection, message *sasp.Message) sasp.Code {
	if !s.hasRoomFor(now, message) {
		return sasp.NotAccepted
	}
	for _, msgGroup := range message.Groups {
		for _, row := range message.Rows[msgGroup.From:msgGroup.To] {
			s.registerMember(now, conn, msgGroup, row)
		}
	}
	return sasp.OK
}

// logRegistryError logs an error of the registry, if there is one. None is expected, since hasRoomFor was called
// before.
func (s *Server) logRegistryError(server balancer.Server, err error) {
	if err != nil {
		s.handler.Log("server refused", "server", server, "error", err)
	}
}
