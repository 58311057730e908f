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
	clientPort = 8088 // of real proxies
	crowdNet   = 40   // third number of the addresses that clients dial from
)

// shelf keeps a proxy's table while it is down.
type shelf struct{ b []byte }

// Save of proxy.Store.
func (s *shelf) Save(b []byte) error { s.b = slices.Clone(b); return nil }

// Load of proxy.Store.
func (s *shelf) Load() ([]byte, error) { return s.b, nil }

// ownProxy is a proxy of our own with its clients, in a stand-in relay's place.
type ownProxy struct {
	proxy *proxy.Proxy
	host  host
	crowd *emulator.ClientGenerator
	shelf shelf
	lives uint64
}

func (p *play) proxySetup(i int) proxy.Config {
	c := p.day.Coordinator
	site := &c.Site
	x := p.reals[i]
	seed := p.opts.Seed<<16 + uint64(i+1) + x.lives<<40
	seen := &emulator.ProxyObserver{Checker: p.ref, UID: site.Proxies[i].UID}
	s := proxy.Config{UID: seen.UID, Limits: proxy.DefaultLimits, CollectorPort: c.Measurements.Port(), User: c.User, Key: c.Key,
		ReportInterval: site.Reporting.Period, Seed: seed, Store: &x.shelf, Observer: seen,
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
	polls := p.opts.Front == "http" || p.opts.Front == "both" && i%2 == 1
	s.SASP = !polls
	if polls {
		at = c.HTTP
	}
	for k := range p.coordinators {
		s.Coordinators = append(s.Coordinators, p.at(k, at))
	}
	seen.Started(relayAddr(i).Addr())
	return s
}

// addProxy puts a proxy of our own, and its clients, in a stand-in relay's place.
func (p *play) addProxy(i int, rate float64, standing []netip.AddrPort) {
	x := &ownProxy{}
	p.reals = append(p.reals, x)
	s := p.proxySetup(i)
	for _, a := range standing {
		s.DefaultServers = append(s.DefaultServers, balancer.Server(a.String()))
	}
	zone := int(p.day.Coordinator.Site.Proxies[i].Zone)
	at := netip.AddrPortFrom(relayAddr(i).Addr(), clientPort)
	x.proxy = proxy.New(p.stage.Now(), s)
	x.host = p.add(at, zone, x.proxy, false)
	x.crowd = emulator.NewClientGenerator(emulator.ClientConfig{Proxy: at, Classes: p.classes, Rate: rate, Seed: uint64(i+1) + p.opts.Seed<<16}, p.ref)
	p.add(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, crowdNet + byte(i/250), byte(1 + i%250)}), 0), zone, x.crowd, false)
}

// proxyTrouble begins what goes wrong with real proxies, and sees to its end. It reports whether the kind is of theirs.
func (p *play) proxyTrouble(t settings.Fault, later func(func())) bool {
	if len(p.reals) == 0 {
		return false
	}
	switch t.Kind {
	case "balancer_stall":
		p.reals[t.Relay].host.Freeze(t.For)
	case "balancer_deaf": // ours applies what it reads
	case "balancer_restart":
		x := p.reals[t.Relay]
		x.host.Kill()
		p.ref.RelayDown(p.day.Coordinator.Site.Proxies[t.Relay].UID)
		later(func() {
			x.lives++
			x.proxy = proxy.New(p.stage.Now(), p.proxySetup(t.Relay))
			p.fail(restart(x.host, x.proxy))
		})
	case "reconnect":
		p.reals[t.Relay].proxy.Reconnect(p.stage.Now())
	case "report_late", "reports_stop":
		for _, x := range p.reals {
			x.host.DisturbDatagrams(t.Kind == "reports_stop", t.Factor)
			later(func() { x.host.DisturbDatagrams(false, 0) })
		}
	case "demand":
		for _, x := range p.reals {
			x.crowd.LoadFactor = t.Factor
			later(func() { x.crowd.LoadFactor = 1 })
		}
	default:
		return false
	}
	return true
}
