package proxy

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/wire/delta"
	"snowquay/internal/wire/http1"
)

const (
	hourServers       = 8
	hourTables        = 60
	hourTableInterval = 60.0 // seconds
	hourRate          = 30.0 // requests per second
	hourClientTimeout = 8.0  // seconds after which a client closes its connection
	hourDrainDeadline = 3.0  // seconds after its removal in which a server may still get requests
)

// countingServer counts the requests that it executes, and fails now and then after it has executed one.
type countingServer struct {
	noProgram
	received   map[env.Conn][]byte
	executions map[string]int // by idempotency key, over all servers of its failure domain
	random     *rand.Rand
	server     balancer.Server
	record     *trafficRecord
}

// trafficRecord is what TestHourOfTraffic checks. It is the proxy's Observer.
type trafficRecord struct {
	sent      map[balancer.Server]int // since the latest table
	total     int                     // since the latest table
	removedAt map[balancer.Server]float64
	violation string
}

func (r *trafficRecord) Joined(float64) {}

func (r *trafficRecord) Left(float64) {}

func (r *trafficRecord) TableChanged(float64, int, []bool) {}

func (r *trafficRecord) AttemptSent(_ float64, server balancer.Server) {
	r.sent[server]++
	r.total++
}

func (r *trafficRecord) reset() {
	clear(r.sent)
	r.total = 0
}

func (s *countingServer) Receive(now float64, conn env.Conn, data []byte) {
	s.received[conn] = append(s.received[conn], data...)
	var request http1.Message
	length, err := http1.ParseRequest(s.received[conn], http1.DefaultLimits, &request)
	if err != nil {
		panic(err)
	}
	if length == 0 {
		return
	}
	s.received[conn] = bytes.Clone(s.received[conn][length:])
	if removedAt, ok := s.record.removedAt[s.server]; ok && now-removedAt > hourDrainDeadline {
		s.record.violation = fmt.Sprintf("%s was sent a request %.2f s after its removal", s.server, now-removedAt)
	}
	s.respond(conn, request.Get(idempotencyKeyField), request.Target)
}

