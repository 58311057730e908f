package picker

import (
	"fmt"
	"testing"

	"snowquay/balancer"
)

// linearRoundRobin is the smooth weighted round robin of nginx, which scans all entries. The benchmarks compare the tables with it.
type linearRoundRobin struct {
	entries []Entry
	credits []float64 // by entry
}

func (l *linearRoundRobin) pick() balancer.Server {
	sum := 0.0
	best := 0
	for i, entry := range l.entries {
		sum += entry.Weight
		l.credits[i] += entry.Weight
		if l.credits[i] > l.credits[best] {
			best = i
		}
	}
	l.credits[best] -= sum
	return l.entries[best].Server
}

func benchmarkEntries(count int) []Entry {
	var entries []Entry
	for i := range count {
		entries = append(entries, Entry{Server: serverName(i), Weight: 1 + float64(i%7)})
	}
	return entries
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 300, 5000} {
		entries := benchmarkEntries(count)
		for algorithm, newTable := range newTables {
			b.Run(fmt.Sprint(algorithm, "/", count), func(b *testing.B) {
				table := newTable(1)
				Replace(table, entries)
				for b.Loop() {
					table.Pick(nil)
				}
			})
		}
		b.Run(fmt.Sprint("linear-round-robin/", count), func(b *testing.B) {
			l := &linearRoundRobin{entries: entries, credits: make([]float64, count)}
			for b.Loop() {
				l.pick()
			}
		})
	}
}

func BenchmarkSet(b *testing.B) {
	for _, count := range []int{10, 300, 5000} {
		entries := benchmarkEntries(count)
		for algorithm, newTable := range newTables {
			b.Run(fmt.Sprint(algorithm, "/", count), func(b *testing.B) {
				table := newTable(1)
				Replace(table, entries)
				server := serverName(count / 2)
				i := 0
				for b.Loop() {
					i++
					table.Set(server, 1+float64(i%5))
				}
			})
		}
	}
}

func BenchmarkReplace300(b *testing.B) {
	table := NewEarliestDeadlineFirst(1)
	entries := benchmarkEntries(300)
	i := 0
	for b.Loop() {
		i++
		for k := range entries {
			entries[k].Weight = 1 + float64((k+i)%9)
		}
		Replace(table, entries)
	}
}
