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

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkIdleTenant measures the memory and the CPU time per second of a tenant without connections.
func BenchmarkIdleTenant(b *testing.B) {
	for _, tenants := range []int{10, 1000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			hosted := scenario.DefaultHostedScenario()
			for b.Loop() {
				before := heapBytes()
				f := newHostFixture(b, &store.MemoryTenantStore{})
				for number := range tenants {
					f.create(tenantName(number), hosted.TenantSettings(number), 0)
				}
				f.run(5)
				b.ReportMetric((heapBytes()-before)/float64(tenants), "B/tenant")
				start := time.Now()
				f.run(20)
				b.ReportMetric(time.Since(start).Seconds()/20/float64(tenants)*1e6, "us/tenant/s")
				runtime.KeepAlive(f)
			}
		})
	}
}

// BenchmarkParseTenant measures the parsing of a tenant's settings, which a restarted host does for all its tenants.
func BenchmarkParseTenant(b *testing.B) {
	f := newHostFixture(b, &store.MemoryTenantStore{})
	hosted := scenario.DefaultHostedScenario()
	tenant := tenancy.Tenant{Name: "t000", Settings: hosted.TenantSettings(0)}
	for b.Loop() {
		if _, err := f.config.ParseTenant(tenant); err != nil {
			b.Fatal(err)
		}
	}
}
