package rehearse

import (
	"flag"
	"fmt"
	"testing"
)

var takeovers = flag.Uint64("takeovers", 30, "days on which three coordinators share the fleet and are killed")

// Three coordinators share the fleet, and are killed and paused at random moments, in the midst of everything else.
func TestTakeoversKeepAllRules(t *testing.T) {
	for seed := range *takeovers {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := badDay(t, string(BadDay))
			d.Seed = seed + 5000
			Redraw(d)
			d.Troubles = d.Troubles[:min(len(d.Troubles), 2)]
			Kill(d, 4)
			if r, text := play1(t, d, Options{Coordinators: 3, Front: fronts[seed%3]}); !r.Kept() || r.Service < 0.3 {
				t.Errorf("%+v\n%s", d.Troubles, text)
			}
		})
	}
}

func TestTheBadDayOfThree(t *testing.T) {
	for _, front := range fronts {
		if r, text := play1(t, badDay(t, string(BadDay)), Options{Coordinators: 3, Front: front}); !r.Kept() || r.Service < 0.6 {
			t.Errorf("%s:\n%s", front, text)
		}
	}
}
