package picker

import "testing"

// A removal in the moment in which the sums are computed anew leaves no share to the removed server, nor takes one from the others.
func TestRemovalAtRebuildLeavesShares(t *testing.T) {
	const picks = 2000
	for before := rebuildAfter - 3; before <= rebuildAfter; before++ {
		table := NewWeightedRandom(1)
		table.Set("removed", 1)
		table.Set("light", 1)
		table.Set("heavy", 100)
		for change := range before {
			table.Set("light", 1+float64(change%2))
		}
		table.Set("light", 1)
		table.Set("removed", 0)
		heavy := 0
		for range picks {
			server, ok := table.Pick(nil)
			if !ok || server == "removed" {
				t.Fatalf("%d changes before: picked %q", before, server)
			}
			if server == "heavy" {
				heavy++
			}
		}
		if heavy < picks*97/100 {
			t.Errorf("%d changes before: a server of weight 100 beside one of 1 got %d of %d picks", before, heavy, picks)
		}
	}
}
