package coordinator

import (
	"errors"
	"fmt"
	"runtime/debug"

	"snowquay/internal/core/tenancy"
)

const (
	firstPanicBackoff = 1.0   // seconds from a panic of a tenant until it is started again
	maxPanicBackoff   = 60.0  // the backoff doubles up to it
	panicBackoffReset = 300.0 // seconds without a panic after which the backoff is the first one again
)

// ErrTenantPanicked is the reason why a tenant does not run that panicked and waits for its restart.
var ErrTenantPanicked = errors.New("the tenant panicked and is started again soon")

// panicHistory is what the host remembers of a tenant's panics.
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

// call runs a step of a tenant. If the step panics, it reports false, and that tenant alone is stopped, to be started again
// from what is durable. A tenant's coordinator shares no state with the other tenants, so that nothing of theirs can be half
// changed. A fatal error of the Go runtime, such as memory that has run out, ends the process all the same.
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

// tenantPanicked stops a tenant and tells its callers to come back.
func (h *Host) tenantPanicked(now float64, tenant *TenantRuntime, cause any, stack []byte) {
	h.Stats.Panics++
	tenant.panics = tenant.panics.next(now)
	h.logError(tenant.Name, "tenant panicked, restarting it", "cause", cause, "panics", tenant.panics.count,
		"backoff_seconds", tenant.panics.backoff, "stack", string(stack))
	if h.tenants[tenant.Name] != tenant { // it was removed meanwhile
		return
	}
	h.stop(tenant)
	tenant.Err = fmt.Errorf("%w: %v", ErrTenantPanicked, cause)
	if err := h.route(now, tenant, false); err != nil {
		h.log(tenant.Name, "tenant not routed after a panic", "error", err)
	}
}

// restartPanicked queues the tenants whose backoff after a panic is over.
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
