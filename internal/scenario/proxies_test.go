package scenario

import (
	"fmt"
	"testing"
)

// Real proxies and HTTP clients run instead of emulated relays, over SASP and the long-poll API.
func TestDefaultScenarioWithRealProxies(t *testing.T) {
	for _, frontend := range frontends {
		result, text := runScenario(t, parseDefaultScenario(t), Options{RealProxies: true, Front: frontend})
		if !result.Kept() || result.Service < 0.7 || len(result.ProtocolErrors) > 0 {
			t.Errorf("%s: rules broken, service too low, or protocol errors:\n%s", frontend, text)
		}
	}
}

func TestTakeoversWithRealProxies(t *testing.T) {
	for seed := range *takeoverScenarios / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario := drawTakeoverScenario(t, seed+9000)
			result, text := runScenario(t, scenario, Options{Coordinators: 3, Front: frontends[seed%3], RealProxies: true})
			if !result.Kept() || result.Service < 0.3 {
				t.Errorf("rules broken or service too low with faults %+v\n%s", scenario.Faults, text)
			}
		})
	}
}
