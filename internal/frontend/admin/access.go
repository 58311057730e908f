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

// access describes the requirements of a kind of call.
type access struct {
	role   authz.Role
	cost   float64 // units that the call takes from the caller's share
	urgent bool    // the call may also use the reserve
}

// call is an authorized call.
type call struct {
	caller authz.Principal
	tenant tenancy.Name // tenant to which the call applies; empty: none, or the only tenant of a coordinator
}

// handler handles an authorized call.
type handler func(http.ResponseWriter, *http.Request, call)

// admission is the result of the checks before a call is handled.
type admission struct {
	caller     authz.Principal
	known      bool    // the credential identifies caller
	err        error   // reason why the call is forbidden, or fairshare.ErrTooManyTenants
	withinRate bool    // the call is within the caller's share
	retryAfter float64 // seconds after which it will be; 0: it is now
}

// authorized returns a handler that passes a call to next if its caller is known, has access and is within its share.
func (a *API) authorized(required access, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		credential, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		retryAfter, ok := a.allowLookup(credential)
		if !ok {
			setRetryAfter(w, retryAfter)
			writeProblem(w, http.StatusTooManyRequests, "too many calls with unknown credentials; retry in %.2f s", retryAfter)
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
		body := a.bodies.limit(w, r)
		defer body.release()
		next(w, r, call{caller: result.caller, tenant: tenant})
	}
}

// admit identifies the caller by its credential, checks its access to a tenant and takes the cost of the call from its share.
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

// shareName returns the name of a caller's share, which is part of the share of its tenant.
func shareName(caller authz.Principal) fairshare.Tenant {
	return fairshare.Tenant(string(caller.Tenant) + "/" + caller.Name)
}

// writeRejection writes the response to a call that was not admitted.
func writeRejection(w http.ResponseWriter, result admission) {
	switch {
	case !result.known:
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeProblem(w, http.StatusUnauthorized, "the credential is missing or not valid for this API")
	case errors.Is(result.err, fairshare.ErrTooManyTenants):
		writeProblem(w, http.StatusServiceUnavailable, "%v", result.err)
	case result.err != nil:
		writeProblem(w, http.StatusForbidden, "%v", result.err)
	default:
		setRetryAfter(w, result.retryAfter)
		writeProblem(w, http.StatusTooManyRequests, "the caller's share of calls is used up; retry in %.2f s", result.retryAfter)
	}
}

func setRetryAfter(w http.ResponseWriter, seconds float64) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(seconds))))
}

// allowLookup reports whether a credential may be looked up now; otherwise retryAfter is the number of seconds after which it may.
func (a *API) allowLookup(credential string) (retryAfter float64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := 1 + time.Since(a.startedAt).Seconds() // the limiter requires times above 0
	return a.lookups.Allow(now, credential)
}

// observeLookup records the result of the lookup of a credential.
func (a *API) observeLookup(credential string, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lookups.Observe(credential, known)
}
