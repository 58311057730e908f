package store

import (
	"encoding/json"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

const maxPendingRecords = 65536 // records buffered for the next flush; more than this are flushed at once

// tenantServers stores the server records of one incarnation of a tenant. It implements coordinator.Store.
type tenantServers struct {
	store       *TenantStore
	incarnation tenancy.Incarnation
}

// Save stores records. The start and the end of a drain are durable when it returns. Other changes, such as server starts and
// registrations, are buffered until the next flush, so that a thousand tenants that start at once do not cause a thousand writes. Buffered
// changes that a crash loses are reported again.
func (t *tenantServers) Save(records []registry.Record) error {
	pending := getOrCreate(t.store.pending, t.incarnation)
	draining := getOrCreate(t.store.draining, t.incarnation)
	drainChanged := false
	for _, record := range records {
		data, err := json.Marshal(record)
		if err != nil {
			return fmt.Errorf("server %s: %w", record.Server, err)
		}
		address := string(record.Server)
		if _, replaced := pending[address]; !replaced {
			t.store.pendingCount++
		}
		pending[address] = data
		if record.DrainOrdered != draining[address] {
			drainChanged = true
		}
		if record.DrainOrdered {
			draining[address] = true
		} else {
			delete(draining, address)
		}
	}
	if drainChanged || t.store.pendingCount > maxPendingRecords {
		return t.store.Flush()
	}
	return nil
}

// Load flushes buffered records and returns all records, sorted by server.
func (t *tenantServers) Load() (records []registry.Record, err error) {
	if err := t.store.Flush(); err != nil {
		return nil, err
	}
	err = t.store.db.View(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(tenantServersBucket).Bucket(encodeUint64(uint64(t.incarnation)))
		if bucket == nil {
			return nil
		}
		records, err = loadRecords(bucket)
		return err
	})
	draining := map[string]bool{}
	for _, record := range records {
		if record.DrainOrdered {
			draining[string(record.Server)] = true
		}
	}
	t.store.draining[t.incarnation] = draining
	return records, err
}

// putRecords writes encoded records of one incarnation of a tenant.
func putRecords(tx *bolt.Tx, incarnation tenancy.Incarnation, records map[string][]byte) error {
	bucket, err := tx.Bucket(tenantServersBucket).CreateBucketIfNotExists(encodeUint64(uint64(incarnation)))
	if err != nil {
		return err
	}
	for address, data := range records {
		if err := bucket.Put([]byte(address), data); err != nil {
			return err
		}
	}
	return nil
}

// getOrCreate returns the map of an incarnation, and creates it if there is none.
func getOrCreate[V any](maps map[tenancy.Incarnation]map[string]V, incarnation tenancy.Incarnation) map[string]V {
	if maps[incarnation] == nil {
		maps[incarnation] = map[string]V{}
	}
	return maps[incarnation]
}
