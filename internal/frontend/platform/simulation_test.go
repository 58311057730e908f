package platform

import (
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

// idleProgram is an env.Program that does nothing, for embedding in the fakes.
type idleProgram struct{ io env.IO }

func (p *idleProgram) Start(_ float64, io env.IO)                   { p.io = io }
func (p *idleProgram) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (p *idleProgram) Connected(float64, env.Conn, bool)            {}
func (p *idleProgram) Receive(float64, env.Conn, []byte)            {}
func (p *idleProgram) Closed(float64, env.Conn)                     {}
func (p *idleProgram) Delivered(float64, env.Conn, uint64)          {}
func (p *idleProgram) Datagram(float64, []byte)                     {}
func (p *idleProgram) TimerFired(float64, int)                      {}

// simulation is a program with its peers in a simulated network whose clock starts at simulationStart.
type simulation struct {
	net         *simnet.Net
	program     *Program
	relay       *fakeRelay
	discovery   *fakeDiscovery
	client      *fakeClient
	relayHost   *simnet.Host
	programHost *simnet.Host
}

const (
	simulationStart = 1000   // seconds
	simulationReady = 1000.5 // seconds; the program has established its connections by then
)

// fataler is implemented by both testing.TB and rapid.T.
type fataler interface{ Fatal(args ...any) }

// simulate starts a program with a limit of 256 descriptors and three servers.
func simulate(t fataler, seed uint64) *simulation {
	return simulateWith(t, seed, 256, settings, server("s-1", "ready"), server("s-2", "ready"), server("s-3", "ready"))
}

func simulateWith(t fataler, seed uint64, descriptors int, settings string, servers ...discovery.Server) *simulation {
	parsed, err := deployment.Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	cached := discovery.List{Full: true, Servers: servers}
	sim := newSimulation(seed, Config{
		Discovery:      discoveryAddress,
		Relay:          relayAddress,
		MaxDescriptors: descriptors,
		CachedList:     &cached,
		Seed:           7,
		Deployment:     parsed,
	})
	sim.discovery.list = cached
	sim.startAll()
	sim.net.Run(simulationReady)
	return sim
}

// newSimulation returns a simulation in which no program has been started.
func newSimulation(seed uint64, config Config) *simulation {
	return &simulation{
		net:       simnet.New(seed, simulationStart),
		program:   New(config, slog.New(slog.DiscardHandler)),
		relay:     newFakeRelay(),
		discovery: &fakeDiscovery{},
		client:    newFakeClient(),
	}
}

// startAll starts the peers and then the program.
func (s *simulation) startAll() {
	s.relayHost = s.start(relayAddress, s.relay)
	s.start(discoveryAddress, s.discovery)
	s.start(clientAddress, s.client)
	s.programHost = s.start(selfAddress, s.program)
}

// start runs a program on a new host.
func (s *simulation) start(address netip.AddrPort, program env.Program) *simnet.Host {
	host := s.net.Add(address.Addr(), 0, false)
	host.Start(program)
	return host
}
