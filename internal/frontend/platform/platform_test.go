package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"snowquay/internal/deployment"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/testseed"
	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/lines"
	"snowquay/internal/wire/resp"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var (
	self             = netip.MustParseAddrPort("10.0.0.4:8000")
	hub              = netip.MustParseAddrPort("10.2.0.2:6400")
	discoveryAddress = netip.MustParseAddrPort("10.2.0.1:8500")
	otherHub         = netip.MustParseAddrPort("10.2.0.4:6401")
	otherList        = netip.MustParseAddrPort("10.2.0.3:8501")
	outside          = netip.MustParseAddrPort("10.9.0.1:1")
)

const settings = `{"balancers":1,"discovery":"pushed","zones":["a","b"],"host-types":["m"],"family-info":{"data-plane-size":9,
"default-retry":1,"egress-per-s":1600,"pending-max":1600,"per-message":3,"period":0.5,"propagation":0.4,"late-most":1,
"level-kind":"fraction","unserved-max":2.7,"update-window":10},"grades":[{"name":"lookup","aim":1.5,"deadline":5,"effect":"free",
"points":3}],"guarantees":{"cold":18,"cold-from":0.2,"fall":1.5,"fall-multiple":3,"stop-sending-within":2.3},
"policy-limits":{"may-probe":true},"report":{"how":"piggyback","names":["q","busy"]}}`

// plain is a env.Program that does nothing of its own.
type plain struct{ io env.IO }

func (p *plain) Start(_ float64, io env.IO)                   { p.io = io }
func (p *plain) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (p *plain) Connected(float64, env.Conn, bool)            {}
func (p *plain) Receive(float64, env.Conn, []byte)            {}
func (p *plain) Closed(float64, env.Conn)                     {}
func (p *plain) Delivered(float64, env.Conn, uint64)          {}
func (p *plain) Datagram(float64, []byte)                     {}
func (p *plain) TimerFired(float64, int)                      {}

// desk is a relay: what its proxies were told, by call.
type desk struct {
	plain
	in     map[env.Conn]*lines.Reader
	watch  map[env.Conn]bool
	joined map[int]string // by proxy, its zone
	bound  map[int]float64
	lines  map[string]float64
	tables map[int]map[string]float64
	on     map[int]int                                          // the table of each proxy
	answer func(id uint64, orders int) (text string, done bool) // nil: all is well
	calls  int
	opened int
	away   bool         // out of reach: it takes what comes, and says nothing
	later  func(func()) // where an answer is to come later
	done   bool         // proxies answer marks at once
	most   int          // bytes of the largest call
}

func newDesk() *desk {
	return &desk{in: map[env.Conn]*lines.Reader{}, watch: map[env.Conn]bool{}, joined: map[int]string{}, bound: map[int]float64{},
		lines: map[string]float64{}, tables: map[int]map[string]float64{}, on: map[int]int{}}
}

func (d *desk) Start(now float64, io env.IO) { d.io = io; io.SetTimer(now+1, 0) }

func (d *desk) TimerFired(now float64, _ int) {
	for c := range d.watch {
		if !d.away {
			d.io.Send(c, []byte(`{"jsonrpc":"2.0","method":"ping","params":{}}`+"\n"))
		}
	}
	d.io.SetTimer(now+1, 0)
}

func (d *desk) Opened(_ float64, c env.Conn, _ netip.Addr, _ uint16) {
	d.in[c] = &lines.Reader{}
	d.opened++
}

func (d *desk) Closed(_ float64, c env.Conn) { delete(d.in, c); delete(d.watch, c) }

