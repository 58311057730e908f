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
	"snowquay/internal/core/tenancy"
)

// Buckets and keys of a host's file, in addition to those of every file.
var (
	tenantsBucket       = []byte("tenants")   // tenants by name
	outcomesBucket      = []byte("outcomes")  // outcomes of tenant changes by sequence number
	tenantServersBucket = []byte("rolls")     // one bucket of server records per incarnation of a tenant
	directoryKey        = []byte("directory") // the directory's header, in metadataBucket
)

// directoryHeader holds the fields of a directory other than its tenants and outcomes.
type directoryHeader struct {
	Version         tenancy.Version          `json:"Version"`
	LastIncarnation tenancy.Incarnation      `json:"Given"`
	Quarantined     map[tenancy.Name]float64 `json:"Resting"`
}

// TenantStore stores the directory of a host of many tenants, and the server records of each tenant, in one file. It implements
// coordinator.HostStore. Use OpenTenantStore. It is not safe for concurrent use.
type TenantStore struct {
	db           *bolt.DB
	pending      map[tenancy.Incarnation]map[string][]byte // encoded records by server, buffered for the next flush
	pendingCount int                                       // number of buffered records of all tenants
	draining     map[tenancy.Incarnation]map[string]bool   // servers whose latest record has an ordered drain
	lastOutcome  uint64                                    // sequence number of the newest outcome in the file
}

// OpenTenantStore opens or creates the file. It fails if another process has the file open. An error wraps ErrUnknownFormat if the file has
// another format version. The caller closes the store.
func OpenTenantStore(path string) (*TenantStore, error) {
	db, err := openFile(path, tenantsBucket, outcomesBucket, tenantServersBucket)
	if err != nil {
		return nil, err
	}
	return &TenantStore{
		db:       db,
		pending:  map[tenancy.Incarnation]map[string][]byte{},
		draining: map[tenancy.Incarnation]map[string]bool{},
	}, nil
}

// Directory returns the stored directory, which is empty in a new file. It deletes server records of tenants that are not in the directory;
// a crash may have left them behind.
func (s *TenantStore) Directory() (directory tenancy.Directory, err error) {
	err = s.db.Update(func(tx *bolt.Tx) error {
		if err := loadHeader(tx, &directory); err != nil {
			return err
		}
		if err := loadTenants(tx, &directory); err != nil {
			return err
		}
		last, err := loadOutcomes(tx, &directory)
		if err != nil {
			return err
		}
		s.lastOutcome = last
		return deleteOrphanedServers(tx, &directory)
	})
	return directory, err
}

func loadHeader(tx *bolt.Tx, directory *tenancy.Directory) error {
	var header directoryHeader
	if data := tx.Bucket(metadataBucket).Get(directoryKey); data != nil {
		if err := json.Unmarshal(data, &header); err != nil {
			return fmt.Errorf("tenant directory: %w", err)
		}
	}
	directory.Version = header.Version
	directory.LastIncarnation = header.LastIncarnation
	directory.Quarantined = header.Quarantined
	return nil
}

func loadTenants(tx *bolt.Tx, directory *tenancy.Directory) error {
	directory.Tenants = map[tenancy.Name]*tenancy.Tenant{}
	return tx.Bucket(tenantsBucket).ForEach(func(name, data []byte) error {
		tenant := &tenancy.Tenant{}
		if err := json.Unmarshal(data, tenant); err != nil || string(tenant.Name) != string(name) {
			return fmt.Errorf("tenant %q: %w", name, errors.Join(err, ErrUnknownFormat))
		}
		directory.Tenants[tenant.Name] = tenant
		return nil
	})
}

func loadOutcomes(tx *bolt.Tx, directory *tenancy.Directory) (last uint64, err error) {
	err = tx.Bucket(outcomesBucket).ForEach(func(key, data []byte) error {
		var outcome tenancy.Outcome
		if err := json.Unmarshal(data, &outcome); err != nil {
			return fmt.Errorf("outcome %x: %w", key, err)
		}
		directory.Outcomes = append(directory.Outcomes, outcome)
		last = binary.BigEndian.Uint64(key)
		return nil
	})
	return last, err
}

