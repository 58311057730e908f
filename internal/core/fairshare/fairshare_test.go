package fairshare

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

const testStart = 1000.0 // clock time in seconds

// testConfig shares 900 units per second and reserves 100.
var testConfig = Config{Rate: 1000, Burst: 100, BucketSeconds: 1, Reserve: 0.1, MaxTenants: 100, MaxYield: 0.1}

func tenantName(number int) Tenant { return Tenant(fmt.Sprint("t", number)) }

// newAllocator returns an allocator with tenants t0, t1, ... of weight 1, distributed over the groups g0, g1 and g2.
func newAllocator(t testing.TB, config Config, tenants int) *Allocator {
	t.Helper()
	allocator := New(testStart, config)
	for number := range tenants {
		mustSet(t, allocator, tenantName(number), Group(fmt.Sprint("g", number%3)), 1)
	}
	return allocator
}

func mustSet(t testing.TB, allocator *Allocator, name Tenant, group Group, weight float64) {
	t.Helper()
	if err := allocator.Set(testStart, name, group, weight); err != nil {
		t.Fatal(err)
	}
}

// take requests units and ignores whether they are granted.
func take(t testing.TB, allocator *Allocator, now float64, name Tenant, cost float64) {
	t.Helper()
	if _, _, err := allocator.Take(now, name, cost, false); err != nil {
		t.Fatal(err)
	}
}

// granted requests units and reports whether they are granted.
func granted(t testing.TB, allocator *Allocator, now float64, name Tenant, cost float64, urgent bool) bool {
	t.Helper()
	_, ok, err := allocator.Take(now, name, cost, urgent)
	if err != nil {
		t.Fatal(err)
	}
	return ok
}

// runRequests simulates tenants that request single units at the given rates per second for some seconds, in a random order within each
// step. It returns the units per second that each tenant was granted.
func runRequests(allocator *Allocator, seconds float64, rates map[Tenant]float64, seed uint64) map[Tenant]float64 {
	const step = 0.0002 // seconds
	random := rand.New(rand.NewPCG(seed, 1))
	grantedRates := map[Tenant]float64{}
	var names []Tenant
	for number := range 100 {
		name := tenantName(number)
		if rates[name] > 0 {
			names = append(names, name)
		}
	}
	now := allocator.tokensUpdatedAt
	for end := now + seconds; now < end; now += step {
		var requests []Tenant
		for _, name := range names {
			for due := rates[name] * step; due > 0 && (due >= 1 || random.Float64() < due); due-- {
				requests = append(requests, name)
			}
		}
		random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
		for _, name := range requests {
			_, ok, _ := allocator.Take(now, name, 1, false)
			if ok {
				grantedRates[name] += 1 / seconds
			}
		}
	}
	return grantedRates
}

// Tenants that request less than their share are granted all their requests during a flood by another tenant, which is granted the rest.
func TestFloodDoesNotThrottleOtherTenants(t *testing.T) {
	allocator := newAllocator(t, testConfig, 9)
	rates := map[Tenant]float64{"t0": 20000, "t1": 30, "t2": 40, "t3": 20, "t4": 50}
	got := runRequests(allocator, 20, rates, 1)
	for _, name := range []Tenant{"t1", "t2", "t3", "t4"} {
		if math.Abs(got[name]-rates[name]) > rates[name]*0.15 {
			t.Errorf("%s requests %v units per second and is granted %.1f during the flood", name, rates[name], got[name])
		}
	}
	if got["t0"] < 700 || got["t0"] > 900 {
		t.Errorf("the flooding tenant is granted %.0f units per second of the remaining 760", got["t0"])
	}
	now := allocator.tokensUpdatedAt + 1 // all times of yielding to throttled tenants have passed
	for range 200 {
		take(t, allocator, now, "t0", 1)
	}
	if !granted(t, allocator, now, "t1", 4, false) {
		t.Error("a request within a tenant's share is not granted immediately during a flood")
	}
}

