package scenario

import (
	"math/rand/v2"

	"snowquay/internal/settings"
)

const (
	firstFaultSeconds    = 4.0 // time by which the coordinator has computed its first weights
	faultFreeTailSeconds = 8.0 // time at the end of a scenario in which no fault begins, for earlier faults to end
	minFaults            = 2
	maxFaults            = 6
	coordinatorCount     = 3  // coordinators that share the fleet
	noTarget             = -1 // value of the target fields that a fault does not use
)

// Second words of the seeds of the random number generators.
const (
	coordinatorFaultStream = 0x1c11
	randomizeStream        = 0xd4a3
	takeoverStream         = 0x7a4e
)

// coordinatorRestart returns a fault that restarts a coordinator.
func coordinatorRestart(server int, at, duration float64) settings.Fault {
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

// AddCoordinatorFaults adds restarts, pauses and isolations of coordinators at random times, drawn with the
// scenario's seed.
func AddCoordinatorFaults(scenario *settings.Scenario, count int) {
	random := rand.New(rand.NewPCG(scenario.Seed, coordinatorFaultStream))
	for range count {
		server := random.IntN(coordinatorCount)
		at := firstFaultSeconds + random.Float64()*(scenario.Seconds-faultFreeTailSeconds-firstFaultSeconds)
		fault := coordinatorRestart(server, at, 0.2+8*random.Float64())
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

// randomKinds are the kinds of faults that RandomizeFaults draws from. Their order determines which kinds a seed
// yields.
var randomKinds = []string{
	"slow", "fast_errors", "hang", "crash", "mass_restart", "zone_cut", "drain", "coordinator_restart", "balancer_stall",
	"balancer_restart", "reconnect", "report_late", "reports_stop", "demand", "clock_gap",
}

// RandomizeFaults replaces a scenario's faults by two to six that are drawn with the scenario's seed: of any of
// randomKinds, at any time, possibly overlapping.
func RandomizeFaults(scenario *settings.Scenario) {
	random := rand.New(rand.NewPCG(scenario.Seed, randomizeStream))
	scenario.Faults = nil
	for range minFaults + random.IntN(maxFaults-1) {
		scenario.Faults = append(scenario.Faults, randomFault(scenario, random))
	}
}

func randomFault(scenario *settings.Scenario, random *rand.Rand) settings.Fault {
	site := &scenario.Coordinator.Site
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	fault := settings.Fault{
		Kind:          randomKinds[random.IntN(len(randomKinds))],
		Server:        random.IntN(len(site.Servers)),
		Proxy:         random.IntN(len(site.Proxies)),
		Zone:          site.Servers[random.IntN(len(site.Servers))].Zone,
		FailureDomain: int(site.Servers[random.IntN(len(site.Servers))].FailureDomain),
	}
	fault.At = firstFaultSeconds + random.Float64()*(scenario.Seconds-faultFreeTailSeconds-firstFaultSeconds)
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
		fault.Zone = site.Servers[len(site.Servers)/2].Zone // not the coordinator's zone
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
	firstKillSeconds          = 5.0  // time by which the coordinators have formed a group
	afterLastKillSeconds      = 10.0 // time from the last kill to the end of the scenario
	otherFaultIntervalSeconds = 9.0  // average interval between other faults
	killsPerPause             = 4    // average number of kills per pause of a coordinator
	otherFaultFactor          = 3    // factor of the other faults that have one
	extraDrainSeconds         = 4.0  // added to the duration of a drain
)

// otherFaultKinds are the kinds of other faults that AddTakeovers draws from. Their order determines which kinds a
// seed yields.
var otherFaultKinds = []string{"drain", "drain", "crash", "mass_restart", "reconnect", "balancer_restart", "slow"}

// AddTakeovers replaces a scenario's faults by kills of three coordinators, with the given average interval in
// seconds. A killed coordinator stays down for up to slightly longer than the interval. On average, one kill in four
// is followed by a pause of a coordinator. Other faults are added unless coordinatorFaultsOnly is set.
func AddTakeovers(scenario *settings.Scenario, kills int, interval float64, seed uint64, coordinatorFaultsOnly bool) {
	random := rand.New(rand.NewPCG(seed, takeoverStream))
	scenario.Seed = seed
	scenario.Faults = nil
	scenario.Seconds = firstKillSeconds + float64(kills)*interval + afterLastKillSeconds
	at := firstKillSeconds
	for range kills {
		server := random.IntN(coordinatorCount)
		fault := coordinatorRestart(server, at, 0.2+1.2*interval*random.Float64())
		scenario.Faults = append(scenario.Faults, fault)
		if random.IntN(killsPerPause) == 0 {
			scenario.Faults = append(scenario.Faults, randomPause(fault, interval, random))
		}
		at += interval * (0.5 + random.Float64())
	}
	scenario.Seconds = max(scenario.Seconds, at+afterLastKillSeconds)
	if !coordinatorFaultsOnly {
		addOtherFaults(scenario, random)
	}
}

// randomPause returns a fault that pauses a random coordinator after a kill.
func randomPause(kill settings.Fault, interval float64, random *rand.Rand) settings.Fault {
	pause := kill
	pause.Kind = "coordinator_pause"
	pause.At = kill.At + interval*random.Float64()
	pause.Duration = 0.5 + 7*random.Float64()
	pause.Server = random.IntN(coordinatorCount)
	return pause
}

func addOtherFaults(scenario *settings.Scenario, random *rand.Rand) {
	site := &scenario.Coordinator.Site
	for at := firstKillSeconds; at < scenario.Seconds-afterLastKillSeconds; at += otherFaultIntervalSeconds * (0.5 + random.Float64()) {
		server := random.IntN(len(site.Servers))
		fault := settings.Fault{
			Kind:          otherFaultKinds[random.IntN(len(otherFaultKinds))],
			Server:        server,
			Proxy:         random.IntN(len(site.Proxies)),
			FailureDomain: int(site.Servers[server].FailureDomain),
			Zone:          site.Servers[server].Zone,
			At:            at,
			Duration:      0.5 + 5*random.Float64(),
			Factor:        otherFaultFactor,
		}
		if fault.Kind == "drain" {
			fault.Duration += extraDrainSeconds
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
}
