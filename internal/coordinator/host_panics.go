package coordinator

import (
	"errors"
	"fmt"
	"runtime/debug"

	"snowquay/internal/core/tenancy"
)

const (
	firstPanicBackoff = 1.0   // seconds between a panic of a tenant and its restart
	maxPanicBackoff   = 60.0  // seconds; the backoff doubles with each panic up to this limit
	panicBackoffReset = 300.0 // seconds without a panic after which the backoff is reset to firstPanicBackoff
)

// ErrTenantPanicked is the error of a tenant that is not running because it panicked and waits for its restart.
var ErrTenantPanicked = errors.New("the tenant panicked and will be restarted soon")

// panicHistory records a tenant's panics. The backoff until the restart is computed from it.
type panicHistory struct {
	count      int
	panickedAt float64 // clock time in seconds
	backoff    float64 // seconds from the latest panic until the restart
}

// next returns the history after one more panic.
func (p panicHistory) next(now float64) panicHistory {
	backoff := min(2*p.backoff, maxPanicBackoff)
	if p.count == 0 || now-p.panickedAt > panicBackoffReset {
		backoff = firstPanicBackoff
	}
	return panicHistory{count: p.count + 1, panickedAt: now, backoff: backoff}
}

func (p panicHistory) restartAt() float64 { return p.panickedAt + p.backoff }

// call runs a step of a tenant and recovers from a panic. If the step panics, call returns false and stops that tenant only; the
// tenant is restarted later from its durable state. A tenant's coordinator shares no state with other tenants, so a panic can't
// leave their state partially changed. A fatal error of the Go runtime, such as running out of memory, still ends the process.
func (h *Host) call(now float64, tenant *TenantRuntime, step func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			h.tenantPanicked(now, tenant, cause, debug.Stack())
			ok = false
		}
	}()
	step()
	return true
}

// tenantPanicked stops a tenant after a panic and makes the router ask its clients to retry.
func (h *Host) tenantPanicked(now float64, tenant *TenantRuntime, cause any, stack []byte) {
	h.Stats.Panics++
	tenant.panics = tenant.panics.next(now)
	h.logError(tenant.Name, "tenant panicked, restarting it", "cause", cause, "panics", tenant.panics.count,
		"backoff_seconds", tenant.panics.backoff, "stack", string(stack))
	if h.tenants[tenant.Name] != tenant { // it has been removed meanwhile
		return
	}
	h.stop(tenant)
	tenant.Err = fmt.Errorf("%w: %v", ErrTenantPanicked, cause)
	if err := h.route(now, tenant, false); err != nil {
		h.log(tenant.Name, "tenant not routed after a panic", "error", err)
	}
}

// restartPanicked queues the tenants whose backoff after a panic has elapsed.
func (h *Host) restartPanicked(now float64) {
	if h.Stats.Panics == 0 {
		return
	}
	for _, tenant := range h.Tenants() {
		if errors.Is(tenant.Err, ErrTenantPanicked) && now >= tenant.panics.restartAt() {
			tenant.Err = nil
			h.startQueue = append(h.startQueue, tenant.Name)
		}
	}
}

// logError logs an error of a tenant.
func (h *Host) logError(tenant tenancy.Name, event string, attributes ...any) {
	if h.config.Log != nil {
		h.config.Log(tenant).Error(event, attributes...)
	}
}
