package picker

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// newTables holds the constructors of tables by the name of the algorithm.
var newTables = map[string]func(seed uint64) Table{
	earliestDeadlineFirst: func(seed uint64) Table { return NewEarliestDeadlineFirst(seed) },
	weightedRandom:        func(seed uint64) Table { return NewWeightedRandom(seed) },
}

const (
	earliestDeadlineFirst = "earliest-deadline-first"
	weightedRandom        = "weighted-random"
)

func serverName(i int) balancer.Server { return balancer.Server(fmt.Sprint("s", i)) }

func sumOf(weights map[balancer.Server]float64) float64 {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	return sum
}

// After any sequence of changes a table has the same entries as a map, and its picks are in proportion to the weights: within two picks by
// earliest deadline first, within six standard deviations at random.
func TestPicksAreProportionalToWeights(t *testing.T) {
	for algorithm, newTable := range newTables {
		t.Run(algorithm, func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				table := newTable(3)
				want := changeRandomly(r, table)
				checkEntries(r, table, want)
				if _, ok := table.Pick(func(balancer.Server) bool { return false }); ok {
					r.Fatal("picked a server that is not allowed")
				}
				if len(want) == 0 {
					if _, ok := table.Pick(nil); ok {
						r.Fatal("picked a server from an empty table")
					}
					return
				}
				checkProportions(r, algorithm, table, want)
			})
		})
	}
}

// changeRandomly makes random changes to a table and returns the expected weights.
func changeRandomly(r *rapid.T, table Table) map[balancer.Server]float64 {
	weights := map[balancer.Server]float64{}
	for range rapid.IntRange(1, 30).Draw(r, "changes") {
		server := serverName(rapid.IntRange(0, 12).Draw(r, "server"))
		weight := float64(rapid.IntRange(0, 9).Draw(r, "weight"))
		table.Set(server, weight)
		weights[server] = weight
		if weight == 0 {
			delete(weights, server)
		}
		if rapid.Bool().Draw(r, "pick") {
			table.Pick(nil)
		}
	}
	return weights
}

func checkEntries(r *rapid.T, table Table, want map[balancer.Server]float64) {
	if table.Len() != len(want) || len(table.Entries()) != len(want) {
		r.Fatalf("table has %d entries, want %d", table.Len(), len(want))
	}
	for server, weight := range want {
		if table.Weight(server) != weight {
			r.Fatalf("weight of %s is %v, want %v", server, table.Weight(server), weight)
		}
	}
}

func checkProportions(r *rapid.T, algorithm string, table Table, weights map[balancer.Server]float64) {
	const picks = 2000
	picked := map[balancer.Server]float64{}
	for range picks {
		server, _ := table.Pick(nil)
		picked[server]++
	}
	sum := sumOf(weights)
	for server, weight := range weights {
		mean := picks * weight / sum
		tolerance := 2.0
		if algorithm == weightedRandom {
			tolerance = 6*math.Sqrt(mean*(1-weight/sum)) + 1
		}
		if math.Abs(picked[server]-mean) > tolerance {
			r.Fatalf("%s was picked %v times in %d picks, want %.1f", server, picked[server], picks, mean)
		}
	}
}

// newEqualWeightTable returns a table of 10 servers with equal weights.
func newEqualWeightTable(seed uint64) *EarliestDeadlineFirst {
	table := NewEarliestDeadlineFirst(seed)
	for i := range 10 {
		table.Set(serverName(i), 1)
	}
	return table
}

// A server that was not allowed for a long time is not picked repeatedly to make up for the picks that it missed.
func TestReallowedServerIsNotPickedRepeatedly(t *testing.T) {
	table := newEqualWeightTable(1)
	returning := serverName(3)
	for range 500 {
		table.Pick(func(server balancer.Server) bool { return server != returning })
	}
	picked := 0
	for range 10 {
		server, _ := table.Pick(nil)
		if server == returning {
			picked++
		}
	}
	if picked > 2 {
		t.Errorf("server that is allowed again gets %d of the next 10 picks, want at most 2", picked)
	}
}

// If many proxies add a server at the same time, only the fraction of them that corresponds to its weight picks it next.
func TestNewServerIsNotNextPickOfAllProxies(t *testing.T) {
	first := 0
	for seed := range uint64(1000) {
		table := newEqualWeightTable(seed)
		for range 25 {
			table.Pick(nil)
		}
		table.Set("new", 1)
		server, _ := table.Pick(nil)
		if server == "new" {
			first++
		}
	}
	if first > 180 || first < 30 {
		t.Errorf("new server is the next pick of %d of 1000 proxies, want 30 to 180 (its proportion is 91)", first)
	}
}

// Scaling all weights by the same factor does not change the picks: another coordinator may publish the same proportions at another scale.
func TestScaleOfWeightsDoesNotChangePicks(t *testing.T) {
	table := NewEarliestDeadlineFirst(5)
	scaled := NewEarliestDeadlineFirst(5)
	for i := range 10 {
		table.Set(serverName(i), float64(i+1))
		scaled.Set(serverName(i), float64(i+1))
	}
	for i := range 10 {
		scaled.Set(serverName(i), 100*float64(i+1))
	}
	for i := range 500 {
		want, _ := table.Pick(nil)
		got, _ := scaled.Pick(nil)
		if got != want {
			t.Fatalf("pick %d is %s, want %s", i, got, want)
		}
	}
}

// If only one server in a hundred is allowed, an allowed server is still picked, in proportion to the weights of the allowed ones.
func TestPicksWhenFewServersAreAllowed(t *testing.T) {
	for algorithm, newTable := range newTables {
		t.Run(algorithm, func(t *testing.T) {
			table := newTable(1)
			for i := range 200 {
				table.Set(serverName(i), 1+float64(i%2)*2)
			}
			light := serverName(50)
			heavy := serverName(51)
			const picks = 4000
			picked := map[balancer.Server]int{}
			for range picks {
				server, ok := table.Pick(func(server balancer.Server) bool { return server == light || server == heavy })
				if !ok {
					t.Fatal("no server was picked")
				}
				picked[server]++
			}
			if len(picked) != 2 {
				t.Errorf("number of picks by server: %v, want both allowed servers", picked)
			}
			proportion := float64(picked[heavy]) / picks
			if algorithm == weightedRandom && math.Abs(proportion-0.75) > 0.03 {
				t.Errorf("server with three quarters of the weight gets a fraction %.2f of the picks, want 0.72 to 0.78", proportion)
			}
		})
	}
}

func TestReplace(t *testing.T) {
	table := NewEarliestDeadlineFirst(1)
	Replace(table, []Entry{{"a", 1}, {"b", 2}})
	Replace(table, []Entry{{"b", 3}, {"c", 1}})
	want := []Entry{{"b", 3}, {"c", 1}}
	if got := table.Entries(); !slices.Equal(got, want) {
		t.Errorf("entries %v, want %v", got, want)
	}
}
