package admin

import (
	"log/slog"

	"snowquay/internal/core/authz"
	"snowquay/internal/core/tenancy"
)

// TenantHost is the administered program if it is a host of many tenants. All its methods except Do and MessageTraces are called
// only within Program.Do.
type TenantHost interface {
	Program
	// TenantRows returns all tenants, ordered by name.
	TenantRows() []TenantRow
	// TenantRow returns one tenant; ok is false if there is no such tenant.
	TenantRow(name tenancy.Name) (row TenantRow, ok bool)
	// Settings returns the settings of a tenant without their keys. The error is tenancy.ErrNotFound.
	Settings(name tenancy.Name) ([]byte, error)
	// RestoreKeys returns settings in which the keys that they leave out are filled in from the tenant's present settings.
	RestoreKeys(name tenancy.Name, settings []byte) ([]byte, error)
	// EditServer returns the settings of a tenant after a change of one server. The error is tenancy.ErrNotFound or describes why
	// the change is invalid.
	EditServer(name tenancy.Name, edit []byte) ([]byte, error)
	// PreviewSettings validates settings of a tenant and returns the effects that they would have. It changes nothing.
	PreviewSettings(now float64, tenant tenancy.Tenant) (SettingsPreview, error)
	// ChangeTenant changes the directory of tenants. done is called once, when the change is durable and in effect, or rejected.
	ChangeTenant(now float64, command tenancy.Command, done func(tenancy.Outcome, error))
}

// TenantRow is a tenant in a response.
type TenantRow struct {
	Name          tenancy.Name         `json:"name"`
	Incarnation   tenancy.Incarnation  `json:"incarnation"`
	Version       tenancy.Version      `json:"version"`
	Weight        float64              `json:"weight"`
	Requirements  tenancy.Requirements `json:"needs"`
	Running       bool                 `json:"runs"`
	Error         string               `json:"wrong,omitempty"` // reason why the tenant is not running, or is still running with its former settings
	Servers       int                  `json:"servers"`
	Relays        int                  `json:"relays"`  // joined proxies
	UpToDate      int                  `json:"newest"`  // number of joined proxies that are known to hold the newest tables
	CPUSeconds    float64              `json:"work"`    // CPU time charged to the tenant
	LongestWait   float64              `json:"longest"` // longest time in seconds from when the tenant was due to run until it ran
	QueuedEntries float64              `json:"waiting"` // table entries in its channel
}

// SettingsPreview describes the effects that settings of a tenant would have.
type SettingsPreview struct {
	Weight        float64              `json:"weight"`
	Requirements  tenancy.Requirements `json:"needs"`
	RestartReason string               `json:"starts-anew-for,omitempty"` // changes that require a restart of the tenant
	Added         int                  `json:"servers-added"`
	Removed       []string             `json:"servers-removed,omitempty"`
	RelaysEvicted int                  `json:"relays-sent-away"`
	Reasons       []string             `json:"reasons,omitempty"` // harm that the settings would do
}

// NewHosted returns the API of a host of many tenants. now is the host's clock time in seconds. Changes are logged to logger.
func NewHosted(now float64, hosted TenantHost, logger *slog.Logger) *API {
	a := newAPI(now, hosted, hostCallLimits, logger)
	a.hosted = hosted
	a.routeFleet("/v1/tenants/{tenant}")
	list := access{role: authz.RoleViewer, cost: listTenantsCost}
	read := access{role: authz.RoleViewer, cost: readCost}
	readAsStaff := access{role: authz.RoleStaff, cost: readCost}
	change := access{role: authz.RoleStaff, cost: changeTenantCost}
	remove := access{role: authz.RoleHost, cost: changeTenantCost}
	a.mux.HandleFunc("GET /v1/tenants", a.authorized(list, a.tenants))
	a.mux.HandleFunc("GET /v1/audit", a.authorized(readAsStaff, a.audit))
	a.mux.HandleFunc("GET /v1/tenants/{tenant}", a.authorized(read, a.tenant))
	a.mux.HandleFunc("GET /v1/tenants/{tenant}/settings", a.authorized(readAsStaff, a.tenantSettings))
	a.mux.HandleFunc("PUT /v1/tenants/{tenant}", a.authorized(change, a.putTenant))
	a.mux.HandleFunc("POST /v1/tenants/{tenant}/servers", a.authorized(change, a.editServer))
	a.mux.HandleFunc("DELETE /v1/tenants/{tenant}", a.authorized(remove, a.removeTenant))
	return a
}
