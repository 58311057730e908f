package authz

import "crypto/sha256"

// LookupLimiter lets those in at once who were known lately, and others no faster than a rate: what is behind it, finding out who somebody is,
// takes a turn of the event loop that all tenants share. Guards against a flood of calls with keys of nobody; it does harm to callers
// who come for the first time amid such a flood: they are told to come back. The zero value lets nobody in but those that are known.
type LookupLimiter struct {
	Rate   float64 // unknown credentials a second
	Burst  float64 // at once
	known  map[digest]bool
	tokens float64
	at     float64
}

const mostKnown = 8192 // credentials that are remembered; more, and all are found out anew

// Allow tells whether a credential may be looked up now; else after is when to come back, in seconds.
func (g *LookupLimiter) Allow(now float64, credential string) (after float64, ok bool) {
	if g.known[sha256.Sum256([]byte(credential))] {
		return 0, true
	}
	if g.at == 0 {
		g.tokens = g.Burst
	} else {
		g.tokens = min(g.Burst, g.tokens+max(0, now-g.at)*g.Rate)
	}
	if g.at = max(now, g.at); g.tokens < 1 {
		return (1 - g.tokens) / max(g.Rate, 1e-3), false
	}
	g.tokens--
	return 0, true
}

// Observe says whether a credential turned out to be somebody's.
func (g *LookupLimiter) Observe(credential string, known bool) {
	d := digest(sha256.Sum256([]byte(credential)))
	if !known {
		delete(g.known, d)
		return
	}
	if g.known == nil || len(g.known) >= mostKnown {
		g.known = map[digest]bool{}
	}
	g.known[d] = true
}
