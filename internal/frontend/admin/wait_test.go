package admin

import (
	"testing"
	"time"
)

// A wait of any length is shortened to the longest one; what is no time is rejected.
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
			t.Errorf("wait=%s is %v (%t), want %v", text, got, ok, want)
		}
	}
	for _, text := range []string{"-1", "NaN", "-Inf", "soon"} {
		if got, ok := followWait(text); ok {
			t.Errorf("wait=%s is %v", text, got)
		}
	}
}
