package coordinator_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"snowquay/internal/core/tenancy"
	"snowquay/internal/scenario"
	"snowquay/internal/store"
)

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// What a tenant costs to which nobody is connected: memory, and time of a core a second.
func BenchmarkIdleTenant(b *testing.B) {
	for _, n := range []int{10, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				t := &testing.T{}
				before := heap()
				s := newSite(t, &store.MemoryTenantStore{})
				d := scenario.UsualHostedDay()
				for i := range n {
					s.host.ChangeTenant(s.net.Now(), func() tenancy.Command {
						name, text := tenancy.Name(fmt.Sprintf("t%03d", i)), d.TenantSettings(i)
						m, err := s.set.ParseTenant(tenancy.Tenant{Name: name, Settings: text})
						if err != nil {
							b.Fatal(err)
						}
						return tenancy.Command{Kind: tenancy.Create, Name: name, Settings: text, Time: 1000, Weight: m.Weight, Requirements: m.Requirements}
					}(), func(o tenancy.Outcome, err error) {
						if err != nil || o.Err() != nil {
							b.Fatal(err, o.Err())
						}
					})
				}
				s.run(5)
				b.ReportMetric((heap()-before)/float64(n), "B/tenant")
				start := time.Now()
				s.run(20)
				b.ReportMetric(time.Since(start).Seconds()/20/float64(n)*1e6, "us/tenant/s")
				runtime.KeepAlive(s)
			}
		})
	}
}

// What the start of a tenant takes, of which as many as a host has come after it was killed.
func BenchmarkStartTenant(b *testing.B) {
	s := newSite(&testing.T{}, &store.MemoryTenantStore{})
	d := scenario.UsualHostedDay()
	text := d.TenantSettings(0)
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if _, err := s.set.ParseTenant(tenancy.Tenant{Name: "t000", Settings: text}); err != nil {
				b.Fatal(err)
			}
		}
	})
}
