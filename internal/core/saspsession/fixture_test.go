package saspsession

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/registry"
	"snowquay/internal/testseed"
	"snowquay/internal/wire/sasp"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// peers simulates the other ends of all connections. It records the messages that the server sends and the resulting
// weights of each relay.
type peers struct {
	t         testing.TB
	now       float64
	fleet     *controlplane.Fleet
	server    *Server
	lastConn  Conn
	lastID    uint32
	received  map[Conn][]sasp.Message // messages without their groups and rows
	weights   map[Conn]map[string]uint16
	sentBytes map[Conn]uint64
	closed    map[Conn]bool
	log       []string
	rows      float64       // rows with weights that the server sent
	stalled   map[Conn]bool // connections whose peer receives nothing
	pushes    int           // messages with weights that the server sent
}

func (p *peers) Send(c Conn, b []byte) {
	p.sentBytes[c] += uint64(len(b))
	var m sasp.Message
	if n, err := sasp.Frame(b, sasp.MaxMessageBytes); err != nil || n != len(b) || sasp.Decode(b, &m) != nil {
		p.t.Fatalf("the server sent a malformed message: %v", err)
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
				p.t.Errorf("a row with a positive weight comes after one with weight 0")
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

// testSite returns the settings of a fleet in which the given guards are disabled.
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

// address returns the address of a server by its number.
func address(i int) netip.AddrPort {
	if i == 3 {
		return netip.MustParseAddrPort("[2001:db8::3]:80") // so that both address families occur
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

// request sends a message and returns the code of the reply, or 255 if there is none.
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

// message returns a message with groups, each given as "uid/group" and followed by the numbers of its members.
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

// allFlags are the flags of a relay that wants pushed weights, trusts members and accepts omitted rows.
const allFlags = sasp.Push | sasp.Trust | sasp.NoChange

// relay connects a relay that registers the members in both groups.
func (p *peers) relay(uid string, flags uint8, members ...any) Conn {
	p.t.Helper()
	c := p.dial("10.9.0.1")
	if code := p.request(c, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte(uid), Flags: flags}); code != sasp.OK {
		p.t.Fatalf("set balancer state of %s: %s", uid, code)
	}
	groups := append([]any{uid + "/search"}, members...)
	groups = append(append(groups, uid+"/introduce"), members...)
	if code := p.request(c, message(sasp.Registration, 1, groups...)); code != sasp.OK {
		p.t.Fatalf("registration of %s: %s", uid, code)
	}
	return c
}

// advance advances the virtual clock in steps. All peers except the stalled ones receive what was sent.
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

// countWeights returns the number of servers with a positive weight in a relay's group.
func (p *peers) countWeights(c Conn, group string) (n int) {
	for name, w := range p.weights[c] {
		if w > 0 && strings.HasPrefix(name, group+" ") {
			n++
		}
	}
	return n
}
