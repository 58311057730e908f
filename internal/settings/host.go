package settings

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/fairqueue"
	"snowquay/internal/core/tenancy"
)

// Host is what the settings file of a host of many tenants says, ready to act.
type Host struct {
	coordinator.HostConfig
	Measurements netip.AddrPort
	Metrics      netip.AddrPort // not valid: none
	Admin        netip.AddrPort
	Store        string
	Callers      []authz.Credential
	GroupStore   string // file of what a host that shares its tenants must not forget
}

// LoadHost reads a file.
func LoadHost(path string) (*Host, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseHost(path, text)
}

// ParseHost reads a file's text; name is for its errors.
func ParseHost(name string, text []byte) (*Host, error) {
	root, err := load(text, "host")
	if err != nil {
		return nil, named(name, err)
	}
	h, err := host(root)
	return h, named(name, err)
}

func host(root *node) (*Host, error) {
	r, h := &reader{}, &Host{}
	l := root.one("listen")
	h.SASP, h.HTTP, h.Measurements = r.endpoint(l, "sasp"), r.endpoint(l, "http"), r.endpoint(l, "measurements")
	h.Metrics, h.Admin, h.Store = r.endpoint(l, "metrics"), r.endpoint(l, "admin"), l.attrs["store"]
	if !h.SASP.IsValid() && !h.HTTP.IsValid() {
		r.wrong(l, "neither sasp nor http: no proxy could join")
	}
	h.Capacity, h.Router, h.Scheduler = tenancy.DefaultCapacity, tenancy.DefaultRouterLimits, fairqueue.DefaultConfig
	if n := root.one("room"); n != nil {
		for name, to := range map[string]*float64{"lines-per-second": &h.Capacity.EntriesPerSecond, "connections": &h.Capacity.Connections, "work": &h.Capacity.CPU,
			"work-times": &h.Capacity.CPUOvercommit} {
			if v := n.number(name); v > 0 {
				*to = v
			}
		}
		if v := n.number("megabytes"); v > 0 {
			h.Capacity.Memory = v * (1 << 20)
		}
		if v := n.int("tenants"); v > 0 {
			h.Capacity.MaxTenants = v
		}
		h.Scheduler.Rate, h.Router.MaxTenants = h.Capacity.CPU, h.Capacity.MaxTenants
	}
	if n := root.one("entry"); n != nil {
		if v := n.int("strangers"); v > 0 {
			h.Router.Unidentified = v
		}
		if v := n.number("comes-per-second"); v > 0 {
			h.Router.AcceptRate, h.Router.AcceptBurst = v, v
		}
		if v := n.number("silent-for"); v > 0 {
			h.Router.IdentifyTimeout = v
		}
	}
	c := &Coordinator{}
	r.group(root.one("group"), c)
	h.Group, h.GroupStore = c.Group, c.GroupStore
	h.Graphite = r.graphite(root.one("graphite"))
	r.callers(root, c)
	h.Callers = c.Callers
	return h, errors.Join(r.errs...)
}

// ParseTenant reads a tenant's settings for a host. Relays and servers are named there as its staff calls them; in its coordinator, and
// on the wire, the tenant's name stands before each, so that a name tells whose it is.
func ParseTenant(of tenancy.Name, text []byte, h *Host) (coordinator.TenantConfig, error) {
	root, err := load(text, "tenant")
	if err != nil {
		return coordinator.TenantConfig{}, named(string(of), err)
	}
	m, err := tenant(of, root, h)
	return m, named(string(of), err)
}

