package partition

import "testing"

func TestIsolate(t *testing.T) {
	var zones Zones
	if zones.Between(0, 1) {
		t.Error("there is a partition between zones 0 and 1 initially")
	}
	zones.Isolate(1, 3, true)
	for _, pair := range [][2]int{{0, 1}, {1, 0}, {1, 2}, {2, 1}} {
		if !zones.Between(pair[0], pair[1]) {
			t.Errorf("zones %d and %d can reach each other, want a partition", pair[0], pair[1])
		}
	}
	if zones.Between(0, 2) || zones.Between(1, 1) {
		t.Error("there is a partition between zones that are not isolated")
	}
	zones.Isolate(1, 3, false)
	if zones.Between(0, 1) || zones.Between(1, 2) {
		t.Error("the partition of zone 1 has not ended")
	}
}
