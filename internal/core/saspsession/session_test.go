package saspsession

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/registry"
	"snowquay/internal/testseed"
	"snowquay/internal/wire/sasp"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// peers is the other end of all connections: it keeps what came, and what each relay holds.
type peers struct {
	t      testing.TB
	now    float64
	fleet  *controlplane.Fleet
	server *Server
	lastConn   Conn
	lastID     uint32
	received    map[Conn][]sasp.Message // without their rows
	weights   map[Conn]map[string]uint16
	sentBytes   map[Conn]uint64
	closed  map[Conn]bool
	log    []string
	rows  float64
	stalled  map[Conn]bool // takes nothing
	pushes int
}

func (p *peers) Send(c Conn, b []byte) {
	p.sentBytes[c] += uint64(len(b))
	var m sasp.Message
	if n, err := sasp.Frame(b, sasp.MaxMessageBytes); err != nil || n != len(b) || sasp.Decode(b, &m) != nil {
		p.t.Fatalf("the server sent what can't be read: %v", err)
	}
	p.received[c] = append(p.received[c], sasp.Message{Kind: m.Kind, ID: m.ID, Code: m.Code, Interval: m.Interval})
	if m.Kind != sasp.SendWeights && m.Kind != sasp.GetWeightsReply {
		return
	}
	p.pushes++
	p.rows += float64(len(m.Rows))
	for _, g := range m.Groups {
		positive := true
		for _, r := range m.Rows[g.From:g.To] {
			if r.Weight > 0 && !positive {
				p.t.Errorf("a row with a weight comes after one without")
			}
			positive = r.Weight > 0
			p.weights[c][string(g.Name)+" "+string(ServerID(r.Address))] = r.Weight
		}
	}
}

func (p *peers) Close(c Conn) { p.closed[c] = true }

func (p *peers) OrderDrain(float64, balancer.Server, bool) (uint64, bool) { return 0, true }

func (p *peers) Log(event string, pairs ...any) {
	p.log = append(p.log, event+" "+fmt.Sprint(pairs...))
}

const serverCount = 6

func testSite(without ...controlplane.Guard) controlplane.Site {
	s := controlplane.Site{Seed: 1, ClassNames: []string{"search", "introduce"}, Zones: []string{"a", "b"}, AllowUnlisted: true,
		Classes: []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3},
			{PriorityWeight: 3, LatencyObjective: 1, ClientTimeout: 3, Idempotency: balancer.Keyed, DedupScope: balancer.SameFailureDomain, DedupWindow: 5}},
		DataPlane: balancer.DataPlane{Proxies: 8, Coordinators: 1, DefaultTableSize: 4, DefaultRetry: balancer.RetryIfNotExecuted},
		Channel: balancer.Channel{EntriesPerSecond: 2000, MessageOverhead: 3, MaxQueued: 4000, MeanDelay: 0.01, MaxDelay: 0.2,
			MaxMessages: 40, MessageWindow: 10},
		Guarantees: balancer.Guarantees{DrainDeadline: 3, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10, OverloadFactor: 3, OverloadWindow: 2},
		Reporting:  balancer.Reporting{Period: 0.5}, Limits: controlplane.DefaultLimits, DisabledGuards: map[controlplane.Guard]bool{}}
	for _, g := range without {
		s.DisabledGuards[g] = true
	}
	for i := range serverCount {
		s.Servers = append(s.Servers, registry.ServerConfig{Server: balancer.Server(address(i).String()), Zone: balancer.Zone(i % 2), Weight: 1,
			Static: i < 4})
	}
	for i := range 500 {
		s.Proxies = append(s.Proxies, controlplane.ProxyConfig{UID: fmt.Sprintf("r%d", i), ExpectedRate: 20})
	}
	return s
}

