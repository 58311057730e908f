package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"snowquay/internal/wire/discovery"
)

// serverSet is the set of existing servers, shared by the discovery instances at both addresses.
type serverSet struct {
	mu       sync.Mutex
	version  int64
	servers  map[string]discovery.Server
	lastName int // number in the name of the server added last
}

func newServerSet(servers int) *serverSet {
	s := &serverSet{version: 1, servers: map[string]discovery.Server{}}
	for range servers {
		s.add()
	}
	return s
}

// add adds a ready server and returns its entry.
func (s *serverSet) add() discovery.Server {
	s.lastName++
	id := fmt.Sprintf("s-%d", s.lastName)
	s.servers[id] = discovery.Server{ID: id, Address: "127.0.0.1:9", Zone: "a", Kind: "m", State: discovery.Ready, Weight: 1}
	return s.servers[id]
}

// names returns the sorted IDs of the servers in the given state.
func (s *serverSet) names(state discovery.State) (names []string) {
	for id, server := range s.servers {
		if server.State == state {
			names = append(names, id)
		}
	}
	slices.Sort(names)
	return names
}

// ready returns the set of ready servers, which may be in tables.
func (s *serverSet) ready() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ready := map[string]bool{}
	for _, id := range s.names(discovery.Ready) {
		ready[id] = true
	}
	return ready
}

// change applies a change to the set and returns the encoded list of the changed servers.
func (s *serverSet) change(change func() []discovery.Server) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := change()
	s.version++
	return encodeServers(s.version, false, changed)
}

func (s *serverSet) fullList() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []discovery.Server
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		all = append(all, s.servers[id])
	}
	return encodeServers(s.version, true, all)
}

func encodeServers(version int64, full bool, servers []discovery.Server) string {
	text, _ := json.Marshal(discovery.List{Version: version, Full: full, Servers: servers}) // encoding a list cannot fail
	return string(text)
}

// soakDiscovery is a fake discovery at one address.
type soakDiscovery struct {
	set      *serverSet
	listener net.Listener

	mu       sync.Mutex
	mode     faultMode
	conns    map[net.Conn]bool
	watchers map[net.Conn]bool
}

func startSoakDiscovery(t *testing.T, set *serverSet) *soakDiscovery {
	t.Helper()
	d := &soakDiscovery{set: set, listener: listenOnLoopback(t), conns: map[net.Conn]bool{}, watchers: map[net.Conn]bool{}}
	go acceptAll(d.listener, d.handle)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go d.heartbeat(stop)
	return d
}

func (d *soakDiscovery) address() string { return d.listener.Addr().String() }

// setMode sets the fault mode. When the silent mode ends, all connections are reset.
func (d *soakDiscovery) setMode(mode faultMode) {
	d.mu.Lock()
	wasSilent := d.mode.silent
	d.mode = mode
	d.mu.Unlock()
	if wasSilent && !mode.silent {
		d.resetConnections()
	}
}

func (d *soakDiscovery) resetConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		resetConnection(conn)
	}
}

func (d *soakDiscovery) handle(conn net.Conn) {
	d.mu.Lock()
	d.conns[conn] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.conns, conn)
		delete(d.watchers, conn)
		d.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	request := ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if strings.HasPrefix(line, "GET ") {
			request = line
		}
		if line == "\r\n" {
			d.respond(conn, request)
		}
	}
}

func (d *soakDiscovery) respond(conn net.Conn, request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mode.silent {
		return
	}
	list := d.set.fullList()
	if !strings.Contains(request, "stream=1") {
		writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list), d.mode.fragmented)
		return
	}
	d.watchers[conn] = true
	writeText(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(list+"\n"), d.mode.fragmented)
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// send writes text to all watchers, in two chunks.
func (d *soakDiscovery) send(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mode.silent {
		return
	}
	for conn := range d.watchers {
		half := len(text) / 2
		if half > 0 {
			writeText(conn, chunk(text[:half]), d.mode.fragmented)
		}
		writeText(conn, chunk(text[half:]), d.mode.fragmented)
	}
}

// sendHalfLine writes the first half of a line to all watchers, which receive nothing more until they connect again.
func (d *soakDiscovery) sendHalfLine(line string) {
	d.send(line[:len(line)/2])
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.watchers)
}

func (d *soakDiscovery) heartbeat(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
			d.send("\n")
		}
	}
}