// Tenants that all request more than their shares are granted shares according to their weights and those of their groups.
func TestSharesFollowWeights(t *testing.T) {
	allocator := newAllocator(t, testConfig, 9)
	mustSet(t, allocator, "t3", "g0", 3) // the group of t0, t3 and t6
	if err := allocator.SetGroupWeight("g1", 2); err != nil {
		t.Fatal(err)
	}
	rates := map[Tenant]float64{}
	for number := range 9 {
		rates[tenantName(number)] = 3000
	}
	got := runRequests(allocator, 20, rates, 2)
	shares := map[Tenant]float64{
		"t0": 900 / 4.0 / 5,
		"t3": 900 / 4.0 / 5 * 3,
		"t1": 900 / 2.0 / 3,
		"t2": 900 / 4.0 / 3,
	}
	for name, share := range shares {
		if math.Abs(got[name]-share) > share*0.1 {
			t.Errorf("%s is granted %.1f units per second, want its share of %.1f", name, got[name], share)
		}
	}
}

// Of two tenants that request more than their share, the one with more requests is granted no more, in the same group or another.
func TestRequestFrequencyDoesNotIncreaseShare(t *testing.T) {
	got := runRequests(newAllocator(t, testConfig, 9), 20, map[Tenant]float64{"t0": 30000, "t3": 1500}, 3)
	if math.Abs(got["t0"]-450) > 60 || math.Abs(got["t3"]-450) > 60 {
		t.Errorf("granted units per second in one group are %v, want about 450 for each tenant", got)
	}
	allocator := newAllocator(t, testConfig, 9)
	got = runRequests(allocator, 20, map[Tenant]float64{"t0": 30000, "t3": 30000, "t1": 1500}, 3)
	if math.Abs(got["t0"]+got["t3"]-450) > 60 || math.Abs(got["t1"]-450) > 60 {
		t.Errorf("granted units per second in two groups are %v, want about 450 for each group", got)
	}
	take(t, allocator, allocator.tokensUpdatedAt, "t3", 50) // throttled, without a later request
	got = runRequests(allocator, 5, map[Tenant]float64{"t0": 3000}, 4)
	if got["t0"] < 800 {
		t.Errorf("the only requesting tenant is granted %.0f of 900 units per second", got["t0"])
	}
}

// Urgent requests are granted from the reserve when all other units are used up.
func TestReserveIsForUrgentRequests(t *testing.T) {
	const cost = 5
	const idleTenant = "t8"
	config := testConfig
	config.Rate = 100
	allocator := newAllocator(t, config, 9)
	for i := range 1000 {
		take(t, allocator, testStart+float64(i)*0.01, tenantName(i%8), cost)
	}
	const now = testStart + 10
	own := 0 // requests granted from the idle tenant's bucket
	for own < 100 && granted(t, allocator, now, idleTenant, cost, false) {
		own++
	}
	if own == 0 || own == 100 {
		t.Fatalf("%d requests of an idle tenant are granted, want more than 0 and less than 100", own)
	}
	if !granted(t, allocator, now, idleTenant, cost, true) {
		t.Error("an urgent request is rejected during a flood")
	}
	rejected := 0
	for range 10 {
		retryAfter, ok, err := allocator.Take(now, "t7", cost, true)
		if err != nil {
			t.Fatal(err)
		}
		if ok {
			continue
		}
		rejected++
		if !(retryAfter > 0) || retryAfter > 2 {
			t.Errorf("time to retry is %v s, want more than 0 and at most 2", retryAfter)
		}
	}
	if rejected == 0 {
		t.Error("no urgent request is rejected: the reserve is unlimited")
	}
}

