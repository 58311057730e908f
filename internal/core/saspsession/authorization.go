package saspsession

import (
	"bytes"

	"snowquay/internal/wire/sasp"
)

// authorize checks that the sender of a message may change the groups in it. It returns the balancer that owns the
// groups, or nil if a member or its agent sends the message.
func (s *Server) authorize(now float64, conn *connection, message *sasp.Message) (*loadBalancer, sasp.Code) {
	fromBalancer := message.LB == sasp.FromBalancer
	if len(message.Groups) == 0 && fromBalancer && conn.role == roleBalancer {
		return s.balancers[conn.uid], sasp.OK
	}
	if len(message.Groups) == 0 {
		return nil, sasp.NotUnderstood
	}
	if code := checkDuplicates(message); code != sasp.OK {
		return nil, code
	}
	if fromBalancer {
		for _, msgGroup := range message.Groups[1:] {
			if !bytes.Equal(msgGroup.UID, message.Groups[0].UID) {
				return nil, sasp.NotAccepted
			}
		}
		return s.claimUID(now, conn, message.Groups[0].UID)
	}
	if conn.role == roleBalancer {
		return nil, sasp.NotAccepted
	}
	for _, msgGroup := range message.Groups {
		if code := s.authorizeMember(conn, message, msgGroup); code != sasp.OK {
			return nil, code
		}
	}
	conn.role = roleMember
	return nil, sasp.OK
}

// authorizeMember checks that a member or its agent may send a message with the given group.
func (s *Server) authorizeMember(conn *connection, message *sasp.Message, msgGroup sasp.Group) sasp.Code {
	if string(msgGroup.UID) != s.policy.FleetUID || s.policy.FleetUID == "" {
		lb := s.balancers[string(msgGroup.UID)]
		if lb == nil {
			return sasp.BalancerNotConnected
		}
		if !lb.trustsMembers() {
			return sasp.NotAccepted
		}
	}
	for _, row := range message.Rows[msgGroup.From:msgGroup.To] {
		if !s.policy.AnyAgent && row.AddrPort().Addr() != conn.from {
			return sasp.NotAccepted // the message is about a member on another host
		}
		record, found := s.fleet.Registry.Find(s.serverAt(row.Address))
		listed := found && record.Server != ""
		if !s.policy.AllowUnlisted && !listed {
			return sasp.NotAccepted
		}
	}
	return sasp.OK
}

// checkDuplicates rejects a message that contains a group twice, or a member twice in one group.
func checkDuplicates(message *sasp.Message) sasp.Code {
	type memberKey struct {
		group   int
		address sasp.Address
	}
	groups := make(map[string]bool, len(message.Groups))
	members := make(map[memberKey]bool, len(message.Rows))
	for i, msgGroup := range message.Groups {
		if len(msgGroup.UID) == 0 {
			return sasp.InvalidBalancer
		}
		group := string(msgGroup.UID) + "\x00" + string(msgGroup.Name)
		if groups[group] {
			return sasp.DuplicateGroup
		}
		groups[group] = true
		for _, row := range message.Rows[msgGroup.From:msgGroup.To] {
			member := memberKey{group: i, address: row.Address}
			if members[member] {
				return sasp.DuplicateMember
			}
			members[member] = true
		}
	}
	return sasp.OK
}
