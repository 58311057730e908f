package service

import (
	"encoding/json"
	"strings"
	"testing"

	"snowquay/internal/core/controlplane"
)

func TestMessageTracesInJSON(t *testing.T) {
	recorder := newTraceRecorder(2)
	for round := range uint64(3) {
		recorder.recordTenant("one", 7, controlplane.MessageTrace{UID: "one/relay-<1>", Round: round, Lists: 1, ProxyEvents: 2, Upstreams: 3, Demands: 4,
			Entries: 5, Urgent: true, DecidedAt: 1000, SentAt: 1000.25, AckedAt: 1000.5})
	}
	recorder.record(controlplane.MessageTrace{UID: "relay-2", Full: true, DecidedAt: 2000, SentAt: 2000.125})
	traces := recorder.log.latest("one", "")
	if len(traces) != 2 || traces[0].Round != 2 || traces[1].Round != 1 {
		t.Fatalf("latest returned %+v, want rounds 2 and 1", traces)
	}
	traces = append(traces[:1], recorder.log.latest("", "relay-2")...)
	for i, want := range []string{
		`{"decided":"DECIDED","facts.demand":4,"facts.lists":1,"facts.streams":2,"facts.traffic":3,"full":false,"held":true,"incarnation":7,"lines":5,` +
			`"relay":"one/relay-\u003c1\u003e","round":2,"seconds":0.5,"tenant":"one","trace":"TRACE","urgent":true}`,
		`{"decided":"DECIDED","facts.demand":0,"facts.lists":0,"facts.streams":0,"facts.traffic":0,"full":true,"held":false,"incarnation":0,"lines":0,` +
			`"relay":"relay-2","round":0,"seconds":0.125,"tenant":"","trace":"TRACE","urgent":false}`,
	} {
		got, err := json.Marshal(traces[i])
		if err != nil {
			t.Fatal(err)
		}
		decided, err := json.Marshal(traces[i].Decided)
		if err != nil {
			t.Fatal(err)
		}
		want = strings.NewReplacer(`"DECIDED"`, string(decided), "TRACE", traces[i].Trace).Replace(want)
		if string(got) != want || len(traces[i].Trace) != 32 {
			t.Errorf("trace in JSON\n%s\nwant\n%s", got, want)
		}
	}
}
