package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"snowquay/internal/deployment"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/resp"
)

// The tests here run the program on loopback sockets. Its relay and discovery are played by the test, which so orders the two
// events that cross; nothing sleeps to have them in order, and every wait has a bound.

const bound = 10 * time.Second // for what has to come

// call is one that the program makes, until the test answers it.
type call struct {
	on      net.Conn
	id      uint64
	changes []map[string]any
}

func (c call) answer(t *testing.T) {
	t.Helper()
	c.say(t, `{"jsonrpc":"2.0","id":%d,"result":{"accepted":%d}}`, c.id, len(c.changes))
}

func (c call) say(t *testing.T, format string, args ...any) {
	t.Helper()
	if _, err := fmt.Fprintf(c.on, format+"\n", args...); err != nil {
		t.Errorf("the link of call %d: %v", c.id, err)
	}
}

func (c call) weights() map[string]float64 {
	w := map[string]float64{}
	for _, o := range c.changes {
		if o["do"] == "share" {
			w[o["host"].(string)] = o["share"].(float64)
		}
	}
	return w
}

func (c call) binds() (list []int) {
	for _, o := range c.changes {
		if o["do"] == "bind" {
			list = append(list, int(o["sidecar"].(float64)))
		}
	}
	return list
}

// counter is a relay whose calls the test answers. It answers watches by itself, and gives a sign of life four times a second.
type counter struct {
	net.Listener
	calls  chan call
	mu     sync.Mutex
	joined []int
	links  []net.Conn // with news
	dumb   bool       // it takes connections and says nothing
	opened int
}

func openCounter(t *testing.T, joined ...int) *counter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &counter{Listener: l, calls: make(chan call, 100), joined: joined, dumb: len(joined) == 0}
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		_ = l.Close()
		h.cut()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.hear(c)
		}
	}()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
				h.tell(`{"jsonrpc":"2.0","method":"ping"}`)
			}
		}
	}()
	return h
}

func (h *counter) hear(c net.Conn) {
	h.mu.Lock()
	h.opened++
	h.mu.Unlock()
	defer func() {
		_ = c.Close()
		h.mu.Lock()
		h.links = slices.DeleteFunc(h.links, func(o net.Conn) bool { return o == c })
		h.mu.Unlock()
	}()
	for r := bufio.NewReader(c); ; {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		var m struct {
			ID     uint64 `json:"id"`
			Method string `json:"method"`
			Params struct {
				Changes []map[string]any `json:"changes"`
			} `json:"params"`
		}
		if json.Unmarshal([]byte(text), &m) != nil {
			return
		}
		if m.Method == "relay.apply" {
			h.calls <- call{c, m.ID, m.Params.Changes}
			continue
		}
		h.mu.Lock()
		if !h.dumb {
			_, _ = fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"result":true}`+"\n", m.ID)
			for _, p := range h.joined {
				_, _ = fmt.Fprintln(c, attach(p))
			}
			h.links = append(h.links, c)
		}
		h.mu.Unlock()
	}
}

func attach(p int) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","method":"attach","params":{"sidecar":%d,"az":"a","share":5,"standing":true}}`, p)
}

// tell writes news to all links.
func (h *counter) tell(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.links {
		_, _ = fmt.Fprintln(c, text)
	}
}

func (h *counter) join(p int) {
	h.mu.Lock()
	h.joined = append(h.joined, p)
	h.mu.Unlock()
	h.tell(attach(p))
}

// cut ends all links in one moment, but those named.
func (h *counter) cut(but ...net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.links {
		if !slices.Contains(but, c) {
			_ = c.Close()
		}
	}
}

func (h *counter) open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.links)
}

// next is the next call.
func (h *counter) next(t *testing.T) call {
	t.Helper()
	select {
	case c := <-h.calls:
		return c
	case <-time.After(bound):
		t.Fatal("no call came")
		return call{}
	}
}

