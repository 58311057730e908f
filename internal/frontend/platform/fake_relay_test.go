package platform

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"snowquay/internal/env"
	"snowquay/internal/wire/lines"
)

// relayHeartbeat is the interval between heartbeats of the relay, in seconds.
const relayHeartbeat = 1

// fakeRelay is a relay in the simulated network. It records the commands that it has applied.
type fakeRelay struct {
	idleProgram
	readers     map[env.Conn]*lines.Reader
	subscribers map[env.Conn]bool
	zones       map[int]string             // zones of the joined proxies
	joinedAt    map[int]float64            // time of the latest join by proxy
	assignedAt  map[int]float64            // time of the latest assignment by proxy, while it was joined
	tableOf     map[int]int                // assigned table by proxy
	tables      map[int]map[string]float64 // weights by table and server
	weights     map[string]float64         // weights by server, from the newest command for any table

	respond       func(id uint64, commands int) (members string, applied bool) // nil if every command is applied
	delayResponse func(send func())                                            // nil if responses are sent immediately
	acknowledges  bool                                                         // whether proxies acknowledge immediately
	unreachable   bool                                                         // whether to send nothing
	held          map[env.Conn][]byte                                          // data that is sent later, for the connections that have fallen silent

	calls       int
	opened      int // number of accepted connections
	largestCall int // size of the largest call in bytes
}

// closeConnection, returned by respond as the members of a response, makes the relay close the connection instead.
const closeConnection = "reset"

func newFakeRelay() *fakeRelay {
	return &fakeRelay{
		readers:     map[env.Conn]*lines.Reader{},
		subscribers: map[env.Conn]bool{},
		zones:       map[int]string{},
		joinedAt:    map[int]float64{},
		assignedAt:  map[int]float64{},
		held:        map[env.Conn][]byte{},
		tableOf:     map[int]int{},
		tables:      map[int]map[string]float64{},
		weights:     map[string]float64{},
	}
}

// newReplacementRelay returns a relay that shares the proxies and weights of another one.
func newReplacementRelay(other *fakeRelay) *fakeRelay {
	relay := newFakeRelay()
	relay.zones = other.zones
	relay.weights = other.weights
	return relay
}

func (r *fakeRelay) Start(now float64, io env.IO) {
	r.io = io
	io.SetTimer(now+relayHeartbeat, 0)
}

func (r *fakeRelay) TimerFired(now float64, _ int) {
	if !r.unreachable {
		r.broadcast(heartbeatLine)
	}
	r.io.SetTimer(now+relayHeartbeat, 0)
}

func (r *fakeRelay) Opened(_ float64, conn env.Conn, _ netip.Addr, _ uint16) {
	r.readers[conn] = &lines.Reader{}
	r.opened++
}

func (r *fakeRelay) Closed(_ float64, conn env.Conn) {
	delete(r.readers, conn)
	delete(r.subscribers, conn)
	delete(r.held, conn)
}

// join makes a proxy join and notifies all subscribers.
func (r *fakeRelay) join(proxy int, zone string) {
	r.zones[proxy] = zone
	r.broadcast(joinLine(proxy, zone))
}

// broadcast sends an event to all subscribers.
func (r *fakeRelay) broadcast(line string) {
	for _, conn := range slices.Sorted(maps.Keys(r.subscribers)) {
		r.send(conn, line)
	}
}

func (r *fakeRelay) sendJoin(conn env.Conn, proxy int) {
	r.send(conn, joinLine(proxy, r.zones[proxy]))
}

// send sends data on a connection, or holds it back while the connection is silent.
func (r *fakeRelay) send(conn env.Conn, data string) {
	if held, silent := r.held[conn]; silent {
		r.held[conn] = append(held, data...)
		return
	}
	r.io.Send(conn, []byte(data))
}

// hold makes a connection fall silent until release.
func (r *fakeRelay) hold(conn env.Conn) {
	if _, silent := r.held[conn]; !silent {
		r.held[conn] = []byte{}
	}
}

