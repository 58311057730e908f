package settings

import (
	"errors"
	"net/netip"
	"os"
	"slices"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/admission"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/outlier"
	"snowquay/internal/core/picker"
	"snowquay/internal/core/retry"
	"snowquay/internal/proxy"
)

// Proxy is what a proxy's settings file says, ready to act.
type Proxy struct {
	proxy.Config
	Listen  netip.AddrPort
	Metrics netip.AddrPort // not valid: none
	Path    string         // of the snapshot; empty: none
}

// LoadProxy reads a file.
func LoadProxy(path string) (*Proxy, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseProxy(path, text)
}

// ParseProxy reads a file's text; name is for its errors.
func ParseProxy(name string, text []byte) (*Proxy, error) {
	root, err := load(text, "proxy")
	if err != nil {
		return nil, named(name, err)
	}
	p, err := readProxy(root)
	return p, named(name, err)
}

func readProxy(root *node) (*Proxy, error) {
	r, p, site := &reader{zones: map[string]balancer.Zone{}}, &Proxy{}, &controlplane.Site{}
	for i, z := range root.all("zone") {
		if _, twice := r.zones[z.attrs["name"]]; twice {
			r.wrong(z, "there are two zones named %q", z.attrs["name"])
		}
		r.zones[z.attrs["name"]] = balancer.Zone(i)
	}
	for _, n := range root.all("class") {
		r.class(n, site)
	}
	l := root.one("listen")
	p.UID, p.Listen, p.Metrics, p.Path = root.attrs["uid"], r.endpoint(l, "clients"), r.endpoint(l, "metrics"), l.attrs["store"]
	p.Seed = uint64(root.int("seed"))
	f := &p.Forwarding
	f.ClassNames, f.Classes, f.RetryPolicies = site.ClassNames, site.Classes, site.RetryPolicies
	f.AdmissionMode, f.Limits, f.Outliers, f.Budget = levelKinds[root.attrs["levels"]], admission.DefaultLimits, outlier.DefaultConfig, retry.DefaultBudget
	seed := p.Seed
	f.NewTable = func(class int) picker.Table {
		if root.attrs["pick"] == "random" {
			return picker.NewWeightedRandom(seed + uint64(class))
		}
		return picker.NewEarliestDeadlineFirst(seed + uint64(class))
	}
	for _, n := range root.all("route") {
		c := slices.Index(f.ClassNames, n.attrs["class"])
		if c < 0 {
			r.wrong(n, "no class is named %q", n.attrs["class"])
		}
		if !strings.HasPrefix(n.attrs["path"], "/") {
			r.wrong(n, "path %q does not start with /", n.attrs["path"])
		}
		if slices.ContainsFunc(p.Routes, func(x proxy.Route) bool { return x.Prefix == n.attrs["path"] }) {
			r.wrong(n, "there are two routes for %q", n.attrs["path"])
		}
		p.Routes = append(p.Routes, proxy.Route{Prefix: n.attrs["path"], Class: balancer.Class(c)})
	}
	f.Locations = map[balancer.Server]retry.Location{}
	for _, n := range root.all("server") {
		s := balancer.Server(r.endpoint(n, "address").String())
		if _, twice := f.Locations[s]; twice {
			r.wrong(n, "%s is listed already", s)
		}
		f.Locations[s] = retry.Location{Server: s, Zone: r.zone(n, "zone"), FailureDomain: balancer.FailureDomain(n.int("pod"))}
		if n.bool("standing") {
			p.DefaultServers = append(p.DefaultServers, s)
		}
	}
	if n := root.one("coordinators"); n != nil {
		for _, c := range n.all("coordinator") {
			p.Coordinators = append(p.Coordinators, r.endpoint(c, "address"))
		}
		p.SASP, p.CollectorPort, p.ReportInterval = n.attrs["speak"] == "sasp", uint16(n.int("reports")), n.number("period")
		p.User, p.Key = n.attrs["user"], n.attrs["key"]
		if (p.User == "") != (p.Key == "") {
			r.wrong(n, "user and key belong together")
		}
		if n.int("reports") > 65535 {
			r.wrong(n, "reports: no port")
		}
	}
	if len(p.DefaultServers) == 0 && len(p.Coordinators) == 0 {
		r.wrong(root, "neither coordinators nor a server with standing: there is nowhere to send to")
	}
	if n := root.one("repeats"); n != nil {
		f.Budget, f.HedgeAfter = retry.Budget{Ratio: n.number("part"), Burst: n.number("burst")}, n.number("hedge-after")
	}
	if n := root.one("avoid"); n != nil {
		f.Outliers = outlier.Config{ConsecutiveFailures: n.int("after"), BaseEjection: n.number("for"), MaxEjection: n.number("most")}
	}
	p.Limits = proxy.DefaultLimits
	if n := root.one("limits"); n != nil {
		for name, to := range map[string]*int{"clients": &p.Limits.MaxClients, "queries": &f.Limits.MaxInFlight, "by-server": &f.Limits.MaxPerServer,
			"kept": &p.Limits.MaxIdlePerServer, "head-bytes": &p.Limits.HTTP.Head, "body-bytes": &p.Limits.HTTP.Body} {
			if v := n.int(name); v > 0 {
				*to = v
			}
		}
		if v := n.number("silent-for"); v > 0 {
			p.Limits.IdleTimeout = v
		}
	}
	return p, errors.Join(r.errs...)
}