// none of the calls that come for a while orders what is told.
func (h *counter) none(t *testing.T, what string, is func(call) bool) {
	t.Helper()
	for end := time.After(300 * time.Millisecond); ; {
		select {
		case c := <-h.calls:
			if c.answer(t); is(c) {
				t.Errorf("%s: %v", what, c.changes)
			}
		case <-end:
			return
		}
	}
}

// until answers calls until one is as told; that one the test answers.
func (h *counter) until(t *testing.T, what string, is func(call) bool) call {
	t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); {
		select {
		case c := <-h.calls:
			if is(c) {
				return c
			}
			c.answer(t)
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Fatalf("no call came that %s", what)
	return call{}
}

// office is a discovery.
type office struct {
	net.Listener
	mu    sync.Mutex
	whole string   // the whole list
	first string   // of the lines of a watch; empty: the whole list
	asked []string // paths
	links []net.Conn
}

func openOffice(t *testing.T, whole, first string) *office {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &office{Listener: l, whole: whole, first: first}
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		_ = l.Close()
	})
	go func() { // signs of life, as an agent gives them
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				o.say("\n")
			}
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go o.hear(c)
		}
	}()
	return o
}

func (o *office) hear(c net.Conn) {
	defer func() { _ = c.Close() }()
	path := ""
	for r := bufio.NewReader(c); ; {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if f := strings.Fields(text); len(f) == 3 && f[0] == "GET" {
			path = f[1]
		}
		if text != "\r\n" {
			continue
		}
		o.mu.Lock()
		if o.asked = append(o.asked, path); path == discovery.ListPath {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(o.whole), o.whole)
		} else {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			if o.first != "" {
				chunk(c, o.first+"\n")
			} else {
				chunk(c, o.whole+"\n")
			}
			o.links = append(o.links, c)
		}
		o.mu.Unlock()
	}
}

func chunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func (o *office) say(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.links {
		chunk(c, text)
	}
}

func (o *office) paths() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.asked)
}

type ground struct {
	*counter
	*office
	program *Program
	server  *eventloop.Server
	listen  netip.AddrPort
}

