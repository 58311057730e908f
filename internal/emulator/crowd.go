package emulator

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/env"
	"snowquay/internal/wire/http1"
)

// ClientConfig is what a proxy's clients are like.
type ClientConfig struct {
	Proxy      netip.AddrPort // the proxy
	Classes []Class
	Rate    float64 // queries a second
	Seed    uint64
}

const (
	clientArrivalTimer = 1
	firstClientTimeoutTimer = 1 << 30 // numbers of wake-ups from here on are of client timeouts
	notExecutedResponse     = "HTTP/1.1 503 Service Unavailable\r\nSnowquay-Ran: no\r\nContent-Length: 0\r\n\r\n"
)

// ClientGenerator are the clients of a real proxy: they ask over HTTP, wait as long as their class's client timeout, and leave.
type ClientGenerator struct {
	ClientConfig
	LoadFactor   float64 // times the usual rate
	checker    *InvariantChecker
	io     env.IO
	random randomSource
	nextID uint64
	idle   []env.Conn
	pending  map[env.Conn]*clientRequest
	timeouts map[int]env.Conn
	lastTimer   int
}

type clientRequest struct {
	id    uint64
	class int
	arrivedAt  float64
	encoded  []byte
	received   []byte
	timer int
}

// NewClientGenerator makes clients that tell a referee what they met.
func NewClientGenerator(s ClientConfig, ref *InvariantChecker) *ClientGenerator {
	return &ClientGenerator{ClientConfig: s, LoadFactor: 1, checker: ref, random: newRandomSource(s.Seed), nextID: s.Seed << 32, pending: map[env.Conn]*clientRequest{},
		timeouts: map[int]env.Conn{}, lastTimer: firstClientTimeoutTimer}
}

// Start of env.Program.
func (c *ClientGenerator) Start(now float64, io env.IO) {
	c.io = io
	c.scheduleArrival(now)
}

func (c *ClientGenerator) scheduleArrival(now float64) {
	c.io.SetTimer(now-math.Log(1-c.random.uniform())/max(c.Rate*c.LoadFactor, 1e-3), clientArrivalTimer)
}

// TimerFired of env.Program.
func (c *ClientGenerator) TimerFired(now float64, what int) {
	if what == clientArrivalTimer {
		c.scheduleArrival(now)
		c.sendRequest(now)
		return
	}
	if conn, ok := c.timeouts[what]; ok { // it gives up
		delete(c.timeouts, what)
		delete(c.pending, conn)
		c.io.Close(conn)
	}
}

func (c *ClientGenerator) sendRequest(now float64) {
	v, k := c.random.uniform(), 0
	for k < len(c.Classes)-1 && v >= c.Classes[k].Share {
		v -= c.Classes[k].Share
		k++
	}
	c.nextID++
	work := c.Classes[k].MeanWork * (0.5 + c.random.uniform())
	x := &clientRequest{id: c.nextID, class: k, arrivedAt: now, encoded: fmt.Appendf(nil,
		"POST /%s?work=%g HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %d\r\nContent-Length: 0\r\n\r\n", c.Classes[k].Name, work, c.nextID)}
	c.checker.requestStarted(now, k)
	c.lastTimer++
	x.timer = c.lastTimer
	var conn env.Conn
	if n := len(c.idle); n > 0 {
		conn, c.idle = c.idle[n-1], c.idle[:n-1]
		c.io.Send(conn, x.encoded)
	} else {
		conn = c.io.Dial(c.Proxy)
	}
	c.pending[conn], c.timeouts[x.timer] = x, conn
	c.io.SetTimer(now+c.Classes[k].Request.ClientTimeout, x.timer)
}

// Connected of env.Program.
func (c *ClientGenerator) Connected(_ float64, conn env.Conn, ok bool) {
	if x := c.pending[conn]; x != nil && ok {
		c.io.Send(conn, x.encoded)
	} else if x != nil {
		c.forget(conn, x)
	}
}

func (c *ClientGenerator) forget(conn env.Conn, x *clientRequest) {
	delete(c.pending, conn)
	delete(c.timeouts, x.timer)
}

