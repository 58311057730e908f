package platform

import (
	"strings"
	"testing"
)

// For a while the relay applies calls without responding, while the proxies acknowledge them. The calls must not be charged
// to the channel repeatedly: a later drain reaches the proxies within its deadline.
func TestDrainAfterUnansweredCalls(t *testing.T) {
	small := strings.NewReplacer(`"egress-per-s":1600,"pending-max":1600`, `"egress-per-s":160,"pending-max":160`).Replace(settings)
	sim := simulateWith(t, 1, 256, small, server("s-1", "ready"), server("s-2", "ready"), server("s-3", "ready"))
	sim.relay.acknowledges = true
	sim.relay.respond = func(uint64, int) (string, bool) { return "", true }
	for proxy := range 9 {
		sim.relay.join(proxy, "a")
	}
	sim.net.Run(1002)
	if calls := sim.relay.calls; calls > 3 {
		t.Errorf("%d calls were made, want at most 3", calls)
	}
	sim.relay.respond = nil
	sim.net.Run(1003)
	sim.discovery.publish(false, server("s-3", "draining"))
	sim.net.Run(1003 + 2.3)
	if sim.relay.inTable("s-3") {
		t.Errorf("s-3 is in the table 2.3 s after its drain was published; %d calls, %d sent again", sim.relay.calls, sim.program.commands.Resends)
	}
}

// As TestDrainAfterUnansweredCalls, but the acknowledgements arrive late, after calls have been sent again: a later drain
// reaches the proxies within its deadline.
func TestDrainAfterUnansweredCallsWithLateAcknowledgements(t *testing.T) {
	small := strings.NewReplacer(`"egress-per-s":1600,"pending-max":1600`, `"egress-per-s":160,"pending-max":160`).Replace(settings)
	sim := simulateWith(t, 1, 256, small, server("s-1", "ready"), server("s-2", "ready"), server("s-3", "ready"))
	sim.relay.respond = func(uint64, int) (string, bool) { return "", true }
	for proxy := range 9 {
		sim.relay.join(proxy, "a")
	}
	sim.net.Run(1002)
	sim.relay.respond = nil
	sim.relay.acknowledges = true
	sim.net.Run(1003)
	sim.discovery.publish(false, server("s-3", "draining"))
	sim.net.Run(1003 + 2.3)
	if sim.relay.inTable("s-3") {
		t.Errorf("s-3 is in the table 2.3 s after its drain was published; %d calls, %d sent again", sim.relay.calls, sim.program.commands.Resends)
	}
}
