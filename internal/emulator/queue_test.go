package emulator

import (
	"encoding/binary"
	"math"
	"net/netip"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
)

// probe sends a server queries that come by Poisson's law, and keeps how long they took in all.
type probe struct {
	to     netip.AddrPort
	rate   float64
	work   func(randomSource) float64
	random randomSource
	io     env.IO
	conn   env.Conn
	sent   map[uint64]float64
	lastRequest   uint64
	countFrom   float64 // seconds of the clock, until when nothing counts
	sum    float64
	count  int
	buf    []byte
}

func (p *probe) Start(_ float64, io env.IO) {
	p.io, p.sent, p.conn = io, map[uint64]float64{}, io.Dial(p.to)
}
func (p *probe) Connected(now float64, _ env.Conn, _ bool) { p.scheduleNext(now) }
func (p *probe) scheduleNext(now float64)                          { p.io.SetTimer(now-math.Log(1-p.random.uniform())/p.rate, 0) }
func (p *probe) TimerFired(now float64, _ int) {
	p.scheduleNext(now)
	p.lastRequest++
	p.sent[p.lastRequest] = now
	p.io.Send(p.conn, appendRequest(nil, p.lastRequest, 0, 0, p.work(p.random)))
}
func (p *probe) Receive(now float64, _ env.Conn, b []byte) {
	p.buf = append(p.buf, b...)
	for len(p.buf) >= responseBytes {
		id := binary.BigEndian.Uint64(p.buf)
		if at := p.sent[id]; at > p.countFrom {
			p.sum, p.count = p.sum+now-at, p.count+1
		}
		delete(p.sent, id)
		p.buf = p.buf[responseBytes:]
	}
}
func (p *probe) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (p *probe) Closed(float64, env.Conn)                     {}
func (p *probe) Delivered(float64, env.Conn, uint64)          {}
func (p *probe) Datagram(float64, []byte)                     {}

// erlangC is the chance that a query has to wait, with c cores and an offered load of a.
func erlangC(c int, a float64) float64 {
	sum, term := 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - a/float64(c))
	return last / (sum + last)
}

// A server alone takes as long as the known formulas say: M/M/1, M/M/c (Erlang's C) and M/G/1 (Pollaczek and Khinchine).
func TestAServerIsAKnownQueue(t *testing.T) {
	const mean = 0.1
	exponential := func(c randomSource) float64 { return -math.Log(1-c.uniform()) * mean }
	for _, q := range []struct {
		name  string
		cores int
		load  float64 // of all cores
		work  func(randomSource) float64
		wants func(load float64) float64 // mean seconds in the system
	}{
		{"M/M/1", 1, 0.5, exponential, func(l float64) float64 { return mean / (1 - l) }},
		{"M/M/1", 1, 0.8, exponential, func(l float64) float64 { return mean / (1 - l) }},
		{"M/M/4", 4, 0.8, exponential, func(l float64) float64 { return mean + erlangC(4, 4*l)*mean/(4*(1-l)) }},
		{"M/D/1", 1, 0.7, func(randomSource) float64 { return mean }, func(l float64) float64 { return mean + l*mean/(2*(1-l)) }},
		{"M/G/1", 1, 0.7, func(c randomSource) float64 { // evenly from a half to one and a half: the square's mean is 13/12 of the mean's square
			return mean * (0.5 + c.uniform())
		}, func(l float64) float64 { return mean + l*mean*(13.0/12)/(2*(1-l)) }},
	} {
		classes := []Class{{Name: "q", Request: balancer.RequestClass{LatencyObjective: 1, ClientTimeout: 5}, MeanWork: mean}}
		ref := NewInvariantChecker(Rules{}, classes)
		net := simnet.New(7, 1000)
		addr := netip.MustParseAddrPort("127.0.9.1:80")
		s := NewServer(ServerConfig{Addr: addr, FailureDomain: NewFailureDomain(), Cores: q.cores, Speed: 1, QueueCapacity: 1 << 30, WarmupFraction: 1, StartsWarm: true, Classes: classes, Seed: 3}, ref)
		net.Add(addr.Addr(), 0, false).Start(s)
		p := &probe{to: addr, rate: q.load * float64(q.cores) / mean, work: q.work, random: newRandomSource(11), countFrom: 1100}
		net.Add(netip.MustParseAddr("127.0.9.2"), 0, false).Start(p)
		net.Run(1000 + 60000*mean/float64(q.cores))
		got, want := p.sum/float64(p.count), q.wants(q.load)
		if p.count < 20000 || math.Abs(got-want) > 0.04*want {
			t.Errorf("%s at %.1f: %.4f s over %d queries, the formula says %.4f", q.name, q.load, got, p.count, want)
		} else {
			t.Logf("%s at %.1f: %.4f s over %d queries, the formula says %.4f", q.name, q.load, got, p.count, want)
		}
	}
}

