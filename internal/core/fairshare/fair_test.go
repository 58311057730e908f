package fairshare

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func open(t testing.TB, terms Config, tenants int) *Allocator {
	s := New(1000, terms)
	for i := range tenants {
		if err := s.Set(1000, Tenant(fmt.Sprint("t", i)), Group(fmt.Sprint("g", i%3)), 1); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// play lets tenants ask at rates for so long, each coming back when it was told, and gives what each took a second.
func play(s *Allocator, seconds float64, rates map[Tenant]float64, seed uint64) map[Tenant]float64 {
	c := rand.New(rand.NewPCG(seed, 1))
	got := map[Tenant]float64{}
	names := []Tenant{}
	for i := range 100 {
		if n := Tenant(fmt.Sprint("t", i)); rates[n] > 0 {
			names = append(names, n)
		}
	}
	const step = 0.0002
	now := s.tokensAt
	for end := now + seconds; now < end; now += step {
		asks := []Tenant{}
		for _, n := range names {
			for k := rates[n] * step; k > 0 && (k >= 1 || c.Float64() < k); k-- {
				asks = append(asks, n)
			}
		}
		c.Shuffle(len(asks), func(i, j int) { asks[i], asks[j] = asks[j], asks[i] })
		for _, n := range asks {
			if _, ok, _ := s.Take(now, n, 1, false); ok {
				got[n] += 1 / seconds
			}
		}
	}
	return got
}

// Who asks for less than its part gets all of it, and those that flood share the rest by weight, in their groups.
func TestFloodsAreSlowedAlone(t *testing.T) {
	terms := Config{Rate: 1000, Burst: 100, BucketSeconds: 1, Reserve: 0.1, MaxTenants: 100, RecentWindow: 0.1}
	s := open(t, terms, 9)
	rates := map[Tenant]float64{"t0": 20000, "t1": 30, "t2": 40, "t3": 20, "t4": 50}
	got := play(s, 20, rates, 1)
	for _, n := range []Tenant{"t1", "t2", "t3", "t4"} {
		if math.Abs(got[n]-rates[n]) > rates[n]*0.15 {
			t.Errorf("%s asks for %v and gets %.1f beside a flood", n, rates[n], got[n])
		}
	}
	if got["t0"] < 700 || got["t0"] > 900 {
		t.Errorf("the flood gets %.0f of the 760 that are left", got["t0"])
	}
	at := s.tokensAt + 1 // nobody who was refused is waited for any more
	for range 200 {
		_, _, _ = s.Take(at, "t0", 1, false)
	}
	if _, ok, _ := s.Take(at, "t1", 4, false); !ok {
		t.Error("what is its own part can't be had at once beside a flood")
	}
	s = open(t, terms, 9)
	if err := s.Set(1000, "t3", "g0", 3); err != nil { // t0, t3 and t6 are of one group
		t.Fatal(err)
	}
	if err := s.SetGroupWeight("g1", 2); err != nil {
		t.Fatal(err)
	}
	all := map[Tenant]float64{}
	for i := range 9 {
		all[Tenant(fmt.Sprint("t", i))] = 3000
	}
	got = play(s, 20, all, 2)
	for n, want := range map[Tenant]float64{"t0": 900 / 4.0 / 5, "t3": 900 / 4.0 / 5 * 3, "t1": 900 / 2.0 / 3, "t2": 900 / 4.0 / 3} {
		if math.Abs(got[n]-want) > want*0.1 {
			t.Errorf("%s gets %.1f, its part is %.1f", n, got[n], want)
		}
	}
}

// Of two that want more than they get, the louder one does not get more; nor does one that asks from another group.
func TestWhoAsksMoreOftenGetsNoMore(t *testing.T) {
	terms := Config{Rate: 1000, Burst: 100, BucketSeconds: 1, Reserve: 0.1, MaxTenants: 100, RecentWindow: 0.1}
	got := play(open(t, terms, 9), 20, map[Tenant]float64{"t0": 30000, "t3": 1500}, 3)
	if math.Abs(got["t0"]-450) > 60 || math.Abs(got["t3"]-450) > 60 {
		t.Errorf("in one group: %v", got)
	}
	s := open(t, terms, 9)
	got = play(s, 20, map[Tenant]float64{"t0": 30000, "t3": 30000, "t1": 1500}, 3)
	if math.Abs(got["t0"]+got["t3"]-450) > 60 || math.Abs(got["t1"]-450) > 60 {
		t.Errorf("in two groups: %v", got)
	}
	s.Take(s.tokensAt, "t3", 50, false) // refused, and it never comes back
	if got = play(s, 5, map[Tenant]float64{"t0": 3000}, 4); got["t0"] < 800 {
		t.Errorf("after all others have left, one gets %.0f of 900", got["t0"])
	}
}

// An urgent request is let in whatever floods, by all others together.
func TestTheReserveIsForDrains(t *testing.T) {
	terms := Config{Rate: 100, Burst: 100, BucketSeconds: 1, Reserve: 0.1, MaxTenants: 100, RecentWindow: 0.1}
	s := open(t, terms, 9)
	for i := range 1000 {
		_, _, _ = s.Take(1000+float64(i)*0.01, Tenant(fmt.Sprint("t", i%8)), 5, false)
	}
	own := 0 // one that has not asked has its own part, whatever the others do
	for ; own < 100; own++ {
		if _, ok, _ := s.Take(1010, "t8", 5, false); !ok {
			break
		}
	}
	if own == 0 || own == 100 {
		t.Fatalf("%d requests of its own part were let in", own)
	}
	if _, ok, _ := s.Take(1010, "t8", 5, true); !ok {
		t.Error("a drain is refused under a flood")
	}
	refused := 0
	for range 10 {
		if after, ok, _ := s.Take(1010, "t7", 5, true); !ok {
			if refused++; !(after > 0) || after > 2 {
				t.Errorf("it may come back after %v s", after)
			}
		}
	}
	if refused == 0 {
		t.Error("the reserve has no end")
	}
}

// What is told as the time to come back is about right, and one that comes back then is let in.
func TestComingBack(t *testing.T) {
	s := open(t, Config{Rate: 100, Burst: 20, BucketSeconds: 1, MaxTenants: 10, RecentWindow: 0.1}, 2)
	now := 1000.0
	for {
		after, ok, _ := s.Take(now, "t0", 1, false)
		if ok {
			continue
		}
		if after <= 0 || after > 0.1 {
			t.Errorf("after %v s", after)
		}
		if _, ok, _ = s.Take(now+after+1e-9, "t0", 1, false); !ok {
			t.Error("it came when it was told to")
		}
		break
	}
	if _, _, err := s.Take(now, "x", 1, false); !errors.Is(err, ErrUnknownTenant) {
		t.Error(err)
	}
	for i := range 8 {
		if err := s.Set(1000, Tenant(fmt.Sprint("n", i)), "g", 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Set(1000, "more", "g", 1); !errors.Is(err, ErrTooManyTenants) {
		t.Error(err)
	}
	s.Remove("n0")
	if err := s.Set(1000, "more", "g", 1); err != nil {
		t.Error(err)
	}
	if s.Set(1000, "more", "g", 0) == nil || s.Set(1000, "more", "g", math.Inf(1)) == nil {
		t.Error("a weight that is none")
	}
}

// A tenant that was away does not come back with what it has saved up.
func TestNobodySavesUp(t *testing.T) {
	terms := Config{Rate: 1000, Burst: 50, BucketSeconds: 1, MaxTenants: 100, RecentWindow: 0.1}
	s := open(t, terms, 6)
	play(s, 10, map[Tenant]float64{"t0": 5000}, 1)
	play(s, 0.3, map[Tenant]float64{"t0": 5000, "t3": 50000}, 2) // the same group; its own bucket is empty then
	got := play(s, 2, map[Tenant]float64{"t0": 5000, "t3": 50000}, 2)
	if math.Abs(got["t3"]-got["t0"]) > 60 {
		t.Errorf("after being away t3 gets %.0f, t0 %.0f", got["t3"], got["t0"])
	}
}

// plain looks at all tenants for the slowest, as the simplest fair share does.
type plain struct{ virt []float64 }

func (p *plain) take(i int) bool {
	least := math.Inf(1)
	for _, v := range p.virt {
		least = min(least, v)
	}
	if p.virt[i]-least > 50 {
		return false
	}
	p.virt[i]++
	return true
}

func BenchmarkTake(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		names := make([]Tenant, n)
		s := New(1000, Config{Rate: 1e6, Burst: 1e5, BucketSeconds: 1, Reserve: 0.1, MaxTenants: n, RecentWindow: 0.1})
		for i := range names {
			names[i] = Tenant(fmt.Sprint("t", i))
			if err := s.Set(1000, names[i], Group(fmt.Sprint("g", i%20)), 1); err != nil {
				b.Fatal(err)
			}
		}
		b.Run(fmt.Sprint("shares/", n), func(b *testing.B) {
			i, now := 0, 1000.0
			for b.Loop() {
				i++
				now += 1e-6
				_, _, _ = s.Take(now, names[i*7919%n], 1, false)
			}
		})
		p := &plain{virt: make([]float64, n)}
		b.Run(fmt.Sprint("plain/", n), func(b *testing.B) {
			i := 0
			for b.Loop() {
				i++
				p.take(i * 7919 % n)
			}
		})
	}
}
