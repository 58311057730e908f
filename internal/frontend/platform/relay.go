package platform

import (
	"snowquay/balancer"
	"snowquay/internal/core/platformstate"
	"snowquay/internal/wire/jsonrpc"
)

// Times in seconds.
const (
	relaySilenceTimeout = 1.6  // time without a message after which a connection is considered silent; heartbeats arrive every second
	standbyRedialTime   = 0.15 // time without a standby after which calls are sent on the primary; a dial takes a hundredth of a second
)

// relay holds two connections to the relay. Both deliver proxy events, so that one can replace the other without a gap.
//
// The primary is the source of the proxy registry. Calls are sent on the standby, since the relay may close the
// connection that it receives a call on; without a standby they are sent on the primary.
type relay struct {
	primary       peer
	standby       peer
	standbyLostAt float64
	watchID       uint64 // request ID of the newest subscription

	nextCallAt     float64     // earliest time of the next call
	callConn       *connection // connection of the call in flight
	retired        *connection // callConn if it has been replaced and stays open for the response
	callSentAt     float64
	channelStalled bool // the latest round was given ChannelStalled
}

func (p *Program) isStandby(target *peer) bool { return target == &p.relay.standby }

// maintainRelay dials missing connections to the relay, ends overdue snapshots and replaces a silent primary.
func (p *Program) maintainRelay(now float64) {
	r := &p.relay
	for _, target := range []*peer{&r.primary, &r.standby} {
		p.maintainPeer(now, target, relaySilenceTimeout)
		for _, c := range []*connection{target.active, target.candidate} {
			if c != nil && c.source != nil && c.source.SnapshotOverdue(now) {
				p.endSnapshot(now, c)
			}
		}
		p.activateSubscribed(now, target)
	}
	if r.primary.active != nil && now-r.primary.active.lastReceivedAt > relaySilenceTimeout {
		p.promoteStandby(now)
	}
}

// promoteStandby makes the standby the primary if its snapshot is complete and it is not stale.
func (p *Program) promoteStandby(now float64) {
	r := &p.relay
	standby := r.standby.active
	if standby == nil || !standby.source.Complete(now) {
		return
	}
	p.retire(r.primary.active)
	standby.peer = &r.primary
	r.primary.active = standby
	r.standby.active = nil
	r.standbyLostAt = now
	p.switchSource(now, standby)
	p.maintainPeer(now, &r.standby, 0)
}

// switchSource makes a connection the source of the proxy events.
func (p *Program) switchSource(now float64, c *connection) {
	p.proxies.SwitchSource(c.source, &p.events)
	p.log.Info("proxy events from another connection",
		"address", c.address,
		"opened_seconds_ago", now-c.source.OpenedAt(),
		"received_seconds_ago", now-c.lastReceivedAt,
		"in_snapshot", c.source.InSnapshot(),
		"proxies", p.proxies.Len(),
		"uncertain", p.proxies.Uncertain())
}

// endSnapshot ends the snapshot of a connection unless it has already ended.
func (p *Program) endSnapshot(now float64, c *connection) {
	if !c.source.InSnapshot() {
		return
	}
	before := p.proxies.Rejoined
	p.proxies.EndSnapshot(c.source, &p.events)
	if c != p.relay.primary.active {
		return
	}
	p.log.Info("snapshot of the joined proxies ended",
		"address", c.address,
		"opened_seconds_ago", now-c.source.OpenedAt(),
		"proxies", p.proxies.Len(),
		"rejoined", p.proxies.Rejoined-before)
}

// subscribe requests proxy events on a new connection.
func (p *Program) subscribe(_ float64, c *connection) {
	p.relay.watchID++
	p.io.Send(c.conn, jsonrpc.AppendWatch(nil, p.relay.watchID))
}

// subscribed handles the confirmation of a subscription to proxy events.
func (p *Program) subscribed(now float64, c *connection) {
	c.source = platformstate.NewSource(now)
	p.activateSubscribed(now, c.peer)
}

