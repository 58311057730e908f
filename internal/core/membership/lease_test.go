package membership

import "testing"

func TestLeaseEndsBeforePeersExpireIt(t *testing.T) {
	s := &State{}
	a := NewLease(100, "a", 7, 1, 0, DefaultLeaseConfig)
	b := NewLease(9000, "b", 8, 1, 0, DefaultLeaseConfig) // has a different clock
	renewal := a.DueCommands(100, s)[0]
	if a.Valid(100) {
		t.Error("the lease is valid before its renewal is committed")
	}
	apply(t, s, renewal)
	a.ObserveCommand(101, renewal, s)
	b.ObserveCommand(9001, renewal, s)
	if !a.Valid(102.9) || a.Valid(103) {
		t.Error("the lease is not valid for exactly three seconds from the proposal of its renewal")
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
		t.Error("the other peer proposes the expiry of the lease too early or too late")
	}
	old := renewal
	old.Renewal = 2 // the sequence number that comes next
	old.Incarnation = 6
	a.DueCommands(102, s)
	apply(t, s, old)
	if a.ObserveCommand(102, old, s); a.Valid(103) {
		t.Error("a renewal by an earlier process extends the lease")
	}
	// Renewal 3 of an earlier process is committed first, then ours with the same sequence number.
	ours := a.DueCommands(102.8, s)[0]
	theirs := ours
	theirs.Incarnation = 6
	apply(t, s, theirs)
	a.ObserveCommand(102.9, theirs, s)
	apply(t, s, ours)
	if a.ObserveCommand(102.9, ours, s); a.Valid(103.1) {
		t.Error("a renewal that had no effect extends the lease")
	}
	if c := a.Release(); a.Valid(101) || c.Kind != ReleaseLease {
		t.Error("the lease is valid after its release")
	}
}

// The weight of a new coordinator grows in steps, so that proxies do not move to it all at once.
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
				t.Errorf("at %.1f s the weight changes from %v to %v, want an increase of at most 0.26", now, last, c.Weight)
			}
			last = c.Weight
			if apply(t, s, c) {
				epochs++
			}
			lease.ObserveCommand(now, c, s)
		}
	}
	if last != 1 || epochs != rampSteps {
		t.Errorf("the final weight is %v after %d epochs, want 1 after rampSteps", last, epochs)
	}
	lease = NewLease(100, "c9", 5, 1, 0, config)
	if c := lease.DueCommands(100, &State{}); len(c) != 1 || c[0].Weight != 1 {
		t.Errorf("the only coordinator proposes %+v, want its full weight", c)
	}
}

func TestRampUpFor(t *testing.T) {
	if seconds := RampUpFor(460, 3, 600, 1600); seconds < 100 || seconds > 130 {
		t.Errorf("the ramp-up for 460 proxies with 600 table entries each takes %v s, want 100 to 130", seconds)
	}
	if RampUpFor(12, 3, 16, 1600) != 0 || RampUpFor(10, 1, 1e6, 1) != 0 || RampUpFor(1e6, 2, 1e6, 1) != maxRampUp {
		t.Error("a small fleet or a single coordinator has a ramp-up, or a large fleet has one over the maximum")
	}
}
