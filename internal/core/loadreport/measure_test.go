package loadreport

import (
	"math"
	"testing"

	"snowquay/balancer"
)

func TestOnlyDifferencesInOrderCount(t *testing.T) {
	b := New(10)
	report := func(now, at, tries, lost, seconds float64) {
		b.AddUpstream(now, at, 1, 2, "a", Totals{tries, lost, seconds})
	}
	report(100, 50, 1000, 10, 300) // says only where to count from
	report(100.5, 50.5, 1010, 12, 304)
	report(100.6, 50.5, 1010, 12, 304) // doubled
	report(100.7, 50.2, 1005, 11, 302) // overtaken
	report(101.5, 51.5, 1030, 12, 310) // one in between was lost
	traffic, _ := b.Flush()
	want := balancer.UpstreamReport{Server: "a", Zone: 2, Attempts: 30, Failed: 2, Latency: 10.0 / 28, Interval: (10*0.5 + 20*1) / 30}
	if len(traffic) != 1 || traffic[0].Attempts != want.Attempts || traffic[0].Failed != want.Failed ||
		math.Abs(traffic[0].Latency-want.Latency) > 1e-9 || math.Abs(traffic[0].Interval-want.Interval) > 1e-9 {
		t.Errorf("%+v, want %+v", traffic, want)
	}
	if b.Rejected.Stale != 2 || b.Rejected.First != 1 {
		t.Errorf("%+v", b.Rejected)
	}
	report(102, 52, 1030, 12, 310) // frozen: nothing was met
	report(102.5, 52.5, 5, 0, 1)   // the relay started again
	report(130, 80, 500, 0, 100)   // a gap
	for _, v := range []float64{math.NaN(), math.Inf(1), -1} {
		report(131, 81, v, 0, 0)
		report(131, v, 501, 0, 0)
	}
	report(131, 81, 1e12, 0, 0)
	report(132, 82, 1e12+5, 7, 0) // more lost than tried
	if traffic, _ = b.Flush(); len(traffic) != 0 {
		t.Errorf("%+v was believed", traffic)
	}
	if b.Rejected.Malformed < 6 || b.HasPending() {
		t.Errorf("%+v", b.Rejected)
	}
}

func TestSeriesAreBounded(t *testing.T) {
	b := New(3)
	for p := range balancer.Proxy(5) {
		b.AddDemand(100, 100, p, 0, Totals{Attempts: 1})
	}
	if b.Len() != 3 || b.Rejected.Overflow != 2 {
		t.Errorf("%d series, %+v", b.Len(), b.Rejected)
	}
	b.AddDemand(200, 200, 4, 0, Totals{Attempts: 1}) // the others have been silent for long
	if b.Len() != 1 {
		t.Errorf("%d series", b.Len())
	}
	b.AddDemand(201, 201, 4, 0, Totals{Attempts: 9, Failed: 2})
	if _, d := b.Flush(); len(d) != 1 || d[0].Requests != 8 || d[0].Failed != 2 || d[0].Interval != 1 {
		t.Errorf("%+v", d)
	}
	if b.RemoveProxy(4); b.Len() != 0 {
		t.Errorf("%d series after it left", b.Len())
	}
}
