package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// relayState is the state of the proxies of a coordinator. The relays at both addresses share it.
type relayState struct {
	events sync.Mutex // held while proxies join or leave, or a snapshot is written, so that no connection misses a change

	mu        sync.Mutex
	joined    map[int]bool
	tables    map[int]map[string]bool // servers by table
	tableOf   map[int]int             // by proxy
	withdrawn map[string]bool         // servers
	calls     int
}

func newRelayState(proxies int) *relayState {
	s := &relayState{joined: map[int]bool{}}
	for proxy := range proxies {
		s.joined[proxy] = true
	}
	s.reset()
	return s
}

// reset discards all tables, assignments and withdrawals. It is called when the coordinator has exited and the proxies join the next one.
func (s *relayState) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables = map[int]map[string]bool{}
	s.tableOf = map[int]int{}
	s.withdrawn = map[string]bool{}
}

// soakCommand is a command of a call.
type soakCommand struct {
	Action string  `json:"do"`
	Table  *int    `json:"group"`
	Server string  `json:"host"`
	Weight float64 `json:"share"`
	Proxy  *int    `json:"sidecar"`
	AckID  int64   `json:"stamp"`
}

type soakCall struct {
	ID     uint64 `json:"id"`
	Method string `json:"method"`
	Params struct {
		Changes []soakCommand `json:"changes"`
	} `json:"params"`
}

// apply executes the commands of a call up to the first one for a proxy that has not joined. It returns the number of executed
// commands and the ID of the last request for acknowledgements, 0 if there was none.
func (s *relayState) apply(call *soakCall) (accepted int, ackID int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for _, command := range call.Params.Changes {
		if command.Proxy != nil && !s.joined[*command.Proxy] {
			return accepted, ackID
		}
		switch command.Action {
		case "share":
			s.setEntry(command)
		case "clear":
			s.clear(command)
		case "bind":
			s.tableOf[*command.Proxy] = *command.Table
		case "withdraw":
			s.withdrawn[command.Server] = true
		case "restore":
			delete(s.withdrawn, command.Server)
		case "mark":
			ackID = command.AckID
		}
		accepted++
	}
	return accepted, ackID
}

func (s *relayState) setEntry(command soakCommand) {
	table := s.tables[*command.Table]
	if table == nil {
		table = map[string]bool{}
		s.tables[*command.Table] = table
	}
	if command.Weight > 0 {
		table[command.Server] = true
	} else {
		delete(table, command.Server)
	}
}

func (s *relayState) clear(command soakCommand) {
	if command.Table == nil {
		clear(s.tables)
		return
	}
	delete(s.tables, *command.Table)
}

// tableFault describes the fault in the table of a joined proxy. It returns an empty string if every table has servers and all of
// them are ready.
func (s *relayState) tableFault(ready map[string]bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, proxy := range slices.Sorted(maps.Keys(s.joined)) {
		number, assigned := s.tableOf[proxy]
		if !assigned {
			return fmt.Sprintf("proxy %d has no table", proxy)
		}
		usable := 0
		for server := range s.tables[number] {
			if !ready[server] && !s.withdrawn[server] {
				return fmt.Sprintf("table of proxy %d contains %s, which is not ready", proxy, server)
			}
			if ready[server] && !s.withdrawn[server] {
				usable++
			}
		}
		if usable == 0 {
			return fmt.Sprintf("proxy %d has an empty table", proxy)
		}
	}
	return ""
}

func (s *relayState) proxies() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.joined))
}

// faultMode specifies the faults that a fake relay or discovery applies to its connections.
type faultMode struct {
	silent      bool          // ignores everything that it reads, and sends nothing
	noResponses bool          // executes calls without a response; the proxies acknowledge as usual
	delay       time.Duration // before each response
	fragmented  bool          // writes a few bytes at a time
}

// soakRelay is a fake relay at one address.
type soakRelay struct {
	state    *relayState
	listener net.Listener

	mu          sync.Mutex
	mode        faultMode
	conns       map[net.Conn]*sync.Mutex // value: lock for writes to the connection
	subscribers map[net.Conn]bool
}

