package picker

import "testing"

// A removal that triggers the rebuild of the tree leaves no weight to the removed server, and does not reduce that of the others.
func TestRemovalAtRebuildKeepsShares(t *testing.T) {
	const picks = 2000
	for before := changesBeforeRebuild - 3; before <= changesBeforeRebuild; before++ {
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
				t.Fatalf("after %d changes: picked %q", before, server)
			}
			if server == "heavy" {
				heavy++
			}
		}
		if heavy < picks*97/100 {
			t.Errorf("after %d changes: server of weight 100 beside one of weight 1 got %d of %d picks, want at least 97 in 100", before, heavy, picks)
		}
	}
}
