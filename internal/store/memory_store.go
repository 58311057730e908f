package store

import (
	"snowquay/internal/coordinator"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// MemoryStore stores the server records of one coordinator in memory. They outlive the coordinator but not the process. The zero value is
// an empty store.
type MemoryStore struct {
	SaveError error // if not nil, Save returns it and stores nothing

	records map[string]registry.Record // by server
}

// Save implements coordinator.Store.
func (m *MemoryStore) Save(records []registry.Record) error {
	if m.SaveError != nil {
		return m.SaveError
	}
	if m.records == nil {
		m.records = map[string]registry.Record{}
	}
	for _, record := range records {
		m.records[string(record.Server)] = record
	}
	return nil
}

// Load implements coordinator.Store. The order of the records is not defined.
func (m *MemoryStore) Load() (records []registry.Record, err error) {
	for _, record := range m.records {
		records = append(records, record)
	}
	return records, nil
}

// MemoryTenantStore stores the directory and the server records of a host of many tenants in memory. It implements coordinator.HostStore.
// The zero value is an empty store.
type MemoryTenantStore struct {
	SaveError error // if not nil, Save returns it and stores nothing
	Saves     int   // calls of Save that did not return SaveError

	directory []byte // a snapshot; nil if none was saved
	servers   map[tenancy.Incarnation]*MemoryStore
}

// Directory implements coordinator.HostStore.
func (m *MemoryTenantStore) Directory() (directory tenancy.Directory, err error) {
	if m.directory != nil {
		err = directory.Restore(m.directory)
	}
	return directory, err
}

// Save implements coordinator.HostStore.
func (m *MemoryTenantStore) Save(directory *tenancy.Directory, _ tenancy.Name, removed tenancy.Incarnation) (err error) {
	if m.SaveError != nil {
		return m.SaveError
	}
	m.Saves++
	delete(m.servers, removed)
	m.directory, err = directory.Snapshot()
	return err
}

// ServerStore implements coordinator.HostStore.
func (m *MemoryTenantStore) ServerStore(incarnation tenancy.Incarnation) coordinator.Store {
	if m.servers == nil {
		m.servers = map[tenancy.Incarnation]*MemoryStore{}
	}
	if m.servers[incarnation] == nil {
		m.servers[incarnation] = &MemoryStore{}
	}
	return m.servers[incarnation]
}

// Flush implements coordinator.HostStore. It does nothing, because records are not buffered.
func (m *MemoryTenantStore) Flush() error { return nil }
