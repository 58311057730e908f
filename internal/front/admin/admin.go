// Package admin is the administration API of a coordinator: look at servers and why orders were given, preview a drain,
// order it, and follow it. Calls are conditional (If-Match), idempotent by key (Idempotency-Key), kept apart by the caller's
// role, shared fairly between callers with a reserve for drains, and audited. api: openapi.json.
package admin

import (
	"crypto/subtle"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"snowquay/choice"
	"snowquay/internal/core/change"
	"snowquay/internal/core/fair"
	"snowquay/internal/core/fleet"
	"snowquay/internal/core/guard"
)

// OpenAPI describes the API.
//
//go:embed openapi.json
var OpenAPI []byte

// Program is a coordinator.
type Program interface {
	// Do calls f between two of the coordinator's steps, and returns when it has run.
	Do(f func(now float64, fl *fleet.Fleet))
	// Drain orders a drain or its end; done is called once, when it is agreed on and durable, or refused.
	Drain(now float64, s choice.Server, on bool, done func(ok bool))
}

// Caller is whoever has a key.
type Caller struct {
	Name string
	Key  string
	Role change.Role
}

const (
	mostBody    = 1 << 20 // bytes of a call
	agreeWithin = 15 * time.Second
	longestWait = 30 * time.Second
	lookEvery   = 50 * time.Millisecond // while a drain is followed
	costLook    = 1.0                   // units of a call
	costPreview = 20.0
	costDrain   = 5.0
)

// terms of calls: a hundred cheap ones a second, five previews.
var terms = fair.Terms{Rate: 100, Burst: 200, Own: 2, Reserve: 0.2, Tenants: 1024, Lately: 0.1}

// API serves the calls. Use New.
type API struct {
	program Program
	callers []Caller
	shares  *fair.Shares // as all below only touched within Program.Do
	book    change.Book
	say     func(string, ...any)
	http.ServeMux
}

// New makes the API for callers. orders answers why the latest orders were given.
func New(now float64, program Program, callers []Caller, orders http.HandlerFunc, say func(string, ...any)) (*API, error) {
	a := &API{program: program, callers: callers, shares: fair.New(now, terms), say: say}
	for _, c := range callers {
		if err := a.shares.Set(now, fair.Tenant(c.Name), fair.Group(fmt.Sprint(c.Role)), 1); err != nil {
			return nil, err
		}
	}
	a.HandleFunc("GET /v1/servers", a.with(change.Viewer, costLook, false, a.servers))
	a.HandleFunc("GET /v1/drains/{server}", a.with(change.Viewer, costLook, false, a.follow))
	a.HandleFunc("GET /v1/orders", a.with(change.Viewer, costLook, false, func(w http.ResponseWriter, r *http.Request, _ Caller) { orders(w, r) }))
	a.HandleFunc("GET /v1/audit", a.with(change.Staff, costLook, false, a.audit))
	a.HandleFunc("POST /v1/preview", a.with(change.Viewer, costPreview, false, a.preview))
	a.HandleFunc("POST /v1/drains", a.with(change.Staff, costDrain, true, a.drain))
	a.HandleFunc("GET /openapi.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(OpenAPI) // a reader that went away needs no answer
	})
	return a, nil
}

// problem answers with a problem document (RFC 9457).
func problem(w http.ResponseWriter, status int, format string, args ...any) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"type": "about:blank", "title": http.StatusText(status), "status": status,
		"detail": fmt.Sprintf(format, args...)}) // a reader that went away needs no answer
}

// caller is who has the key of a request. All keys are looked at, each in the same time.
func (a *API) caller(r *http.Request) (c Caller, ok bool) {
	given, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	for _, x := range a.callers {
		if subtle.ConstantTimeCompare([]byte(x.Key), []byte(given)) == 1 && bearer {
			c, ok = x, true
		}
	}
	return c, ok
}

