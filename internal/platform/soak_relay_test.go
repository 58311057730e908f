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

// relayState is what the proxies of a coordinator were told, whichever address of the relay the calls came to.
type relayState struct {
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

// reset forgets what the proxies were told: the coordinator that told them has ended, and they join the next one anew.
func (s *relayState) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables = map[int]map[string]bool{}
	s.tableOf = map[int]int{}
	s.withdrawn = map[string]bool{}
}

// soakCommand is an order of a call, in the protocol's words.
type soakCommand struct {
	Do      string  `json:"do"`
	Group   *int    `json:"group"`
	Host    string  `json:"host"`
	Share   float64 `json:"share"`
	Sidecar *int    `json:"sidecar"`
	Stamp   int64   `json:"stamp"`
}

type soakCall struct {
	ID     uint64 `json:"id"`
	Method string `json:"method"`
	Params struct {
		Changes []soakCommand `json:"changes"`
	} `json:"params"`
}

// apply carries a call out up to the first order about a proxy that has not joined, and returns the number of those carried out.
func (s *relayState) apply(call *soakCall) (accepted int, stamp int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for _, command := range call.Params.Changes {
		if command.Sidecar != nil && !s.joined[*command.Sidecar] {
			return accepted, stamp
		}
		switch command.Do {
		case "share":
			s.setEntry(command)
		case "clear":
			s.clear(command)
		case "bind":
			s.tableOf[*command.Sidecar] = *command.Group
		case "withdraw":
			s.withdrawn[command.Host] = true
		case "restore":
			delete(s.withdrawn, command.Host)
		case "mark":
			stamp = command.Stamp
		}
		accepted++
	}
	return accepted, stamp
}

func (s *relayState) setEntry(command soakCommand) {
	table := s.tables[*command.Group]
	if table == nil {
		table = map[string]bool{}
		s.tables[*command.Group] = table
	}
	if command.Share > 0 {
		table[command.Host] = true
	} else {
		delete(table, command.Host)
	}
}

func (s *relayState) clear(command soakCommand) {
	if command.Group == nil {
		clear(s.tables)
		return
	}
	delete(s.tables, *command.Group)
}

// fault says what is wrong with the table of some joined proxy; empty if every table has servers, and only ready ones.
func (s *relayState) fault(ready map[string]bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, proxy := range slices.Sorted(maps.Keys(s.joined)) {
		number, bound := s.tableOf[proxy]
		if !bound {
			return fmt.Sprintf("proxy %d has no table", proxy)
		}
		usable := 0
		for server := range s.tables[number] {
			if !ready[server] && !s.withdrawn[server] {
				return fmt.Sprintf("proxy %d has %s in its table, which is not ready", proxy, server)
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

// linkMode is how a stand-in treats its connections.
type linkMode struct {
	silent  bool          // it reads, and carries out and says nothing
	mute    bool          // it carries calls out, and does not answer them; its proxies acknowledge as ever
	late    time.Duration // before each answer
	inParts bool          // it writes a few bytes at a time
}

// soakRelay is a relay at one address.
type soakRelay struct {
	state    *relayState
	listener net.Listener

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]*sync.Mutex // with the lock of their writes
	watch map[net.Conn]bool
}

func startSoakRelay(t *testing.T, state *relayState) *soakRelay {
	t.Helper()
	r := &soakRelay{state: state, listener: listenOnLoopback(t), conns: map[net.Conn]*sync.Mutex{}, watch: map[net.Conn]bool{}}
	go acceptAll(r.listener, r.handle)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go r.ping(stop)
	return r
}

func (r *soakRelay) address() string { return r.listener.Addr().String() }

func (r *soakRelay) setMode(mode linkMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

func (r *soakRelay) currentMode() linkMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// breakAll resets all connections.
func (r *soakRelay) breakAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

func (r *soakRelay) handle(conn net.Conn) {
	r.mu.Lock()
	r.conns[conn] = &sync.Mutex{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		delete(r.watch, conn)
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
		r.answer(conn, &call)
	}
}

func (r *soakRelay) answer(conn net.Conn, call *soakCall) {
	mode := r.currentMode()
	if mode.silent {
		return
	}
	if call.Method == "relay.watch" {
		r.subscribe(conn, call.ID)
		return
	}
	accepted, stamp := r.state.apply(call)
	time.Sleep(mode.late)
	if !mode.mute {
		r.write(conn, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"result":{"accepted":%d}}`+"\n", call.ID, accepted))
	}
	if stamp > 0 {
		for _, proxy := range r.state.proxies() {
			r.notify(fmt.Sprintf(`{"jsonrpc":"2.0","method":"done","params":{"sidecar":%d,"version":%d,"lag_ms":20}}`+"\n", proxy, stamp))
		}
	}
}

func (r *soakRelay) subscribe(conn net.Conn, id uint64) {
	text := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"result":true}`+"\n", id)
	for _, proxy := range r.state.proxies() {
		text += joinNotice(proxy)
	}
	r.mu.Lock()
	r.watch[conn] = true
	r.mu.Unlock()
	r.write(conn, text)
}

func joinNotice(proxy int) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","method":"attach","params":{"sidecar":%d,"az":"a","share":2,"standing":true}}`+"\n", proxy)
}

// join makes proxies join that have not.
func (r *soakRelay) join(from, to int) {
	text := ""
	r.state.mu.Lock()
	for proxy := from; proxy < to; proxy++ {
		if !r.state.joined[proxy] {
			r.state.joined[proxy] = true
			text += joinNotice(proxy)
		}
	}
	r.state.mu.Unlock()
	r.notify(text)
}

// leave makes proxies leave that have joined.
func (r *soakRelay) leave(from, to int) {
	text := ""
	r.state.mu.Lock()
	for proxy := from; proxy < to; proxy++ {
		if r.state.joined[proxy] {
			delete(r.state.joined, proxy)
			delete(r.state.tableOf, proxy)
			text += fmt.Sprintf(`{"jsonrpc":"2.0","method":"detach","params":{"sidecar":%d}}`+"\n", proxy)
		}
	}
	r.state.mu.Unlock()
	r.notify(text)
}

// notify writes to all who watch.
func (r *soakRelay) notify(text string) {
	r.mu.Lock()
	watchers := slices.Collect(maps.Keys(r.watch))
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
	inParts := r.mode.inParts
	r.mu.Unlock()
	if lock == nil {
		return
	}
	lock.Lock()
	defer lock.Unlock()
	writeText(conn, text, inParts)
}

// writeText writes a text whole or, of its first bytes, a few at a time.
func writeText(conn net.Conn, text string, inParts bool) {
	const partBytes = 7
	const maxParts = 40
	for part := 0; inParts && part < maxParts && len(text) > partBytes; part++ {
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

// reset ends a connection by a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
