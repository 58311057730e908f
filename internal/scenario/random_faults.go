package scenario

import (
	"math/rand/v2"

	"snowquay/internal/settings"
)

const (
	firstFaultSeconds   = 4.0 // the coordinator has learnt the first weights
	faultFreeEndSeconds = 8.0 // at the end of a scenario, for faults to end
	minFaults           = 2
	maxFaults           = 6
	sharedCoordinators  = 3
	noTarget            = -1 // in place of a server, relay, failure domain or zone that a fault does not concern
)

// The second words of the seeds of random numbers.
const (
	killStream     = 0x1c11
	redrawStream   = 0xd4a3
	takeoverStream = 0x7a4e
)

// coordinatorFault returns a restart of a coordinator.
func coordinatorFault(server int, at, duration float64) settings.Fault {
	return settings.Fault{
		Kind:          "coordinator_restart",
		Server:        server,
		Proxy:         noTarget,
		FailureDomain: noTarget,
		Zone:          noTarget,
		Factor:        1,
		At:            at,
		Duration:      duration,
	}
}

// AddCoordinatorFaults adds restarts, pauses and isolations of coordinators at random moments, by the scenario's seed.
func AddCoordinatorFaults(scenario *settings.Scenario, count int) {
	random := rand.New(rand.NewPCG(scenario.Seed, killStream))
	for range count {
		server := random.IntN(sharedCoordinators)
		at := firstFaultSeconds + random.Float64()*(scenario.Seconds-faultFreeEndSeconds-firstFaultSeconds)
		fault := coordinatorFault(server, at, 0.2+8*random.Float64())
		switch random.IntN(8) {
		case 0, 1:
			fault.Kind = "coordinator_pause"
			fault.Duration = 0.5 + 10*random.Float64()
		case 2:
			fault.Kind = "coordinator_hidden"
			fault.Duration = 1 + 15*random.Float64()
		case 3:
			fault.Kind = "coordinator_alone"
			fault.Duration = 1 + 10*random.Float64()
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
}

// redrawnKinds are the kinds of faults that RedrawFaults draws from. Their order decides what a seed draws.
var redrawnKinds = []string{
	"slow", "fast_errors", "hang", "crash", "mass_restart", "zone_cut", "drain", "coordinator_restart", "balancer_stall",
	"balancer_restart", "reconnect", "report_late", "reports_stop", "demand", "clock_gap",
}

// RandomizeFaults replaces a scenario's faults, by its seed: two to six of any kind, at any time, which may overlap.
func RandomizeFaults(scenario *settings.Scenario) {
	random := rand.New(rand.NewPCG(scenario.Seed, redrawStream))
	scenario.Faults = nil
	for range minFaults + random.IntN(maxFaults-1) {
		scenario.Faults = append(scenario.Faults, redrawFault(scenario, random))
	}
}

func redrawFault(scenario *settings.Scenario, random *rand.Rand) settings.Fault {
	site := &scenario.Coordinator.Site
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	fault := settings.Fault{
		Kind:          redrawnKinds[random.IntN(len(redrawnKinds))],
		Server:        random.IntN(len(site.Servers)),
		Proxy:         random.IntN(len(site.Proxies)),
		Zone:          site.Servers[random.IntN(len(site.Servers))].Zone,
		FailureDomain: int(site.Servers[random.IntN(len(site.Servers))].FailureDomain),
	}
	fault.At = firstFaultSeconds + random.Float64()*(scenario.Seconds-faultFreeEndSeconds-firstFaultSeconds)
	switch fault.Kind {
	case "slow":
		fault.Duration = between(5, 20)
		fault.Factor = between(2, 8)
	case "fast_errors":
		fault.Duration = between(5, 20)
		fault.Factor = between(0.3, 0.9)
	case "hang", "reports_stop":
		fault.Duration = between(4, 15)
	case "crash", "mass_restart", "coordinator_restart", "balancer_restart":
		fault.Duration = between(0.3, 5)
	case "zone_cut":
		fault.Duration = between(4, 12)
		fault.Zone = site.Servers[len(site.Servers)/2].Zone // not the coordinator's
	case "drain":
		fault.Duration = between(5, 20)
	case "balancer_stall", "clock_gap":
		fault.Duration = between(0.5, 3)
	case "report_late":
		fault.Duration = between(5, 15)
		fault.Factor = between(1, 4)
	case "demand":
		fault.Duration = between(3, 10)
		fault.Factor = between(1.3, 2)
	}
	return fault
}

const (
	firstKillSeconds          = 5.0  // the coordinators have found each other
	afterLastKillSeconds      = 10.0 // until the end of the scenario
	otherFaultIntervalSeconds = 9.0  // on average
	pauseOneIn                = 4    // kills, one is followed by a pause
	takeoverFactor            = 3    // of faults that have one
	extraDrainSeconds         = 4.0
)

// otherKinds are the kinds of faults that AddTakeovers draws from. Their order decides what a seed draws.
var otherKinds = []string{"drain", "drain", "crash", "mass_restart", "reconnect", "balancer_restart", "slow"}

// AddTakeovers replaces a scenario's faults by kills of three coordinators, at the given interval in seconds on average,
// each for up to a little longer than that. After one kill in four, on average, a coordinator is paused too. Other faults
// occur beside that, unless calm is set.
func AddTakeovers(scenario *settings.Scenario, kills int, interval float64, seed uint64, calm bool) {
	random := rand.New(rand.NewPCG(seed, takeoverStream))
	scenario.Seed = seed
	scenario.Faults = nil
	scenario.Seconds = firstKillSeconds + float64(kills)*interval + afterLastKillSeconds
	at := firstKillSeconds
	for range kills {
		server := random.IntN(sharedCoordinators)
		fault := coordinatorFault(server, at, 0.2+1.2*interval*random.Float64())
		scenario.Faults = append(scenario.Faults, fault)
		if random.IntN(pauseOneIn) == 0 {
			scenario.Faults = append(scenario.Faults, drawPause(fault, interval, random))
		}
		at += interval * (0.5 + random.Float64())
	}
	scenario.Seconds = max(scenario.Seconds, at+afterLastKillSeconds)
	if !calm {
		addOtherFaults(scenario, random)
	}
}

// drawPause returns a pause of a coordinator after a kill.
func drawPause(kill settings.Fault, interval float64, random *rand.Rand) settings.Fault {
	pause := kill
	pause.Kind = "coordinator_pause"
	pause.At = kill.At + interval*random.Float64()
	pause.Duration = 0.5 + 7*random.Float64()
	pause.Server = random.IntN(sharedCoordinators)
	return pause
}

func addOtherFaults(scenario *settings.Scenario, random *rand.Rand) {
	site := &scenario.Coordinator.Site
	for at := firstKillSeconds; at < scenario.Seconds-afterLastKillSeconds; at += otherFaultIntervalSeconds * (0.5 + random.Float64()) {
		server := random.IntN(len(site.Servers))
		fault := settings.Fault{
			Kind:          otherKinds[random.IntN(len(otherKinds))],
			Server:        server,
			Proxy:         random.IntN(len(site.Proxies)),
			FailureDomain: int(site.Servers[server].FailureDomain),
			Zone:          site.Servers[server].Zone,
			At:            at,
			Duration:      0.5 + 5*random.Float64(),
			Factor:        takeoverFactor,
		}
		if fault.Kind == "drain" {
			fault.Duration += extraDrainSeconds
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
}
