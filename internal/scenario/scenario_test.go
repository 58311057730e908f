package scenario

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"snowquay/internal/core/controlplane"
	"snowquay/internal/settings"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func parseScenario(t *testing.T, text string, disabled ...controlplane.Guard) *settings.Scenario {
	t.Helper()
	parsed, err := settings.ParseScenario("bad-day.xml", []byte(text), disabled...)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func parseDefaultScenario(t *testing.T, disabled ...controlplane.Guard) *settings.Scenario {
	t.Helper()
	return parseScenario(t, string(DefaultScenario), disabled...)
}

// runScenario returns the result of a run, and how it is printed.
func runScenario(t *testing.T, scenario *settings.Scenario, options Options) (*Result, string) {
	t.Helper()
	result, err := Run(scenario, options)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := result.Print(&text, scenario.Coordinator.Site.ClassNames); err != nil {
		t.Fatal(err)
	}
	return result, text.String()
}

var fronts = []string{"sasp", "http", "both"}

func TestDefaultScenarioKeepsAllRules(t *testing.T) {
	for _, front := range fronts {
		result, text := runScenario(t, parseDefaultScenario(t), Options{Front: front})
		if !result.Kept() || len(result.ProtocolErrors) > 0 {
			t.Errorf("%s: a rule was broken or something was not understood:\n%s", front, text)
		}
		noncompliant := 0
		if front == "sasp" {
			noncompliant = 1
		}
		if result.ControlPlane.Noncompliant != noncompliant || result.Service < 0.6 || result.Messages < 200 {
			t.Errorf("%s: the scenario was not what it is meant to be:\n%s", front, text)
		}
	}
}

func TestSameSeedHasSameResult(t *testing.T) {
	_, first := runScenario(t, parseDefaultScenario(t), Options{})
	_, second := runScenario(t, parseDefaultScenario(t), Options{})
	if first != second {
		t.Errorf("the same seed had another result:\n%s\n%s", first, second)
	}
}

// Each guard, when it is disabled, breaks the rule that it is for, in a scenario that keeps the rule with the guard.
func TestEachGuardPreventsItsViolation(t *testing.T) {
	for _, test := range []struct {
		guard controlplane.Guard
		rule  int
		seed  uint64 // 0: the scenario's own
	}{
		{controlplane.GuardRejoin, 1, 18},
		{controlplane.GuardRetries, 2, 0},
		{controlplane.GuardPersistence, 3, 0},
		{controlplane.GuardReports, 3, 0},
		{controlplane.GuardWarmup, 4, 0},
		{controlplane.GuardPacing, 5, 0},
	} {
		t.Run(string(test.guard), func(t *testing.T) {
			t.Parallel()
			options := Options{Seed: test.seed}
			without, text := runScenario(t, parseDefaultScenario(t, test.guard), options)
			if without.Verdicts[test.rule-1].Kept {
				t.Errorf("rule %d was kept without it:\n%s", test.rule, text)
			}
			with, text := runScenario(t, parseDefaultScenario(t), options)
			if !with.Verdicts[test.rule-1].Kept {
				t.Errorf("rule %d was broken with it:\n%s", test.rule, text)
			}
		})
	}
}

var drawnScenarios = flag.Uint64("drawn", 60, "scenarios that are drawn")

// Scenarios drawn by seed have other traffic, other speeds, and faults of every kind at other times and places.
func TestDrawnScenariosKeepAllRules(t *testing.T) {
	for seed := range *drawnScenarios {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario := parseDefaultScenario(t)
			scenario.Seed = seed + 100
			RandomizeFaults(scenario)
			result, text := runScenario(t, scenario, Options{Front: fronts[seed%3]})
			if !result.Kept() || len(result.ProtocolErrors) > 0 && result.SASP.Rejected == 0 {
				t.Errorf("%+v\n%s", scenario.Faults, text)
			}
		})
	}
}

func TestShortScenarioOverSockets(t *testing.T) {
	before, _, found := strings.Cut(string(DefaultScenario), "  <trouble")
	if !found {
		t.Fatal("the default scenario has no fault")
	}
	text := before + `
  <trouble kind="balancer_restart" at="3" for="0.5" relay="1"/>
  <trouble kind="drain" at="4" server="4"/>
  <trouble kind="coordinator_restart" at="4.2" for="1"/>
  <trouble kind="mass_restart" at="8" for="1" pod="3"/>
</day>`
	text = strings.NewReplacer("13860", "13861", "15826", "15827", "18600", "18601").Replace(text)
	text = strings.Replace(text, `seconds="73"`, `seconds="14"`, 1)
	text = strings.ReplaceAll(text, ":18080", ":18081")
	result, printed := runScenario(t, parseScenario(t, text), Options{Sockets: true, Front: "both"})
	if !result.Kept() || result.Messages == 0 || len(result.AckDelays) == 0 {
		t.Errorf("over sockets:\n%s", printed)
	}
	if slices.Max(result.AckDelays) > 5 {
		t.Errorf("a message took %v s", slices.Max(result.AckDelays))
	}
}

