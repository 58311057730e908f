package balancer

import (
	"math"
	"testing"
)

func TestGainSolvesTheRiccatiEquation(t *testing.T) {
	for _, ratio := range []float64{0.01, 0.1, 1, 10} {
		k := gain(ratio)
		s := k / (1 - k) // with r = 1
		if math.Abs(s-(ratio+s-s*s/(1+s))) > 1e-9 {
			t.Errorf("gain(%v) = %v does not solve the equation", ratio, k)
		}
	}
}

func TestSlowServerGetsSmallerShare(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.runSeconds(30, 100, healthyExcept(serverName(2), withLatency(0.75)))
	if got := h.share(serverName(2)); got > 0.08 || got == 0 {
		t.Errorf("server that is three times slower has a share of %.3f, want about 1/16, at most 0.08 and not 0", got)
	}
}

// Guards against a failing server that attracts traffic: immediate errors cause no work in process, and a few
// fast successful responses cause little, so the server seems to be idle.
func TestFastErrorsDoNotAttractTraffic(t *testing.T) {
	bad := serverName(2)
	for name, respond := range map[string]responder{"all fail": failing, "most fail": partlyFailing(0.8, 0.02)} {
		t.Run(name, func(t *testing.T) {
			h := startSettled(t, defaultSite(), 6)
			h.runSeconds(15, 100, healthyExcept(bad, respond))
			for range 20 {
				h.runSeconds(1, 100, healthyExcept(bad, respond))
				if h.share(bad) > 0.02 {
					t.Fatalf("server that fails most attempts has a share of %.3f, want at most 0.02", h.share(bad))
				}
			}
			h.runSeconds(40, 100, healthy)
			if h.share(bad) < 0.1 {
				t.Errorf("recovered server has a share of %.3f, want about 1/6, at least 0.1", h.share(bad))
			}
		})
	}
}

// Guards against leaving a recovered server idle until its failures have left the averages.
func TestRecoveredServerIsAssessedByRecentAttempts(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.runSeconds(12, 100, healthyExcept(serverName(2), failing))
	h.runSeconds(12, 100, healthy)
	if got := h.share(serverName(2)); got < 0.08 {
		t.Errorf("12 s after its outage the server has a share of %.3f, want about half of 1/6 or more, at least 0.08", got)
	}
}

// Guards against repeatedly correcting excess work that no longer exists but is still in the average over five
// periods.
func TestPastWorkIsNotCorrectedAgain(t *testing.T) {
	s := defaultSite()
	s.reporting.Period = 2
	h := startSettled(t, s, 6)
	h.runSeconds(6, 100, healthyExcept(serverName(2), withLatency(1)))
	h.runSeconds(2, 100, healthy)
	before := h.share(serverName(2))
	for h.now < 150 {
		if got := h.share(serverName(2)); got < before {
			t.Fatalf("at %.0f s the share is %.3f, lower than right after the recovery", h.now, got)
		}
		h.runSeconds(1, 100, healthy)
	}
}
