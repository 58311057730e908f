package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"snowquay/internal/coordinator"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

var (
	tenantsBucket  = []byte("tenants")
	outcomesBucket = []byte("outcomes")
	rollsBucket    = []byte("rolls")
	headKey        = []byte("directory")
)

// head is what a directory has besides tenants and outcomes.
type head struct {
	Version tenancy.Version          `json:"Version"`
	Given   tenancy.Incarnation      `json:"Given"`
	Resting map[tenancy.Name]float64 `json:"Resting"`
}

// TenantStore is the file of a host of many tenants: the directory, a record a tenant, and the roll of each. Use OpenHosted.
type TenantStore struct {
	db      *bolt.DB
	waiting map[tenancy.Incarnation]map[string][]byte // records that the next transaction keeps
	drains  map[tenancy.Incarnation]map[string]bool   // servers whose kept record says that they drain
	count   int
	saved   int // outcomes that are in the file, by the number of the latest
}

const mostWaitingRecords = 65536 // that wait for a flush; more, and they are kept at once

// OpenTenantStore opens or makes the file. It fails where another process has it open.
func OpenTenantStore(path string) (*TenantStore, error) {
	db, err := open(path, tenantsBucket, outcomesBucket, rollsBucket)
	if err != nil {
		return nil, err
	}
	return &TenantStore{db: db, waiting: map[tenancy.Incarnation]map[string][]byte{}, drains: map[tenancy.Incarnation]map[string]bool{}}, nil
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Directory of coordinator.HostStore. Rolls of tenants that are not in it, which a crash has left, are removed.
func (h *TenantStore) Directory() (d tenancy.Directory, err error) {
	err = h.db.Update(func(tx *bolt.Tx) error {
		var x head
		if b := tx.Bucket(about).Get(headKey); b != nil {
			if err := json.Unmarshal(b, &x); err != nil {
				return fmt.Errorf("directory of tenants: %w", err)
			}
		}
		d = tenancy.Directory{Version: x.Version, LastIncarnation: x.Given, Quarantined: x.Resting, Tenants: map[tenancy.Name]*tenancy.Tenant{}}
		lives := map[tenancy.Incarnation]bool{}
		if err := tx.Bucket(tenantsBucket).ForEach(func(k, v []byte) error {
			t := &tenancy.Tenant{}
			if err := json.Unmarshal(v, t); err != nil || string(t.Name) != string(k) {
				return fmt.Errorf("tenant %q: %w", k, errors.Join(err, ErrUnknownFormat))
			}
			d.Tenants[t.Name], lives[t.Incarnation] = t, true
			return nil
		}); err != nil {
			return err
		}
		if err := tx.Bucket(outcomesBucket).ForEach(func(k, v []byte) error {
			var o tenancy.Outcome
			if err := json.Unmarshal(v, &o); err != nil {
				return fmt.Errorf("outcome %x: %w", k, err)
			}
			d.Outcomes, h.saved = append(d.Outcomes, o), int(binary.BigEndian.Uint64(k))
			return nil
		}); err != nil {
			return err
		}
		var over [][]byte
		if err := tx.Bucket(rollsBucket).ForEachBucket(func(k []byte) error {
			if !lives[tenancy.Incarnation(binary.BigEndian.Uint64(k))] {
				over = append(over, slices.Clone(k))
			}
			return nil
		}); err != nil {
			return err
		}
		for _, k := range over {
			if err := tx.Bucket(rollsBucket).DeleteBucket(k); err != nil {
				return err
			}
		}
		return nil
	})
	return d, err
}

// Save of coordinator.HostStore.
func (h *TenantStore) Save(d *tenancy.Directory, of tenancy.Name, over tenancy.Incarnation) error {
	saved := h.saved
	err := h.db.Update(func(tx *bolt.Tx) error {
		b, err := json.Marshal(head{d.Version, d.LastIncarnation, d.Quarantined})
		if err != nil {
			return err
		}
		if err := tx.Bucket(about).Put(headKey, b); err != nil {
			return err
		}
		if t, ok := d.Get(of); ok {
			if b, err = json.Marshal(t); err != nil {
				return err
			}
			err = tx.Bucket(tenantsBucket).Put([]byte(of), b)
		} else {
			err = tx.Bucket(tenantsBucket).Delete([]byte(of))
		}
		if err != nil {
			return err
		}
		outcomes := tx.Bucket(outcomesBucket)
		if n := len(d.Outcomes); n > 0 && d.Outcomes[n-1].Version == d.Version {
			if b, err = json.Marshal(d.Outcomes[n-1]); err != nil {
				return err
			}
			saved++
			if err := outcomes.Put(number(uint64(saved)), b); err != nil {
				return err
			}
			if old := saved - n; old > 0 { // forgotten by the directory, too
				if err := outcomes.Delete(number(uint64(old))); err != nil {
					return err
				}
			}
		}
		if over != 0 {
			if err := tx.Bucket(rollsBucket).DeleteBucket(number(uint64(over))); err != nil && !errors.Is(err, bolterrors.ErrBucketNotFound) {
				return err
			}
		}
		return nil
	})
	if err == nil {
		h.saved = saved
		if over != 0 {
			h.count -= len(h.waiting[over])
			delete(h.waiting, over)
			delete(h.drains, over)
		}
	}
	return err
}

// ServerStore of coordinator.HostStore.
func (h *TenantStore) ServerStore(life tenancy.Incarnation) coordinator.Store {
	return &tenantRoll{h, life}
}

// Flush of coordinator.HostStore.
func (h *TenantStore) Flush() error {
	if h.count == 0 {
		return nil
	}
	err := h.db.Update(func(tx *bolt.Tx) error {
		for life, records := range h.waiting {
			b, err := tx.Bucket(rollsBucket).CreateBucketIfNotExists(number(uint64(life)))
			if err != nil {
				return err
			}
			for server, text := range records {
				if err := b.Put([]byte(server), text); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err == nil {
		clear(h.waiting)
		h.count = 0
	}
	return err
}

// Close the file.
func (h *TenantStore) Close() error { return errors.Join(h.Flush(), h.db.Close()) }

// tenantRoll keeps the servers of one incarnation.
type tenantRoll struct {
	h    *TenantStore
	life tenancy.Incarnation
}

// Save of coordinator.Store. A drain, and the end of one, are durable when it returns. All else, such as starts and registrations, waits for
// the next flush, so that a thousand tenants that start at once do not write a thousand times: what of it is lost is heard again.
func (r *tenantRoll) Save(records []registry.Record) error {
	at, drains := r.h.waiting[r.life], r.h.drains[r.life]
	if at == nil {
		at = map[string][]byte{}
		r.h.waiting[r.life] = at
	}
	if drains == nil {
		drains = map[string]bool{}
		r.h.drains[r.life] = drains
	}
	urgent := false
	for _, x := range records {
		text, err := json.Marshal(x)
		if err != nil {
			return fmt.Errorf("server %s: %w", x.Server, err)
		}
		name := string(x.Server)
		if _, twice := at[name]; !twice {
			r.h.count++
		}
		at[name] = text
		urgent = urgent || x.DrainOrdered != drains[name]
		if drains[name] = x.DrainOrdered; !x.DrainOrdered {
			delete(drains, name)
		}
	}
	if urgent || r.h.count > mostWaitingRecords {
		return r.h.Flush()
	}
	return nil
}

// Load of coordinator.Store.
func (r *tenantRoll) Load() (records []registry.Record, err error) {
	if err := r.h.Flush(); err != nil {
		return nil, err
	}
	drains := map[string]bool{}
	err = r.h.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(rollsBucket).Bucket(number(uint64(r.life)))
		if b == nil {
			return nil
		}
		return b.ForEach(func(k, v []byte) error {
			var x registry.Record
			if err := json.Unmarshal(v, &x); err != nil {
				return fmt.Errorf("server %s: %w", k, err)
			}
			if x.DrainOrdered {
				drains[string(k)] = true
			}
			records = append(records, x)
			return nil
		})
	})
	r.h.drains[r.life] = drains
	return records, err
}

// MemoryTenantStore is a host's store that outlives a host but not the process.
type MemoryTenantStore struct {
	text      []byte
	rolls     map[tenancy.Incarnation]*MemoryStore
	SaveError error // what Save returns instead of saving
	Saves     int
}

// Directory of coordinator.HostStore.
func (m *MemoryTenantStore) Directory() (d tenancy.Directory, err error) {
	if m.text != nil {
		err = d.Restore(m.text)
	}
	return d, err
}

// Save of coordinator.HostStore.
func (m *MemoryTenantStore) Save(d *tenancy.Directory, _ tenancy.Name, over tenancy.Incarnation) (err error) {
	if m.SaveError != nil {
		return m.SaveError
	}
	m.Saves++
	delete(m.rolls, over)
	m.text, err = d.Snapshot()
	return err
}

// ServerStore of coordinator.HostStore.
func (m *MemoryTenantStore) ServerStore(life tenancy.Incarnation) coordinator.Store {
	if m.rolls == nil {
		m.rolls = map[tenancy.Incarnation]*MemoryStore{}
	}
	if m.rolls[life] == nil {
		m.rolls[life] = &MemoryStore{}
	}
	return m.rolls[life]
}

// Flush of coordinator.HostStore.
func (m *MemoryTenantStore) Flush() error { return nil }
