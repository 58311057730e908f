// Package admin is the administration API of a coordinator: look at servers and why orders were given, preview a drain,
// order it, and follow it. Calls are conditional (If-Match), idempotent by key (Idempotency-Key), kept apart by the caller's
// role, shared fairly between callers with a reserve for drains, and audited. api: openapi.json.
package admin

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"snowquay/balancer"
	"snowquay/internal/core/audit"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/fairshare"
	"snowquay/internal/core/idempotency"
	"snowquay/internal/core/tablecheck"
	"snowquay/internal/core/tenancy"
)

// OpenAPI describes the API.
//
//go:embed openapi.json
var OpenAPI []byte

// Program is what is administered: a coordinator of its own, whose one tenant has no name, or a host of many.
type Program interface {
	// Do calls f between two of the program's steps, and returns when it has run. All else is called from within f.
	Do(f func(now float64))
	// Fleet of a tenant; ok is false where there is none, or it does not run.
	Fleet(tenancy.Name) (f *controlplane.Fleet, ok bool)
	// Drain orders a drain or its end; done is called once, when it is agreed on and durable, or refused.
	Drain(now float64, of tenancy.Name, s balancer.Server, on bool, done func(ok bool))
	// MessageTraces are the latest ones of a tenant, newest first; those to one relay if it is named.
	MessageTraces(of tenancy.Name, relay string) []MessageTrace
	authz.Authenticator
}

const (
	mostBody    = 1 << 20 // bytes of a call
	agreeWithin = 15 * time.Second
	longestWait = 30 * time.Second
	lookEvery   = 50 * time.Millisecond // while a drain is followed
	strangers   = 50.0                  // callers a second whose key is looked up though it was nobody's lately
	costLook    = 1.0                   // units of a call
	costPreview = 20.0
	costDrain   = 5.0
)

// terms of calls: a hundred cheap ones a second, five previews. A host of many tenants has five times as much.
var (
	terms       = fairshare.Config{Rate: 100, Burst: 200, BucketSeconds: 2, Reserve: 0.2, MaxTenants: 1024, RecentWindow: 0.1}
	hostedTerms = fairshare.Config{Rate: 500, Burst: 1000, BucketSeconds: 2, Reserve: 0.2, MaxTenants: 1 << 16, RecentWindow: 0.1}
)

// API serves the calls. Use New or NewHosted.
type API struct {
	program Program
	hosted  TenantHost           // nil: there is one tenant, without a name
	shares  *fairshare.Allocator // as all below only touched within Program.Do
	books   map[tenancy.Name]*book
	say     func(string, ...any)
	mu      sync.Mutex // of the gate, which stands before the program
	gate    authz.LookupLimiter
	began   time.Time
	http.ServeMux
}

// pass tells whether a caller's credential may be looked up.
func (a *API) pass(credential string) (after float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Allow(1+time.Since(a.began).Seconds(), credential)
}

func (a *API) found(credential string, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Observe(credential, known)
}

// New makes the API of a coordinator.
func New(now float64, program Program, say func(string, ...any)) *API {
	a := newAPI(now, program, terms, say)
	a.tenant("/v1")
	return a
}

func newAPI(now float64, program Program, terms fairshare.Config, say func(string, ...any)) *API {
	a := &API{program: program, shares: fairshare.New(now, terms), books: map[tenancy.Name]*book{}, say: say,
		gate: authz.LookupLimiter{Rate: strangers, Burst: strangers}, began: time.Now()}
	a.HandleFunc("GET /openapi.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(OpenAPI) // a reader that went away needs no answer
	})
	return a
}

// tenant serves the calls about one tenant's fleet below a path.
func (a *API) tenant(path string) {
	a.HandleFunc("GET "+path+"/servers", a.with(authz.RoleViewer, costLook, false, a.servers))
	a.HandleFunc("GET "+path+"/relays", a.with(authz.RoleViewer, costLook, false, a.relays))
	a.HandleFunc("GET "+path+"/drains/{server}", a.with(authz.RoleViewer, costLook, false, a.follow))
	a.HandleFunc("GET "+path+"/orders", a.with(authz.RoleViewer, costLook, false, a.orders))
	a.HandleFunc("GET "+path+"/audit", a.with(authz.RoleStaff, costLook, false, a.audit))
	a.HandleFunc("POST "+path+"/preview", a.with(authz.RoleViewer, costPreview, false, a.preview))
	a.HandleFunc("POST "+path+"/drains", a.with(authz.RoleStaff, costDrain, true, a.drain))
}

