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

// testCoordinator is a coordinator with the long-poll API. It records polls, and responds only when a test calls sendTables.
type testCoordinator struct {
	stubProgram
	conn     env.Conn // connection of the latest poll
	polls    []string // request targets of the polls
	received []byte   // data that has not been parsed yet
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

// sendTables sends tables as the response to the latest poll.
func (c *testCoordinator) sendTables(tables *delta.Tables) {
	body, err := delta.Append(nil, delta.CBOR, tables)
	if err != nil {
		panic(err)
	}
	head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n", delta.CBOR, len(body))
	c.io.Send(c.conn, append(head, body...))
}

// testTables returns complete tables with the given servers, each with weight 1, in every class.
func testTables(version, ownershipEpoch uint64, servers ...int) *delta.Tables {
	tables := &delta.Tables{Epoch: "e", Version: version, OwnershipEpoch: ownershipEpoch}
	for _, name := range []string{"search", "introduce", "once"} {
		class := delta.Class{Class: name, Full: true}
		for _, i := range servers {
			class.Entries = append(class.Entries, delta.Entry{Server: serverAddress(i).String(), Weight: 1})
		}
		tables.Classes = append(tables.Classes, class)
	}
	return tables
}

var coordinatorAddresses = []netip.AddrPort{
	netip.MustParseAddrPort("10.0.3.1:3000"),
	netip.MustParseAddrPort("10.0.3.2:3000"),
}

// coordinatorTest is a test environment with a proxy and two coordinators. owner is the coordinator that the proxy polls first.
type coordinatorTest struct {
	*testEnvironment
	config    func(*Config) // changes the configuration of the proxy
	owner     *testCoordinator
	ownerHost *simnet.Host
	other     *testCoordinator
	otherHost *simnet.Host
}

// newCoordinatorTest returns an environment in which the proxy has joined owner and holds version 1 of the tables, of ownership epoch 5, with
// the servers 0 and 1.
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
		t.Fatal("proxy polled no coordinator within 2.5 s")
	}
	e.owner.sendTables(testTables(1, 5, 0, 1))
	e.runFor(0.2)
	joined, _ := e.proxy.Coordinator()
	if !joined || !strings.Contains(e.owner.lastPoll(), "lead=5") {
		t.Fatalf("joined: %t, polls %q; want true and a last poll with lead=5", joined, e.owner.polls)
	}
	return e
}

// A draining server receives no new requests and its idle connections are closed, while its requests in flight continue.
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
		t.Error("idle connections to a draining server stay open")
	}
	requestsBefore := len(drained.requests)
	for range 10 {
		e.newClient(get("/search"), 0)
	}
	e.runFor(0.3)
	if len(drained.requests) != requestsBefore {
		t.Error("a draining server received new requests")
	}
	e.runFor(2)
	for _, client := range inFlight {
		e.expectReceived(client, "HTTP/1.1 200")
	}
}

// Tables of an older ownership epoch are rejected. While no coordinator is available, the proxy continues with the tables it holds, also after
// a restart.
func TestCoordinatorsUnavailable(t *testing.T) {
	e := newCoordinatorTest(t)
	e.owner.sendTables(testTables(2, 5, 0, 2))
	e.runFor(3)
	e.ownerHost.Kill()
	e.runFor(3)
	if len(e.other.polls) == 0 || !strings.Contains(e.other.polls[0], "version=2") {
		t.Fatalf("polls of the other coordinator: %q, want a first poll with version=2", e.other.polls)
	}
	e.other.sendTables(testTables(9, 4, 1)) // it does not know that the proxy has had a newer owner
	e.runFor(0.2)
	table := e.proxy.Core.Tables.Table(0)
	if table.Weight(balancer.Server(serverAddress(1).String())) != 0 || table.Len() != 2 {
		t.Error("tables of an older ownership epoch were applied")
	}
	e.otherHost.Kill()
	e.runFor(5)

	e.proxyHost.Kill()
	config := testConfig(3)
	e.config(&config)
	e.proxy = New(e.net.Now(), config)
	e.proxyHost.Start(e.proxy)
	client := e.newClient(get("/search"), 0)
	e.runFor(0.5)
	e.expectReceived(client, "HTTP/1.1 200")
	if servers := e.proxy.Core.Tables.Table(0).Len(); servers != 2 {
		t.Errorf("table has %d servers after the restart, want 2", servers)
	}
}

// Tables that arrive while the proxy stalls are applied in order afterwards, so that the newest takes effect. A delta to a version that was
// lost is not applied, and the next poll requests complete tables.
func TestTablesDuringStall(t *testing.T) {
	e := newTestEnvironment(t, 3, func(config *Config) { config.Coordinators = coordinatorAddresses[:1] })
	coordinator := &testCoordinator{}
	e.net.Add(coordinatorAddresses[0].Addr(), 0, false).Start(coordinator)
	e.runFor(3)
	e.proxyHost.Freeze(2)
	for version := uint64(1); version <= 5; version++ {
		coordinator.sendTables(testTables(version, 0, int(version)%3))
	}
	e.runFor(1)
	if e.proxy.Core.Tables.Table(0).Len() != 3 {
		t.Error("tables were applied during the stall")
	}
	e.runFor(2)
	entries := e.proxy.Core.Tables.Table(0).Entries()
	if len(entries) != 1 || entries[0].Server != balancer.Server(serverAddress(2).String()) {
		t.Errorf("table after the stall is %v, want only server 2", entries)
	}

	unknownBase := testTables(9, 0, 0)
	unknownBase.Base = 8
	pollsBefore := len(coordinator.polls)
	coordinator.sendTables(unknownBase)
	e.runFor(1)
	_, version, _ := e.proxy.Core.Tables.HeldVersion()
	if version != 0 {
		t.Errorf("proxy holds version %d after a delta to an unknown version, want 0", version)
	}
	if len(coordinator.polls) <= pollsBefore || strings.Contains(coordinator.lastPoll(), "version=") {
		t.Errorf("no poll requests complete tables: %q", coordinator.polls[pollsBefore:])
	}
}
