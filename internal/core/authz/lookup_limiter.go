package authz

const (
	maxKnownCredentials = 8192 // when there are more, all are looked up anew
	minRate             = 1e-3 // lookups a second, for the wait until the next one
)

// LookupLimiter is a token bucket for credentials that are not known yet: looking one up takes a turn of the event loop that all tenants
// share. Credentials that were known lately always pass. Guards against a flood of calls with unknown keys; it does harm to callers who
// come for the first time during such a flood, and have to retry. The zero value lets only known credentials pass. It is not safe for
// concurrent use.
type LookupLimiter struct {
	Rate  float64 // unknown credentials a second
	Burst float64 // unknown credentials at once

	known     map[digest]bool
	tokens    float64
	updatedAt float64 // seconds; 0: never
}

// Allow tells whether a credential may be looked up at now, in seconds and above 0. If not, retryAfter is the number of seconds to wait.
func (l *LookupLimiter) Allow(now float64, credential string) (retryAfter float64, ok bool) {
	if l.known[digestOf(credential)] {
		return 0, true
	}
	if l.updatedAt == 0 {
		l.tokens = l.Burst
	} else {
		l.tokens = min(l.Burst, l.tokens+max(0, now-l.updatedAt)*l.Rate)
	}
	l.updatedAt = max(now, l.updatedAt)
	if l.tokens < 1 {
		return (1 - l.tokens) / max(l.Rate, minRate), false
	}
	l.tokens--
	return 0, true
}

// Observe takes the result of a lookup.
func (l *LookupLimiter) Observe(credential string, known bool) {
	key := digestOf(credential)
	if !known {
		delete(l.known, key)
		return
	}
	if l.known == nil || len(l.known) >= maxKnownCredentials {
		l.known = map[digest]bool{}
	}
	l.known[key] = true
}
