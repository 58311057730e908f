package admin

import (
	"net/http"
	"strconv"

	"snowquay/internal/core/fairshare"
	"snowquay/internal/core/tenancy"
)

// tenantTag returns the ETag of a version of a tenant.
func tenantTag(version tenancy.Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(version), 10))
}

// tenants lists all tenants.
func (a *API) tenants(w http.ResponseWriter, _ *http.Request, _ call) {
	var rows []TenantRow
	a.program.Do(func(float64) { rows = a.hosted.TenantRows() })
	writeJSON(w, http.StatusOK, rows)
}

// tenant responds with one tenant.
func (a *API) tenant(w http.ResponseWriter, _ *http.Request, c call) {
	var row TenantRow
	exists := false
	a.program.Do(func(float64) { row, exists = a.hosted.TenantRow(c.tenant) })
	if !exists {
		writeNoTenant(w, c.tenant)
		return
	}
	w.Header().Set("ETag", tenantTag(row.Version))
	writeJSON(w, http.StatusOK, row)
}

// tenantSettings responds with the settings of a tenant, without their keys.
func (a *API) tenantSettings(w http.ResponseWriter, _ *http.Request, c call) {
	var row TenantRow
	var settings []byte
	var err error
	exists := false
	a.program.Do(func(float64) {
		row, exists = a.hosted.TenantRow(c.tenant)
		if exists {
			settings, err = a.hosted.Settings(c.tenant)
		}
	})
	if !exists || err != nil {
		writeNoTenant(w, c.tenant)
		return
	}
	w.Header().Set("ETag", tenantTag(row.Version))
	writeBody(w, http.StatusOK, contentXML, settings)
}

func writeNoTenant(w http.ResponseWriter, name tenancy.Name) {
	writeProblem(w, http.StatusNotFound, "tenant %q does not exist", name)
}

// removeTenantState deletes the history of a tenant and the shares of its callers. It must be called within Program.Do.
func (a *API) removeTenantState(name tenancy.Name) {
	delete(a.histories, name)
	a.shares.RemoveGroup(fairshare.Group(name))
}
