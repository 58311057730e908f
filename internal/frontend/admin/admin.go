// Package admin serves the HTTP API for the administration of a coordinator or of a host of many tenants: it lists servers, proxies
// and message traces, and previews, orders and follows drains. Calls may be conditional (If-Match) and idempotent by key
// (Idempotency-Key). They are authorized by the caller's role, rate limited with fair shares for callers and a reserve for drains,
// and audited. The API is described in openapi.json.
package admin

import (
	_ "embed"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"snowquay/balancer"
	"snowquay/internal/core/audit"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/fairshare"
	"snowquay/internal/core/idempotency"
	"snowquay/internal/core/tenancy"
)

// OpenAPI is the OpenAPI description of the API in JSON.
//
//go:embed openapi.json
var OpenAPI []byte

// Program is the administered program: a coordinator, whose only tenant has an empty name, or a host of many tenants.
type Program interface {
	// Do calls f between two events of the program and returns when f has returned. All other methods except MessageTraces are
	// called only from within f.
	Do(f func(now float64))
	// Fleet returns the fleet of a tenant; ok is false if the tenant does not exist or is not running.
	Fleet(name tenancy.Name) (fleet *controlplane.Fleet, ok bool)
	// Drain orders the drain of a server or, if on is false, the end of its drain. done is called once, when the order has been
	// agreed on and is durable, or has been rejected.
	Drain(now float64, name tenancy.Name, server balancer.Server, on bool, done func(ok bool))
	// MessageTraces returns the latest message traces of a tenant, newest first; if proxyUID is not empty, only those of messages
	// to that proxy. It may be called at any time.
	MessageTraces(name tenancy.Name, proxyUID string) []MessageTrace
	authz.Authenticator
}

const (
	agreementTimeout = 15 * time.Second
	// unknownCredentialRate is the number of credentials that are looked up per second although they have not been known recently.
	unknownCredentialRate = 50.0
)

// Costs of calls, in the units of the limits below.
const (
	readCost         = 1.0
	previewCost      = 20.0
	drainCost        = 5.0
	listTenantsCost  = 5.0
	changeTenantCost = 10.0
)

// callLimits limits the calls to a coordinator, with fair shares for its callers: 100 reads or five previews per second.
var callLimits = fairshare.Config{
	Rate:          100,
	Burst:         200,
	BucketSeconds: 2,
	Reserve:       0.2,
	MaxTenants:    1024,
	MaxYield:      0.1,
}

// hostCallLimits limits the calls to a host of many tenants, with fair shares for its callers.
var hostCallLimits = fairshare.Config{
	Rate:          500,
	Burst:         1000,
	BucketSeconds: 2,
	Reserve:       0.2,
	MaxTenants:    1 << 16,
	MaxYield:      0.1,
}

// API is the HTTP handler of the administration API. Use New or NewHosted.
type API struct {
	mux     http.ServeMux
	program Program
	hosted  TenantHost // nil for a coordinator, which has a single tenant with an empty name
	logger  *slog.Logger

	// shares and histories may only be used within Program.Do.
	shares    *fairshare.Allocator
	histories map[tenancy.Name]*history

	startedAt time.Time
	mu        sync.Mutex          // protects lookups
	lookups   authz.LookupLimiter // limits the lookups of unknown credentials, which take time of the program

	bodies bodyBudget
}

// history holds the stored responses and the audit log of the calls about one tenant.
type history struct {
	responses idempotency.Cache
	changes   audit.Log
}

// New returns the API of a coordinator. now is the program's clock time in seconds. Changes are logged to logger.
func New(now float64, program Program, logger *slog.Logger) *API {
	a := newAPI(now, program, callLimits, logger)
	a.routeFleet("/v1")
	return a
}

func newAPI(now float64, program Program, limits fairshare.Config, logger *slog.Logger) *API {
	a := &API{
		program:   program,
		logger:    logger,
		shares:    fairshare.New(now, limits),
		histories: map[tenancy.Name]*history{},
		startedAt: time.Now(),
		lookups:   authz.LookupLimiter{Rate: unknownCredentialRate, Burst: unknownCredentialRate},
	}
	a.mux.HandleFunc("GET /openapi.json", serveOpenAPI)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func serveOpenAPI(w http.ResponseWriter, _ *http.Request) {
	writeBody(w, http.StatusOK, contentJSON, OpenAPI)
}

// routeFleet registers the handlers of the calls about one tenant's fleet, below a path.
func (a *API) routeFleet(path string) {
	read := access{role: authz.RoleViewer, cost: readCost}
	audited := access{role: authz.RoleStaff, cost: readCost}
	preview := access{role: authz.RoleViewer, cost: previewCost}
	drain := access{role: authz.RoleStaff, cost: drainCost, urgent: true}
	a.mux.HandleFunc("GET "+path+"/servers", a.authorized(read, a.servers))
	a.mux.HandleFunc("GET "+path+"/relays", a.authorized(read, a.proxies))
	a.mux.HandleFunc("GET "+path+"/drains/{server}", a.authorized(read, a.followDrain))
	a.mux.HandleFunc("GET "+path+"/orders", a.authorized(read, a.messageTraces))
	a.mux.HandleFunc("GET "+path+"/audit", a.authorized(audited, a.audit))
	a.mux.HandleFunc("POST "+path+"/preview", a.authorized(preview, a.preview))
	a.mux.HandleFunc("POST "+path+"/drains", a.authorized(drain, a.drain))
}

// history returns the history of a tenant, creating it if there is none.
func (a *API) history(name tenancy.Name) *history {
	h := a.histories[name]
	if h == nil {
		h = &history{}
		a.histories[name] = h
	}
	return h
}

// withFleet calls f within Program.Do with the fleet to which a call applies. If there is none, it responds with 404 and returns
// false.
func (a *API) withFleet(w http.ResponseWriter, c call, f func(now float64, fleet *controlplane.Fleet)) bool {
	running := false
	a.program.Do(func(now float64) {
		var fleet *controlplane.Fleet
		fleet, running = a.program.Fleet(c.tenant)
		if running {
			f(now, fleet)
		}
	})
	if !running {
		writeProblem(w, http.StatusNotFound, "tenant %q does not exist or is not running", c.tenant)
	}
	return running
}