func (s *countingServer) respond(conn env.Conn, key, path string) {
	drawn := s.random.Float64()
	switch {
	case drawn < 0.01 && s.executions[key] == 0: // the response is lost
		s.executions[key]++
		s.io.Close(conn)
	case drawn < 0.02:
		s.io.Send(conn, []byte("HTTP/1.1 503 Busy\r\nSnowquay-Ran: no\r\nContent-Length: 0\r\n\r\n"))
	default:
		if s.executions[key] == 0 || path == "/once" { // otherwise the failure domain recognises a retry
			s.executions[key]++
		}
		s.io.Send(conn, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

// hourTest is a proxy with servers, a coordinator and a stream of clients.
type hourTest struct {
	net         *simnet.Net
	random      *rand.Rand
	record      *trafficRecord
	executions  []map[string]int // by failure domain and idempotency key
	coordinator *testCoordinator
	proxy       *Proxy
	requests    int
}

func newHourTest() *hourTest {
	h := &hourTest{
		net:         simnet.New(4, 1000),
		random:      rand.New(rand.NewPCG(4, 4)),
		record:      &trafficRecord{sent: map[balancer.Server]int{}, removedAt: map[balancer.Server]float64{}},
		executions:  make([]map[string]int, hourServers/2),
		coordinator: &testCoordinator{},
	}
	h.net.Faults.SplitProbability = 0.05
	for domain := range h.executions {
		h.executions[domain] = map[string]int{}
	}
	for i := range hourServers {
		h.net.Add(serverAt(i).Addr(), 0, false).Start(&countingServer{
			noProgram:  noProgram{net: h.net},
			received:   map[env.Conn][]byte{},
			executions: h.executions[i/2],
			random:     h.random,
			server:     balancer.Server(serverAt(i).String()),
			record:     h.record,
		})
	}
	coordinatorAt := netip.MustParseAddrPort("10.0.3.1:3000")
	h.net.Add(coordinatorAt.Addr(), 0, false).Start(h.coordinator)
	config := testConfig(hourServers)
	config.Coordinators = []netip.AddrPort{coordinatorAt}
	config.Observer = h.record
	config.Forwarding.Classes[1].DedupScope = balancer.SameFailureDomain
	config.Forwarding.Locations = testLocations(hourServers)
	h.proxy = New(h.net.Now(), config)
	h.net.Add(proxyAt.Addr(), 0, false).Start(h.proxy)
	return h
}

// request sends a request on a connection of its own, so that none waits for another, and schedules the next one.
func (h *hourTest) request() {
	h.requests++
	path := []string{"/search", "/introduce", "/once"}[h.requests%3]
	client := &testClient{
		noProgram:  noProgram{net: h.net},
		proxy:      proxyAt,
		send:       post(path, fmt.Sprint("k", h.requests), ""),
		closeAfter: hourClientTimeout,
	}
	address := netip.AddrFrom4([4]byte{10, 1, byte(h.requests >> 8), byte(h.requests)})
	h.net.Add(address, 0, true).Start(client)
	h.net.At(h.net.Now()-math.Log(1-h.random.Float64())/hourRate, h.request)
}

// publish sends a table with random weights, from which some servers are removed. It returns the weights.
func (h *hourTest) publish(version uint64) map[balancer.Server]float64 {
	tables := testTables(version, 0)
	weights := map[balancer.Server]float64{}
	for i := range hourServers {
		server := balancer.Server(serverAt(i).String())
		if h.random.Float64() < 0.25 && i > 1 {
			if _, ok := h.record.removedAt[server]; !ok {
				h.record.removedAt[server] = h.net.Now()
			}
			continue
		}
		delete(h.record.removedAt, server)
		weight := 1 + math.Floor(h.random.Float64()*20)
		weights[server] = weight
		for class := range tables.Classes {
			tables.Classes[class].Entries = append(tables.Classes[class].Entries, delta.Entry{Server: string(server), Weight: weight})
		}
	}
	h.coordinator.sendTables(tables)
	return weights
}

// checkProportions checks that the attempts since the latest table are in proportion to its weights.
func (h *hourTest) checkProportions(t *testing.T, version uint64, weights map[balancer.Server]float64) {
	t.Helper()
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	for server, weight := range weights {
		got := float64(h.record.sent[server]) / float64(h.record.total)
		want := weight / sum
		if math.Abs(got-want) > 0.02 {
			t.Errorf("table %d: %s got %.3f of %d attempts, want %.3f", version, server, got, h.record.total, want)
		}
	}
}

// countExecutions returns the number of requests that were executed, and of those that were executed twice and may not be.
func (h *hourTest) countExecutions(t *testing.T) (executed, executedTwice int) {
	t.Helper()
	executions := map[string]int{}
	for _, ofDomain := range h.executions {
		for key, count := range ofDomain {
			executions[key] += count
		}
	}
	for key, count := range executions {
		var request int
		if _, err := fmt.Sscanf(key, "k%d", &request); err != nil {
			t.Fatal(err)
		}
		idempotent := request%3 == 0
		if count > 1 && !idempotent {
			executedTwice++
		}
	}
	return len(executions), executedTwice
}

// An hour of traffic with a new table each minute: attempts match the weights within two percent of all for every table, no request goes
// to a server that was removed, and no effect happens twice though responses are lost.
func TestHourOfTraffic(t *testing.T) {
	h := newHourTest()
	h.net.Run(h.net.Now() + 3)
	h.request()
	for version := uint64(1); version <= hourTables; version++ {
		const settleTime = 0.2 // seconds until the proxy has the table
		weights := h.publish(version)
		h.net.Run(h.net.Now() + settleTime)
		h.record.reset()
		h.net.Run(h.net.Now() + hourTableInterval - settleTime)
		h.checkProportions(t, version, weights)
	}
	if h.record.violation != "" {
		t.Error(h.record.violation)
	}
	executed, executedTwice := h.countExecutions(t)
	if executedTwice > 0 || executed < 50000 {
		t.Errorf("%d of %d requests were executed twice", executedTwice, executed)
	}
	if h.proxy.Core.Stats.Retries < 500 {
		t.Errorf("only %d retries: the test does not test them", h.proxy.Core.Stats.Retries)
	}
}