func (d *desk) attach(c env.Conn, p int) {
	d.io.Send(c, fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"attach","params":{"sidecar":%d,"az":%q,"share":5,"standing":true}}`+"\n", p, d.joined[p]))
}

func (d *desk) join(p int, zone string) {
	d.joined[p] = zone
	for c := range d.watch {
		d.attach(c, p)
	}
}

func (d *desk) Receive(now float64, c env.Conn, b []byte) {
	_ = d.in[c].Read(b, 1<<20, func(line []byte) {
		var m struct {
			ID     uint64 `json:"id"`
			Method string `json:"method"`
			Params struct {
				Changes []map[string]any `json:"changes"`
			} `json:"params"`
		}
		if json.Unmarshal(line, &m) != nil {
			panic(string(line))
		}
		if m.Method == "relay.watch" && d.away {
			return
		}
		if m.Method == "relay.watch" {
			d.watch[c] = true
			d.io.Send(c, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"result":true}`+"\n", m.ID))
			for _, p := range slices.Sorted(maps.Keys(d.joined)) {
				if d.joined[p] != "" {
					d.attach(c, p)
				}
			}
			return
		}
		d.calls++
		d.most = max(d.most, len(line))
		text, done := fmt.Sprintf(`"result":{"accepted":%d}`, len(m.Params.Changes)), true
		if d.answer != nil {
			text, done = d.answer(m.ID, len(m.Params.Changes))
		}
		for _, o := range m.Params.Changes {
			switch {
			case !done:
			case o["do"] == "share":
				if d.lines[o["host"].(string)] = o["share"].(float64); o["share"] == 0.0 {
					delete(d.lines, o["host"].(string))
				}
				g := int(o["group"].(float64))
				if d.tables[g] == nil {
					d.tables[g] = map[string]float64{}
				}
				if d.tables[g][o["host"].(string)] = o["share"].(float64); o["share"] == 0.0 {
					delete(d.tables[g], o["host"].(string))
				}
			case o["do"] == "bind":
				d.on[int(o["sidecar"].(float64))] = int(o["group"].(float64))
				d.bound[int(o["sidecar"].(float64))] = now
			}
		}
		if d.away {
			return
		}
		if done && d.done {
			d.acknowledge(m.Params.Changes)
		}
		switch text {
		case "":
		case "reset":
			d.io.Close(c)
			d.Closed(now, c)
		default:
			send := func() { d.io.Send(c, fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,%s}`+"\n", m.ID, text)) }
			if d.later == nil {
				send()
			} else {
				d.later(send)
			}
		}
	})
}

// acknowledge has all whom a call concerns answer its mark.
func (d *desk) acknowledge(changes []map[string]any) {
	proxies, groups, stamp := map[int]bool{}, map[int]bool{}, 0.0
	for _, o := range changes {
		switch o["do"] {
		case "mark":
			stamp = o["stamp"].(float64)
		case "bind":
			proxies[int(o["sidecar"].(float64))] = true
		default:
			groups[int(o["group"].(float64))] = true
		}
	}
	for _, p := range slices.Sorted(maps.Keys(d.on)) {
		if stamp > 0 && d.joined[p] != "" && (proxies[p] || groups[d.on[p]]) {
			for c := range d.watch {
				d.io.Send(c, fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"done","params":{"sidecar":%d,"version":%.0f,"lag_ms":100}}`+"\n", p, stamp))
			}
		}
	}
}

// agent is discovery.
type agent struct {
	plain
	watch map[env.Conn]bool
	list  discovery.List
	in    map[env.Conn]string
	mute  bool

	first  string   // of a watch's lines, where it is not the whole list
	spoilt bool     // the whole list is cut short
	wholes int      // times that the whole list was asked for
	asked  []string // requests for a watch
}

func (a *agent) Start(now float64, io env.IO) {
	a.io, a.watch, a.in = io, map[env.Conn]bool{}, map[env.Conn]string{}
	io.SetTimer(now+2, 0)
}

func (a *agent) chunk(c env.Conn, text string) {
	if !a.mute {
		a.io.Send(c, fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text))
	}
}

func (a *agent) TimerFired(now float64, _ int) {
	for c := range a.watch {
		a.chunk(c, "\n")
	}
	a.io.SetTimer(now+2, 0)
}

func (a *agent) Closed(_ float64, c env.Conn) { delete(a.watch, c) }

func (a *agent) tell(full bool, servers ...discovery.Server) {
	a.list.Version++
	b, _ := json.Marshal(discovery.List{Version: a.list.Version, Full: full, Servers: servers})
	for c := range a.watch { // in two chunks: a line need not end where a chunk does
		a.chunk(c, string(b[:len(b)/2]))
		a.chunk(c, string(b[len(b)/2:])+"\n")
	}
	if full {
		a.list.Servers = servers
	}
}

func (a *agent) Receive(_ float64, c env.Conn, b []byte) {
	if a.in[c] += string(b); !strings.HasSuffix(a.in[c], "\r\n\r\n") {
		return
	}
	asked := a.in[c]
	if a.in[c] = ""; strings.HasPrefix(asked, "GET /registry/instances HTTP/1.1\r\n") {
		a.wholes++
		if full, _ := json.Marshal(discovery.List{Version: a.list.Version, Full: true, Servers: a.list.Servers}); !a.mute {
			if a.spoilt {
				full = full[:len(full)/2]
			}
			a.io.Send(c, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(full), full))
		}
		return
	}
	if !strings.HasPrefix(asked, "GET /registry/instances?stream=1&index=") {
		panic(asked)
	}
	a.asked = append(a.asked, asked)
	a.watch[c] = true
	if !a.mute {
		a.io.Send(c, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		first, _ := json.Marshal(discovery.List{Version: a.list.Version, Full: true, Servers: a.list.Servers})
		if a.first != "" {
			first = []byte(a.first)
		}
		a.chunk(c, string(first)+"\n")
	}
}

