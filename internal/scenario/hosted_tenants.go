package scenario

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"

	"snowquay/internal/core/tenancy"
	"snowquay/internal/emulator"
	"snowquay/internal/settings"
	"snowquay/internal/wire/sasp"
)

const (
	tenantPort           = 18080
	firstTenantOctet     = 16 // second octet of the addresses of the first tenant
	relayNetworkBits     = 22 // prefix length of the network of a tenant's relays
	tenantMeanWork       = 0.1
	tenantReportInterval = 0.5 // seconds
	maxDefaultTableSize  = 3   // maximum number of entries in a default table
)

// tenantShares are the shares of the request classes in the requests of a tenant.
var tenantShares = []float64{0.79, 0.21}

// tenantZones are the names of the zones of each tenant. Each zone has half of its servers and half of its relays.
var tenantZones = []string{"north", "south"}

// hostedTenant is a tenant of the scenario with its emulated servers and relays.
type hostedTenant struct {
	number    int
	name      tenancy.Name
	checker   *emulator.InvariantChecker
	servers   []*emulator.Server
	relays    []*emulator.Relay
	classes   []emulator.Class
	drainedAt float64 // time at which the drain of a server was confirmed; 0: none was
}

func tenantName(tenant int) tenancy.Name { return tenancy.Name(fmt.Sprintf("t%03d", tenant)) }

func tenantServer(tenant, i int) netip.AddrPort {
	octets := [4]byte{127, byte(firstTenantOctet + tenant/64), byte(tenant % 64 * 4), byte(1 + i)}
	return netip.AddrPortFrom(netip.AddrFrom4(octets), tenantPort)
}

func tenantRelay(tenant, i int) netip.Addr {
	third := byte(tenant%64*4 + 1 + i/hostsPerNetwork)
	return netip.AddrFrom4([4]byte{127, byte(firstTenantOctet + tenant/64), third, byte(1 + i%hostsPerNetwork)})
}

// halfOf returns 0 if index i is in the first half of count items, and 1 if it is in the second.
func halfOf(i, count int) int { return i * 2 / count }

// TenantSettings returns the settings file of a tenant. Each tenant has its own servers and relays in two zones.
func (s *HostedScenario) TenantSettings(tenant int) []byte {
	name := tenantName(tenant)
	var text strings.Builder
	fmt.Fprintf(&text, `<tenant seed="%d">
  <caller name="staff" key="the-staff-key-of-%s" role="staff"/>
  <from network="%s"/>
  <zone name="north"/>
  <zone name="south"/>
  <class name="search" benefit="3" late-benefit="0.2" goal-time="1.5" client-timeout="5" effect="free" repeats="failure"/>
  <class name="introduce" benefit="9" goal-time="1.5" client-timeout="5" effect="guarded" same="pod" window="5" repeats="failure" writes="true"/>
  <fleet relays="%d" standing="%d" eject-after="8" least-connections="200"/>
  <channel lines-per-second="%d" message-lines="3" most-waiting="500" mean-way="0.02" longest-way="0.3" most-messages="16" message-window="10"/>
  <rules drain-within="3" bare-within="2.1" cold-share="0.1" cold-for="18" fall-multiple="2" fall-within="1.5"/>
  <reports period="0.5" user="%s" key="%s"/>
  <servers uid="fleet" register="listed" hold="2.5" agents="any">
`, tenant+1, name, netip.PrefixFrom(tenantRelay(tenant, 0), relayNetworkBits).Masked(), s.Relays, min(s.Servers, maxDefaultTableSize),
		max(60, s.Relays*s.Servers*2/4), name, measurementsKey(tenant))
	for i := range s.Servers {
		half := halfOf(i, s.Servers)
		fmt.Fprintf(&text, `    <server address="%s" zone="%s" pod="%d"/>`+"\n", tenantServer(tenant, i), tenantZones[half], half)
	}
	text.WriteString("  </servers>\n  <relays>\n")
	for i := range s.Relays {
		zone := tenantZones[halfOf(i, s.Relays)]
		fmt.Fprintf(&text, `    <relay uid="relay-%d" zone="%s" usual="%g"/>`+"\n", i, zone, s.Rate/float64(s.Relays))
	}
	text.WriteString("  </relays>\n</tenant>\n")
	return []byte(text.String())
}

