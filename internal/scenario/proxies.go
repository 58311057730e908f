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
	proxyPort     = 8088 // of real proxies
	clientNetwork = 40   // third number of the addresses that clients dial from
)

// memoryStore keeps a proxy's table while it is down.
type memoryStore struct{ table []byte }

// Save of proxy.Store.
func (s *memoryStore) Save(b []byte) error { s.table = slices.Clone(b); return nil }

// Load of proxy.Store.
func (s *memoryStore) Load() ([]byte, error) { return s.table, nil }

// realProxy is a proxy of our own with its clients, in a stand-in relay's place.
type realProxy struct {
	proxy    *proxy.Proxy
	host     host
	clients  *emulator.ClientGenerator
	store    memoryStore
	restarts uint64
}

func (p *run) proxyConfig(i int) proxy.Config {
	c := p.scenario.Coordinator
	site := &c.Site
	x := p.proxies[i]
	seed := p.options.Seed<<16 + uint64(i+1) + x.restarts<<40
	seen := &emulator.ProxyObserver{Checker: p.checker, UID: site.Proxies[i].UID}
	s := proxy.Config{UID: seen.UID, Limits: proxy.DefaultLimits, CollectorPort: c.Measurements.Port(), User: c.User, Key: c.Key,
		ReportInterval: site.Reporting.Period, Seed: seed, Store: &x.store, Observer: seen,
		Forwarding: forwarding.Config{ClassNames: site.ClassNames, Classes: site.Classes, RetryPolicies: site.RetryPolicies, AdmissionMode: site.DataPlane.Admission,
			Limits: admission.DefaultLimits, Outliers: outlier.Config{ConsecutiveFailures: site.DataPlane.EjectAfterFailures, BaseEjection: outlier.DefaultConfig.BaseEjection, MaxEjection: outlier.DefaultConfig.MaxEjection},
			Budget: retry.DefaultBudget, Locations: map[balancer.Server]retry.Location{},
			NewTable: func(class int) picker.Table { return picker.NewSmoothWeighted(seed + uint64(class)) }}}
	for k, name := range site.ClassNames {
		at := slices.IndexFunc(p.classes, func(q emulator.Class) bool { return q.Name == name })
		seen.Classes = append(seen.Classes, at)
		s.Routes = append(s.Routes, proxy.Route{Prefix: "/" + name, Class: balancer.Class(k)})
	}
	for _, v := range site.Servers {
		s.Forwarding.Locations[v.Server] = retry.Location{Server: v.Server, Zone: v.Zone, FailureDomain: v.FailureDomain}
	}
	at := c.SASP
	polls := p.options.Front == "http" || p.options.Front == "both" && i%2 == 1
	s.SASP = !polls
	if polls {
		at = c.HTTP
	}
	for k := range p.coordinators {
		s.Coordinators = append(s.Coordinators, p.coordinatorAddr(k, at))
	}
	seen.Started(relayAddr(i).Addr())
	return s
}

// addProxy puts a proxy of our own, and its clients, in a stand-in relay's place.
func (p *run) addProxy(i int, rate float64, standing []netip.AddrPort) {
	x := &realProxy{}
	p.proxies = append(p.proxies, x)
	s := p.proxyConfig(i)
	for _, a := range standing {
		s.DefaultServers = append(s.DefaultServers, balancer.Server(a.String()))
	}
	zone := int(p.scenario.Coordinator.Site.Proxies[i].Zone)
	at := netip.AddrPortFrom(relayAddr(i).Addr(), proxyPort)
	x.proxy = proxy.New(p.network.Now(), s)
	x.host = p.addHost(at, zone, x.proxy, false)
	x.clients = emulator.NewClientGenerator(emulator.ClientConfig{Proxy: at, Classes: p.classes, Rate: rate, Seed: uint64(i+1) + p.options.Seed<<16}, p.checker)
	p.addHost(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, clientNetwork + byte(i/250), byte(1 + i%250)}), 0), zone, x.clients, false)
}

// injectProxyFault begins what goes wrong with real proxies, and sees to its end. It reports whether the kind is of theirs.
func (p *run) injectProxyFault(t settings.Fault, later func(func())) bool {
	if len(p.proxies) == 0 {
		return false
	}
	switch t.Kind {
	case "balancer_stall":
		p.proxies[t.Relay].host.Freeze(t.For)
	case "balancer_deaf": // ours applies what it reads
	case "balancer_restart":
		x := p.proxies[t.Relay]
		x.host.Kill()
		p.checker.RelayDown(p.scenario.Coordinator.Site.Proxies[t.Relay].UID)
		later(func() {
			x.restarts++
			x.proxy = proxy.New(p.network.Now(), p.proxyConfig(t.Relay))
			p.fail(restart(x.host, x.proxy))
		})
	case "reconnect":
		p.proxies[t.Relay].proxy.Reconnect(p.network.Now())
	case "report_late", "reports_stop":
		for _, x := range p.proxies {
			x.host.DisturbDatagrams(t.Kind == "reports_stop", t.Factor)
			later(func() { x.host.DisturbDatagrams(false, 0) })
		}
	case "demand":
		for _, x := range p.proxies {
			x.clients.LoadFactor = t.Factor
			later(func() { x.clients.LoadFactor = 1 })
		}
	default:
		return false
	}
	return true
}
