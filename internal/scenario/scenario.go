// Package scenario runs fault-injection scenarios: coordinators, servers and relays, and what goes wrong, in virtual time
// or over loopback sockets, with the same programs. The verdict of the invariant checker comes from what relays and
// servers observed.
package scenario

import (
	_ "embed"
	"log/slog"
	"math/rand/v2"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/emulator"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/env/socketnet"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/settings"
)

// DefaultScenario is the scenario that runs if none is named.
//
//go:embed bad-day.xml
var DefaultScenario []byte

const (
	virtualStartSeconds  = 1000.0 // of the clock in virtual time; well above 0, as wall clocks are
	checkIntervalSeconds = 0.05   // between two calls of the invariant checker
	settleSeconds        = 2.0    // after the scenario's end, for what is still in flight
	maxDetectionSeconds  = 2.0    // until a cut connection is detected
	socketSlackSeconds   = 0.35   // that timers, goroutines and a busy machine may take
	virtualSlackSeconds  = 0.05
)

// runStream is the second word of the seed of a run's random numbers.
const runStream = 0xda4

// Options of a run.
type Options struct {
	Sockets          bool // over loopback sockets, in real time; otherwise in virtual time
	Log              *slog.Logger
	OnMessageTrace   func(controlplane.MessageTrace) // optional
	Seed             uint64                          // 0: the scenario's
	Coordinators     int                             // that share the fleet; 0 or 1: one alone
	RealProxies      bool                            // real proxies with HTTP clients, in place of emulated relays
	Processes        *Processes                      // coordinators are processes of their own, over sockets; nil: they are not
	OnJoinedCheck    func(now float64, led bool)     // optional: whether all relays are led
	Policy           emulator.Policy                 // of emulated relays
	DropMeasurements bool                            // the configured weights remain
	Front            string                          // by which relays join: "sasp", "http", or "both" in turn; empty: sasp

	// WrapCoordinator returns the program that stands in a coordinator's place in virtual time, and runs it; nil: the
	// coordinator itself.
	WrapCoordinator func(program env.Program) env.Program
}

// usesLongPoll tells whether a relay speaks the long-poll API instead of SASP.
func (o Options) usesLongPoll(relay int) bool {
	return o.Front == "http" || o.Front == "both" && relay%2 == 1
}

// run is a scenario under way.
type run struct {
	environment
	scenario *settings.Scenario
	options  Options
	checker  *emulator.InvariantChecker
	classes  []emulator.Class
	random   *rand.Rand

	coordinators   []*coordinatorInstance
	servers        []*emulator.Server
	serverHosts    []host
	failureDomains map[int]*emulator.FailureDomain
	overloaded     map[int]bool // servers, which stay down
	relays         []*emulator.Relay
	relayHosts     []host
	proxies        []*realProxy // in place of the relays
	relayRestarts  []uint64
	keyPopularity  []float64
	takeovers      []takeover
	result         Result
}

// Run runs a scenario. It returns an error if it could not be run; a broken rule is part of the result.
func Run(scenario *settings.Scenario, options Options) (*Result, error) {
	started := newRun(scenario, options)
	start := started.network.Now()
	started.exclusively(func() {
		started.startPrograms()
		started.check()
		for _, fault := range scenario.Faults {
			started.network.At(start+fault.At, func() { started.injectFault(fault) })
		}
	})
	started.network.Run(start + scenario.Seconds + settleSeconds)
	started.exclusively(func() {
		for i := range started.coordinators {
			started.stopCoordinator(i)
		}
	})
	if started.sockets != nil {
		started.sockets.Stop()
	}
	started.finish(start)
	return &started.result, started.err
}

func newRun(scenario *settings.Scenario, options Options) *run {
	if options.Seed == 0 {
		options.Seed = scenario.Seed
	}
	created := &run{
		scenario:       scenario,
		options:        options,
		failureDomains: map[int]*emulator.FailureDomain{},
		overloaded:     map[int]bool{},
		random:         rand.New(rand.NewPCG(options.Seed, runStream)),
		keyPopularity:  emulator.Popularity(scenario.Keys, scenario.Clients.Popularity),
		classes:        emulatedClasses(scenario),
	}
	site := &scenario.Coordinator.Site
	channel := site.Channel
	channel.EntriesPerSecond *= float64(max(options.Coordinators, 1)) // each has a channel of its own
	slack := virtualSlackSeconds
	if options.Sockets {
		slack = socketSlackSeconds
	}
	created.checker = emulator.NewInvariantChecker(emulator.Rules{
		Guarantees:       site.Guarantees,
		Channel:          channel,
		DisconnectHold:   site.Limits.ServerHold + maxDetectionSeconds,
		ObservationSlack: slack,
	}, created.classes)
	if options.Sockets {
		created.useSockets()
	} else {
		created.useVirtualTime()
	}
	return created
}

// emulatedClasses returns the classes of a scenario's requests.
func emulatedClasses(scenario *settings.Scenario) []emulator.Class {
	site := &scenario.Coordinator.Site
	var classes []emulator.Class
	for _, query := range scenario.Classes {
		class := 0
		for class < len(site.ClassNames) && site.ClassNames[class] != query.Class {
			class++
		}
		classes = append(classes, emulator.Class{
			Name:        query.Class,
			Request:     site.Classes[class],
			Share:       query.Share,
			MeanWork:    query.Work,
			RetryPolicy: site.RetryPolicies[class],
		})
	}
	return classes
}

func (r *run) useSockets() {
	r.sockets = socketnet.New(eventloop.Clock())
	r.network = r.sockets
	zones := len(r.scenario.Coordinator.Site.Zones)
	for i := range max(r.options.Coordinators, 1) {
		r.sockets.SetZone(r.coordinatorAddr(i, r.scenario.Coordinator.SASP).Addr(), i%zones)
	}
}

func (r *run) useVirtualTime() {
	r.virtual = simnet.New(r.options.Seed, virtualStartSeconds)
	r.network = r.virtual
	faults := &r.virtual.Faults
	faults.SplitProbability = r.scenario.Split
	faults.LossProbability = r.scenario.Loss
	faults.DuplicateProbability = r.scenario.Duplication
	faults.MaxDelay = r.scenario.Delay
	faults.DetectionDelay = maxDetectionSeconds
}

func (r *run) startPrograms() {
	for i := range max(r.options.Coordinators, 1) {
		r.coordinators = append(r.coordinators, &coordinatorInstance{})
		r.startCoordinator(i)
	}
	for i := range r.scenario.Coordinator.Site.Servers {
		r.addServer(i)
	}
	r.addRelays()
}

// check calls the invariant checker again and again.
func (r *run) check() {
	now := r.network.Now()
	r.checker.CheckDeadlines(now)
	r.checkTakeovers(now)
	r.network.At(now+checkIntervalSeconds, r.check)
}

// zoneOf returns the zone of a server.
func (r *run) zoneOf(server int) balancer.Zone {
	return r.scenario.Coordinator.Site.Servers[server].Zone
}
