package registry

import (
	"testing"

	"snowquay/balancer"
	"snowquay/internal/golden"
)

func TestStoredRecord(t *testing.T) {
	golden.JSON(t, "record.json", Record{
		Place: Place{Server: "127.0.1.2:8080", Zone: 1, Kind: 2, Pod: 3, Weight: 1.5, Standing: true},
		Phase: balancer.Draining, Started: 1000.25, Told: 2000.5, Drained: true,
	})
}
