package saspsession

import (
	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// register adds members to groups of a balancer, or members that register themselves.
func (s *Server) register(now float64, conn *connection, message *sasp.Message) sasp.Code {
	lb, code := s.authorize(now, conn, message)
	if code != sasp.OK {
		return code
	}
	for _, named := range message.Groups {
		if code := s.checkRegistration(lb, message, named); code != sasp.OK {
			return code
		}
	}
	if lb == nil {
		return s.registerMembers(now, conn, message)
	}
	if code := s.join(now, lb); code != sasp.OK {
		return code
	}
	for _, named := range message.Groups {
		if code := s.addMembers(now, lb, message, named); code != sasp.OK {
			return code
		}
	}
	return sasp.OK
}

// checkRegistration checks one group of a registration. lb is nil if members register themselves.
func (s *Server) checkRegistration(lb *loadBalancer, message *sasp.Message, named sasp.Group) sasp.Code {
	if len(named.Name) == 0 {
		return sasp.InvalidGroupName
	}
	if _, ok := s.fleet.Class(string(named.Name)); !ok {
		return sasp.InvalidGroup
	}
	if lb == nil {
		return sasp.OK
	}
	existing := lb.groups[string(named.Name)]
	if existing == nil && len(lb.groupOrder) >= s.limits.MaxGroups {
		return sasp.InvalidGroup
	}
	members := named.To - named.From
	if existing != nil {
		for _, row := range message.Rows[named.From:named.To] {
			member := existing.members[s.serverAt(row.Address)]
			if member != nil && member.byBalancer {
				return sasp.AlreadyRegistered
			}
		}
		members += len(existing.memberOrder)
	}
	if members > s.limits.MaxMembers {
		return sasp.NotAccepted
	}
	return sasp.OK
}

// addMembers registers the members of one group for a balancer.
func (s *Server) addMembers(now float64, lb *loadBalancer, message *sasp.Message, named sasp.Group) sasp.Code {
	class, _ := s.fleet.Class(string(named.Name))
	group := lb.addGroup(string(named.Name), class)
	for _, row := range message.Rows[named.From:named.To] {
		server := s.serverAt(row.Address)
		if s.policy.BalancersRegister {
			if err := s.fleet.Registry.AdjustVouchers(now, server, s.zoneOf(lb), 1); err != nil {
				s.handler.Log("server refused", "server", server, "error", err)
				return sasp.NotAccepted
			}
		}
		group.addMember(server, row).byBalancer = true
	}
	s.scheduleGroup(now, lb, group, len(group.memberOrder)+1)
	return sasp.OK
}

func (s *Server) registerMembers(now float64, conn *connection, message *sasp.Message) sasp.Code {
	for _, named := range message.Groups {
		for _, row := range message.Rows[named.From:named.To] {
			if code := s.registerMember(now, conn, named, row); code != sasp.OK {
				return code
			}
		}
	}
	return sasp.OK
}

// registerMember registers a server on its own request, with the fleet and, if the group is one of a balancer's, with it.
func (s *Server) registerMember(now float64, conn *connection, named sasp.Group, row sasp.Row) sasp.Code {
	server := s.serverAt(row.Address)
	if conn.servers[server] == 0 {
		if err := s.fleet.Registry.Register(now, server, s.fleet.Site().UnlistedZone); err != nil {
			s.handler.Log("server refused", "server", server, "error", err)
			return sasp.NotAccepted
		}
	}
	if conn.servers == nil {
		conn.servers = map[balancer.Server]int{}
	}
	conn.servers[server]++
	lb := s.balancers[string(named.UID)]
	if lb == nil {
		return sasp.OK
	}
	class, _ := s.fleet.Class(string(named.Name))
	group := lb.addGroup(string(named.Name), class)
	existing := group.members[server]
	if existing != nil && existing.byMember {
		conn.servers[server]--
		return sasp.AlreadyRegistered
	}
	group.addMember(server, row).byMember = true
	s.scheduleGroup(now, lb, group, 1)
	return sasp.OK
}
