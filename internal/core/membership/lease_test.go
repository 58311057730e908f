package membership

import "testing"

func TestLeaseEndsBeforeItsExpiry(t *testing.T) {
	s := &State{}
	a := NewLease(100, "a", 7, 1, 0, DefaultLeaseConfig)
	b := NewLease(9000, "b", 8, 1, 0, DefaultLeaseConfig) // with a clock of its own
	renewal := a.DueCommands(100, s)[0]
	if a.Valid(100) {
		t.Error("it orders before its renewal is agreed on")
	}
	apply(t, s, renewal)
	a.ObserveCommand(101, renewal, s)
	b.ObserveCommand(9001, renewal, s)
	if !a.Valid(102.9) || a.Valid(103) {
		t.Error("it may order for three seconds from its proposal")
	}
	expired := func(now float64) bool {
		for _, c := range b.DueCommands(now, s) {
			if c.Kind == ExpireLease {
				return true
			}
		}
		return false
	}
	timeout := DefaultLeaseConfig.Duration*(1+DefaultLeaseConfig.MaxClockDrift) + DefaultLeaseConfig.SafetyMargin
	if expired(9001+DefaultLeaseConfig.Duration) || !expired(9001+timeout+0.01) {
		t.Error("its lease expires at the wrong time")
	}
	old := renewal
	old.Renewal = 2 // the number that comes next
	old.Incarnation = 6
	a.DueCommands(102, s)
	apply(t, s, old)
	if a.ObserveCommand(102, old, s); a.Valid(103) {
		t.Error("a renewal of a former process lets it order")
	}
	// A former process's renewal 3 is committed first, and ours of the same number after it.
	ours := a.DueCommands(102.8, s)[0]
	theirs := ours
	theirs.Incarnation = 6
	apply(t, s, theirs)
	a.ObserveCommand(102.9, theirs, s)
	apply(t, s, ours)
	if a.ObserveCommand(102.9, ours, s); a.Valid(103.1) {
		t.Error("a renewal that did not count lets it order")
	}
	if c := a.Release(); a.Valid(101) || c.Kind != ReleaseLease {
		t.Error("it orders after it has released its lease")
	}
}

// The weight of a new coordinator grows in steps, so that its proxies do not come all at once.
func TestWeightRampsUp(t *testing.T) {
	s := newGroup(t, 1, 1)
	config := DefaultLeaseConfig
	config.RampUp = 8
	lease := NewLease(100, "c9", 5, 1, 0, config)
	last := 0.0
	epochs := 0
	for now := 100.0; now < 112; now += 0.1 {
		for _, c := range lease.DueCommands(now, s) {
			if c.Kind != RenewLease {
				continue
			}
			if c.Weight < last || c.Weight > last+0.26 {
				t.Errorf("at %.1f the weight goes from %v to %v", now, last, c.Weight)
			}
			last = c.Weight
			if apply(t, s, c) {
				epochs++
			}
			lease.ObserveCommand(now, c, s)
		}
	}
	if last != 1 || epochs != rampSteps {
		t.Errorf("it ends at %v after %d epochs", last, epochs)
	}
	lease = NewLease(100, "c9", 5, 1, 0, config)
	if c := lease.DueCommands(100, &State{}); len(c) != 1 || c[0].Weight != 1 {
		t.Errorf("alone, it takes %+v", c)
	}
}

func TestRampUpFor(t *testing.T) {
	if seconds := RampUpFor(460, 3, 600, 1600); seconds < 100 || seconds > 130 {
		t.Errorf("460 proxies with 600 lines each take %v s", seconds)
	}
	if RampUpFor(12, 3, 16, 1600) != 0 || RampUpFor(10, 1, 1e6, 1) != 0 || RampUpFor(1e6, 2, 1e6, 1) != maxRampUp {
		t.Error("small fleets wait, or large ones for ever")
	}
}
