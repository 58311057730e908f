package tenancy

import (
	"encoding/json"
	"fmt"
	"maps"
)

// Snapshot encodes the directory. Equal directories have equal encodings.
func (d *Directory) Snapshot() ([]byte, error) {
	snapshot, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encoding the snapshot: %w", err)
	}
	return snapshot, nil
}

// Restore replaces the directory by a snapshot, except for its Capacity. On an error the directory is unchanged. If a tenant
// is invalid, the error wraps ErrInvalidCommand.
func (d *Directory) Restore(snapshot []byte) error {
	var restored Directory
	if err := json.Unmarshal(snapshot, &restored); err != nil {
		return fmt.Errorf("decoding the snapshot: %w", err)
	}
	for name, tenant := range restored.Tenants {
		if tenant == nil || tenant.Name != name || tenant.Incarnation > restored.LastIncarnation ||
			tenant.Version > restored.Version || !tenant.Requirements.Valid() || !(tenant.Weight > 0) {
			return fmt.Errorf("%w: tenant %q of the directory snapshot", ErrInvalidCommand, name)
		}
	}
	restored.Capacity = d.Capacity
	*d = restored
	return nil
}

// Checkpoint holds the state of a directory before a change of one tenant, for use by Rollback.
type Checkpoint struct {
	name            Name
	tenant          *Tenant // nil: there was no tenant of that name
	version         Version
	lastIncarnation Incarnation
	quarantined     map[Name]float64
	outcomes        []Outcome
	used            Requirements
	noTenants       bool // the map of tenants was nil
}

// Checkpoint returns the current state. Call it before a change of the named tenant.
func (d *Directory) Checkpoint(name Name) Checkpoint {
	d.buildIndex()
	checkpoint := Checkpoint{
		name:            name,
		version:         d.Version,
		lastIncarnation: d.LastIncarnation,
		quarantined:     maps.Clone(d.Quarantined),
		outcomes:        d.Outcomes,
		used:            d.used,
		noTenants:       d.Tenants == nil,
	}
	if tenant, ok := d.Get(name); ok {
		checkpoint.tenant = &tenant
	}
	return checkpoint
}

// Rollback undoes the change since a checkpoint, for example because the change could not be stored.
func (d *Directory) Rollback(checkpoint Checkpoint) {
	d.Version = checkpoint.version
	d.LastIncarnation = checkpoint.lastIncarnation
	d.Quarantined = checkpoint.quarantined
	d.Outcomes = checkpoint.outcomes
	d.used = checkpoint.used
	d.outcomeNumbers = nil // buildIndex rebuilds it
	delete(d.Tenants, checkpoint.name)
	if checkpoint.tenant != nil {
		d.Tenants[checkpoint.name] = checkpoint.tenant
	}
	if checkpoint.noTenants {
		d.Tenants = nil
	}
}
