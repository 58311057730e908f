package saspsession

import (
	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// deregister removes members of a balancer's groups, whole groups (if no members are named) or all groups (if none is
// named), or members that deregister themselves.
func (s *Server) deregister(now float64, conn *connection, message *sasp.Message) sasp.Code {
	lb, code := s.authorize(now, conn, message)
	if code != sasp.OK {
		return code
	}
	if lb == nil {
		return s.deregisterMembers(now, message)
	}
	if code := s.checkDeregistration(lb, message); code != sasp.OK {
		return code
	}
	if len(message.Groups) == 0 {
		for _, group := range lb.groupOrder {
			s.withdrawGroup(now, lb, group)
		}
		lb.groups = map[string]*group{}
		lb.groupOrder = nil
	}
	for _, named := range message.Groups {
		registered := lb.groups[string(named.Name)]
		if named.From == named.To {
			s.withdrawGroup(now, lb, registered)
			lb.removeGroup(registered)
			continue
		}
		s.removeMembers(now, lb, registered, message.Rows[named.From:named.To])
	}
	if len(lb.groupOrder) == 0 {
		s.disconnect(now, lb)
	}
	return sasp.OK
}

// checkDeregistration checks that a balancer has registered all groups and members that a message names.
func (s *Server) checkDeregistration(lb *loadBalancer, message *sasp.Message) sasp.Code {
	for _, named := range message.Groups {
		registered := lb.groups[string(named.Name)]
		if registered == nil {
			return sasp.UnknownGroup
		}
		for _, row := range message.Rows[named.From:named.To] {
			member := registered.members[s.serverAt(row.Address)]
			if member == nil || !member.byBalancer {
				return sasp.NotRegistered
			}
		}
	}
	return sasp.OK
}

// removeMembers removes a balancer's registrations of members; those that also registered themselves stay in the group.
func (s *Server) removeMembers(now float64, lb *loadBalancer, registered *group, rows []sasp.Row) {
	for _, row := range rows {
		server := s.serverAt(row.Address)
		member := registered.members[server]
		s.withdrawVoucher(now, lb, member, server)
		member.byBalancer = false
		if !member.byMember {
			registered.removeMember(server)
		}
	}
	s.scheduleGroup(now, lb, registered, len(registered.memberOrder)+1)
}

// deregisterMembers removes servers from the fleet on their own request.
func (s *Server) deregisterMembers(now float64, message *sasp.Message) sasp.Code {
	if !s.allPresent(message) {
		return sasp.NotRegistered
	}
	for _, row := range message.Rows {
		server := s.serverAt(row.Address)
		s.forgetMember(now, server)
		record, _ := s.fleet.Registry.Find(server)
		if record.DrainOrdered {
			// The end of the drain is ordered for all coordinators. If it cannot be ordered now, the coordinator that next
			// finds the server removed orders it.
			_, _ = s.handler.OrderDrain(now, server, false)
		}
		s.fleet.Registry.Deregister(now, server)
	}
	return sasp.OK
}

// allPresent reports whether all members of a message are in the registry and not removed.
func (s *Server) allPresent(message *sasp.Message) bool {
	for _, row := range message.Rows {
		record, found := s.fleet.Registry.Find(s.serverAt(row.Address))
		if !found || record.Phase == balancer.Removed {
			return false
		}
	}
	return true
}
