package settings

import (
	"testing"

	"snowquay/internal/golden"
)

func TestServerEditEncoding(t *testing.T) {
	domain, kind, static := 3, 2, true
	golden.JSON(t, "edit.json", ServerEdit{Server: "127.0.1.2:8080", Remove: true, Zone: "a", FailureDomain: &domain, Kind: &kind, Weight: 1.5, Capacity: 90, Static: &static})
}
