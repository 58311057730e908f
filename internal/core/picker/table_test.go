package picker

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func serverName(i int) balancer.Server { return balancer.Server(fmt.Sprint("s", i)) }

// linearRoundRobin is the rotation that scans all lines: what Even is measured against.
type linearRoundRobin struct {
	lines  []Entry
	credit []float64
}

func (p *linearRoundRobin) pick() balancer.Server {
	sum, best := 0.0, 0
	for i, l := range p.lines {
		sum += l.Weight
		if p.credit[i] += l.Weight; p.credit[i] > p.credit[best] {
			best = i
		}
	}
	p.credit[best] -= sum
	return p.lines[best].Server
}

// Through any changes, weights, lines and what may be taken are as a plain list has them, and each stretch without a change
// is picked by weight: evenly within one pick for each line, at random within what chance allows.
func TestPicksAreProportionalToWeights(t *testing.T) {
	for kind, newTable := range map[string]func() Table{"even": func() Table { return NewSmoothWeighted(3) }, "random": func() Table { return NewWeightedRandom(3) }} {
		t.Run(kind, func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				table, want := newTable(), map[balancer.Server]float64{}
				for range rapid.IntRange(1, 30).Draw(r, "changes") {
					s := serverName(rapid.IntRange(0, 12).Draw(r, "server"))
					w := float64(rapid.IntRange(0, 9).Draw(r, "weight"))
					if table.Set(s, w); w == 0 {
						delete(want, s)
					} else {
						want[s] = w
					}
					if rapid.Bool().Draw(r, "picks") {
						table.Pick(nil)
					}
				}
				if table.Len() != len(want) || len(table.Entries()) != len(want) {
					r.Fatalf("%d lines, want %d", table.Len(), len(want))
				}
				sum := 0.0
				for s, w := range want {
					if sum += w; table.Weight(s) != w {
						r.Fatalf("%s has %v, want %v", s, table.Weight(s), w)
					}
				}
				if _, ok := table.Pick(func(balancer.Server) bool { return false }); ok {
					r.Fatal("it picks what may not be taken")
				}
				if len(want) == 0 {
					if _, ok := table.Pick(nil); ok {
						r.Fatal("it picks from an empty table")
					}
					return
				}
				const n = 2000
				got := map[balancer.Server]float64{}
				for range n {
					s, _ := table.Pick(nil)
					got[s]++
				}
				for s, w := range want {
					mean := n * w / sum
					allowed := 2.0
					if kind == "random" {
						allowed = 6*math.Sqrt(mean*(1-w/sum)) + 1
					}
					if math.Abs(got[s]-mean) > allowed {
						r.Fatalf("%s was picked %v times of %d, its part is %.1f", s, got[s], n, mean)
					}
				}
			})
		})
	}
}

// A line that could not be taken for long does not get all at once what it missed, and one that is new is not everybody's
// next: of many proxies only its part is.
func TestChangesDoNotBunch(t *testing.T) {
	table := NewSmoothWeighted(1)
	for i := range 10 {
		table.Set(serverName(i), 1)
	}
	for range 500 {
		table.Pick(func(s balancer.Server) bool { return s != serverName(3) })
	}
	in := 0
	for range 10 {
		if s, _ := table.Pick(nil); s == serverName(3) {
			in++
		}
	}
	if in > 2 {
		t.Errorf("a server that comes back gets %d of the next 10 queries", in)
	}
	first := 0
	for seed := range uint64(1000) {
		table := NewSmoothWeighted(seed)
		for i := range 10 {
			table.Set(serverName(i), 1)
		}
		for range 25 {
			table.Pick(nil)
		}
		table.Set("new", 1)
		if s, _ := table.Pick(nil); s == "new" {
			first++
		}
	}
	if first > 180 || first < 30 {
		t.Errorf("a new line is the next of %d of 1000 proxies; its part is 91", first)
	}
	// All weights are multiplied, as another coordinator may say them: nothing else changes.
	a, b := NewSmoothWeighted(5), NewSmoothWeighted(5)
	for i := range 10 {
		a.Set(serverName(i), float64(i+1))
		b.Set(serverName(i), float64(i+1))
	}
	for i := range 10 {
		b.Set(serverName(i), 100*float64(i+1))
	}
	for range 500 {
		x, _ := a.Pick(nil)
		if y, _ := b.Pick(nil); x != y {
			t.Fatal("the picks differ")
		}
	}
}

// Where one line in a hundred may be taken, it is found, by weight among those that may.
func TestPicksAmongFewAllowedServers(t *testing.T) {
	for kind, table := range map[string]Table{"even": NewSmoothWeighted(1), "random": NewWeightedRandom(1)} {
		for i := range 200 {
			table.Set(serverName(i), 1+float64(i%2)*2)
		}
		got := map[balancer.Server]int{}
		for range 4000 {
			s, ok := table.Pick(func(s balancer.Server) bool { return s == serverName(50) || s == serverName(51) })
			if !ok {
				t.Fatal(kind, ": none is found")
			}
			got[s]++
		}
		if part := float64(got[serverName(51)]) / 4000; kind == "random" && math.Abs(part-0.75) > 0.03 || len(got) != 2 {
			t.Errorf("%s: %v", kind, got)
		}
	}
}

func TestReplace(t *testing.T) {
	table := NewSmoothWeighted(1)
	Replace(table, []Entry{{"a", 1}, {"b", 2}})
	Replace(table, []Entry{{"b", 3}, {"c", 1}})
	if l := table.Entries(); len(l) != 2 || l[0] != (Entry{"b", 3}) || l[1] != (Entry{"c", 1}) {
		t.Errorf("%v", l)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 300, 5000} {
		fill := func(t Table) Table {
			for i := range n {
				t.Set(serverName(i), 1+float64(i%7))
			}
			return t
		}
		for kind, t := range map[string]Table{"even": fill(NewSmoothWeighted(1)), "random": fill(NewWeightedRandom(1))} {
			b.Run(fmt.Sprint(kind, "/", n), func(b *testing.B) {
				for b.Loop() {
					t.Pick(nil)
				}
			})
			b.Run(fmt.Sprint(kind, "-change/", n), func(b *testing.B) {
				s, i := serverName(n/2), 0
				for b.Loop() {
					i++
					t.Set(s, 1+float64(i%5))
				}
			})
		}
		p := &linearRoundRobin{credit: make([]float64, n)}
		for i := range n {
			p.lines = append(p.lines, Entry{serverName(i), 1 + float64(i%7)})
		}
		b.Run(fmt.Sprint("plain/", n), func(b *testing.B) {
			for b.Loop() {
				p.pick()
			}
		})
	}
}

func BenchmarkReplace300(b *testing.B) {
	table := NewSmoothWeighted(1)
	var lines []Entry
	for i := range 300 {
		lines = append(lines, Entry{serverName(i), 1})
	}
	i := 0
	for b.Loop() {
		i++
		for k := range lines {
			lines[k].Weight = 1 + float64((k+i)%9)
		}
		Replace(table, lines)
	}
}
