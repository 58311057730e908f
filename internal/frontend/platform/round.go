package platform

import (
	"snowquay/balancer"
	"snowquay/internal/core/platformstate"
)

// batchWindow is the time in seconds between the first event and its round, so that events that arrive together are
// handled in one round.
const batchWindow = 0.004

// timer is a timer requested by the balancer.
type timer struct {
	at float64
	id balancer.Timer
}

// scheduleRound records that events are waiting for a round.
func (p *Program) scheduleRound(now float64) {
	if p.firstEventAt == 0 {
		p.firstEventAt = now
	}
}

func (p *Program) roundDue(now float64) bool {
	return p.firstEventAt > 0 && now >= p.firstEventAt+batchWindow
}

// round passes all collected events to the balancer, which issues its commands to a roundSink.
func (p *Program) round(now float64) {
	events := p.events
	events.ChannelStalled = p.channelStalled(now)
	events.Redelivered = p.commands.TakeRedelivered()
	p.events = balancer.Events{}
	p.processedProxyEvents = 0
	p.firstEventAt = 0
	p.relay.channelStalled = events.ChannelStalled
	// Proxies are grouped by the zones of servers, so join events are withheld until a server is known.
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

// dropCommandsForDepartedProxies drops the commands for proxies that have left since the previous call.
func (p *Program) dropCommandsForDepartedProxies(now float64) {
	for _, event := range p.events.ProxyEvents[p.processedProxyEvents:] {
		p.scheduleRound(now)
		if !event.Joined {
			p.commands.ProxyLeft(event.Proxy)
		}
	}
	p.processedProxyEvents = len(p.events.ProxyEvents)
}

// fireTimers adds the expired timers to the events of the next round, and makes that round due immediately.
func (p *Program) fireTimers(now float64) {
	waiting := p.timers[:0]
	for _, t := range p.timers {
		if now < t.at {
			waiting = append(waiting, t)
			continue
		}
		p.events.FiredTimers = append(p.events.FiredTimers, t.id)
		p.scheduleRound(now - batchWindow)
	}
	p.timers = waiting
}

// roundSink is the balancer.CommandSink of one round. Commands to the relay are added to the buffer; all others are
// carried out immediately.
type roundSink struct {
	*platformstate.CommandBuffer
	program *Program
	now     float64
}

// HealthCheck implements balancer.CommandSink.
func (s *roundSink) HealthCheck(server balancer.Server) { s.program.checkHealth(s.now, server) }

// PollDiscovery implements balancer.CommandSink. It does nothing, since discovery is watched continuously.
func (s *roundSink) PollDiscovery() {}

// SetTimer implements balancer.CommandSink.
func (s *roundSink) SetTimer(after float64, id balancer.Timer) {
	s.program.timers = append(s.program.timers, timer{at: s.now + after, id: id})
}

// Log implements balancer.CommandSink.
func (s *roundSink) Log(text string) { s.program.log.Info("balancer decision", "note", text) }