func tenant(of tenancy.Name, root *node, h *Host) (m coordinator.TenantConfig, err error) {
	r := &reader{zones: map[string]balancer.Zone{}}
	c := r.basis(root, nil)
	r.callers(root, c)
	for i, x := range c.Callers {
		if x.Role == authz.RoleHost {
			r.wrong(root.all("caller")[i], "role: the host's callers are in the host's settings")
		}
	}
	s := &c.Site
	s.UIDPrefix = of.UID("")
	for i, x := range s.Proxies {
		if s.Proxies[i].UID = of.UID(x.UID); len(s.Proxies[i].UID) > mostUID {
			r.wrong(root.one("relays"), "relay %q: with the tenant's name it has over %d bytes", x.UID, mostUID)
		}
	}
	c.Policy.FleetUID = of.UID(c.Policy.FleetUID)
	if c.Key != "" && c.User == "" || c.Key == "" && c.User != "" {
		r.wrong(root.one("reports"), "user and key belong together")
	}
	if s.DataPlane.Admission != balancer.AdmissionIgnored && h.SASP.IsValid() {
		c.Policy.MembersOnly = true
		if !h.HTTP.IsValid() {
			r.wrong(root.one("fleet"), "levels: SASP has no word for them, and this host speaks nothing else")
		}
	}
	for i, q := range s.Classes {
		if c.Policy.AllowUnlisted || c.Policy.BalancersRegister {
			break // servers come as they like
		}
		if !served(q, s) {
			r.wrong(root.all("class")[i], "no server is listed in a zone that may take it")
		}
	}
	size := tenancy.DefaultSize(tenancy.Size{Classes: len(s.Classes), Servers: len(s.Servers), Proxies: max(len(s.Proxies), s.DataPlane.Proxies),
		EntriesPerSecond: s.Channel.EntriesPerSecond, ReportingPeriod: s.Reporting.Period})
	limits := root.one("limits")
	take := func(name string, to *int, usual int) {
		if limits == nil || limits.attrs[name] == "" {
			*to = usual
		}
	}
	take("relays", &s.Limits.MaxProxies, size.Proxies)
	take("servers", &s.Limits.MaxServers, size.Servers)
	take("series", &s.Limits.MaxSeries, size.Series)
	take("connections", &c.Limits.MaxConnections, size.Connections)
	take("buffered-bytes", &c.Limits.MaxBuffered, size.BufferedBytes)
	s.Limits.MaxTraces = max(s.Limits.MaxProxies*2, 64)
	c.LongPollHTTPLimits.MaxConnections, c.LongPollLimits.MaxParked = c.Limits.MaxConnections, c.Limits.MaxConnections
	size.Proxies, size.Servers, size.Series = s.Limits.MaxProxies, s.Limits.MaxServers, s.Limits.MaxSeries
	size.Connections, size.BufferedBytes = c.Limits.MaxConnections, c.Limits.MaxBuffered
	c.Measurements = h.Measurements
	for _, n := range root.all("from") {
		p, err := netip.ParsePrefix(n.attrs["network"])
		if err != nil || p.Masked() != p {
			r.wrong(n, "network %q is none, or has bits behind its length", n.attrs["network"])
		}
		m.Networks = append(m.Networks, p)
	}
	return coordinator.TenantConfig{Networks: m.Networks, Config: c.Config, Callers: c.Callers, Weight: root.number("weight"), Requirements: tenancy.RequirementsFor(size), MaxConnections: c.Limits.MaxConnections},
		errors.Join(r.errs...)
}

const mostUID = 255 // bytes on the wire

// served tells whether a class has a server that may take it.
func served(q balancer.RequestClass, s *controlplane.Site) bool {
	for _, v := range s.Servers {
		if len(q.AllowedZones) == 0 {
			return true
		}
		for _, z := range q.AllowedZones {
			if v.Zone == z {
				return true
			}
		}
	}
	return false
}

// masked stands for a key in settings that are shown.
const masked = "(unchanged)"

// MaskKeys makes settings that can be shown to whoever may read them: keys are left out. Merge puts them back.
func MaskKeys(text []byte) ([]byte, error) {
	return rewrite(text, func(n *node) error {
		for _, k := range n.secrets() {
			k.attrs["key"] = masked
		}
		return nil
	})
}

// secrets are the elements with keys.
func (n *node) secrets() (all []*node) {
	for _, k := range n.kids {
		if k.name == "caller" || k.name == "reports" && k.attrs["key"] != "" {
			all = append(all, k)
		}
	}
	return all
}

