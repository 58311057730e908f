package admin

import (
	"net/http/httptest"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/golden"
)

func TestResponsesMatchGoldenFiles(t *testing.T) {
	golden.JSON(t, "server.json", serverRow{Server: "127.0.1.2:8080", Phase: "drains", Zone: "a", FailureDomain: 3, StartedAt: 1000.5, WarmingUp: true})
	golden.JSON(t, "drain.json", drainRow{Server: "127.0.1.2:8080", Phase: "drains", NotifiedAt: 1000.5, Joined: 4, Updated: 3, Pending: []string{"relay-1"}, Done: true})
	golden.JSON(t, "relay.json", proxyRow{UID: "relay-1", Zone: "a", UpToDate: true, Polls: true, Urgent: true})
	golden.JSON(t, "preview-call.json", previewRequest{Drain: []balancer.Server{"127.0.1.2:8080"}, LoseZone: true})
	golden.JSON(t, "drain-call.json", drainRequest{Server: "127.0.1.2:8080", On: true, Force: true, LoseZone: true})
	needs := tenancy.Requirements{Memory: 1 << 20, EntriesPerSecond: 250.5, Connections: 40, CPU: 0.125}
	golden.JSON(t, "tenant.json", TenantRow{Name: "one", Incarnation: 1, Version: 5, Weight: 2, Requirements: needs, Running: true, Error: "why", Servers: 6,
		Relays: 4, UpToDate: 3, CPUSeconds: 0.5, LongestWait: 0.25, QueuedEntries: 12})
	golden.JSON(t, "seen.json", SettingsPreview{Weight: 2, Requirements: needs, RestartReason: "listeners", Added: 1, Removed: []string{"127.0.1.3:8080"}, RelaysEvicted: 2,
		Reasons: []string{"no open, warm server"}})
}

func TestProblemEncoding(t *testing.T) {
	w := httptest.NewRecorder()
	writeProblem(w, 409, "it would do harm: %s", "why")
	golden.Bytes(t, "problem.json", w.Body.Bytes())
}

// The keys of these responses are in alphabetical order.
func TestResponsesInJSON(t *testing.T) {
	for _, test := range []struct {
		name     string
		response any
		want     string
	}{
		{"harmless", previewResponse{Harmless: true, Reasons: findingTexts(nil)}, `{"harmless":true,"reasons":[]}`},
		{"harmful", previewResponse{Reasons: []string{"why"}}, `{"harmless":false,"reasons":["why"]}`},
		{"change", changeResponse{Tenant: "one", Version: 5, Incarnation: 1}, `{"incarnation":1,"tenant":"one","version":5}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			writeJSON(w, 200, test.response)
			if got := w.Body.String(); got != test.want {
				t.Errorf("response %s, want %s", got, test.want)
			}
		})
	}
}
