package balancer

import "testing"

func TestReportsAreWeightedByInterval(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	var events Events
	for i := range 6 {
		events.Upstreams = append(events.Upstreams,
			UpstreamReport{Server: serverName(i), Attempts: 1000 / 6, Latency: 0.25, Interval: 10})
	}
	h.reconcile(h.now+10, events)
	if got := h.balancer.attemptRate; got < 70 || got > 130 {
		t.Errorf("attempt rate is %.0f for reports of 100 attempts per second over 10 s, want 70 to 130", got)
	}
}

func TestDemandOfARareClassIsNotOverestimated(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	intervals := []float64{1, 9}
	for i := range 40 { // one request per ten seconds, split between a report of one period and one of the nine before
		report := DemandReport{Proxy: 3, Class: 1, Requests: 0.5, Interval: intervals[i%2]}
		h.reconcile(h.now+5, Events{Demands: []DemandReport{report}})
	}
	if got := h.balancer.proxyByID[3].demand[1]; got > 0.15 {
		t.Errorf("demand of a class with 0.10 requests per second is estimated as %.2f, want at most 0.15", got)
	}
}

// Guards against a collector that sends reports at full speed and makes memory grow without end.
func TestFloodOfReportsKeepsFewSamples(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	for zone := range Zone(2) {
		var events Events
		for range 10_000 {
			events.Upstreams = append(events.Upstreams,
				UpstreamReport{Server: serverName(2), Zone: zone, Attempts: 12, Latency: 0.25, Interval: 60})
		}
		h.reconcile(h.now+0.1, events)
	}
	if got := len(h.balancer.serverByAddress[serverName(2)].samples); got > 2*maxZoneSamples {
		t.Errorf("%d samples are kept of two zones, want at most %d", got, 2*maxZoneSamples)
	}
}
