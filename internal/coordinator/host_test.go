package coordinator_test

import (
	"errors"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/store"
	"snowquay/internal/wire/sasp"
)

// firstServer is the first server of the first tenant's settings.
const firstServer = "127.16.0.1:18080"

// The process is killed after a change is confirmed but before it takes effect, and a command is repeated as if its
// confirmation had been lost. The next process publishes the confirmed change and answers the repeated command with the same
// outcome.
func TestHostRestartAfterConfirmation(t *testing.T) {
	t.Run("memory", func(t *testing.T) {
		f := newHostFixture(t, &store.MemoryTenantStore{})
		testRestartAfterConfirmation(t, f, func() {})
	})
	t.Run("file", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "tenants.db")
		open := func() *store.TenantStore {
			file, err := store.OpenTenantStore(path)
			if err != nil {
				t.Fatal(err)
			}
			return file
		}
		file := open()
		closeFile := func() {
			if err := file.Close(); err != nil {
				t.Fatal(err)
			}
		}
		f := newHostFixture(t, file)
		testRestartAfterConfirmation(t, f, func() {
			closeFile()
			file = open()
			f.store = file
		})
		closeFile()
	})
}

func testRestartAfterConfirmation(t *testing.T, f *hostFixture, reopenStore func()) {
	t.Helper()
	restart := func() {
		f.machine.Kill()
		reopenStore()
		f.start()
	}
	text := tenantSettings(2)
	first, err := f.change(tenancy.Create, "t000", text[0], 7)
	if err != nil {
		t.Fatal(err)
	}
	restart() // before the tenant has started
	repeated, err := f.change(tenancy.Create, "t000", text[0], 7)
	if err != nil || repeated != first {
		t.Errorf("the repeated command has outcome %+v, error %v, want %+v", repeated, err, first)
	}
	f.run(0.5)
	proxy := f.connectProxy(0)
	f.run(3)
	if len(proxy.codes) != 2 || proxy.codes[1] != sasp.OK || len(proxy.rows) == 0 {
		t.Errorf("the proxy received the codes %v, want two of which the second is OK; %d rows, want some", proxy.codes, len(proxy.rows))
	}

	confirmed := false
	f.host.Drain(f.net.Now(), "t000", balancer.Server(firstServer), true, func(ok bool) { confirmed = ok })
	restart() // before the drain is sent to the proxy
	if !confirmed {
		t.Fatal("the drain is not confirmed")
	}
	proxy = f.connect(0, setBalancer("t000/relay-0"), register("t000/relay-0"), setBalancer("t000/relay-0"))
	f.run(4)
	weight := uint16(0)
	for _, row := range proxy.rows {
		if row.AddrPort().String() == firstServer {
			weight = row.Weight
		}
	}
	if len(proxy.rows) == 0 || weight != 0 {
		t.Errorf("the drain is lost: %d rows, weight of the drained server is %d, want 0", len(proxy.rows), weight)
	}
}

// A change that can't be saved has no effect.
func TestHostChangeNotPersisted(t *testing.T) {
	memory := &store.MemoryTenantStore{}
	f := newHostFixture(t, memory)
	text := tenantSettings(2)
	f.create("t000", text[0], 1)
	memory.SaveError = errors.New("the disk is full")
	if _, err := f.change(tenancy.Create, "t001", text[1], 2); !errors.Is(err, coordinator.ErrNotPersisted) {
		t.Error(err)
	}
	if _, err := f.change(tenancy.Remove, "t000", nil, 3); !errors.Is(err, coordinator.ErrNotPersisted) {
		t.Error(err)
	}
	if _, ok := f.host.Tenant("t001"); ok || len(f.host.Tenants()) != 1 {
		t.Error("a change that was not saved has taken effect")
	}
	memory.SaveError = nil
	if _, err := f.change(tenancy.Create, "t001", text[1], 2); err != nil {
		t.Error(err)
	}
}

// A tenant that is removed and created again is a new incarnation: the connections of the earlier incarnation are closed, its
// drains don't apply to the new one, and the tables of its proxies are replaced.
func TestHostRecreatesTenant(t *testing.T) {
	f := newHostFixture(t, &store.MemoryTenantStore{})
	text := tenantSettings(1)[0]
	f.create("t000", text, 0)
	f.run(0.5)
	proxy := f.connectProxy(0)
	f.run(2)
	f.host.Drain(f.net.Now(), "t000", firstServer, true, func(bool) {})
	f.run(1)
	if _, err := f.change(tenancy.Remove, "t000", nil, 0); err != nil {
		t.Fatal(err)
	}
	f.run(1)
	if proxy.closed != 1 {
		t.Error("the proxy's connection is still open")
	}
	if _, err := f.change(tenancy.Create, "t000", text, 0); !errors.Is(err, tenancy.ErrNameQuarantined) {
		t.Error(err)
	}
	f.run(tenancy.NameQuarantine)
	outcome, err := f.change(tenancy.Create, "t000", text, 0)
	if err != nil || outcome.Incarnation != 2 {
		t.Fatal(outcome, err)
	}
	f.run(0.5)
	proxy = f.connect(0, setBalancer("t000/relay-0"), register("t000/relay-0"), setBalancer("t000/relay-0"))
	f.run(3)
	tenant, _ := f.host.Tenant("t000")
	drain, _ := tenant.Coordinator.Fleet.DrainProgress(firstServer)
	if drain.Phase != balancer.Ready || len(proxy.rows) < 4 {
		t.Errorf("drain of the recreated tenant's server is %+v, want phase ready; proxy received %d rows, want at least 4", drain, len(proxy.rows))
	}
}

