package emulator

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
)

const (
	testStart      = 1000.0 // clock time in seconds at which the tests start
	unlimitedQueue = 1 << 30
)

var (
	testServerAddr  = netip.MustParseAddrPort("127.0.9.1:80")
	testProbeAddr   = netip.MustParseAddr("127.0.9.2")
	testRequestSpec = balancer.RequestClass{LatencyObjective: 1, ClientTimeout: 5}
)

// probe sends requests to a server as a Poisson process, and adds up the latencies of the responses.
type probe struct {
	ignoredEvents
	to          netip.AddrPort
	rate        float64                    // requests per second
	work        func(randomSource) float64 // draws the work of a request
	random      randomSource
	io          env.IO
	conn        env.Conn
	sent        map[uint64]float64 // send times of unanswered requests, by request ID
	lastRequest uint64
	countFrom   float64 // clock time in seconds; requests sent until then are not counted
	latencySum  float64
	count       int
	received    []byte
}

func (p *probe) Start(_ float64, io env.IO) {
	p.io = io
	p.sent = map[uint64]float64{}
	p.conn = io.Dial(p.to)
}

func (p *probe) Connected(now float64, _ env.Conn, _ bool) { p.scheduleNext(now) }

func (p *probe) scheduleNext(now float64) {
	p.io.SetTimer(now-math.Log(1-p.random.uniform())/p.rate, 0)
}

func (p *probe) TimerFired(now float64, _ int) {
	p.scheduleNext(now)
	p.lastRequest++
	p.sent[p.lastRequest] = now
	p.io.Send(p.conn, appendRequest(nil, p.lastRequest, 0, 0, p.work(p.random)))
}

func (p *probe) Receive(now float64, _ env.Conn, b []byte) {
	p.received = append(p.received, b...)
	for len(p.received) >= responseBytes {
		id := binary.BigEndian.Uint64(p.received)
		if sentAt := p.sent[id]; sentAt > p.countFrom {
			p.latencySum += now - sentAt
			p.count++
		}
		delete(p.sent, id)
		p.received = p.received[responseBytes:]
	}
}

// testServerConfig returns the configuration of a warm server with one core of speed 1.
func testServerConfig(classes []Class) ServerConfig {
	return ServerConfig{
		Addr: testServerAddr, FailureDomain: NewFailureDomain(), Cores: 1, Speed: 1, QueueCapacity: unlimitedQueue,
		WarmupFraction: 1, StartsWarm: true, Classes: classes, Seed: 3,
	}
}

// startServer starts a server in a new simulated network.
func startServer(config ServerConfig) (*simnet.Net, *Server) {
	net := simnet.New(7, testStart)
	server := NewServer(config, NewInvariantChecker(Rules{}, config.Classes))
	net.Add(testServerAddr.Addr(), 0, false).Start(server)
	return net, server
}

// erlangC returns the probability that a request has to wait, by Erlang's C formula, for a number of cores and an offered
// load in erlangs.
func erlangC(cores int, load float64) float64 {
	sum := 0.0
	term := 1.0
	for k := range cores {
		sum += term
		term *= load / float64(k+1)
	}
	last := term / (1 - load/float64(cores))
	return last / (sum + last)
}

// The mean latency of a single server matches queueing theory: M/M/1, M/M/c (Erlang C) and M/G/1 (Pollaczek-Khinchine).
func TestServerMatchesQueueingFormulas(t *testing.T) {
	const mean = 0.1
	exponential := func(random randomSource) float64 { return -math.Log(1-random.uniform()) * mean }
	constant := func(randomSource) float64 { return mean }
	// Uniform between half and one and a half times the mean: the second moment is 13/12 of the squared mean.
	uniformWork := func(random randomSource) float64 { return mean * (0.5 + random.uniform()) }
	for _, test := range []struct {
		name  string
		cores int
		load  float64 // utilization of the cores
		work  func(randomSource) float64
		want  func(load float64) float64 // mean time in the system in seconds
	}{
		{"M/M/1", 1, 0.5, exponential, func(l float64) float64 { return mean / (1 - l) }},
		{"M/M/1", 1, 0.8, exponential, func(l float64) float64 { return mean / (1 - l) }},
		{"M/M/4", 4, 0.8, exponential, func(l float64) float64 { return mean + erlangC(4, 4*l)*mean/(4*(1-l)) }},
		{"M/D/1", 1, 0.7, constant, func(l float64) float64 { return mean + l*mean/(2*(1-l)) }},
		{"M/G/1", 1, 0.7, uniformWork, func(l float64) float64 { return mean + l*mean*(13.0/12)/(2*(1-l)) }},
	} {
		t.Run(fmt.Sprintf("%s at %.1f", test.name, test.load), func(t *testing.T) {
			config := testServerConfig([]Class{{Name: "q", Request: testRequestSpec, MeanWork: mean}})
			config.Cores = test.cores
			net, _ := startServer(config)
			p := &probe{to: testServerAddr, rate: test.load * float64(test.cores) / mean, work: test.work, random: newRandomSource(11), countFrom: 1100}
			net.Add(testProbeAddr, 0, false).Start(p)
			net.Run(testStart + 60000*mean/float64(test.cores))
			got := p.latencySum / float64(p.count)
			want := test.want(test.load)
			t.Logf("mean latency %.4f s over %d requests, formula gives %.4f s", got, p.count, want)
			if p.count < 20000 || math.Abs(got-want) > 0.04*want {
				t.Errorf("mean latency %.4f s over %d requests, formula gives %.4f s", got, p.count, want)
			}
		})
	}
}

