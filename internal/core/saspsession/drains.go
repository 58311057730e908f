package saspsession

import (
	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// drainRequest is a message with drain orders. It is answered when the outcome of all of them is known.
type drainRequest struct {
	conn     Conn   // connection of the sender
	id       uint32 // message ID, which the reply repeats
	pending  int    // orders whose outcome is not known yet
	rejected bool   // at least one order was rejected
}

func (r *drainRequest) code() sasp.Code {
	if r.rejected {
		return sasp.NotAccepted
	}
	return sasp.OK
}

// setMember handles a message with member states. A member or its agent drains the member for the whole fleet, while a
// balancer quiesces a member only for itself. pending reports that the reply is sent later, by OrderCompleted.
func (s *Server) setMember(now float64, conn *connection, message *sasp.Message) (code sasp.Code, pending bool) {
	lb, code := s.authorize(now, conn, message)
	if code != sasp.OK {
		return code, false
	}
	if lb == nil {
		return s.drainMembers(now, conn, message)
	}
	return s.quiesceMembers(now, lb, message), false
}

// drainMembers starts or ends drains for the whole fleet. If several coordinators share the fleet, the reply is sent
// after they have agreed on every order in the message. If one of the orders is rejected, the message is rejected,
// although the others may have been applied; the sender may send the message again.
func (s *Server) drainMembers(now float64, conn *connection, message *sasp.Message) (code sasp.Code, pending bool) {
	if !s.allPresentOrDraining(message) {
		return sasp.NotRegistered, false
	}
	request := &drainRequest{conn: conn.id, id: message.ID}
	for _, row := range message.Rows {
		server := s.serverAt(row.Address)
		quiesced := row.Flags&sasp.Quiesce != 0
		ticket, accepted := s.handler.OrderDrain(now, server, quiesced)
		switch {
		case !accepted:
			request.rejected = true
		case ticket == 0:
			s.fleet.Registry.SetDrain(now, server, quiesced)
		default:
			request.pending++
			s.pendingDrains[ticket] = request
		}
		s.handler.Log("member state", "server", server, "quiesced", quiesced, "from", conn.from, "accepted", accepted)
	}
	s.fleet.Persist() // before the reply; the drain is in force even if the write fails
	if request.pending > 0 {
		return sasp.OK, true
	}
	return request.code(), false
}

// allPresentOrDraining reports whether all members in a message are in the registry, and either not in the phase
// Removed or under a drain order, which stays in force while the server is absent.
func (s *Server) allPresentOrDraining(message *sasp.Message) bool {
	for _, row := range message.Rows {
		record, found := s.fleet.Registry.Find(s.serverAt(row.Address))
		if !found || record.Phase == balancer.Removed && !record.DrainOrdered {
			return false
		}
	}
	return true
}

// OrderCompleted handles the outcome of a drain order that was given a ticket. accepted reports whether the
// coordinators agreed on the order.
func (s *Server) OrderCompleted(now float64, ticket uint64, accepted bool) {
	request := s.pendingDrains[ticket]
	if request == nil {
		return
	}
	delete(s.pendingDrains, ticket)
	request.pending--
	request.rejected = request.rejected || !accepted
	conn := s.conns[request.conn]
	if request.pending > 0 || conn == nil {
		return
	}
	if request.rejected {
		s.Stats.Rejected++
		s.handler.Log("message rejected", "kind", sasp.SetMember, "reason", "coordinators did not agree in time",
			"from", conn.from)
	}
	s.reply(now, conn, sasp.ReplyTo(sasp.SetMember), request.id, request.code())
}

// quiesceMembers stores the states that a balancer sets for members of its groups.
func (s *Server) quiesceMembers(now float64, lb *loadBalancer, message *sasp.Message) sasp.Code {
	for _, msgGroup := range message.Groups {
		registered := lb.groups[string(msgGroup.Name)]
		if registered == nil {
			return sasp.UnknownGroup
		}
		for _, row := range message.Rows[msgGroup.From:msgGroup.To] {
			if registered.members[s.serverAt(row.Address)] == nil {
				return sasp.NotRegistered
			}
		}
	}
	for _, msgGroup := range message.Groups {
		registered := lb.groups[string(msgGroup.Name)]
		for _, row := range message.Rows[msgGroup.From:msgGroup.To] {
			member := registered.members[s.serverAt(row.Address)]
			member.quiesced = row.Flags&sasp.Quiesce != 0
			member.opaque = row.Opaque
		}
		s.scheduleGroup(now, lb, registered, msgGroup.To-msgGroup.From)
	}
	return sasp.OK
}
