package scenario

import (
	"fmt"
	"testing"
)

// Real proxies and HTTP clients in place of emulated relays, on both fronts.
func TestDefaultScenarioWithRealProxies(t *testing.T) {
	for _, front := range fronts {
		result, text := runScenario(t, parseDefaultScenario(t), Options{RealProxies: true, Front: front})
		if !result.Kept() || result.Service < 0.7 || len(result.ProtocolErrors) > 0 {
			t.Errorf("%s:\n%s", front, text)
		}
	}
}

func TestTakeoversWithRealProxies(t *testing.T) {
	for seed := range *takeoverScenarios / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario := drawTakeoverScenario(t, seed+9000)
			result, text := runScenario(t, scenario, Options{Coordinators: 3, Front: fronts[seed%3], RealProxies: true})
			if !result.Kept() || result.Service < 0.3 {
				t.Errorf("%+v\n%s", scenario.Faults, text)
			}
		})
	}
}