// A throttled tenant that retries after the returned time is granted its request.
func TestRetryAfter(t *testing.T) {
	allocator := newAllocator(t, Config{Rate: 100, Burst: 20, BucketSeconds: 1, MaxTenants: 10, MaxYield: 0.1}, 2)
	retryAfter := 0.0
	ok := true
	for ok {
		var err error
		retryAfter, ok, err = allocator.Take(testStart, "t0", 1, false)
		if err != nil {
			t.Fatal(err)
		}
	}
	if retryAfter <= 0 || retryAfter > 0.1 {
		t.Errorf("time to retry is %v s, want more than 0 and at most 0.1", retryAfter)
	}
	if !granted(t, allocator, testStart+retryAfter+1e-9, "t0", 1, false) {
		t.Error("the request is throttled again after the returned time to retry")
	}
}

func TestInvalidTenants(t *testing.T) {
	allocator := newAllocator(t, Config{Rate: 100, Burst: 20, BucketSeconds: 1, MaxTenants: 10, MaxYield: 0.1}, 2)
	if _, _, err := allocator.Take(testStart, "x", 1, false); !errors.Is(err, ErrUnknownTenant) {
		t.Error(err)
	}
	for number := range 8 {
		mustSet(t, allocator, Tenant(fmt.Sprint("n", number)), "g", 1)
	}
	if err := allocator.Set(testStart, "more", "g", 1); !errors.Is(err, ErrTooManyTenants) {
		t.Error(err)
	}
	allocator.Remove("n0")
	mustSet(t, allocator, "more", "g", 1)
	for _, weight := range []float64{0, math.Inf(1)} {
		if err := allocator.Set(testStart, "more", "g", weight); !errors.Is(err, ErrInvalidWeight) {
			t.Errorf("error for weight %v is %v, want ErrInvalidWeight", weight, err)
		}
	}
}

// A tenant that was idle has accrued no more than its bucket holds.
func TestIdleTenantAccruesNoCredit(t *testing.T) {
	allocator := newAllocator(t, Config{Rate: 1000, Burst: 50, BucketSeconds: 1, MaxTenants: 100, MaxYield: 0.1}, 6)
	rates := map[Tenant]float64{"t0": 5000, "t3": 50000} // of the same group
	runRequests(allocator, 10, map[Tenant]float64{"t0": 5000}, 1)
	runRequests(allocator, 0.3, rates, 2) // t3 empties its own bucket
	got := runRequests(allocator, 2, rates, 2)
	if math.Abs(got["t3"]-got["t0"]) > 60 {
		t.Errorf("after t3 was idle, t3 is granted %.0f units per second and t0 %.0f", got["t3"], got["t0"])
	}
}

// linearShare finds the least virtual time by a linear scan of all tenants. It is the baseline of the benchmark.
type linearShare struct{ virtualTimes []float64 }

func (s *linearShare) take(tenant int) bool {
	least := math.Inf(1)
	for _, virtualTime := range s.virtualTimes {
		least = min(least, virtualTime)
	}
	if s.virtualTimes[tenant]-least > 50 {
		return false
	}
	s.virtualTimes[tenant]++
	return true
}

func BenchmarkTake(b *testing.B) {
	for _, tenants := range []int{10, 1000, 10000} {
		allocator := New(testStart, Config{Rate: 1e6, Burst: 1e5, BucketSeconds: 1, Reserve: 0.1, MaxTenants: tenants, MaxYield: 0.1})
		names := make([]Tenant, tenants)
		for number := range names {
			names[number] = tenantName(number)
			mustSet(b, allocator, names[number], Group(fmt.Sprint("g", number%20)), 1)
		}
		b.Run(fmt.Sprint("shares/", tenants), func(b *testing.B) {
			request := 0
			now := testStart
			for b.Loop() {
				request++
				now += 1e-6
				_, _, _ = allocator.Take(now, names[request*7919%tenants], 1, false)
			}
		})
		linear := &linearShare{virtualTimes: make([]float64, tenants)}
		b.Run(fmt.Sprint("plain/", tenants), func(b *testing.B) {
			request := 0
			for b.Loop() {
				request++
				linear.take(request * 7919 % tenants)
			}
		})
	}
}
