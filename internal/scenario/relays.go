package scenario

import (
	"math"
	"net/netip"
	"slices"

	"snowquay/internal/emulator"
	"snowquay/internal/wire/sasp"
)

const (
	relayNetwork     = 2   // third octet of the first addresses that relays dial from
	hostsPerNetwork  = 250 // number of addresses used in each /24 network
	relayEjectPeriod = 4.0 // seconds for which a relay ejects a failing server
)

// relayAddr returns the address that a relay dials from.
func relayAddr(i int) netip.AddrPort { return networkAddr(relayNetwork, i) }

// networkAddr returns the i-th address, without a port, of the range that starts with the loopback network
// 127.0.<network>.
func networkAddr(network, i int) netip.AddrPort {
	octets := [4]byte{127, 0, byte(network + i/hostsPerNetwork), byte(1 + i%hostsPerNetwork)}
	return netip.AddrPortFrom(netip.AddrFrom4(octets), 0)
}

func (r *run) addRelays() {
	site := &r.scenario.Coordinator.Site
	loads := make([]float64, len(site.Proxies))
	sum := 0.0
	for i := range loads {
		loads[i] = math.Exp(r.scenario.Spread * (r.random.Float64()*2 - 1))
		sum += loads[i]
	}
	for i := range site.Proxies {
		config := r.relayConfig(i, r.scenario.Rate*loads[i]/sum)
		config.DefaultTable = r.drawDefaultTable()
		if r.options.RealProxies {
			r.addProxy(i, config.Rate, config.DefaultTable)
			continue
		}
		relay := emulator.NewRelay(config, r.checker)
		r.relays = append(r.relays, relay)
		r.relayHosts = append(r.relayHosts, r.addHost(relayAddr(i), int(site.Proxies[i].Zone), relay, false))
		if r.options.DropMeasurements {
			r.relayHosts[i].DisturbDatagrams(true, 0)
		}
	}
	r.relayRestarts = make([]uint64, len(r.relays))
}

// drawDefaultTable returns a default table of randomly drawn servers. A server that is drawn twice has one entry
// only, so the table may be smaller than configured.
func (r *run) drawDefaultTable() []netip.AddrPort {
	site := &r.scenario.Coordinator.Site
	var table []netip.AddrPort
	for range site.DataPlane.DefaultTableSize {
		server := site.Servers[r.random.IntN(len(site.Servers))]
		address := netip.MustParseAddrPort(string(server.Server))
		if !slices.Contains(table, address) {
			table = append(table, address)
		}
	}
	return table
}

func (r *run) relayConfig(i int, rate float64) emulator.RelayConfig {
	config := r.scenario.Coordinator
	usesLongPoll := r.options.usesLongPoll(i)
	first := config.SASP
	if usesLongPoll {
		first = config.HTTP
	}
	return emulator.RelayConfig{
		UID:               config.Site.Proxies[i].UID,
		Host:              relayAddr(i).Addr(),
		Coordinator:       first,
		OtherCoordinators: r.coordinatorAddrs(first)[1:],
		UsesLongPoll:      usesLongPoll,
		Collector:         config.Measurements,
		User:              config.User,
		Key:               config.Key,
		Flags:             sasp.Push | sasp.Trust | sasp.NoChange,
		Classes:           r.classes,
		Rate:              rate,
		ReportInterval:    config.Site.Reporting.Period,
		EjectAfter:        config.Site.DataPlane.EjectAfterFailures,
		EjectDuration:     relayEjectPeriod,
		KeyCount:          r.scenario.Keys,
		Seed:              r.relaySeed(i),
		KeyPopularity:     r.keyPopularity,
		ClientRetries:     r.scenario.Clients.Retries,
		ClientRetryDelay:  r.scenario.Clients.RetryWait,
		PatienceFraction:  r.scenario.Clients.Patience,
		Policy:            r.options.Policy,
		AllServers:        r.allServers(),
	}
}

// relaySeed returns the seed of a relay or of a real proxy's clients.
func (r *run) relaySeed(i int) uint64 { return uint64(i+1) + r.options.Seed<<16 }

// allServers returns all servers for the round-robin policy, which ignores the coordinator. It returns nil for other
// policies.
func (r *run) allServers() []netip.AddrPort {
	if r.options.Policy != emulator.RoundRobin {
		return nil
	}
	var servers []netip.AddrPort
	for _, server := range r.scenario.Coordinator.Site.Servers {
		servers = append(servers, netip.MustParseAddrPort(string(server.Server)))
	}
	return servers
}

// restartRelay restarts a relay that was killed. The relay has no default table, so it knows no server until its
// coordinator sends a table.
func (r *run) restartRelay(i int) {
	r.relayRestarts[i]++
	config := r.relays[i].RelayConfig
	config.DefaultTable = nil
	config.Seed += r.relayRestarts[i] << 20
	r.relays[i] = emulator.NewRelay(config, r.checker)
	r.recordError(startProgram(r.relayHosts[i], r.relays[i]))
}
