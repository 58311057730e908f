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
	assignedAt  map[int]float64            // time of the latest assignment by proxy
	tableOf     map[int]int                // assigned table by proxy
	tables      map[int]map[string]float64 // weights by table and server
	weights     map[string]float64         // weights by server, from the newest command for any table

	respond       func(id uint64, commands int) (members string, applied bool) // nil if every command is applied
	delayResponse func(send func())                                            // nil if responses are sent immediately
	acknowledges  bool                                                         // whether proxies acknowledge immediately
	unreachable   bool                                                         // whether to send nothing

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
		assignedAt:  map[int]float64{},
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
	for conn := range r.subscribers {
		if !r.unreachable {
			r.io.Send(conn, []byte(heartbeatLine))
		}
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
}

// join makes a proxy join and notifies all subscribers.
func (r *fakeRelay) join(proxy int, zone string) {
	r.zones[proxy] = zone
	for conn := range r.subscribers {
		r.sendJoin(conn, proxy)
	}
}

func (r *fakeRelay) sendJoin(conn env.Conn, proxy int) {
	r.io.Send(conn, []byte(joinLine(proxy, r.zones[proxy])))
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
	r.io.Send(conn, []byte(subscribedLine(id)))
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
		r.io.Close(conn)
		r.Closed(now, conn)
	default:
		r.sendResponse(conn, request.ID, members)
	}
}

func (r *fakeRelay) sendResponse(conn env.Conn, id uint64, members string) {
	send := func() { r.io.Send(conn, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,%s}`+"\n", id, members)) }
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
		for conn := range r.subscribers {
			r.io.Send(conn, []byte(ackLine(proxy, id)))
		}
	}
}

// inTable reports whether the newest command for a server sets a nonzero weight.
func (r *fakeRelay) inTable(server string) bool {
	_, ok := r.weights[server]
	return ok
}
