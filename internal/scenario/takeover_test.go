package scenario

import (
	"flag"
	"fmt"
	"testing"

	"snowquay/internal/settings"
)

var takeoverScenarios = flag.Uint64("takeovers", 30, "number of random scenarios with kills of three coordinators that share the fleet")

// drawTakeoverScenario draws a scenario with kills, pauses and isolations of coordinators and up to two other faults.
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
			result, text := runScenario(t, scenario, Options{Coordinators: 3, Front: frontends[seed%3]})
			if !result.Kept() || result.Service < 0.3 {
				t.Errorf("rules broken or service too low with faults %+v\n%s", scenario.Faults, text)
			}
		})
	}
}

// A coordinator that reaches the others but no relay retains its lease. One that reaches relays but no other
// coordinator loses its lease. In both cases its relays must join other coordinators long before the isolation ends.
func TestIsolatedCoordinatorIsReplaced(t *testing.T) {
	const isolatedUntil = 38
	for _, kind := range []string{"coordinator_hidden", "coordinator_alone"} {
		for server := range 3 {
			scenario := parseDefaultScenario(t)
			scenario.Seconds = 50
			scenario.Faults = []settings.Fault{{Kind: kind, Server: server, At: 8, Duration: 30, Proxy: -1, FailureDomain: -1, Zone: -1}}
			unjoinedSeconds := 0.0
			lastUnjoined := 0.0
			checkJoined := func(now float64, joined bool) {
				elapsed := now - virtualStartSeconds
				if !joined && elapsed < isolatedUntil { // after its isolation it takes over its share of the relays again
					unjoinedSeconds += checkIntervalSeconds
					lastUnjoined = elapsed
				}
			}
			result, text := runScenario(t, scenario, Options{Coordinators: 3, Front: frontends[server], OnJoinedCheck: checkJoined})
			if !result.Kept() || lastUnjoined > 28 || unjoinedSeconds < 1 {
				t.Errorf("%s of %d: rules broken, or some relay not joined for %.1f s, last at %.1f s:\n%s", kind, server, unjoinedSeconds, lastUnjoined, text)
			}
		}
	}
}

func TestDefaultScenarioWithThreeCoordinators(t *testing.T) {
	for _, frontend := range frontends {
		result, text := runScenario(t, parseDefaultScenario(t), Options{Coordinators: 3, Front: frontend})
		if !result.Kept() || result.Service < 0.6 {
			t.Errorf("%s: rules broken or service too low:\n%s", frontend, text)
		}
	}
}