// caller is whoever connects to the coordinator.
type dialler struct {
	plain
	conns  []env.Conn
	got    map[env.Conn]string
	closed map[env.Conn]float64
	opened map[env.Conn]float64
	say    map[env.Conn][]byte
}

func newDialler() *dialler {
	return &dialler{got: map[env.Conn]string{}, closed: map[env.Conn]float64{}, opened: map[env.Conn]float64{}, say: map[env.Conn][]byte{}}
}

func (d *dialler) dial(b []byte) env.Conn {
	c := d.io.Dial(self)
	d.conns, d.say[c] = append(d.conns, c), b
	return c
}

func (d *dialler) Connected(now float64, c env.Conn, ok bool) {
	if d.opened[c] = now; !ok {
		d.closed[c] = now
		return
	}
	d.io.Send(c, d.say[c])
}
func (d *dialler) Receive(_ float64, c env.Conn, b []byte) { d.got[c] += string(b) }
func (d *dialler) Closed(now float64, c env.Conn)          { d.closed[c] = now }

type scene struct {
	net     *simnet.Net
	program *Program
	desk    *desk
	agent   *agent
	caller  *dialler
	host    map[string]*simnet.Host
}

func server(id string, state discovery.State) discovery.Server {
	return discovery.Server{ID: id, Address: "10.1.0.18:8000", Zone: "a", Kind: "m", State: state, Weight: 1}
}

func begin(t interface{ Fatal(...any) }, seed uint64, sockets int) *scene {
	return beginWith(t, seed, sockets, settings, server("s-1", "ready"), server("s-2", "ready"), server("s-3", "ready"))
}

