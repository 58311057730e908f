package proxy

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/wire/delta"
	"snowquay/internal/wire/http1"
)

// testCoordinator records polls; its responses are sent by sendTables.
type testCoordinator struct {
	noProgram
	conn     env.Conn // of the latest poll
	polls    []string // their targets
	received []byte
}

func (c *testCoordinator) Receive(_ float64, conn env.Conn, data []byte) {
	c.conn = conn
	c.received = append(c.received, data...)
	var poll http1.Message
	length, err := http1.ParseRequest(c.received, http1.DefaultLimits, &poll)
	if err == nil && length > 0 {
		c.polls = append(c.polls, poll.Target)
		c.received = c.received[length:]
	}
}

func (c *testCoordinator) lastPoll() string { return c.polls[len(c.polls)-1] }

func (c *testCoordinator) sendTables(tables *delta.Tables) {
	body, err := delta.Append(nil, delta.CBOR, tables)
	if err != nil {
		panic(err)
	}
	head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n", delta.CBOR, len(body))
	c.io.Send(c.conn, append(head, body...))
}

// testTables returns complete tables in which each class has these servers.
func testTables(version, ownershipEpoch uint64, servers ...int) *delta.Tables {
	tables := &delta.Tables{Epoch: "e", Version: version, OwnershipEpoch: ownershipEpoch}
	for _, name := range []string{"search", "introduce", "once"} {
		class := delta.Class{Class: name, Full: true}
		for _, i := range servers {
			class.Entries = append(class.Entries, delta.Entry{Server: serverAt(i).String(), Weight: 1})
		}
		tables.Classes = append(tables.Classes, class)
	}
	return tables
}

var coordinatorAddresses = []netip.AddrPort{
	netip.MustParseAddrPort("10.0.3.1:3000"),
	netip.MustParseAddrPort("10.0.3.2:3000"),
}

// coordinatorTest is a proxy with two coordinators; owner is the one that the proxy has polled first.
type coordinatorTest struct {
	*testEnvironment
	config    func(*Config)
	owner     *testCoordinator
	ownerHost *simnet.Host
	other     *testCoordinator
	otherHost *simnet.Host
}

func newCoordinatorTest(t *testing.T) *coordinatorTest {
	t.Helper()
	store := &memoryStore{}
	config := func(config *Config) {
		config.Coordinators = coordinatorAddresses
		config.DefaultServers = nil
		config.Store = store
		config.Seed = 7
	}
	e := &coordinatorTest{
		testEnvironment: newTestEnvironment(t, 3, config),
		config:          config,
		owner:           &testCoordinator{},
		other:           &testCoordinator{},
	}
	e.ownerHost = e.net.Add(coordinatorAddresses[0].Addr(), 0, false)
	e.ownerHost.Start(e.owner)
	e.otherHost = e.net.Add(coordinatorAddresses[1].Addr(), 0, false)
	e.otherHost.Start(e.other)
	e.runFor(2.5)
	if len(e.owner.polls) == 0 {
		e.owner, e.other = e.other, e.owner
		e.ownerHost, e.otherHost = e.otherHost, e.ownerHost
	}
	if len(e.owner.polls) == 0 {
		t.Fatal("no coordinator is polled")
	}
	e.owner.sendTables(testTables(1, 5, 0, 1))
	e.runFor(0.2)
	joined, _ := e.proxy.Coordinator()
	if !joined || !strings.Contains(e.owner.lastPoll(), "lead=5") {
		t.Fatalf("joined: %t, polls %q", joined, e.owner.polls)
	}
	return e
}

// A server that drains gets no new request and its idle connections are closed, while requests in flight there go on.
func TestDrainedServer(t *testing.T) {
	e := newCoordinatorTest(t)
	for range 4 {
		e.newClient(get("/search"), 0)
	}
	e.runFor(0.2)
	drained := e.servers[1]
	drained.behavior = "silent"
	inFlight := []*testClient{e.newClient(get("/search"), 0), e.newClient(get("/search"), 0)}
	e.runFor(0.2)
	closedBefore := drained.closed
	e.owner.sendTables(testTables(2, 5, 0, 2))
	e.runFor(0.1)
	if drained.closed <= closedBefore {
		t.Error("idle connections to a server that drains stay open")
	}
	requestsBefore := len(drained.requests)
	for range 10 {
		e.newClient(get("/search"), 0)
	}
	e.runFor(0.3)
	if len(drained.requests) != requestsBefore {
		t.Error("a server that drains gets new requests")
	}
	e.runFor(2)
	for _, client := range inFlight {
		e.expectReceived(client, "HTTP/1.1 200")
	}
}

// Tables of an older ownership epoch are rejected. Without coordinators, and after a restart, the proxy goes on with those it has.
func TestCoordinatorsAreLost(t *testing.T) {
	e := newCoordinatorTest(t)
	e.owner.sendTables(testTables(2, 5, 0, 2))
	e.runFor(3)
	e.ownerHost.Kill()
	e.runFor(3)
	if len(e.other.polls) == 0 || !strings.Contains(e.other.polls[0], "version=2") {
		t.Fatalf("polls of the other coordinator: %q", e.other.polls)
	}
	e.other.sendTables(testTables(9, 4, 1)) // it does not know that the proxy has had another owner since
	e.runFor(0.2)
	table := e.proxy.Core.Tables.Table(0)
	if table.Weight(balancer.Server(serverAt(1).String())) != 0 || table.Len() != 2 {
		t.Error("a table of an older ownership epoch is applied")
	}
	e.otherHost.Kill()
	e.runFor(5)

	e.host.Kill()
	config := testConfig(3)
	e.config(&config)
	e.proxy = New(e.net.Now(), config)
	e.host.Start(e.proxy)
	client := e.newClient(get("/search"), 0)
	e.runFor(0.5)
	e.expectReceived(client, "HTTP/1.1 200")
	if servers := e.proxy.Core.Tables.Table(0).Len(); servers != 2 {
		t.Errorf("%d servers after the restart, want 2", servers)
	}
}

// Tables that come while the proxy stalls are applied in their order, and the newest counts; a delta that builds on one that was lost is
// not applied.
func TestTablesDuringStall(t *testing.T) {
	e := newTestEnvironment(t, 3, func(config *Config) { config.Coordinators = coordinatorAddresses[:1] })
	coordinator := &testCoordinator{}
	e.net.Add(coordinatorAddresses[0].Addr(), 0, false).Start(coordinator)
	e.runFor(3)
	e.host.Freeze(2)
	for version := uint64(1); version <= 5; version++ {
		coordinator.sendTables(testTables(version, 0, int(version)%3))
	}
	e.runFor(1)
	if e.proxy.Core.Tables.Table(0).Len() != 3 {
		t.Error("a table is applied during the stall")
	}
	e.runFor(2)
	entries := e.proxy.Core.Tables.Table(0).Entries()
	if len(entries) != 1 || entries[0].Server != balancer.Server(serverAt(2).String()) {
		t.Errorf("after the stall the table is %v", entries)
	}

	late := testTables(9, 0, 0)
	late.Base = 8
	pollsBefore := len(coordinator.polls)
	coordinator.sendTables(late)
	e.runFor(1)
	_, version, _ := e.proxy.Core.Tables.HeldVersion()
	if version != 0 {
		t.Errorf("version %d is held after a delta to an unknown one", version)
	}
	if len(coordinator.polls) <= pollsBefore || strings.Contains(coordinator.lastPoll(), "version=") {
		t.Errorf("complete tables are not asked for: %q", coordinator.polls[pollsBefore:])
	}
}
