package coordinator

import (
	"fmt"
	"slices"

	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
)

// registerAll registers all tenants of the directory.
func (h *Host) registerAll(now float64) {
	for _, tenant := range h.Directory.All() {
		h.register(now, *tenant)
	}
}

// register adds a tenant of the directory to the host and queues it to be started.
func (h *Host) register(now float64, listed tenancy.Tenant) *TenantRuntime {
	tenant := &TenantRuntime{Tenant: listed}
	h.tenants[listed.Name] = tenant
	if h.shared != nil {
		h.shared.byIncarnation[listed.Incarnation] = tenant
	}
	config, err := h.config.ParseTenant(listed)
	tenant.config = config
	if err == nil {
		err = h.applySettings(now, tenant, false)
	}
	if err != nil {
		// The settings were valid when the change was accepted, but this version of the program may parse them differently.
		tenant.Err = err
		h.log(listed.Name, "tenant failed to start", "error", err)
		return tenant
	}
	h.startQueue = append(h.startQueue, listed.Name)
	return tenant
}

// applySettings applies the settings of a tenant that the host enforces: its callers, its measurement user, its weight and its
// connection limits. It returns an error and changes nothing if the measurement user or a caller belongs to another tenant.
func (h *Host) applySettings(now float64, tenant *TenantRuntime, ready bool) error {
	user := tenant.config.Config.User
	owner, taken := h.measurementUsers[user]
	if taken && owner != tenant.Name {
		return fmt.Errorf("the measurement user %q belongs to another tenant", user)
	}
	err := h.Credentials.Set(tenant.Name, tenant.config.Callers)
	if err != nil {
		return err
	}
	delete(h.measurementUsers, tenant.measurementUser)
	tenant.measurementUser = user
	if user != "" {
		h.measurementUsers[user] = tenant.Name
	}
	h.Scheduler.Set(now, tenant.Name, tenant.Weight)
	return h.route(now, tenant, ready)
}

// route makes the router accept a tenant's connections, or reject them with a request to retry while the tenant is not ready.
func (h *Host) route(now float64, tenant *TenantRuntime, ready bool) error {
	return h.Router.Set(now, tenant.Name, tenant.Weight, tenant.config.MaxConnections, tenant.config.Networks, ready)
}

// start creates and starts the coordinator of a registered tenant.
func (h *Host) start(now float64, tenant *TenantRuntime) {
	h.Stats.Starts++
	h.call(now, tenant, func() { h.startCoordinator(now, tenant) })
}

func (h *Host) startCoordinator(now float64, tenant *TenantRuntime) {
	program, err := New(now, h.coordinatorConfig(tenant), h.store.ServerStore(tenant.Incarnation))
	if err == nil {
		err = h.route(now, tenant, true)
	}
	if err != nil {
		tenant.Err = err
		h.log(tenant.Name, "tenant failed to start", "error", err)
		return
	}
	tenant.Coordinator = program
	tenant.Err = nil
	tenant.idle = false
	tenant.charged = controlplane.Stats{}
	program.Start(now, &tenantIO{host: h, tenant: tenant.Name})
	h.log(tenant.Name, "tenant started", "incarnation", tenant.Incarnation, "version", tenant.Version)
}

// coordinatorConfig returns a tenant's configuration, completed with the host's addresses, logger, scheduling and group.
func (h *Host) coordinatorConfig(tenant *TenantRuntime) Config {
	config := tenant.config.Config
	name := tenant.Name
	incarnation := tenant.Incarnation
	config.SASP = h.config.SASP
	config.HTTP = h.config.HTTP
	if h.config.Log != nil {
		config.Log = h.config.Log(name)
	}
	config.RequestTurn = func(now float64) {
		h.Scheduler.MarkDue(now, name, true)
		h.turnRequested = true
	}
	if h.shared != nil {
		config.Peers = newTenantPeers(h.shared, incarnation)
		siteForGroup(&config.Site, h.config.Group)
	}
	if h.config.OnMessageTrace != nil {
		config.OnMessageTrace = func(trace controlplane.MessageTrace) { h.config.OnMessageTrace(name, incarnation, trace) }
	}
	return config
}

