package saspsession

import (
	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// deregister handles a deregistration. From a balancer it removes the listed members of its groups, a whole group if no
// members of it are listed, or all groups if the message lists none. From a member or its agent it removes the listed
// members from the fleet.
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
	for _, msgGroup := range message.Groups {
		registered := lb.groups[string(msgGroup.Name)]
		if msgGroup.From == msgGroup.To {
			s.withdrawGroup(now, lb, registered)
			lb.removeGroup(registered)
			continue
		}
		s.removeMembers(now, lb, registered, message.Rows[msgGroup.From:msgGroup.To])
	}
	if len(lb.groupOrder) == 0 {
		s.disconnect(now, lb)
	}
	return sasp.OK
}

// checkDeregistration checks that a balancer has registered all groups and members in a message.
func (s *Server) checkDeregistration(lb *loadBalancer, message *sasp.Message) sasp.Code {
	for _, msgGroup := range message.Groups {
		registered := lb.groups[string(msgGroup.Name)]
		if registered == nil {
			return sasp.UnknownGroup
		}
		for _, row := range message.Rows[msgGroup.From:msgGroup.To] {
			member := registered.members[s.serverAt(row.Address)]
			if member == nil || !member.byBalancer {
				return sasp.NotRegistered
			}
		}
	}
	return sasp.OK
}

// removeMembers removes a balancer's registrations of members. Members that also registered themselves stay in the
// group.
func (s *Server) removeMembers(now float64, lb *loadBalancer, registered *group, rows []sasp.Row) {
	for _, row := range rows {
		server := s.serverAt(row.Address)
		member := registered.members[server]
		s.withdrawListing(now, lb, member, server)
		member.byBalancer = false
		if !member.byMember {
			registered.removeMember(server)
		}
	}
	s.scheduleGroup(now, lb, registered, len(registered.memberOrder)+1)
}

// deregisterMembers removes servers from the fleet at their own request.
func (s *Server) deregisterMembers(now float64, message *sasp.Message) sasp.Code {
	if !s.allPresent(message) {
		return sasp.NotRegistered
	}
	for _, row := range message.Rows {
		server := s.serverAt(row.Address)
		s.removeSelfRegistration(now, server)
		record, _ := s.fleet.Registry.Find(server)
		if record.DrainOrdered {
			// The end of the drain is ordered for all coordinators. If the order is not accepted now, the coordinator
			// that next finds the server removed will order it.
			_, _ = s.handler.OrderDrain(now, server, false)
		}
		s.fleet.Registry.Deregister(now, server)
	}
	return sasp.OK
}

// allPresent reports whether all members in a message are in the registry and not in the phase Removed.
func (s *Server) allPresent(message *sasp.Message) bool {
	for _, row := range message.Rows {
		record, found := s.fleet.Registry.Find(s.serverAt(row.Address))
		if !found || record.Phase == balancer.Removed {
			return false
		}
	}
	return true
}
