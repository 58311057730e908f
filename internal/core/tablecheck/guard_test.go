package tablecheck

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	testseed.Main(m)
}

func name(i int) balancer.Server { return balancer.Server(fmt.Sprint("s", i)) }

// brute judges a site by playing through every combination of proxies' states, in every world.
func brute(s *Snapshot) (harms map[Violation]bool) {
	harms = map[Violation]bool{}
	for _, p := range s.Proxies {
		for n, w := range p.Tables[0].Weights {
			if v, ok := s.Servers[n]; !ok || w <= 0 {
				harms[UnknownServer] = true
			} else if v.Phase != balancer.Ready {
				harms[DrainingServer] = true
			}
		}
	}
	if len(harms) > 0 {
		return harms
	}
	worlds := []balancer.Zone{-1}
	if s.LoseZone {
		worlds = append(worlds, 0, 1, 2)
	}
	picks := make([]int, len(s.Proxies))
	for {
		for _, lost := range worlds {
			if lost >= 0 && !slices.ContainsFunc(slices.Collect(values(s.Servers)), func(v Server) bool { return v.Zone == lost }) {
				continue
			}
			load, room := map[string]float64{}, map[string]float64{}
			for _, v := range s.Servers {
				c := v.Capacity
				if v.WarmingUp {
					c *= s.WarmupFraction
				}
				if v.Phase == balancer.Removed || v.Zone == lost {
					c = 0
				}
				room[v.Pool] += c
			}
			for i, p := range s.Proxies {
				t, sum, well := p.Tables[picks[i]], 0.0, false
				for n, w := range t.Weights {
					if v, ok := s.Servers[n]; ok && v.Phase != balancer.Removed && v.Zone != lost {
						sum += w
						well = well || v.Phase == balancer.Ready && !v.WarmingUp
					}
				}
				if !well {
					harms[EmptyTable] = true
				}
				for n, w := range t.Weights {
					if v, ok := s.Servers[n]; ok && v.Phase != balancer.Removed && v.Zone != lost {
						load[v.Pool] += p.Demand * w / sum
					}
				}
			}
			for pool, l := range load {
				if pool != "" && l > room[pool]*(1+1e-6)+1e-6 {
					harms[Overload] = true
				}
			}
		}
		i := 0
		for i < len(picks) {
			if picks[i]++; picks[i] < len(s.Proxies[i].Tables) {
				break
			}
			picks[i] = 0
			i++
		}
		if i == len(picks) {
			return harms
		}
	}
}

func values(m map[balancer.Server]Server) func(func(Server) bool) {
	return func(yield func(Server) bool) {
		for _, v := range m {
			if !yield(v) {
				return
			}
		}
	}
}

