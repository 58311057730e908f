package admin

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"snowquay/internal/core/authz"
	"snowquay/internal/core/fairshare"
	"snowquay/internal/core/tenancy"
)

// access is what a kind of call requires.
type access struct {
	role   authz.Role
	cost   float64 // units of the caller's share
	urgent bool    // the call may use the reserve
}

// call is a call that was authorized.
type call struct {
	caller authz.Principal
	tenant tenancy.Name // the tenant that the call is about; empty: none, or the coordinator's only one
}

// handler answers an authorized call.
type handler func(http.ResponseWriter, *http.Request, call)

// admission is the result of the checks that precede a call.
type admission struct {
	caller     authz.Principal
	known      bool    // the credential is that of caller
	err        error   // why the call is forbidden, or fairshare.ErrTooManyTenants
	withinRate bool    // the caller's share allows the call now
	retryAfter float64 // seconds until it does
}

// authorized returns a handler that passes on the calls whose callers are known, have access, and are within their share.
func (a *API) authorized(required access, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		credential, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		retryAfter, ok := a.allowLookup(credential)
		if !ok {
			setRetryAfter(w, retryAfter)
			writeProblem(w, http.StatusTooManyRequests, "too many callers whom nobody knows; come back in %.2f s", retryAfter)
			return
		}
		tenant := tenancy.Name(r.PathValue("tenant"))
		var result admission
		a.program.Do(func(now float64) {
			if bearer {
				result = a.admit(now, credential, tenant, required)
			}
		})
		a.observeLookup(credential, result.known)
		if !result.known || result.err != nil || !result.withinRate {
			writeRejection(w, result)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next(w, r, call{caller: result.caller, tenant: tenant})
	}
}

// admit identifies a caller, checks its access to a tenant and takes the cost of the call from its share.
func (a *API) admit(now float64, credential string, tenant tenancy.Name, required access) admission {
	caller, known := a.program.Identify(credential)
	if !known {
		return admission{}
	}
	result := admission{caller: caller, known: true}
	result.err = authz.Authorize(caller, authz.Action{Role: required.role, Tenant: tenant})
	if result.err != nil {
		return result
	}
	name := shareName(caller)
	result.err = a.shares.Set(now, name, fairshare.Group(caller.Tenant), 1)
	if result.err != nil {
		return result
	}
	result.retryAfter, result.withinRate, result.err = a.shares.Take(now, name, required.cost, required.urgent)
	return result
}

// shareName names the share of a caller within the share of its tenant.
func shareName(caller authz.Principal) fairshare.Tenant {
	return fairshare.Tenant(string(caller.Tenant) + "/" + caller.Name)
}

// writeRejection answers a call that was not admitted.
func writeRejection(w http.ResponseWriter, result admission) {
	switch {
	case !result.known:
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeProblem(w, http.StatusUnauthorized, "no key of this API")
	case errors.Is(result.err, fairshare.ErrTooManyTenants):
		writeProblem(w, http.StatusServiceUnavailable, "%v", result.err)
	case result.err != nil:
		writeProblem(w, http.StatusForbidden, "%v", result.err)
	default:
		setRetryAfter(w, result.retryAfter)
		writeProblem(w, http.StatusTooManyRequests, "your share of calls is used up; come back in %.2f s", result.retryAfter)
	}
}

func setRetryAfter(w http.ResponseWriter, seconds float64) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(seconds))))
}

// allowLookup reports whether a credential may be looked up now, and otherwise in how many seconds.
func (a *API) allowLookup(credential string) (retryAfter float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := 1 + time.Since(a.startedAt).Seconds() // the limiter takes times above 0
	return a.lookups.Allow(now, credential)
}

// observeLookup records whether a credential was known.
func (a *API) observeLookup(credential string, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lookups.Observe(credential, known)
}