// book is what is remembered of the calls about one tenant.
type book struct {
	responses idempotency.Cache
	changes   audit.Log
}

// book of a tenant's calls and changes.
func (a *API) book(of tenancy.Name) *book {
	b := a.books[of]
	if b == nil {
		b = &book{}
		a.books[of] = b
	}
	return b
}

// problem answers with a problem document (RFC 9457).
func problem(w http.ResponseWriter, status int, format string, args ...any) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"type": "about:blank", "title": http.StatusText(status), "status": status,
		"detail": fmt.Sprintf(format, args...)}) // a reader that went away needs no answer
}

// call is a request that was let in.
type call struct {
	authz.Principal
	of tenancy.Name // the tenant that it is about; empty: none, or the only one
}

// as says whose share of calls somebody takes: that of its tenant's, and there its own.
func as(w authz.Principal) (fairshare.Tenant, fairshare.Group) {
	return fairshare.Tenant(string(w.Tenant) + "/" + w.Name), fairshare.Group(w.Tenant)
}

// with lets a call in: known, allowed, within its share.
func (a *API) with(needs authz.Role, cost float64, urgent bool, do func(http.ResponseWriter, *http.Request, call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		credential, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		c := call{of: tenancy.Name(r.PathValue("tenant"))}
		if after, ok := a.pass(credential); !ok {
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after))))
			problem(w, http.StatusTooManyRequests, "too many callers whom nobody knows; come back in %.2f s", after)
			return
		}
		after, known, in := 0.0, false, false
		var err error
		a.program.Do(func(now float64) {
			if c.Principal, known = a.program.Identify(credential); !known || !bearer {
				known = false
				return
			}
			if err = authz.Authorize(c.Principal, authz.Action{Role: needs, Tenant: c.of}); err != nil {
				return
			}
			name, group := as(c.Principal)
			if err = a.shares.Set(now, name, group, 1); err == nil {
				after, in, err = a.shares.Take(now, name, cost, urgent)
			}
		})
		a.found(credential, known)
		switch {
		case !known:
			w.Header().Set("WWW-Authenticate", "Bearer")
			problem(w, http.StatusUnauthorized, "no key of this API")
		case errors.Is(err, fairshare.ErrTooManyTenants):
			problem(w, http.StatusServiceUnavailable, "%v", err)
		case err != nil:
			problem(w, http.StatusForbidden, "%v", err)
		case !in:
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after))))
			problem(w, http.StatusTooManyRequests, "your share of calls is used up; come back in %.2f s", after)
		default:
			r.Body = http.MaxBytesReader(w, r.Body, mostBody)
			do(w, r, c)
		}
	}
}

