package coordinator

import (
	"snowquay/internal/core/tenancy"
)

// runTurns runs the turns of the tenants that are due. When no more tenants are due, it starts tenants of the start queue
// while the CPU budget lasts.
func (h *Host) runTurns(now float64) {
	h.turnRequested = false
	for {
		name, ok := h.Scheduler.Next(now)
		if !ok {
			break
		}
		tenant := h.running(name)
		if tenant == nil {
			h.Scheduler.Charge(name, 0)
			continue
		}
		h.runTurn(now, tenant)
	}
	for h.Scheduler.DueLen() == 0 && len(h.startQueue) > 0 && h.Scheduler.HasBudget(now) {
		h.startNext(now)
	}
}

// startNext starts the first tenant of the start queue.
func (h *Host) startNext(now float64) {
	name := h.startQueue[0]
	h.startQueue = h.startQueue[1:]
	tenant := h.tenants[name]
	if tenant == nil || !tenant.startable() {
		return
	}
	h.start(now, tenant)
	h.Scheduler.Charge(name, tenantStartCPUSeconds)
}

// runRequestedTurns runs turns immediately if a tenant has requested one.
func (h *Host) runRequestedTurns(now float64) {
	if h.turnRequested {
		h.runTurns(now)
	}
}

// runTurn runs a tenant's turn and charges the tenant for it.
func (h *Host) runTurn(now float64, tenant *TenantRuntime) {
	program := tenant.Coordinator
	if !h.call(now, tenant, func() { program.TimerFired(now, 0) }) {
		h.Scheduler.Charge(tenant.Name, tenantStartCPUSeconds)
		return
	}
	tenant.idle = program.Idle()
	stats := program.Fleet.Stats
	usage := tenancy.Usage{
		Rounds:   stats.Rounds - tenant.charged.Rounds,
		Messages: stats.Messages - tenant.charged.Messages,
		Entries:  stats.Entries - tenant.charged.Entries,
		Servers:  program.Fleet.Registry.Len(),
		Proxies:  program.Fleet.Joined(),
	}
	h.Scheduler.Charge(tenant.Name, usage.CPUSeconds())
	tenant.charged = stats
}

// chargeInput charges a tenant for bytes received for it. If the tenant was idle, its turns return to the shorter interval.
func (h *Host) chargeInput(now float64, tenant *TenantRuntime, bytes int) {
	usage := tenancy.Usage{InputEvents: 1, Bytes: bytes}
	h.Scheduler.Charge(tenant.Name, usage.CPUSeconds())
	if tenant.idle {
		tenant.idle = false
		h.Scheduler.ScheduleAt(tenant.Name, now+tickInterval)
	}
	h.runRequestedTurns(now)
}
