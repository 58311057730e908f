package settings

import (
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
)

const (
	// maxUIDBytes is the maximum length in bytes of a proxy's UID on the wire.
	maxUIDBytes = 255
	// minTraces is the minimum of Limits.MaxTraces, the number of message traces that are stored.
	minTraces = 64
	// tracesPerProxy is the number of message traces that are stored for each proxy.
	tracesPerProxy = 2
)

// ParseTenant parses the settings of a tenant of a host. The settings contain the UIDs of proxies without the
// tenant's name. In the tenant's coordinator and on the wire, the tenant's name is the prefix of each UID, so
// that a UID identifies its tenant.
func ParseTenant(name tenancy.Name, text []byte, h *Host) (coordinator.TenantConfig, error) {
	return readDocument(string(name), text, "tenant", func(root *node) (coordinator.TenantConfig, error) {
		return readTenant(name, root, h)
	})
}

func readTenant(name tenancy.Name, root *node, host *Host) (coordinator.TenantConfig, error) {
	dec := newDecoder()
	config := dec.readSite(root, nil)
	config.Callers = dec.readCallers(root)
	for i, caller := range config.Callers {
		if caller.Role == authz.RoleHost {
			dec.addError(root.childrenNamed("caller")[i], "role: callers with the role host must be in the host's settings")
		}
	}
	dec.prefixUIDs(root, name, config)
	dec.checkCredentials(root.firstChild("reports"), config.User, config.Key)
	dec.restrictProtocols(root, config, host)
	dec.checkClassesServed(root, config)
	size := tenantSize(root.firstChild("limits"), config)
	config.Measurements = host.Measurements
	networks := dec.readNetworks(root)
	tenant := coordinator.TenantConfig{
		Networks:       networks,
		Config:         config.Config,
		Callers:        config.Callers,
		Weight:         root.number("weight"),
		Requirements:   tenancy.RequirementsFor(size),
		MaxConnections: config.Limits.MaxConnections,
	}
	return tenant, dec.err()
}

// prefixUIDs adds the tenant's name as a prefix to the UIDs of its proxies and its fleet.
func (d *decoder) prefixUIDs(root *node, name tenancy.Name, config *Coordinator) {
	config.Site.UIDPrefix = name.UID("")
	for i := range config.Site.Proxies {
		proxy := &config.Site.Proxies[i]
		uid := proxy.UID
		proxy.UID = name.UID(uid)
		if len(proxy.UID) > maxUIDBytes {
			d.addError(root.firstChild("relays"), "relay %q: the UID with the tenant's name is longer than %d bytes",
				uid, maxUIDBytes)
		}
	}
	config.Policy.FleetUID = name.UID(config.Policy.FleetUID)
}

// restrictProtocols restricts SASP to servers if proxies need admission settings, which SASP cannot express.
func (d *decoder) restrictProtocols(root *node, config *Coordinator, host *Host) {
	if config.Site.DataPlane.Admission == balancer.AdmissionIgnored || !host.SASP.IsValid() {
		return
	}
	config.Policy.MembersOnly = true
	if !host.HTTP.IsValid() {
		d.addError(root.firstChild("fleet"),
			"levels: SASP cannot express them, and this host serves no other protocol to proxies")
	}
}

// checkClassesServed checks that each class has a listed server, unless unlisted servers may register.
func (d *decoder) checkClassesServed(root *node, config *Coordinator) {
	if config.Policy.AllowUnlisted || config.Policy.BalancersRegister {
		return
	}
	for i, class := range config.Site.Classes {
		if !isServed(class, &config.Site) {
			d.addError(root.childrenNamed("class")[i], "no server is listed in a zone where the class is allowed")
		}
	}
}

// isServed reports whether a server is listed in a zone where the class is allowed.
func isServed(class balancer.RequestClass, site *controlplane.Site) bool {
	for _, server := range site.Servers {
		if len(class.AllowedZones) == 0 || slices.Contains(class.AllowedZones, server.Zone) {
			return true
		}
	}
	return false
}

// tenantSize sets the limits that are missing in the settings to those of the tenant's default size. It returns
// the size from which the tenant's requirements are calculated.
func tenantSize(limits *node, config *Coordinator) tenancy.Size {
	site := &config.Site
	size := tenancy.DefaultSize(tenancy.Size{
		Classes:          len(site.Classes),
		Servers:          len(site.Servers),
		Proxies:          max(len(site.Proxies), site.DataPlane.Proxies),
		EntriesPerSecond: site.Channel.EntriesPerSecond,
		ReportingPeriod:  site.Reporting.Period,
	})
	setDefault := func(name string, limit *int, value int) {
		if limits == nil || limits.attrs[name] == "" {
			*limit = value
		}
	}
	setDefault("relays", &site.Limits.MaxProxies, size.Proxies)
	setDefault("servers", &site.Limits.MaxServers, size.Servers)
	setDefault("series", &site.Limits.MaxSeries, size.Series)
	setDefault("connections", &config.Limits.MaxConnections, size.Connections)
	setDefault("buffered-bytes", &config.Limits.MaxBuffered, size.BufferedBytes)
	site.Limits.MaxTraces = max(site.Limits.MaxProxies*tracesPerProxy, minTraces)
	config.LongPollHTTPLimits.MaxConnections = config.Limits.MaxConnections
	config.LongPollHTTPLimits.MaxBuffered = config.Limits.MaxBuffered
	config.LongPollLimits.MaxParked = config.Limits.MaxConnections
	size.Proxies = site.Limits.MaxProxies
	size.Servers = site.Limits.MaxServers
	size.Series = site.Limits.MaxSeries
	size.Connections = config.Limits.MaxConnections
	size.BufferedBytes = config.Limits.MaxBuffered
	return size
}

// readNetworks reads the networks from which the tenant's proxies and servers may connect.
func (d *decoder) readNetworks(root *node) []netip.Prefix {
	var networks []netip.Prefix
	for _, n := range root.childrenNamed("from") {
		network, err := netip.ParsePrefix(n.attrs["network"])
		if err != nil || network.Masked() != network {
			d.addError(n, "network %q is invalid or has bits set beyond its prefix length", n.attrs["network"])
		}
		networks = append(networks, network)
	}
	return networks
}