func startSoakRelay(t *testing.T, state *relayState) *soakRelay {
	t.Helper()
	r := &soakRelay{state: state, listener: listenOnLoopback(t), conns: map[net.Conn]*sync.Mutex{}, subscribers: map[net.Conn]bool{}}
	go acceptAll(r.listener, r.handle)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go r.ping(stop)
	return r
}

func (r *soakRelay) address() string { return r.listener.Addr().String() }

func (r *soakRelay) setMode(mode faultMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

func (r *soakRelay) currentMode() faultMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// resetConnections resets all connections.
func (r *soakRelay) resetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		resetConnection(conn)
	}
}

func (r *soakRelay) handle(conn net.Conn) {
	r.mu.Lock()
	r.conns[conn] = &sync.Mutex{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		delete(r.subscribers, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		var call soakCall
		if json.Unmarshal(line, &call) != nil {
			return
		}
		r.respond(conn, &call)
	}
}

func (r *soakRelay) respond(conn net.Conn, call *soakCall) {
	mode := r.currentMode()
	if mode.silent {
		return
	}
	if call.Method == "relay.watch" {
		r.subscribe(conn, call.ID)
		return
	}
	accepted, ackID := r.state.apply(call)
	time.Sleep(mode.delay)
	if !mode.noResponses {
		r.write(conn, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"result":{"accepted":%d}}`+"\n", call.ID, accepted))
	}
	if ackID > 0 {
		for _, proxy := range r.state.proxies() {
			r.notify(fmt.Sprintf(`{"jsonrpc":"2.0","method":"done","params":{"sidecar":%d,"version":%d,"lag_ms":20}}`+"\n", proxy, ackID))
		}
	}
}

func (r *soakRelay) subscribe(conn net.Conn, id uint64) {
	r.state.events.Lock()
	defer r.state.events.Unlock()
	text := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"result":true}`+"\n", id)
	for _, proxy := range r.state.proxies() {
		text += joinEvent(proxy)
	}
	r.mu.Lock()
	r.subscribers[conn] = true
	r.mu.Unlock()
	r.write(conn, text)
}

func joinEvent(proxy int) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","method":"attach","params":{"sidecar":%d,"az":"a","share":2,"standing":true}}`+"\n", proxy)
}

// join lets the proxies in [from, to) join, except those that have already joined. It returns the events.
func (s *relayState) join(from, to int) (text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for proxy := from; proxy < to; proxy++ {
		if !s.joined[proxy] {
			s.joined[proxy] = true
			text += joinEvent(proxy)
		}
	}
	return text
}

// leave lets those proxies in [from, to) leave that have joined. It returns the events.
func (s *relayState) leave(from, to int) (text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for proxy := from; proxy < to; proxy++ {
		if s.joined[proxy] {
			delete(s.joined, proxy)
			delete(s.tableOf, proxy)
			text += fmt.Sprintf(`{"jsonrpc":"2.0","method":"detach","params":{"sidecar":%d}}`+"\n", proxy)
		}
	}
	return text
}

// notify writes text to all subscribers.
func (r *soakRelay) notify(text string) {
	r.mu.Lock()
	watchers := slices.Collect(maps.Keys(r.subscribers))
	silent := r.mode.silent
	r.mu.Unlock()
	if silent || text == "" {
		return
	}
	for _, conn := range watchers {
		r.write(conn, text)
	}
}

func (r *soakRelay) ping(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
			r.notify(`{"jsonrpc":"2.0","method":"ping"}` + "\n")
		}
	}
}

func (r *soakRelay) write(conn net.Conn, text string) {
	r.mu.Lock()
	lock := r.conns[conn]
	fragmented := r.mode.fragmented
	r.mu.Unlock()
	if lock == nil {
		return
	}
	lock.Lock()
	defer lock.Unlock()
	writeText(conn, text, fragmented)
}

// writeText writes a text at once or, if fragmented is set, its beginning in parts of a few bytes.
func writeText(conn net.Conn, text string, fragmented bool) {
	const partBytes = 7
	const maxParts = 40
	for part := 0; fragmented && part < maxParts && len(text) > partBytes; part++ {
		if _, err := io.WriteString(conn, text[:partBytes]); err != nil {
			return
		}
		text = text[partBytes:]
		time.Sleep(200 * time.Microsecond)
	}
	_, _ = io.WriteString(conn, text)
}

func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func acceptAll(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go handle(conn)
	}
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
