package platform

import (
	"snowquay/internal/core/platformstate"
	"snowquay/internal/wire/jsonrpc"
)

// Times in seconds.
const (
	usualResponseTime = 0.05 // in which the relay responds, or never
	responseTimeout   = 0.25 // until a call is given up: the margin is for a busy processor
	rejectionPause    = 0.1  // between a rejected call and the next
)

// sendCall gives up a call that has not been answered in time, and sends the next one.
func (p *Program) sendCall(now float64) {
	relay := &p.relay
	if p.commands.InFlight() && now >= relay.callSentAt+responseTimeout {
		p.log.Warn("relay does not respond", "address", relay.primary.address)
		p.abandonCallOnFaulty(now)
	}
	c := p.callConnection(now)
	if c == nil || p.commands.InFlight() || now < relay.nextCallAt {
		return
	}
	// What is pending was decided before the relay was out of reach; what goes again is charged, and has a request for its own
	// acknowledgement, before it goes.
	if relay.stalled || p.commands.HasRedelivered() {
		p.round(now)
	}
	call, ok := p.commands.NextCall(nil)
	if !ok {
		return
	}
	p.counts.calls++
	relay.callOn = c
	relay.callSentAt = now
	p.io.Send(c.conn, call)
	p.trace("relay call", call[:len(call)-1])
}

// callConnection returns the connection for the next call; nil if there is none. What was written to a relay
// that is out of reach may still arrive, so that nothing goes again on a connection that has not responded
// until a heartbeat has come on it.
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

// stalled reports whether commands do not reach the channel: the relay is out of reach, rejects them, or does
// not respond.
func (p *Program) stalled(now float64) bool {
	r := &p.relay
	if p.commands.InFlight() {
		return now >= r.callSentAt+usualResponseTime
	}
	return p.callConnection(now) == nil || now < r.nextCallAt && p.commands.Pending() > 0
}

// finishCall takes a response on the connection of the call in flight; nil stands for a line that cannot be
// read.
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
		p.abandonCallOnFaulty(now)
	}
}

// releaseCall forgets the connection of a call whose outcome is known, and closes it if it has been replaced.
func (p *Program) releaseCall() {
	r := &p.relay
	p.close(r.retired)
	r.callOn = nil
	r.retired = nil
}

// abandonCall ends a call whose outcome will not be known.
func (p *Program) abandonCall(now float64) {
	p.commands.ConnectionLost()
	p.releaseCall()
	p.scheduleRound(now)
}

// abandonCallOnFaulty ends a call that was not answered properly, and the connection that it was made on if
// that is the standby. The primary stays for as long as it delivers events, since the loss of it costs more.
func (p *Program) abandonCallOnFaulty(now float64) {
	c := p.relay.callOn
	p.abandonCall(now)
	if c == nil {
		return
	}
	c.unresponsive = true
	if c == p.relay.standby.active {
		p.disconnect(now, c)
	}
}

// retire closes a connection that another one replaces. If a call is in flight on it, that happens when the
// call has ended: otherwise its response would be lost, and the commands would go twice, whenever connections
// change under load.
func (p *Program) retire(c *connection) {
	if c != nil && c == p.relay.callOn {
		p.relay.retired = c
		return
	}
	p.close(c)
}
