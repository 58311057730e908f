package scenario

import (
	"bytes"
	"testing"

	"snowquay/internal/core/controlplane"
)

func runHosted(t *testing.T, d HostedScenario) *HostedResult {
	t.Helper()
	r, err := RunHosted(d)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := r.Print(&b); err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", b.String())
	return r
}

// Twenty tenants on one host, each with its own servers and relays on both fronts: all rules are kept by each, and none is given a
// line to another's server.
func TestHosted(t *testing.T) {
	d := DefaultHostedScenario()
	d.Drains = true
	if r := runHosted(t, d); !r.Kept() || r.UpdatedAfter == 0 {
		t.Error("not kept")
	}
}

// One tenant's relays and measurements flood the host, and name other tenants' relays and users, while all others drain a server.
// Each other tenant keeps all rules, has the service that it has alone, and never waits for its turn for long.
func TestHostedFlood(t *testing.T) {
	d := DefaultHostedScenario()
	d.Drains, d.Flood = true, 3
	r := runHosted(t, d)
	for k, x := range r.Tenants {
		for _, v := range x.Verdicts {
			if !v.Kept && k != d.Flood {
				t.Errorf("%s: rule %d: %v", x.Name, v.Rule, v.Reasons)
			}
		}
		if x.ForeignEntries > 0 {
			t.Errorf("%s: %d lines to other tenants' servers", x.Name, x.ForeignEntries)
		}
		if k != d.Flood && x.LongestWait > 0.1 {
			t.Errorf("%s waited %.3f s for its turn", x.Name, x.LongestWait)
		}
	}
	if len(r.Problems) > 0 {
		t.Error(r.Problems)
	}
	for _, k := range []int{0, 4, 11} {
		alone := d
		alone.Only, alone.Flood = k, -1
		a, err := RunHosted(alone)
		if err != nil {
			t.Fatal(err)
		}
		if diff := a.Tenants[0].Service - r.Tenants[k].Service; diff > 0.02 {
			t.Errorf("%s has a service of %.3f beside the flood, %.3f alone", r.Tenants[k].Name, r.Tenants[k].Service, a.Tenants[0].Service)
		}
	}
}

// What the guards are for: without them a flood holds back drains, of the tenant that it comes from and of the one that it names.
func TestHostedGuards(t *testing.T) {
	broken := func(tenant int, anywhere bool, without ...controlplane.Guard) bool {
		d := DefaultHostedScenario()
		d.Tenants, d.Drains, d.Flood, d.AnyNetwork, d.DisabledGuards = 6, true, 3, anywhere, without
		r, err := RunHosted(d)
		if err != nil {
			t.Fatal(err)
		}
		return !r.Tenants[tenant].Verdicts[2].Kept
	}
	for _, c := range []struct {
		tenant   int
		anywhere bool
		without  []controlplane.Guard
		broken   bool
	}{{3, false, nil, false}, {4, false, nil, false},
		// Drains overtake joins that wait their turn in the module: the tenant that is flooded keeps its own by that alone.
		{3, false, []controlplane.Guard{controlplane.GuardJoinRate}, false},
		{4, true, []controlplane.Guard{controlplane.GuardJoinRate}, true}, {4, false, []controlplane.Guard{controlplane.GuardJoinRate}, false}} {
		if got := broken(c.tenant, c.anywhere, c.without...); got != c.broken {
			t.Errorf("%+v: broken %t", c, got)
		}
	}
}

// The host's process is killed in the middle of drains: what was confirmed goes on.
func TestHostedRestart(t *testing.T) {
	d := DefaultHostedScenario()
	d.Drains, d.Restart, d.Down = true, 15.2, 1
	if r := runHosted(t, d); !r.Kept() || r.Host.Starts != 2*d.Tenants {
		t.Error("not kept", r.Host)
	}
}

// A tenant is removed while its relays hold orders, and made again under its name: the new one is another tenant, its relays are told
// whole tables, and nobody else notices.
func TestHostedRemoved(t *testing.T) {
	d := DefaultHostedScenario()
	d.Drains, d.Remove, d.Seconds = true, 5, 40
	if r := runHosted(t, d); !r.Kept() || r.Host.Stops != 1 || r.Rejected[4] == 0 {
		t.Error("not kept", r.Host, r.Rejected)
	}
}

// Three hosts share twenty tenants; they are killed one after the other while every tenant has a server drained, and one is removed and
// made again.
func TestHostedTakeovers(t *testing.T) {
	d := DefaultHostedScenario()
	d.Hosts, d.Kills, d.Down, d.Drains, d.Seconds, d.Remove = 3, 3, 2, true, 60, 5
	if r := runHosted(t, d); !r.Kept() {
		t.Error("not kept", r.Host, r.Problems)
	}
}

func TestHostedSockets(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	d := DefaultHostedScenario()
	d.Drains, d.Flood, d.Sockets, d.Seconds = true, 3, true, 12
	r := runHosted(t, d)
	for k, x := range r.Tenants {
		for _, v := range x.Verdicts {
			if !v.Kept && k != d.Flood {
				t.Errorf("%s: rule %d: %v", x.Name, v.Rule, v.Reasons)
			}
		}
	}
}
