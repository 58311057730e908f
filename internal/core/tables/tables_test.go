package tables

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Whoever applies what Since says holds the table, from any version that it reaches.
func TestSinceBringsUpToDate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var table Table
		plain := map[balancer.Server]float64{}
		type copy struct {
			at    Version
			lines map[balancer.Server]float64
		}
		var copies []copy
		for range rapid.IntRange(0, 300).Draw(rt, "steps") {
			s := balancer.Server(fmt.Sprint(rapid.IntRange(0, 120).Draw(rt, "server")))
			w := rapid.SampledFrom([]float64{0, 0, 1, 2}).Draw(rt, "weight")
			if changed := table.Set(1, s, w); changed != (plain[s] != w) {
				rt.Fatalf("setting %s from %v to %v is a change: %t", s, plain[s], w, changed)
			}
			if plain[s] = w; w == 0 {
				delete(plain, s)
			}
			if rapid.IntRange(0, 9).Draw(rt, "copy") == 0 {
				c := copy{table.Version(), map[balancer.Server]float64{}}
				for s, w := range plain {
					c.lines[s] = w
				}
				copies = append(copies, c)
			}
		}
		if table.Len() != len(plain) || len(table.lines) > table.Len()+mostRemoved {
			rt.Fatalf("%d lines of %d are kept, %d are live", len(table.lines), len(plain), table.Len())
		}
		for _, c := range append(copies, copy{0, map[balancer.Server]float64{}}) {
			if !table.CanDelta(c.at) {
				continue
			}
			seen, last := map[balancer.Server]bool{}, table.Version()+1
			for l := range table.ChangedSince(c.at) {
				if seen[l.Server] || l.Changed >= last {
					rt.Fatalf("%s twice, or out of order", l.Server)
				}
				seen[l.Server], last = true, l.Changed
				if c.lines[l.Server] = l.Weight; l.Weight == 0 {
					delete(c.lines, l.Server)
				}
			}
			if fmt.Sprint(c.lines) != fmt.Sprint(plain) {
				rt.Fatalf("from version %d: %v, want %v", c.at, c.lines, plain)
			}
		}
		if table.CanDelta(table.Version() + 1) {
			rt.Fatal("a version of the future is reached")
		}
	})
}

func full(n int) (t Table) {
	for i := range n {
		t.Set(1, balancer.Server(fmt.Sprint(i)), 1)
	}
	return t
}

// What changed of 300 lines, for one proxy, after one line moved: by order of change, and by looking at all lines.
func BenchmarkOneChangeOf300(b *testing.B) {
	t := full(300)
	v := t.Version() - 1
	b.Run("since", func(b *testing.B) {
		for b.Loop() {
			for l := range t.ChangedSince(v) {
				_ = l
			}
		}
	})
	b.Run("scan", func(b *testing.B) {
		for b.Loop() {
			for _, l := range t.lines {
				if l.Changed > v {
					_ = l
				}
			}
		}
	})
}