// release sends what was held back on a connection.
func (r *fakeRelay) release(conn env.Conn) {
	held := r.held[conn]
	delete(r.held, conn)
	r.io.Send(conn, held)
}

// reset closes a connection; what is held back is lost.
func (r *fakeRelay) reset(now float64, conn env.Conn) {
	r.io.Close(conn)
	r.Closed(now, conn)
}

func (r *fakeRelay) Receive(now float64, conn env.Conn, b []byte) {
	_ = r.readers[conn].Read(b, 1<<20, func(line []byte) {
		request, err := decodeRequest(line)
		if err != nil {
			panic(string(line))
		}
		if request.Method == watchMethod {
			r.subscribe(conn, request.ID)
			return
		}
		r.calls++
		r.largestCall = max(r.largestCall, len(line))
		r.handleCall(now, conn, request)
	})
}

func (r *fakeRelay) subscribe(conn env.Conn, id uint64) {
	if r.unreachable {
		return
	}
	r.subscribers[conn] = true
	r.send(conn, subscribedLine(id))
	for _, proxy := range slices.Sorted(maps.Keys(r.zones)) {
		if r.zones[proxy] != "" {
			r.sendJoin(conn, proxy)
		}
	}
}

func (r *fakeRelay) handleCall(now float64, conn env.Conn, request relayRequest) {
	commands := request.Params.Commands
	members := fmt.Sprintf(`"result":{"accepted":%d}`, len(commands))
	applied := true
	if r.respond != nil {
		members, applied = r.respond(request.ID, len(commands))
	}
	if applied {
		r.apply(now, commands)
	}
	if r.unreachable {
		return
	}
	if applied && r.acknowledges {
		r.acknowledge(commands)
	}
	switch members {
	case "":
	case closeConnection:
		r.reset(now, conn)
	default:
		r.sendResponse(conn, request.ID, members)
	}
}

func (r *fakeRelay) sendResponse(conn env.Conn, id uint64, members string) {
	send := func() { r.send(conn, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,%s}`+"\n", id, members)) }
	if r.delayResponse != nil {
		r.delayResponse(send)
		return
	}
	send()
}

func (r *fakeRelay) apply(now float64, commands []relayCommand) {
	for _, command := range commands {
		switch command.Kind {
		case weightKind:
			r.setWeight(*command.Table, *command.Server, *command.Weight)
		case assignmentKind:
			if r.zones[*command.Proxy] == "" {
				continue
			}
			r.tableOf[*command.Proxy] = *command.Table
			r.assignedAt[*command.Proxy] = now
		}
	}
}

func (r *fakeRelay) setWeight(table int, server string, weight float64) {
	if r.tables[table] == nil {
		r.tables[table] = map[string]float64{}
	}
	if weight == 0 {
		delete(r.weights, server)
		delete(r.tables[table], server)
		return
	}
	r.weights[server] = weight
	r.tables[table][server] = weight
}

// acknowledge sends an acknowledgement from each joined proxy that a call concerns.
func (r *fakeRelay) acknowledge(commands []relayCommand) {
	proxies := map[int]bool{}
	tables := map[int]bool{}
	var id int64
	for _, command := range commands {
		switch command.Kind {
		case ackRequestKind:
			id = *command.AckID
		case assignmentKind:
			proxies[*command.Proxy] = true
		default:
			tables[*command.Table] = true
		}
	}
	if id <= 0 {
		return
	}
	for _, proxy := range slices.Sorted(maps.Keys(r.tableOf)) {
		if r.zones[proxy] == "" || !proxies[proxy] && !tables[r.tableOf[proxy]] {
			continue
		}
		r.broadcast(ackLine(proxy, id))
	}
}

// inTable reports whether the newest command for a server sets a nonzero weight.
func (r *fakeRelay) inTable(server string) bool {
	_, ok := r.weights[server]
	return ok
}
