package platform

import (
	"snowquay/balancer"
	"snowquay/internal/core/platformstate"
)

// gatherTime is how long the first event waits for its round, in seconds, so that events that come together are
// decided together.
const gatherTime = 0.004

// timer is one that the balancer has requested.
type timer struct {
	at float64
	id balancer.Timer
}

// scheduleRound says that there are events for a round.
func (p *Program) scheduleRound(now float64) {
	if p.eventsSince == 0 {
		p.eventsSince = now
	}
}

func (p *Program) roundDue(now float64) bool {
	return p.eventsSince > 0 && now >= p.eventsSince+gatherTime
}

// round hands the balancer all events that have come, and takes its commands.
func (p *Program) round(now float64) {
	events := p.events
	events.ChannelStalled = p.stalled(now)
	events.Redelivered = p.commands.TakeRedelivered()
	p.events = balancer.Events{}
	p.inspected = 0
	p.eventsSince = 0
	p.relay.stalled = events.ChannelStalled
	// Proxies are grouped by the zones of servers, so that joins wait until a server is known.
	switch {
	case !p.endpoints.EverListed():
		events.ProxyEvents = nil
		p.joinsWithheld = true
	case p.joinsWithheld:
		events.ProxyEvents = p.proxies.JoinEvents()
		p.joinsWithheld = false
	}
	p.counts.rounds++
	p.balancer.Reconcile(now, events, &roundSink{CommandBuffer: p.commands, program: p, now: now})
}

// dropDeparted drops the commands for proxies that have left since it was called last.
func (p *Program) dropDeparted(now float64) {
	for _, event := range p.events.ProxyEvents[p.inspected:] {
		p.scheduleRound(now)
		if !event.Joined {
			p.commands.ProxyLeft(event.Proxy)
		}
	}
	p.inspected = len(p.events.ProxyEvents)
}

// fireTimers hands the next round, which then is due at once, the timers that have expired.
func (p *Program) fireTimers(now float64) {
	waiting := p.timers[:0]
	for _, t := range p.timers {
		if now < t.at {
			waiting = append(waiting, t)
			continue
		}
		p.events.FiredTimers = append(p.events.FiredTimers, t.id)
		p.scheduleRound(now - gatherTime)
	}
	p.timers = waiting
}

// roundSink is the balancer.CommandSink of one round. Commands to the relay go into the buffer; the others are
// carried out at once.
type roundSink struct {
	*platformstate.CommandBuffer
	program *Program
	now     float64
}

// HealthCheck implements balancer.CommandSink.
func (s *roundSink) HealthCheck(server balancer.Server) { s.program.checkHealth(s.now, server) }

// PollDiscovery implements balancer.CommandSink. It does nothing, since discovery is watched all the time.
func (s *roundSink) PollDiscovery() {}

// SetTimer implements balancer.CommandSink.
func (s *roundSink) SetTimer(after float64, id balancer.Timer) {
	s.program.timers = append(s.program.timers, timer{at: s.now + after, id: id})
}

// Log implements balancer.CommandSink.
func (s *roundSink) Log(text string) { s.program.log.Info("balancer decision", "note", text) }