func deleteOrphanedServers(tx *bolt.Tx, directory *tenancy.Directory) error {
	known := map[tenancy.Incarnation]bool{}
	for _, tenant := range directory.Tenants {
		known[tenant.Incarnation] = true
	}
	var orphaned [][]byte
	bucket := tx.Bucket(tenantServersBucket)
	err := bucket.ForEachBucket(func(key []byte) error {
		if !known[tenancy.Incarnation(binary.BigEndian.Uint64(key))] {
			orphaned = append(orphaned, slices.Clone(key))
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, key := range orphaned {
		if err := bucket.DeleteBucket(key); err != nil {
			return err
		}
	}
	return nil
}

// Save stores the directory after a change of one tenant, and returns when it is durable. removed is the incarnation of a tenant that the
// change removed, or 0; its server records are deleted.
func (s *TenantStore) Save(directory *tenancy.Directory, changed tenancy.Name, removed tenancy.Incarnation) error {
	var lastOutcome uint64
	err := s.db.Update(func(tx *bolt.Tx) error {
		if err := saveHeader(tx, directory); err != nil {
			return err
		}
		if err := saveTenant(tx, directory, changed); err != nil {
			return err
		}
		last, err := saveOutcome(tx, directory, s.lastOutcome)
		if err != nil {
			return err
		}
		lastOutcome = last
		return deleteServers(tx, removed)
	})
	if err != nil {
		return err
	}
	s.lastOutcome = lastOutcome
	if removed != 0 {
		s.pendingCount -= len(s.pending[removed])
		delete(s.pending, removed)
		delete(s.draining, removed)
	}
	return nil
}

func saveHeader(tx *bolt.Tx, directory *tenancy.Directory) error {
	data, err := json.Marshal(directoryHeader{
		Version:         directory.Version,
		LastIncarnation: directory.LastIncarnation,
		Quarantined:     directory.Quarantined,
	})
	if err != nil {
		return err
	}
	return tx.Bucket(metadataBucket).Put(directoryKey, data)
}

func saveTenant(tx *bolt.Tx, directory *tenancy.Directory, name tenancy.Name) error {
	bucket := tx.Bucket(tenantsBucket)
	tenant, ok := directory.Get(name)
	if !ok {
		return bucket.Delete([]byte(name))
	}
	data, err := json.Marshal(tenant)
	if err != nil {
		return err
	}
	return bucket.Put([]byte(name), data)
}

// saveOutcome stores the outcome of the latest change, if the directory recorded one, and deletes the outcome that the directory evicted for
// it. last is the sequence number of the newest stored outcome; the function returns the new one.
func saveOutcome(tx *bolt.Tx, directory *tenancy.Directory, last uint64) (uint64, error) {
	count := len(directory.Outcomes)
	if count == 0 || directory.Outcomes[count-1].Version != directory.Version {
		return last, nil
	}
	data, err := json.Marshal(directory.Outcomes[count-1])
	if err != nil {
		return last, err
	}
	last++
	bucket := tx.Bucket(outcomesBucket)
	if err := bucket.Put(encodeUint64(last), data); err != nil {
		return last, err
	}
	if last <= uint64(count) {
		return last, nil
	}
	return last, bucket.Delete(encodeUint64(last - uint64(count)))
}

func deleteServers(tx *bolt.Tx, removed tenancy.Incarnation) error {
	if removed == 0 {
		return nil
	}
	err := tx.Bucket(tenantServersBucket).DeleteBucket(encodeUint64(uint64(removed)))
	if errors.Is(err, bolterrors.ErrBucketNotFound) {
		return nil
	}
	return err
}

// ServerStore returns the store for the server records of one incarnation of a tenant.
func (s *TenantStore) ServerStore(incarnation tenancy.Incarnation) coordinator.Store {
	return &tenantServers{store: s, incarnation: incarnation}
}

// Flush writes all buffered records, and returns when they are durable.
func (s *TenantStore) Flush() error {
	if s.pendingCount == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bolt.Tx) error {
		for incarnation, records := range s.pending {
			if err := putRecords(tx, incarnation, records); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	clear(s.pending)
	s.pendingCount = 0
	return nil
}

// Close flushes buffered records and closes the file.
func (s *TenantStore) Close() error { return errors.Join(s.Flush(), s.db.Close()) }

// encodeUint64 encodes a number as a key. Keys sort in numeric order.
func encodeUint64(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }
