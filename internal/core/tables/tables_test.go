package tables

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// weights is the content of a table, by server.
type weights map[balancer.Server]float64

func (w weights) set(server balancer.Server, weight float64) {
	w[server] = weight
	if weight == 0 {
		delete(w, server)
	}
}

// replica is the copy of a table that a proxy holds, at a version.
type replica struct {
	version Version
	weights weights
}

// A delta updates a replica of any version that HasDeltaSince accepts to the newest table.
func TestDeltasUpdateReplicas(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var table Table
		want := weights{}
		replicas := []replica{{version: 0, weights: weights{}}}
		for range rapid.IntRange(0, 300).Draw(rt, "steps") {
			server := balancer.Server(fmt.Sprint(rapid.IntRange(0, 120).Draw(rt, "server")))
			weight := rapid.SampledFrom([]float64{0, 0, 1, 2}).Draw(rt, "weight")
			if changed := table.Set(1, server, weight); changed != (want[server] != weight) {
				rt.Fatalf("Set of %s from %v to %v returned %t", server, want[server], weight, changed)
			}
			want.set(server, weight)
			if rapid.IntRange(0, 9).Draw(rt, "replica") == 0 {
				replicas = append(replicas, replica{version: table.Version(), weights: maps.Clone(want)})
			}
		}
		if table.Len() != len(want) || len(table.entries) > table.Len()+maxRemoved {
			rt.Fatalf("table has %d entries, %d live ones are expected, Len is %d", len(table.entries), len(want), table.Len())
		}
		for _, r := range replicas {
			if !table.HasDeltaSince(r.version) {
				continue
			}
			version := r.version
			applyDelta(rt, &table, &r)
			if fmt.Sprint(r.weights) != fmt.Sprint(want) {
				rt.Fatalf("update from version %d: %v, want %v", version, r.weights, want)
			}
		}
		if table.HasDeltaSince(table.Version() + 1) {
			rt.Fatal("a delta since a future version is accepted")
		}
	})
}

// applyDelta updates a replica, and checks that the delta contains each entry once, newest first.
func applyDelta(rt *rapid.T, table *Table, r *replica) {
	seen := map[balancer.Server]bool{}
	last := table.Version() + 1
	for entry := range table.ChangedSince(r.version) {
		if seen[entry.Server] || entry.Changed >= last {
			rt.Fatalf("entry of %s is repeated or out of order", entry.Server)
		}
		seen[entry.Server] = true
		last = entry.Changed
		r.weights.set(entry.Server, entry.Weight)
	}
}

// BenchmarkOneChangeOf300 measures finding the one changed entry of 300: by the order of changes, and by a full scan.
func BenchmarkOneChangeOf300(b *testing.B) {
	var table Table
	for i := range 300 {
		table.Set(1, balancer.Server(fmt.Sprint(i)), 1)
	}
	version := table.Version() - 1
	b.Run("since", func(b *testing.B) {
		for b.Loop() {
			for entry := range table.ChangedSince(version) {
				_ = entry
			}
		}
	})
	b.Run("scan", func(b *testing.B) {
		for b.Loop() {
			for _, entry := range table.entries {
				if entry.Changed > version {
					_ = entry
				}
			}
		}
	})
}
