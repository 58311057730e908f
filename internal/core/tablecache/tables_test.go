package tablecache

import (
	"errors"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/picker"
	"snowquay/internal/wire/delta"
)

func newTestTables() *Tables {
	return New([]string{"search", "book"}, func(int) picker.Table { return picker.NewEarliestDeadlineFirst(1) })
}

// testResponse returns a response with complete tables in which each class lists the servers.
func testResponse(version, ownershipEpoch uint64, servers ...string) *delta.Tables {
	response := &delta.Tables{Epoch: "a", Version: version, OwnershipEpoch: ownershipEpoch}
	for _, name := range []string{"search", "book"} {
		class := delta.Class{Class: name, Full: true}
		for _, server := range servers {
			class.Entries = append(class.Entries, delta.Entry{Server: server, Weight: 1})
		}
		response.Classes = append(response.Classes, class)
	}
	return response
}

// newTablesWithTwoServers returns tables of ownership epoch 7 with the servers a and b, from which c and d have been removed.
func newTablesWithTwoServers(t *testing.T) *Tables {
	t.Helper()
	tables := newTestTables()
	if _, _, err := tables.Apply(1000, testResponse(1, 0, "a", "b", "c", "d")); err != nil {
		t.Fatal(err)
	}
	_, left, err := tables.Apply(1001, testResponse(9, 7, "a", "b"))
	if err != nil {
		t.Fatal(err)
	}
	if len(left) != 2 {
		t.Fatalf("removed servers %v, want c and d", left)
	}
	return tables
}

// A response that cannot be applied completely changes no table.
func TestInapplicableResponsesAreRejected(t *testing.T) {
	unknownBase := testResponse(12, 7, "c")
	unknownBase.Base = 11
	unknownBase.Classes[0].Full = false
	unknownBase.Classes[1].Full = false
	unknownClass := testResponse(13, 7, "c")
	unknownClass.Classes[1].Class = "x"
	tests := map[string]struct {
		response *delta.Tables
		want     error
	}{
		"older ownership epoch": {testResponse(10, 6, "c", "d"), ErrEpochOutdated},
		"no ownership epoch":    {testResponse(10, 0, "c", "d"), ErrEpochOutdated},
		"unknown base":          {unknownBase, ErrUnknownBase},
		"unknown class":         {unknownClass, ErrUnknownClass},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tables := newTablesWithTwoServers(t)
			if _, _, err := tables.Apply(1002, test.response); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			for class := range balancer.Class(2) {
				if tables.Table(class).Len() != 2 || tables.Table(class).Weight("c") != 0 {
					t.Errorf("table of class %d has changed: %v", class, tables.Table(class).Entries())
				}
			}
		})
	}
}

func TestSnapshotRestoresOwnershipEpoch(t *testing.T) {
	snapshot, err := newTablesWithTwoServers(t).Save()
	if err != nil {
		t.Fatal(err)
	}
	restored := newTestTables()
	if err := restored.Restore(1010, snapshot); err != nil {
		t.Fatal(err)
	}
	if servers := restored.Table(1).Len(); servers != 2 {
		t.Errorf("%d servers restored, want 2", servers)
	}
	if _, _, err := restored.Apply(1011, testResponse(1, 6, "c", "d")); !errors.Is(err, ErrEpochOutdated) {
		t.Errorf("error %v, want %v", err, ErrEpochOutdated)
	}
}

func TestInvalidSnapshots(t *testing.T) {
	tests := map[string]struct {
		now      float64
		snapshot string
	}{
		"no JSON":       {1001, "{"},
		"in the future": {1001, `{"at":9e9,"classes":[]}`},
		"too old":       {9000, `{"at":1,"classes":[]}`},
		"unknown class": {1001, `{"at":1000,"classes":[{"name":"x","lines":[]}]}`},
		"weight":        {1001, `{"at":1000,"classes":[{"name":"search","lines":[{"Server":"a","Weight":-1}]}]}`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tables := newTestTables()
			err := tables.Restore(test.now, []byte(test.snapshot))
			if !errors.Is(err, ErrInvalidSnapshot) {
				t.Errorf("error %v, want %v", err, ErrInvalidSnapshot)
			}
			if tables.Table(0).Len() != 0 {
				t.Errorf("entries %v were restored from an invalid snapshot", tables.Table(0).Entries())
			}
		})
	}
}
