package emulator

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"strconv"

	"snowquay/internal/env"
	"snowquay/internal/wire/http1"
)

// ClientConfig configures the emulated clients of a real proxy.
type ClientConfig struct {
	Proxy   netip.AddrPort
	Classes []Class
	Rate    float64 // requests per second
	Seed    uint64
}

// The timer keys.
const (
	clientArrivalTimer      = 1
	firstClientTimeoutTimer = 1 << 30 // base of the keys of the requests' client timeouts
)

const minRate = 1e-3 // requests per second; keeps the time until the next arrival finite

// ClientGenerator emulates the clients of a real proxy. They send requests over HTTP and close the connection if no
// response arrives within the client timeout of the request's class.
type ClientGenerator struct {
	ignoredEvents
	ClientConfig
	LoadFactor float64 // factor applied to Rate

	checker   *InvariantChecker
	io        env.IO
	random    randomSource
	nextID    uint64
	idle      []env.Conn // in the order in which the connections became idle
	pending   map[env.Conn]*clientRequest
	timeouts  map[int]env.Conn // by timer key
	lastTimer int
}

type clientRequest struct {
	id        uint64
	class     int
	arrivedAt float64
	encoded   []byte
	received  []byte
	timer     int
}

// NewClientGenerator returns a generator that reports requests and responses to checker.
func NewClientGenerator(config ClientConfig, checker *InvariantChecker) *ClientGenerator {
	return &ClientGenerator{
		ClientConfig: config,
		LoadFactor:   1,
		checker:      checker,
		random:       newRandomSource(config.Seed),
		nextID:       config.Seed << 32,
		pending:      map[env.Conn]*clientRequest{},
		timeouts:     map[int]env.Conn{},
		lastTimer:    firstClientTimeoutTimer,
	}
}

// Start implements env.Program.
func (g *ClientGenerator) Start(now float64, io env.IO) {
	g.io = io
	g.scheduleArrival(now)
}

func (g *ClientGenerator) scheduleArrival(now float64) {
	g.io.SetTimer(now-math.Log(1-g.random.uniform())/max(g.Rate*g.LoadFactor, minRate), clientArrivalTimer)
}

// TimerFired implements env.Program.
func (g *ClientGenerator) TimerFired(now float64, key int) {
	if key == clientArrivalTimer {
		g.scheduleArrival(now)
		g.sendRequest(now)
		return
	}
	conn, ok := g.timeouts[key]
	if !ok {
		return
	}
	delete(g.timeouts, key)
	delete(g.pending, conn)
	g.io.Close(conn)
}

func (g *ClientGenerator) sendRequest(now float64) {
	class := drawClass(g.random, g.Classes)
	g.nextID++
	work := g.Classes[class].MeanWork * (0.5 + g.random.uniform())
	request := &clientRequest{
		id:        g.nextID,
		class:     class,
		arrivedAt: now,
		encoded: fmt.Appendf(nil, "POST /%s?work=%g HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %d\r\nContent-Length: 0\r\n\r\n",
			g.Classes[class].Name, work, g.nextID),
	}
	g.checker.requestStarted(now, class)
	g.lastTimer++
	request.timer = g.lastTimer
	conn := g.send(request)
	g.pending[conn] = request
	g.timeouts[request.timer] = conn
	g.io.SetTimer(now+g.Classes[class].Request.ClientTimeout, request.timer)
}

// send sends a request over the connection that became idle last, or dials a new one if none is idle. It returns the
// connection.
func (g *ClientGenerator) send(request *clientRequest) env.Conn {
	last := len(g.idle) - 1
	if last < 0 {
		return g.io.Dial(g.Proxy)
	}
	conn := g.idle[last]
	g.idle = g.idle[:last]
	g.io.Send(conn, request.encoded)
	return conn
}

// Connected implements env.Program.
func (g *ClientGenerator) Connected(_ float64, conn env.Conn, ok bool) {
	request := g.pending[conn]
	if request == nil {
		return
	}
	if !ok {
		g.dropRequest(conn, request)
		return
	}
	g.io.Send(conn, request.encoded)
}

func (g *ClientGenerator) dropRequest(conn env.Conn, request *clientRequest) {
	delete(g.pending, conn)
	delete(g.timeouts, request.timer)
}

// Receive implements env.Program.
func (g *ClientGenerator) Receive(now float64, conn env.Conn, b []byte) {
	request := g.pending[conn]
	if request == nil {
		return
	}
	request.received = append(request.received, b...)
	var response http1.Message
	size, err := http1.ParseResponse(request.received, http.MethodPost, http1.DefaultLimits, &response)
	if err != nil {
		g.checker.recordProtocolError(now, "client cannot parse the response: %v", err)
		g.dropRequest(conn, request)
		g.io.Close(conn)
		return
	}
	if size == 0 {
		return
	}
	g.checkResponse(now, request, &response)
	g.dropRequest(conn, request)
	if response.Close {
		g.io.Close(conn)
		return
	}
	g.idle = append(g.idle, conn)
}

// checkResponse checks that a successful response echoes the request's ID, and records the answer.
func (g *ClientGenerator) checkResponse(now float64, request *clientRequest, response *http1.Message) {
	if response.Status != http.StatusOK {
		return
	}
	if string(response.Body) != strconv.FormatUint(request.id, 10) {
		g.checker.recordProtocolError(now, "request %d received the response of request %s", request.id, response.Body)
		return
	}
	g.checker.requestAnswered(now, request.class, now-request.arrivedAt)
}

// Closed implements env.Program.
func (g *ClientGenerator) Closed(_ float64, conn env.Conn) {
	if request := g.pending[conn]; request != nil {
		g.dropRequest(conn, request)
		return
	}
	if i := slices.Index(g.idle, conn); i >= 0 {
		g.idle = slices.Delete(g.idle, i, i+1)
	}
}
