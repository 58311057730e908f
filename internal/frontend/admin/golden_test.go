package admin

import (
	"net/http/httptest"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/golden"
)

func TestAnswersOnTheWire(t *testing.T) {
	golden.JSON(t, "server.json", serverRow{Server: "127.0.1.2:8080", Phase: "drains", Zone: "a", Pod: 3, Started: 1000.5, Cold: true})
	golden.JSON(t, "drain.json", drainRow{Server: "127.0.1.2:8080", Phase: "drains", Told: 1000.5, Proxies: 4, Without: 3, Waiting: []string{"relay-1"}, Done: true})
	golden.JSON(t, "relay.json", relayRow{UID: "relay-1", Zone: "a", Newest: true, Asks: true, Urgent: true})
	golden.JSON(t, "preview-call.json", previewCall{Drain: []balancer.Server{"127.0.1.2:8080"}, LoseZone: true})
	golden.JSON(t, "drain-call.json", drainCall{Server: "127.0.1.2:8080", On: true, Force: true, LoseZone: true})
	needs := tenancy.Requirements{Memory: 1 << 20, EntriesPerSecond: 250.5, Connections: 40, CPU: 0.125}
	golden.JSON(t, "tenant.json", TenantRow{Name: "one", Incarnation: 1, Version: 5, Weight: 2, Requirements: needs, Running: true, Error: "why", Servers: 6,
		Relays: 4, UpToDate: 3, CPUSeconds: 0.5, LongestWait: 0.25, QueuedEntries: 12})
	golden.JSON(t, "seen.json", SettingsPreview{Weight: 2, Requirements: needs, RestartReason: "listeners", Added: 1, Removed: []string{"127.0.1.3:8080"}, RelaysEvicted: 2,
		Reasons: []string{"no open, warm server"}})
}

func TestProblemOnTheWire(t *testing.T) {
	w := httptest.NewRecorder()
	problem(w, 409, "it would do harm: %s", "why")
	golden.Bytes(t, "problem.json", w.Body.Bytes())
}