func TestKeyCacheAndConnectionCost(t *testing.T) {
	classes := []Class{{Name: "q", Request: testRequestSpec}}
	meanLatency := func(change func(*ServerConfig)) float64 {
		const work = 0.1
		const load = 0.3
		config := testServerConfig(classes)
		change(&config)
		net, _ := startServer(config)
		p := &probe{to: testServerAddr, rate: load / work, work: func(randomSource) float64 { return work }, random: newRandomSource(11), countFrom: 1001}
		net.Add(testProbeAddr, 0, false).Start(p)
		net.Run(1400)
		return p.latencySum / float64(p.count)
	}
	plain := meanLatency(func(*ServerConfig) {})
	cached := meanLatency(func(c *ServerConfig) {
		c.KeyCacheDuration = 100
		c.KeyCacheSaving = 0.5
		c.KeyCacheSize = 10
	})
	if cached > 0.62*plain {
		t.Errorf("mean latency with a key cache %.3f s, without %.3f s; want at most 0.62 of it", cached, plain)
	}
	connected := meanLatency(func(c *ServerConfig) {
		c.MaxConnections = 1
		c.ConnectionWork = 0.05
	})
	if math.Abs(connected-plain) > 0.01*plain {
		t.Errorf("mean latency with connection cost %.3f s, without %.3f s; want a difference of at most 0.01 of it", connected, plain)
	}
}

func TestServerRefusesConnectionsOverItsLimit(t *testing.T) {
	config := testServerConfig([]Class{{Name: "q", Request: testRequestSpec}})
	config.QueueCapacity = 9
	config.MaxConnections = 3
	net, server := startServer(config)
	var probes []*probe
	for i := range 5 {
		p := &probe{to: testServerAddr, rate: 1, work: func(randomSource) float64 { return 0.01 }, random: newRandomSource(uint64(i))}
		net.Add(netip.AddrFrom4([4]byte{127, 0, 9, byte(10 + i)}), 0, false).Start(p)
		probes = append(probes, p)
	}
	net.Run(1030)
	served := 0
	for _, p := range probes {
		if p.count > 0 {
			served++
		}
	}
	if served != 3 || server.openConnections != 3 {
		t.Errorf("%d of 5 clients served, %d connections open; want 3 of each", served, server.openConnections)
	}
}

func TestCancelledWorkStopsOrContinues(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancels %t", cancels), func(t *testing.T) {
			config := testServerConfig([]Class{{Name: "q", Request: testRequestSpec}})
			config.QueueCapacity = 9
			config.CancelsWork = cancels
			net, server := startServer(config)
			p := &probe{to: testServerAddr, rate: 1e-9, work: func(randomSource) float64 { return 1 }, random: newRandomSource(1)}
			net.Add(testProbeAddr, 0, false).Start(p)
			net.Run(1000.5)
			p.io.Send(p.conn, appendRequest(appendRequest(nil, 1, 0, 0, 5), 2, 0, 0, 5))
			net.Run(1001)
			p.io.Send(p.conn, appendRequest(appendRequest(nil, 1, cancelledClass, 0, 0), 2, cancelledClass, 0, 0))
			net.Run(1002)
			stillRunning := len(server.running) == 1
			if len(server.waiting) != 0 || stillRunning == cancels {
				t.Errorf("%d jobs running, %d queued after the cancellation", len(server.running), len(server.waiting))
			}
		})
	}
}
