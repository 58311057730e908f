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

// runScenario returns the result of a run and its printed form.
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

// frontends are the values of Options.Front.
var frontends = []string{"sasp", "http", "both"}

func TestDefaultScenarioKeepsAllRules(t *testing.T) {
	for _, frontend := range frontends {
		result, text := runScenario(t, parseDefaultScenario(t), Options{Front: frontend})
		if !result.Kept() || len(result.ProtocolErrors) > 0 {
			t.Errorf("%s: a rule was broken or a protocol error occurred:\n%s", frontend, text)
		}
		noncompliant := 0
		if frontend == "sasp" {
			noncompliant = 1
		}
		if result.ControlPlane.Noncompliant != noncompliant || result.Service < 0.6 || result.Messages < 200 {
			t.Errorf("%s: unexpected number of noncompliant relays, service or number of messages:\n%s", frontend, text)
		}
	}
}

func TestSameSeedHasSameResult(t *testing.T) {
	_, first := runScenario(t, parseDefaultScenario(t), Options{})
	_, second := runScenario(t, parseDefaultScenario(t), Options{})
	if first != second {
		t.Errorf("two runs with the same seed differ:\n%s\n%s", first, second)
	}
}

// Each guard is disabled in a scenario that keeps the rule with the guard. The rule that the guard enforces must then
// be broken.
func TestEachGuardPreventsItsViolation(t *testing.T) {
	for _, test := range []struct {
		guard controlplane.Guard
		rule  int
		seed  uint64 // 0: the scenario's seed
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
				t.Errorf("rule %d was kept without the guard:\n%s", test.rule, text)
			}
			with, text := runScenario(t, parseDefaultScenario(t), options)
			if !with.Verdicts[test.rule-1].Kept {
				t.Errorf("rule %d was broken with the guard:\n%s", test.rule, text)
			}
		})
	}
}

var drawnScenarios = flag.Uint64("drawn", 60, "number of random scenarios")

// Random scenarios, which differ by seed in traffic, server speeds, and the kinds, times and targets of faults.
func TestDrawnScenariosKeepAllRules(t *testing.T) {
	for seed := range *drawnScenarios {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			scenario := parseDefaultScenario(t)
			scenario.Seed = seed + 100
			RandomizeFaults(scenario)
			result, text := runScenario(t, scenario, Options{Front: frontends[seed%3]})
			if !result.Kept() || len(result.ProtocolErrors) > 0 && result.SASP.Rejected == 0 {
				t.Errorf("a rule was broken or a protocol error occurred with faults %+v\n%s", scenario.Faults, text)
			}
		})
	}
}

func TestShortScenarioOverSockets(t *testing.T) {
	before, _, found := strings.Cut(string(DefaultScenario), "  <trouble")
	if !found {
		t.Fatal("the default scenario has no faults")
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
		t.Errorf("a rule was broken, or no message was sent or acknowledged:\n%s", printed)
	}
	if slices.Max(result.AckDelays) > 5 {
		t.Errorf("a message was acknowledged only after %v s", slices.Max(result.AckDelays))
	}
}

// rapidKinds are the kinds of faults that drawFault draws from.
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

// Random scenarios drawn by rapid, which shrinks a scenario that breaks a rule to the faults that are necessary for
// this.
func TestShrinkableScenariosKeepAllRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scenario := parseDefaultScenario(t)
		scenario.Seconds = 36
		scenario.Seed = rapid.Uint64Range(1, 1<<20).Draw(rt, "seed")
		scenario.Faults = rapid.SliceOfN(rapid.Custom(drawFault), 0, 4).Draw(rt, "troubles")
		frontend := rapid.SampledFrom(frontends).Draw(rt, "front")
		result, text := runScenario(t, scenario, Options{Front: frontend})
		if !result.Kept() {
			rt.Errorf("%s: rules broken with faults %+v\n%s", frontend, scenario.Faults, text)
		}
	})
}

// A relay whose process is restarted twice within a millisecond must receive entries in time, as rule 1 requires.
func TestRelayRestartedTwiceIsServed(t *testing.T) {
	for _, frontend := range frontends {
		scenario := parseDefaultScenario(t)
		scenario.Seconds = 15
		scenario.Seed = 1
		scenario.Faults = []settings.Fault{
			{Kind: "balancer_restart", At: 4.000105828046799, Proxy: 8, Duration: 0.3, Factor: 3},
			{Kind: "balancer_restart", At: 4, Proxy: 8, Duration: 0.31104539499256134, Factor: 3},
		}
		result, text := runScenario(t, scenario, Options{Front: frontend})
		if !result.Kept() {
			t.Errorf("%s: rules broken:\n%s", frontend, text)
		}
	}
}

// A server restarts at about the same time as its coordinator. It must be warmed up nevertheless, as rule 4 requires.
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

// A server warms up while other servers hang one after the other. It must not be overloaded, as rule 4 requires.
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

// Random scenario number 229: a server warms up while demand rises and another server is slow. The warming server
// must not be overloaded, as rule 4 requires.
func TestWarmingServerInRisingDemand(t *testing.T) {
	const number = 229
	scenario := parseDefaultScenario(t)
	scenario.Seed = number + 100
	RandomizeFaults(scenario)
	result, text := runScenario(t, scenario, Options{Front: frontends[number%3]})
	if !result.Kept() {
		t.Errorf("rules broken with faults %+v\n%s", scenario.Faults, text)
	}
}
