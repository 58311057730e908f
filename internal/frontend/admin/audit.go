package admin

import (
	"net/http"

	"snowquay/internal/core/audit"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/tenancy"
)

// maxAuditEntries limits the entries in a response.
const maxAuditEntries = 500

// change describes a change, or an attempt at one, for the audit log.
type change struct {
	caller authz.Principal
	tenant tenancy.Name // tenant in whose audit log it is recorded; empty: the audit log of the host or the coordinator
	action string
	object string // name of what was changed
	result string
}

// recordChange records a change in the audit log and logs it. It must be called within Program.Do.
func (a *API) recordChange(now float64, c change) {
	a.history(c.tenant).changes.Record(audit.Entry{
		At:     now,
		Caller: c.caller.Name,
		Action: c.action,
		Target: c.object,
		Result: c.result,
	})
	a.logger.Info("administration call",
		"tenant", c.tenant, "caller", c.caller.Name, "caller_tenant", c.caller.Tenant,
		"action", c.action, "object", c.object, "result", c.result)
}

// audit lists the latest changes, newest first.
func (a *API) audit(w http.ResponseWriter, _ *http.Request, c call) {
	entries := []audit.Entry{} // not nil, so that no entries are [] in JSON
	a.program.Do(func(float64) {
		h := a.histories[c.tenant]
		if h != nil {
			entries = h.changes.Latest(maxAuditEntries)
		}
	})
	writeJSON(w, http.StatusOK, entries)
}
