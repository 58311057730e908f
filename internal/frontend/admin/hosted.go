package admin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/fairshare"
	"snowquay/internal/core/tenancy"
)

// TenantHost is a host of many tenants, as the API sees it. All is called within Program.Do.
type TenantHost interface {
	Program
	// TenantRows are the tenants that there are, by name.
	TenantRows() []TenantRow
	TenantRow(tenancy.Name) (row TenantRow, ok bool)
	// Settings of a tenant, with no keys in them.
	Settings(tenancy.Name) ([]byte, error)
	// Merge puts the tenant's keys into settings that leave them out.
	Merge(of tenancy.Name, settings []byte) ([]byte, error)
	// Edit makes other settings of a tenant's by a change of one server. An error says what makes no sense.
	Edit(of tenancy.Name, edit []byte) ([]byte, error)
	// PreviewSettings looks at settings of a tenant without taking them.
	PreviewSettings(now float64, t tenancy.Tenant) (SettingsPreview, error)
	// ChangeTenant changes the directory. done is called once, when it is durable and in force, or refused.
	ChangeTenant(now float64, c tenancy.Command, done func(tenancy.Outcome, error))
}

// TenantRow tells of a tenant.
type TenantRow struct {
	Name          tenancy.Name         `json:"name"`
	Incarnation   tenancy.Incarnation  `json:"incarnation"`
	Version       tenancy.Version      `json:"version"`
	Weight        float64              `json:"weight"`
	Requirements  tenancy.Requirements `json:"needs"`
	Running       bool                 `json:"runs"`
	Error         string               `json:"wrong,omitempty"` // why it does not, or goes on by former settings
	Servers       int                  `json:"servers"`
	Relays        int                  `json:"relays"`  // that are joined
	UpToDate      int                  `json:"newest"`  // of them, known to hold the newest tables
	CPUSeconds    float64              `json:"work"`    // seconds of a core that it was reckoned at
	LongestWait   float64              `json:"longest"` // seconds that it was due and waited for its turn
	QueuedEntries float64              `json:"waiting"` // lines in its channel
}

// SettingsPreview is what would follow from settings.
type SettingsPreview struct {
	Weight        float64               `json:"weight"`
	Requirements  tenancy.Requirements  `json:"needs"`
	RestartReason string                `json:"starts-anew-for,omitempty"` // what can't be changed while it runs
	Added         int                   `json:"servers-added"`
	Removed       []string              `json:"servers-removed,omitempty"`
	RelaysEvicted int                   `json:"relays-sent-away"`
	Reasons       []string              `json:"reasons,omitempty"` // why it would do harm
	Revision      controlplane.Revision `json:"-"`
}

const (
	costTenant = 10.0 // units of a call that changes a tenant
	costList   = 5.0
)

// NewHosted makes the API of a host of many tenants.
func NewHosted(now float64, hosted TenantHost, say func(string, ...any)) *API {
	a := newAPI(now, hosted, hostedTerms, say)
	a.hosted = hosted
	a.tenant("/v1/tenants/{tenant}")
	a.HandleFunc("GET /v1/tenants", a.with(authz.RoleViewer, costList, false, a.list))
	a.HandleFunc("GET /v1/audit", a.with(authz.RoleStaff, costLook, false, a.audit))
	a.HandleFunc("GET /v1/tenants/{tenant}", a.with(authz.RoleViewer, costLook, false, a.show))
	a.HandleFunc("GET /v1/tenants/{tenant}/settings", a.with(authz.RoleStaff, costLook, false, a.settings))
	a.HandleFunc("PUT /v1/tenants/{tenant}", a.with(authz.RoleStaff, costTenant, false, a.put))
	a.HandleFunc("POST /v1/tenants/{tenant}/servers", a.with(authz.RoleStaff, costTenant, false, a.edit))
	a.HandleFunc("DELETE /v1/tenants/{tenant}", a.with(authz.RoleHost, costTenant, false, a.remove))
	return a
}

// gone lets go of what is kept of a tenant's callers, once it is removed.
func (a *API) gone(of tenancy.Name) {
	delete(a.books, of)
	a.shares.RemoveGroup(fairshare.Group(of))
}

// list tells the host of all tenants.
func (a *API) list(w http.ResponseWriter, _ *http.Request, _ call) {
	var rows []TenantRow
	a.program.Do(func(float64) { rows = a.hosted.TenantRows() })
	reply(w, http.StatusOK, rows)
}

