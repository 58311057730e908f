package controlplane

import (
	"errors"
	"fmt"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/registry"
)

func site(servers, relays int) Site {
	s := Site{Seed: 1, ClassNames: []string{"search", "introduce"}, Zones: []string{"a", "b", "c"},
		Classes: []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3},
			{PriorityWeight: 3, LatencyObjective: 1, ClientTimeout: 3, Idempotency: balancer.Keyed, DedupWindow: 5}},
		DataPlane: balancer.DataPlane{Proxies: relays, Coordinators: 1, DefaultTableSize: 5, DefaultRetry: balancer.RetryIfNotExecuted},
		Channel:   balancer.Channel{EntriesPerSecond: 20000, MessageOverhead: 3, MaxQueued: 30000, MeanDelay: 0.05, MaxDelay: 0.2},
		Guarantees: balancer.Guarantees{DrainDeadline: 3, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10, OverloadFactor: 3,
			OverloadWindow: 2},
		Reporting: balancer.Reporting{Period: 0.5}, Limits: DefaultLimits}
	s.Limits.RelayRetention = 5
	for i := range servers {
		s.Servers = append(s.Servers, registry.ServerConfig{Server: name(i), Zone: balancer.Zone(i % 3), Weight: 1, Static: true})
	}
	for i := range relays {
		s.Relays = append(s.Relays, Relay{UID: fmt.Sprint("r", i), Zone: balancer.Zone(i % 3), ExpectedRate: 10})
	}
	return s
}

func name(i int) balancer.Server { return balancer.Server(fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255)) }

