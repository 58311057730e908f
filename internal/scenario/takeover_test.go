package scenario

import (
	"flag"
	"fmt"
	"testing"

	"snowquay/internal/settings"
)

var takeoverScenarios = flag.Uint64("takeovers", 30, "scenarios in which three coordinators share the fleet and are killed")

// drawTakeoverScenario draws a scenario with kills and pauses of coordinators beside other faults.
func drawTakeoverScenario(t *testing.T, seed uint64) *settings.Scenario {
	t.Helper()
	scenario := parseDefaultScenario(t)
	scenario.Seed = seed
	RandomizeFaults(scenario)
	scenario.Faults = scenario.Faults[:min(len(scenario.Faults), 2)]
	AddCoordinatorFaults(scenario, 4)
	return scenario
}

func TestTakeoversKeepAllRules(t *testing.T) {
	for seed := range *takeoverScenarios {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario := drawTakeoverScenario(t, seed+5000)
			result, text := runScenario(t, scenario, Options{Coordinators: 3, Front: fronts[seed%3]})
			if !result.Kept() || result.Service < 0.3 {
				t.Errorf("%+v\n%s", scenario.Faults, text)
			}
		})
	}
}

// A coordinator that reaches the others but no relay goes on holding its lease; one that reaches relays but no other
// coordinator loses it. In both cases others lead its relays long before it is connected again.
func TestIsolatedCoordinatorIsReplaced(t *testing.T) {
	const isolatedUntil = 38
	for _, kind := range []string{"coordinator_hidden", "coordinator_alone"} {
		for server := range 3 {
			scenario := parseDefaultScenario(t)
			scenario.Seconds = 50
			scenario.Faults = []settings.Fault{{Kind: kind, Server: server, At: 8, Duration: 30, Proxy: -1, FailureDomain: -1, Zone: -1}}
			unledSeconds := 0.0
			lastUnled := 0.0
			checkLed := func(now float64, led bool) {
				elapsed := now - virtualStartSeconds
				if !led && elapsed < isolatedUntil { // afterwards it takes its share back
					unledSeconds += checkIntervalSeconds
					lastUnled = elapsed
				}
			}
			result, text := runScenario(t, scenario, Options{Coordinators: 3, Front: fronts[server], OnJoinedCheck: checkLed})
			if !result.Kept() || lastUnled > 28 || unledSeconds < 1 {
				t.Errorf("%s of %d: some relay led by nobody for %.1f s, last at %.1f s:\n%s", kind, server, unledSeconds, lastUnled, text)
			}
		}
	}
}

func TestDefaultScenarioWithThreeCoordinators(t *testing.T) {
	for _, front := range fronts {
		result, text := runScenario(t, parseDefaultScenario(t), Options{Coordinators: 3, Front: front})
		if !result.Kept() || result.Service < 0.6 {
			t.Errorf("%s:\n%s", front, text)
		}
	}
}
