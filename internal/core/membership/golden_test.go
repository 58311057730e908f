package membership

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/golden"
)

func goldenRecord() registry.Record {
	return registry.Record{ServerConfig: registry.ServerConfig{Server: "127.0.1.2:8080", Zone: 1, Kind: 2, FailureDomain: 3, Weight: 1.5, Static: true},
		Phase: balancer.Draining, Started: 1000.25, NotifiedAt: 2000.5, DrainOrdered: true}
}

func goldenRequirements() tenancy.Requirements {
	return tenancy.Requirements{Memory: 1 << 20, EntriesPerSecond: 250.5, Connections: 40, CPU: 0.125}
}

func goldenState() State {
	view := View{Epoch: 4, Weights: map[Peer]float64{"c1": 1, "c2": 0.5}, Claims: map[string]Ownership{"relay-8": {Peer: "c1", Since: 3}}}
	return State{
		Epoch: 5,
		Members: map[Peer]Member{"c1": {Weight: 1, Renewal: 20, Incarnation: 77, Alive: true, SeenEpoch: 5, AppliedOrders: 9},
			"c2": {Weight: 0.5, Renewal: 30, Incarnation: 78, Alive: true, SeenEpoch: 4, AppliedOrders: 8}},
		Records:    map[balancer.Server]registry.Record{"127.0.1.2:8080": goldenRecord()},
		Drains:     map[balancer.Server]float64{"127.0.1.2:8080": 2000.5},
		PastViews:  []View{view},
		OrderCount: 9,
		Registrations: map[MemberID]Registration{1: {Peer: "c1", Address: netip.MustParseAddrPort("127.0.0.1:7001"), Removed: true},
			2: {Peer: "c2", Address: netip.MustParseAddrPort("127.0.0.2:7002"), Removed: true}},
		Claims:         map[string]Ownership{"relay-9": {Peer: "c2", Since: 5}},
		RecentOrderIDs: []uint64{101, 102},
		Directory: tenancy.Directory{Version: 2, LastIncarnation: 1,
			Tenants: map[tenancy.Name]*tenancy.Tenant{"one": {Name: "one", Incarnation: 1, Version: 2, Settings: []byte("<coordinator/>"), Weight: 2,
				Requirements: goldenRequirements(), CreatedAt: 1000, ChangedAt: 1500.5}},
			Quarantined: map[tenancy.Name]float64{"three": 1550.25},
			Outcomes:    []tenancy.Outcome{{ID: 11, Fingerprint: 12, Code: 3, Detail: "stale", Version: 2, Incarnation: 1}}},
	}
}

func TestStoredCommand(t *testing.T) {
	command := Command{Kind: ChangeTenant, Peer: "c1", Weight: 1.5, Renewal: 20, Incarnation: 77, SeenEpoch: 5, Records: []registry.Record{goldenRecord()},
		Server: "127.0.1.2:8080", Draining: true, ID: 101, OrderedAt: 2000.5, AppliedOrders: 9, UIDs: []string{"relay-9"}, MemberID: 2,
		Address: netip.MustParseAddrPort("127.0.0.2:7002"),
		Tenant: &tenancy.Command{Kind: tenancy.Change, Name: "one", IfVersion: 4, Settings: []byte("<coordinator/>"), Weight: 2, Requirements: goldenRequirements(),
			Time: 1500.5, ID: 13, Fingerprint: 14}}
	golden.JSON(t, "command.json", command)
	b, err := command.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "command.json", b)
	decoded, err := Decode(golden.Read(t, "command.json"))
	if err != nil || !reflect.DeepEqual(decoded, command) {
		t.Errorf("decoded %+v, %v, want %+v", decoded, err, command)
	}
}

// Command kinds are stored by their numeric values, which must not change.
func TestStoredKinds(t *testing.T) {
	for i, kind := range []CommandKind{RenewLease, ExpireLease, ReleaseLease, StoreRecords, DrainServer, RegisterMember, RemoveRegistration, ClaimProxies, ChangeTenant} {
		if kind != CommandKind(i+1) {
			t.Errorf("the command kind stored as %d has the value %d", i+1, kind)
		}
	}
}

func TestStoredState(t *testing.T) {
	s := goldenState()
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "state.json", b)
	var decoded State
	if err := json.Unmarshal(golden.Read(t, "state.json"), &decoded); err != nil {
		t.Fatal(err)
	}
	if want := goldenState(); !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoded %+v, want %+v", decoded, want)
	}
	var restored State
	if err := restored.Restore(golden.Read(t, "state.json")); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "state.json", again)
}