func beginWith(t interface{ Fatal(...any) }, seed uint64, sockets int, settings string, servers ...discovery.Server) *scene {
	d, err := deployment.Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	s := &scene{net: simnet.New(seed, 1000), desk: newDesk(), agent: &agent{}, caller: newDialler(), host: map[string]*simnet.Host{}}
	known := &discovery.List{Full: true, Servers: servers}
	s.agent.list = *known
	s.program = New(Config{Discovery: discoveryAddress, Relay: hub, MaxDescriptors: sockets, CachedList: known, Seed: 7, Deployment: d},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	for name, x := range map[string]struct {
		at netip.AddrPort
		p  env.Program
	}{"relay": {hub, s.desk}, "discovery": {discoveryAddress, s.agent}, "caller": {outside, s.caller}} {
		s.host[name] = s.net.Add(x.at.Addr(), 0, false)
		s.host[name].Start(x.p)
	}
	s.host["self"] = s.net.Add(self.Addr(), 0, false)
	s.host["self"].Start(s.program)
	s.net.Run(1000.5)
	return s
}

func TestItServes(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(4, "a")
	c := s.caller.dial(append(resp.Append(nil, "hb"), resp.Append(nil, "telemetry", "az", "a")...))
	s.net.Run(1001.5)
	if s.caller.got[c] != string(resp.Append(nil, "hb_ok")) || len(s.desk.lines) != 3 || s.desk.bound[4] == 0 {
		t.Fatalf("%q, %d lines, bound at %g", s.caller.got[c], len(s.desk.lines), s.desk.bound[4])
	}
	s.caller.io.Send(c, resp.Append(nil, "upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "41.7", "window", "1000.0",
		"report", "queue:7,util:0.61,other:2"))
	s.caller.io.Send(c, resp.Append(nil, "client_stats", "sidecar", "4", "kind", "lookup", "n", "19", "bad", "0", "window", "1000.0"))
	s.agent.tell(false, server("s-2", "draining"))
	s.net.Run(1001.6)
	if s.program.counts.reports != 2 || s.program.counts.malformed != 0 {
		t.Errorf("%d reports, %d spoilt", s.program.counts.reports, s.program.counts.malformed)
	}
	if _, there := s.desk.lines["s-2"]; there {
		t.Error("a tenth of a second after it drains s-2 is in the table")
	}
}

func TestSpoiltReportsAreSkippedAndTheRestCounts(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(4, "a")
	c := s.caller.dial(resp.Append(nil, "telemetry", "az", "a"))
	s.net.Run(1001)
	good := []string{"upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "41.7", "window", "1000.0"}
	bad := 0
	for i := 1; i < len(good); i += 2 {
		for _, v := range []string{"", "-1", "nan", "inf", "1e300", "x", "\x00"} {
			m := append([]string(nil), good...)
			m[i+1] = v
			s.caller.io.Send(c, resp.Append(nil, m...))
			s.caller.io.Send(c, resp.Append(nil, append(append([]string(nil), good[:i]...), good[i+2:]...)...))
			bad += 2
		}
	}
	for _, m := range [][]string{{"client_stats", "sidecar", "5", "kind", "lookup", "n", "1", "bad", "0", "window", "1"}, {"client_stats", "sidecar", "4",
		"kind", "other", "n", "1", "bad", "0", "window", "1"}, {"client_stats", "sidecar", "4", "kind", "lookup", "n", "1", "bad", "2", "window", "1"},
		{"attach", "sidecar", "4"}, {"share"}, {"upstream_stats", "az"}, append(good, "report", "queue:x"), {"telemetry", "az", "q"}} {
		s.caller.io.Send(c, resp.Append(nil, m...))
		bad++
	}
	s.caller.io.Send(c, resp.Append(nil, append(good, "more", "1")...))
	s.net.Run(1001.5)
	if got := s.program.counts; got.malformed != uint64(bad) || got.reports != 1 || s.caller.closed[c] != 0 {
		t.Errorf("%d spoilt of %d, %d count, closed at %g", got.malformed, bad, got.reports, s.caller.closed[c])
	}
	s.caller.io.Send(c, []byte("GET / HTTP/1.1\r\n\r\n"))
	if s.net.Run(1001.6); s.caller.closed[c] == 0 {
		t.Error("a connection that goes on with what cannot be read stays")
	}
}

func TestStrangersAreRefusedInTime(t *testing.T) {
	s := begin(t, 1, 256)
	long := resp.Append(nil, "telemetry", "az", strings.Repeat("x", 100_000))
	for _, b := range []string{"", "*", "*2\r\n$2\r\nhb", "*1\r\n$999999999\r\n", "*999999999\r\n", "*-1\r\n", "*1\r\n$-1\r\n", "GET / HTTP/1.1\r\n\r\n", "{}\n",
		"\x16\x03\x01\x02", string(resp.Append(nil, "hb")), string(resp.Append(nil, "attach", "sidecar", "1", "az", "a")), string(long[:50_000]),
		string(resp.Append(nil, "upstream_stats", "az", "a")), string(resp.Append(nil, "telemetry", "az", "nowhere")),
		string(resp.Append(nil, "share", "group", "1")), strings.Repeat(string(resp.Append(nil, "hb")), 500)} {
		s.caller.dial([]byte(b))
	}
	s.net.Run(1002)
	for _, c := range s.caller.conns {
		if at := s.caller.closed[c]; at == 0 || at-s.caller.opened[c] > 1.05 {
			t.Errorf("%.30q was not closed within a second: %g", s.caller.say[c], at)
		}
	}
	if len(s.program.clients) != 0 || len(s.program.unidentified) != 0 || s.desk.calls > 3 {
		t.Errorf("%d callers are left, %d calls went out", len(s.program.clients), s.desk.calls)
	}
}

func TestHundredsThatSayNothingLeaveRoomForCollectors(t *testing.T) {
	s := begin(t, 1, 200)
	first := s.caller.dial(resp.Append(nil, "telemetry", "az", "b"))
	s.net.Run(1000.6)
	for range 400 {
		s.caller.dial(nil)
	}
	s.net.Run(1000.8)
	if n := len(s.program.clients); n > 200-reservedDescriptors {
		t.Errorf("%d callers hold descriptors", n)
	}
	late := s.caller.dial(resp.Append(nil, "telemetry", "az", "a"))
	s.net.Run(1003)
	if s.caller.closed[first] != 0 || s.caller.closed[late] != 0 || len(s.program.clients) != 2 {
		t.Errorf("%d callers are left", len(s.program.clients))
	}
}

// A relay that is out of reach is dialled three times a second: what waits is ordered as soon as it is back.
func TestWhatWaitsIsOrderedAsSoonAsTheRelayIsBack(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(1, "a")
	s.net.Run(1002)
	s.host["relay"].Shun(func(a netip.Addr) bool { return a == self.Addr() })
	s.net.Run(1004)
	s.agent.tell(false, server("s-3", "draining"))
	for at := 1004.0; at < 1011; at += 0.5 {
		s.net.Run(at)
		s.agent.tell(false, server("s-1", "ready")) // nothing new: rounds go on
	}
	s.net.Run(1011)
	s.host["relay"].Shun(nil)
	s.net.Run(1011.6)
	if _, there := s.desk.lines["s-3"]; there {
		t.Error("0.6 s after the relay is back s-3, which drains, is in the table")
	}
}

// What is written to a relay that is out of reach may arrive all the same: it is not written again and again.
func TestARelayOutOfReachGetsNoCallManyTimes(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(1, "a")
	s.net.Run(1002)
	s.desk.away = true
	before := s.desk.calls
	s.agent.tell(false, server("s-3", "draining"))
	s.net.Run(1002.2)
	for at := 1002.2; at < 1008; at += 0.5 {
		s.agent.tell(false, server("s-2", []discovery.State{"ready", "draining"}[int(at*2)%2]))
		s.net.Run(at)
	}
	if n := s.desk.calls - before; n < 1 || n > 2 {
		t.Errorf("in six seconds %d calls were written", n)
	}
	s.agent.tell(false, server("s-2", "draining"))
	s.desk.away = false
	s.net.Run(1010)
	if len(s.desk.lines) != 1 || s.desk.lines["s-1"] == 0 {
		t.Errorf("two seconds after it is back its table is %v", s.desk.lines)
	}
}

// While orders do not reach the channel the module decides none, and what it decided is not held to have left.
func TestTheModuleKnowsThatOrdersDoNotArrive(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(1, "a")
	if s.net.Run(1002); s.program.stalled(1002) {
		t.Fatal("a relay that answers is held to be out of reach")
	}
	s.desk.away = true
	s.agent.tell(false, server("s-3", "draining"))
	s.net.Run(1002.02)
	if !s.program.commands.InFlight() || s.program.stalled(1002.02) {
		t.Error("a call that may still be answered is given up")
	}
	s.net.Run(1004)
	waiting := s.program.commands.Pending()
	s.agent.tell(false, server("s-2", "draining"))
	if s.net.Run(1005); !s.program.stalled(1005) || s.program.commands.Pending() > waiting || !s.program.relay.stalled {
		t.Errorf("%d orders wait, %d before; held %v", s.program.commands.Pending(), waiting, s.program.relay.stalled)
	}
}

// Links change while a call is out: its answer is taken from the old link, which then goes, and nothing is sent twice.
func TestACallIsAnsweredOnTheLinkThatIsReplaced(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(1, "a")
	s.net.Run(1002)
	desk := newDesk()
	desk.joined, desk.lines, desk.bound = s.desk.joined, s.desk.lines, s.desk.bound
	s.net.Add(otherHub.Addr(), 0, false).Start(desk)
	var send func()
	s.desk.later = func(f func()) { send = f }
	s.agent.tell(false, server("s-3", "draining"))
	for at := 1002.0; send == nil && at < 1003; at += 0.001 {
		s.net.Run(at)
	}
	if send == nil {
		t.Fatal("no call came")
	}
	s.program.SetAddresses(s.net.Now(), discoveryAddress, otherHub)
	for at := s.net.Now(); len(desk.watch) < 2 && at < 1003.2; at += 0.001 {
		s.net.Run(at)
	}
	if len(desk.watch) != 2 || !s.program.commands.InFlight() || len(s.desk.in) != 1 {
		t.Fatalf("%d new links, %d old ones, a call is out: %v", len(desk.watch), len(s.desk.in), s.program.commands.InFlight())
	}
	send()
	s.net.Run(s.net.Now() + 0.05)
	if s.program.commands.InFlight() || s.program.commands.Resends != 0 || len(s.desk.in) != 0 {
		t.Errorf("after the answer a call is out: %v; %d went again, %d old links", s.program.commands.InFlight(), s.program.commands.Resends, len(s.desk.in))
	}
}

// SIGHUP moves the relay while the old links stand: nobody is bound anew, at whatever time after the last sign of life it comes.
func TestLinksThatMoveBindNobodyAnew(t *testing.T) {
	for _, after := range []float64{0.05, 0.3, 0.6, 0.95} {
		s := begin(t, 1, 256)
		s.desk.join(1, "a")
		s.desk.join(2, "b")
		s.net.Run(1003 + after)
		desk := newDesk()
		desk.joined, desk.lines = s.desk.joined, s.desk.lines
		s.net.Add(otherHub.Addr(), 0, false).Start(desk)
		s.program.SetAddresses(s.net.Now(), discoveryAddress, otherHub)
		if s.net.Run(1006); len(desk.watch) != 2 || len(desk.bound) > 0 {
			t.Errorf("%.2f s after a second: %d new links, %d proxies bound anew", after, len(desk.watch), len(desk.bound))
		}
		desk.join(3, "a")
		if s.net.Run(1006.1); len(desk.bound) != 1 {
			t.Errorf("then one joins: %v are bound", desk.bound)
		}
	}
}

// SIGHUP while dials to the old addresses are made, or links there do not answer: they are not waited for.
func TestLinksInTheMakingAreGivenUpForNewAddresses(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(1, "a")
	s.net.Run(1002)
	s.desk.away, s.agent.mute = true, true
	for _, all := range []map[env.Conn]bool{s.desk.watch, s.agent.watch} {
		for c := range all {
			s.net.At(1002, func() { s.desk.io.Close(c) })
			delete(all, c)
		}
	}
	for c := range s.program.connections {
		s.program.disconnect(s.net.Now(), s.program.connections[c])
	}
	s.net.Run(1002.3)
	if n := s.program.relay.primary.candidate; n == nil || !n.established {
		t.Fatalf("no link is in the making: %+v", n)
	}
	desk, agent := newDesk(), &agent{list: s.agent.list}
	desk.joined = s.desk.joined
	s.net.Add(otherHub.Addr(), 0, false).Start(desk)
	s.net.Add(otherList.Addr(), 0, false).Start(agent)
	s.program.SetAddresses(s.net.Now(), otherList, otherHub)
	if s.net.Run(1002.5); len(desk.watch) != 2 || len(agent.watch) != 1 {
		t.Errorf("0.2 s after SIGHUP %d links to the new relay, %d to discovery", len(desk.watch), len(agent.watch))
	}
}

func line(version int64, full bool, servers ...discovery.Server) string {
	b, _ := json.Marshal(discovery.List{Version: version, Full: full, Servers: append([]discovery.Server{}, servers...)})
	return string(b)
}

// A line of the watch that can't be read, or an entry in one: what it told is asked for again, and not lost when versions go on.
func TestWhatCannotBeReadOfTheListIsAskedForAgain(t *testing.T) {
	for what, bad := range map[string]string{"a line": `{"version":1,"servers":[{"id":"s-3","state":"dra`,
		"an entry": `{"version":1,"full":false,"servers":[{"id":"s-3","state":"drained?","zone":"a"}]}`,
		"a type":   `{"version":1,"full":false,"servers":[{"id":"s-2","state":"ready","zone":"a","weight":1},{"id":3,"state":"draining"}]}`} {
		s := begin(t, 1, 256)
		s.desk.join(1, "a")
		s.net.Run(1002)
		s.agent.first = line(2, false, server("s-3", "draining"), server("s-2", "ready")) // all after version 0, as it then is
		for c := range s.agent.watch {
			s.agent.chunk(c, bad+"\n")
		}
		s.agent.list.Version = 1
		s.agent.tell(false, server("s-2", "ready"))
		s.net.Run(1003)
		if _, there := s.desk.lines["s-3"]; there || !strings.Contains(s.agent.asked[len(s.agent.asked)-1], "index=0 ") {
			t.Errorf("%s: a second later s-3 is in the table: %v; asked for %q", what, there, s.agent.asked)
		}
	}
}

// Lists that never can be read whole are not asked for in a loop, and the rest of them counts.
func TestListsThatStaySpoiltAreAskedForSeldom(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(1, "a")
	s.net.Run(1002)
	strange := server("s-9", "ready")
	strange.Zone = "nowhere"
	s.agent.first = line(1, false, strange, server("s-3", "draining"))
	before := len(s.agent.asked)
	for c := range s.agent.watch {
		s.agent.chunk(c, s.agent.first+"\n")
	}
	s.net.Run(1062)
	if n := len(s.agent.asked) - before; n < 5 || n > 16 {
		t.Errorf("in a minute it was asked %d times", n)
	}
	if _, there := s.desk.lines["s-3"]; there {
		t.Error("s-3 drains, as was told beside what can't be read, and is in the table")
	}
	for c := range s.agent.watch { // and what comes between is heard at once
		s.agent.chunk(c, line(2, false, server("s-2", "draining"))+"\n")
	}
	s.net.Run(1062.1)
	if _, there := s.desk.lines["s-2"]; there || len(s.agent.watch) == 0 {
		t.Errorf("a drain told on the watch is not obeyed; %d watches", len(s.agent.watch))
	}
}

// A new discovery counts its versions anew, or goes on after a list that we never had: the whole list is asked for, and what
// changes then is not ignored as old.
func TestANewDiscoveryHasVersionsOfItsOwn(t *testing.T) {
	for _, version := range []int64{2, 41} {
		s := begin(t, 1, 256)
		s.desk.join(1, "a")
		for range 40 {
			s.agent.tell(false, server("s-1", "ready"))
		}
		s.net.Run(1002)
		agent := &agent{list: discovery.List{Version: version, Full: true, Servers: []discovery.Server{server("s-1", "ready"), server("s-2", "ready")}}}
		agent.first = line(version, false)
		s.net.Add(otherList.Addr(), 0, false).Start(agent)
		s.program.SetAddresses(s.net.Now(), otherList, hub)
		s.net.Run(1003)
		if _, there := s.desk.lines["s-3"]; there || agent.wholes != 1 {
			t.Errorf("version %d: s-3, which the new list does not have, is in the table: %v; %d whole lists", version, there, agent.wholes)
		}
		agent.tell(false, server("s-2", "draining"))
		s.net.Run(1003.2)
		if _, there := s.desk.lines["s-2"]; there {
			t.Errorf("version %d: a drain that the new discovery told is ignored", version)
		}
	}
}

// A whole list that can't be read at first is asked for until it can, and not in a loop; no watch is built on what was not read.
func TestAWholeListThatCannotBeReadIsAskedForAgain(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(1, "a")
	s.net.Run(1002)
	next := &agent{list: discovery.List{Version: 9, Servers: []discovery.Server{server("s-1", "ready")}}, spoilt: true}
	s.net.Add(otherList.Addr(), 0, false).Start(next)
	s.program.SetAddresses(s.net.Now(), otherList, hub)
	if s.net.Run(1007); next.wholes < 5 || next.wholes > 30 || len(next.asked) > 0 || len(s.desk.lines) != 3 {
		t.Errorf("in 5 s it was asked for %d times, %d watches; the table is %v", next.wholes, len(next.asked), s.desk.lines)
	}
	next.spoilt = false
	if s.net.Run(1008.5); len(next.watch) != 1 || len(s.desk.lines) != 1 {
		t.Errorf("then %d watches, the table is %v", len(next.watch), s.desk.lines)
	}
}

// The same where an agent has begun anew at the same address: its first line has a version below the known one.
func TestADiscoveryThatHasBegunAnewIsAskedForAll(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(1, "a")
	for range 40 {
		s.agent.tell(false, server("s-1", "ready"))
	}
	s.net.Run(1002)
	s.agent.list = discovery.List{Version: 3, Full: true, Servers: []discovery.Server{server("s-1", "ready")}}
	s.agent.first = line(3, false)
	for c := range s.agent.watch {
		s.agent.io.Close(c)
		s.agent.Closed(1002, c)
	}
	s.net.Run(1004)
	if len(s.desk.lines) != 1 || s.agent.wholes != 1 {
		t.Errorf("the table is %v, %d whole lists were asked for", s.desk.lines, s.agent.wholes)
	}
}

// Proxies that join before any server is known wait for the first list: groups are made by the zones of servers.
func TestProxiesThatComeBeforeTheFirstListWaitForIt(t *testing.T) {
	d, err := deployment.Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	d.DataPlane.ZoneLocalClasses = []bool{true}
	s := &scene{net: simnet.New(1, 1000), desk: newDesk(), agent: &agent{mute: true}, caller: newDialler(), host: map[string]*simnet.Host{}}
	s.program = New(Config{Discovery: discoveryAddress, Relay: hub, MaxDescriptors: 256, Seed: 7, Deployment: d}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.net.Add(hub.Addr(), 0, false).Start(s.desk)
	s.net.Add(discoveryAddress.Addr(), 0, false).Start(s.agent)
	s.net.Add(self.Addr(), 0, false).Start(s.program)
	for p := range 6 {
		s.desk.join(p, []string{"a", "b"}[p%2])
	}
	s.net.Run(1002)
	s.desk.joined[6] = "b"
	for c := range s.desk.watch {
		s.desk.attach(c, 6)
		s.desk.io.Send(c, []byte(`{"jsonrpc":"2.0","method":"detach","params":{"sidecar":0}}`+"\n"))
	}
	s.net.Run(1003)
	north, south := server("s-1", "ready"), server("s-2", "ready")
	south.Zone = "b"
	s.agent.mute, s.agent.list = false, discovery.List{Version: 5, Full: true, Servers: []discovery.Server{north, south}}
	s.net.Run(1009)
	for p := 1; p < 7; p++ {
		want := map[string]string{"a": "s-1", "b": "s-2"}[s.desk.joined[p]]
		if table := s.desk.tables[s.desk.on[p]]; len(table) != 1 || table[want] == 0 {
			t.Errorf("proxy %d of zone %s has the table %v", p, s.desk.joined[p], table)
		}
	}
	if s.desk.bound[0] > 0 {
		t.Error("a proxy that has left is bound")
	}
}

// Whatever becomes of calls, lists and links, the relay ends with what discovery said last, and with every proxy bound.
func TestBadDaysEndWithTheRightTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := begin(t, rapid.Uint64Range(0, 1000).Draw(t, "seed"), 256)
		s.net.Faults.Split = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "pieces")
		s.desk.join(0, "a")
		now, state := 1000.5, map[string]discovery.State{"s-1": "ready", "s-2": "ready", "s-3": "ready"}
		for range rapid.IntRange(3, 12).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				s.desk.join(rapid.IntRange(0, 8).Draw(t, "proxy"), "a")
			case 2, 3:
				id := rapid.SampledFrom([]string{"s-2", "s-3"}).Draw(t, "server")
				state[id] = rapid.SampledFrom([]discovery.State{"ready", "draining", "gone"}).Draw(t, "state")
				s.agent.tell(false, server(id, state[id]))
			case 4:
				spoilt := rapid.SampledFrom([]string{"", "reset", `"result":{}`, `"error":"limit"`, `"nothing":0`}).Draw(t, "answer")
				done := rapid.Bool().Draw(t, "done") && spoilt != `"error":"limit"`
				s.desk.answer = func(uint64, int) (string, bool) { return spoilt, done }
			case 5:
				for c := range s.desk.watch {
					s.desk.io.Close(c)
					s.desk.Closed(now, c)
					break
				}
			case 6:
				for c := range s.agent.watch {
					s.agent.io.Close(c)
					s.agent.Closed(now, c)
				}
			case 7:
				s.agent.mute = !s.agent.mute
			case 8:
				s.host["relay"].Stall(rapid.Float64Range(0.1, 4).Draw(t, "stall"))
			case 9:
				s.desk.io.Send(firstOf(s.desk.in), []byte("what is this\n"))
			}
			now += rapid.Float64Range(0.01, 3).Draw(t, "pause")
			s.net.Run(now)
		}
		s.desk.answer, s.agent.mute = nil, false
		var all []discovery.Server
		for _, id := range []string{"s-1", "s-2", "s-3"} {
			if state[id] != "gone" {
				all = append(all, server(id, state[id]))
			}
		}
		s.agent.tell(true, all...)
		s.net.Run(now + 25)
		for id, v := range state {
			if _, there := s.desk.lines[id]; there != (v == "ready") {
				t.Fatalf("%s is %s, in the table %v", id, v, there)
			}
		}
		for p := range s.desk.joined {
			if s.desk.bound[p] == 0 {
				t.Fatalf("proxy %d was never bound", p)
			}
		}
		if n := len(s.desk.in); n > 3 {
			t.Fatalf("%d links to the relay are open", n)
		}
	})
}