// MergeKeys takes the keys of a tenant's former settings where new ones have been shown without them.
func MergeKeys(text, former []byte) ([]byte, error) {
	if !bytes.Contains(text, []byte(masked)) {
		return text, nil
	}
	keys := map[string]string{}
	if old, err := parse(former); err == nil {
		for _, k := range old.secrets() {
			keys[k.name+"/"+k.attrs["name"]] = k.attrs["key"]
		}
	}
	return rewrite(text, func(n *node) error {
		for _, k := range n.secrets() {
			if k.attrs["key"] != masked {
				continue
			}
			old, ok := keys[k.name+"/"+k.attrs["name"]]
			if !ok {
				return k.wrong("key: there is none to be left unchanged")
			}
			k.attrs["key"] = old
		}
		return nil
	})
}

// rewrite changes a tenant's settings.
func rewrite(text []byte, change func(*node) error) ([]byte, error) {
	root, err := load(text, "tenant")
	if err != nil {
		return nil, err
	}
	if err := change(root); err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.WriteString(xml.Header)
	if err := root.write(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// ServerEdit is a change of one server in a tenant's settings.
type ServerEdit struct {
	Server        string  `json:"server"`
	Remove        bool    `json:"remove,omitempty"`
	Zone          string  `json:"zone,omitempty"`
	FailureDomain *int    `json:"pod,omitempty"`
	Kind          *int    `json:"kind,omitempty"`
	Weight        float64 `json:"weight,omitempty"`
	Capacity      float64 `json:"capacity,omitempty"`
	Static        *bool   `json:"standing,omitempty"`
}

// ErrInvalidEdit says that an edit makes no sense for these settings.
var ErrInvalidEdit = errors.New("the edit makes no sense")

// Apply makes a tenant's settings with one server added, changed or removed. What comes out is held against the schema when it is read.
func (e ServerEdit) Apply(text []byte) ([]byte, error) {
	a, err := netip.ParseAddrPort(e.Server)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidEdit, err)
	}
	return rewrite(text, func(root *node) error {
		n := root.one("servers")
		at := -1
		for i, k := range n.kids {
			if b, err := netip.ParseAddrPort(k.attrs["address"]); err == nil && b == a {
				at = i
			}
		}
		switch {
		case e.Remove && at < 0:
			return fmt.Errorf("%w: %s is not listed", ErrInvalidEdit, a)
		case e.Remove:
			n.kids = append(n.kids[:at], n.kids[at+1:]...)
			return nil
		case at < 0 && e.Zone == "":
			return fmt.Errorf("%w: %s is not listed, and a new server needs a zone", ErrInvalidEdit, a)
		case at < 0:
			n.kids = append(n.kids, &node{name: "server", attrs: map[string]string{"address": a.String()}})
			at = len(n.kids) - 1
		}
		set := n.kids[at].attrs
		for name, v := range map[string]*int{"pod": e.FailureDomain, "kind": e.Kind} {
			if v != nil {
				set[name] = fmt.Sprint(*v)
			}
		}
		if e.Static != nil {
			set["standing"] = fmt.Sprint(*e.Static)
		}
		if e.Zone != "" {
			set["zone"] = e.Zone
		}
		for name, v := range map[string]float64{"weight": e.Weight, "capacity": e.Capacity} {
			if v > 0 {
				set[name] = strconv.FormatFloat(v, 'f', -1, 64)
			}
		}
		return nil
	})
}

// String says how a host will act.
func (h *Host) String() string {
	var b strings.Builder
	for _, a := range h.Ports() {
		name := "SASP"
		if a == h.HTTP {
			name = "long-poll HTTP"
		}
		fmt.Fprintf(&b, "%s on %s\n", name, a)
	}
	fmt.Fprintf(&b, "administration on %s, measurements on %s, store %q\n", h.Admin, h.Measurements, h.Store)
	if g := h.Group; g != nil {
		fmt.Fprintf(&b, "number %d of a group of %d hosts; a lease of %g s, taken over %.1f s after a death\n", g.Self, len(g.Members), g.Lease.Duration,
			g.Lease.ExpiryTimeout())
	}
	fmt.Fprintf(&b, "room for %d tenants: %.0f MB, %.0f lines a second, %.0f connections, %.2f of a core promised %g times\n", h.Capacity.MaxTenants,
		h.Capacity.Memory/(1<<20), h.Capacity.EntriesPerSecond, h.Capacity.Connections, h.Capacity.CPU, h.Capacity.CPUOvercommit)
	return b.String()
}
