package controlplane

import (
	"fmt"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/registry"
)

// testSite returns a site with two classes and three zones, and with servers and proxies spread over the zones.
func testSite(servers, proxies int) Site {
	site := Site{
		Seed:       1,
		ClassNames: []string{"search", "introduce"},
		Zones:      []string{"a", "b", "c"},
		Classes: []balancer.RequestClass{
			{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3},
			{PriorityWeight: 3, LatencyObjective: 1, ClientTimeout: 3, Idempotency: balancer.Keyed, DedupWindow: 5},
		},
		DataPlane: balancer.DataPlane{
			Proxies:          proxies,
			Coordinators:     1,
			DefaultTableSize: 5,
			DefaultRetry:     balancer.RetryIfNotExecuted,
		},
		Channel: balancer.Channel{
			EntriesPerSecond: 20000,
			MessageOverhead:  3,
			MaxQueued:        30000,
			MeanDelay:        0.05,
			MaxDelay:         0.2,
		},
		Guarantees: balancer.Guarantees{
			DrainDeadline:       3,
			EmptyTableDeadline:  2,
			WarmupStartFraction: 0.2,
			WarmupDuration:      10,
			OverloadFactor:      3,
			OverloadWindow:      2,
		},
		Reporting: balancer.Reporting{Period: 0.5},
		Limits:    DefaultLimits,
	}
	site.Limits.ProxyRetention = 5
	for i := range servers {
		site.Servers = append(site.Servers,
			registry.ServerConfig{Server: serverName(i), Zone: balancer.Zone(i % 3), Weight: 1, Static: true})
	}
	for i := range proxies {
		site.Proxies = append(site.Proxies, ProxyConfig{UID: proxyUID(i), Zone: balancer.Zone(i % 3), ExpectedRate: 10})
	}
	return site
}

func serverName(i int) balancer.Server {
	return balancer.Server(fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255))
}

func proxyUID(i int) string { return fmt.Sprint("r", i) }

// newFleet creates a fleet at time 1000.
func newFleet(t testing.TB, site Site, store RecordStore) *Fleet {
	t.Helper()
	f, err := New(1000, site, nil, store)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// join makes a proxy join, and fails the test if it is refused.
func join(t testing.TB, f *Fleet, now float64, uid string, frontend Frontend) *Proxy {
	t.Helper()
	proxy, err := f.Join(now, uid, frontend, true)
	if err != nil {
		t.Fatal(err)
	}
	return proxy
}

// startFleet creates a fleet whose proxies have joined and hold its tables. It returns the time at which they do.
func startFleet(t testing.TB, servers, proxies int) (f *Fleet, now float64) {
	t.Helper()
	f = newFleet(t, testSite(servers, proxies), nil)
	now = 1000.1
	f.RunRound(now)
	for i := range proxies {
		join(t, f, now, proxyUID(i), nil)
	}
	for end := now + 10; f.UpToDate() < proxies && now < end; now += 0.05 {
		step(f, now)
	}
	if f.UpToDate() != proxies {
		t.Fatalf("%d of %d proxies hold the newest tables after 10 s, want all", f.UpToDate(), proxies)
	}
	return f, now
}

// step runs a round, then sends and acknowledges all messages that are due.
func step(f *Fleet, now float64) {
	f.RunRound(now)
	for {
		proxy, ok := f.NextDue(now)
		if !ok {
			return
		}
		sent := 0
		for class := range proxy.Tables {
			if entries, _, ok := f.Delta(proxy, balancer.Class(class)); ok {
				for range entries {
					sent++
				}
			}
		}
		f.MarkSent(now, proxy, sent)
		f.MarkDelivered(now, proxy)
	}
}

// countingFrontend is a Frontend that counts its calls and sends nothing.
type countingFrontend struct {
	fleet     *Fleet
	delivered int
	displaced int
}

func (c *countingFrontend) Deliver(_ float64, proxy *Proxy) {
	c.delivered++
	c.fleet.Suspend(proxy)
}

func (c *countingFrontend) Displaced(float64, *Proxy) { c.displaced++ }

// BenchmarkRound measures a round with 300 servers and 460 proxies: without load reports, with one upstream report, and
// with 300 of them and demand reports of all proxies. The baseline of all cases is the decision module alone.
func BenchmarkRound(b *testing.B) {
	for _, rows := range []int{0, 1, 300} {
		b.Run(fmt.Sprint(rows, "rows"), func(b *testing.B) {
			f, now := startFleet(b, 300, 460)
			totals := 0.0
			for b.Loop() {
				now += 0.51
				totals += 20
				b.StopTimer()
				for i := range rows {
					f.ReportUpstream(now, now, proxyUID(i), serverName(i), loadreport.Totals{Attempts: totals, LatencySum: totals / 4})
				}
				if rows == 300 {
					for i := range 460 {
						f.ReportDemand(now, now, proxyUID(i), "search", loadreport.Totals{Attempts: totals / 2})
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
