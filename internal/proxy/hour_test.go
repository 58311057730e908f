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
	hourTables        = 60   // tables published in the course of the test
	hourTableInterval = 60.0 // seconds between tables
	hourRate          = 30.0 // requests per second
	hourClientTimeout = 8.0  // seconds after which a client closes its connection
	hourDrainDeadline = 3.0  // seconds after its removal during which a server may still receive requests
)

// countingServer counts the executions of each request. At random it loses the response to an executed request, or rejects a request.
type countingServer struct {
	stubProgram
	received   map[env.Conn][]byte // data of incomplete requests
	executions map[string]int      // by idempotency key; shared by the servers of a failure domain
	random     *rand.Rand
	server     balancer.Server
	record     *trafficRecord
}

// trafficRecord is an Observer that records the attempts by server. countingServer records violations of the drain deadline in it.
type trafficRecord struct {
	sent      map[balancer.Server]int     // attempts since the latest reset
	total     int                         // sum of sent
	removedAt map[balancer.Server]float64 // times at which servers were removed from the tables
	violation string                      // the latest violation of the drain deadline; empty: none
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
		s.record.violation = fmt.Sprintf("%s received a request %.2f s after its removal", s.server, now-removedAt)
	}
	s.respond(conn, request.Get(idempotencyKeyField), request.Target)
}

// respond executes a request unless it is a retry that the failure domain recognizes, and responds. Retries of non-idempotent requests are
// not recognized.
func (s *countingServer) respond(conn env.Conn, key, path string) {
	sample := s.random.Float64()
	switch {
	case sample < 0.01 && s.executions[key] == 0: // the request is executed and the response is lost
		s.executions[key]++
		s.io.Close(conn)
	case sample < 0.02:
		s.io.Send(conn, []byte("HTTP/1.1 503 Busy\r\nSnowquay-Ran: no\r\nContent-Length: 0\r\n\r\n"))
	default:
		if s.executions[key] == 0 || path == "/once" { // otherwise the failure domain recognizes a retry
			s.executions[key]++
		}
		s.io.Send(conn, []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

// hourTest runs a proxy with servers, a coordinator and a stream of clients in virtual time.
type hourTest struct {
	net         *simnet.Net
	random      *rand.Rand
	record      *trafficRecord
	executions  []map[string]int // executions by failure domain and idempotency key
	coordinator *testCoordinator
	proxy       *Proxy
	requests    int // number of requests sent so far
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
		h.net.Add(serverAddress(i).Addr(), 0, false).Start(&countingServer{
			stubProgram: stubProgram{net: h.net},
			received:    map[env.Conn][]byte{},
			executions:  h.executions[i/2],
			random:      h.random,
			server:      balancer.Server(serverAddress(i).String()),
			record:      h.record,
		})
	}
	coordinatorAddress := netip.MustParseAddrPort("10.0.3.1:3000")
	h.net.Add(coordinatorAddress.Addr(), 0, false).Start(h.coordinator)
	config := testConfig(hourServers)
	config.Coordinators = []netip.AddrPort{coordinatorAddress}
	config.Observer = h.record
	config.Forwarding.Classes[1].DedupScope = balancer.SameFailureDomain
	config.Forwarding.Locations = testLocations(hourServers)
	h.proxy = New(h.net.Now(), config)
	h.net.Add(proxyAddress.Addr(), 0, false).Start(h.proxy)
	return h
}

// request sends a request on its own connection, so that requests do not wait for each other, and schedules the next one.
func (h *hourTest) request() {
	h.requests++
	path := []string{"/search", "/introduce", "/once"}[h.requests%3]
	client := &testClient{
		stubProgram: stubProgram{net: h.net},
		proxy:       proxyAddress,
		send:        post(path, fmt.Sprint("k", h.requests), ""),
		closeAfter:  hourClientTimeout,
	}
	address := netip.AddrFrom4([4]byte{10, 1, byte(h.requests >> 8), byte(h.requests)})
	h.net.Add(address, 0, true).Start(client)
	h.net.At(h.net.Now()-math.Log(1-h.random.Float64())/hourRate, h.request)
}

// publish sends tables with random weights from which randomly chosen servers are missing. It returns the weights.
func (h *hourTest) publish(version uint64) map[balancer.Server]float64 {
	tables := testTables(version, 0)
	weights := map[balancer.Server]float64{}
	for i := range hourServers {
		server := balancer.Server(serverAddress(i).String())
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

// checkProportions checks that the attempts since the latest reset are proportional to the weights.
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
			t.Errorf("table %d: %s received %.3f of %d attempts, want %.3f", version, server, got, h.record.total, want)
		}
	}
}

// countExecutions returns the number of requests that were executed, and the number of requests of the keyed and non-idempotent classes that
// were executed more than once.
func (h *hourTest) countExecutions(t *testing.T) (executed, executedTwice int) {
	t.Helper()
	executions := map[string]int{}
	for _, domainExecutions := range h.executions {
		for key, count := range domainExecutions {
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

// During an hour of traffic with new tables each minute, the share of each server in the attempts stays within two percentage points of its
// share of the weights, no removed server receives requests after the drain deadline, and no request that is not idempotent is executed twice
// although responses are lost.
func TestHourOfTraffic(t *testing.T) {
	h := newHourTest()
	h.net.Run(h.net.Now() + 3)
	h.request()
	for version := uint64(1); version <= hourTables; version++ {
		const settleTime = 0.2 // seconds for the proxy to receive the tables
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
		t.Errorf("%d of %d requests were executed more than once, want 0 of at least 50000", executedTwice, executed)
	}
	if h.proxy.Core.Stats.Retries < 500 {
		t.Errorf("%d retries, want at least 500: the test does not cover retries", h.proxy.Core.Stats.Retries)
	}
}
