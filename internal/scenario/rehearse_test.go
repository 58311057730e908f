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

func parseScenario(t *testing.T, text string, without ...controlplane.Guard) *settings.Scenario {
	t.Helper()
	d, err := settings.ParseScenario("bad-day.xml", []byte(text), without...)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func runScenario(t *testing.T, d *settings.Scenario, opts Options) (*Result, string) {
	t.Helper()
	r, err := Run(d, opts)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := r.Print(&b, d.Coordinator.Site.ClassNames); err != nil {
		t.Fatal(err)
	}
	return r, b.String()
}

func TestBadDayKeepsAllRules(t *testing.T) {
	for _, front := range fronts {
		r, text := runScenario(t, parseScenario(t, string(DefaultScenario)), Options{Front: front})
		if !r.Kept() || len(r.ProtocolErrors) > 0 {
			t.Errorf("%s: a rule was broken or something was not understood:\n%s", front, text)
		}
		if r.ControlPlane.Noncompliant != boolToInt(front == "sasp") || r.Service < 0.6 || r.Messages < 200 {
			t.Errorf("%s: the day was not what it is meant to be:\n%s", front, text)
		}
	}
	_, text := runScenario(t, parseScenario(t, string(DefaultScenario)), Options{})
	if _, again := runScenario(t, parseScenario(t, string(DefaultScenario)), Options{}); again != text {
		t.Errorf("the same seed brought another day:\n%s\n%s", text, again)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Each guard left out breaks the rule that it is for, on a day that keeps it with the guard.
func TestEachGuardIsNeeded(t *testing.T) {
	for guard, c := range map[controlplane.Guard]struct {
		rule int
		seed uint64 // of the day's chances; 0: its own
	}{controlplane.GuardRejoin: {1, 18}, controlplane.GuardRetries: {2, 0}, controlplane.GuardPersistence: {3, 0},
		controlplane.GuardReports: {3, 0}, controlplane.GuardWarmup: {4, 0}, controlplane.GuardPacing: {5, 0}} {
		t.Run(string(guard), func(t *testing.T) {
			t.Parallel()
			r, text := runScenario(t, parseScenario(t, string(DefaultScenario), guard), Options{Seed: c.seed})
			if r.Verdicts[c.rule-1].Kept {
				t.Errorf("rule %d was kept without it:\n%s", c.rule, text)
			}
			r, text = runScenario(t, parseScenario(t, string(DefaultScenario)), Options{Seed: c.seed})
			if !r.Verdicts[c.rule-1].Kept {
				t.Errorf("rule %d was broken with it:\n%s", c.rule, text)
			}
		})
	}
}

var fronts = []string{"sasp", "http", "both"}

var drawnScenarios = flag.Uint64("drawn", 60, "days that are drawn")

// Days drawn by seed: other traffic, other speeds, and troubles of every kind at other times and places.
func TestDrawnDaysKeepAllRules(t *testing.T) {
	for seed := range *drawnScenarios {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := parseScenario(t, string(DefaultScenario))
			d.Seed = seed + 100
			RedrawFaults(d)
			if r, text := runScenario(t, d, Options{Front: fronts[seed%3]}); !r.Kept() || len(r.ProtocolErrors) > 0 && r.SASP.Rejected == 0 {
				t.Errorf("%+v\n%s", d.Faults, text)
			}
		})
	}
}

func TestShortDayOverSockets(t *testing.T) {
	// Relays by both fronts.
	before, _, found := strings.Cut(string(DefaultScenario), "  <trouble")
	if !found {
		t.Fatal("the bad day has no trouble")
	}
	text := before + `
  <trouble kind="balancer_restart" at="3" for="0.5" relay="1"/>
  <trouble kind="drain" at="4" server="4"/>
  <trouble kind="coordinator_restart" at="4.2" for="1"/>
  <trouble kind="mass_restart" at="8" for="1" pod="3"/>
</day>`
	text = strings.NewReplacer("13860", "13861", "15826", "15827", "18600", "18601").Replace(text)
	text = strings.ReplaceAll(strings.Replace(text, `seconds="73"`, `seconds="14"`, 1), ":18080", ":18081")
	d := parseScenario(t, text)
	r, told := runScenario(t, d, Options{Sockets: true, Front: "both"})
	if !r.Kept() || r.Messages == 0 || len(r.AckDelays) == 0 {
		t.Errorf("over sockets:\n%s", told)
	}
	if slices.Max(r.AckDelays) > 5 {
		t.Errorf("an order took %v s", slices.Max(r.AckDelays))
	}
}

// Days drawn by rapid, which cuts a day that breaks a rule down to the troubles that it takes.
func TestDaysThatCanBeCutDown(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := parseScenario(t, string(DefaultScenario))
		d.Seconds, d.Seed = 36, rapid.Uint64Range(1, 1<<20).Draw(rt, "seed")
		d.Faults = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) settings.Fault {
			k := rapid.SampledFrom([]string{"slow", "fast_errors", "hang", "crash", "drain", "coordinator_restart", "balancer_stall",
				"balancer_restart", "reconnect", "report_late", "reports_stop", "clock_gap"}).Draw(rt, "kind")
			x := settings.Fault{Kind: k, At: 4 + rapid.Float64Range(0, 22).Draw(rt, "at"), Server: rapid.IntRange(0, 11).Draw(rt, "server"),
				Relay: rapid.IntRange(0, 11).Draw(rt, "relay"), For: rapid.Float64Range(0.3, 4).Draw(rt, "for"), Factor: 3}
			if k == "fast_errors" {
				x.Factor = 0.7
			}
			return x
		}), 0, 4).Draw(rt, "troubles")
		front := rapid.SampledFrom(fronts).Draw(rt, "front")
		if r, text := runScenario(t, d, Options{Front: front}); !r.Kept() {
			rt.Errorf("%s %+v\n%s", front, d.Faults, text)
		}
	})
}
