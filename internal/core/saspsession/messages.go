package saspsession

import (
	"snowquay/internal/wire/sasp"
)

// handleMessage applies and answers one framed message. A message is applied as a whole or not at all: all of it is
// checked before anything is changed.
func (s *Server) handleMessage(now float64, conn *connection, frame []byte) {
	kind, id := sasp.Head(frame)
	if err := sasp.Decode(frame, &s.incoming); err != nil {
		s.rejectMalformed(now, conn, kind, id, err)
		return
	}
	message := &s.incoming
	var code sasp.Code
	switch kind {
	case sasp.Registration:
		code = s.register(now, conn, message)
	case sasp.Deregistration:
		code = s.deregister(now, conn, message)
	case sasp.GetWeights:
		s.getWeights(now, conn, message)
		return
	case sasp.SetBalancer:
		code = s.setBalancer(now, conn, message)
	case sasp.SetMember:
		var pending bool
		code, pending = s.setMember(now, conn, message)
		if pending {
			return // OrderCompleted sends the reply
		}
	default: // only the manager, which is this server, sends replies and weights
		s.close(now, conn, "peer sent a message that only the manager sends")
		return
	}
	if code != sasp.OK {
		s.logRejected(conn, kind, code)
	}
	s.reply(now, conn, sasp.ReplyTo(kind), id, code)
	if conn.closeAfterReply != "" && s.conns[conn.id] == conn {
		s.close(now, conn, conn.closeAfterReply)
	}
}

func (s *Server) rejectMalformed(now float64, conn *connection, kind sasp.Kind, id uint32, err error) {
	s.Stats.Malformed++
	s.handler.Log("message not understood", "from", conn.from, "uid", conn.uid, "error", err)
	replyKind := sasp.ReplyTo(kind)
	if replyKind == 0 {
		s.close(now, conn, err.Error())
		return
	}
	s.reply(now, conn, replyKind, id, sasp.NotUnderstood)
}

func (s *Server) logRejected(conn *connection, kind sasp.Kind, code sasp.Code) {
	s.Stats.Rejected++
	s.handler.Log("message rejected", "kind", kind, "code", code.String(), "from", conn.from, "uid", conn.uid)
}

// reply sends a response code, unless the connection was closed after its message was received.
func (s *Server) reply(now float64, conn *connection, kind sasp.Kind, id uint32, code sasp.Code) {
	if s.conns[conn.id] != conn {
		return
	}
	s.Stats.Replied++
	message := s.newMessage(kind, id)
	message.Code = code
	s.send(now, conn, message)
}

// newMessage returns an empty message for sending. The next call reuses the same message.
func (s *Server) newMessage(kind sasp.Kind, id uint32) *sasp.Message {
	message := &s.outgoing
	*message = sasp.Message{Kind: kind, ID: id, Groups: message.Groups[:0], Rows: message.Rows[:0]}
	return message
}

func (s *Server) send(now float64, conn *connection, message *sasp.Message) {
	s.sendBuffer = sasp.Append(s.sendBuffer[:0], message)
	conn.sentBytes += uint64(len(s.sendBuffer))
	s.handler.Send(conn.id, s.sendBuffer)
	if conn.sentBytes-conn.deliveredBytes > uint64(s.limits.MaxUnread) {
		s.close(now, conn, "too many unread bytes")
	}
}