// stop ends a tenant's coordinator immediately. The proxies continue to use the tables that they have.
func (h *Host) stop(tenant *TenantRuntime) {
	for _, conn := range h.Router.Remove(tenant.Name) {
		h.io.Close(env.Conn(conn))
	}
	stopped := tenant.Coordinator
	tenant.Coordinator = nil
	if stopped != nil {
		stopped.abandonDrains()
	}
}

// remove stops a tenant and deletes it from the host.
func (h *Host) remove(tenant *TenantRuntime) {
	h.Stats.Stops++
	h.stop(tenant)
	h.Credentials.Remove(tenant.Name)
	delete(h.measurementUsers, tenant.measurementUser)
	h.Scheduler.Remove(tenant.Name)
	if h.shared != nil {
		delete(h.shared.byIncarnation, tenant.Incarnation)
	}
	delete(h.tenants, tenant.Name)
	h.log(tenant.Name, "tenant stopped", "incarnation", tenant.Incarnation)
}

// reconcile brings a tenant in line with the directory.
func (h *Host) reconcile(now float64, name tenancy.Name) {
	tenant := h.tenants[name]
	listed, ok := h.Directory.Get(name)
	if tenant != nil && (!ok || listed.Incarnation != tenant.Incarnation) {
		h.remove(tenant)
		tenant = nil
	}
	if !ok {
		return
	}
	if tenant == nil {
		tenant = h.register(now, listed)
	} else if tenant.Version != listed.Version {
		h.update(now, tenant, listed)
	}
	if tenant.startable() { // start a changed tenant before the tenants in the start queue
		h.startQueue = slices.DeleteFunc(h.startQueue, func(queued tenancy.Name) bool { return queued == name })
		h.start(now, tenant)
	}
}

// update applies changed settings of a tenant. If they can't be applied in place, it stops the coordinator, which is then started
// again as after a restart of the host, and the proxies reconnect within seconds.
func (h *Host) update(now float64, tenant *TenantRuntime, listed tenancy.Tenant) {
	config, err := h.config.ParseTenant(listed)
	previous := tenant.config
	tenant.Tenant = listed
	if err != nil {
		tenant.Err = err
		h.log(listed.Name, "tenant settings invalid, keeping the previous ones", "error", err)
		return
	}
	tenant.config = config
	err = h.applySettings(now, tenant, tenant.Coordinator != nil)
	if err != nil {
		tenant.Err = err
		tenant.config = previous
		h.log(listed.Name, "tenant settings not applied, keeping the previous ones", "error", err)
		return
	}
	tenant.Err = nil
	if tenant.Coordinator == nil {
		return
	}
	sameUser := previous.Config.User == config.Config.User && previous.Config.Key == config.Config.Key
	if sameUser && h.reconfigure(now, tenant) {
		return
	}
	h.Stats.Restarts++
	h.log(listed.Name, "tenant restarting for changed settings", "version", listed.Version)
	h.stop(tenant)
}

// reconfigure applies a tenant's settings to its running coordinator. It reports whether that was possible without a restart.
func (h *Host) reconfigure(now float64, tenant *TenantRuntime) bool {
	var revision controlplane.Revision
	var err error
	if !h.call(now, tenant, func() { revision, err = tenant.Coordinator.Reconfigure(now, tenant.config.Config) }) {
		return true // it panicked and is restarted with these settings after its backoff
	}
	if err != nil {
		return false
	}
	h.Stats.Reconfigured++
	h.log(tenant.Name, "tenant reconfigured", "version", tenant.Version, "servers_added", len(revision.Added),
		"servers_removed", len(revision.Removed), "proxies_evicted", len(revision.Evicted))
	h.Scheduler.MarkDue(now, tenant.Name, len(revision.Removed) > 0)
	h.runTurns(now)
	return true
}
