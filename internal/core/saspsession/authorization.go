package saspsession

import (
	"bytes"

	"snowquay/internal/wire/sasp"
)

// authorize checks that the sender of a message may change the groups that it names. It returns the balancer whose groups
// they are, or nil if a member sends the message about itself.
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
		for _, named := range message.Groups[1:] {
			if !bytes.Equal(named.UID, message.Groups[0].UID) {
				return nil, sasp.NotAccepted
			}
		}
		return s.claim(now, conn, message.Groups[0].UID)
	}
	if conn.role == roleBalancer {
		return nil, sasp.NotAccepted
	}
	for _, named := range message.Groups {
		if code := s.authorizeMember(conn, message, named); code != sasp.OK {
			return nil, code
		}
	}
	conn.role = roleMember
	return nil, sasp.OK
}

// authorizeMember checks one group of a message that a member or its agent sends.
func (s *Server) authorizeMember(conn *connection, message *sasp.Message, named sasp.Group) sasp.Code {
	if string(named.UID) != s.policy.FleetUID || s.policy.FleetUID == "" {
		lb := s.balancers[string(named.UID)]
		if lb == nil {
			return sasp.BalancerNotConnected
		}
		if !lb.trustsMembers() {
			return sasp.NotAccepted
		}
	}
	for _, row := range message.Rows[named.From:named.To] {
		if !s.policy.AnyAgent && row.AddrPort().Addr() != conn.from {
			return sasp.NotAccepted // it speaks for another host
		}
		record, found := s.fleet.Registry.Find(s.serverAt(row.Address))
		listed := found && record.Server != ""
		if !s.policy.AllowUnlisted && !listed {
			return sasp.NotAccepted
		}
	}
	return sasp.OK
}

// checkDuplicates rejects a message that names a group twice, or a member twice in one group.
func checkDuplicates(message *sasp.Message) sasp.Code {
	type memberKey struct {
		group   int
		address sasp.Address
	}
	groups := make(map[string]bool, len(message.Groups))
	members := make(map[memberKey]bool, len(message.Rows))
	for i, named := range message.Groups {
		if len(named.UID) == 0 {
			return sasp.InvalidBalancer
		}
		group := string(named.UID) + "\x00" + string(named.Name)
		if groups[group] {
			return sasp.DuplicateGroup
		}
		groups[group] = true
		for _, row := range message.Rows[named.From:named.To] {
			member := memberKey{group: i, address: row.Address}
			if members[member] {
				return sasp.DuplicateMember
			}
			members[member] = true
		}
	}
	return sasp.OK
}
