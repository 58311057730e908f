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

// checkOtherTenants reports each broken rule of a tenant that does not flood.
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

// checkSeparation reports each entry of a tenant to servers of others, and each problem of the hosts.
func checkSeparation(t *testing.T, scenario HostedScenario, result *HostedResult) {
	t.Helper()
	for _, tenant := range result.Tenants {
		if tenant.ForeignEntries > 0 {
			t.Errorf("seed %d, %s: %d entries to other tenants' servers", scenario.Seed, tenant.Name, tenant.ForeignEntries)
		}
	}
	if len(result.Problems) > 0 {
		t.Errorf("seed %d: %v", scenario.Seed, result.Problems)
	}
}

// Twenty tenants on one host, each with its own servers and relays on both fronts.
func TestHostedScenarioKeepsAllRules(t *testing.T) {
	scenario := DefaultHostedScenario()
	scenario.Drains = true
	result := runHosted(t, scenario)
	if !result.Kept() || result.UpdatedAfter == 0 {
		t.Error("not kept")
	}
}

// One tenant's relays and measurements flood the host, and name other tenants' relays and users, while all others drain a
// server. Each other tenant keeps all rules, has the service that it has alone, and never waits for its turn for long.
func TestFloodDoesNotAffectOtherTenants(t *testing.T) {
	scenario := DefaultHostedScenario()
	scenario.Drains = true
	scenario.Flood = 3
	result := runHosted(t, scenario)
	checkOtherTenants(t, scenario, result)
	checkSeparation(t, scenario, result)
	for i, tenant := range result.Tenants {
		if i != scenario.Flood && tenant.LongestWait > 0.1 {
			t.Errorf("%s waited %.3f s for its turn", tenant.Name, tenant.LongestWait)
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
		beside := result.Tenants[number]
		aloneService := aloneResult.Tenants[0].Service
		if aloneService-beside.Service > 0.02 {
			t.Errorf("%s has a service of %.3f beside the flood, %.3f alone", beside.Name, beside.Service, aloneService)
		}
	}
}

// Without the guards a flood delays drains, of the tenant that it comes from and of the one that it names.
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
		// Drains overtake joins that wait in the control plane: this alone protects the flooding tenant's own.
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
				t.Errorf("broken %t", broken)
			}
		})
	}
}

// The host's process is killed in the middle of drains: those that were confirmed continue.
func TestDrainsSurviveHostRestart(t *testing.T) {
	scenario := DefaultHostedScenario()
	scenario.Drains = true
	scenario.Restart = 15.2
	scenario.RestartDelay = 1
	result := runHosted(t, scenario)
	if !result.Kept() || result.Host.Starts != 2*scenario.Tenants {
		t.Error("not kept", result.Host)
	}
}

// A tenant is removed while its relays are connected, and created again under its name: the new one is another tenant,
// its relays receive full tables, and nobody else is affected.
func TestRemovedTenantCanBeCreatedAgain(t *testing.T) {
	scenario := DefaultHostedScenario()
	scenario.Drains = true
	scenario.Remove = 5
	scenario.Seconds = 40
	result := runHosted(t, scenario)
	if !result.Kept() || result.Host.Stops != 1 || result.Rejected[tenancy.UnknownTenant] == 0 {
		t.Error("not kept", result.Host, result.Rejected)
	}
}

// Three hosts share twenty tenants; they are killed one after the other while every tenant has a server drained, and one
// tenant is removed and created again.
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
		t.Error("not kept", result.Host, result.Problems)
	}
}

func TestHostedScenarioOverSockets(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	scenario := DefaultHostedScenario()
	scenario.Drains = true
	scenario.Flood = 3
	scenario.Sockets = true
	scenario.Seconds = 12
	checkOtherTenants(t, scenario, runHosted(t, scenario))
}

var hostedSeeds = flag.Int("hosted", 3, "drawn scenarios of hosts that are killed, to be run")

// Drawn scenarios of three hosts that are killed, with a tenant that floods and one that is removed.
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
