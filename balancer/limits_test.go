package balancer_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
)

// day is a deployment and what happens in it: a release in steps, coordinators nearby that restart, a channel that slows down.
type day struct {
	coordinators, proxies, servers int // proxies of this coordinator
	zones                          int
	channel                        balancer.Channel
	grace                          float64
	pace                           float64 // of the channel's promise, while it is slow
	slowFrom, slowUntil            float64
	lossOf                         float64 // part of the acknowledgements
	steps                          int     // of the release
	stepEvery, releaseAt           float64
	joinAt                         []float64 // when a neighbour restarts and its proxies come here
	joiners                        int
	seconds                        float64
	seed                           uint64
	watch                          int
}

const start = 100.0 // clock time at which a day begins

func (d day) coordinator() *balancer.Balancer {
	return balancer.New(d.seed,
		[]balancer.RequestClass{{PriorityWeight: 3, LatencyObjective: 1.2, ClientTimeout: 4}, {PriorityWeight: 2, LatencyObjective: 1.5, ClientTimeout: 5}},
		balancer.DataPlane{Proxies: d.proxies * d.coordinators, Coordinators: d.coordinators, DefaultTableSize: 6, EjectAfterFailures: 8,
			DefaultRetry: balancer.RetryIfNotExecuted, MinConnections: 318, Admission: balancer.AdmissionFraction},
		d.channel,
		balancer.Guarantees{DrainDeadline: d.grace, EmptyTableDeadline: 7.6, WarmupStartFraction: 0.16, WarmupDuration: 18, OverloadFactor: 2.5, OverloadWindow: 1.5,
			DiscoveryPollDeadline: 10},
		balancer.Reporting{Period: 0.5, EntriesPerSecond: 120}, balancer.HealthChecking{}, balancer.Discovery{})
}

func serverName(i int) balancer.Server { return balancer.Server(fmt.Sprintf("s-%04d", i)) }

func (d day) entry(i int) balancer.Endpoint {
	return balancer.Endpoint{Server: serverName(i), Zone: balancer.Zone(i % d.zones), Weight: 1}
}

// play plays a day and returns the relay with what the referee has seen.
func (d day) play() *relay {
	r := newRelay(d.channel, 2, d.grace, d.seed)
	r.lossOf = d.lossOf
	r.watch = balancer.Proxy(d.watch)
	r.pace = func(at float64) float64 {
		if at >= start+d.slowFrom && at < start+d.slowUntil {
			return d.pace
		}
		return 1
	}
	r.now = start
	m := d.coordinator()
	news := balancer.Events{Lists: []balancer.EndpointList{{Scope: balancer.CachedList}}}
	var listed []balancer.Server
	for i := range d.servers {
		news.Lists[0].Endpoints = append(news.Lists[0].Endpoints, d.entry(i))
		listed = append(listed, serverName(i))
	}
	joining := func(from, n int) {
		for i := from; i < from+n; i++ {
			r.join(balancer.Proxy(i), listed)
			news.ProxyEvents = append(news.ProxyEvents, balancer.ProxyEvent{Proxy: balancer.Proxy(i), Joined: true, Zone: balancer.Zone(i % d.zones), ExpectedRate: 5})
		}
	}
	joining(0, d.proxies)
	const tick = 0.1
	step, joined, reportAt, leaveAt := 0, 0, start+1, 0.0
	for at := start; at < start+d.seconds && r.broken == "" && r.late == ""; at += tick {
		news.Acks = r.advance(at)
		if step < d.steps && at >= start+d.releaseAt+float64(step)*d.stepEvery {
			d.release(r, &news, step, at)
			step++
		}
		if joined < len(d.joinAt) && at >= start+d.joinAt[joined] {
			joining(d.proxies+joined*d.joiners, d.joiners)
			joined++
			leaveAt = at + 6
		}
		if leaveAt > 0 && at >= leaveAt {
			leaveAt = 0
			for i := range d.joiners {
				p := balancer.Proxy(d.proxies + (joined-1)*d.joiners + i)
				r.leave(p)
				news.ProxyEvents = append(news.ProxyEvents, balancer.ProxyEvent{Proxy: p})
			}
		}
		if at >= reportAt {
			reportAt += 0.5
			d.report(r, &news)
		}
		m.Reconcile(at, news, r)
		r.write()
		news = balancer.Events{}
	}
	return r
}

