package admin

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"snowquay/internal/core/authz"
	"snowquay/internal/core/tenancy"
)

// tenantChange is a request that changes or removes a tenant.
type tenantChange struct {
	call
	conditions  preconditions
	commandID   uint64
	fingerprint uint64
	force       bool // carry out the change even if it would do harm
	dryRun      bool // only return a preview
}

// changeResult is the result of a request that changes or removes a tenant.
type changeResult struct {
	status  int // HTTP status of the response
	err     error
	preview SettingsPreview
	outcome tenancy.Outcome
	created bool // the change creates the tenant
}

// changeResponse is the response to a successful change. Its fields are in the order of their JSON keys.
type changeResponse struct {
	Incarnation tenancy.Incarnation `json:"incarnation"`
	Tenant      tenancy.Name        `json:"tenant"`
	Version     tenancy.Version     `json:"version"`
}

// parseChange parses the headers and the query of a request for a change. If they are invalid, it responds with the error and ok is
// false.
func parseChange(w http.ResponseWriter, r *http.Request, c call, body []byte) (change tenantChange, ok bool) {
	conditions, err := parsePreconditions(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "%v", err)
		return tenantChange{}, false
	}
	query := r.URL.Query()
	return tenantChange{
		call:        c,
		conditions:  conditions,
		commandID:   commandID(r, c.caller),
		fingerprint: requestFingerprint(r, body),
		force:       query.Get("force") == "true",
		dryRun:      query.Get("dry-run") == "true",
	}, true
}

// command returns the command for a change.
func (c *tenantChange) command(now float64, kind tenancy.CommandKind) tenancy.Command {
	return tenancy.Command{
		Kind:        kind,
		Name:        c.tenant,
		IfVersion:   c.conditions.version,
		ID:          c.commandID,
		Fingerprint: c.fingerprint,
		Time:        now,
	}
}

// putTenant creates a tenant, or replaces its settings.
func (a *API) putTenant(w http.ResponseWriter, r *http.Request, c call) {
	a.changeSettings(w, r, c, a.hosted.RestoreKeys)
}

// editServer changes one server in the settings of a tenant.
func (a *API) editServer(w http.ResponseWriter, r *http.Request, c call) {
	a.changeSettings(w, r, c, a.hosted.EditServer)
}

// settingsBuilder returns the new settings of a tenant for the body of a request. It is called within Program.Do.
type settingsBuilder func(name tenancy.Name, body []byte) ([]byte, error)

// changeSettings changes the settings of a tenant if the new ones are valid and do no harm. With dry-run it only returns a preview.
func (a *API) changeSettings(w http.ResponseWriter, r *http.Request, c call, build settingsBuilder) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	change, ok := parseChange(w, r, c, body)
	if !ok {
		return
	}
	result := a.awaitChange(func(now float64, done func(changeResult)) {
		command, result := a.prepareSettings(now, change, body, build)
		if result.err != nil || change.dryRun {
			done(result)
			return
		}
		a.submit(now, command, result, done)
	})
	if change.dryRun && result.err == nil {
		writeJSON(w, http.StatusOK, result.preview)
		return
	}
	action := "settings"
	if result.created {
		action = "new tenant"
	}
	a.respondToChange(w, c, action, result)
}

// prepareSettings checks new settings and returns the command that puts them into effect. If they are rejected, the result has an
// error.
func (a *API) prepareSettings(now float64, change tenantChange, body []byte, build settingsBuilder) (tenancy.Command, changeResult) {
	row, exists := a.hosted.TenantRow(change.tenant)
	kind, status, err := commandKind(change, exists)
	if err != nil {
		return tenancy.Command{}, changeResult{status: status, err: err}
	}
	command := change.command(now, kind)
	result := changeResult{status: http.StatusOK, created: kind == tenancy.Create}
	command.Settings, err = build(change.tenant, body)
	if err == nil {
		tenant := tenancy.Tenant{Name: change.tenant, Settings: command.Settings}
		result.preview, err = a.hosted.PreviewSettings(now, tenant)
	}
	if err != nil {
		result.status = http.StatusBadRequest
		if errors.Is(err, tenancy.ErrNotFound) {
			result.status = http.StatusNotFound
		}
		result.err = err
		return command, result
	}
	command.Weight = result.preview.Weight
	command.Requirements = result.preview.Requirements
	if kind == tenancy.Change {
		err = checkRequirements(change.caller, command, row)
		if err != nil {
			return command, changeResult{status: http.StatusForbidden, preview: result.preview, err: err}
		}
	}
	reasons := result.preview.Reasons
	if len(reasons) > 0 && !change.force && !change.dryRun {
		return command, changeResult{status: http.StatusConflict, preview: result.preview, err: &harmError{reasons: reasons}}
	}
	return command, result
}

