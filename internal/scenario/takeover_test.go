package scenario

import (
	"flag"
	"fmt"
	"testing"

	"snowquay/internal/settings"
)

var takeoverScenarios = flag.Uint64("takeovers", 30, "days on which three coordinators share the fleet and are killed")

// Three coordinators share the fleet, and are killed and paused at random moments, in the midst of everything else.
func TestTakeoversKeepAllRules(t *testing.T) {
	for seed := range *takeoverScenarios {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := parseScenario(t, string(DefaultScenario))
			d.Seed = seed + 5000
			RedrawFaults(d)
			d.Faults = d.Faults[:min(len(d.Faults), 2)]
			AddKills(d, 4)
			if r, text := runScenario(t, d, Options{Coordinators: 3, Front: fronts[seed%3]}); !r.Kept() || r.Service < 0.3 {
				t.Errorf("%+v\n%s", d.Faults, text)
			}
		})
	}
}

// A coordinator that reaches the others but no relay goes on holding its lease; one that reaches relays but no other loses
// it. In both cases its relays are led again by others, long before it is well.
func TestACoordinatorThatReachesOneSideOnly(t *testing.T) {
	for _, kind := range []string{"coordinator_hidden", "coordinator_alone"} {
		for server := range 3 {
			d := parseScenario(t, string(DefaultScenario))
			d.Seconds, d.Faults = 50, []settings.Fault{{Kind: kind, Server: server, At: 8, For: 30, Relay: -1, FailureDomain: -1, Zone: -1}}
			unled, lastUnled := 0.0, 0.0
			r, text := runScenario(t, d, Options{Coordinators: 3, Front: fronts[server], OnLedCheck: func(now float64, led bool) {
				if !led && now-virtualStartSeconds < 38 { // then it is well, and takes its part back
					unled, lastUnled = unled+checkIntervalSeconds, now-virtualStartSeconds
				}
			}})
			if !r.Kept() || lastUnled > 28 || unled < 1 {
				t.Errorf("%s of %d: some relay led by nobody for %.1f s, last at %.1f s:\n%s", kind, server, unled, lastUnled, text)
			}
		}
	}
}

func TestTheBadDayOfThree(t *testing.T) {
	for _, front := range fronts {
		if r, text := runScenario(t, parseScenario(t, string(DefaultScenario)), Options{Coordinators: 3, Front: front}); !r.Kept() || r.Service < 0.6 {
			t.Errorf("%s:\n%s", front, text)
		}
	}
}
