package controlplane

import (
	"math"
	"strings"
	"testing"

	"snowquay/internal/core/loadreport"
)

// Metrics report for each server whether it serves and its mean weight in the tables of joined proxies. Totals accumulate
// the load reports.
func TestMetrics(t *testing.T) {
	f, now := startFleet(t, 3, 2)
	f.Registry.SetDrain(now, serverName(2), true)
	for i := range 40 {
		now += 0.5
		for r := range 2 {
			totals := loadreport.Totals{Attempts: float64(10 * i), Failed: float64(i), LatencySum: float64(i)}
			f.ReportUpstream(now, now, proxyUID(r), serverName(0), totals)
			f.ReportDemand(now, now, proxyUID(r), "search", loadreport.Totals{Attempts: float64(10 * i)})
		}
		step(f, now)
	}
	got := map[string]float64{}
	for _, metric := range f.Metrics(now) {
		got[strings.Join(metric.Path(), " ")] = metric.Value
	}
	reported := "servers " + string(serverName(0))
	drained := "servers " + string(serverName(2))
	for path, want := range map[string]float64{
		reported + " serves":       1,
		reported + " lost":         78,
		reported + " tries":        780,
		drained + " serves":        0,
		drained + " drains":        1,
		drained + " weight search": 0,
		"fleet joined":             2,
		"classes search queries":   780,
	} {
		if value, ok := got[path]; !ok || math.Abs(value-want) > 1e-6*max(want, 1) {
			t.Errorf("%s is %v, want %v", path, value, want)
		}
	}
	if got[reported+" weight search"] <= 0 {
		t.Error("a ready server has no weight")
	}
}

// Guards against one report with a wrong time that disables the check of a proxy's compliance for good.
func TestReportFromTheFutureDoesNotSetTheClockOffset(t *testing.T) {
	f, now := startFleet(t, 3, 1)
	report := func(at, attempts float64) {
		f.ReportUpstream(now, at, proxyUID(0), serverName(0), loadreport.Totals{Attempts: attempts})
	}
	report(now-2, 10)
	now += 1
	report(now-2, 20)
	report(now+1e9, 30)
	if got := f.proxiesByUID[proxyUID(0)].clockOffset; math.Abs(got-2) > 1e-6 {
		t.Errorf("clock offset is %v s, want 2", got)
	}
}
