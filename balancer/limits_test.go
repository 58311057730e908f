package balancer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
)

// deployment describes a coordinator with its proxies and a scenario: a rolling release, restarts of other
// coordinators, and a channel that slows down. Times are in seconds from the start of the scenario.
type deployment struct {
	seed          uint64
	seconds       float64 // duration of the scenario
	coordinators  int
	proxies       int // number of proxies of this coordinator
	servers       int
	zones         int
	channel       balancer.Channel
	drainDeadline float64
	ackLoss       float64 // fraction of the acknowledgements that are lost

	// The channel runs at a fraction of its configured rate between two times.
	slowPace  float64
	slowFrom  float64
	slowUntil float64

	// Half of the servers are replaced in steps.
	releaseSteps int
	releaseAt    float64
	stepInterval float64

	// Times at which another coordinator restarts, and the number of its proxies that join for a while.
	joinTimes []float64
	joiners   int
}

// startTime is the clock time at which a scenario starts.
const startTime = 100.0

func (d deployment) newBalancer() *balancer.Balancer {
	return balancer.New(d.seed,
		[]balancer.RequestClass{
			{PriorityWeight: 3, LatencyObjective: 1.2, ClientTimeout: 4},
			{PriorityWeight: 2, LatencyObjective: 1.5, ClientTimeout: 5},
		},
		balancer.DataPlane{
			Proxies:            d.proxies * d.coordinators,
			Coordinators:       d.coordinators,
			DefaultTableSize:   6,
			EjectAfterFailures: 8,
			DefaultRetry:       balancer.RetryIfNotExecuted,
			MinConnections:     318,
			Admission:          balancer.AdmissionFraction,
		},
		d.channel,
		balancer.Guarantees{
			DrainDeadline:         d.drainDeadline,
			EmptyTableDeadline:    7.6,
			WarmupStartFraction:   0.16,
			WarmupDuration:        18,
			OverloadFactor:        2.5,
			OverloadWindow:        1.5,
			DiscoveryPollDeadline: 10,
		},
		balancer.Reporting{Period: 0.5, EntriesPerSecond: 120}, balancer.HealthChecking{}, balancer.Discovery{})
}

func serverName(i int) balancer.Server { return balancer.Server(fmt.Sprintf("s-%04d", i)) }

func (d deployment) endpoint(i int) balancer.Endpoint {
	return balancer.Endpoint{Server: serverName(i), Zone: balancer.Zone(i % d.zones), Weight: 1}
}

// deploymentRun is the state of a running scenario.
type deploymentRun struct {
	deployment
	balancer *balancer.Balancer
	channel  *channelEmulator
	events   balancer.Events   // events for the next round
	listed   []balancer.Server // servers that are listed at the start
	step     int               // next step of the release
	restarts int               // number of restarts of other coordinators so far
	reportAt float64           // clock time of the next reports
	leaveAt  float64           // clock time at which the latest joiners leave; 0 if there are none
}

// run runs the scenario and returns the channel with its findings.
func (d deployment) run() *channelEmulator {
	r := &deploymentRun{
		deployment: d,
		balancer:   d.newBalancer(),
		channel:    newChannelEmulator(d.channel, 2, d.drainDeadline, d.seed),
		reportAt:   startTime + 1,
	}
	r.channel.now = startTime
	r.channel.ackLoss = d.ackLoss
	r.channel.pace = func(at float64) float64 {
		if at >= startTime+d.slowFrom && at < startTime+d.slowUntil {
			return d.slowPace
		}
		return 1
	}
	list := balancer.EndpointList{Scope: balancer.CachedList}
	for i := range d.servers {
		list.Endpoints = append(list.Endpoints, d.endpoint(i))
		r.listed = append(r.listed, serverName(i))
	}
	r.events.Lists = []balancer.EndpointList{list}
	r.join(0, d.proxies)
	const tick = 0.1
	for at := startTime; at < startTime+d.seconds; at += tick {
		if r.channel.violation != "" || r.channel.lateDrain != "" {
			break
		}
		r.runRound(at)
	}
	return r.channel
}

// runRound generates the events up to a clock time and runs one round of the balancer.
func (r *deploymentRun) runRound(at float64) {
	r.events.Acks = r.channel.advance(at)
	if r.step < r.releaseSteps && at >= startTime+r.releaseAt+float64(r.step)*r.stepInterval {
		r.release(r.channel, &r.events, r.step, at)
		r.step++
	}
	if r.restarts < len(r.joinTimes) && at >= startTime+r.joinTimes[r.restarts] {
		r.join(r.proxies+r.restarts*r.joiners, r.joiners)
		r.restarts++
		r.leaveAt = at + 6
	}
	if r.leaveAt > 0 && at >= r.leaveAt {
		r.leaveAt = 0
		r.leave(r.proxies+(r.restarts-1)*r.joiners, r.joiners)
	}
	if at >= r.reportAt {
		r.reportAt += 0.5
		r.report(r.channel, &r.events)
	}
	r.balancer.Reconcile(at, r.events, r.channel)
	r.channel.sendRound()
	r.events = balancer.Events{}
}

