package scenario

import (
	"bytes"
	"flag"
	"testing"

	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
)

func runHosted(t *testing.T, scenario HostedScenario) *HostedResult {
	t.Helper()
	result, err := RunHosted(scenario)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := result.Print(&text); err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", text.String())
	return result
}

// checkOtherTenants reports each rule that was broken for a tenant other than the flooding one.
func checkOtherTenants(t *testing.T, scenario HostedScenario, result *HostedResult) {
	t.Helper()
	for i, tenant := range result.Tenants {
		for _, verdict := range tenant.Verdicts {
			if !verdict.Kept && i != scenario.Flood {
				t.Errorf("seed %d, %s: rule %d: %v", scenario.Seed, tenant.Name, verdict.Rule, verdict.Reasons)
			}
		}
	}
}

// checkSeparation reports the entries of a tenant that name servers of other tenants, and the problems of the hosts.
func checkSeparation(t *testing.T, scenario HostedScenario, result *HostedResult) {
	t.Helper()
	for _, tenant := range result.Tenants {
		if tenant.ForeignEntries > 0 {
			t.Errorf("seed %d, %s: %d entries to other tenants' servers", scenario.Seed, tenant.Name, tenant.ForeignEntries)
		}
	}
	if len(result.Problems) > 0 {
		t.Errorf("seed %d: problems of the hosts: %v", scenario.Seed, result.Problems)
	}
}

// Twenty tenants run on one host. Each has its own servers and relays, which use SASP and the long-poll API.
func TestHostedScenarioKeepsAllRules(t *testing.T) {
	scenario := DefaultHostedScenario()
	scenario.Drains = true
	result := runHosted(t, scenario)
	if !result.Kept() || result.UpdatedAfter == 0 {
		t.Error("a rule was broken, a problem occurred, or not all relays received their tables")
	}
}

// Connections and measurements of one tenant flood the host and name relays and users of another tenant, while a
// server of each tenant is drained. For all other tenants all rules must be kept, the service must be as without the
// flood, and waits for a turn must be short.
func TestFloodDoesNotAffectOtherTenants(t *testing.T) {
	scenario := DefaultHostedScenario()
	scenario.Drains = true
	scenario.Flood = 3
	result := runHosted(t, scenario)
	checkOtherTenants(t, scenario, result)
	checkSeparation(t, scenario, result)
	for i, tenant := range result.Tenants {
		if i != scenario.Flood && tenant.LongestWait > 0.1 {
			t.Errorf("%s waited %.3f s for a turn", tenant.Name, tenant.LongestWait)
		}
	}
	for _, number := range []int{0, 4, 11} {
		alone := scenario
		alone.OnlyTenant = number
		alone.Flood = -1
		aloneResult, err := RunHosted(alone)
		if err != nil {
			t.Fatal(err)
		}
		flooded := result.Tenants[number]
		aloneService := aloneResult.Tenants[0].Service
		if aloneService-flooded.Service > 0.02 {
			t.Errorf("%s: service %.3f during the flood, %.3f alone", flooded.Name, flooded.Service, aloneService)
		}
	}
}

// A flood must not delay the drains of the tenant that it comes from, nor of the tenant that it names. Without the
// guard on the join rate and the check of networks it delays those of the named tenant.
func TestHostedGuardsPreventLateDrains(t *testing.T) {
	joinRate := []controlplane.Guard{controlplane.GuardJoinRate}
	for _, test := range []struct {
		name       string
		tenant     int
		anyNetwork bool
		disabled   []controlplane.Guard
		broken     bool
	}{
		{"flooding tenant", 3, false, nil, false},
		{"named tenant", 4, false, nil, false},
		// Drains overtake joins that wait in the control plane. This alone protects the drains of the flooding tenant.
		{"flooding tenant without join rate", 3, false, joinRate, false},
		{"named tenant without join rate, from any network", 4, true, joinRate, true},
		{"named tenant without join rate", 4, false, joinRate, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			scenario := DefaultHostedScenario()
			scenario.Tenants = 6
			scenario.Drains = true
			scenario.Flood = 3
			scenario.AnyNetwork = test.anyNetwork
			scenario.DisabledGuards = test.disabled
			result, err := RunHosted(scenario)
			if err != nil {
				t.Fatal(err)
			}
			if broken := !result.Tenants[test.tenant].Verdicts[2].Kept; broken != test.broken {
				t.Errorf("drain rule broken: %t, want the opposite", broken)
			}
		})
	}
}

// The host's process is killed during drains and restarted. Drains that were confirmed must continue.
func TestDrainsSurviveHostRestart(t *testing.T) {
	scenario := DefaultHostedScenario()
	scenario.Drains = true
	scenario.Restart = 15.2
	scenario.RestartDelay = 1
	result := runHosted(t, scenario)
	if !result.Kept() || result.Host.Starts != 2*scenario.Tenants {
		t.Error("a rule was broken, a problem occurred, or tenants did not start twice:", result.Host)
	}
}

// A tenant is removed while its relays are connected, and a tenant of the same name is created later. The new tenant
// must be independent of the removed one, its relays must receive full tables, and no other tenant may be affected.
func TestRemovedTenantCanBeCreatedAgain(t *testing.T) {
	scenario := DefaultHostedScenario()
	scenario.Drains = true
	scenario.Remove = 5
	scenario.Seconds = 40
	result := runHosted(t, scenario)
	if !result.Kept() || result.Host.Stops != 1 || result.Rejected[tenancy.UnknownTenant] == 0 {
		t.Error("a rule was broken, a problem occurred, or the tenant was not removed:", result.Host, result.Rejected)
	}
}

// Three hosts share twenty tenants. Hosts are killed one after the other while a server of each tenant is drained,
// and one tenant is removed and created again.
func TestHostTakeoversKeepAllRules(t *testing.T) {
	scenario := DefaultHostedScenario()
	scenario.Hosts = 3
	scenario.Kills = 3
	scenario.RestartDelay = 2
	scenario.Drains = true
	scenario.Seconds = 60
	scenario.Remove = 5
	result := runHosted(t, scenario)
	if !result.Kept() {
		t.Error("a rule was broken or a problem occurred:", result.Host, result.Problems)
	}
}

func TestHostedScenarioOverSockets(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	scenario := DefaultHostedScenario()
	scenario.Drains = true
	scenario.Flood = 3
	scenario.Sockets = true
	scenario.Seconds = 12
	checkOtherTenants(t, scenario, runHosted(t, scenario))
}

var hostedSeeds = flag.Int("hosted", 3, "number of random scenarios with host kills")

// Random scenarios in which three hosts are killed, one tenant floods and one is removed.
func TestDrawnHostedScenariosKeepAllRules(t *testing.T) {
	for seed := range *hostedSeeds {
		scenario := DefaultHostedScenario()
		scenario.Tenants = 6
		scenario.Hosts = 3
		scenario.Kills = 4
		scenario.RestartDelay = 1 + float64(seed%4)
		scenario.Drains = true
		scenario.Seconds = 60
		scenario.Remove = 5
		scenario.Flood = 2
		scenario.FloodRate = 500
		scenario.Seed = uint64(seed + 2)
		result, err := RunHosted(scenario)
		if err != nil {
			t.Fatal(err)
		}
		checkOtherTenants(t, scenario, result)
		checkSeparation(t, scenario, result)
	}
}