// activateSubscribed activates a peer's candidate if it is subscribed. A primary that still works is replaced only once
// it has delivered every event from before the candidate's snapshot, or its heartbeat is overdue: events that were on
// their way to it would otherwise be lost, and all proxies be treated as rejoined.
func (p *Program) activateSubscribed(now float64, target *peer) {
	candidate := target.candidate
	if candidate == nil || candidate.source == nil {
		return
	}
	isPrimary := target == &p.relay.primary
	if isPrimary && target.active != nil && target.active.source.MayOverlap(now, candidate.source) {
		return
	}
	p.activate(target)
	if isPrimary {
		p.switchSource(now, candidate)
	}
}

func (p *Program) receiveRelay(now float64, c *connection, b []byte) {
	err := c.lines.Read(b, maxLineBytes, func(line []byte) {
		p.trace("relay message", line)
		message, err := jsonrpc.Parse(line)
		if event, ok := message.(*jsonrpc.Event); err == nil && ok {
			p.handleEvent(now, c, event)
			return
		}
		response, _ := message.(*jsonrpc.Response)
		p.handleResponse(now, c, response)
	})
	if err != nil && p.isOpen(c) {
		p.disconnect(now, c)
	}
}

// handleResponse handles a response. It is nil for a line that cannot be parsed, which may have been a response.
func (p *Program) handleResponse(now float64, c *connection, response *jsonrpc.Response) {
	switch {
	case c.source == nil && response != nil && response.Err == nil:
		p.subscribed(now, c)
	case c == p.relay.callConn:
		p.finishCall(now, response)
	default:
		p.counts.malformed++
	}
}

// handleEvent handles a heartbeat or proxy event on a subscribed connection.
func (p *Program) handleEvent(now float64, c *connection, event *jsonrpc.Event) {
	if c.source == nil || !p.isOpen(c) {
		return
	}
	if event.Kind == jsonrpc.Heartbeat {
		c.unresponsive = false
		p.endSnapshot(now, c)
		p.proxies.Touch(now, c.source)
		p.activateSubscribed(now, c.peer) // a candidate may have waited for this heartbeat
		return
	}
	p.proxies.Touch(now, c.source)
	if event.Proxy < 0 || event.Proxy >= p.deployment.DataPlane.Proxies {
		p.counts.malformed++
		return
	}
	switch event.Kind {
	case jsonrpc.ProxyJoined:
		p.proxyJoined(now, c, event)
	case jsonrpc.ProxyLeft:
		p.proxies.ProxyLeft(c.source, balancer.Proxy(event.Proxy), &p.events)
	case jsonrpc.CommandsAcknowledged:
		p.acknowledged(now, c, event)
	}
}

func (p *Program) proxyJoined(now float64, c *connection, event *jsonrpc.Event) {
	zone := p.zone(event.Zone)
	if event.Incomplete || zone < 0 {
		p.counts.malformed++
		return
	}
	p.proxies.ProxyJoined(now, c.source, balancer.ProxyEvent{
		Proxy:        balancer.Proxy(event.Proxy),
		Zone:         zone,
		ExpectedRate: event.ExpectedRate,
		DefaultTable: event.DefaultTable,
	}, &p.events)
}

// acknowledged handles an acknowledgement. Both connections deliver it; only that on the primary is passed to the balancer.
func (p *Program) acknowledged(now float64, c *connection, event *jsonrpc.Event) {
	ack := balancer.Ack{
		Proxy:   balancer.Proxy(event.Proxy),
		ID:      balancer.AckID(event.AckID),
		Latency: event.Latency,
	}
	if event.Incomplete || !ack.Plausible() {
		p.counts.malformed++
		return
	}
	p.commands.Acknowledged(ack.ID)
	if c != p.relay.primary.active {
		return
	}
	p.events.Acks = append(p.events.Acks, ack)
	p.scheduleRound(now)
}
