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
			t.Errorf("gain(%v) = %v is no solution", ratio, k)
		}
	}
}

func TestSlowServerGetsLess(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.runSeconds(30, 100, healthyExcept(serverName(2), withLatency(0.75)))
	if got := h.share(serverName(2)); got > 0.08 || got == 0 {
		t.Errorf("a server three times slower has a share of %.3f, want about 1/16", got)
	}
}

// Guards against the sinkhole: errors come at once, so their server shows no work in process, and few good
// answers that are quickly given show little.
func TestFastErrorsDrawNoTraffic(t *testing.T) {
	bad := serverName(2)
	for name, respond := range map[string]responder{"all fail": failing, "most fail": partlyFailing(0.8, 0.02)} {
		t.Run(name, func(t *testing.T) {
			h := startSettled(t, defaultSite(), 6)
			h.runSeconds(15, 100, healthyExcept(bad, respond))
			for range 20 {
				h.runSeconds(1, 100, healthyExcept(bad, respond))
				if h.share(bad) > 0.02 {
					t.Fatalf("a server that fails most attempts has a share of %.3f", h.share(bad))
				}
			}
			h.runSeconds(40, 100, healthy)
			if h.share(bad) < 0.1 {
				t.Errorf("once it has recovered it has a share of %.3f, want about 1/6", h.share(bad))
			}
		})
	}
}

// Guards against idling a server for as long as its failures are in the averages.
func TestRecoveredServerIsJudgedByRecentAttempts(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	h.runSeconds(12, 100, healthyExcept(serverName(2), failing))
	h.runSeconds(12, 100, healthy)
	if got := h.share(serverName(2)); got < 0.08 {
		t.Errorf("12 s after its outage it has a share of %.3f, want over half of 1/6", got)
	}
}

// The average goes back five periods: work that is gone was corrected again and again.
func TestPastWorkIsNotCorrectedAgain(t *testing.T) {
	s := defaultSite()
	s.reporting.Period = 2
	h := startSettled(t, s, 6)
	h.runSeconds(6, 100, healthyExcept(serverName(2), withLatency(1)))
	h.runSeconds(2, 100, healthy)
	before := h.share(serverName(2))
	for h.now < 150 {
		if got := h.share(serverName(2)); got < before {
			t.Fatalf("at %.0f s its share is %.3f, though it has recovered", h.now, got)
		}
		h.runSeconds(1, 100, healthy)
	}
}
