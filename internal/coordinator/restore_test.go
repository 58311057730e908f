package coordinator_test

import (
	"net/netip"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/env/simnet"
	"snowquay/internal/wire/sasp"
)

var (
	saspAddress   = netip.MustParseAddrPort("10.0.0.1:3860")
	peerAddress   = netip.MustParseAddrPort("10.0.0.1:7000")
	serverAddress = netip.MustParseAddrPort("10.0.0.9:80")
)

func groupedCoordinatorConfig(storage consensus.Storage, incarnation uint64) coordinator.Config {
	return coordinator.Config{
		Site: controlplane.Site{
			Seed:          1,
			ClassNames:    []string{"search"},
			Zones:         []string{"a"},
			AllowUnlisted: true,
			Classes:       []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3}},
			DataPlane:     balancer.DataPlane{Proxies: 1, Coordinators: 1, DefaultRetry: balancer.RetryIfNotExecuted},
			Channel:       balancer.Channel{EntriesPerSecond: 1e5, MessageOverhead: 3, MaxQueued: 1e5, MeanDelay: 0.01, MaxDelay: 0.2},
			Guarantees: balancer.Guarantees{DrainDeadline: 3, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10,
				OverloadFactor: 3, OverloadWindow: 2},
			Reporting: balancer.Reporting{Period: 0.5},
			Limits:    controlplane.DefaultLimits,
		},
		SASP:        saspAddress,
		Limits:      saspsession.DefaultLimits,
		Policy:      saspsession.Policy{FleetUID: "fleet", AllowUnlisted: true},
		Storage:     storage,
		Incarnation: incarnation,
		Group: &coordinator.GroupConfig{
			Self:      1,
			Weight:    1,
			Members:   map[membership.MemberID]netip.AddrPort{1: peerAddress},
			Key:       []byte(testGroupKey),
			Consensus: consensus.DefaultConfig,
			Lease:     membership.DefaultLeaseConfig,
		},
	}
}

// drainingServer returns a client that registers a server over SASP and then requests its drain.
func drainingServer() *rawClient {
	client := &rawClient{to: saspAddress}
	groups := []sasp.Group{{UID: []byte("fleet"), Name: []byte("search"), To: 1}}
	server := sasp.Row{Address: sasp.AddressOf(serverAddress)}
	client.data = sasp.Append(client.data, &sasp.Message{Kind: sasp.Registration, Groups: groups, Rows: []sasp.Row{server}})
	server.Flags = sasp.Quiesce
	client.data = sasp.Append(client.data, &sasp.Message{Kind: sasp.SetMember, Groups: groups, Rows: []sasp.Row{server}})
	return client
}

// A coordinator without a local store restores the servers and their drains from the state of the group.
func TestRegistryIsRestoredFromGroup(t *testing.T) {
	net := simnet.New(1, 1000)
	storage := &consensus.MemoryStorage{OwnDataDirID: 5}
	host := net.Add(saspAddress.Addr(), 0, false)
	incarnation := uint64(0)
	start := func() *coordinator.Coordinator {
		t.Helper()
		incarnation++
		program, err := coordinator.New(net.Now(), groupedCoordinatorConfig(storage, incarnation), nil)
		if err != nil {
			t.Fatal(err)
		}
		host.Start(program)
		return program
	}
	program := start()
	net.Run(net.Now() + 3)
	net.Add(serverAddress.Addr(), 0, false).Start(drainingServer())
	net.Run(net.Now() + 1)
	server := balancer.Server(serverAddress.String())
	if phase, _ := program.Fleet.Registry.Phase(server); phase != balancer.Draining {
		t.Fatalf("after the drain order the server is in phase %v, want draining", phase)
	}
	host.Kill()
	program = start()
	net.Run(net.Now() + 2)
	record, ok := program.Fleet.Registry.Find(server)
	if !ok || record.Phase != balancer.Draining || !record.DrainOrdered {
		t.Errorf("after the restart the record is %+v, want a draining server with an ordered drain", record)
	}
}

func TestChangedRecords(t *testing.T) {
	state := &membership.State{}
	record := registry.Record{ServerConfig: registry.ServerConfig{Server: "a", Weight: 1}, Phase: balancer.Ready, Started: 100}
	if len(state.ChangedRecords([]registry.Record{record})) != 1 {
		t.Error("a new server is not reported as a change")
	}
	if _, err := state.Apply(membership.Command{Kind: membership.StoreRecords, Records: []registry.Record{record}}); err != nil {
		t.Fatal(err)
	}
	later := record
	later.Started = 101
	if len(state.ChangedRecords([]registry.Record{record, later})) != 0 {
		t.Error("a start that another coordinator observed a second later is reported as a change")
	}
	changes := map[string]func(*registry.Record){
		"start":   func(r *registry.Record) { r.Started = 110 },
		"drain":   func(r *registry.Record) { r.DrainOrdered = true },
		"removal": func(r *registry.Record) { r.Phase = balancer.Removed },
		"weight":  func(r *registry.Record) { r.Weight = 2 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			changed := record
			change(&changed)
			if len(state.ChangedRecords([]registry.Record{changed})) != 1 {
				t.Errorf("%+v is not reported as a change", changed)
			}
		})
	}
}
