package coordinator

import (
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
)

// TenantConfig is the parsed settings of a tenant.
type TenantConfig struct {
	Config         Config
	Callers        []authz.Credential // of the administration API
	Weight         float64            // relative to other tenants
	Requirements   tenancy.Requirements
	MaxConnections int
	Networks       []netip.Prefix // from which its proxies and servers may connect; none: from any
}

// TenantRuntime is a tenant of a Host, whether or not it runs.
type TenantRuntime struct {
	tenancy.Tenant
	// Coordinator is the tenant's coordinator; nil while it is not started, or if it failed to start.
	Coordinator *Coordinator
	// Err is why the tenant does not run, or does not run by its latest settings.
	Err error

	config          TenantConfig
	measurementUser string             // under which the host knows it
	idle            bool               // nobody is connected: its turns are rarer
	charged         controlplane.Stats // totals up to the latest charge
	panics          panicHistory
}

// startable reports whether the tenant is to be started.
func (t *TenantRuntime) startable() bool { return t.Coordinator == nil && t.Err == nil }

// siteForGroup sets how many hosts share the tenant, and the position of this one.
func siteForGroup(site *controlplane.Site, group *GroupConfig) {
	site.DataPlane.Coordinators = len(group.Members)
	site.DataPlane.Self = 0
	for id := range group.Members {
		if id < group.Self {
			site.DataPlane.Self++
		}
	}
}

// tenantIO is the env.IO of a tenant's coordinator: its own connections, and timers that the scheduler runs when it is the tenant's
// turn.
type tenantIO struct {
	host   *Host
	tenant tenancy.Name
}

// Dial implements env.IO. A tenant's coordinator dials nobody.
func (t *tenantIO) Dial(netip.AddrPort) env.Conn { return 0 }

// Send implements env.IO.
func (t *tenantIO) Send(conn env.Conn, data []byte) { t.host.io.Send(conn, data) }

// Close implements env.IO.
func (t *tenantIO) Close(conn env.Conn) {
	t.host.Router.Closed(tenancy.Conn(conn))
	t.host.io.Close(conn)
}

// Datagram implements env.IO. A tenant's coordinator sends none.
func (t *tenantIO) Datagram(netip.AddrPort, []byte) {}

// SetTimer implements env.IO.
func (t *tenantIO) SetTimer(at float64, _ int) { t.host.Scheduler.ScheduleAt(t.tenant, at) }

// Drain orders a drain of a tenant's server, or its end. done is called once, when it is committed and durable, or refused.
func (h *Host) Drain(now float64, name tenancy.Name, server balancer.Server, draining bool, done func(ok bool)) {
	tenant := h.running(name)
	if tenant == nil {
		done(false)
		return
	}
	answered := false
	answer := func(ok bool) {
		if !answered {
			answered = true
			done(ok)
		}
	}
	if !h.call(now, tenant, func() { tenant.Coordinator.RequestDrain(now, server, draining, answer) }) {
		answer(false)
	}
	tenant.idle = false
}