func address(i int) netip.AddrPort {
	if i == 3 {
		return netip.MustParseAddrPort("[2001:db8::3]:80") // both families are there
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

func start(t testing.TB, site controlplane.Site, limits Limits, policy Policy) *peers {
	p := &peers{t: t, now: 1000, received: map[Conn][]sasp.Message{}, weights: map[Conn]map[string]uint16{}, sentBytes: map[Conn]uint64{},
		closed: map[Conn]bool{}, stalled: map[Conn]bool{}}
	f, err := controlplane.New(p.now, site, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.fleet = f
	p.server = New(f, p, limits, policy)
	p.advance(0.2)
	return p
}

func startDefault(t testing.TB) *peers {
	return start(t, testSite(), DefaultLimits, Policy{FleetUID: "fleet", AllowUnlisted: true})
}

func (p *peers) dial(from string) Conn {
	p.lastConn++
	p.weights[p.lastConn] = map[string]uint16{}
	p.server.Opened(p.now, p.lastConn, netip.MustParseAddr(from))
	return p.lastConn
}

func (p *peers) request(c Conn, m *sasp.Message) sasp.Code {
	p.lastID++
	m.ID = p.lastID
	p.server.Receive(p.now, c, sasp.Append(nil, m))
	for _, g := range slices.Backward(p.received[c]) {
		if g.ID == m.ID && g.Kind == sasp.ReplyTo(m.Kind) {
			return g.Code
		}
	}
	return 255
}

// message names groups as "uid/group" with the numbers of their servers.
func message(kind sasp.Kind, lb uint8, groups ...any) *sasp.Message {
	m := &sasp.Message{Kind: kind, LB: lb}
	for _, g := range groups {
		switch g := g.(type) {
		case string:
			uid, name, _ := strings.Cut(g, "/")
			m.Groups = append(m.Groups, sasp.Group{UID: []byte(uid), Name: []byte(name), From: len(m.Rows), To: len(m.Rows)})
		case int:
			m.Rows = append(m.Rows, sasp.Row{Address: sasp.AddressOf(address(g))})
			m.Groups[len(m.Groups)-1].To = len(m.Rows)
		}
	}
	return m
}

const allFlags = sasp.Push | sasp.Trust | sasp.NoChange

func (p *peers) relay(uid string, flags uint8, members ...any) Conn {
	p.t.Helper()
	c := p.dial("10.9.0.1")
	if code := p.request(c, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte(uid), Flags: flags}); code != sasp.OK {
		p.t.Fatalf("%s: %s", uid, code)
	}
	groups := append([]any{uid + "/search"}, members...)
	groups = append(append(groups, uid+"/introduce"), members...)
	if code := p.request(c, message(sasp.Registration, 1, groups...)); code != sasp.OK {
		p.t.Fatalf("%s: %s", uid, code)
	}
	return c
}

// advance lets time go by; the kernels of all but the stuck take what was sent.
func (p *peers) advance(seconds float64) {
	for end := p.now + seconds; p.now < end; p.now += 0.04 {
		for c := Conn(1); c <= p.lastConn; c++ {
			if !p.stalled[c] && p.sentBytes[c] > 0 {
				p.server.Delivered(p.now, c, p.sentBytes[c])
			}
		}
		p.fleet.RunRound(p.now)
		p.server.Tick(p.now)
		p.fleet.SendDue(p.now)
	}
}

func (p *peers) countWeights(c Conn, group string) (n int) {
	for name, w := range p.weights[c] {
		if w > 0 && strings.HasPrefix(name, group+" ") {
			n++
		}
	}
	return n
}

func TestRelayReceivesItsTables(t *testing.T) {
	p := startDefault(t)
	c := p.relay("r1", allFlags, 0, 1)
	p.advance(1)
	if p.countWeights(c, "search") != 4 || p.countWeights(c, "introduce") != 4 || p.fleet.UpToDate() != 1 {
		t.Errorf("it holds %v", p.weights[c])
	}
	if w := p.weights[c]["search 10.0.0.0:80"]; w != 128*257 {
		t.Errorf("a usual server's weight is %d", w)
	}
	pushes := p.pushes
	if p.advance(3); p.pushes != pushes {
		t.Errorf("%d messages without news", p.pushes-pushes)
	}
}

func TestResponseCodes(t *testing.T) {
	p := startDefault(t)
	c, m := p.relay("r1", allFlags, 0, 1), p.dial("10.0.0.4")
	distrusts := p.relay("r2", sasp.Push, 0, 1)
	other := p.dial("10.9.0.9")
	for i, x := range []struct {
		conn Conn
		m    *sasp.Message
		want sasp.Code
	}{
		{c, message(sasp.Registration, 1, "r1/search", 1), sasp.AlreadyRegistered},
		{c, message(sasp.Registration, 1, "r1/search", 2, 2), sasp.DuplicateMember},
		{c, message(sasp.Registration, 1, "r1/search", 2, "r1/search", 3), sasp.DuplicateGroup},
		{c, message(sasp.Registration, 1, "r1/odd", 2), sasp.InvalidGroup},
		{c, message(sasp.Registration, 1, "r1/", 2), sasp.InvalidGroupName},
		{c, message(sasp.Registration, 1, "/search", 2), sasp.InvalidBalancer},
		{c, message(sasp.Registration, 1, "r3/search", 2), sasp.NotAccepted},
		{c, message(sasp.Registration, 0, "r1/search", 2), sasp.NotAccepted},
		{c, message(sasp.Registration, 1, "r1/search", 2, "r1/introduce"), sasp.OK},
		{c, message(sasp.Deregistration, 1, "r1/odd"), sasp.UnknownGroup},
		{c, message(sasp.Deregistration, 1, "r1/search", 5), sasp.NotRegistered},
		{c, message(sasp.Deregistration, 1, "r1/search", 2), sasp.OK},
		{c, message(sasp.SetMember, 1, "r1/search", 2), sasp.NotRegistered},
		{c, message(sasp.GetWeights, 0, "r1/odd"), sasp.UnknownGroup},
		{c, message(sasp.GetWeights, 0, "r2/search"), sasp.NotAccepted},
		{c, message(sasp.GetWeights, 0, "r1/search", "r1/search"), sasp.DuplicateGroup},
		{c, message(sasp.GetWeights, 0), sasp.OK},
		{c, &sasp.Message{Kind: sasp.SetBalancer}, sasp.InvalidBalancer},
		{c, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r2")}, sasp.NotAccepted},
		{other, message(sasp.GetWeights, 0, "r1/search"), sasp.UnknownBalancer},
		{other, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("fleet")}, sasp.NotAccepted},
		{m, message(sasp.Registration, 0, "r9/search", 4), sasp.BalancerNotArrived},
		{m, message(sasp.Registration, 0, "r2/search", 4), sasp.NotAccepted}, // it does not trust members
		{m, message(sasp.Registration, 0, "r1/search", 5), sasp.NotAccepted}, // of another host
		{m, message(sasp.Registration, 0, "r1/search", 4), sasp.OK},
		{m, message(sasp.Registration, 0, "r1/search", 4), sasp.AlreadyRegistered},
		{m, message(sasp.Registration, 0, "fleet/introduce", 4), sasp.OK},
		{m, message(sasp.SetMember, 0, "r1/search", 4), sasp.OK},
		{m, message(sasp.Deregistration, 0, "r1/search", 4), sasp.OK},
		{m, message(sasp.Deregistration, 0, "r1/search", 4), sasp.NotRegistered},
		{distrusts, message(sasp.Deregistration, 1), sasp.OK},
	} {
		if got := p.request(x.conn, x.m); got != x.want {
			t.Errorf("%d: kind %#x was answered with %q, want %q", i, uint16(x.m.Kind), got, x.want)
		}
	}
	if p.fleet.Joined() != 1 {
		t.Errorf("%d relays are joined", p.fleet.Joined())
	}
}

func TestMemberRegistersItself(t *testing.T) {
	p := startDefault(t)
	trusts, not := p.relay("r1", allFlags, 0, 1), p.relay("r2", sasp.Push, 0, 1)
	p.advance(1)
	m := p.dial("10.0.0.5")
	p.request(m, message(sasp.Registration, 0, "fleet/search", 5))
	p.advance(7)
	const s = "search 10.0.0.5:80"
	if w, ok := p.weights[trusts][s]; !ok || w == 0 || w >= p.weights[trusts]["search 10.0.0.0:80"] {
		t.Errorf("a trusting relay gives the cold member %d (%t)", w, ok)
	}
	if _, ok := p.weights[not][s]; ok || p.countWeights(not, "search") != 2 {
		t.Errorf("an untrusting relay was told of it, or has lost its own: %v", p.weights[not])
	}
	p.request(m, &sasp.Message{Kind: sasp.SetMember, Groups: []sasp.Group{{UID: []byte("fleet"), Name: []byte("search"), To: 1}},
		Rows: []sasp.Row{{Address: sasp.AddressOf(address(5)), Flags: sasp.Quiesce}}})
	if p.advance(0.3); p.weights[trusts][s] != 0 {
		t.Errorf("its drain has not arrived")
	}
}

// Both of an untrusting relay's members leave the table; it is given those that are open all the same.
func TestUntrustingRelayFallsBackToReadyMembers(t *testing.T) {
	p := startDefault(t)
	c := p.relay("r1", sasp.Push, 4, 5) // they have not registered: no lines for them
	p.advance(0.5)
	if p.countWeights(c, "search") != 0 {
		t.Errorf("it was sent to servers that are not there: %v", p.weights[c])
	}
	for _, i := range []int{4, 5} {
		p.request(p.dial(address(i).Addr().String()), message(sasp.Registration, 0, "fleet/search", i))
	}
	if p.advance(0.3); p.countWeights(c, "search") == 0 {
		t.Errorf("it has no line though its members are open: %v", p.weights[c])
	}
}

func TestDrainOfLastServerEmptiesTable(t *testing.T) {
	site := testSite()
	site.Servers = site.Servers[:1]
	p := start(t, site, DefaultLimits, Policy{FleetUID: "fleet", AnyAgent: true})
	c := p.relay("r1", allFlags) // a group without members
	if p.advance(1); p.countWeights(c, "search") != 1 {
		t.Fatalf("it holds %v", p.weights[c])
	}
	drain := message(sasp.SetMember, 0, "fleet/search", 0)
	drain.Rows[0].Flags = sasp.Quiesce
	if code := p.request(p.dial("10.9.9.9"), drain); code != sasp.OK {
		t.Fatal(code)
	}
	if p.advance(0.3); p.countWeights(c, "search") != 0 {
		t.Errorf("the drain gave way: %v", p.weights[c])
	}
}

func TestNewerConnectionTakesOverUID(t *testing.T) {
	p := startDefault(t)
	first := p.relay("r1", allFlags, 0)
	second := p.dial("10.9.0.2")
	if code := p.request(second, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r1")}); code != sasp.NotAccepted || p.closed[first] {
		t.Errorf("at once: %s, the first is closed: %t", code, p.closed[first])
	}
	p.advance(1.5)
	p.stalled[first] = true // it breaks in the middle of an update, unnoticed
	p.server.fleet.Registry.SetDrain(p.now, balancer.Server(address(1).String()), true)
	p.advance(0.2)
	third := p.relay("r1", allFlags, 0, 1, 2)
	p.advance(1)
	if !p.closed[first] || p.closed[third] || p.fleet.Joined() != 1 {
		t.Errorf("the first is closed: %t, the newest: %t, %d joined", p.closed[first], p.closed[third], p.fleet.Joined())
	}
	if w, ok := p.weights[third]["search 10.0.0.1:80"]; !ok || w != 0 {
		t.Errorf("it was not told again of the drain: %v", p.weights[third])
	}
	if p.countWeights(third, "search") != 3 {
		t.Errorf("it holds %v", p.weights[third])
	}
}

func TestClosedConnectionLeavesNoState(t *testing.T) {
	p := startDefault(t)
	c := p.dial("10.9.0.1")
	b := sasp.Append(nil, message(sasp.Registration, 1, "r1/search", 0, 1, 2))
	p.server.Receive(p.now, c, sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r1"), Flags: allFlags}))
	for i := range b[:len(b)/2] { // a byte at a time, and only half
		p.server.Receive(p.now, c, b[i:i+1])
	}
	if _, buffered := p.server.Connections(); buffered != len(b)/2 {
		t.Errorf("%d bytes are kept of %d", buffered, len(b)/2)
	}
	p.server.Closed(p.now, c)
	p.advance(0.2)
	n, buffered := p.server.Connections()
	if n+buffered+p.fleet.Joined()+len(p.server.balancers) != 0 {
		t.Errorf("%d connections, %d bytes, %d joined, %d balancers are left", n, buffered, p.fleet.Joined(), len(p.server.balancers))
	}
}

// A relay takes nothing for ten seconds while drains and weights go on.
func stallRelay(t *testing.T, without ...controlplane.Guard) (p *peers, c Conn) {
	site := testSite(without...)
	site.Limits.StallTimeout = 30
	p = start(t, site, DefaultLimits, Policy{FleetUID: "fleet"})
	c = p.relay("r1", allFlags, 0, 1, 2, 3)
	p.advance(1)
	before, sent := p.pushes, p.sentBytes[c]
	p.stalled[c] = true
	for i := range 100 {
		s := balancer.Server(address(1 + i%3).String())
		p.fleet.Registry.SetDrain(p.now, s, i/3%2 == 0)
		p.advance(0.1)
	}
	if p.pushes-before > 1 || p.sentBytes[c]-sent > 600 {
		t.Errorf("%d messages of %d bytes wait for a relay that takes nothing", p.pushes-before, p.sentBytes[c]-sent)
	}
	return p, c
}

func TestSlowReaderGetsNewestState(t *testing.T) {
	p, c := stallRelay(t, controlplane.GuardOverdue)
	if p.closed[c] {
		t.Fatalf("it was cut off: %q", p.log)
	}
	p.stalled[c] = false
	pushes := p.pushes
	p.fleet.Registry.SetDrain(p.now, balancer.Server(address(2).String()), true)
	if p.advance(0.5); p.pushes-pushes > 3 {
		t.Errorf("%d messages to catch up", p.pushes-pushes)
	}
	if p.weights[c]["search 10.0.0.2:80"] != 0 || p.countWeights(c, "search") == 0 {
		t.Errorf("it holds %v", p.weights[c])
	}
}

func TestRelayThatDoesNotReceiveDrainIsDisconnected(t *testing.T) {
	p, c := stallRelay(t)
	if !p.closed[c] || p.fleet.Stats.Overdue != 1 || !strings.Contains(strings.Join(p.log, "\n"), "a drain has waited") {
		t.Errorf("cut: %t, %+v, %q", p.closed[c], p.fleet.Stats, p.log)
	}
}

func TestStalledRelayIsDisconnected(t *testing.T) {
	p := startDefault(t)
	c := p.relay("r1", allFlags, 0)
	p.stalled[c] = true
	if p.advance(DefaultLimits.IdentifyTimeout); p.closed[c] {
		t.Fatalf("too early: %q", p.log)
	}
	if p.advance(1.5); !p.closed[c] || p.fleet.Stats.Stalled != 1 {
		t.Errorf("cut: %t, %q", p.closed[c], p.log)
	}
}

// A mass of relays that dial at once is paced by the channel, joins by age, and a drain does not wait for them.
func TestJoiningRelaysArePaced(t *testing.T) {
	for _, without := range [][]controlplane.Guard{nil, {controlplane.GuardPacing}} {
		site := testSite(without...)
		site.DataPlane.Proxies, site.Channel.EntriesPerSecond, site.Channel.MaxQueued = 460, 4000, 9000
		p := start(t, site, DefaultLimits, Policy{FleetUID: "fleet"})
		var conns []Conn
		for i := range 460 {
			conns = append(conns, p.relay(fmt.Sprintf("r%d", i), allFlags, 0, 1))
		}
		p.rows, p.pushes = 0, 0
		most, last := 0.0, p.rows
		for i := range 125 {
			if p.advance(0.04); i == 10 {
				p.fleet.Registry.SetDrain(p.now, balancer.Server(address(1).String()), true)
			}
			most, last = max(most, p.rows-last), p.rows
		}
		if without != nil {
			if most < 1000 {
				t.Errorf("without the guard only %v lines left at once", most)
			}
			continue
		}
		if p.fleet.UpToDate() != 460 || most > 400 {
			t.Errorf("%d hold the newest tables after 5 s; up to %v lines at once", p.fleet.UpToDate(), most)
		}
		for _, c := range conns {
			if p.weights[c]["search 10.0.0.1:80"] != 0 {
				t.Fatalf("relay %d sends to a server that drains", c)
			}
		}
	}
}

func TestHostileConnections(t *testing.T) {
	limits := DefaultLimits
	limits.MaxConnections, limits.MaxBuffered, limits.MaxMessageBytes, limits.MaxGroups = 2000, 1<<20, 64<<10, 2
	p := start(t, testSite(), limits, Policy{FleetUID: "fleet"})
	good := p.relay("r1", allFlags, 0)
	bad := func(why string, bytes ...[]byte) {
		t.Helper()
		c := p.dial("10.6.6.6")
		for _, b := range bytes {
			p.server.Receive(p.now, c, b)
		}
		if !p.closed[c] || !strings.Contains(p.log[len(p.log)-1], why) {
			t.Errorf("closed: %t; the log says %q, wanted %q", p.closed[c], p.log[len(p.log)-1], why)
		}
	}
	frame := func(m *sasp.Message) []byte { return sasp.Append(nil, m) }
	lying := frame(message(sasp.Registration, 1, "r2/search", 0))
	lying[5], lying[6] = 0x7f, 0xff
	bad("over the limit", lying)
	bad("not a SASP message", []byte("GET / HTTP/1.1\r\n"))
	bad("as a manager", frame(&sasp.Message{Kind: sasp.SendWeights}))
	unknown := frame(&sasp.Message{Kind: sasp.SetMemberReply})
	unknown[13] = 0x77
	bad("unknown message", unknown)
	var flood []byte
	for range 500 {
		flood = append(flood, frame(&sasp.Message{Kind: sasp.GetWeights})...)
	}
	bad("floods", flood)
	half := make([]byte, 60<<10)
	copy(half, frame(message(sasp.Registration, 1, "r2/search", 0)))
	half[7], half[8] = 0xff, 0xff
	for range 17 { // many that send most of a message
		p.server.Receive(p.now, p.dial("10.6.6.6"), half)
	}
	if n, buffered := p.server.Connections(); buffered > limits.MaxBuffered {
		t.Errorf("%d bytes are kept for %d connections", buffered, n)
	}
	for range 10000 { // that say nothing
		p.dial("10.6.6.6")
	}
	if n, _ := p.server.Connections(); n != limits.MaxConnections {
		t.Errorf("%d connections stand", n)
	}
	p.advance(DefaultLimits.IdentifyTimeout + 1)
	if n, _ := p.server.Connections(); n != 1 || p.closed[good] || p.fleet.UpToDate() != 1 {
		t.Errorf("%d connections are left; the good one is closed: %t", n, p.closed[good])
	}
	odd := frame(message(sasp.Registration, 1, "r1/search", 2))
	odd[16] = 99 // a component's length
	before := p.server.Stats.Replied
	if p.server.Receive(p.now, good, odd); p.server.Stats.Replied != before+1 ||
		p.received[good][len(p.received[good])-1].Code != sasp.NotUnderstood || p.closed[good] {
		t.Errorf("a malformed body: %v", p.received[good][len(p.received[good])-1])
	}
	if code := p.request(good, message(sasp.Registration, 1, "r1/search", 2)); code != sasp.OK {
		t.Errorf("the stream can't be followed after it: %s", code)
	}
}

func TestPollingRelay(t *testing.T) {
	p := startDefault(t)
	c := p.relay("r1", sasp.Trust, 0, 1)
	if p.advance(1); p.pushes != 0 {
		t.Errorf("%d messages that it did not ask for", p.pushes)
	}
	if code := p.request(c, message(sasp.GetWeights, 0)); code != sasp.OK || p.countWeights(c, "search") != 4 {
		t.Errorf("%s, %v", code, p.weights[c])
	}
	if reply := p.received[c][len(p.received[c])-1]; reply.Interval < 1 || reply.Interval > 2 {
		t.Errorf("it is to ask again after %d s", reply.Interval)
	}
	p.advance(0.2)
	p.fleet.Registry.SetDrain(p.now, balancer.Server(address(1).String()), true)
	if p.advance(1.5); p.closed[c] {
		t.Errorf("cut off before it should ask: %q", p.log)
	}
	if p.advance(1); !p.closed[c] {
		t.Errorf("it has not asked within the grace of a drain, and is not cut off")
	}
}

// Measurements alone decide nothing: garbage, strangers, and relays that obey late.
func TestOnlyNoncompliantRelayIsDisconnected(t *testing.T) {
	for _, late := range []float64{0, 4} {
		p := startDefault(t)
		c := p.relay("r1", allFlags, 0, 1)
		p.advance(1)
		s, tries := balancer.Server(address(1).String()), 0.0
		report := func(clock float64) {
			tries += 5
			p.fleet.ReportUpstream(p.now, clock, "r1", s, loadreport.Totals{Attempts: tries})
			p.fleet.ReportUpstream(p.now, clock, "nobody", s, loadreport.Totals{Attempts: tries})
			p.fleet.ReportUpstream(p.now, clock, "r1", "10.9.9.9:1", loadreport.Totals{Attempts: tries})
		}
		for range 6 {
			p.advance(0.5)
			report(p.now - 500) // its clock is another
		}
		p.fleet.Registry.SetDrain(p.now, s, true)
		drained := p.now
		for p.now < drained+3 {
			p.advance(0.5)
			if late == 0 || p.now-late < drained {
				report(p.now - 500 - late)
			}
		}
		if p.closed[c] != (late == 0) {
			t.Errorf("reports %v s late: cut off %t, %q", late, p.closed[c], p.log)
		}
		if p.fleet.Stats.UnknownProxy == 0 || p.fleet.Stats.UnknownServer == 0 {
			t.Errorf("strangers were not counted: %+v", p.fleet.Stats)
		}
	}
}

// Whatever happens in whatever order, relays that take what they are sent end up with what the module wants; nobody
// gets a second message before the first was taken; what members and relays leave behind is forgotten.
func TestRelaysConvergeToTables(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := startDefault(t)
		conns, flags := map[int]Conn{}, map[int]uint8{}
		leave := func(i int) {
			if c, ok := conns[i]; ok {
				p.server.Closed(p.now, c)
				p.closed[c] = true
				delete(conns, i)
			}
		}
		alive := func(i int) (Conn, bool) { c, ok := conns[i]; return c, ok && !p.closed[c] }
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			i, s := rapid.IntRange(0, 3).Draw(rt, "relay"), rapid.IntRange(0, 5).Draw(rt, "server")
			uid := fmt.Sprintf("r%d", i)
			switch rapid.IntRange(0, 8).Draw(rt, "what") {
			case 0:
				leave(i)
				p.advance(1.1)
				flags[i] = sasp.Push | rapid.SampledFrom([]uint8{0, sasp.Trust, sasp.NoChange, allFlags}).Draw(rt, "flags")
				conns[i] = p.relay(uid, flags[i], s, (s+1)%serverCount)
			case 1:
				leave(i)
			case 2:
				if c, ok := alive(i); ok {
					p.request(c, message(sasp.Registration, 1, uid+"/search", s))
				}
			case 3:
				if c, ok := alive(i); ok {
					if p.request(c, message(sasp.Deregistration, 1, uid+"/search", s)) == sasp.OK { // it has given it up
						delete(p.weights[c], "search "+string(ServerID(sasp.AddressOf(address(s)))))
					}
				}
			case 4:
				p.fleet.Registry.SetDrain(p.now, balancer.Server(address(s).String()), rapid.Bool().Draw(rt, "on"))
			case 5:
				_ = p.fleet.Registry.Register(p.now, balancer.Server(address(4+s%2).String()), 0)
			case 6:
				p.fleet.Registry.Deregister(p.now, balancer.Server(address(4+s%2).String()))
			case 7:
				if c, ok := alive(i); ok {
					p.stalled[c] = !p.stalled[c]
				}
			default:
				p.advance(rapid.Float64Range(0.01, 2).Draw(rt, "seconds"))
			}
		}
		clear(p.stalled)
		p.advance(12)
		for i := range 4 {
			c, ok := alive(i)
			if !ok {
				continue
			}
			b := p.server.balancers[fmt.Sprintf("r%d", i)]
			for _, g := range b.groupOrder {
				has := false
				for s := range serverCount {
					server := balancer.Server(address(s).String())
					want := p.server.row(server, sasp.AddressOf(address(s)), g.members[server], p.fleet.Weight(b.proxy, g.class, server))
					_, knows := g.members[server]
					trusts := flags[i]&sasp.Trust != 0
					got := p.weights[c][g.name+" "+string(server)]
					if has = has || got > 0; !trusts && !knows {
						want.Weight = 0
					}
					if got != want.Weight && (trusts || want.Weight > 0) {
						rt.Errorf("r%d (flags %#x) holds %d for %s of %s, wanted %d", i, flags[i], got, server, g.name, want.Weight)
					}
				}
			}
		}
		if p.fleet.Joined() != len(p.server.byProxy) || len(p.server.balancers) < p.fleet.Joined() {
			rt.Errorf("%d joined, %d by proxy", p.fleet.Joined(), len(p.server.byProxy))
		}
	})
}
