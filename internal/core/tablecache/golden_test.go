package tablecache

import (
	"testing"

	"snowquay/internal/core/picker"
	"snowquay/internal/golden"
)

// The stored format of a snapshot does not change, and restoring a snapshot and saving it again yields the same data.
func TestSnapshotFormat(t *testing.T) {
	empty := func() *Tables {
		return New([]string{"search", "book"}, func(int) picker.Table { return picker.NewEarliestDeadlineFirst(1) })
	}
	held := empty()
	held.currentAt, held.ownershipEpoch = 1000.5, 7
	picker.Replace(held.tables[0], []picker.Entry{{Server: "127.0.1.2:8080", Weight: 1.5}, {Server: "127.0.1.3:8080", Weight: 2}})
	picker.Replace(held.tables[1], []picker.Entry{{Server: "127.0.1.2:8080", Weight: 0.25}})
	b, err := held.Save()
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "tables.json", b)
	restored := empty()
	if err := restored.Restore(1001, golden.Read(t, "tables.json")); err != nil {
		t.Fatal(err)
	}
	if restored.currentAt != held.currentAt || restored.ownershipEpoch != held.ownershipEpoch {
		t.Errorf("restored the time %v and ownership epoch %d, want those of the snapshot", restored.currentAt, restored.ownershipEpoch)
	}
	again, err := restored.Save()
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "tables.json", again)
}
