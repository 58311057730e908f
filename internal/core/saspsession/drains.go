package saspsession

import (
	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// drainRequest is a message with drain orders whose answer waits until the outcome of all of them is known.
type drainRequest struct {
	conn    Conn
	id      uint32
	pending int  // orders without an outcome
	refused bool // at least one order was refused
}

func (r *drainRequest) code() sasp.Code {
	if r.refused {
		return sasp.NotAccepted
	}
	return sasp.OK
}

// setMember takes member states: a member (or its agent) drains itself for the whole fleet, a balancer quiesces a member
// for itself alone. pending says that OrderCompleted will answer.
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

// drainMembers starts or ends drains for the whole fleet. Where coordinators share the fleet, the answer waits until they
// have agreed on every order of the message. If part of it cannot be taken, the message is rejected and may be sent again.
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
			request.refused = true
		case ticket == 0:
			s.fleet.Registry.SetDrain(now, server, quiesced)
		default:
			request.pending++
			s.pendingDrains[ticket] = request
		}
		s.handler.Log("member state", "server", server, "quiesced", quiesced, "from", conn.from, "accepted", accepted)
	}
	s.fleet.Persist() // before the answer; a drain is in force even if the disk fails
	if request.pending > 0 {
		return sasp.OK, true
	}
	return request.code(), false
}

// allPresentOrDraining reports whether all members of a message are in the registry, and either not removed or still under
// a drain that outlives their absence.
func (s *Server) allPresentOrDraining(message *sasp.Message) bool {
	for _, row := range message.Rows {
		record, found := s.fleet.Registry.Find(s.serverAt(row.Address))
		if !found || record.Phase == balancer.Removed && !record.DrainOrdered {
			return false
		}
	}
	return true
}

// OrderCompleted reports the outcome of a drain order that was given a ticket: accepted says whether the coordinators
// agreed on it.
func (s *Server) OrderCompleted(now float64, ticket uint64, accepted bool) {
	request := s.pendingDrains[ticket]
	if request == nil {
		return
	}
	delete(s.pendingDrains, ticket)
	request.pending--
	request.refused = request.refused || !accepted
	conn := s.conns[request.conn]
	if request.pending > 0 || conn == nil {
		return
	}
	if request.refused {
		s.Stats.Rejected++
		s.handler.Log("message rejected", "kind", sasp.SetMember, "reason", "the coordinators could not agree in time",
			"from", conn.from)
	}
	s.reply(now, conn, sasp.ReplyTo(sasp.SetMember), request.id, request.code())
}

// quiesceMembers takes a balancer's states of its members.
func (s *Server) quiesceMembers(now float64, lb *loadBalancer, message *sasp.Message) sasp.Code {
	for _, named := range message.Groups {
		registered := lb.groups[string(named.Name)]
		if registered == nil {
			return sasp.UnknownGroup
		}
		for _, row := range message.Rows[named.From:named.To] {
			if registered.members[s.serverAt(row.Address)] == nil {
				return sasp.NotRegistered
			}
		}
	}
	for _, named := range message.Groups {
		registered := lb.groups[string(named.Name)]
		for _, row := range message.Rows[named.From:named.To] {
			member := registered.members[s.serverAt(row.Address)]
			member.quiesced = row.Flags&sasp.Quiesce != 0
			member.opaque = row.Opaque
		}
		s.scheduleGroup(now, lb, registered, named.To-named.From)
	}
	return sasp.OK
}