// fleet calls f with the fleet of a call's tenant, or answers that there is none.
func (a *API) fleet(w http.ResponseWriter, c call, f func(now float64, fl *controlplane.Fleet)) bool {
	ok := false
	a.program.Do(func(now float64) {
		var fl *controlplane.Fleet
		if fl, ok = a.program.Fleet(c.of); ok {
			f(now, fl)
		}
	})
	if !ok {
		problem(w, http.StatusNotFound, "there is no tenant %q that runs", c.of)
	}
	return ok
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil { // figures are finite
		problem(w, http.StatusInternalServerError, "%v", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // a reader that went away needs no answer
}

var phases = map[balancer.Phase]string{balancer.Ready: "in service", balancer.Draining: "drains", balancer.Removed: "gone"}

type serverRow struct {
	Server  balancer.Server        `json:"server"`
	Phase   string                 `json:"phase"`
	Zone    string                 `json:"zone"`
	Pod     balancer.FailureDomain `json:"pod"`
	Started float64                `json:"started"`
	Cold    bool                   `json:"cold"`
}

func version(f *controlplane.Fleet) string {
	return fmt.Sprintf("%q", strconv.Itoa(f.Registry.Version()))
}

func (a *API) servers(w http.ResponseWriter, _ *http.Request, c call) {
	rows, tag := []serverRow{}, ""
	if !a.fleet(w, c, func(now float64, f *controlplane.Fleet) {
		tag = version(f)
		for _, name := range f.Registry.Servers() {
			rec, _ := f.Registry.Find(name)
			rows = append(rows, serverRow{Server: name, Phase: phases[rec.Phase], Zone: zoneName(f, rec.Zone), Pod: rec.FailureDomain,
				Started: rec.Started, Cold: f.Registry.WarmingUp(now, name, f.Site().Guarantees.WarmupDuration)})
		}
	}) {
		return
	}
	w.Header().Set("ETag", tag)
	reply(w, http.StatusOK, rows)
}

type drainRow struct {
	Server  balancer.Server `json:"server"`
	Phase   string          `json:"phase"`
	Told    float64         `json:"told,omitempty"`
	Proxies int             `json:"proxies"`
	Without int             `json:"proxies-without"` // of them, known to hold no line to it
	Waiting []string        `json:"waiting,omitempty"`
	Done    bool            `json:"done"` // none of this coordinator's proxies sends to it any more
}

func (a *API) look(of tenancy.Name, s balancer.Server) (row drainRow, ok bool) {
	a.program.Do(func(float64) {
		var d controlplane.DrainProgress
		f, runs := a.program.Fleet(of)
		if !runs {
			return
		}
		if d, ok = f.DrainProgress(s); ok {
			row = drainRow{s, phases[d.Phase], d.NotifiedAt, d.Joined, d.Updated, d.Pending, d.Phase != balancer.Ready && d.Updated == d.Joined}
		}
	})
	return row, ok
}

// follow tells how far a drain has got; with wait it answers when it is done or that time is over.
func (a *API) follow(w http.ResponseWriter, r *http.Request, c call) {
	wait, err := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	if r.URL.Query().Get("wait") != "" && (err != nil || !(wait >= 0)) {
		problem(w, http.StatusBadRequest, "wait=%.40q is no time", r.URL.Query().Get("wait"))
		return
	}
	s := balancer.Server(r.PathValue("server"))
	for end := time.Now().Add(min(time.Duration(wait*float64(time.Second)), longestWait)); ; time.Sleep(lookEvery) {
		row, ok := a.look(c.of, s)
		if !ok {
			problem(w, http.StatusNotFound, "no server %q is known", s)
			return
		}
		if row.Done || row.Told == 0 || time.Now().After(end) || r.Context().Err() != nil {
			reply(w, http.StatusOK, row)
			return
		}
	}
}

func (a *API) audit(w http.ResponseWriter, _ *http.Request, c call) {
	entries := []audit.Entry{}
	a.program.Do(func(float64) {
		if b := a.books[c.of]; b != nil {
			entries = b.changes.Latest(mostEntries)
		}
	})
	reply(w, http.StatusOK, entries)
}

func (a *API) orders(w http.ResponseWriter, r *http.Request, c call) {
	reply(w, http.StatusOK, a.program.MessageTraces(c.of, r.URL.Query().Get("relay")))
}

type relayRow struct {
	UID    string `json:"uid"`
	Zone   string `json:"zone"`
	Newest bool   `json:"newest"`           // it is known to hold the newest tables
	Asks   bool   `json:"asks"`             // by the long-poll API
	Urgent bool   `json:"urgent,omitempty"` // a drain is on its way to it
}

// relays tells how far each joined proxy is.
func (a *API) relays(w http.ResponseWriter, _ *http.Request, c call) {
	rows := []relayRow{}
	if a.fleet(w, c, func(_ float64, f *controlplane.Fleet) {
		for _, s := range f.ProxyStatuses() {
			rows = append(rows, relayRow{s.UID, zoneName(f, s.Zone), s.UpToDate, s.Polls, s.Urgent})
		}
	}) {
		reply(w, http.StatusOK, rows)
	}
}

func zoneName(f *controlplane.Fleet, z balancer.Zone) string {
	if zones := f.Site().Zones; int(z) >= 0 && int(z) < len(zones) {
		return zones[z]
	}
	return ""
}

const mostEntries = 500 // of the audit in one answer

type previewCall struct {
	Drain    []balancer.Server `json:"drain"`
	LoseZone bool              `json:"lose-zone"`
}

func decode(w http.ResponseWriter, r *http.Request, v any) ([]byte, bool) {
	b, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		problem(w, http.StatusRequestEntityTooLarge, "over %d bytes", mostBody)
		return nil, false
	}
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err == nil {
		err = d.Decode(v)
	}
	if err == nil && d.More() {
		err = errors.New("more follows")
	}
	if err != nil {
		problem(w, http.StatusBadRequest, "%v", err)
		return nil, false
	}
	return b, true
}

func words(reasons []tablecheck.Finding) []string {
	list := []string{}
	for _, r := range reasons[:min(len(reasons), mostEntries)] {
		list = append(list, r.String())
	}
	return list
}

func (a *API) preview(w http.ResponseWriter, r *http.Request, who call) {
	var c previewCall
	if _, ok := decode(w, r, &c); !ok {
		return
	}
	var reasons []tablecheck.Finding
	if !a.fleet(w, who, func(now float64, f *controlplane.Fleet) { reasons = f.Preview(now, c.Drain, c.LoseZone) }) {
		return
	}
	reply(w, http.StatusOK, map[string]any{"harmless": len(reasons) == 0, "reasons": words(reasons)})
}

type drainCall struct {
	Server   balancer.Server `json:"server"`
	On       bool            `json:"on"`
	Force    bool            `json:"force"` // also where the preview has reasons against it
	LoseZone bool            `json:"lose-zone"`
}

// drain orders one, or its end. It is answered when it is agreed on and durable; what follows is to be followed.
func (a *API) drain(w http.ResponseWriter, r *http.Request, who call) {
	var c drainCall
	body, ok := decode(w, r, &c)
	if !ok {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	var (
		before  idempotency.Response
		known   bool
		err     error
		status  int
		reasons []tablecheck.Finding
		done    = make(chan bool, 1)
	)
	if !a.fleet(w, who, func(now float64, f *controlplane.Fleet) {
		if before, known, err = a.book(who.of).responses.Begin(now, who.Name, key, xxhash.Sum64(body)); err != nil || known {
			status = http.StatusUnprocessableEntity
			if errors.Is(err, idempotency.ErrInProgress) {
				status = http.StatusConflict
			}
			return
		}
		if _, there := f.Registry.Find(c.Server); !there {
			status, err = http.StatusNotFound, fmt.Errorf("no server %q is known", c.Server)
		} else if err = idempotency.CheckVersion(r.Header.Get("If-Match"), version(f)); err != nil {
			status = http.StatusPreconditionFailed
		} else if c.On && !c.Force {
			if reasons = f.Preview(now, []balancer.Server{c.Server}, c.LoseZone); len(reasons) > 0 {
				status, err = http.StatusConflict, fmt.Errorf("it would do harm: %s", strings.Join(words(reasons), "; "))
			}
		}
		if err == nil {
			a.program.Drain(now, who.of, c.Server, c.On, func(ok bool) { done <- ok })
		} else {
			a.book(who.of).responses.End(who.Name, key, idempotency.Response{}, false)
			a.noteDrain(now, who, c, "refused: "+err.Error())
		}
	}) {
		return
	}
	switch {
	case known:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(before.Status)
		_, _ = w.Write(before.Body) // a reader that went away needs no answer
		return
	case err != nil:
		problem(w, status, "%v", err)
		return
	}
	agreed := false
	select {
	case agreed = <-done:
	case <-time.After(agreeWithin):
	}
	var row drainRow
	if agreed {
		row, _ = a.look(who.of, c.Server)
	}
	text, _ := json.Marshal(row) // figures are finite
	a.program.Do(func(now float64) {
		a.book(who.of).responses.End(who.Name, key, idempotency.Response{Status: http.StatusAccepted, Body: text}, agreed)
		a.noteDrain(now, who, c, map[bool]string{true: "agreed", false: "not agreed in time"}[agreed])
	})
	if !agreed {
		w.Header().Set("Retry-After", "1")
		problem(w, http.StatusServiceUnavailable, "it was not agreed on in time; it may still come true: call again with the same key")
		return
	}
	reply(w, http.StatusAccepted, row)
}

func (a *API) noteDrain(now float64, who call, c drainCall, result string) {
	what := "drain"
	if !c.On {
		what = "end of a drain"
	}
	if c.Force {
		what += " by force"
	}
	a.note(now, who, what, string(c.Server), result)
}

// note keeps who changed what, or was refused to.
func (a *API) note(now float64, who call, what, of, result string) {
	a.book(who.of).changes.Record(audit.Entry{At: now, Who: who.Name, What: what, Of: of, Result: result})
	a.say("administration", "tenant", who.of, "who", who.Name, "of-tenant", who.Tenant, "what", what, "of", of, "result", result)
}