func running(t testing.TB, servers, relays int) (*Fleet, float64) {
	f, err := New(1000, site(servers, relays), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	now := 1000.1
	f.RunRound(now)
	for i := range relays {
		if _, err := f.Join(now, fmt.Sprint("r", i), nil, true); err != nil {
			t.Fatal(err)
		}
	}
	for end := now + 10; f.UpToDate() < relays && now < end; now += 0.05 {
		step(f, now)
	}
	if f.UpToDate() != relays {
		t.Fatalf("%d of %d relays hold the tables", f.UpToDate(), relays)
	}
	return f, now
}

// step is a round, and all that is due is sent and taken.
func step(f *Fleet, now float64) (messages int) {
	f.RunRound(now)
	for {
		p, ok := f.NextDue(now)
		if !ok {
			return messages
		}
		messages++
		n := 0
		for c := range p.Tables {
			if lines, _, ok := f.Delta(p, balancer.Class(c)); ok {
				for range lines {
					n++
				}
			}
		}
		f.MarkSent(now, p, n)
		f.MarkDelivered(now, p)
	}
}

func TestStrangersAndCrowds(t *testing.T) {
	s := site(3, 2)
	f, err := New(1000, s, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Join(1000, "x", nil, true); !errors.Is(err, ErrUnlistedRelay) {
		t.Errorf("a stranger: %v", err)
	}
	s.AllowUnlisted, s.Limits.MaxRelays = true, 3
	if f, err = New(1000, s, nil, nil); err != nil {
		t.Fatal(err)
	}
	var last *Proxy
	for i := range 4 {
		p, err := f.Join(1000, fmt.Sprint("x", i), nil, true)
		if (i == 3) != errors.Is(err, ErrTooManyRelays) {
			t.Errorf("relay %d: %v", i, err)
		}
		if err == nil {
			last = p
		}
	}
	f.Disconnect(1001, last)
	f.RunRound(1001)
	if _, err := f.Join(1003, "y", nil, true); !errors.Is(err, ErrTooManyRelays) {
		t.Errorf("a number was given away too early: %v", err)
	}
	if p, err := f.Join(1007, "y", nil, true); err != nil || p.ID != last.ID {
		t.Errorf("%v; numbers stay dense", err)
	}
}

type failing struct{ calls int }

func (k *failing) Save([]registry.Record) error { k.calls++; return errors.New("disk full") }

// A drain that can't be kept goes out all the same, and the failure is counted.
func TestADrainDoesNotWaitForABrokenDisk(t *testing.T) {
	k := &failing{}
	f, err := New(1000, site(3, 1), nil, k)
	if err != nil {
		t.Fatal(err)
	}
	p, err := f.Join(1000, "r0", nil, true)
	if err != nil {
		t.Fatal(err)
	}
	for now := 1000.1; now < 1002; now += 0.05 {
		step(f, now)
	}
	f.Registry.SetDrain(1002, name(1), true)
	step(f, 1002.1)
	if f.Weight(p, 0, name(1)) != 0 || f.Stats.SaveFailures < 1 || k.calls < 1 {
		t.Errorf("weight %v, %+v", f.Weight(p, 0, name(1)), f.Stats)
	}
}

func TestOrdersAreTraced(t *testing.T) {
	f, now := running(t, 3, 2)
	f.TakeTraces()
	f.Registry.SetDrain(now, name(1), true)
	step(f, now+0.1)
	o := f.TakeTraces()
	if len(o) != 2 || o[0].Lists != 1 || !o[0].Urgent || o[0].Round == 0 || o[0].DecidedAt != now+0.1 || o[0].AckedAt == 0 {
		t.Errorf("%+v", o)
	}
}

func TestIdleRoundsCostNothing(t *testing.T) {
	f, now := running(t, 3, 2)
	rounds, idle := f.Stats.Rounds, f.Stats.Idle
	for i := range 20 {
		step(f, now+0.06*float64(i+1))
	}
	if f.Stats.Rounds-rounds > 6 || f.Stats.Idle == idle {
		t.Errorf("%d rounds and %d idle ticks in a second without news", f.Stats.Rounds-rounds, f.Stats.Idle-idle)
	}
}

// A round at 300 servers and 460 relays: nothing new, one row new, all new. The baseline of all new is the module alone.
func BenchmarkRound(b *testing.B) {
	for _, rows := range []int{0, 1, 300} {
		b.Run(fmt.Sprint(rows, "rows"), func(b *testing.B) {
			f, now := running(b, 300, 460)
			totals := 0.0
			for b.Loop() {
				now += 0.51
				totals += 20
				b.StopTimer()
				for i := range rows {
					f.ReportUpstream(now, now, fmt.Sprint("r", i), name(i), loadreport.Totals{Attempts: totals, Seconds: totals / 4})
				}
				if rows == 300 {
					for i := range 460 {
						f.ReportDemand(now, now, fmt.Sprint("r", i), "search", loadreport.Totals{Attempts: totals / 2})
					}
				}
				b.StartTimer()
				f.RunRound(now)
				b.StopTimer()
				step(f, now)
				f.TakeTraces()
				b.StartTimer()
			}
		})
	}
}

type door struct {
	f                    *Fleet
	delivered, displaced int
}

func (d *door) Deliver(_ float64, p *Proxy) { d.delivered++; d.f.Suspend(p) }
func (d *door) Displaced(float64, *Proxy)   { d.displaced++ }

// A fleet that is governed takes in, sends to and keeps only the relays that it leads, at the moment that it is asked.
func TestAGovernedFleetOrdersOnlyItsOwn(t *testing.T) {
	f, err := New(1000, site(3, 2), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	leads := map[string]bool{"r0": true}
	f.SetOwnership(func(_ float64, uid string) bool { return leads[uid] }, func() uint64 { return 7 }, nil)
	d := &door{f: f}
	if _, err := f.Join(1000, "r1", d, true); !errors.Is(err, ErrWrongCoordinator) {
		t.Errorf("another's relay: %v", err)
	}
	if _, err := f.Join(1000, "r0", d, true); err != nil {
		t.Fatal(err)
	}
	f.RunRound(1000.1)
	leads["r0"] = false // the lease ends between the decision and its sending
	if f.SendDue(1000.2); d.delivered != 0 || d.displaced != 1 || f.Joined() != 0 || f.Stats.Evicted != 1 {
		t.Errorf("%d delivered, %d displaced, %d joined", d.delivered, d.displaced, f.Joined())
	}
	leads["r0"] = true
	if _, err := f.Join(1001, "r0", d, true); err != nil {
		t.Fatal(err)
	}
	leads["r0"] = false
	if f.EvictForeign(1001.1); d.displaced != 2 || f.Joined() != 0 {
		t.Errorf("%d delivered, %d displaced, %d joined", d.delivered, d.displaced, f.Joined())
	}
}
