package emulator

import (
	"net/netip"
	"slices"

	"snowquay/internal/wire/sasp"
)

// coordinatorConnected handles the result of a dial to the coordinator.
func (r *Relay) coordinatorConnected(now float64, ok bool) {
	if !ok {
		r.io.SetTimer(now+r.redialDelay(), relayDialTimer)
		return
	}
	if !r.UsesLongPoll {
		r.register()
		return
	}
	r.longPoll.buf = nil
	r.ignoresUpdates = false
	r.sendPoll(now)
	if len(r.OtherCoordinators) == 0 { // one of several may be paused, so the relay joins when that one responds
		r.markJoined(now)
	}
}

// register sends the relay's identity, and a registration with its table entries as members.
func (r *Relay) register() {
	r.session = saspSession{}
	r.ignoresUpdates = false
	r.heartbeatPending = false
	r.sendIdentity()
	message := &sasp.Message{Kind: sasp.Registration, LB: sasp.FromBalancer}
	for i, class := range r.Classes {
		group := sasp.Group{UID: []byte(r.UID), Name: []byte(class.Name), From: len(message.Rows)}
		for _, entry := range r.tables[i].entries {
			message.Rows = append(message.Rows, sasp.Row{Address: sasp.AddressOf(entry.server)})
		}
		group.To = len(message.Rows)
		message.Groups = append(message.Groups, group)
	}
	r.io.Send(r.coordinatorConn, r.session.write(message))
}

func (r *Relay) sendIdentity() {
	message := &sasp.Message{Kind: sasp.SetBalancer, UID: []byte(r.UID), Flags: r.Flags}
	r.io.Send(r.coordinatorConn, r.session.write(message))
}

func (r *Relay) receiveFromCoordinator(now float64, b []byte) {
	if r.ignoresUpdates {
		r.longPoll.pending = false
		if r.UsesLongPoll {
			r.io.SetTimer(now+pollGapSeconds, firstPollGapTimer+r.longPoll.count)
		}
		return
	}
	if r.UsesLongPoll {
		r.receivePollResponses(now, b)
		return
	}
	if !r.session.read(b, func(message *sasp.Message) { r.handleMessage(now, message) }) {
		r.checker.recordProtocolError(now, "relay %s received a malformed SASP message", r.UID)
	}
}

func (r *Relay) handleMessage(now float64, message *sasp.Message) {
	switch message.Kind {
	case sasp.SetBalancerReply:
		r.heartbeatPending = false
	case sasp.RegistrationReply:
		r.handleRegistrationReply(now, message)
	case sasp.SendWeights, sasp.GetWeightsReply:
		r.handleWeights(now, message)
	}
}

func (r *Relay) handleRegistrationReply(now float64, message *sasp.Message) {
	if message.Code == sasp.NotAccepted && len(r.OtherCoordinators) > 0 {
		return // another coordinator owns this relay
	}
	if message.Code != sasp.OK {
		r.checker.recordProtocolError(now, "relay %s: registration refused: %s", r.UID, message.Code)
		return
	}
	r.joined = true
	r.checker.relayJoined(now, r.UID)
	r.reportTables(now)
	if r.Flags&sasp.Push == 0 {
		r.io.SetTimer(now, relayWeightsTimer)
	}
}

func (r *Relay) handleWeights(now float64, message *sasp.Message) {
	r.checker.messageReceived(now, r.UID, len(message.Rows))
	for _, group := range message.Groups {
		class := slices.IndexFunc(r.Classes, func(c Class) bool { return c.Name == string(group.Name) })
		if class < 0 || string(group.UID) != r.UID {
			r.checker.recordProtocolError(now, "relay %s received weights of unknown group %q of UID %q", r.UID, group.Name, group.UID)
			continue
		}
		for _, row := range message.Rows[group.From:group.To] { // the entries change one by one, as in a simple relay
			r.applyRow(r.tables[class], row)
			r.reportTables(now)
		}
	}
	if message.Kind == sasp.GetWeightsReply {
		r.io.SetTimer(now+float64(message.Interval), relayWeightsTimer)
	}
}

func (r *Relay) requestWeights() {
	if r.joined {
		r.io.Send(r.coordinatorConn, r.session.write(&sasp.Message{Kind: sasp.GetWeights}))
	}
}

// checkHeartbeat closes the connection to a coordinator that does not respond, because the connections of a paused
// coordinator stay open.
func (r *Relay) checkHeartbeat(now float64) {
	if !r.joined {
		return
	}
	pollLate := r.UsesLongPoll && r.longPoll.pending && now-r.longPoll.sentAt > shortPollWaitSeconds+heartbeatSeconds
	if r.heartbeatPending || pollLate {
		r.DropConnection(now)
		return
	}
	if !r.UsesLongPoll {
		r.heartbeatPending = true
		r.sendIdentity()
	}
}

// dialNext dials the next coordinator in rotation.
func (r *Relay) dialNext() {
	if len(r.OtherCoordinators) > 0 {
		next := r.OtherCoordinators[0]
		r.OtherCoordinators = append(slices.Clone(r.OtherCoordinators[1:]), r.Coordinator)
		r.Coordinator = next
		r.Collector = netip.AddrPortFrom(next.Addr(), r.Collector.Port())
	}
	r.coordinatorConn = r.io.Dial(r.Coordinator)
}

// redialDelay returns the delay before the next dial in seconds. It is inversely proportional to the number of
// coordinators.
func (r *Relay) redialDelay() float64 {
	return redialSeconds * (0.3 + r.random.uniform()) / float64(1+len(r.OtherCoordinators))
}

// DropConnection closes the connection to the coordinator from the relay's side.
func (r *Relay) DropConnection(now float64) {
	conn := r.coordinatorConn
	r.io.Close(conn)
	r.Closed(now, conn)
}

// IgnoreUpdates sets whether the relay ignores all data from its coordinator and so keeps its tables. A new connection ends
// it.
func (r *Relay) IgnoreUpdates(on bool) { r.ignoresUpdates = on }

func (r *Relay) markJoined(now float64) {
	if r.joined {
		return
	}
	r.joined = true
	r.checker.relayJoined(now, r.UID)
	r.reportTables(now)
}

func (r *Relay) markLeft() {
	r.joined = false
	r.checker.relayLeft(r.UID)
}
