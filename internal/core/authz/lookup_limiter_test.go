package authz

import "testing"

// Lookups of unknown keys are limited to the rate; known callers are not limited.
func TestLookupLimiter(t *testing.T) {
	limiter := LookupLimiter{Rate: 10, Burst: 20}
	limiter.Observe("good", true)
	passed := 0
	rejected := 0
	for i := range 1000 {
		now := 1000 + float64(i)/100
		if _, ok := limiter.Allow(now, "bad"+string(rune(i))); ok {
			passed++
		} else {
			rejected++
		}
		if _, ok := limiter.Allow(now, "good"); !ok {
			t.Fatal("a known caller is rejected")
		}
	}
	if passed < 110 || passed > 125 || rejected == 0 {
		t.Errorf("%d lookups of unknown keys passed in 10 s, want about 120 at 10 per second after a burst of 20", passed)
	}
	limiter.Observe("good", false) // the key was revoked
	for ok := true; ok; _, ok = limiter.Allow(1010, "bad") {
	}
	retryAfter, ok := limiter.Allow(1010, "good")
	if ok || retryAfter <= 0 {
		t.Errorf("a revoked key: retry after %v, allowed %v", retryAfter, ok)
	}
}
