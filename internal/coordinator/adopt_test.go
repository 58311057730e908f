package coordinator_test

import (
	"net/netip"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/env/simnet"
	"snowquay/internal/wire/sasp"
)

// A coordinator whose own store is lost takes from the group what servers there are, and which of them drain.
func TestTheRollOutlivesAStore(t *testing.T) {
	net := simnet.New(1, 1000)
	at, peers := netip.MustParseAddrPort("10.0.0.1:3860"), netip.MustParseAddrPort("10.0.0.1:7000")
	server := netip.MustParseAddrPort("10.0.0.9:80")
	disk := &consensus.MemoryStorage{OwnDataDirID: 5}
	host := net.Add(at.Addr(), 0, false)
	life := uint64(0)
	start := func() *coordinator.Coordinator {
		life++
		c, err := coordinator.New(net.Now(), coordinator.Config{Site: controlplane.Site{Seed: 1, ClassNames: []string{"search"}, Zones: []string{"a"},
			AllowUnlisted: true, Classes: []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3}},
			DataPlane:  balancer.DataPlane{Proxies: 1, Coordinators: 1, DefaultRetry: balancer.RetryIfNotExecuted},
			Channel:    balancer.Channel{EntriesPerSecond: 1e5, MessageOverhead: 3, MaxQueued: 1e5, MeanDelay: 0.01, MaxDelay: 0.2},
			Guarantees: balancer.Guarantees{DrainDeadline: 3, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10, OverloadFactor: 3, OverloadWindow: 2},
			Reporting:  balancer.Reporting{Period: 0.5}, Limits: controlplane.DefaultLimits}, SASP: at, Limits: saspsession.UsualLimits,
			Policy: saspsession.Policy{FleetUID: "fleet", NewOnes: true}, Storage: disk, Incarnation: life,
			Group: &coordinator.GroupConfig{Self: 1, Weight: 1, Members: map[membership.MemberID]netip.AddrPort{1: peers}, Key: []byte("key"),
				Consensus: consensus.DefaultConfig, Lease: membership.DefaultLeaseConfig}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		host.Start(c)
		return c
	}
	c := start()
	net.Run(net.Now() + 3)
	member := &raw{to: at}
	for _, m := range []*sasp.Message{{Kind: sasp.Registration}, {Kind: sasp.SetMember}} {
		m.Groups = []sasp.Group{{UID: []byte("fleet"), Name: []byte("search"), To: 1}}
		if m.Rows = []sasp.Row{{Address: sasp.AddressOf(server)}}; m.Kind == sasp.SetMember {
			m.Rows[0].Flags = sasp.Quiesce
		}
		member.b = sasp.Append(member.b, m)
	}
	net.Add(server.Addr(), 0, false).Start(member)
	net.Run(net.Now() + 1)
	name := balancer.Server(server.String())
	if phase, _ := c.Fleet.Registry.Phase(name); phase != balancer.Draining {
		t.Fatalf("it was told of a drain, and the roll says %v", phase)
	}
	host.Kill()
	c = start()
	net.Run(net.Now() + 2)
	if rec, ok := c.Fleet.Registry.Find(name); !ok || rec.Phase != balancer.Draining || !rec.DrainOrdered {
		t.Errorf("after its end it knows %+v", rec)
	}
}

func TestWhatIsNewsToAll(t *testing.T) {
	s := &membership.State{}
	r := registry.Record{ServerConfig: registry.ServerConfig{Server: "a", Weight: 1}, Phase: balancer.Ready, Started: 100}
	if len(s.ChangedRecords([]registry.Record{r})) != 1 {
		t.Error("a new server is no news")
	}
	if _, err := s.Apply(membership.Command{Kind: membership.StoreRecords, Records: []registry.Record{r}}); err != nil {
		t.Fatal(err)
	}
	later := r
	later.Started = 101
	if len(s.ChangedRecords([]registry.Record{r, later})) != 0 {
		t.Error("what another coordinator heard a second later is news")
	}
	for _, change := range []func(*registry.Record){func(r *registry.Record) { r.Started = 110 }, func(r *registry.Record) { r.DrainOrdered = true },
		func(r *registry.Record) { r.Phase = balancer.Removed }, func(r *registry.Record) { r.Weight = 2 }} {
		x := r
		if change(&x); len(s.ChangedRecords([]registry.Record{x})) != 1 {
			t.Errorf("%+v is no news", x)
		}
	}
}