func firstOf(m map[env.Conn]*lines.Reader) (least env.Conn) {
	for c := range m {
		if least == 0 || c < least {
			least = c
		}
	}
	return least
}

func TestNewAddressesAreTakenBesideTheOldOnes(t *testing.T) {
	s := begin(t, 1, 256)
	s.desk.join(1, "a")
	s.net.Run(1002)
	desk, agent := newDesk(), &agent{list: s.agent.list}
	desk.joined, desk.lines, desk.bound = s.desk.joined, s.desk.lines, s.desk.bound
	s.net.Add(otherHub.Addr(), 0, false).Start(desk)
	s.net.Add(otherList.Addr(), 0, false).Start(agent)
	s.program.SetAddresses(s.net.Now(), otherList, otherHub)
	s.net.Run(1003)
	if len(s.desk.in) != 0 || len(s.agent.watch) != 0 || len(desk.watch) != 2 || len(agent.watch) != 1 {
		t.Fatalf("old links %d and %d, new ones %d and %d", len(s.desk.in), len(s.agent.watch), len(desk.watch), len(agent.watch))
	}
	agent.tell(false, server("s-3", "draining"))
	s.net.Run(1003.1)
	if _, there := desk.lines["s-3"]; there || desk.calls == 0 {
		t.Errorf("%d calls at the new relay; s-3 in the table %v", desk.calls, there)
	}
}