func tag(v tenancy.Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func (a *API) show(w http.ResponseWriter, _ *http.Request, c call) {
	var row TenantRow
	ok := false
	a.program.Do(func(float64) { row, ok = a.hosted.TenantRow(c.of) })
	if !ok {
		problem(w, http.StatusNotFound, "there is no tenant %q", c.of)
		return
	}
	w.Header().Set("ETag", tag(row.Version))
	reply(w, http.StatusOK, row)
}

func (a *API) settings(w http.ResponseWriter, _ *http.Request, c call) {
	var row TenantRow
	var text []byte
	ok := false
	var err error
	a.program.Do(func(float64) {
		if row, ok = a.hosted.TenantRow(c.of); ok {
			text, err = a.hosted.Settings(c.of)
		}
	})
	if !ok || err != nil {
		problem(w, http.StatusNotFound, "there is no tenant %q", c.of)
		return
	}
	w.Header().Set("ETag", tag(row.Version))
	w.Header().Set("Content-Type", "application/xml")
	_, _ = w.Write(text) // a reader that went away needs no answer
}

// condition reads If-Match and If-None-Match (RFC 9110, section 13.1).
func condition(r *http.Request) (must tenancy.Version, none bool, err error) {
	if v := r.Header.Get("If-None-Match"); v != "" && v != "*" {
		return 0, false, errors.New("If-None-Match: only * is understood")
	} else if v == "*" {
		none = true
	}
	if v := r.Header.Get("If-Match"); v != "" && v != "*" {
		text, err := strconv.Unquote(v)
		if err != nil {
			return 0, false, errors.New("If-Match: no ETag")
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || n == 0 {
			return 0, false, errors.New("If-Match: no version of a tenant")
		}
		must = tenancy.Version(n)
	}
	return must, none, nil
}

// id of a call by its caller and key; 0: it has none, and counts each time that it comes.
func id(r *http.Request, who call) uint64 {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(string(who.Tenant)+"\x00"+who.Name+"\x00"+key), 1)
}

// fingerprint is what a call asks for, so that its key can't be used for another one.
func fingerprint(r *http.Request, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.URL.Path, r.URL.RawQuery, r.Header.Get("If-Match"), r.Header.Get("If-None-Match")} {
		_, _ = d.WriteString(s + "\x00")
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// put makes a tenant, or changes its settings.
func (a *API) put(w http.ResponseWriter, r *http.Request, who call) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		problem(w, http.StatusRequestEntityTooLarge, "%v", err)
		return
	}
	a.change(w, r, who, text, func(float64) ([]byte, error) { return a.hosted.Merge(who.of, text) })
}

// edit changes one server in a tenant's settings.
func (a *API) edit(w http.ResponseWriter, r *http.Request, who call) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		problem(w, http.StatusRequestEntityTooLarge, "%v", err)
		return
	}
	a.change(w, r, who, text, func(float64) ([]byte, error) { return a.hosted.Edit(who.of, text) })
}

// decided is how a change of a tenant ended.
type decided struct {
	status  int
	err     error
	seen    SettingsPreview
	outcome tenancy.Outcome
	made    bool
}

// change takes other settings of a tenant, made of those that it has, if they are sound and do no harm.
func (a *API) change(w http.ResponseWriter, r *http.Request, who call, body []byte, build func(now float64) ([]byte, error)) {
	must, none, err := condition(r)
	if err != nil {
		problem(w, http.StatusBadRequest, "%v", err)
		return
	}
	q := r.URL.Query()
	dry, force := q.Get("dry-run") == "true", q.Get("force") == "true"
	end := a.ordered(func(now float64, done func(decided)) {
		row, there := a.hosted.TenantRow(who.of)
		c := tenancy.Command{Kind: tenancy.Change, Name: who.of, IfVersion: must, ID: id(r, who), Fingerprint: fingerprint(r, body), Time: now}
		switch {
		case !there && authz.Authorize(who.Principal, authz.Action{Role: authz.RoleHost}) != nil:
			done(decided{status: http.StatusForbidden, err: errors.New("only the host may make tenants")})
			return
		case !there && must != 0:
			done(decided{status: http.StatusPreconditionFailed, err: tenancy.ErrUnknown})
			return
		case !there:
			c.Kind = tenancy.Create
		case none && c.ID == 0:
			done(decided{status: http.StatusPreconditionFailed, err: tenancy.ErrExists})
			return
		case none:
			c.Kind = tenancy.Create // it may be the call whose answer was lost
		}
		d := decided{status: http.StatusBadRequest, made: c.Kind == tenancy.Create}
		if c.Settings, d.err = build(now); d.err == nil {
			d.seen, d.err = a.hosted.PreviewSettings(now, tenancy.Tenant{Name: who.of, Settings: c.Settings})
		}
		if d.err != nil {
			if errors.Is(d.err, tenancy.ErrUnknown) {
				d.status = http.StatusNotFound
			}
			done(d)
			return
		}
		c.Weight, c.Requirements = d.seen.Weight, d.seen.Requirements
		if c.Kind == tenancy.Change && who.Role < authz.RoleHost {
			// What a tenant may take is the host's to say: its staff may ask for less, not for more.
			if err := c.Requirements.CheckWithin(row.Requirements); err != nil || c.Weight > row.Weight {
				done(decided{status: http.StatusForbidden, seen: d.seen, err: fmt.Errorf("only the host may raise what a tenant takes: weight %g to %g; %w",
					row.Weight, c.Weight, err)})
				return
			}
		}
		if len(d.seen.Reasons) > 0 && !force && !dry {
			done(decided{status: http.StatusConflict, seen: d.seen, err: fmt.Errorf("it would do harm: %s", strings.Join(d.seen.Reasons, "; "))})
			return
		}
		if dry {
			d.status = http.StatusOK
			done(d)
			return
		}
		a.order(now, c, d, done)
	})
	what := "settings"
	if end.made {
		what = "new tenant"
	}
	if dry && end.err == nil {
		reply(w, http.StatusOK, end.seen)
		return
	}
	a.end(w, who, what, end)
}

