package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"snowquay/internal/scenario"
	"snowquay/internal/settings"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const small = `<experiment name="small" seeds="3">
  <fleet name="f" servers="8" relays="6" load="0.5"/>
  <fleet name="g" servers="12" relays="6" load="0.5"/>
  <case name="calm" seconds="20"/>
  <case name="two" seconds="30" drawn="2"/>
  <arm name="snowquay"/>
  <arm name="robin" policy="robin"/>
  <arm name="listed" policy="listed"/>
</experiment>`

func parse(t *testing.T, text string) *settings.Experiment {
	t.Helper()
	parsed, err := settings.ParseExperiment("x.xml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func open(t *testing.T, path string, experiment *settings.Experiment) *Folder {
	t.Helper()
	folder, err := Open(path, experiment)
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

func play(t *testing.T, experiment *settings.Experiment, cell Cell) *Record {
	t.Helper()
	record, err := RunCell(experiment, cell)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// A cell with a record is not run again, and its record is not overwritten; the same cell has the same bytes; another
// experiment is refused.
func TestFolderKeepsRecords(t *testing.T) {
	experiment := parse(t, small)
	path := t.TempDir()
	folder := open(t, path, experiment)
	cells := Cells(experiment)
	if len(cells) != 36 {
		t.Fatal(len(cells))
	}
	if err := folder.Save(cells[0], play(t, experiment, cells[0])); err != nil {
		t.Fatal(err)
	}
	if err := folder.Save(cells[0], &Record{}); err == nil {
		t.Error("a record was overwritten")
	}
	var progress bytes.Buffer
	if err := Run(folder, experiment, 0, &progress); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(progress.String(), "1 of 36 are there, 35 to be played") || !strings.Contains(progress.String(), "35/35") {
		t.Errorf("%s", progress.String())
	}
	stored, err := os.ReadFile(filepath.Join(path, "runs", cells[5].Name()+".json"))
	if err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(play(t, experiment, cells[5]), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if string(stored) != string(again)+"\n" {
		t.Error("the same cell has other bytes")
	}
	other := parse(t, strings.Replace(small, `seeds="3"`, `seeds="4"`, 1))
	if _, err := Open(path, other); !errors.Is(err, ErrOtherExperiment) {
		t.Error(err)
	}
	records, err := folder.Records(experiment)
	if err != nil || len(records) != 36 {
		t.Fatal(len(records), err)
	}
	checkTables(t, Groups(experiment, records))
	checkReport(t, folder, experiment, path)
	// With servers of different speed, learnt weights are no worse than round robin.
	for _, difference := range Compare(Groups(experiment, records), "robin", "snowquay") {
		if difference.Metric == "service" && difference.Case == "calm" && difference.Mean < -0.01 {
			t.Errorf("%+v", difference)
		}
	}
}

func checkTables(t *testing.T, groups []Group) {
	t.Helper()
	for _, form := range []string{"text", "csv", "json"} {
		var table bytes.Buffer
		if err := Table(&table, groups, form); err != nil || !strings.Contains(table.String(), "robin") {
			t.Errorf("%s: %v\n%s", form, err, table.String())
		}
	}
}

func checkReport(t *testing.T, folder *Folder, experiment *settings.Experiment, path string) {
	t.Helper()
	written, err := Report(folder, experiment)
	if err != nil || len(written) < 8 {
		t.Fatal(written, err)
	}
	page, err := os.ReadFile(filepath.Join(path, "report", "index.html"))
	charts := strings.Count(string(page), "<svg")
	if err != nil || charts < 4 || strings.Contains(string(page), "src=") {
		t.Errorf("%v: %d charts", err, charts)
	}
}

func TestIntervals(t *testing.T) {
	// By hand: mean 3, standard deviation 1.5811, Student's 0.975 quantile at 4 degrees 2.7764.
	five := Estimate([]float64{1, 2, 3, 4, 5})
	if five.Mean != 3 || math.Abs(five.HalfWidth-2.7764*1.58114/math.Sqrt(5)) > 1e-3 || !five.Significant() {
		t.Errorf("%+v", five)
	}
	if one := Estimate([]float64{2}); one.Significant() || !math.IsNaN(one.HalfWidth) {
		t.Errorf("%+v", one)
	}
}

// Faults that are planted in the core are found by drawn scenarios, each within a stated number of them.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, test := range []struct {
		guard  string
		rule   int
		within int
		kinds  string
	}{
		{"memory", 3, 12, "drain coordinator_restart"},
		{"rejoin", 1, 12, anyKind},
		{"cold", 4, 20, anyKind},
	} {
		t.Run(test.guard, func(t *testing.T) {
			t.Parallel()
			number := firstBroken(t, test.guard, test.kinds, test.rule, test.within)
			if number == 0 {
				t.Errorf("rule %d was kept in %d scenarios without the guard", test.rule, test.within)
				return
			}
			t.Logf("found in scenario %d", number)
		})
	}
}

const anyKind = "drain crash mass_restart demand coordinator_restart coordinator_restart balancer_restart grow zone_cut"

// firstBroken runs drawn scenarios without a guard. It returns the number of the first that breaks a rule, or 0.
func firstBroken(t *testing.T, guard, kinds string, rule, within int) int {
	t.Helper()
	planted := parse(t, `<experiment name="planted" seeds="40"><fleet name="f" servers="24" relays="30" load="0.65"/>
		<case name="k" seconds="60" drawn="5" kills="2" kinds="`+kinds+`"/>
		<arm name="a" front="sasp" without="`+guard+`"/></experiment>`)
	for i, cell := range Cells(planted)[:within] {
		if slices.Contains(play(t, planted, cell).Broken(), rule) {
			return i + 1
		}
	}
	return 0
}

// The guard "lines" has a second defence: when the channel carries less than configured, acknowledgements are late, and
// all weights wait.
func TestLateChannelKeepsRule5WithoutLinesGuard(t *testing.T) {
	if number := firstBroken(t, "lines", anyKind, 5, 25); number > 0 {
		t.Errorf("rule 5 broke in scenario %d", number)
	}
}

// A bad scenario is made smaller, stays bad, and can be written and run by itself.
func TestShrunkScenarioStaysBad(t *testing.T) {
	experiment := parse(t, `<experiment name="s" seeds="1"><fleet name="f" servers="16" relays="12"/><case name="c" seconds="50" drawn="5">
		<trouble kind="coordinator_restart" at="20" for="1"/><trouble kind="drain" at="15" for="0" server="3"/></case><arm name="a" front="sasp" without="memory"/></experiment>`)
	cell := Cells(experiment)[0]
	original, err := cell.Scenario()
	if err != nil {
		t.Fatal(err)
	}
	bad := BreaksRule(3, cell.Options())
	if !bad(original) {
		t.Fatal("the scenario is not bad")
	}
	shrunk := Shrink(original, bad, 60, io.Discard)
	servers := len(shrunk.Coordinator.Site.Servers)
	relays := len(shrunk.Coordinator.Site.Proxies)
	if !bad(shrunk) || len(shrunk.Faults) != 2 || servers > 8 || relays > 6 || shrunk.Seconds > 30 {
		t.Errorf("%d faults, %d servers, %d relays, %v s", len(shrunk.Faults), servers, relays, shrunk.Seconds)
	}
	text, err := shrunk.Write()
	if err != nil {
		t.Fatal(err)
	}
	written, err := settings.ParseScenario("small.xml", text, cell.Arm.Without...)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if !bad(written) {
		t.Error("what was written is not bad")
	}
	sound, err := settings.ParseScenario("small.xml", text)
	if err != nil {
		t.Fatal(err)
	}
	if bad(sound) {
		t.Error("it is bad with the guard, too: the test tests nothing")
	}
}

func TestInvalidExperiments(t *testing.T) {
	for _, test := range []struct{ old, replacement, want string }{
		{`name="g" servers="12"`, `name="f" servers="12"`, "two named"},
		{`name="calm"`, `name="a.b"`, "part of a file's"},
		{`policy="robin"`, `policy="best"`, "none of"},
		{`<arm name="snowquay"/>`, `<arm name="snowquay" without="luck"/>`, "no guard is named"},
		{`<arm name="snowquay"/>`, `<arm name="snowquay" levels="rate"/>`, "only the front http"},
		{`drawn="2"/>`, `drawn="2"><trouble kind="slow" at="99" server="1"/></case>`, "after the day's end"},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := settings.ParseExperiment("x.xml", []byte(strings.Replace(small, test.old, test.replacement, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) || !strings.Contains(err.Error(), "x.xml:") {
				t.Errorf("%s: %v", test.replacement, err)
			}
		})
	}
}

// The same calm scenario over sockets in real time and in virtual time: service and latency agree within stated bounds. The
// entries are compared in TestSocketsAgreeInLockstep: how many are sent follows from the order in which messages arrive.
func TestSocketsAgree(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	cell := Cells(parse(t, calmScenario))[0]
	virtual := runCell(t, cell, false)
	sockets := runCell(t, cell, true)
	if math.Abs(virtual.Service-sockets.Service) > 0.03 || math.Abs(virtual.P50-sockets.P50) > 0.15*virtual.P50+0.01 {
		t.Errorf("service %.3f and %.3f, median %.3f and %.3f s", virtual.Service, sockets.Service, virtual.P50, sockets.P50)
	}
}

func runCell(t *testing.T, cell Cell, sockets bool) *scenario.Result {
	t.Helper()
	built, err := cell.Scenario()
	if err != nil {
		t.Fatal(err)
	}
	options := cell.Options()
	options.Sockets = sockets
	if sockets { // ports of its own: other tests run at the same time
		coordinator := built.Coordinator
		coordinator.SASP = netip.AddrPortFrom(coordinator.SASP.Addr(), 13960)
		coordinator.HTTP = netip.AddrPortFrom(coordinator.HTTP.Addr(), 18960)
		coordinator.Measurements = netip.AddrPortFrom(coordinator.Measurements.Addr(), 15960)
	}
	result, err := scenario.Run(built, options)
	if err != nil {
		t.Fatal(err)
	}
	if !result.Kept() {
		t.Errorf("sockets %t: %+v", sockets, result.Verdicts)
	}
	return result
}
