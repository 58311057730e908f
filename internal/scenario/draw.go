package scenario

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/registry"
	"snowquay/internal/settings"
)

const (
	firstFaultSeconds   = 4.0 // seconds: the coordinator has learnt the first weights
	faultFreeEndSeconds = 8.0 // seconds at the end, for what was begun to end
	maxFaults           = 6
)

// AddKills adds deaths, restarts and pauses of coordinators, and cuts between them and the rest, to a day, at random moments by its seed.
func AddKills(d *settings.Scenario, times int) {
	c := rand.New(rand.NewPCG(d.Seed, 0x1c11))
	for range times {
		t := settings.Fault{Kind: "coordinator_restart", Server: c.IntN(3), Relay: -1, FailureDomain: -1, Zone: -1, Factor: 1,
			At: firstFaultSeconds + c.Float64()*(d.Seconds-faultFreeEndSeconds-firstFaultSeconds), For: 0.2 + 8*c.Float64()}
		switch c.IntN(8) {
		case 0, 1:
			t.Kind, t.For = "coordinator_pause", 0.5+10*c.Float64()
		case 2:
			t.Kind, t.For = "coordinator_hidden", 1+15*c.Float64()
		case 3:
			t.Kind, t.For = "coordinator_alone", 1+10*c.Float64()
		}
		d.Faults = append(d.Faults, t)
	}
}

// RedrawFaults gives a day other troubles, by its seed: two to six of any kind that the day's fleet can have, overlapping or
// not, at any time.
func RedrawFaults(d *settings.Scenario) {
	c := rand.New(rand.NewPCG(d.Seed, 0xd4a3))
	site := &d.Coordinator.Site
	d.Faults = nil
	kinds := []string{"slow", "fast_errors", "hang", "crash", "mass_restart", "zone_cut", "drain", "coordinator_restart",
		"balancer_stall", "balancer_restart", "reconnect", "report_late", "reports_stop", "demand", "clock_gap"}
	for range 2 + c.IntN(maxFaults-1) {
		t := settings.Fault{Kind: kinds[c.IntN(len(kinds))], Server: c.IntN(len(site.Servers)),
			Relay: c.IntN(len(site.Proxies)), Zone: site.Servers[c.IntN(len(site.Servers))].Zone,
			FailureDomain: int(site.Servers[c.IntN(len(site.Servers))].FailureDomain)}
		t.At = firstFaultSeconds + c.Float64()*(d.Seconds-faultFreeEndSeconds-firstFaultSeconds)
		between := func(a, b float64) float64 { return a + (b-a)*c.Float64() }
		switch t.Kind {
		case "slow":
			t.For, t.Factor = between(5, 20), between(2, 8)
		case "fast_errors":
			t.For, t.Factor = between(5, 20), between(0.3, 0.9)
		case "hang", "reports_stop":
			t.For = between(4, 15)
		case "crash", "mass_restart", "coordinator_restart", "balancer_restart":
			t.For = between(0.3, 5)
		case "zone_cut":
			t.For = between(4, 12)
			t.Zone = site.Servers[len(site.Servers)/2].Zone // not the coordinator's
		case "drain":
			t.For = between(5, 20)
		case "balancer_stall", "clock_gap":
			t.For = between(0.5, 3)
		case "report_late":
			t.For, t.Factor = between(5, 15), between(1, 4)
		case "demand":
			t.For, t.Factor = between(3, 10), between(1.3, 2)
		}
		d.Faults = append(d.Faults, t)
	}
}

const (
	serversPerFailureDomain = 10    // servers of an enlarged day that restart together
	fullUpdateSeconds       = 8.0   // seconds in which an enlarged day's channels could tell all relays all lines
	maxRatePerServer        = 8.0   // queries a second for each server of an enlarged day, at most: more only takes longer to play
	maxRate                 = 600.0 // a second in all, likewise
	expectedProxyRate       = 1.0
	serverPort              = 8080
)

// Enlarge gives a day another number of servers and relays, with a channel to match; its troubles go.
func Enlarge(d *settings.Scenario, servers, relays int) {
	site := &d.Coordinator.Site
	site.Servers, site.Proxies, d.Faults = nil, nil, nil
	zones := len(site.Zones)
	for i := range servers {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(1 + i%250)}), serverPort)
		site.Servers = append(site.Servers, registry.ServerConfig{Server: balancer.Server(a.String()), Weight: 1,
			Zone: balancer.Zone(i / serversPerFailureDomain % zones), FailureDomain: balancer.FailureDomain(i / serversPerFailureDomain)})
	}
	for i := range relays {
		site.Proxies = append(site.Proxies, controlplane.ProxyConfig{UID: fmt.Sprint("relay-", i), Zone: balancer.Zone(i % zones), ExpectedRate: expectedProxyRate})
	}
	site.DataPlane.Proxies = relays
	lines := float64(relays * servers * len(site.Classes))
	site.Channel.EntriesPerSecond = max(site.Channel.EntriesPerSecond, lines/fullUpdateSeconds)
	site.Channel.MaxQueued = max(site.Channel.MaxQueued, 2*lines)
	d.Rate = min(maxRatePerServer*float64(servers), maxRate)
}
