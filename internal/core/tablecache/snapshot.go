package tablecache

import (
	"encoding/json"
	"fmt"

	"snowquay/internal/core/finite"
	"snowquay/internal/core/picker"
)

// snapshot is the stored form of the tables.
type snapshot struct {
	CurrentAt      float64         `json:"at"` // clock time in seconds at which the tables were last known to be current
	OwnershipEpoch uint64          `json:"lead"`
	Classes        []snapshotClass `json:"classes"`
}

// snapshotClass is the stored form of the table of a class.
type snapshotClass struct {
	Name    string         `json:"name"`
	Entries []picker.Entry `json:"lines"`
}

// Save returns a snapshot of the tables, for Restore.
func (t *Tables) Save() ([]byte, error) {
	saved := snapshot{CurrentAt: t.currentAt, OwnershipEpoch: t.ownershipEpoch}
	for index, name := range t.classNames {
		saved.Classes = append(saved.Classes, snapshotClass{Name: name, Entries: t.tables[index].Entries()})
	}
	return json.Marshal(saved)
}

// Restore restores the tables from a snapshot completely or, if it returns an error, which wraps ErrInvalidSnapshot, not at all. This gives
// a restarted proxy tables while it cannot reach a coordinator. A snapshot that is more than two hours old is rejected, since its servers
// may have left. The ownership epoch is restored as well, so that responses of older ownership epochs are still rejected.
func (t *Tables) Restore(now float64, data []byte) error {
	var saved snapshot
	if err := json.Unmarshal(data, &saved); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if saved.CurrentAt > now || now-saved.CurrentAt > maxSnapshotAge {
		return fmt.Errorf("%w: %.0f s old, limit is %.0f s", ErrInvalidSnapshot, now-saved.CurrentAt, maxSnapshotAge)
	}
	for _, class := range saved.Classes {
		if err := t.checkSnapshotClass(class); err != nil {
			return err
		}
	}
	for _, saved := range saved.Classes {
		class, _ := t.Class(saved.Name)
		picker.Replace(t.tables[class], saved.Entries)
	}
	t.currentAt = saved.CurrentAt
	t.ownershipEpoch = saved.OwnershipEpoch
	return nil
}

// checkSnapshotClass returns an error if the table of a class in a snapshot cannot be restored.
func (t *Tables) checkSnapshotClass(class snapshotClass) error {
	_, known := t.Class(class.Name)
	if !known || len(class.Entries) > maxClassEntries {
		return fmt.Errorf("%w: class %q with %d entries", ErrInvalidSnapshot, class.Name, len(class.Entries))
	}
	for _, entry := range class.Entries {
		if !finite.Positive(entry.Weight) || entry.Server == "" {
			return fmt.Errorf("%w: server %q with weight %v", ErrInvalidSnapshot, entry.Server, entry.Weight)
		}
	}
	return nil
}
