package platform

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"

	"snowquay/internal/deployment"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/testseed"
	"snowquay/internal/wire/discovery"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var (
	selfAddress      = netip.MustParseAddrPort("10.0.0.4:8000")
	relayAddress     = netip.MustParseAddrPort("10.2.0.2:6400")
	discoveryAddress = netip.MustParseAddrPort("10.2.0.1:8500")
	otherRelay       = netip.MustParseAddrPort("10.2.0.4:6401")
	otherDiscovery   = netip.MustParseAddrPort("10.2.0.3:8501")
	clientAddress    = netip.MustParseAddrPort("10.9.0.1:1")
)

const settings = `{"balancers":1,"discovery":"pushed","zones":["a","b"],"host-types":["m"],"family-info":{"data-plane-size":9,
"default-retry":1,"egress-per-s":1600,"pending-max":1600,"per-message":3,"period":0.5,"propagation":0.4,"late-most":1,
"level-kind":"fraction","unserved-max":2.7,"update-window":10},"grades":[{"name":"lookup","aim":1.5,"deadline":5,"effect":"free",
"points":3}],"guarantees":{"cold":18,"cold-from":0.2,"fall":1.5,"fall-multiple":3,"stop-sending-within":2.3},
"policy-limits":{"may-probe":true},"report":{"how":"piggyback","names":["q","busy"]}}`

// idleProgram is a env.Program that does nothing of its own.
type idleProgram struct{ io env.IO }

func (p *idleProgram) Start(_ float64, io env.IO)                   { p.io = io }
func (p *idleProgram) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (p *idleProgram) Connected(float64, env.Conn, bool)            {}
func (p *idleProgram) Receive(float64, env.Conn, []byte)            {}
func (p *idleProgram) Closed(float64, env.Conn)                     {}
func (p *idleProgram) Delivered(float64, env.Conn, uint64)          {}
func (p *idleProgram) Datagram(float64, []byte)                     {}
func (p *idleProgram) TimerFired(float64, int)                      {}

type simulation struct {
	net       *simnet.Net
	program   *Program
	relay     *fakeRelay
	discovery *fakeDiscovery
	client    *fakeClient
	hosts     map[string]*simnet.Host
}

func simulate(t interface{ Fatal(...any) }, seed uint64, sockets int) *simulation {
	return simulateWith(t, seed, sockets, settings, server("s-1", "ready"), server("s-2", "ready"), server("s-3", "ready"))
}

func simulateWith(t interface{ Fatal(...any) }, seed uint64, sockets int, settings string, servers ...discovery.Server) *simulation {
	d, err := deployment.Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	sim := &simulation{net: simnet.New(seed, 1000), relay: newFakeRelay(), discovery: &fakeDiscovery{}, client: newFakeClient(), hosts: map[string]*simnet.Host{}}
	known := &discovery.List{Full: true, Servers: servers}
	sim.discovery.list = *known
	sim.program = New(Config{Discovery: discoveryAddress, Relay: relayAddress, MaxDescriptors: sockets, CachedList: known, Seed: 7, Deployment: d},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	for name, x := range map[string]struct {
		at netip.AddrPort
		p  env.Program
	}{"relay": {relayAddress, sim.relay}, "discovery": {discoveryAddress, sim.discovery}, "caller": {clientAddress, sim.client}} {
		sim.hosts[name] = sim.net.Add(x.at.Addr(), 0, false)
		sim.hosts[name].Start(x.p)
	}
	sim.hosts["self"] = sim.net.Add(selfAddress.Addr(), 0, false)
	sim.hosts["self"].Start(sim.program)
	sim.net.Run(1000.5)
	return sim
}