// commandKind returns whether new settings create a tenant or change it. If neither is possible, it returns an error and the HTTP
// status of the response.
func commandKind(change tenantChange, exists bool) (kind tenancy.CommandKind, status int, err error) {
	mustCreate := change.conditions.mustCreate
	switch {
	case !exists && authz.Authorize(change.caller, authz.Action{Role: authz.RoleHost}) != nil:
		return 0, http.StatusForbidden, errors.New("only the host may create tenants")
	case !exists && change.conditions.version != 0:
		return 0, http.StatusPreconditionFailed, tenancy.ErrNotFound
	case !exists:
		return tenancy.Create, 0, nil
	case mustCreate && change.commandID == 0:
		return 0, http.StatusPreconditionFailed, tenancy.ErrExists
	case mustCreate:
		return tenancy.Create, 0, nil // the request may be a repetition of one whose response was lost
	default:
		return tenancy.Change, 0, nil
	}
}

// checkRequirements returns an error if a caller of the tenant's staff requests more resources than the tenant has. Only the host
// may raise them.
func checkRequirements(caller authz.Principal, command tenancy.Command, row TenantRow) error {
	if caller.Role >= authz.RoleHost {
		return nil
	}
	err := command.Requirements.CheckWithin(row.Requirements)
	switch {
	case err != nil:
		return fmt.Errorf("only the host may raise the resources of a tenant: weight %g to %g; %w", row.Weight, command.Weight, err)
	case command.Weight > row.Weight:
		return fmt.Errorf("only the host may raise the resources of a tenant: weight %g to %g", row.Weight, command.Weight)
	default:
		return nil
	}
}

// removeTenant removes a tenant. Joined proxies would continue with the tables that they hold, so without force the removal is
// rejected while any are joined.
func (a *API) removeTenant(w http.ResponseWriter, r *http.Request, c call) {
	change, ok := parseChange(w, r, c, nil)
	if !ok {
		return
	}
	result := a.awaitChange(func(now float64, done func(changeResult)) {
		row, exists := a.hosted.TenantRow(c.tenant)
		if exists && row.Relays > 0 && !change.force {
			err := fmt.Errorf("%d relays are joined and would continue with the tables that they hold; force=true removes the tenant nevertheless", row.Relays)
			done(changeResult{status: http.StatusConflict, err: err})
			return
		}
		a.submit(now, change.command(now, tenancy.Remove), changeResult{}, func(result changeResult) {
			if result.err == nil {
				a.removeTenantState(c.tenant)
			}
			done(result)
		})
	})
	a.respondToChange(w, c, "end of the tenant", result)
}

// awaitChange calls f within Program.Do and waits until done is called, for at most agreementTimeout.
func (a *API) awaitChange(f func(now float64, done func(changeResult))) changeResult {
	results := make(chan changeResult, 1) // buffered, so that the send does not block after a timeout
	a.program.Do(func(now float64) {
		f(now, func(result changeResult) { results <- result })
	})
	select {
	case result := <-results:
		return result
	case <-time.After(agreementTimeout):
		return changeResult{status: http.StatusServiceUnavailable, err: errAgreementTimeout}
	}
}

// submit gives a command to the host. It calls done with result, to which it adds the outcome of the command.
func (a *API) submit(now float64, command tenancy.Command, result changeResult, done func(changeResult)) {
	a.hosted.ChangeTenant(now, command, func(outcome tenancy.Outcome, err error) {
		result.outcome = outcome
		result.err = errors.Join(err, outcome.Err())
		switch {
		case result.err != nil:
			result.status = commandStatus(result.err)
		case command.Kind == tenancy.Create:
			result.status = http.StatusCreated
		default:
			result.status = http.StatusOK
		}
		done(result)
	})
}

// commandStatus returns the HTTP status of the response for an error of a command.
func commandStatus(err error) int {
	switch {
	case errors.Is(err, tenancy.ErrInvalidCommand):
		return http.StatusBadRequest
	case errors.Is(err, tenancy.ErrNoCapacity):
		return http.StatusInsufficientStorage
	case errors.Is(err, tenancy.ErrKeyReused):
		return http.StatusUnprocessableEntity
	case errors.Is(err, tenancy.ErrNameQuarantined):
		return http.StatusConflict
	case errors.Is(err, tenancy.ErrVersionMismatch), errors.Is(err, tenancy.ErrExists):
		return http.StatusPreconditionFailed
	case errors.Is(err, tenancy.ErrNotFound):
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}

// respondToChange responds to a change and records it in the audit log of the host, which still exists after the tenant is removed.
func (a *API) respondToChange(w http.ResponseWriter, c call, action string, result changeResult) {
	text := "done"
	if result.err != nil {
		text = "refused: " + result.err.Error()
	}
	a.program.Do(func(now float64) {
		a.recordChange(now, change{caller: c.caller, action: action, object: string(c.tenant), result: text})
	})
	if result.err != nil {
		quarantined := result.status == http.StatusConflict && errors.Is(result.err, tenancy.ErrNameQuarantined)
		if result.status == http.StatusServiceUnavailable || quarantined {
			w.Header().Set("Retry-After", "1")
		}
		writeProblem(w, result.status, "%v", result.err)
		return
	}
	w.Header().Set("ETag", tenantTag(result.outcome.Version))
	writeJSON(w, result.status, changeResponse{
		Incarnation: result.outcome.Incarnation,
		Tenant:      c.tenant,
		Version:     result.outcome.Version,
	})
}
