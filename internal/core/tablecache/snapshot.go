package tablecache

import (
	"encoding/json"
	"fmt"
	"math"

	"snowquay/internal/core/picker"
)

type snapshot struct {
	CurrentAt      float64         `json:"at"` // clock time in seconds at which the tables were last known to be the newest
	OwnershipEpoch uint64          `json:"lead"`
	Classes        []snapshotClass `json:"classes"`
}

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

// Restore takes the tables of a snapshot completely or, with an error that wraps ErrInvalidSnapshot, not at all. With them a proxy that
// restarts has tables while it reaches no coordinator. A snapshot of more than two hours is rejected, since its servers may have left.
// The ownership epoch is restored too, so that responses which are older than the proxy has followed stay rejected.
func (t *Tables) Restore(now float64, data []byte) error {
	var saved snapshot
	if err := json.Unmarshal(data, &saved); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if saved.CurrentAt > now || now-saved.CurrentAt > maxAge {
		return fmt.Errorf("%w: %.0f s old, at most %.0f allowed", ErrInvalidSnapshot, now-saved.CurrentAt, maxAge)
	}
	for _, class := range saved.Classes {
		if err := t.checkSaved(class); err != nil {
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

func (t *Tables) checkSaved(class snapshotClass) error {
	_, known := t.Class(class.Name)
	if !known || len(class.Entries) > maxEntries {
		return fmt.Errorf("%w: class %q with %d entries", ErrInvalidSnapshot, class.Name, len(class.Entries))
	}
	for _, entry := range class.Entries {
		if !(entry.Weight > 0) || math.IsInf(entry.Weight, 0) || entry.Server == "" {
			return fmt.Errorf("%w: server %q, weight %v", ErrInvalidSnapshot, entry.Server, entry.Weight)
		}
	}
	return nil
}
