package bytebudget

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Guards against a sum over connections that grows without bound: whatever is added to whichever connection, the sum exceeds the
// limit by an eighth and one addition at most, and no connection is closed while a larger one stays.
func TestSumIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 1000).Draw(t, "limit")
		budget := New(limit)
		sizes := map[int]int{}
		for range rapid.IntRange(1, 200).Draw(t, "additions") {
			conn := rapid.IntRange(0, 20).Draw(t, "connection")
			added := rapid.IntRange(0, 100).Draw(t, "bytes")
			sizes[conn] += added
			if budget.Add(added) {
				closeExcess(t, &budget, sizes, limit)
			}
			total := 0
			for _, size := range sizes {
				total += size
			}
			if total > limit+limit/8+100 {
				t.Fatalf("%d bytes with a limit of %d", total, limit)
			}
		}
	})
}

func closeExcess(t *rapid.T, budget *Budget, sizes map[int]int, limit int) {
	before := 0
	for _, size := range sizes {
		before += size
	}
	smallestClosed := before
	for _, conn := range Excess(budget, maps.All(sizes)) {
		smallestClosed = min(smallestClosed, sizes[conn])
		delete(sizes, conn)
	}
	if before <= limit && smallestClosed != before {
		t.Fatalf("a connection was closed at %d bytes with a limit of %d", before, limit)
	}
	for conn, size := range sizes {
		if size > smallestClosed {
			t.Fatalf("connection %d with %d bytes stays, one with %d was closed", conn, size, smallestClosed)
		}
	}
}
