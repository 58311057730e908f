package tenancy

import (
	"errors"
	"reflect"
	"testing"

	"snowquay/internal/golden"
)

func goldenRequirements() Requirements {
	return Requirements{Memory: 1 << 20, EntriesPerSecond: 250.5, Connections: 40, CPU: 0.125}
}

func goldenDirectory() Directory {
	return Directory{
		Version:         7,
		LastIncarnation: 3,
		Tenants: map[Name]*Tenant{
			"one": {
				Name:         "one",
				Incarnation:  1,
				Version:      5,
				Settings:     []byte("<coordinator/>"),
				Weight:       2,
				Requirements: goldenRequirements(),
				CreatedAt:    1000,
				ChangedAt:    1500.5,
			},
			"two": {
				Name:         "two",
				Incarnation:  3,
				Version:      7,
				Settings:     []byte("<coordinator />"),
				Weight:       0.5,
				Requirements: goldenRequirements(),
				CreatedAt:    1600,
				ChangedAt:    1600,
			},
		},
		Quarantined: map[Name]float64{"three": 1550.25},
		Outcomes: []Outcome{
			{ID: 11, Fingerprint: 12, Code: 3, Detail: "it is at version 4, not 3", Version: 4, Incarnation: 2},
			{ID: 13, Fingerprint: 14, Version: 7, Incarnation: 3},
		},
	}
}

func TestStoredTenantAndOutcome(t *testing.T) {
	d := goldenDirectory()
	golden.JSON(t, "tenant.json", *d.Tenants["one"])
	golden.JSON(t, "outcome.json", d.Outcomes[0])
}

func TestStoredCommand(t *testing.T) {
	golden.JSON(t, "command.json", Command{
		Kind:         Change,
		Name:         "one",
		IfVersion:    4,
		Settings:     []byte("<coordinator/>"),
		Weight:       2,
		Requirements: goldenRequirements(),
		Time:         1500.5,
		ID:           13,
		Fingerprint:  14,
	})
}

func TestStoredDirectory(t *testing.T) {
	d := goldenDirectory()
	b, err := d.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "directory.json", b)
	var restored Directory
	if err := restored.Restore(golden.Read(t, "directory.json")); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(restored, d) {
		t.Errorf("restored %+v, want %+v", restored, d)
	}
}

// Error codes and command kinds are stored by their numeric values, which must not change.
func TestStoredErrorCodes(t *testing.T) {
	for code, want := range []error{
		nil,
		ErrExists,
		ErrNotFound,
		ErrVersionMismatch,
		ErrNameQuarantined,
		ErrKeyReused,
		ErrInvalidCommand,
		ErrNoCapacity,
	} {
		if !errors.Is(errorsByCode[code], want) {
			t.Errorf("code %d is %v, want %v", code, errorsByCode[code], want)
		}
	}
	if Create != 1 || Change != 2 || Remove != 3 {
		t.Error("the numeric values of command kinds have changed")
	}
}