// with lets a call in: known, allowed, within its share.
func (a *API) with(needs change.Role, cost float64, urgent bool, do func(http.ResponseWriter, *http.Request, Caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := a.caller(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			problem(w, http.StatusUnauthorized, "no key of this API")
			return
		}
		if err := change.May(c.Role, needs); err != nil {
			problem(w, http.StatusForbidden, "%v", err)
			return
		}
		after, in := 0.0, false
		a.program.Do(func(now float64, _ *fleet.Fleet) {
			after, in, _ = a.shares.Take(now, fair.Tenant(c.Name), cost, urgent) // callers are known from the start
		})
		if !in {
			w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after))))
			problem(w, http.StatusTooManyRequests, "your share of calls is used up; come back in %.2f s", after)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, mostBody)
		do(w, r, c)
	}
}

func reply(w http.ResponseWriter, status int, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil { // figures are finite
		problem(w, http.StatusInternalServerError, "%v", err)
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // a reader that went away needs no answer
	return b
}

var phases = map[choice.Phase]string{choice.InService: "in service", choice.Terminating: "drains", choice.Gone: "gone"}

type serverRow struct {
	Server  choice.Server `json:"server"`
	Phase   string        `json:"phase"`
	Zone    string        `json:"zone"`
	Pod     choice.Pod    `json:"pod"`
	Started float64       `json:"started"`
	Cold    bool          `json:"cold"`
}

func version(f *fleet.Fleet) string { return fmt.Sprintf("%q", strconv.Itoa(f.Roll.Version())) }

func (a *API) servers(w http.ResponseWriter, _ *http.Request, _ Caller) {
	rows, tag := []serverRow{}, ""
	a.program.Do(func(now float64, f *fleet.Fleet) {
		tag = version(f)
		for _, name := range f.Roll.Servers() {
			rec, _ := f.Roll.Find(name)
			row := serverRow{Server: name, Phase: phases[rec.Phase], Pod: rec.Pod, Started: rec.Started,
				Cold: f.Roll.Cold(now, name, f.Site().Guarantees.ColdFor)}
			if z := int(rec.Zone); z >= 0 && z < len(f.Site().Zones) {
				row.Zone = f.Site().Zones[z]
			}
			rows = append(rows, row)
		}
	})
	w.Header().Set("ETag", tag)
	reply(w, http.StatusOK, rows)
}

type drainRow struct {
	Server  choice.Server `json:"server"`
	Phase   string        `json:"phase"`
	Told    float64       `json:"told,omitempty"`
	Proxies int           `json:"proxies"`
	Without int           `json:"proxies-without"` // of them, known to hold no line to it
	Waiting []string      `json:"waiting,omitempty"`
	Done    bool          `json:"done"` // none of this coordinator's proxies sends to it any more
}

func (a *API) look(s choice.Server) (row drainRow, ok bool) {
	a.program.Do(func(_ float64, f *fleet.Fleet) {
		var d fleet.Draining
		if d, ok = f.Drain(s); ok {
			row = drainRow{s, phases[d.Phase], d.Told, d.Joined, d.Holding, d.Waiting, d.Phase != choice.InService && d.Holding == d.Joined}
		}
	})
	return row, ok
}

// follow tells how far a drain has got; with wait it answers when it is done or that time is over.
func (a *API) follow(w http.ResponseWriter, r *http.Request, _ Caller) {
	wait, err := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	if r.URL.Query().Get("wait") != "" && (err != nil || !(wait >= 0)) {
		problem(w, http.StatusBadRequest, "wait=%.40q is no time", r.URL.Query().Get("wait"))
		return
	}
	s := choice.Server(r.PathValue("server"))
	for end := time.Now().Add(min(time.Duration(wait*float64(time.Second)), longestWait)); ; time.Sleep(lookEvery) {
		row, ok := a.look(s)
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

func (a *API) audit(w http.ResponseWriter, _ *http.Request, _ Caller) {
	var entries []change.Entry
	a.program.Do(func(float64, *fleet.Fleet) { entries = a.book.Audit(mostEntries) })
	reply(w, http.StatusOK, entries)
}

const mostEntries = 500 // of the audit in one answer

type previewCall struct {
	Drain    []choice.Server `json:"drain"`
	LoseZone bool            `json:"lose-zone"`
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

func words(reasons []guard.Reason) []string {
	list := []string{}
	for _, r := range reasons[:min(len(reasons), mostEntries)] {
		list = append(list, r.String())
	}
	return list
}

func (a *API) preview(w http.ResponseWriter, r *http.Request, _ Caller) {
	var c previewCall
	if _, ok := decode(w, r, &c); !ok {
		return
	}
	var reasons []guard.Reason
	a.program.Do(func(now float64, f *fleet.Fleet) { reasons = f.Preview(now, c.Drain, c.LoseZone) })
	reply(w, http.StatusOK, map[string]any{"harmless": len(reasons) == 0, "reasons": words(reasons)})
}

type drainCall struct {
	Server   choice.Server `json:"server"`
	On       bool          `json:"on"`
	Force    bool          `json:"force"` // also where the preview has reasons against it
	LoseZone bool          `json:"lose-zone"`
}

// drain orders one, or its end. It is answered when it is agreed on and durable; what follows is to be followed.
func (a *API) drain(w http.ResponseWriter, r *http.Request, who Caller) {
	var c drainCall
	body, ok := decode(w, r, &c)
	if !ok {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	var (
		before  change.Answer
		known   bool
		err     error
		status  int
		reasons []guard.Reason
		done    = make(chan bool, 1)
	)
	a.program.Do(func(now float64, f *fleet.Fleet) {
		if before, known, err = a.book.Begin(now, who.Name, key, xxhash.Sum64(body)); err != nil || known {
			status = http.StatusUnprocessableEntity
			if errors.Is(err, change.ErrBusy) {
				status = http.StatusConflict
			}
			return
		}
		if _, there := f.Roll.Find(c.Server); !there {
			status, err = http.StatusNotFound, fmt.Errorf("no server %q is known", c.Server)
		} else if err = change.Match(r.Header.Get("If-Match"), version(f)); err != nil {
			status = http.StatusPreconditionFailed
		} else if c.On && !c.Force {
			if reasons = f.Preview(now, []choice.Server{c.Server}, c.LoseZone); len(reasons) > 0 {
				status, err = http.StatusConflict, fmt.Errorf("it would do harm: %s", strings.Join(words(reasons), "; "))
			}
		}
		if err == nil {
			a.program.Drain(now, c.Server, c.On, func(ok bool) { done <- ok })
		} else {
			a.book.End(who.Name, key, change.Answer{}, false)
			a.note(now, who, c, "refused: "+err.Error())
		}
	})
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
		row, _ = a.look(c.Server)
	}
	text, _ := json.Marshal(row) // figures are finite
	a.program.Do(func(now float64, _ *fleet.Fleet) {
		a.book.End(who.Name, key, change.Answer{Status: http.StatusAccepted, Body: text}, agreed)
		a.note(now, who, c, map[bool]string{true: "agreed", false: "not agreed in time"}[agreed])
	})
	if !agreed {
		w.Header().Set("Retry-After", "1")
		problem(w, http.StatusServiceUnavailable, "it was not agreed on in time; it may still come true: call again with the same key")
		return
	}
	reply(w, http.StatusAccepted, row)
}

func (a *API) note(now float64, who Caller, c drainCall, result string) {
	what := "drain"
	if !c.On {
		what = "end of a drain"
	}
	if c.Force {
		what += " by force"
	}
	a.book.Note(change.Entry{At: now, Who: who.Name, What: what, Of: string(c.Server), Result: result})
	a.say("administration", "who", who.Name, "what", what, "of", c.Server, "result", result)
}