// Receive of env.Program.
func (c *ClientGenerator) Receive(now float64, conn env.Conn, b []byte) {
	x := c.pending[conn]
	if x == nil {
		return
	}
	x.received = append(x.received, b...)
	var m http1.Message
	n, err := http1.ParseResponse(x.received, "POST", http1.DefaultLimits, &m)
	switch {
	case err != nil:
		c.checker.recordProtocolError(now, "a client can't follow: %v", err)
		c.forget(conn, x)
		c.io.Close(conn)
	case n > 0:
		if m.Status == 200 && string(m.Body) != strconv.FormatUint(x.id, 10) {
			c.checker.recordProtocolError(now, "query %d was given the answer of %s", x.id, m.Body)
		} else if m.Status == 200 {
			c.checker.requestAnswered(now, x.class, now-x.arrivedAt)
		}
		if c.forget(conn, x); m.Close {
			c.io.Close(conn)
			return
		}
		c.idle = append(c.idle, conn)
	}
}

// Closed of env.Program.
func (c *ClientGenerator) Closed(_ float64, conn env.Conn) {
	if x := c.pending[conn]; x != nil {
		c.forget(conn, x)
		return
	}
	for i, o := range c.idle {
		if o == conn {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			return
		}
	}
}

// Opened of env.Program.
func (c *ClientGenerator) Opened(float64, env.Conn, netip.Addr, uint16) {}

// Delivered of env.Program.
func (c *ClientGenerator) Delivered(float64, env.Conn, uint64) {}

// Datagram of env.Program.
func (c *ClientGenerator) Datagram(float64, []byte) {}

// receiveHTTP takes a query that a real proxy has passed on.
func (s *Server) receiveHTTP(now float64, c env.Conn, b []byte) {
	b = append(s.unparsed[c], b...)
	s.unparsed[c] = b
	var m http1.Message
	n, err := http1.ParseRequest(b, http1.DefaultLimits, &m)
	if err != nil {
		s.checker.recordProtocolError(now, "server %s can't follow: %v", s.Addr, err)
		s.io.Close(c)
		return
	}
	if n == 0 {
		return
	}
	s.unparsed[c] = append([]byte(nil), b[n:]...)
	path, work, _ := strings.Cut(m.Target, "?work=")
	j := job{conn: c, from: s.peers[c], class: -1, http: true}
	for k, x := range s.Classes {
		if path == "/"+x.Name {
			j.class = k
		}
	}
	j.work, _ = strconv.ParseFloat(work, 64)                      // what is none is no work
	j.id, _ = strconv.ParseUint(m.Get("Idempotency-Key"), 10, 64) // likewise
	if j.class < 0 {
		s.io.Send(c, []byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
		return
	}
	s.handleRequest(now, j)
}

// reply answers a query in the way in which it came.
func (s *Server) reply(j job, a outcome) {
	if !j.http {
		s.io.Send(j.conn, appendResponse(nil, j.id, a))
		return
	}
	switch a {
	case answered:
		id := strconv.FormatUint(j.id, 10)
		s.io.Send(j.conn, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id))
	case rejected:
		s.io.Send(j.conn, []byte(notExecutedResponse))
	default:
		s.io.Send(j.conn, []byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
	}
}

// AttemptSent of proxy.Observer.
func (x *ProxyObserver) AttemptSent(now float64, s balancer.Server) {
	if a, err := netip.ParseAddrPort(string(s)); err == nil {
		x.Checker.attemptSent(now, x.UID, a)
	}
}

// At tells the referee where a proxy sends from.
func (x *ProxyObserver) At(host netip.Addr) { x.Checker.relayStarted(x.UID, host) }

// ProxyObserver is what a real proxy tells the referee of itself.
type ProxyObserver struct {
	Checker *InvariantChecker
	UID     string
	Classes []int // of the referee, by the proxy's class
}

// Joined of proxy.Watch.
func (x *ProxyObserver) Joined(now float64) { x.Checker.relayJoined(now, x.UID) }

// Left of proxy.Watch.
func (x *ProxyObserver) Left(now float64) { x.Checker.relayLeft(now, x.UID) }

// TableChanged of proxy.Observer.
func (x *ProxyObserver) TableChanged(now float64, lines int, has []bool) {
	if lines >= 0 {
		x.Checker.messageReceived(now, x.UID, lines)
	}
	for c, ok := range has {
		x.Checker.tableChanged(now, x.UID, x.Classes[c], ok)
	}
}
