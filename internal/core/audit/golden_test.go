package audit

import (
	"testing"

	"snowquay/internal/golden"
)

func TestEntryOnTheWire(t *testing.T) {
	golden.JSON(t, "entry.json", Entry{At: 1000.5, Caller: "anna", Action: "drain", Target: "127.0.1.2:8080", Result: "agreed"})
}
