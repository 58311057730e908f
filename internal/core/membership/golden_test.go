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
	return registry.Record{Place: registry.Place{Server: "127.0.1.2:8080", Zone: 1, Kind: 2, Pod: 3, Weight: 1.5, Standing: true},
		Phase: balancer.Draining, Started: 1000.25, Told: 2000.5, Drained: true}
}

func goldenNeeds() tenancy.Needs {
	return tenancy.Needs{Memory: 1 << 20, Lines: 250.5, Connections: 40, Work: 0.125}
}

func goldenState() State {
	view := View{Epoch: 4, Weights: map[Peer]float64{"c1": 1, "c2": 0.5}, Claims: map[string]Held{"relay-8": {Peer: "c1", Since: 3}}}
	return State{
		Epoch: 5,
		Members: map[Peer]Member{"c1": {Weight: 1, Renewal: 20, Life: 77, Alive: true, Seen: 5, Knows: 9},
			"c2": {Weight: 0.5, Renewal: 30, Life: 78, Alive: true, Seen: 4, Knows: 8}},
		Records: map[balancer.Server]registry.Record{"127.0.1.2:8080": goldenRecord()},
		Drains:  map[balancer.Server]float64{"127.0.1.2:8080": 2000.5},
		Past:    []View{view},
		Orders:  9,
		Seats: map[Number]Seat{1: {Peer: "c1", Address: netip.MustParseAddrPort("127.0.0.1:7001"), Gone: true},
			2: {Peer: "c2", Address: netip.MustParseAddrPort("127.0.0.2:7002"), Gone: true}},
		Claims: map[string]Held{"relay-9": {Peer: "c2", Since: 5}},
		Done:   []uint64{101, 102},
		Directory: tenancy.Directory{Version: 2, Given: 1,
			Tenants: map[tenancy.Name]*tenancy.Tenant{"one": {Name: "one", Incarnation: 1, Version: 2, Settings: []byte("<coordinator/>"), Weight: 2,
				Needs: goldenNeeds(), Made: 1000, Changed: 1500.5}},
			Resting: map[tenancy.Name]float64{"three": 1550.25},
			Done:    []tenancy.Outcome{{ID: 11, Print: 12, Code: 3, Detail: "stale", Version: 2, Incarnation: 1}}},
	}
}

func TestStoredCommand(t *testing.T) {
	command := Command{Kind: Tenants, Peer: "c1", Weight: 1.5, Renewal: 20, Life: 77, Seen: 5, Records: []registry.Record{goldenRecord()},
		Server: "127.0.1.2:8080", On: true, ID: 101, Told: 2000.5, Knows: 9, UIDs: []string{"relay-9"}, Number: 2,
		Address: netip.MustParseAddrPort("127.0.0.2:7002"),
		Tenant: &tenancy.Command{Kind: tenancy.Change, Name: "one", If: 4, Settings: []byte("<coordinator/>"), Weight: 2, Needs: goldenNeeds(),
			At: 1500.5, ID: 13, Print: 14}}
	golden.JSON(t, "command.json", command)
	b, err := command.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "command.json", b)
	decoded, err := Decode(golden.Read(t, "command.json"))
	if err != nil || !reflect.DeepEqual(decoded, command) {
		t.Errorf("%+v, %v, want %+v", decoded, err, command)
	}
}

// Commands are stored by these numbers.
func TestStoredKinds(t *testing.T) {
	for i, kind := range []Kind{Renew, Expire, Retire, Keep, Drain, Sit, Unseat, Claim, Tenants} {
		if kind != Kind(i+1) {
			t.Errorf("kind %d has the number %d", i+1, kind)
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
