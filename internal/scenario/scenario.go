// Package scenario runs fault-injection scenarios of coordinators, servers and relays. The same programs run either
// in virtual time or over loopback sockets. The invariant checker derives its verdicts from what relays and servers
// observed.
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

// DefaultScenario is the settings file of the scenario that runs if no other is given.
//
//go:embed bad-day.xml
var DefaultScenario []byte

const (
	virtualStartSeconds  = 1000.0 // initial reading of the virtual clock; well above 0, like a wall clock
	checkIntervalSeconds = 0.05   // interval between calls of the invariant checker
	settleSeconds        = 2.0    // added after the scenario's end for messages that are still in flight
	maxDetectionSeconds  = 2.0    // maximum time until a broken connection is detected
	socketSlackSeconds   = 0.35   // tolerance of the checker for delays by timers, goroutines and a busy machine
	virtualSlackSeconds  = 0.05   // tolerance of the checker in virtual time
)

// runStream is the second word of the seed of a run's random number generator.
const runStream = 0xda4

// Options configures the run of a scenario.
type Options struct {
	Sockets          bool // run over loopback sockets in real time; otherwise in virtual time
	Log              *slog.Logger
	OnMessageTrace   func(controlplane.MessageTrace) // optional: receives the trace of each message
	Seed             uint64                          // seed of the run; 0: the scenario's seed
	Coordinators     int                             // number of coordinators that share the fleet; 0 or 1: a single one
	RealProxies      bool                            // run real proxies with HTTP clients instead of emulated relays
	Processes        *Processes                      // run coordinators as processes, over sockets; nil: in this process
	OnJoinedCheck    func(now float64, joined bool)  // optional: receives at each check whether all relays are joined
	Policy           emulator.Policy                 // how emulated relays select servers
	DropMeasurements bool                            // discard all measurements, so that weights stay as configured
	Front            string                          // protocol of the relays: "sasp", "http" or "both" alternately; empty: sasp

	// WrapCoordinator returns the program that runs in virtual time in place of a coordinator, and that runs the
	// coordinator in turn; nil: the coordinator runs unwrapped.
	WrapCoordinator func(program env.Program) env.Program
}

// usesLongPoll reports whether a relay uses the long-poll API instead of SASP.
func (o Options) usesLongPoll(relay int) bool {
	return o.Front == "http" || o.Front == "both" && relay%2 == 1
}

// run is the state of a running scenario.
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
	overloaded     map[int]bool // servers that failed by overload, which stay down
	relays         []*emulator.Relay
	relayHosts     []host
	proxies        []*realProxy // run in place of the relays
	relayRestarts  []uint64
	keyPopularity  []float64
	takeovers      []takeover
	result         Result
}

// Run runs a scenario. It returns an error if the scenario could not be run; a broken rule is not an error but is
// recorded in the result.
func Run(scenario *settings.Scenario, options Options) (*Result, error) {
	r := newRun(scenario, options)
	start := r.network.Now()
	r.exclusively(func() {
		r.startPrograms()
		r.checkPeriodically()
		for _, fault := range scenario.Faults {
			r.network.At(start+fault.At, func() { r.injectFault(fault) })
		}
	})
	r.network.Run(start + scenario.Seconds + settleSeconds)
	r.exclusively(func() {
		for i := range r.coordinators {
			r.stopCoordinator(i)
		}
	})
	if r.sockets != nil {
		r.sockets.Stop()
	}
	r.finish(start)
	return &r.result, r.err
}

func newRun(scenario *settings.Scenario, options Options) *run {
	if options.Seed == 0 {
		options.Seed = scenario.Seed
	}
	r := &run{
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
	channel.EntriesPerSecond *= float64(max(options.Coordinators, 1)) // each coordinator has its own channel
	slack := virtualSlackSeconds
	if options.Sockets {
		slack = socketSlackSeconds
	}
	r.checker = emulator.NewInvariantChecker(emulator.Rules{
		Guarantees:       site.Guarantees,
		Channel:          channel,
		DisconnectHold:   site.Limits.ServerHold + maxDetectionSeconds,
		ObservationSlack: slack,
	}, r.classes)
	if options.Sockets {
		r.useSockets()
	} else {
		r.useVirtualTime()
	}
	return r
}

// emulatedClasses returns the request classes of a scenario.
func emulatedClasses(scenario *settings.Scenario) []emulator.Class {
	site := &scenario.Coordinator.Site
	var classes []emulator.Class
	for _, mix := range scenario.Classes {
		class := 0
		for class < len(site.ClassNames) && site.ClassNames[class] != mix.Class {
			class++
		}
		classes = append(classes, emulator.Class{
			Name:        mix.Class,
			Request:     site.Classes[class],
			Share:       mix.Share,
			MeanWork:    mix.Work,
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

// checkPeriodically calls the invariant checker and schedules its own next call.
func (r *run) checkPeriodically() {
	now := r.network.Now()
	r.checker.CheckDeadlines(now)
	r.checkTakeovers(now)
	r.network.At(now+checkIntervalSeconds, r.checkPeriodically)
}

// zoneOf returns the zone of a server.
func (r *run) zoneOf(server int) balancer.Zone {
	return r.scenario.Coordinator.Site.Servers[server].Zone
}