// join connects count proxies, starting at the given ID.
func (r *deploymentRun) join(first, count int) {
	for i := first; i < first+count; i++ {
		r.channel.join(balancer.Proxy(i), r.listed)
		r.events.ProxyEvents = append(r.events.ProxyEvents, balancer.ProxyEvent{
			Proxy:        balancer.Proxy(i),
			Joined:       true,
			Zone:         balancer.Zone(i % r.zones),
			ExpectedRate: 5,
		})
	}
}

// leave disconnects count proxies, starting at the given ID.
func (r *deploymentRun) leave(first, count int) {
	for i := first; i < first+count; i++ {
		r.channel.leave(balancer.Proxy(i))
		r.events.ProxyEvents = append(r.events.ProxyEvents, balancer.ProxyEvent{Proxy: balancer.Proxy(i)})
	}
}

// release replaces some of the servers: new ones are listed, and old ones drain.
func (d deployment) release(channel *channelEmulator, events *balancer.Events, step int, at float64) {
	serversPerStep := d.servers / (2 * d.releaseSteps)
	list := balancer.EndpointList{Scope: balancer.DeltaList}
	slowdown := 1.0
	if at < startTime+d.slowUntil {
		slowdown = 1 / d.slowPace
	}
	for i := step * serversPerStep; i < (step+1)*serversPerStep; i++ {
		e := d.endpoint(d.servers + i)
		e.Started = at
		list.Endpoints = append(list.Endpoints, e)
		e = d.endpoint(i * 7919 % d.servers) // a prime multiplier spreads the draining servers over the list
		e.Phase = balancer.Draining
		list.Endpoints = append(list.Endpoints, e)
		channel.startDrain(e.Server, slowdown)
	}
	events.Lists = append(events.Lists, list)
}

// report draws upstream reports with different latencies for some of the servers, and demand reports for some of
// the proxies.
func (d deployment) report(channel *channelEmulator, events *balancer.Events) {
	for range 60 {
		i := channel.random.IntN(d.servers * 3 / 2)
		events.Upstreams = append(events.Upstreams, balancer.UpstreamReport{
			Server:   serverName(i),
			Zone:     balancer.Zone(i % d.zones),
			Attempts: 12,
			Latency:  0.1 + 0.4*channel.random.Float64(),
			Interval: 1,
		})
	}
	for range min(60, len(channel.joinOrder)) {
		p := channel.joinOrder[channel.random.IntN(len(channel.joinOrder))]
		for c := range 2 {
			events.Demands = append(events.Demands, balancer.DemandReport{
				Proxy:    p.id,
				Class:    balancer.Class(c),
				Requests: 3 * channel.random.Float64(),
				Interval: 1,
			})
		}
	}
}

// customerDeployment has the size and the settings of a customer: 441 of 2,472 proxies at one coordinator, 200
// servers, and a channel that may queue half a minute of entries at its full rate.
func customerDeployment() deployment {
	return deployment{
		seed:          1,
		seconds:       40,
		coordinators:  5,
		proxies:       441,
		servers:       200,
		zones:         3,
		drainDeadline: 35.3,
		slowPace:      1,
		channel: balancer.Channel{
			EntriesPerSecond: 2500,
			MessageOverhead:  10,
			MaxQueued:        84100,
			MeanDelay:        0.374,
			MaxDelay:         0.935,
			MaxMessages:      30,
			MessageWindow:    10,
		},
		releaseSteps: 5,
		releaseAt:    8,
		stepInterval: 2.1,
		joinTimes:    []float64{9, 15, 21},
		joiners:      120,
	}
}

// drawDeployment draws a deployment in which the messages for one step of a release fit into the channel at once. Its
// events may still come faster than the channel transmits; fitToChannel adjusts their times. No balancer could comply
// with the drain deadline if the entries for a release and for restarts cannot be transmitted in time.
func drawDeployment(t *rapid.T) deployment {
	d := customerDeployment()
	d.seed = rapid.Uint64().Draw(t, "seed")
	d.coordinators = rapid.SampledFrom([]int{1, 2, 5, 24, 350}).Draw(t, "coordinators")
	d.proxies = rapid.SampledFrom([]int{7, 60, 200, 480}).Draw(t, "proxies")
	d.servers = rapid.SampledFrom([]int{24, 60, 200}).Draw(t, "servers")
	d.proxies = max(min(d.proxies, 2400/d.coordinators), 2)
	d.channel.EntriesPerSecond = rapid.SampledFrom([]float64{1000, 1700, 2700}).Draw(t, "entries per second")
	d.channel.MaxQueued = d.channel.EntriesPerSecond * rapid.SampledFrom([]float64{1, 2, 3.3, 34}).Draw(t, "queue in seconds")
	d.channel.MessageOverhead = rapid.SampledFrom([]float64{3, 5, 10}).Draw(t, "message overhead")
	d.channel.MaxMessages = rapid.SampledFrom([]int{0, 0, 1, 2, 3, 4, 5, 6, 8, 12, 30, 60}).Draw(t, "messages")
	d.channel.MeanDelay = rapid.Float64Range(0.08, 0.43).Draw(t, "delay")
	d.channel.MaxDelay = 2.5 * d.channel.MeanDelay
	d.drainDeadline = d.channel.MaxQueued/d.channel.EntriesPerSecond + rapid.Float64Range(1.2, 2).Draw(t, "drain deadline over queue")
	// The number of proxies whose messages for one step of a release fit into the channel at once.
	maxProxies := 0.4 * d.channel.MaxQueued / (d.channel.MessageOverhead + 4)
	d.proxies = min(d.proxies, int(maxProxies*4/5))
	d.joiners = max(d.proxies/4, 1)
	d.ackLoss = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "lost acknowledgements")
	d.slowPace = rapid.SampledFrom([]float64{1, 0.5, 0.25, 0.12, 0.05}).Draw(t, "pace")
	d.slowFrom = rapid.SampledFrom([]float64{0, 7, 9.2, 14}).Draw(t, "slow from")
	d.slowUntil = d.slowFrom + rapid.SampledFrom([]float64{4, 12, 1000}).Draw(t, "slow for")
	d.releaseSteps = rapid.IntRange(0, 4).Draw(t, "steps")
	return d
}

