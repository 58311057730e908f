package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// receivedCall is a call of the program that the test has to respond to.
type receivedCall struct {
	conn     net.Conn
	id       uint64
	commands []relayCommand
}

// accept responds that all commands were applied.
func (c receivedCall) accept(t *testing.T) {
	t.Helper()
	c.respond(t, `{"jsonrpc":"2.0","id":%d,"result":{"accepted":%d}}`, c.id, len(c.commands))
}

func (c receivedCall) respond(t *testing.T, format string, args ...any) {
	t.Helper()
	if _, err := fmt.Fprintf(c.conn, format+"\n", args...); err != nil {
		t.Errorf("cannot respond to call %d: %v", c.id, err)
	}
}

// weights returns the weights that the call sets, by server.
func (c receivedCall) weights() map[string]float64 {
	weights := map[string]float64{}
	for _, command := range c.commands {
		if command.Kind == weightKind {
			weights[*command.Server] = *command.Weight
		}
	}
	return weights
}

// assignedProxies returns the proxies that the call assigns tables to.
func (c receivedCall) assignedProxies() []int {
	var proxies []int
	for _, command := range c.commands {
		if command.Kind == assignmentKind {
			proxies = append(proxies, *command.Proxy)
		}
	}
	return proxies
}

// assigns returns the condition that a call assigns a table to a proxy.
func assigns(proxy int) func(receivedCall) bool {
	return func(c receivedCall) bool { return slices.Contains(c.assignedProxies(), proxy) }
}

// assignsAny reports whether a call assigns a table to any proxy.
func assignsAny(c receivedCall) bool { return len(c.assignedProxies()) > 0 }

// removes returns the condition that a call removes a server from a table.
func removes(server string) func(receivedCall) bool {
	return func(c receivedCall) bool {
		weight, ok := c.weights()[server]
		return ok && weight == 0
	}
}

// socketRelay is a relay on a loopback socket. It confirms subscriptions and sends heartbeats; the test responds to the
// calls.
type socketRelay struct {
	listener net.Listener
	calls    chan receivedCall
	silent   bool // accepts connections but sends nothing

	mu          sync.Mutex
	joined      []int      // joined proxies
	subscribers []net.Conn // connections that receive events
}

// openSocketRelay starts a relay that is stopped at the end of the test. Without joined proxies it is silent.
func openSocketRelay(t *testing.T, joined ...int) *socketRelay {
	t.Helper()
	relay := &socketRelay{
		listener: listen(t),
		calls:    make(chan receivedCall, 100),
		joined:   joined,
		silent:   len(joined) == 0,
	}
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		_ = relay.listener.Close()
		relay.closeSubscribers()
	})
	go acceptAll(relay.listener, relay.serve)
	go callEvery(250*time.Millisecond, stop, func() { relay.broadcast(heartbeatLine) })
	return relay
}

func (r *socketRelay) serve(conn net.Conn) {
	defer r.unsubscribe(conn)
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		request, err := decodeRequest(line)
		if err != nil {
			return
		}
		if request.Method == applyMethod {
			r.calls <- receivedCall{conn: conn, id: request.ID, commands: request.Params.Commands}
			continue
		}
		r.subscribe(conn, request.ID)
	}
}

func (r *socketRelay) subscribe(conn net.Conn, id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return
	}
	_, _ = io.WriteString(conn, subscribedLine(id))
	for _, proxy := range r.joined {
		_, _ = io.WriteString(conn, joinLine(proxy, "a"))
	}
	r.subscribers = append(r.subscribers, conn)
}

func (r *socketRelay) unsubscribe(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = slices.DeleteFunc(r.subscribers, func(other net.Conn) bool { return other == conn })
}

// broadcast writes an event to all subscribers.
func (r *socketRelay) broadcast(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.subscribers {
		_, _ = io.WriteString(conn, line)
	}
}

// join makes a proxy join.
func (r *socketRelay) join(proxy int) {
	r.mu.Lock()
	r.joined = append(r.joined, proxy)
	r.mu.Unlock()
	r.broadcast(joinLine(proxy, "a"))
}

// closeSubscribers closes the connections of all subscribers at once.
func (r *socketRelay) closeSubscribers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.subscribers {
		_ = conn.Close()
	}
}

func (r *socketRelay) subscriberCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.subscribers)
}

// nextCall waits for the next call.
func (r *socketRelay) nextCall(t *testing.T) receivedCall {
	t.Helper()
	select {
	case call := <-r.calls:
		return call
	case <-time.After(waitLimit):
		t.Fatal("no call arrived")
		return receivedCall{}
	}
}

// expectNoCall accepts the calls of the next 300 ms and fails the test if one meets the condition.
func (r *socketRelay) expectNoCall(t *testing.T, what string, condition func(receivedCall) bool) {
	t.Helper()
	end := time.After(300 * time.Millisecond)
	for {
		select {
		case call := <-r.calls:
			call.accept(t)
			if condition(call) {
				t.Errorf("%s: %+v", what, call.commands)
			}
		case <-end:
			return
		}
	}
}

// awaitCall accepts calls until one meets the condition. It returns that call without responding to it.
func (r *socketRelay) awaitCall(t *testing.T, what string, condition func(receivedCall) bool) receivedCall {
	t.Helper()
	end := time.After(waitLimit)
	for {
		select {
		case call := <-r.calls:
			if condition(call) {
				return call
			}
			call.accept(t)
		case <-end:
			t.Fatalf("no call arrived that %s", what)
			return receivedCall{}
		}
	}
}
