package scenario

import (
	"flag"
	"testing"
)

var hostedSeeds = flag.Int("hosted", 3, "drawn days of hosts that are killed, to be played")

// Drawn days of three hosts that are killed, with a tenant that floods and one that is removed.
func TestHostedDrawn(t *testing.T) {
	for seed := range *hostedSeeds {
		d := DefaultHostedScenario()
		d.Tenants, d.Hosts, d.Kills, d.Down, d.Drains, d.Seconds, d.Remove, d.Flood, d.FloodRate, d.Seed = 6, 3, 4, 1+float64(seed%4), true, 60, 5, 2, 500, uint64(seed+2)
		r, err := RunHosted(d)
		if err != nil {
			t.Fatal(err)
		}
		for k, x := range r.Tenants {
			for _, v := range x.Verdicts {
				if !v.Kept && k != d.Flood {
					t.Errorf("seed %d, %s: rule %d: %v", d.Seed, x.Name, v.Rule, v.Reasons)
				}
			}
			if x.ForeignEntries > 0 {
				t.Errorf("seed %d, %s: %d lines of others", d.Seed, x.Name, x.ForeignEntries)
			}
		}
		if len(r.Problems) > 0 {
			t.Errorf("seed %d: %v", d.Seed, r.Problems)
		}
	}
}
