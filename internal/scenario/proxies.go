package scenario

import (
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/admission"
	"snowquay/internal/core/forwarding"
	"snowquay/internal/core/outlier"
	"snowquay/internal/core/picker"
	"snowquay/internal/core/retry"
	"snowquay/internal/emulator"
	"snowquay/internal/proxy"
	"snowquay/internal/settings"
)

const (
	proxyPort     = 8088
	clientNetwork = 40 // third octet of the first addresses that clients dial from
)

// memoryStore is a proxy.Store that holds a proxy's table in memory while the proxy is down.
type memoryStore struct{ table []byte }

// Save implements proxy.Store.
func (s *memoryStore) Save(table []byte) error {
	s.table = slices.Clone(table)
	return nil
}

// Load implements proxy.Store.
func (s *memoryStore) Load() ([]byte, error) { return s.table, nil }

// realProxy is a real proxy with its HTTP clients. It replaces an emulated relay.
type realProxy struct {
	proxy    *proxy.Proxy
	host     host
	clients  *emulator.ClientGenerator
	store    memoryStore
	restarts uint64
}

func (r *run) proxyConfig(i int) proxy.Config {
	coordinator := r.scenario.Coordinator
	site := &coordinator.Site
	seed := r.options.Seed<<16 + uint64(i+1) + r.proxies[i].restarts<<40
	observer := &emulator.ProxyObserver{Checker: r.checker, UID: site.Proxies[i].UID}
	config := proxy.Config{
		UID:            observer.UID,
		Limits:         proxy.DefaultLimits,
		CollectorPort:  coordinator.Measurements.Port(),
		User:           coordinator.User,
		Key:            coordinator.Key,
		ReportInterval: site.Reporting.Period,
		Seed:           seed,
		Store:          &r.proxies[i].store,
		Observer:       observer,
		Forwarding:     r.forwardingConfig(seed),
		SASP:           !r.options.usesLongPoll(i),
	}
	for class, name := range site.ClassNames {
		emulated := slices.IndexFunc(r.classes, func(c emulator.Class) bool { return c.Name == name })
		observer.Classes = append(observer.Classes, emulated)
		config.Routes = append(config.Routes, proxy.Route{Prefix: "/" + name, Class: balancer.Class(class)})
	}
	first := coordinator.SASP
	if !config.SASP {
		first = coordinator.HTTP
	}
	config.Coordinators = r.coordinatorAddrs(first)
	observer.Started(relayAddr(i).Addr())
	return config
}

func (r *run) forwardingConfig(seed uint64) forwarding.Config {
	site := &r.scenario.Coordinator.Site
	config := forwarding.Config{
		ClassNames:    site.ClassNames,
		Classes:       site.Classes,
		RetryPolicies: site.RetryPolicies,
		AdmissionMode: site.DataPlane.Admission,
		Limits:        admission.DefaultLimits,
		Outliers: outlier.Config{
			ConsecutiveFailures: site.DataPlane.EjectAfterFailures,
			BaseEjection:        outlier.DefaultConfig.BaseEjection,
			MaxEjection:         outlier.DefaultConfig.MaxEjection,
		},
		Budget:    retry.DefaultBudget,
		Locations: map[balancer.Server]retry.Location{},
		NewTable:  func(class int) picker.Table { return picker.NewEarliestDeadlineFirst(seed + uint64(class)) },
	}
	for _, server := range site.Servers {
		config.Locations[server.Server] = retry.Location{Server: server.Server, Zone: server.Zone, FailureDomain: server.FailureDomain}
	}
	return config
}

// addProxy adds and starts a real proxy and its clients.
func (r *run) addProxy(i int, rate float64, defaultTable []netip.AddrPort) {
	added := &realProxy{}
	r.proxies = append(r.proxies, added)
	config := r.proxyConfig(i)
	for _, server := range defaultTable {
		config.DefaultServers = append(config.DefaultServers, balancer.Server(server.String()))
	}
	zone := int(r.scenario.Coordinator.Site.Proxies[i].Zone)
	address := netip.AddrPortFrom(relayAddr(i).Addr(), proxyPort)
	added.proxy = proxy.New(r.network.Now(), config)
	added.host = r.addHost(address, zone, added.proxy, false)
	added.clients = emulator.NewClientGenerator(
		emulator.ClientConfig{Proxy: address, Classes: r.classes, Rate: rate, Seed: r.relaySeed(i)}, r.checker)
	r.addHost(networkAddr(clientNetwork, i), zone, added.clients, false)
}

// injectProxyFault begins a fault of real proxies and schedules its end. It returns false if the scenario has no real
// proxies or the fault does not concern them.
func (r *run) injectProxyFault(fault settings.Fault) bool {
	if len(r.proxies) == 0 {
		return false
	}
	switch fault.Kind {
	case "balancer_stall":
		r.proxies[fault.Proxy].host.Freeze(fault.Duration)
	case "balancer_deaf": // not possible: a real proxy applies all updates that it receives
	case "balancer_restart":
		r.killProxy(fault)
	case "reconnect":
		r.proxies[fault.Proxy].proxy.Reconnect(r.network.Now())
	case "report_late", "reports_stop":
		for _, disturbed := range r.proxies {
			disturbed.host.DisturbDatagrams(fault.Kind == "reports_stop", fault.Factor)
			r.after(fault.Duration, func() { disturbed.host.DisturbDatagrams(false, 0) })
		}
	case "demand":
		for _, loaded := range r.proxies {
			r.setDuringFault(fault, &loaded.clients.LoadFactor, 1)
		}
	default:
		return false
	}
	return true
}

func (r *run) killProxy(fault settings.Fault) {
	killed := r.proxies[fault.Proxy]
	killed.host.Kill()
	r.checker.RelayDown(r.scenario.Coordinator.Site.Proxies[fault.Proxy].UID)
	r.after(fault.Duration, func() {
		killed.restarts++
		killed.proxy = proxy.New(r.network.Now(), r.proxyConfig(fault.Proxy))
		r.recordError(startProgram(killed.host, killed.proxy))
	})
}
