package proxy

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/forwarding"
	"snowquay/internal/core/retry"
	"snowquay/internal/env"
	"snowquay/internal/wire/http1"
)

const (
	notExecutedField = "Snowquay-Ran" // response field; "no" in a 503 means that the server has not started to execute the request
	maxIdleBuffer    = 8 << 10        // largest receive buffer, in bytes, that an idle connection retains
)

// target is a server to which requests are forwarded, with its idle connections.
type target struct {
	address netip.AddrPort
	idle    []*serverConn
	removed bool // whether no table has the server any more
}

// serverConn is a connection to a server. It carries one attempt at a time.
type serverConn struct {
	id        env.Conn
	target    *target
	attempt   forwarding.AttemptID // 0: the connection is idle
	request   forwarding.RequestID
	connected bool
	received  []byte
	parser    http1.Parser
	message   http1.Message
}

// sendAttempt sends a request to a server on an idle connection, or on a new one if none is idle.
func (p *Proxy) sendAttempt(now float64, action forwarding.Action) {
	t := p.targetOf(action.Server)
	if t == nil {
		p.perform(now, p.Core.AttemptFailed(now, action.Attempt, retry.NotExecuted))
		return
	}
	if p.config.Observer != nil {
		p.config.Observer.AttemptSent(now, action.Server)
	}
	conn := p.acquireServerConn(t)
	conn.attempt = action.Attempt
	conn.request = action.Request
	conn.received = conn.received[:0]
	conn.parser.Reset()
	p.attempts[action.Attempt] = conn
	if conn.connected {
		p.sendRequest(conn)
	}
}

// targetOf returns the target for a server, or nil if the name of the server is not an address.
func (p *Proxy) targetOf(server balancer.Server) *target {
	if t := p.targets[server]; t != nil {
		return t
	}
	address, err := netip.ParseAddrPort(string(server))
	if err != nil {
		return nil
	}
	t := &target{address: address}
	p.targets[server] = t
	return t
}

// acquireServerConn returns the most recently used idle connection to a target, or dials a new one.
func (p *Proxy) acquireServerConn(t *target) *serverConn {
	if len(t.idle) > 0 {
		last := len(t.idle) - 1
		conn := t.idle[last]
		t.idle = t.idle[:last]
		p.Stats.Reused++
		return conn
	}
	conn := &serverConn{id: p.io.Dial(t.address), target: t}
	p.connections[conn.id] = conn
	p.Stats.Dials++
	return conn
}

// sendRequest sends the current request of a connection to its server.
func (p *Proxy) sendRequest(conn *serverConn) {
	if request := p.requests[conn.request]; request != nil {
		p.io.Send(conn.id, request.data)
	}
}

// removeServerConn removes a closed connection from the maps of the proxy and from the idle connections.
func (p *Proxy) removeServerConn(conn *serverConn) {
	delete(p.connections, conn.id)
	delete(p.attempts, conn.attempt)
	if i := slices.Index(conn.target.idle, conn); i >= 0 {
		conn.target.idle = slices.Delete(conn.target.idle, i, i+1)
	}
}

func (p *Proxy) closeServerConn(conn *serverConn) {
	p.removeServerConn(conn)
	p.io.Close(conn.id)
}

func (p *Proxy) receiveFromServer(now float64, conn *serverConn, data []byte) {
	if conn.attempt == 0 {
		p.Stats.UnexpectedData++
		p.closeServerConn(conn)
		return
	}
	conn.received = append(conn.received, data...)
	method := http.MethodGet
	if request := p.requests[conn.request]; request != nil {
		method = request.method
	}
	for {
		length, err := conn.parser.Response(conn.received, method, p.config.Limits.HTTP, &conn.message)
		if err != nil {
			p.handleServerConnFailure(now, conn)
			p.io.Close(conn.id)
			return
		}
		if length == 0 {
			if p.buffered.Add(len(data)) {
				p.closeLargestClients(now)
			}
			return
		}
		if conn.message.Status >= http.StatusOK {
			p.handleResponse(now, conn, length)
			return
		}
		conn.received = append(conn.received[:0], conn.received[length:]...) // skip an interim response such as 100 (Continue)
	}
}

// handleResponse handles a complete response, which occupies the first length bytes of conn.received. A status of 500 or above is a server
// failure: the request may be retried on another server.
func (p *Proxy) handleResponse(now float64, conn *serverConn, length int) {
	attempt := conn.attempt
	message := conn.message
	delete(p.attempts, attempt)
	conn.attempt = 0
	conn.request = 0
	conn.message = http1.Message{}
	unexpectedData := len(conn.received) > length
	if unexpectedData {
		p.Stats.UnexpectedData++
	}
	reusable := !message.Close && !unexpectedData && p.mayKeepIdle(conn.target)
	if message.Status >= http.StatusInternalServerError {
		failure := slices.Clone(conn.received[:length])
		p.releaseServerConn(conn, reusable)
		p.handleFailure(now, attempt, &message, failure)
		return
	}
	id, actions, ok := p.Core.AttemptSucceeded(now, attempt)
	if request := p.requests[id]; ok && request != nil {
		delete(p.requests, id)
		p.respond(now, request.client, request.method, &message)
	}
	p.releaseServerConn(conn, reusable)
	p.perform(now, actions)
}

// handleFailure handles a response that reports a server failure. The response is stored and returned to the client if all attempts fail.
func (p *Proxy) handleFailure(now float64, attempt forwarding.AttemptID, message *http1.Message, failure []byte) {
	outcome := retry.MaybeExecuted
	if message.Status == http.StatusServiceUnavailable && strings.EqualFold(message.Get(notExecutedField), "no") {
		outcome = retry.NotExecuted
	}
	id, ok := p.Core.RequestOf(attempt)
	if request := p.requests[id]; ok && request != nil {
		request.lastFailure = failure
	}
	p.perform(now, p.Core.AttemptFailed(now, attempt, outcome))
}

// mayKeepIdle reports whether another idle connection to a target may be kept. The one in question has no attempt any more.
func (p *Proxy) mayKeepIdle(t *target) bool {
	limits := &p.config.Limits
	return !t.removed && len(t.idle) < limits.MaxIdlePerServer && len(p.connections)-len(p.attempts) <= limits.maxIdleServerConns()
}

// releaseServerConn makes a reusable connection available for further requests, and closes any other.
func (p *Proxy) releaseServerConn(conn *serverConn, reusable bool) {
	if !reusable {
		delete(p.connections, conn.id)
		p.io.Close(conn.id)
		return
	}
	conn.received = conn.received[:0]
	if cap(conn.received) > maxIdleBuffer {
		conn.received = nil
	}
	conn.target.idle = append(conn.target.idle, conn)
}

// handleServerClosed handles the end of a connection to a server. The end completes a response whose body is delimited by it.
func (p *Proxy) handleServerClosed(now float64, conn *serverConn) {
	if conn.attempt != 0 && conn.message.UntilClose && http1.CompleteResponseAtEOF(conn.received, &conn.message) == nil {
		conn.message.Close = true
		p.handleResponse(now, conn, len(conn.received))
		return
	}
	p.handleServerConnFailure(now, conn)
}

// handleServerConnFailure removes a connection that has ended or is no longer usable, and fails its attempt.
func (p *Proxy) handleServerConnFailure(now float64, conn *serverConn) {
	p.removeServerConn(conn)
	if conn.attempt != 0 {
		p.perform(now, p.Core.AttemptFailed(now, conn.attempt, retry.MaybeExecuted))
	}
}
