package scenario

import (
	"fmt"
	"testing"
)

// The bad day with proxies of our own and HTTP clients in place of stand-in relays, on both fronts.
func TestTheBadDayWithRealProxies(t *testing.T) {
	for _, front := range fronts {
		if r, text := runScenario(t, parseScenario(t, string(DefaultScenario)), Options{Proxies: true, Front: front}); !r.Kept() || r.Service < 0.7 || len(r.ProtocolErrors) > 0 {
			t.Errorf("%s:\n%s", front, text)
		}
	}
}

// Takeovers with real proxies, in the midst of everything else.
func TestTakeoversWithRealProxies(t *testing.T) {
	for seed := range *takeoverScenarios / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := parseScenario(t, string(DefaultScenario))
			d.Seed = seed + 9000
			RedrawFaults(d)
			d.Faults = d.Faults[:min(len(d.Faults), 2)]
			AddKills(d, 4)
			if r, text := runScenario(t, d, Options{Coordinators: 3, Front: fronts[seed%3], Proxies: true}); !r.Kept() || r.Service < 0.3 {
				t.Errorf("%+v\n%s", d.Faults, text)
			}
		})
	}
}
