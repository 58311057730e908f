package loadreport

import (
	"math"
	"testing"

	"snowquay/balancer"
)

// testReporter adds reports of proxy 1 in zone 2 about server "a".
type testReporter struct{ *Aggregator }

func (r testReporter) report(now, at, attempts, failed, seconds float64) {
	r.AddUpstream(now, at, 1, 2, "a", Totals{Attempts: attempts, Failed: failed, LatencySum: seconds})
}

func TestOnlyInOrderDifferencesAreCounted(t *testing.T) {
	r := testReporter{New(10)}
	r.report(100, 50, 1000, 10, 300) // baseline of the following reports
	r.report(100.5, 50.5, 1010, 12, 304)
	r.report(100.6, 50.5, 1010, 12, 304) // duplicated
	r.report(100.7, 50.2, 1005, 11, 302) // reordered
	r.report(101.5, 51.5, 1030, 12, 310) // a report before it was lost
	upstreams, _ := r.Flush()
	want := balancer.UpstreamReport{
		Server:   "a",
		Zone:     2,
		Attempts: 30,
		Failed:   2,
		Latency:  10.0 / 28,
		Interval: (10*0.5 + 20*1) / 30,
	}
	if len(upstreams) != 1 {
		t.Fatalf("got upstream reports %+v, want only %+v", upstreams, want)
	}
	got := upstreams[0]
	if got.Attempts != want.Attempts || got.Failed != want.Failed ||
		math.Abs(got.Latency-want.Latency) > 1e-9 || math.Abs(got.Interval-want.Interval) > 1e-9 {
		t.Errorf("got upstream report %+v, want %+v", got, want)
	}
	if r.Rejected.Stale != 2 || r.Rejected.Baseline != 1 {
		t.Errorf("rejected counts are %+v, want Stale 2 and Baseline 1", r.Rejected)
	}
}

func TestImplausibleReportsAreRejected(t *testing.T) {
	r := testReporter{New(10)}
	r.report(101.5, 51.5, 1030, 12, 310)
	r.report(102, 52, 1030, 12, 310) // no change
	r.report(102.5, 52.5, 5, 0, 1)   // the proxy restarted
	r.report(130, 80, 500, 0, 100)   // after a gap
	for _, value := range []float64{math.NaN(), math.Inf(1), -1} {
		r.report(131, 81, value, 0, 0)
		r.report(131, value, 501, 0, 0)
	}
	r.report(131, 81, 1e12, 0, 0)
	r.report(132, 82, 1e12+5, 7, 0) // more failures than attempts
	if upstreams, _ := r.Flush(); len(upstreams) != 0 {
		t.Errorf("implausible reports were accepted: %+v", upstreams)
	}
	if r.Rejected.Malformed < 6 || r.HasPending() {
		t.Errorf("rejected counts are %+v, want Malformed of at least 6 and no pending report", r.Rejected)
	}
}

// Guards against a latency sum that no proxy can have measured.
func TestImplausibleLatencySumIsRejected(t *testing.T) {
	r := testReporter{New(10)}
	r.report(100, 50, 10, 0, 5)
	r.report(100.5, 50.5, 20, 0, 9e12)
	r.report(101, 51, 30, 0, 9e12+5)
	upstreams, _ := r.Flush()
	if len(upstreams) != 1 || upstreams[0].Attempts != 10 || upstreams[0].Latency > 1 || r.Rejected.Malformed != 1 {
		t.Errorf("upstream reports %+v, rejected counts %+v; want one report of 10 attempts and Malformed 1", upstreams, r.Rejected)
	}
}

func TestSeriesAreLimited(t *testing.T) {
	a := New(3)
	for proxy := range balancer.Proxy(5) {
		a.AddDemand(100, 100, proxy, 0, Totals{Attempts: 1})
	}
	if a.Len() != 3 || a.Rejected.Overflow != 2 {
		t.Errorf("got %d series and rejected counts %+v, want 3 series and Overflow 2", a.Len(), a.Rejected)
	}
	a.AddDemand(200, 200, 4, 0, Totals{Attempts: 1}) // the others have expired
	if a.Len() != 1 {
		t.Errorf("got %d series after the others have expired, want 1", a.Len())
	}
	a.AddDemand(201, 201, 4, 0, Totals{Attempts: 9, Failed: 2})
	want := balancer.DemandReport{Proxy: 4, Requests: 8, Failed: 2, Interval: 1}
	if _, demands := a.Flush(); len(demands) != 1 || demands[0] != want {
		t.Errorf("got demand reports %+v, want only %+v", demands, want)
	}
	a.RemoveProxy(4)
	if a.Len() != 0 {
		t.Errorf("got %d series after the proxy was removed, want 0", a.Len())
	}
}
