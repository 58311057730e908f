package scenario

import (
	"fmt"
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/registry"
	"snowquay/internal/settings"
)

const (
	serversPerFailureDomain = 10
	fullUpdateSeconds       = 8.0   // time in which the channel can send all entries to all relays
	maxRatePerServer        = 8.0   // requests per second; a higher rate only lengthens the run
	maxRate                 = 600.0 // requests per second, limited for the same reason
	expectedProxyRate       = 1.0   // requests per second
	serverPort              = 8080
)

// Enlarge replaces a scenario's servers and relays by the given numbers of them, raises the capacity of the channel
// to match, and removes all faults.
func Enlarge(scenario *settings.Scenario, servers, relays int) {
	site := &scenario.Coordinator.Site
	site.Servers = nil
	site.Proxies = nil
	scenario.Faults = nil
	zones := len(site.Zones)
	for i := range servers {
		octets := [4]byte{127, 1, byte(i / hostsPerNetwork), byte(1 + i%hostsPerNetwork)}
		address := netip.AddrPortFrom(netip.AddrFrom4(octets), serverPort)
		site.Servers = append(site.Servers, registry.ServerConfig{
			Server:        balancer.Server(address.String()),
			Weight:        1,
			Zone:          balancer.Zone(i / serversPerFailureDomain % zones),
			FailureDomain: balancer.FailureDomain(i / serversPerFailureDomain),
		})
	}
	for i := range relays {
		site.Proxies = append(site.Proxies, controlplane.ProxyConfig{
			UID:          fmt.Sprint("relay-", i),
			Zone:         balancer.Zone(i % zones),
			ExpectedRate: expectedProxyRate,
		})
	}
	site.DataPlane.Proxies = relays
	entries := float64(relays * servers * len(site.Classes))
	site.Channel.EntriesPerSecond = max(site.Channel.EntriesPerSecond, entries/fullUpdateSeconds)
	site.Channel.MaxQueued = max(site.Channel.MaxQueued, 2*entries)
	scenario.Rate = min(maxRatePerServer*float64(servers), maxRate)
}