// createTenant creates a tenant on the hosts. Its servers and relays are started by startTenant.
func (r *hostedRun) createTenant(number int) {
	text := r.scenario.TenantSettings(number)
	tenant := &hostedTenant{number: number, name: tenantName(number)}
	config, err := settings.ParseTenant(tenant.name, text, r.settings)
	if err != nil {
		r.recordError(err)
		return
	}
	site := &config.Config.Site
	for i, name := range site.ClassNames {
		tenant.classes = append(tenant.classes, emulator.Class{
			Name:        name,
			Request:     site.Classes[i],
			Share:       tenantShares[i],
			MeanWork:    tenantMeanWork,
			RetryPolicy: site.RetryPolicies[i],
		})
	}
	slack := virtualSlackSeconds
	if r.scenario.Sockets {
		slack = socketSlackSeconds
	}
	r.rules = emulator.Rules{
		Guarantees:       site.Guarantees,
		Channel:          site.Channel,
		DisconnectHold:   site.Limits.ServerHold + maxDetectionSeconds,
		ObservationSlack: slack,
	}
	r.rules.Channel.EntriesPerSecond *= float64(len(r.hosts)) // each host has its own channel
	tenant.checker = emulator.NewInvariantChecker(r.rules, tenant.classes)
	r.tenants = append(r.tenants, tenant)
	r.changeTenant(tenancy.Command{Kind: tenancy.Create, Name: tenant.name, Settings: text})
}

// startTenant starts the emulated servers and relays of a tenant.
func (r *hostedRun) startTenant(tenant *hostedTenant) {
	random := rand.New(rand.NewPCG(r.scenario.Seed, uint64(tenant.number)))
	domains := []*emulator.FailureDomain{emulator.NewFailureDomain(), emulator.NewFailureDomain()}
	for i := range r.scenario.Servers {
		half := halfOf(i, r.scenario.Servers)
		server := emulator.NewServer(r.tenantServerConfig(tenant, i, domains[half], random), tenant.checker)
		tenant.servers = append(tenant.servers, server)
		r.addHost(server.Addr, half, server, false)
	}
	for i := range r.scenario.Relays {
		config := r.tenantRelayConfig(tenant, i, random)
		relay := emulator.NewRelay(config, tenant.checker)
		tenant.relays = append(tenant.relays, relay)
		r.addHost(netip.AddrPortFrom(config.Host, 0), halfOf(i, r.scenario.Relays), relay, false)
	}
}

func (r *hostedRun) tenantServerConfig(tenant *hostedTenant, i int, domain *emulator.FailureDomain, random *rand.Rand) emulator.ServerConfig {
	return emulator.ServerConfig{
		Addr:           tenantServer(tenant.number, i),
		FailureDomain:  domain,
		Cores:          4,
		Speed:          0.8 + 0.4*random.Float64(),
		QueueCapacity:  30,
		WarmupFraction: 0.1,
		WarmupDuration: 18,
		OverloadFactor: 2,
		OverloadWindow: 1.5,
		StartsWarm:     true,
		Coordinators:   r.hostAddrs(hostSASPPort),
		CollectorPort:  hostMeasurementsPort,
		User:           string(tenant.name),
		Key:            measurementsKey(tenant.number),
		FleetUID:       tenant.name.UID("fleet"),
		Classes:        tenant.classes,
		Seed:           random.Uint64(),
	}
}

// tenantRelayConfig returns the configuration of a relay of a tenant. Every second relay uses the long-poll API.
func (r *hostedRun) tenantRelayConfig(tenant *hostedTenant, i int, random *rand.Rand) emulator.RelayConfig {
	usesLongPoll := i%2 == 1
	port := uint16(hostSASPPort)
	if usesLongPoll {
		port = hostHTTPPort
	}
	config := emulator.RelayConfig{
		UID:               tenant.name.UID(fmt.Sprint("relay-", i)),
		Host:              tenantRelay(tenant.number, i),
		UsesLongPoll:      usesLongPoll,
		Coordinator:       netip.AddrPortFrom(firstHostAddr, port),
		OtherCoordinators: r.hostAddrs(port)[1:],
		Collector:         netip.AddrPortFrom(firstHostAddr, hostMeasurementsPort),
		User:              string(tenant.name),
		Key:               measurementsKey(tenant.number),
		Flags:             sasp.Push | sasp.Trust | sasp.NoChange,
		Classes:           tenant.classes,
		Rate:              r.scenario.Rate / float64(r.scenario.Relays),
		ReportInterval:    tenantReportInterval,
		EjectAfter:        8,
		EjectDuration:     relayEjectPeriod,
		KeyCount:          200,
		Seed:              random.Uint64() >> 16,
	}
	for k := range min(r.scenario.Servers, maxDefaultTableSize) {
		config.DefaultTable = append(config.DefaultTable, tenantServer(tenant.number, k))
	}
	return config
}
