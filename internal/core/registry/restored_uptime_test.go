package registry

import (
	"testing"

	"snowquay/balancer"
)

// A server that restarted while the coordinator was down registers as one that is still running; its first report of its
// uptime says otherwise. One that did not restart stays warm.
func TestFirstUptimeAfterRestoreTellsARestart(t *testing.T) {
	const warmup = 10
	for _, test := range []struct {
		name          string
		uptime        float64 // at 201 s
		warmingUp     bool
		startedBefore float64
	}{
		{name: "restarted", uptime: 1, warmingUp: true, startedBefore: 5},
		{name: "still running", uptime: 196, startedBefore: 5},
		{name: "still running, report 1.5 s late", uptime: 194.5, startedBefore: 5},
		{name: "running for long", uptime: 1e6, startedBefore: 0},
		{name: "restarted after long", uptime: 1, warmingUp: true, startedBefore: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New(2.5, 10, false)
			record := Record{ServerConfig: ServerConfig{Server: "a", Weight: 1}, Phase: balancer.Ready, Started: test.startedBefore}
			if err := r.Restore(200, []Record{record}); err != nil {
				t.Fatal(err)
			}
			register(t, r, 200.1, "a", 0)
			r.ObserveUptime(201, "a", test.uptime)
			if got := r.WarmingUp(201, "a", warmup); got != test.warmingUp {
				t.Errorf("warming up %t, started at %v", got, startOfA(r))
			}
		})
	}
}
