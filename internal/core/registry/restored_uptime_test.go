package registry

import (
	"testing"

	"snowquay/balancer"
)

// The registration of a server that restarted while the coordinator was down looks like that of a server that kept running. Its
// first uptime report must reveal the restart, and a server that did not restart must stay warm.
func TestFirstUptimeAfterRestoreDetectsRestart(t *testing.T) {
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
		{name: "long-running", uptime: 1e6, startedBefore: 0},
		{name: "restarted after a long run", uptime: 1, warmingUp: true, startedBefore: 0},
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
				t.Errorf("warming up is %t with start time %v", got, startOfA(r))
			}
		})
	}
}
