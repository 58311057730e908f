package coordinator

import (
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
)

// TenantConfig holds the parsed settings of a tenant.
type TenantConfig struct {
	Config         Config
	Callers        []authz.Credential // credentials for the administration API
	Weight         float64            // share of CPU time and accept rate, relative to other tenants
	Requirements   tenancy.Requirements
	MaxConnections int
	Networks       []netip.Prefix // networks from which its proxies and servers may connect; empty: all
}

// TenantRuntime is a tenant of a Host, whether or not it runs.
type TenantRuntime struct {
	tenancy.Tenant
	// Coordinator is the tenant's coordinator; nil while it is not started, or if it failed to start.
	Coordinator *Coordinator
	// Err is the reason why the tenant is not running, or is not running with its latest settings.
	Err error

	config          TenantConfig
	measurementUser string             // user name of its measurement packets that is registered with the host
	idle            bool               // no client is connected, so its turns are less frequent
	charged         controlplane.Stats // totals at the latest charge
	panics          panicHistory
}

// startable reports whether the tenant is stopped without an error.
func (t *TenantRuntime) startable() bool { return t.Coordinator == nil && t.Err == nil }

// siteForGroup sets the number of hosts that share the tenant, and the position of this host among them.
func siteForGroup(site *controlplane.Site, group *GroupConfig) {
	site.DataPlane.Coordinators = len(group.Members)
	site.DataPlane.Self = 0
	for id := range group.Members {
		if id < group.Self {
			site.DataPlane.Self++
		}
	}
}

// tenantIO is the env.IO of a tenant's coordinator. It sends on the tenant's connections, and maps timers to turns of the host's
// scheduler.
type tenantIO struct {
	host   *Host
	tenant tenancy.Name
}

// Dial implements env.IO. A tenant's coordinator dials no connections.
func (t *tenantIO) Dial(netip.AddrPort) env.Conn { return 0 }

// Send implements env.IO.
func (t *tenantIO) Send(conn env.Conn, data []byte) { t.host.io.Send(conn, data) }

// Close implements env.IO.
func (t *tenantIO) Close(conn env.Conn) {
	t.host.Router.Closed(tenancy.Conn(conn))
	t.host.io.Close(conn)
}

// Datagram implements env.IO. A tenant's coordinator sends no datagrams.
func (t *tenantIO) Datagram(netip.AddrPort, []byte) {}

// SetTimer implements env.IO.
func (t *tenantIO) SetTimer(at float64, _ int) { t.host.Scheduler.ScheduleAt(t.tenant, at) }

// Drain orders a drain of a tenant's server or the end of the drain. done is called once, with the
// meaning that it has in Coordinator.RequestDrain.
func (h *Host) Drain(now float64, name tenancy.Name, server balancer.Server, draining bool, done func(ok bool)) {
	tenant := h.running(name)
	if tenant == nil {
		done(false)
		return
	}
	called := false
	doneOnce := func(ok bool) {
		if !called {
			called = true
			done(ok)
		}
	}
	if !h.call(now, tenant, func() { tenant.Coordinator.RequestDrain(now, server, draining, doneOnce) }) {
		doneOnce(false)
	}
	tenant.idle = false
}
