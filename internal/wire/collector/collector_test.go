package collector

import (
	"errors"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func message(elements ...string) Message {
	var b [][]byte
	for _, element := range elements {
		b = append(b, []byte(element))
	}
	return Parse(b)
}

func TestHello(t *testing.T) {
	hello, err := message("telemetry", "az", "a", "more", "1").Hello()
	if err != nil || hello.Zone != "a" {
		t.Errorf("parsed as %+v, error %v", hello, err)
	}
	if _, err := message("telemetry", "az").Hello(); !errors.Is(err, ErrMalformed) {
		t.Errorf("field name without a value: error %v, want ErrMalformed", err)
	}
}

func TestKinds(t *testing.T) {
	for name, want := range map[string]Kind{"hb": ReadinessCheckKind, "telemetry": HelloKind, "upstream_stats": UpstreamReportKind,
		"client_stats": DemandReportKind, "attach": UnknownKind, "": UnknownKind} {
		if got := message(name).Kind; got != want {
			t.Errorf("%q has kind %d, want %d", name, got, want)
		}
	}
}

func TestUpstreamReport(t *testing.T) {
	report, err := message("upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "250", "window", "1000.0", "report",
		"queue:7,util:0.5,other:2").UpstreamReport()
	want := UpstreamReport{Zone: "a", Server: "s-1", Attempts: 12, Failed: 3, Latency: 0.25, Interval: 1,
		Load: LoadReport{"queue": 7, "util": 0.5, "other": 2}}
	if err != nil || !reflect.DeepEqual(report, want) {
		t.Errorf("parsed as %+v, error %v, want %+v", report, err, want)
	}
	if _, err := message("upstream_stats", "az", "a", "host", "s-1", "n", "3", "bad", "3", "window", "1").UpstreamReport(); err != nil {
		t.Errorf("no mean latency and no successful attempt: error %v", err)
	}
	for name, fields := range map[string][]string{
		"no zone":                {"host", "s", "n", "1", "bad", "0", "avg", "1", "window", "1"},
		"no mean latency":        {"az", "a", "host", "s", "n", "1", "bad", "0", "window", "1"},
		"more failed than made":  {"az", "a", "host", "s", "n", "1", "bad", "2", "avg", "1", "window", "1"},
		"no interval":            {"az", "a", "host", "s", "n", "1", "bad", "0", "avg", "1", "window", "0"},
		"interval too long":      {"az", "a", "host", "s", "n", "1", "bad", "0", "avg", "1", "window", "60001"},
		"not a number":           {"az", "a", "host", "s", "n", "nan", "bad", "0", "avg", "1", "window", "1"},
		"negative":               {"az", "a", "host", "s", "n", "1", "bad", "-1", "avg", "1", "window", "1"},
		"a name without a value": {"az", "a", "host", "s", "n", "1", "bad", "0", "avg", "1", "window", "1", "x"},
		"an invalid load report": {"az", "a", "host", "s", "n", "1", "bad", "0", "avg", "1", "window", "1", "report", "queue"},
	} {
		if _, err := message(append([]string{"upstream_stats"}, fields...)...).UpstreamReport(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v, want ErrMalformed", name, err)
		}
	}
}

func TestDemandReport(t *testing.T) {
	report, err := message("client_stats", "sidecar", "4", "kind", "lookup", "n", "19", "bad", "1", "window", "500").DemandReport()
	if want := (DemandReport{Proxy: 4, Class: "lookup", Requests: 19, Failed: 1, Interval: 0.5}); err != nil || report != want {
		t.Errorf("parsed as %+v, error %v, want %+v", report, err, want)
	}
	for name, fields := range map[string][]string{
		"no proxy":                  {"kind", "lookup", "n", "1", "bad", "0", "window", "1"},
		"proxy is not a number":     {"sidecar", "x", "kind", "lookup", "n", "1", "bad", "0", "window", "1"},
		"more failed than received": {"sidecar", "4", "kind", "lookup", "n", "1", "bad", "2", "window", "1"},
		"infinite":                  {"sidecar", "4", "kind", "lookup", "n", "inf", "bad", "0", "window", "1"},
	} {
		if _, err := message(append([]string{"client_stats"}, fields...)...).DemandReport(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v, want ErrMalformed", name, err)
		}
	}
}

// Guards against values that no collector can have measured: whatever the fields say, an accepted report is within the limits.
func TestAcceptedReportsAreWithinLimits(t *testing.T) {
	number := rapid.OneOf(rapid.Just("2.2250738585072014e-308"), rapid.StringMatching(`-?[0-9]{1,8}(\.[0-9]{1,3})?(e-?[0-9]{1,3})?`),
		rapid.SampledFrom([]string{"1", "1e-302", "0.999", "60000", "1e300", "0x1p-1074", "inf", "nan", ""}))
	rapid.Check(t, func(t *rapid.T) {
		count, failed, window, latency := number.Draw(t, "n"), number.Draw(t, "bad"), number.Draw(t, "window"), number.Draw(t, "avg")
		demand, err := message("client_stats", "sidecar", "4", "kind", "lookup", "n", count, "bad", failed, "window", window).DemandReport()
		if err == nil && !(demand.Interval >= 1e-3 && demand.Interval <= 60 && demand.Requests >= 0 && demand.Requests <= 1e6) {
			t.Errorf("accepted demand report %+v", demand)
		}
		upstream, err := message("upstream_stats", "az", "a", "host", "s", "n", count, "bad", failed, "avg", latency, "window", window).UpstreamReport()
		if err == nil && !(upstream.Interval >= 1e-3 && upstream.Interval <= 60 && upstream.Attempts <= 1e6 && upstream.Latency >= 0 && upstream.Latency <= 60) {
			t.Errorf("accepted upstream report %+v", upstream)
		}
	})
}

func TestLoadReportValues(t *testing.T) {
	report, err := ParseLoadReport([]byte("util=0.5,queue=7,other=1"), '=')
	if err != nil {
		t.Fatal(err)
	}
	if got := report.Values([]balancer.LoadMetric{balancer.QueueLength, balancer.Utilization}); !slices.Equal(got, []float64{7, 0.5}) {
		t.Errorf("values %v, want [7 0.5]", got)
	}
	if got := report.Values([]balancer.LoadMetric{balancer.QueueLength, balancer.InProgress}); got != nil {
		t.Errorf("values of a report that lacks a metric: %v, want nil", got)
	}
	for _, text := range []string{"", "queue", "queue=", "queue=-1", "queue=1,", "queue:1"} {
		if report, err := ParseLoadReport([]byte(text), '='); !errors.Is(err, ErrMalformed) || report != nil {
			t.Errorf("%q was parsed as %v, error %v, want ErrMalformed", text, report, err)
		}
	}
}

func TestEncodedResponses(t *testing.T) {
	if got := string(AppendReady(nil)); got != "*1\r\n$5\r\nhb_ok\r\n" {
		t.Errorf("response to a readiness check is %q", got)
	}
	if got := string(AppendRejection(nil)); got != "*1\r\n$6\r\nreject\r\n" {
		t.Errorf("rejection is %q", got)
	}
}