func address(t *testing.T, l net.Listener) netip.AddrPort {
	t.Helper()
	a, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// stand starts the program with three servers and one joined proxy, and answers its calls until that is bound.
func stand(t *testing.T) *ground {
	t.Helper()
	d, err := deployment.Read([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	known := discovery.List{Full: true, Version: 5, Servers: []discovery.Server{server("s-1", "ready"), server("s-2", "ready"), server("s-3", "ready")}}
	text, _ := json.Marshal(known)
	g := &ground{counter: openCounter(t, 1), office: openOffice(t, string(text), "")}
	g.program = New(Config{Discovery: address(t, g.office.Listener), Relay: address(t, g.counter.Listener), MaxDescriptors: 256, CachedList: &known, Seed: 7,
		Deployment: d}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.listen = address(t, free)
	_ = free.Close()
	if g.server, err = eventloop.Listen(g.program, []netip.AddrPort{g.listen}, netip.AddrPort{}, eventloop.Clock()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.server.Stop() })
	g.until(t, "binds proxy 1", func(c call) bool { return slices.Contains(c.binds(), 1) }).answer(t)
	g.eventually(t, "two links to the relay and one to discovery", func(p *Program) bool {
		return p.relay.primary.active != nil && p.relay.standby.active != nil && p.discovery.active != nil && !p.commands.InFlight() && p.proxies.Contains(1) &&
			p.relay.standby.active.source.Complete(p.relay.standby.active.heardAt) && p.relay.primary.active.source.Complete(p.relay.primary.active.heardAt)
	})
	return g
}

// eventually waits for what is to be seen inside of the program; calls that come meanwhile are answered.
func (g *ground) eventually(t *testing.T, what string, is func(p *Program) bool) {
	t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); {
		ok := false
		g.server.Do(func(float64) { ok = is(g.program) })
		if ok {
			return
		}
		select {
		case c := <-g.calls:
			c.answer(t)
		case <-time.After(2 * time.Millisecond):
		}
	}
	t.Fatalf("it never came to this: %s", what)
}

// see has a look inside of the program.
func (g *ground) see(is func(now float64, p *Program)) {
	g.server.Do(func(now float64) { is(now, g.program) })
}

// patient has the program wait for the answer to the call that is out for a minute: what happens then is not by its time limit.
func (g *ground) patient() {
	g.see(func(now float64, p *Program) { p.relay.callSentAt = now + 60 })
}

// drain has discovery tell that a server drains.
func (g *ground) drain(id string) {
	g.office.mu.Lock()
	var l discovery.List
	_ = json.Unmarshal([]byte(g.whole), &l)
	for i, s := range l.Servers {
		if s.ID == id {
			l.Servers[i].State = discovery.Draining
		}
	}
	l.Version++
	text, _ := json.Marshal(l)
	g.whole = string(text)
	g.office.mu.Unlock()
	g.say(line(l.Version, false, server(id, discovery.Draining)) + "\n")
}

func takes(id string) func(call) bool {
	return func(c call) bool { v, there := c.weights()[id]; return there && v == 0 }
}

func TestTheAnswerComesOnTheLinkThatHasBeenReplaced(t *testing.T) {
	g := stand(t)
	g.drain("s-3")
	out := g.until(t, "takes s-3 out", takes("s-3"))
	next := openCounter(t, 1)
	g.see(func(now float64, p *Program) {
		p.SetAddresses(now, address(t, g.office.Listener), address(t, next.Listener))
	})
	g.patient() // the answer is in time, however long the test takes
	for end := time.Now().Add(bound); next.open() < 2 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	g.see(func(_ float64, p *Program) {
		if !p.commands.InFlight() || p.relay.retired == nil {
			t.Error("the call is not awaited on the link that it was made on")
		}
	})
	out.answer(t)
	g.eventually(t, "the answer is taken, the old link gone", func(p *Program) bool { return !p.commands.InFlight() && p.relay.retired == nil })
	g.see(func(_ float64, p *Program) {
		if p.commands.Resends != 0 {
			t.Errorf("%d calls went again", p.commands.Resends)
		}
	})
	next.none(t, "it goes to the new relay once more, or binds anew", func(c call) bool { return takes("s-3")(c) || len(c.binds()) > 0 })
}

func TestBothLinksEndInOneMomentUnderACall(t *testing.T) {
	g := stand(t)
	g.drain("s-3")
	g.until(t, "takes s-3 out", takes("s-3"))
	g.patient()
	g.cut()
	again := g.until(t, "takes s-3 out again", takes("s-3"))
	again.answer(t)
	g.eventually(t, "it is known to be out", func(p *Program) bool { return !p.commands.InFlight() && p.commands.Pending() == 0 })
	g.see(func(_ float64, p *Program) {
		if p.commands.Resends != 1 || !p.proxies.Contains(1) {
			t.Errorf("%d calls went again; joined: %v", p.commands.Resends, p.proxies.Contains(1))
		}
	})
}

func TestTheRelayClosesTheLinkUnderACall(t *testing.T) {
	g := stand(t)
	g.drain("s-3")
	out := g.until(t, "takes s-3 out", takes("s-3"))
	g.patient()
	_ = out.on.Close() // as where a link is held to be idle
	again := g.until(t, "takes s-3 out again", takes("s-3"))
	if again.on == out.on || again.id == out.id {
		t.Error("it goes on the link that has ended")
	}
	again.answer(t)
	g.none(t, "it goes a third time, or binds anew", func(c call) bool { return takes("s-3")(c) || len(c.binds()) > 0 })
}

func TestTheFirstLinkEndsWhileTheSecondListsWhoIsJoined(t *testing.T) {
	g := stand(t)
	g.see(func(now float64, p *Program) { p.disconnect(now, p.relay.standby.active) }) // a new second link is made
	g.eventually(t, "the second link lists", func(p *Program) bool { return p.relay.standby.active != nil })
	g.see(func(now float64, p *Program) {
		p.relay.standby.active.source.Complete(now)
		p.disconnect(now, p.relay.primary.active) // in the same moment, list or no list
	})
	g.join(2)
	g.until(t, "binds proxy 2", func(c call) bool { return slices.Contains(c.binds(), 2) }).answer(t)
	g.eventually(t, "two links", func(p *Program) bool {
		return p.relay.primary.active != nil && p.relay.standby.active != nil && p.proxies.Contains(1) && p.proxies.Contains(2)
	})
}

func TestNewAddressesComeWhileOldOnesAreDialled(t *testing.T) {
	g := stand(t)
	dumb, next := openCounter(t), openCounter(t, 1)
	disc, first := address(t, g.office.Listener), address(t, g.counter.Listener)
	g.see(func(now float64, p *Program) { p.SetAddresses(now, disc, address(t, dumb.Listener)) })
	g.eventually(t, "links to the dumb relay are up", func(p *Program) bool {
		return p.relay.primary.candidate != nil && p.relay.primary.candidate.established
	})
	g.see(func(now float64, p *Program) { // twice more within a moment: back, and on
		p.SetAddresses(now, disc, first)
		p.SetAddresses(now, disc, address(t, next.Listener))
		if n := p.relay.primary.candidate; n == nil || n.address != address(t, next.Listener) {
			t.Errorf("the new address is not dialled at once: %+v", n)
		}
	})
	g.eventually(t, "links to the new relay", func(p *Program) bool {
		return p.relay.primary.active != nil && p.relay.primary.active.address == address(t, next.Listener) && p.relay.standby.active.address == p.relay.primary.active.address
	})
	g.see(func(now float64, p *Program) { p.SetAddresses(now, disc, first) })
	g.eventually(t, "links to the first relay again", func(p *Program) bool {
		return p.relay.primary.active.address == first && p.relay.standby.active.address == first
	})
	g.none(t, "proxies are bound anew", func(c call) bool { return len(c.binds()) > 0 })
}

func TestALineThatCannotBeReadTellsOfADrain(t *testing.T) {
	g := stand(t)
	before := len(g.paths())
	g.office.mu.Lock()
	g.first = line(7, false, server("s-3", discovery.Draining), server("s-2", discovery.Ready)) // all after version 5, as it then is
	g.office.mu.Unlock()
	g.say(`{"version":6,"full":false,"servers":[{"id":"s-3","st` + "\n" + line(7, false, server("s-2", discovery.Ready)) + "\n")
	g.until(t, "takes s-3 out", takes("s-3")).answer(t)
	if paths := g.paths(); len(paths) <= before || !strings.HasSuffix(paths[len(paths)-1], "index=5") {
		t.Errorf("asked for %q", paths)
	}
}

func TestANewDiscoveryBeginsAtALowerVersion(t *testing.T) {
	g := stand(t)
	whole := line(2, true, server("s-1", discovery.Ready), server("s-2", discovery.Ready))
	next := openOffice(t, whole, line(2, false))
	g.see(func(now float64, p *Program) {
		p.SetAddresses(now, address(t, next.Listener), address(t, g.counter.Listener))
	})
	g.until(t, "takes s-3 out, which the new list lacks", takes("s-3")).answer(t)
	g.eventually(t, "the new watch stands", func(p *Program) bool { return len(next.paths()) == 2 && p.endpoints.CompleteVersion() == 2 })
	next.say(line(3, false, server("s-2", discovery.Draining)) + "\n")
	g.until(t, "takes s-2 out", takes("s-2")).answer(t)
}

func TestAProxyLeavesAndJoinsWithinACall(t *testing.T) {
	g := stand(t)
	g.join(2)
	out := g.until(t, "binds proxy 2", func(c call) bool { return slices.Contains(c.binds(), 2) })
	g.tell(`{"jsonrpc":"2.0","method":"detach","params":{"sidecar":2}}`)
	g.eventually(t, "it has left", func(p *Program) bool { return !p.proxies.Contains(2) })
	g.tell(attach(2))
	g.eventually(t, "it has joined again", func(p *Program) bool { return p.proxies.Contains(2) })
	_ = out.on.Close() // and what became of the call is not known
	bound := 0
	for range 5 {
		c := g.next(t)
		if bound += len(c.binds()); bound > 0 {
			c.answer(t)
			break
		}
		c.answer(t)
	}
	if bound != 1 {
		t.Errorf("it is bound %d times", bound)
	}
	g.none(t, "it is bound once more", func(c call) bool { return len(c.binds()) > 0 })
}

func TestSomethingNewerWaitsBehindAnUnclearCall(t *testing.T) {
	g := stand(t)
	g.drain("s-3")
	out := g.until(t, "takes s-3 out", takes("s-3"))
	g.join(2)
	g.drain("s-2")
	g.eventually(t, "the newer is known", func(p *Program) bool { return p.proxies.Contains(2) && p.endpoints.CompleteVersion() == 7 })
	out.say(t, `{"jsonrpc":"2.0","id":%d,"result":{"accepted":"all"}}`, out.id)
	bound, gone := false, map[string]bool{}
	for !bound || !gone["s-2"] || !gone["s-3"] {
		c := g.next(t)
		for id, v := range c.weights() {
			if gone[id] && v > 0 {
				t.Errorf("%s, which drains, is back in the table", id)
			}
			gone[id] = gone[id] || v == 0
		}
		bound = bound || slices.Contains(c.binds(), 2)
		c.answer(t)
	}
}

func TestMessagesInPiecesAndManyAtOnce(t *testing.T) {
	g := stand(t)
	c, err := net.Dial("tcp", g.listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	report := resp.Append(nil, "upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "41.7", "window", "1000.0")
	for _, b := range append(resp.Append(nil, "telemetry", "az", "a"), report...) {
		if _, err := c.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	g.eventually(t, "a report a byte at a time", func(p *Program) bool { return p.counts.reports == 1 })
	var many []byte
	for range 500 {
		many = append(append(many, report...), resp.Append(nil, "upstream_stats", "az", "a", "host", "nobody")...)
	}
	half := len(many)/2 + 7 // within a message
	_, _ = c.Write(many[:half])
	next := openCounter(t, 1)
	g.see(func(now float64, p *Program) {
		p.SetAddresses(now, address(t, g.office.Listener), address(t, next.Listener))
	})
	_, _ = c.Write(many[half:])
	g.eventually(t, "500 reports at once, over a hand-over", func(p *Program) bool { return p.counts.reports == 501 && p.counts.malformed == 500 })
}

func TestAPeerThatHalfClosesIsAnswered(t *testing.T) {
	g := stand(t)
	c, err := net.Dial("tcp", g.listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(bound))
	_, _ = c.Write(resp.Append(nil, "hb"))
	_ = c.(*net.TCPConn).CloseWrite()
	b, err := io.ReadAll(c)
	if want := string(resp.Append(nil, "hb_ok")); string(b) != want {
		t.Errorf("%q, %v", b, err)
	}
}

// The limit of a caller that has not joined, and the rest of the message that joins it, in one turn of the loop: either is right,
// but whoever is taken stays.
func TestTheLimitOfTheUnjoinedAndTheirMessageInOneMoment(t *testing.T) {
	g := stand(t)
	c, err := net.Dial("tcp", g.listen.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	hello := resp.Append(nil, "telemetry", "az", "a")
	_, _ = c.Write(hello[:9])
	g.eventually(t, "half a message has come", func(p *Program) bool {
		return len(p.unidentified) == 1 && p.clients[p.unidentified[0].conn] != nil && p.unidentified[0].reader.Buffered() == 9
	})
	g.see(func(_ float64, p *Program) {
		x := p.unidentified[0]
		p.Receive(x.acceptedAt+identifyTimeout, x.conn, hello[9:]) // the read comes first
		p.TimerFired(x.acceptedAt+identifyTimeout+maintenanceInterval, 0)
		if !x.identified || p.clients[x.conn] != x || len(p.unidentified) != 0 {
			t.Errorf("joined %v, kept %v", x.identified, p.clients[x.conn] == x)
		}
	})
}