// fitToChannel adjusts the times of events so that the channel can transmit the resulting entries at its pace at
// that time, with the same capacity again in reserve. If that would take too long, it increases the pace.
func (d deployment) fitToChannel() deployment {
	const (
		tableSize      = 20.0 // approximate number of entries of a complete table
		maxReleaseWait = 60.0 // maximum time in seconds until the release starts
	)
	joining := float64(d.proxies) * (d.channel.MessageOverhead + tableSize)
	d.slowPace = max(d.slowPace, 2*joining/d.channel.EntriesPerSecond/maxReleaseWait)
	rate := d.channel.EntriesPerSecond * min(d.slowPace, 1)
	release := float64(d.proxies+d.joiners) * (d.channel.MessageOverhead + 4) / rate
	joins := float64(d.joiners) * (d.channel.MessageOverhead + tableSize) / rate
	d.releaseAt = 8 + 2*joining/rate
	d.stepInterval = max(2.1, 2*(release+joins))
	d.joinTimes = nil
	for i := range 2 {
		d.joinTimes = append(d.joinTimes, d.releaseAt+d.stepInterval*(0.4+float64(i)))
	}
	d.seconds = d.releaseAt + d.stepInterval*float64(max(d.releaseSteps, 2)) + d.drainDeadline/d.slowPace
	return d
}

// hasEnoughMessages reports whether the limit on messages allows one message for each step of a release in time.
func (d deployment) hasEnoughMessages() bool {
	needed := 2 + 2 + d.channel.MessageWindow/d.stepInterval
	return d.channel.MaxMessages == 0 || float64(d.channel.MaxMessages) >= needed
}

// drawnDeployments is the number of deployments that each randomized test draws.
const drawnDeployments = 16

// Both limits on the channel and the drain deadline are complied with in any deployment, even if the channel slows
// down during a release while other coordinators restart. The drain deadline is checked only if the limit on messages
// leaves enough of them for the release.
func TestChannelLimitsAreKept(t *testing.T) {
	for seed := range drawnDeployments {
		d := rapid.Custom(drawDeployment).Example(seed).fitToChannel()
		channel := d.run()
		if channel.violation != "" || channel.lateDrain != "" && d.hasEnoughMessages() {
			t.Errorf("seed %d: %s %s; at most %.0f entries, %d messages; %+v", seed, channel.violation, channel.lateDrain,
				channel.maxQueued, channel.maxMessages, d)
		}
	}
}

// The limits also hold if events exceed the capacity of the channel. Drains may be late in this case.
func TestLimitsHoldWhenTheChannelCannotKeepUp(t *testing.T) {
	for seed := range drawnDeployments {
		d := rapid.Custom(drawDeployment).Example(1000 + seed)
		channel := d.run()
		if channel.violation != "" {
			t.Errorf("seed %d: %s; at most %.0f entries, %d messages; %+v", seed, channel.violation, channel.maxQueued,
				channel.maxMessages, d)
		}
	}
}

// Runs a customer's deployment at full size: the channel of one of five coordinators runs at its configured rate or
// slows down. The limits hold at every pace, the drain deadline at the configured rate.
func TestCustomerDeploymentKeepsLimits(t *testing.T) {
	for _, pace := range []float64{1, 0.25, 0.12, 0.03} {
		d := customerDeployment()
		d.slowPace = pace
		d.slowFrom = 6
		d.slowUntil = 100
		channel := d.run()
		t.Logf("pace %.2f: at most %.0f entries of %.0f, %d messages; %s", pace, channel.maxQueued, d.channel.MaxQueued,
			channel.maxMessages, channel.lateDrain)
		if channel.violation != "" || pace == 1 && channel.lateDrain != "" {
			t.Errorf("pace %.2f: %s %s", pace, channel.violation, channel.lateDrain)
		}
	}
}
