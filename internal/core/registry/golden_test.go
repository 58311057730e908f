package registry

import (
	"testing"

	"snowquay/balancer"
	"snowquay/internal/golden"
)

func TestStoredRecord(t *testing.T) {
	golden.JSON(t, "record.json", Record{
		ServerConfig: ServerConfig{Server: "127.0.1.2:8080", Zone: 1, Kind: 2, FailureDomain: 3, Weight: 1.5, Static: true},
		Phase:        balancer.Draining, Started: 1000.25, NotifiedAt: 2000.5, DrainOrdered: true,
	})
}
