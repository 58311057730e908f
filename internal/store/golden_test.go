package store

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/golden"
)

func goldenRecords() []registry.Record {
	return []registry.Record{
		{ServerConfig: registry.ServerConfig{Server: "127.0.1.2:8080", Zone: 1, Kind: 2, FailureDomain: 3, Weight: 1.5, Static: true}, Phase: balancer.Draining,
			Started: 1000.25, NotifiedAt: 2000.5, DrainOrdered: true},
		{ServerConfig: registry.ServerConfig{Server: "127.0.1.3:8080", Weight: 1}},
	}
}

// copyGolden copies a golden file to a path that a test may write to. If the golden file does not exist, fill creates it.
func copyGolden(t *testing.T, name string, fill func(path string)) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if _, err := os.Stat(filepath.Join("testdata", "golden", name)); err != nil {
		fill(path)
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		golden.Bytes(t, name, b)
	}
	if err := os.WriteFile(path, golden.Read(t, name), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestStoredServers(t *testing.T) {
	fill := func(path string) {
		s, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Save(goldenRecords()); err != nil {
			t.Fatal(err)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	path := copyGolden(t, "servers.db", fill)
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	records, err := s.Load()
	if err != nil || !reflect.DeepEqual(records, goldenRecords()) {
		t.Errorf("loaded records %+v, %v", records, err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	fresh := filepath.Join(t.TempDir(), "fresh.db")
	fill(fresh)
	golden.Bytes(t, "servers.txt", golden.DumpStore(t, fresh, "%s"))
}

func goldenTenant(version tenancy.Version) tenancy.Command {
	return tenancy.Command{Kind: tenancy.Create, Name: "one", Settings: []byte("<coordinator/>"), Weight: 2,
		Requirements: tenancy.Requirements{Memory: 1 << 20, EntriesPerSecond: 250.5, Connections: 40, CPU: 0.125}, Time: 1500.5, ID: 13 + uint64(version), Fingerprint: 14}
}

// goldenTenants creates a file with tenants and returns the encoded directory that it contains.
func goldenTenants(t *testing.T, path string) []byte {
	t.Helper()
	s, err := OpenTenantStore(path)
	if err != nil {
		t.Fatal(err)
	}
	directory := tenancy.Directory{Capacity: tenancy.DefaultCapacity}
	apply := func(c tenancy.Command) {
		t.Helper()
		before := directory.Tenants[c.Name]
		if outcome := directory.Apply(c); outcome.Err() != nil {
			t.Fatal(outcome.Err())
		}
		removed := tenancy.Incarnation(0)
		if c.Kind == tenancy.Remove {
			removed = before.Incarnation
		}
		if err := s.Save(&directory, c.Name, removed); err != nil {
			t.Fatal(err)
		}
	}
	first := goldenTenant(0)
	first.Name = "two"
	apply(first)
	apply(goldenTenant(1))
	apply(tenancy.Command{Kind: tenancy.Remove, Name: "two", Time: 1600.5, ID: 99, Fingerprint: 15})
	if err := s.ServerStore(directory.Tenants["one"].Incarnation).Save(goldenRecords()); err != nil {
		t.Fatal(err)
	}
	snapshot, err := directory.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func TestStoredTenants(t *testing.T) {
	fresh := filepath.Join(t.TempDir(), "fresh.db")
	golden.Bytes(t, "tenants-directory.json", goldenTenants(t, fresh))
	golden.Bytes(t, "tenants.txt", golden.DumpStore(t, fresh, "%s"))
	path := copyGolden(t, "tenants.db", func(path string) { goldenTenants(t, path) })
	s, err := OpenTenantStore(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}()
	directory, err := s.Directory()
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(&directory)
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "tenants-directory.json", encoded)
	records, err := s.ServerStore(directory.Tenants["one"].Incarnation).Load()
	if err != nil || !reflect.DeepEqual(records, goldenRecords()) {
		t.Errorf("loaded records %+v, %v", records, err)
	}
}
