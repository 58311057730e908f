package experiment

import (
	"math/rand/v2"

	"snowquay/internal/settings"
)

// faultKinds lists the kinds of random faults. A seed selects kinds by index, so another order changes the faults of
// existing seeds.
var faultKinds = []string{
	"slow", "fast_errors", "hang", "crash", "mass_restart", "zone_cut", "drain", "coordinator_restart", "balancer_stall",
	"balancer_restart", "reconnect", "report_late", "reports_stop", "demand", "clock_gap", "answer_lost", "heavy_tail",
	"ageing", "conn_squeeze", "shared_slow", "vanish", "grow", "give_up", "false_reports",
}

const (
	firstFaultSeconds    = 6.0   // time by which the coordinator has computed its first weights
	faultFreeTailSeconds = 8.0   // time at the end of a scenario in which no random fault starts
	faultSeedStream      = 0x1ab // second word of the generator's seed
)

// addRandomFaults adds count random faults, determined by the scenario's seed, to a scenario. The faults are of the
// given kinds, or of any kind if none is given.
func addRandomFaults(target *settings.Scenario, count int, kinds []string) {
	random := rand.New(rand.NewPCG(target.Seed, faultSeedStream))
	if len(kinds) == 0 {
		kinds = faultKinds
	}
	for i := range count {
		kind := kinds[(i+random.IntN(len(kinds)))%len(kinds)]
		target.Faults = append(target.Faults, randomFault(target, random, kind))
	}
}

// randomFault returns a fault of a kind with random targets, start, duration and factor.
func randomFault(target *settings.Scenario, random *rand.Rand, kind string) settings.Fault {
	site := &target.Coordinator.Site
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	fault := settings.Fault{
		Kind:          kind,
		Server:        random.IntN(len(site.Servers)),
		Proxy:         random.IntN(len(site.Proxies)),
		Factor:        1,
		Zone:          site.Servers[random.IntN(len(site.Servers))].Zone,
		FailureDomain: int(site.Servers[random.IntN(len(site.Servers))].FailureDomain),
	}
	fault.At = firstFaultSeconds + random.Float64()*max(target.Seconds-faultFreeTailSeconds-firstFaultSeconds, 1)
	fault.Duration = between(5, 20)
	switch kind {
	case "slow", "shared_slow":
		fault.Factor = between(2, 8)
	case "fast_errors":
		fault.Factor = between(0.3, 0.9)
	case "answer_lost":
		fault.Factor = between(0.1, 0.6)
	case "heavy_tail":
		fault.Factor = between(0.02, 0.1)
	case "ageing":
		fault.Factor = between(0.001, 0.01)
	case "conn_squeeze":
		fault.Factor = between(0.05, 0.3)
	case "give_up":
		fault.Factor = between(0.2, 0.5)
	case "false_reports":
		fault.Factor = between(0.3, 1)
	case "crash", "mass_restart", "coordinator_restart", "balancer_restart":
		fault.Duration = between(0.3, 5)
	case "balancer_stall", "clock_gap":
		fault.Duration = between(0.5, 3)
	case "report_late":
		fault.Factor = between(1, 4)
	case "demand", "grow":
		fault.Factor = between(1.2, 1.8)
	}
	return fault
}
