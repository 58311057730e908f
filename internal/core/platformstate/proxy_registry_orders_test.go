package platformstate

import (
	"slices"
	"strings"
	"testing"

	"snowquay/balancer"
)

// relayStep is one step of an order of events between a relay and a registry with two connections to it.
type relayStep int

// The steps. Muted connections deliver nothing more, as long as they stand.
const (
	proxyRedials   relayStep = iota // the proxy leaves if it is joined, and joins otherwise
	relayHeartbeat                  // the relay sends a heartbeat on every connection
	primaryMuted
	standbyMuted
	primaryLost
	standbyLost
	connectionsOpen // missing connections are opened, the primary first
	relayStepCount
)

var relayStepNames = [relayStepCount]string{"redial", "heartbeat", "mute primary", "mute standby", "lose primary", "lose standby", "open"}

// stepSeconds is the time between two steps. A proxy cannot leave and join again sooner.
const stepSeconds = 0.2

// mutableSource is a connection with its source.
type mutableSource struct {
	*Source
	muted bool
}

// relayOrder plays an order of events with a single proxy.
type relayOrder struct {
	now        float64
	registry   *ProxyRegistry
	primary    *mutableSource
	standby    *mutableSource
	joined     bool    // the proxy has a stream to the relay
	joinedAt   float64 // when it was opened
	reportedAt float64 // when the registry last reported a join of the proxy
}

func newRelayOrder() *relayOrder {
	return &relayOrder{registry: NewProxyRegistry()}
}

// play plays steps, then ends all faults and waits until the registry has caught up.
func (o *relayOrder) play(steps []relayStep) {
	for _, step := range steps {
		o.step(step)
	}
	for range 2 {
		for _, step := range []relayStep{primaryLost, standbyLost} {
			if source := o.connection(step); source != nil && source.muted {
				o.step(step)
			}
		}
		o.step(connectionsOpen)
		for range 4 {
			o.step(relayHeartbeat)
		}
	}
}

func (o *relayOrder) connection(step relayStep) *mutableSource {
	if step == primaryLost || step == primaryMuted {
		return o.primary
	}
	return o.standby
}

func (o *relayOrder) step(step relayStep) {
	o.now += stepSeconds
	events := &balancer.Events{}
	switch step {
	case proxyRedials:
		o.redial(events)
	case relayHeartbeat:
		o.deliver(func(source *Source) {
			o.registry.EndSnapshot(source, events)
			o.registry.Touch(o.now, source)
		})
	case primaryMuted, standbyMuted:
		if source := o.connection(step); source != nil {
			source.muted = true
		}
	case primaryLost:
		o.primary = nil
		o.promoteStandby(events)
	case standbyLost:
		o.standby = nil
	case connectionsOpen:
		o.open(events)
	}
	for _, source := range []*mutableSource{o.primary, o.standby} {
		if source != nil && source.SnapshotOverdue(o.now) {
			o.registry.EndSnapshot(source.Source, events)
		}
	}
	for _, event := range events.ProxyEvents {
		if event.Joined {
			o.reportedAt = o.now
		}
	}
}

// deliver handles a message of the relay on every connection that is not muted.
func (o *relayOrder) deliver(handle func(*Source)) {
	for _, source := range []*mutableSource{o.primary, o.standby} {
		if source != nil && !source.muted {
			o.registry.Touch(o.now, source.Source)
			handle(source.Source)
		}
	}
}

func (o *relayOrder) redial(events *balancer.Events) {
	o.joined = !o.joined
	if !o.joined {
		o.deliver(func(source *Source) { o.registry.ProxyLeft(source, 1, events) })
		return
	}
	o.joinedAt = o.now
	o.deliver(func(source *Source) { o.registry.ProxyJoined(o.now, source, balancer.ProxyEvent{Proxy: 1}, events) })
}

func (o *relayOrder) promoteStandby(events *balancer.Events) {
	if o.standby == nil || !o.standby.Complete(o.now) {
		return
	}
	o.primary = o.standby
	o.standby = nil
	o.registry.SwitchSource(o.primary.Source, events)
}

func (o *relayOrder) open(events *balancer.Events) {
	opened := func() *mutableSource { return &mutableSource{Source: NewSource(o.now)} }
	var next []*mutableSource
	if o.primary == nil {
		o.primary = opened()
		next = append(next, o.primary)
		o.registry.SwitchSource(o.primary.Source, events)
	}
	if o.standby == nil {
		o.standby = opened()
		next = append(next, o.standby)
	}
	for _, source := range next {
		if o.joined {
			o.registry.ProxyJoined(o.now, source.Source, balancer.ProxyEvent{Proxy: 1}, events)
		}
	}
}

// fault describes what the registry has missed; it is empty if the registry is right.
func (o *relayOrder) fault() string {
	switch {
	case o.registry.Contains(1) != o.joined:
		return "whether the proxy is joined is wrong"
	case o.joined && o.reportedAt < o.joinedAt:
		return "the proxy's latest join was not reported"
	}
	return ""
}

// Guards against proxies that join again while connections to the relay are lost, silent or in their snapshot, and are
// taken for joined all the time: they would never get a table. All orders of seven steps are tried.
func TestEveryJoinIsReported(t *testing.T) {
	const length = 7
	start := []relayStep{connectionsOpen, proxyRedials, relayHeartbeat, relayHeartbeat, relayHeartbeat, relayHeartbeat, relayHeartbeat}
	steps := make([]relayStep, length)
	orders := 0
	faults := 0
	for {
		order := newRelayOrder()
		order.play(slices.Concat(start, steps))
		orders++
		if fault := order.fault(); fault != "" {
			faults++
			if faults <= 5 {
				t.Errorf("%s: %s", describe(steps), fault)
			}
		}
		if !nextOrder(steps) {
			break
		}
	}
	if faults > 0 {
		t.Errorf("%d of %d orders end with a fault, want none", faults, orders)
	}
}

// nextOrder advances steps to the next order. It returns false after the last one.
func nextOrder(steps []relayStep) bool {
	for i := range steps {
		steps[i]++
		if steps[i] < relayStepCount {
			return true
		}
		steps[i] = 0
	}
	return false
}

func describe(steps []relayStep) string {
	var names []string
	for _, step := range steps {
		names = append(names, relayStepNames[step])
	}
	return strings.Join(names, ", ")
}