// release replaces a part of the servers: new ones are listed, old ones drain.
func (d day) release(r *relay, news *balancer.Events, step int, at float64) {
	each := d.servers / (2 * d.steps)
	list := balancer.EndpointList{Scope: balancer.DeltaList}
	slowed := 1.0
	if at < start+d.slowUntil {
		slowed = 1 / d.pace
	}
	for i := step * each; i < (step+1)*each; i++ {
		e := d.entry(d.servers + i)
		e.Started = at
		list.Endpoints = append(list.Endpoints, e)
		e = d.entry(i * 7919 % d.servers) // a prime: they stand anywhere among the others
		e.Phase = balancer.Draining
		list.Endpoints = append(list.Endpoints, e)
		r.drain(e.Server, slowed)
	}
	news.Lists = append(news.Lists, list)
}

// report says what proxies met at a part of the servers, whose answers take different times, and what came to a part of the proxies.
func (d day) report(r *relay, news *balancer.Events) {
	for range 60 {
		i := r.random.IntN(d.servers * 3 / 2)
		news.Upstreams = append(news.Upstreams, balancer.UpstreamReport{Server: serverName(i), Zone: balancer.Zone(i % d.zones), Attempts: 12,
			Latency: 0.1 + 0.4*r.random.Float64(), Interval: 1})
	}
	for range min(60, len(r.order)) {
		p := r.order[r.random.IntN(len(r.order))]
		for c := range 2 {
			news.Demands = append(news.Demands, balancer.DemandReport{Proxy: p.id, Class: balancer.Class(c), Requests: 3 * r.random.Float64(), Interval: 1})
		}
	}
}

// customer is a deployment of a customer's size and figures: 441 proxies of 2,472 at a coordinator, 200 servers, a channel whose
// limit is half a minute of its pace.
func customer() day {
	return day{coordinators: 5, proxies: 441, servers: 200, zones: 3, grace: 35.3, seconds: 40, pace: 1, seed: 1,
		channel: balancer.Channel{EntriesPerSecond: 2500, MessageOverhead: 10, MaxQueued: 84100, MeanDelay: 0.374, MaxDelay: 0.935,
			MaxMessages: 30, MessageWindow: 10},
		steps: 5, stepEvery: 2.1, releaseAt: 8, joinAt: []float64{9, 15, 21}, joiners: 120}
}

// drawnDay is a deployment of any figures. What happens in it fits its channel: a release and restarts whose lines can't be
// carried in time are kept by nobody.
func drawnDay(t *rapid.T) day {
	d := customer()
	d.seed = rapid.Uint64().Draw(t, "seed")
	d.coordinators = rapid.SampledFrom([]int{1, 2, 5, 24, 350}).Draw(t, "coordinators")
	d.proxies = rapid.SampledFrom([]int{7, 60, 200, 480}).Draw(t, "proxies")
	d.servers = rapid.SampledFrom([]int{24, 60, 200}).Draw(t, "servers")
	d.proxies = max(min(d.proxies, 2400/d.coordinators), 2)
	d.channel.EntriesPerSecond = rapid.SampledFrom([]float64{1000, 1700, 2700}).Draw(t, "lines per second")
	d.channel.MaxQueued = d.channel.EntriesPerSecond * rapid.SampledFrom([]float64{1, 2, 3.3, 34}).Draw(t, "backlog in seconds")
	d.channel.MessageOverhead = rapid.SampledFrom([]float64{3, 5, 10}).Draw(t, "head")
	d.channel.MaxMessages = rapid.SampledFrom([]int{0, 0, 1, 2, 3, 4, 5, 6, 8, 12, 30, 60}).Draw(t, "messages")
	d.channel.MeanDelay = rapid.Float64Range(0.08, 0.43).Draw(t, "way")
	d.channel.MaxDelay = 2.5 * d.channel.MeanDelay
	d.grace = d.channel.MaxQueued/d.channel.EntriesPerSecond + rapid.Float64Range(1.2, 2).Draw(t, "grace over backlog")
	fits := 0.4 * d.channel.MaxQueued / (d.channel.MessageOverhead + 4) // proxies that a step of a release can reach at once
	d.proxies = min(d.proxies, int(fits*4/5))
	d.joiners = max(d.proxies/4, 1)
	d.lossOf = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "lost acknowledgements")
	d.pace = rapid.SampledFrom([]float64{1, 0.5, 0.25, 0.12, 0.05}).Draw(t, "pace")
	d.slowFrom = rapid.SampledFrom([]float64{0, 7, 9.2, 14}).Draw(t, "slow from")
	d.slowUntil = d.slowFrom + rapid.SampledFrom([]float64{4, 12, 1000}).Draw(t, "slow for")
	d.steps = rapid.IntRange(0, 4).Draw(t, "steps")
	return d
}

