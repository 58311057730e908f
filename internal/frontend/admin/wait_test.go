package admin

import (
	"testing"
	"time"
)

// Waits longer than maxFollowWait are shortened to it, and texts that are not a valid time are rejected.
func TestFollowWait(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"":      0,
		"0":     0,
		"1.5":   1500 * time.Millisecond,
		"31":    maxFollowWait,
		"1e300": maxFollowWait,
		"Inf":   maxFollowWait,
	} {
		if got, ok := followWait(text); !ok || got != want {
			t.Errorf("wait=%s: got %v (valid: %t), want %v", text, got, ok, want)
		}
	}
	for _, text := range []string{"-1", "NaN", "-Inf", "soon"} {
		if got, ok := followWait(text); ok {
			t.Errorf("wait=%s: got %v, want it rejected", text, got)
		}
	}
}
