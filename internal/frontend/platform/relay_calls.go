package platform

import (
	"snowquay/internal/core/platformstate"
	"snowquay/internal/wire/jsonrpc"
)

// Times in seconds.
const (
	usualResponseTime = 0.05 // time within which the relay responds, if it responds at all
	responseTimeout   = 0.25 // time after which a call is abandoned; the margin allows for a busy processor
	rejectionPause    = 0.1  // time between a rejected call and the next one
)

// sendCall abandons a call that got no response within responseTimeout, and sends the next one.
func (p *Program) sendCall(now float64) {
	relay := &p.relay
	if p.commands.InFlight() && now >= relay.callSentAt+responseTimeout {
		p.log.Warn("relay does not respond", "address", relay.primary.address)
		p.abandonFailedCall(now)
	}
	c := p.callConnection(now)
	if c == nil || p.commands.InFlight() || now < relay.nextCallAt {
		return
	}
	// After a stall the pending commands are out of date, since they were decided before the relay became unreachable.
	// Redelivered commands are charged to the channel, and get an acknowledgement request of their own, before they are sent.
	if relay.channelStalled || p.commands.HasRedelivered() {
		p.round(now)
	}
	call, ok := p.commands.NextCall(nil)
	if !ok {
		return
	}
	p.counts.calls++
	relay.callConn = c
	relay.callSentAt = now
	p.io.Send(c.conn, call)
	p.trace("relay call", call[:len(call)-1])
}

// callConnection returns the connection for the next call; nil if there is none. Data written to an unreachable relay may
// still arrive, so nothing is sent again on an unresponsive connection until a heartbeat has arrived on it.
func (p *Program) callConnection(now float64) *connection {
	r := &p.relay
	if standby := r.standby.active; standby != nil {
		return standby
	}
	primary := r.primary.active
	if primary != nil && !primary.unresponsive && now-r.standbyLostAt >= standbyRedialTime {
		return primary
	}
	return nil
}

// channelStalled reports whether commands do not reach the channel because the relay is unreachable, rejects them or
// does not respond.
func (p *Program) channelStalled(now float64) bool {
	r := &p.relay
	if p.commands.InFlight() {
		return now >= r.callSentAt+usualResponseTime
	}
	return p.callConnection(now) == nil || now < r.nextCallAt && p.commands.Pending() > 0
}

// finishCall handles a response on the connection of the call in flight. A nil response is a line that cannot be
// parsed.
func (p *Program) finishCall(now float64, response *jsonrpc.Response) {
	var outcome platformstate.Outcome
	if response == nil {
		outcome = p.commands.HandleUnreadable()
	} else {
		outcome = p.commands.HandleResponse(response)
	}
	switch outcome {
	case platformstate.Applied:
		p.releaseCall()
	case platformstate.PartiallyApplied:
		p.log.Warn("relay could not apply a command", "dropped_commands", p.commands.Dropped)
		p.releaseCall()
	case platformstate.Rejected:
		p.log.Debug("relay rejected a call", "error", response.Err)
		p.relay.nextCallAt = now + rejectionPause
		p.releaseCall()
	case platformstate.Indeterminate:
		p.log.Warn("relay response cannot be read")
		p.abandonFailedCall(now)
	}
}

// releaseCall clears the connection of the call that has ended, and closes it if it has been replaced.
func (p *Program) releaseCall() {
	r := &p.relay
	p.close(r.retired)
	r.callConn = nil
	r.retired = nil
}

// abandonCall ends a call whose outcome will remain unknown.
func (p *Program) abandonCall(now float64) {
	p.commands.ConnectionLost()
	p.releaseCall()
	p.scheduleRound(now)
}

// abandonFailedCall ends a call that got no valid response, and closes its connection if that is the standby. The
// primary is kept as long as it delivers events, since losing it costs more.
func (p *Program) abandonFailedCall(now float64) {
	c := p.relay.callConn
	p.abandonCall(now)
	if c == nil {
		return
	}
	c.unresponsive = true
	if c == p.relay.standby.active {
		p.disconnect(now, c)
	}
}

// retire closes a connection that has been replaced. If a call is in flight on it, it is closed only after the call has
// ended. Otherwise the response would be lost and the commands sent twice whenever connections change under load.
func (p *Program) retire(c *connection) {
	if c != nil && c == p.relay.callConn {
		p.relay.retired = c
		return
	}
	p.close(c)
}
