package controlplane

import (
	"errors"
	"fmt"
	"testing"
)

func TestJoinRejectsUnlistedProxies(t *testing.T) {
	f := newFleet(t, testSite(3, 2), nil)
	if _, err := f.Join(1000, "x", nil, true); !errors.Is(err, ErrUnlistedProxy) {
		t.Errorf("join of an unlisted proxy: %v, want ErrUnlistedProxy", err)
	}
}

func TestJoinLimitsProxiesAndReusesTheirIDs(t *testing.T) {
	site := testSite(3, 2)
	site.AllowUnlisted = true
	site.Limits.MaxProxies = 3
	f := newFleet(t, site, nil)
	var last *Proxy
	for i := range 4 {
		proxy, err := f.Join(1000, fmt.Sprint("x", i), nil, true)
		if (i == 3) != errors.Is(err, ErrTooManyProxies) {
			t.Errorf("join of proxy %d: error %v, want ErrTooManyProxies for proxy 3 only", i, err)
		}
		if err == nil {
			last = proxy
		}
	}
	f.Disconnect(1001, last)
	f.RunRound(1001)
	if _, err := f.Join(1003, "y", nil, true); !errors.Is(err, ErrTooManyProxies) {
		t.Errorf("join within the retention time of another proxy: %v, want ErrTooManyProxies", err)
	}
	if proxy, err := f.Join(1007, "y", nil, true); err != nil || proxy.ID != last.ID {
		t.Errorf("the ID of a forgotten proxy was not reused; error: %v", err)
	}
}

// A proxy that joins in rapid succession is refused after a burst; one that joins once per second is not.
func TestJoinRateIsLimited(t *testing.T) {
	f, now := startFleet(t, 4, 2)
	frontend := &countingFrontend{fleet: f}
	f.FindProxy("r0").frontend = frontend
	refused := 0
	for range 50 {
		now += 0.02
		if _, err := f.Join(now, "r0", frontend, true); errors.Is(err, ErrJoinRateExceeded) {
			refused++
		}
	}
	if refused < 40 || f.Stats.JoinsThrottled != refused {
		t.Errorf("%d of 50 joins within a second were refused, want at least 40, all of them counted", refused)
	}
	for range 20 {
		now += 1.01
		join(t, f, now, "r0", frontend)
	}
	if proxy := f.FindProxy("r0"); !proxy.Joined {
		t.Error("the proxy is not joined")
	}
}

// With ownership set, a fleet admits, sends to and retains only the proxies that it owns at that moment. Otherwise it
// could send a message after its lease has ended.
func TestOwnershipIsCheckedBeforeEveryMessage(t *testing.T) {
	f := newFleet(t, testSite(3, 2), nil)
	owned := map[string]bool{"r0": true}
	f.SetOwnership(func(_ float64, uid string) bool { return owned[uid] }, func() uint64 { return 7 }, nil)
	frontend := &countingFrontend{fleet: f}
	if _, err := f.Join(1000, "r1", frontend, true); !errors.Is(err, ErrWrongCoordinator) {
		t.Errorf("join of another coordinator's proxy: %v, want ErrWrongCoordinator", err)
	}
	join(t, f, 1000, "r0", frontend)
	f.RunRound(1000.1)
	owned["r0"] = false // the lease ends between the decision and the sending of the message
	f.SendDue(1000.2)
	if frontend.delivered != 0 || frontend.displaced != 1 || f.Joined() != 0 || f.Stats.Evicted != 1 {
		t.Errorf("%d messages delivered, %d proxies displaced, %d joined; want 0, 1, 0, and one eviction counted", frontend.delivered, frontend.displaced, f.Joined())
	}
	owned["r0"] = true
	join(t, f, 1001, "r0", frontend)
	owned["r0"] = false
	f.EvictUnowned(1001.1)
	if frontend.displaced != 2 || f.Joined() != 0 {
		t.Errorf("%d messages delivered, %d proxies displaced, %d joined; want 2 displaced, 0 joined", frontend.delivered, frontend.displaced, f.Joined())
	}
}