// remove takes a tenant away. Its relays go on by the tables that they hold, so it is refused while some are joined.
func (a *API) remove(w http.ResponseWriter, r *http.Request, who call) {
	must, _, err := condition(r)
	if err != nil {
		problem(w, http.StatusBadRequest, "%v", err)
		return
	}
	force := r.URL.Query().Get("force") == "true"
	end := a.ordered(func(now float64, done func(decided)) {
		row, there := a.hosted.TenantRow(who.of)
		if there && row.Relays > 0 && !force {
			done(decided{status: http.StatusConflict, err: fmt.Errorf("%d relays are joined, and would go on by the tables that they hold: force=true", row.Relays)})
			return
		}
		a.order(now, tenancy.Command{Kind: tenancy.Remove, Name: who.of, IfVersion: must, ID: id(r, who), Fingerprint: fingerprint(r, nil), Time: now}, decided{}, func(d decided) {
			if d.err == nil {
				a.gone(who.of)
			}
			done(d)
		})
	})
	a.end(w, who, "end of the tenant", end)
}

// ordered calls f within the program and waits until it says how it ended, at most for as long as agreement may take.
func (a *API) ordered(f func(now float64, done func(decided))) decided {
	ended := make(chan decided, 1)
	a.program.Do(func(now float64) { f(now, func(d decided) { ended <- d }) })
	select {
	case d := <-ended:
		return d
	case <-time.After(agreeWithin):
		return decided{status: http.StatusServiceUnavailable, err: errors.New("it was not agreed on in time; it may still come true: call again with the same key")}
	}
}

var statuses = []struct {
	err    error
	status int
}{{tenancy.ErrUnknown, http.StatusNotFound}, {tenancy.ErrExists, http.StatusPreconditionFailed}, {tenancy.ErrVersionMismatch, http.StatusPreconditionFailed},
	{tenancy.ErrNameQuarantined, http.StatusConflict}, {tenancy.ErrKeyReused, http.StatusUnprocessableEntity}, {tenancy.ErrNoCapacity, http.StatusInsufficientStorage},
	{tenancy.ErrInvalidCommand, http.StatusBadRequest}}

func (a *API) order(now float64, c tenancy.Command, d decided, done func(decided)) {
	a.hosted.ChangeTenant(now, c, func(o tenancy.Outcome, err error) {
		if d.outcome, d.err = o, errors.Join(err, o.Err()); d.err == nil {
			d.status = http.StatusOK
			if c.Kind == tenancy.Create {
				d.status = http.StatusCreated
			}
			done(d)
			return
		}
		d.status = http.StatusServiceUnavailable
		for _, s := range statuses {
			if errors.Is(d.err, s.err) {
				d.status = s.status
			}
		}
		done(d)
	})
}

// end answers a change, and keeps who made it.
func (a *API) end(w http.ResponseWriter, who call, what string, d decided) {
	result := "done"
	if d.err != nil {
		result = "refused: " + d.err.Error()
	}
	a.program.Do(func(now float64) {
		host := who
		host.of = "" // the host's own book outlives the tenant
		a.note(now, host, what, string(who.of), result)
	})
	if d.err != nil {
		if d.status == http.StatusServiceUnavailable || d.status == http.StatusConflict && errors.Is(d.err, tenancy.ErrNameQuarantined) {
			w.Header().Set("Retry-After", "1")
		}
		problem(w, d.status, "%v", d.err)
		return
	}
	w.Header().Set("ETag", tag(d.outcome.Version))
	reply(w, d.status, map[string]any{"tenant": who.of, "version": d.outcome.Version, "incarnation": d.outcome.Incarnation})
}