// fitting has a day's events come at a rate that its channel can carry, at the pace that it has then, with as much again to spare;
// days that would take too long are played at a higher pace.
func (d day) fitting() day {
	const (
		table   = 20.0 // lines of a whole table, about
		longest = 60.0 // seconds until the release begins
	)
	joining := float64(d.proxies) * (d.channel.MessageOverhead + table)
	d.pace = max(d.pace, 2*joining/d.channel.EntriesPerSecond/longest)
	each := d.channel.EntriesPerSecond * min(d.pace, 1)
	release := float64(d.proxies+d.joiners) * (d.channel.MessageOverhead + 4) / each
	joins := float64(d.joiners) * (d.channel.MessageOverhead + table) / each
	d.releaseAt = 8 + 2*joining/each
	d.stepEvery = max(2.1, 2*(release+joins))
	d.joinAt = nil
	for i := range 2 {
		d.joinAt = append(d.joinAt, d.releaseAt+d.stepEvery*(0.4+float64(i)))
	}
	d.seconds = d.releaseAt + d.stepEvery*float64(max(d.steps, 2)) + d.grace/d.pace
	return d
}

// enough tells whether the limit on messages leaves one for each step of a release within its time.
func (d day) enough() bool {
	needed := 2 + 2 + d.channel.MessageWindow/d.stepEvery
	return d.channel.MaxMessages == 0 || float64(d.channel.MaxMessages) >= needed
}

const drawnDays = 16

// Both limits on the channel and the time that drains have are kept on any deployment, also where the channel slows down in the
// midst of a release while neighbours restart.
func TestLimitsOnTheChannelAreKept(t *testing.T) {
	for seed := range drawnDays {
		d := rapid.Custom(drawnDay).Example(seed).fitting()
		r := d.play()
		if r.broken != "" || r.late != "" && d.enough() {
			t.Errorf("day %d: %s %s; most lines %.0f, most messages %d; %+v", seed, r.broken, r.late, r.mostWaiting, r.mostMessages, d)
		}
	}
}

// The limits hold also where more happens than the channel can carry: then drains may be late.
func TestLimitsHoldInAChannelThatCannotKeepUp(t *testing.T) {
	for seed := range drawnDays {
		d := rapid.Custom(drawnDay).Example(1000 + seed)
		if r := d.play(); r.broken != "" {
			t.Errorf("day %d: %s; most lines %.0f, most messages %d; %+v", seed, r.broken, r.mostWaiting, r.mostMessages, d)
		}
	}
}

// A customer's day at full size: the channel of one of five coordinators goes at its promised pace, or slows down.
func TestCustomersDayKeepsTheLimits(t *testing.T) {
	for _, pace := range []float64{1, 0.25, 0.12, 0.03} {
		d := customer()
		d.pace, d.slowFrom, d.slowUntil = pace, 6, 100
		r := d.play()
		t.Logf("pace %.2f: most lines %.0f of %.0f, messages %d; %s", pace, r.mostWaiting, d.channel.MaxQueued, r.mostMessages, r.late)
		if r.broken != "" || pace == 1 && r.late != "" {
			t.Errorf("pace %.2f: %s %s", pace, r.broken, r.late)
		}
	}
}
