package settings

import (
	"testing"

	"snowquay/internal/golden"
)

func TestEditOnTheWire(t *testing.T) {
	pod, kind, standing := 3, 2, true
	golden.JSON(t, "edit.json", Edit{Server: "127.0.1.2:8080", Remove: true, Zone: "a", Pod: &pod, Kind: &kind, Weight: 1.5, Capacity: 90, Standing: &standing})
}