// rapidKinds are the kinds of faults that rapid draws from.
var rapidKinds = []string{
	"slow", "fast_errors", "hang", "crash", "drain", "coordinator_restart", "balancer_stall", "balancer_restart", "reconnect",
	"report_late", "reports_stop", "clock_gap",
}

func drawFault(rt *rapid.T) settings.Fault {
	fault := settings.Fault{
		Kind:     rapid.SampledFrom(rapidKinds).Draw(rt, "kind"),
		At:       4 + rapid.Float64Range(0, 22).Draw(rt, "at"),
		Server:   rapid.IntRange(0, 11).Draw(rt, "server"),
		Proxy:    rapid.IntRange(0, 11).Draw(rt, "relay"),
		Duration: rapid.Float64Range(0.3, 4).Draw(rt, "for"),
		Factor:   3,
	}
	if fault.Kind == "fast_errors" {
		fault.Factor = 0.7
	}
	return fault
}

// Scenarios drawn by rapid, which shrinks one that breaks a rule to the faults that it takes.
func TestShrinkableScenariosKeepAllRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scenario := parseDefaultScenario(t)
		scenario.Seconds = 36
		scenario.Seed = rapid.Uint64Range(1, 1<<20).Draw(rt, "seed")
		scenario.Faults = rapid.SliceOfN(rapid.Custom(drawFault), 0, 4).Draw(rt, "troubles")
		front := rapid.SampledFrom(fronts).Draw(rt, "front")
		result, text := runScenario(t, scenario, Options{Front: front})
		if !result.Kept() {
			rt.Errorf("%s %+v\n%s", front, scenario.Faults, text)
		}
	})
}

// A relay whose process is restarted twice within a millisecond has entries again in time, as rule 1 asks.
func TestRelayRestartedTwiceIsServed(t *testing.T) {
	for _, front := range fronts {
		scenario := parseDefaultScenario(t)
		scenario.Seconds = 15
		scenario.Seed = 1
		scenario.Faults = []settings.Fault{
			{Kind: "balancer_restart", At: 4.000105828046799, Proxy: 8, Duration: 0.3, Factor: 3},
			{Kind: "balancer_restart", At: 4, Proxy: 8, Duration: 0.31104539499256134, Factor: 3},
		}
		result, text := runScenario(t, scenario, Options{Front: front})
		if !result.Kept() {
			t.Errorf("%s:\n%s", front, text)
		}
	}
}

// A server restarts in the moment in which its coordinator does: it is warmed up all the same, as rule 4 asks.
func TestServerThatRestartsWithTheCoordinatorWarmsUp(t *testing.T) {
	scenario := parseDefaultScenario(t)
	scenario.Seconds = 20
	scenario.Seed = 2
	scenario.Faults = []settings.Fault{
		{Kind: "crash", At: 5.5584564208984375, Duration: 4, Factor: 3, Server: 2, Proxy: 10},
		{Kind: "clock_gap", At: 4.299014005794472, Duration: 3.125, Factor: 3},
		{Kind: "coordinator_restart", At: 8.298040186084336, Duration: 4, Factor: 3},
		{Kind: "clock_gap", At: 4, Duration: 1.8842056159275744, Factor: 3},
	}
	result, text := runScenario(t, scenario, Options{Front: "http"})
	if !result.Kept() {
		t.Errorf("rules broken:\n%s", text)
	}
}

// A server warms up beside others that hang one after the other: it is not overloaded, as rule 4 asks.
func TestWarmingServerBesideHangingOnes(t *testing.T) {
	scenario := parseDefaultScenario(t)
	scenario.Seconds = 20
	scenario.Seed = 0xc
	scenario.Faults = []settings.Fault{
		{Kind: "crash", At: 6.2119140625, Duration: 0.3, Factor: 3, Server: 9, Proxy: 9},
		{Kind: "hang", At: 14.572240591049194, Duration: 4, Factor: 3, Server: 5, Proxy: 3},
		{Kind: "hang", At: 11.486917704343796, Duration: 2.5022309713907624, Factor: 3, Server: 7, Proxy: 1},
		{Kind: "hang", At: 4, Duration: 4, Factor: 3, Server: 0, Proxy: 0},
	}
	result, text := runScenario(t, scenario, Options{Front: "both"})
	if !result.Kept() {
		t.Errorf("rules broken:\n%s", text)
	}
}

// The 229th drawn scenario: a server warms up while demand rises and another is slow. It is not overloaded, as rule 4 asks.
func TestWarmingServerInRisingDemand(t *testing.T) {
	const number = 229
	scenario := parseDefaultScenario(t)
	scenario.Seed = number + 100
	RandomizeFaults(scenario)
	result, text := runScenario(t, scenario, Options{Front: fronts[number%3]})
	if !result.Kept() {
		t.Errorf("%+v\n%s", scenario.Faults, text)
	}
}