// What servers are like besides: connections that are refused, their price, keys that are remembered, work that stops.
func TestServersModel(t *testing.T) {
	classes := []Class{{Name: "q", Request: balancer.RequestClass{LatencyObjective: 1, ClientTimeout: 5}}}
	mean := func(change func(*ServerConfig), load float64) float64 {
		ref := NewInvariantChecker(Rules{}, classes)
		net := simnet.New(7, 1000)
		addr := netip.MustParseAddrPort("127.0.9.1:80")
		setup := ServerConfig{Addr: addr, FailureDomain: NewFailureDomain(), Cores: 1, Speed: 1, QueueCapacity: 1 << 30, WarmupFraction: 1, StartsWarm: true, Classes: classes, Seed: 3}
		change(&setup)
		net.Add(addr.Addr(), 0, false).Start(NewServer(setup, ref))
		p := &probe{to: addr, rate: load / 0.1, work: func(randomSource) float64 { return 0.1 }, random: newRandomSource(11), countFrom: 1001}
		net.Add(netip.MustParseAddr("127.0.9.2"), 0, false).Start(p)
		net.Run(1400)
		return p.sum / float64(p.count)
	}
	plain := mean(func(*ServerConfig) {}, 0.3)
	if known := mean(func(s *ServerConfig) { s.KeyCacheDuration, s.KeyCacheSaving, s.KeyCacheSize = 100, 0.5, 10 }, 0.3); known > 0.62*plain {
		t.Errorf("a remembered key's query takes %.3f s, %.3f without", known, plain)
	}
	if shut := mean(func(s *ServerConfig) { s.MaxConnections = 1; s.ConnectionWork = 0.05 }, 0.3); math.Abs(shut-plain) > 0.01*plain {
		t.Errorf("one connection that stays costs %.3f s a query, %.3f without", shut, plain)
	}
	// Five dial a server that takes three.
	ref := NewInvariantChecker(Rules{}, classes)
	net := simnet.New(7, 1000)
	addr := netip.MustParseAddrPort("127.0.9.1:80")
	s := NewServer(ServerConfig{Addr: addr, FailureDomain: NewFailureDomain(), Cores: 1, Speed: 1, QueueCapacity: 9, WarmupFraction: 1, StartsWarm: true, Classes: classes, Seed: 3, MaxConnections: 3}, ref)
	net.Add(addr.Addr(), 0, false).Start(s)
	answered := 0
	var probes []*probe
	for i := range 5 {
		p := &probe{to: addr, rate: 1, work: func(randomSource) float64 { return 0.01 }, random: newRandomSource(uint64(i))}
		net.Add(netip.AddrFrom4([4]byte{127, 0, 9, byte(10 + i)}), 0, false).Start(p)
		probes = append(probes, p)
	}
	net.Run(1030)
	for _, p := range probes {
		if p.count > 0 {
			answered++
		}
	}
	if answered != 3 || s.openConnections != 3 {
		t.Errorf("%d of 5 are answered, %d are open", answered, s.openConnections)
	}
	// Work that is given up: it stops, or goes on for nobody.
	for _, stops := range []bool{true, false} {
		net := simnet.New(7, 1000)
		s := NewServer(ServerConfig{Addr: addr, FailureDomain: NewFailureDomain(), Cores: 1, Speed: 1, QueueCapacity: 9, WarmupFraction: 1, StartsWarm: true, Classes: classes, Seed: 3, CancelsWork: stops}, NewInvariantChecker(Rules{}, classes))
		net.Add(addr.Addr(), 0, false).Start(s)
		p := &probe{to: addr, rate: 1e-9, work: func(randomSource) float64 { return 1 }, random: newRandomSource(1)}
		net.Add(netip.MustParseAddr("127.0.9.2"), 0, false).Start(p)
		net.Run(1000.5)
		p.io.Send(p.conn, appendRequest(appendRequest(nil, 1, 0, 0, 5), 2, 0, 0, 5))
		net.Run(1001)
		p.io.Send(p.conn, appendRequest(appendRequest(nil, 1, cancelledClass, 0, 0), 2, cancelledClass, 0, 0))
		net.Run(1002)
		if len(s.waiting) != 0 || len(s.running) == 1 == stops {
			t.Errorf("stops %t: %d run, %d wait", stops, len(s.running), len(s.waiting))
		}
	}
}