// Servers and proxies of a tenant are added and removed while it runs. A change of settings that its balancer reads only at
// the start restarts the tenant.
func TestHostReconfiguresTenant(t *testing.T) {
	f := newHostFixture(t, &store.MemoryTenantStore{})
	text := string(tenantSettings(1)[0])
	f.create("t000", []byte(text), 0)
	f.run(0.5)
	proxy := f.connectProxy(0)
	f.run(2)
	before, _ := f.host.Tenant("t000")
	program := before.Coordinator
	replace := func(old, replacement string) {
		t.Helper()
		if !strings.Contains(text, old) {
			t.Fatalf("%q is not in the settings", old)
		}
		text = strings.Replace(text, old, replacement, 1)
		if _, err := f.change(tenancy.Change, "t000", []byte(text), 0); err != nil {
			t.Fatal(err)
		}
		f.run(6)
	}

	proxy.rows = nil
	replace(`    <server address="127.16.0.1:18080" zone="north" standing="true" pod="0"/>`,
		`    <server address="127.16.0.99:18080" zone="north" standing="true" pod="0"/>`)
	weights := map[string]uint16{}
	for _, row := range proxy.rows {
		weights[row.AddrPort().String()] = row.Weight
	}
	removedWeight, sent := weights[firstServer]
	if !sent || removedWeight != 0 || weights["127.16.0.99:18080"] == 0 || proxy.closed != 0 {
		t.Errorf("weights %v after a server was replaced, want 0 only for the old one; %d connections closed, want 0", weights, proxy.closed)
	}
	after, _ := f.host.Tenant("t000")
	if after.Coordinator != program || f.host.Stats.Reconfigured != 1 {
		t.Error("the tenant was restarted or not reconfigured in place")
	}

	// A server that is no longer listed can't register.
	registration := &sasp.Message{
		Kind:   sasp.Registration,
		Groups: []sasp.Group{{UID: []byte("t000/fleet"), Name: []byte("search"), To: 1}},
		Rows:   []sasp.Row{{Address: sasp.AddressOf(netip.MustParseAddrPort(firstServer))}},
	}
	server := f.connect(0, registration, registration, registration, registration)
	f.run(1)
	if len(server.codes) == 0 || server.codes[0] != sasp.NotAccepted {
		t.Errorf("the removed server received the codes %v, want NotAccepted first", server.codes)
	}

	replace(`<relay uid="relay-0" zone="north"`, `<relay uid="relay-7" zone="north"`)
	if proxy.closed != 1 {
		t.Error("a proxy that is no longer listed is still connected")
	}
	replace(`drain-within="3"`, `drain-within="4"`)
	after, _ = f.host.Tenant("t000")
	if after.Coordinator == program || after.Coordinator == nil || f.host.Stats.Restarts != 1 {
		t.Error("the tenant was not restarted")
	}
}

// Many tenants that start at the same time use only the CPU time that the running tenants leave. A tenant whose proxy
// connects starts first.
func TestHostStartsManyTenants(t *testing.T) {
	const tenants = 64
	f := newHostFixture(t, &store.MemoryTenantStore{})
	for number, text := range tenantSettings(tenants) {
		f.create(tenantName(number), text, 0)
	}
	f.machine.Kill()
	f.start()
	proxy := f.connectProxy(63)
	f.run(0.02)
	if left := f.host.PendingStarts(); left == 0 || left >= tenants {
		t.Errorf("%d tenants wait to be started after 20 ms, want some but not all", left)
	}
	f.run(0.02) // the proxy was asked to retry
	tenant, _ := f.host.Tenant("t063")
	if tenant.Coordinator == nil {
		t.Error("the tenant whose proxy has connected was not started first")
	}
	f.run(1)
	if f.host.PendingStarts() != 0 || proxy.closed != 1 {
		t.Errorf("%d tenants wait to be started, want 0; %d connections closed, want 1", f.host.PendingStarts(), proxy.closed)
	}
}
