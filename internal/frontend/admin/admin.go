// Package admin serves the administration API of a coordinator or of a host of many tenants: look at servers, proxies and message
// traces, preview a drain, order it, and follow it. Calls are conditional (If-Match), idempotent by key (Idempotency-Key),
// authorized by the caller's role, shared fairly between callers with a reserve for drains, and audited. The API is described by
// openapi.json.
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

// Program is what is administered: a coordinator, whose only tenant has the empty name, or a host of many tenants.
type Program interface {
	// Do calls f between two events of the program and returns when it has run. All other methods but MessageTraces are called
	// from within f.
	Do(f func(now float64))
	// Fleet returns the fleet of a tenant; ok is false if there is no such tenant or it does not run.
	Fleet(name tenancy.Name) (fleet *controlplane.Fleet, ok bool)
	// Drain orders a drain of a server or, if on is false, its end. done is called once, when the order is agreed on and durable,
	// or rejected.
	Drain(now float64, name tenancy.Name, server balancer.Server, on bool, done func(ok bool))
	// MessageTraces returns the latest message traces of a tenant, the newest first; only those to one proxy if its UID is not
	// empty. It may be called at any time.
	MessageTraces(name tenancy.Name, proxyUID string) []MessageTrace
	authz.Authenticator
}

const (
	maxBodyBytes     = 1 << 20 // of a request
	agreementTimeout = 15 * time.Second
	// unknownCredentialRate is the number of credentials per second that are looked up although they were not known lately.
	unknownCredentialRate = 50.0
)

// Costs of calls in units of the limits below.
const (
	readCost         = 1.0
	previewCost      = 20.0
	drainCost        = 5.0
	listTenantsCost  = 5.0
	changeTenantCost = 10.0
)

// callLimits divides the calls between the callers of a coordinator: a hundred cheap ones a second, or five previews.
var callLimits = fairshare.Config{
	Rate:          100,
	Burst:         200,
	BucketSeconds: 2,
	Reserve:       0.2,
	MaxTenants:    1024,
	MaxYield:      0.1,
}

// hostCallLimits divides the calls between the callers of a host of many tenants.
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
	hosted  TenantHost // nil for a coordinator, which has one tenant without a name
	logger  *slog.Logger

	// shares and histories are used only within Program.Do.
	shares    *fairshare.Allocator
	histories map[tenancy.Name]*history

	startedAt time.Time
	mu        sync.Mutex          // protects lookups
	lookups   authz.LookupLimiter // limits the lookups of unknown credentials before they take the program's time
}

// history is what is remembered of the calls about one tenant.
type history struct {
	responses idempotency.Cache
	changes   audit.Log
}

// New returns the API of a coordinator. now is the program's clock time in seconds. Changes are logged by logger.
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

// routeFleet routes the calls about one tenant's fleet below a path.
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

// history returns the history of a tenant, which it creates if there is none.
func (a *API) history(name tenancy.Name) *history {
	h := a.histories[name]
	if h == nil {
		h = &history{}
		a.histories[name] = h
	}
	return h
}

// withFleet calls f with the fleet that a call is about, within Program.Do. If there is none, it answers so and returns false.
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
		writeProblem(w, http.StatusNotFound, "there is no tenant %q that runs", c.tenant)
	}
	return running
}