// A thousand generated sites: each that is harmful in any state of its proxies is refused with its reason, and none that is
// not.
func TestAgainstBruteForce(t *testing.T) {
	counts := map[Violation]int{}
	harmless := 0
	rapid.Check(t, func(r *rapid.T) {
		s := &Snapshot{Servers: map[balancer.Server]Server{}, WarmupFraction: 0.25, LoseZone: rapid.Bool().Draw(r, "lose")}
		n := rapid.IntRange(2, 6).Draw(r, "servers")
		for i := range n {
			s.Servers[name(i)] = Server{Zone: balancer.Zone(i % 3), Pool: []string{"a", "b", ""}[rapid.IntRange(0, 2).Draw(r, "pool")],
				Phase:     []balancer.Phase{balancer.Ready, balancer.Ready, balancer.Ready, balancer.Ready, balancer.Draining, balancer.Removed}[rapid.IntRange(0, 5).Draw(r, "phase")],
				WarmingUp: rapid.IntRange(0, 4).Draw(r, "cold") == 0, Capacity: float64(rapid.IntRange(0, 200).Draw(r, "capacity"))}
		}
		for i := range rapid.IntRange(1, 4).Draw(r, "proxies") {
			p := Proxy{UID: fmt.Sprint("p", i), Demand: float64(rapid.IntRange(0, 20).Draw(r, "demand"))}
			for k := range rapid.IntRange(1, 3).Draw(r, "states") {
				table := &Table{map[balancer.Server]float64{}}
				for v := range n + 1 {
					if v == n && rapid.IntRange(0, 40).Draw(r, "unknown") > 0 {
						continue
					}
					ok := s.Servers[name(v)].Phase == balancer.Ready || k > 0 || rapid.IntRange(0, 9).Draw(r, "wrong") == 0
					if w := rapid.IntRange(-1, 5).Draw(r, "weight"); w > 0 && ok {
						table.Weights[name(v)] = float64(w)
					}
				}
				p.Tables = append(p.Tables, table)
			}
			s.Proxies = append(s.Proxies, p)
		}
		got := map[Violation]bool{}
		for _, x := range s.Check() {
			got[x.Violation] = true
			if strings.Contains(x.String(), "%!") {
				r.Fatal(x.String())
			}
		}
		want := brute(s)
		for h := EmptyTable; h <= UnknownServer; h++ {
			if got[h] != want[h] {
				r.Fatalf("harm %d: %t, brute force says %t\n%+v\n%v", h, got[h], want[h], s, s.Check())
			}
			if want[h] {
				counts[h]++
			}
		}
		if len(want) == 0 {
			harmless++
		}
	})
	if harmless < 5 || counts[EmptyTable] < 5 || counts[DrainingServer] < 5 || counts[Overload] < 5 || counts[UnknownServer] < 2 {
		t.Errorf("too few of a kind to say anything: %v harmful, %d harmless", counts, harmless)
	}
}

// A preview of what a change would do: the reasons name what is wrong, the worst first.
func TestReasons(t *testing.T) {
	s := &Snapshot{Servers: map[balancer.Server]Server{"a": {Zone: 0, Pool: "x", Capacity: 10}, "b": {Zone: 1, Pool: "x", Capacity: 10},
		"c": {Zone: 1, Pool: "y", Capacity: 5, WarmingUp: true}}, WarmupFraction: 0.2}
	s.Proxies = []Proxy{{UID: "p", Demand: 12, Tables: []*Table{{map[balancer.Server]float64{"a": 1, "b": 1}}, {map[balancer.Server]float64{"a": 1, "c": 1}}}}}
	r := s.Check() // while it holds its old table it sends six a second to a cold server that can take one
	if len(r) != 1 || r[0].Violation != Overload || r[0].Pool != "y" || r[0].Load != 6 || r[0].Capacity != 1 {
		t.Fatalf("%v", r)
	}
	s.Proxies[0].Tables = s.Proxies[0].Tables[:1]
	if r := s.Check(); len(r) != 0 {
		t.Fatalf("%v", r)
	}
	s.LoseZone = true // one server must then take all
	if r := s.Check(); len(r) != 2 || r[0].Violation != Overload || r[0].LostZone != 0 || r[1].LostZone != 1 {
		t.Fatalf("%v", r)
	}
	s.Servers["a"] = Server{Zone: 0, Pool: "x", Capacity: 10, Phase: balancer.Draining}
	if r := s.Check(); len(r) != 1 || r[0].Violation != DrainingServer || !strings.Contains(r[0].String(), "takes none") {
		t.Fatalf("%v", r)
	}
}

func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{10, 100, 460} {
		b.Run(fmt.Sprint(n, "-proxies-300-servers"), func(b *testing.B) {
			s := &Snapshot{Servers: map[balancer.Server]Server{}, WarmupFraction: 0.2, LoseZone: true}
			table := &Table{map[balancer.Server]float64{}}
			for i := range 300 {
				s.Servers[name(i)] = Server{Zone: balancer.Zone(i % 3), Pool: fmt.Sprint(i % 5), Capacity: 100}
				table.Weights[name(i)] = 1
			}
			for i := range n {
				s.Proxies = append(s.Proxies, Proxy{UID: fmt.Sprint(i), Demand: 1, Tables: []*Table{table, table}})
			}
			for b.Loop() {
				s.Check()
			}
		})
	}
}
