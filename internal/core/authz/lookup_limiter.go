package authz

const (
	maxKnownCredentials = 8192 // cached credentials; when the cache is full it is cleared, and all are looked up again
	minRate             = 1e-3 // lookups per second; lower bound of the rate from which the retry delay is computed
)

// LookupLimiter limits the rate of lookups of unknown credentials by a token bucket, since each lookup takes a turn of the event loop
// that all tenants share. Credentials that were recently found to be known always pass. The limiter protects the loop from a flood of
// calls with unknown keys. The cost is that callers who make their first call during such a flood are rejected and have to retry. The
// zero value lets only known credentials pass. It is not safe for concurrent use.
type LookupLimiter struct {
	Rate  float64 // lookups of unknown credentials per second, on average
	Burst float64 // lookups of unknown credentials that may come at once

	known     map[digest]bool
	tokens    float64
	updatedAt float64 // time of the last token refill, in seconds; 0 if there was none
}

// Allow reports whether a credential may be looked up at the time now, which is in seconds and above 0. If not, retryAfter is the number
// of seconds to wait.
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

// Observe records the result of a lookup: whether the credential is known.
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
