package platformstate

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/testseed"
	"snowquay/internal/wire/discovery"
	"snowquay/internal/wire/jsonrpc"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// desk is a relay that carries out calls, as its protocol says.
type desk struct{ lines map[string]float64 }

type call struct {
	ID     uint64
	Params struct{ Changes []map[string]any }
}

func (d *desk) read(t interface{ Fatalf(string, ...any) }, b []byte) call {
	var c call
	if err := json.Unmarshal(b, &c); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	if len(b) > jsonrpc.MaxCallBytes {
		t.Fatalf("a call of %d bytes", len(b))
	}
	return c
}

func (d *desk) apply(orders []map[string]any) {
	for _, o := range orders {
		if o["do"] == "share" {
			d.lines[fmt.Sprint(o["group"], o["host"])] = o["share"].(float64)
		}
	}
}

func idle(c *CommandBuffer) bool { return !c.InFlight() && c.Pending() == 0 }

func answer(id uint64, text string) *jsonrpc.Message {
	var m jsonrpc.Message
	_ = jsonrpc.Parse(fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,%s}`, id, text), &m)
	return &m
}

// Whatever becomes of calls, the relay ends with what was decided last: nothing is lost, nothing newer is overtaken.
func TestTheRelayEndsWithWhatWasDecidedLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, d := NewCommandBuffer(jsonrpc.ClassNames{"a", "b"}), &desk{map[string]float64{}}
		want := map[string]float64{}
		decide := func() {
			for range rapid.IntRange(1, 5).Draw(t, "orders") {
				g, h := rapid.IntRange(1, 3).Draw(t, "table"), fmt.Sprint("s-", rapid.IntRange(0, 9).Draw(t, "server"))
				v := float64(rapid.IntRange(0, 255).Draw(t, "weight"))
				c.SetWeight(balancer.Table(g), balancer.Server(h), v)
				want[fmt.Sprint(g, h)] = v
			}
		}
		var out call
		for range 60 {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				decide()
			case 2, 3:
				if b, ok := c.NextCall(nil); ok {
					out = d.read(t, b)
				}
			case 4: // carried out and answered
				if c.InFlight() {
					d.apply(out.Params.Changes)
					if got := c.HandleAnswer(answer(out.ID, fmt.Sprintf(`"result":{"accepted":%d}`, len(out.Params.Changes)))); got != Applied {
						t.Fatalf("%v", got)
					}
				}
			case 5: // carried out or not, and not answered so that it can be read
				if c.InFlight() {
					if rapid.Bool().Draw(t, "done") {
						d.apply(out.Params.Changes)
					}
					spoilt := rapid.SampledFrom([]string{`"result":{}`, `"result":{"accepted":-1}`, `"result":{"accepted":1e9}`,
						`"result":{"accepted":"2"}`, `"result":7`, `"nothing":1`}).Draw(t, "spoilt")
					if got := c.HandleAnswer(answer(out.ID, spoilt)); got != Indeterminate {
						t.Fatalf("%s is %v", spoilt, got)
					}
				}
			case 6:
				c.ConnectionLost()
			case 7:
				if c.InFlight() {
					c.HandleAnswer(answer(out.ID, `"error":{"code":-32000,"message":"limit"}`))
				}
			}
		}
		for !idle(c) {
			if b, ok := c.NextCall(nil); ok {
				out = d.read(t, b)
			}
			d.apply(out.Params.Changes)
			c.HandleAnswer(answer(out.ID, fmt.Sprintf(`"result":{"accepted":%d}`, len(out.Params.Changes))))
		}
		for k, v := range want {
			if d.lines[k] != v {
				t.Fatalf("%s is %v, want %v", k, d.lines[k], v)
			}
		}
	})
}

func TestAnOrderThatTheRelayCannotUseIsDroppedAndTheRestGoesOn(t *testing.T) {
	c := NewCommandBuffer(jsonrpc.ClassNames{"a"})
	c.SetWeight(1, "x", 1)
	c.AssignTable(7, 1, 0)
	c.SetWeight(1, "y", 2)
	c.RequestAck(3)
	c.NextCall(nil)
	if got := c.HandleAnswer(answer(1, `"result":{"accepted":1}`)); got != PartiallyApplied || c.Dropped != 1 {
		t.Fatalf("%v, %d dropped", got, c.Dropped)
	}
	b, _ := c.NextCall(nil)
	if s := string(b); strings.Contains(s, "bind") || !strings.Contains(s, `"y"`) || !strings.Contains(s, "mark") || strings.Contains(s, `"x"`) {
		t.Error(s)
	}
	if got := c.HandleAnswer(answer(1, `"result":{"accepted":4}`)); got != Unsolicited || !c.InFlight() {
		t.Errorf("a late answer to a former call is %v", got)
	}
}

// What goes again though it may have been carried out is told once, but for what something newer has replaced.
// Guards against an account of the channel that holds too little to wait: whoever answers a newer round's mark has not got its message
// after all of an older round's, where both went with one call.
func TestTheOldestMarkOfSeveralRoundsStands(t *testing.T) {
	c := NewCommandBuffer(jsonrpc.ClassNames{"a"})
	stamps := func(b []byte) (list []float64) {
		for _, o := range (&desk{}).read(t, b).Params.Changes {
			if o["do"] == "mark" {
				list = append(list, o["stamp"].(float64))
			}
		}
		return list
	}
	c.SetWeight(1, "x", 1)
	c.RequestAck(7)
	c.SetWeight(2, "x", 1)
	c.RequestAck(8)
	b, _ := c.NextCall(nil)
	if got := stamps(b); !slices.Equal(got, []float64{7}) {
		t.Errorf("a call of two rounds carries the marks %v, want the first round's", got)
	}
	c.SetWeight(3, "x", 1)
	c.RequestAck(9)
	c.ConnectionLost() // the first call goes again, before what has been decided since
	b, _ = c.NextCall(nil)
	if got := stamps(b); !slices.Equal(got, []float64{7}) {
		t.Errorf("a call that goes again carries the marks %v, want its own", got)
	}
	c.HandleAnswer(answer(2, `"result":{"accepted":4}`))
	c.SetWeight(4, "x", 1)
	c.RequestAck(10)
	b, _ = c.NextCall(nil)
	if got := stamps(b); !slices.Equal(got, []float64{10}) {
		t.Errorf("the next call carries the marks %v", got)
	}
}

// Guards against the limit on messages: a round that is too large for one call is a message of its own in each, but no proxy gets both,
// unless its table alone is larger than a call. Then that is told.
func TestALargeRoundIsCutBetweenTables(t *testing.T) {
	for _, servers := range []int{5, 300, 1024} {
		c := NewCommandBuffer(jsonrpc.ClassNames{"a"})
		tables := 3000 / servers
		for table := range tables {
			for i := range servers {
				c.SetWeight(balancer.Table(table), balancer.Server(fmt.Sprintf("s-%08d", i)), 128.125)
			}
			c.SetAdmission(balancer.Table(table), 1, 0.5, balancer.RetryNever)
		}
		c.RequestAck(5)
		calls := map[float64]map[uint64]bool{}
		marked := false
		for !idle(c) {
			b, _ := c.NextCall(nil)
			m := (&desk{}).read(t, b)
			if marked = len(m.Params.Changes) == 1 && m.Params.Changes[0]["do"] == "mark"; marked {
				t.Error("a call holds nothing but the mark: nobody answers it")
			}
			for _, o := range m.Params.Changes {
				if g, ok := o["group"].(float64); ok {
					if calls[g] == nil {
						calls[g] = map[uint64]bool{}
					}
					calls[g][m.ID] = true
				}
			}
			c.HandleAnswer(answer(m.ID, fmt.Sprintf(`"result":{"accepted":%d}`, len(m.Params.Changes))))
		}
		told := c.TakeRedelivered().Tables
		for g, ids := range calls {
			if len(ids) > 1 && (servers < 900 || !slices.Contains(told, balancer.Table(g))) {
				t.Errorf("%d servers: table %.0f goes with %d calls; told of %v", servers, g, len(ids), told)
			}
		}
	}
}

func TestWhatGoesAgainIsTold(t *testing.T) {
	c := NewCommandBuffer(jsonrpc.ClassNames{"a"})
	c.SetWeight(1, "x", 1)
	c.SetWeight(2, "x", 1)
	c.SetAdmission(3, 1, 0.5, balancer.RetryNever)
	c.AssignTable(7, 1, 0)
	c.AssignTable(8, 1, 0)
	c.RequestAck(3)
	c.NextCall(nil)
	c.SetWeight(2, "x", 2)
	c.AssignTable(8, 2, 0)
	c.ConnectionLost()
	c.ConnectionLost() // nothing is out
	if r := c.TakeRedelivered(); !slices.Equal(r.Tables, []balancer.Table{1, 3}) || !slices.Equal(r.Proxies, []balancer.Proxy{7}) {
		t.Errorf("%+v", r)
	}
	if r := c.TakeRedelivered(); len(r.Tables)+len(r.Proxies) > 0 {
		t.Errorf("told twice: %+v", r)
	}
	c.NextCall(nil)
	if c.HandleAnswer(answer(2, `"error":"limit"`)); len(c.TakeRedelivered().Tables) > 0 {
		t.Error("what was refused was surely not carried out")
	}
}

// A proxy leaves while the call that binds it is out, and the call goes again: its next joining is not bound by it.
func TestWhoLeavesWithinACallIsNotBoundWhenItGoesAgain(t *testing.T) {
	c := NewCommandBuffer(jsonrpc.ClassNames{"a"})
	c.AssignTable(7, 1, 0)
	c.SetWeight(1, "x", 1)
	c.NextCall(nil)
	c.ProxyLeft(7)
	c.ConnectionLost()
	if r := c.TakeRedelivered(); len(r.Proxies) > 0 || len(r.Tables) != 1 {
		t.Errorf("told to go again: %+v", r)
	}
	if b, ok := c.NextCall(nil); !ok || strings.Contains(string(b), "bind") || !strings.Contains(string(b), `"x"`) {
		t.Errorf("%s", b)
	}
}

// Links are replaced while they stand: nobody is told to have joined anew, however long ago the last sign of life was. After
// silence everybody is.
func TestAReplacedLinkLeavesNoGapWhereItStood(t *testing.T) {
	for silent, anew := range map[float64]int{0.1: 0, 0.9: 0, 1.2: 0, 1.4: 1, 3: 1} {
		r, news := NewProxyRegistry(), &balancer.Events{}
		old := NewSource(10)
		r.SwitchSource(10, old, news)
		r.ProxyJoined(10, old, balancer.ProxyEvent{Proxy: 1, Zone: 0}, news)
		r.EndList(10.1, old, news)
		r.Touch(20, old)
		at, next := 20+silent, NewSource(20+silent)
		*news = balancer.Events{}
		r.MarkReplaced(at, old)
		r.SwitchSource(at, next, news)
		r.ProxyJoined(at, next, balancer.ProxyEvent{Proxy: 1, Zone: 0}, news)
		if r.EndList(at+0.1, next, news); len(news.ProxyEvents) != anew {
			t.Errorf("after %.1f s without a word %d joined anew, want %d", silent, len(news.ProxyEvents), anew)
		}
	}
}

// What an unusable entry told is asked for again: the version does not go on. A drain counts whatever else the entry says.
func TestAListThatIsNotWholeIsOwed(t *testing.T) {
	s, news := NewEndpointSet([]string{"a"}, nil), &balancer.Events{}
	entry := func(id, state string) discovery.Server {
		return discovery.Server{ID: id, Address: "127.0.0.1:1", Zone: "a", State: state, Weight: 1}
	}
	if !s.Apply(&discovery.List{Version: 4, Full: true, Servers: []discovery.Server{entry("x", "ready"), entry("y", "ready")}}, true, news) {
		t.Fatal("a good list is not whole")
	}
	drains, strange := entry("x", "draining"), entry("z", "ready")
	drains.Weight, strange.Zone = -1, "nowhere"
	*news = balancer.Events{}
	if s.Apply(&discovery.List{Version: 5, Servers: []discovery.Server{drains, strange}}, false, news) || s.CompleteVersion() != 4 || s.NewestVersion() != 5 || s.Malformed != 2 {
		t.Errorf("version %d, %d spoilt", s.CompleteVersion(), s.Malformed)
	}
	if l := news.Lists[0]; len(l.Endpoints) != 1 || l.Endpoints[0].Server != "x" || l.Endpoints[0].Phase != balancer.Draining || l.Endpoints[0].Weight != 1 {
		t.Errorf("%+v", l)
	}
	if s.Apply(&discovery.List{Version: 6, Servers: []discovery.Server{entry("y", "ready")}}, false, news) || s.CompleteVersion() != 4 {
		t.Errorf("a good list makes good what the one before owes: version %d", s.CompleteVersion())
	}
	*news = balancer.Events{}
	whole := &discovery.List{Version: 6, Full: true, Servers: []discovery.Server{entry("x", "draining")}, Malformed: 1} // perhaps y's
	if s.Apply(whole, false, news) || !s.Contains("y") || news.Lists[0].Scope != balancer.DeltaList {
		t.Errorf("y is listed: %v; %+v", s.Contains("y"), news.Lists)
	}
	if whole.Malformed = 0; !s.Apply(whole, false, news) || s.Contains("y") || s.CompleteVersion() != 6 {
		t.Errorf("y is listed: %v at version %d", s.Contains("y"), s.CompleteVersion())
	}
	s.MarkIncomplete()
	if s.Apply(&discovery.List{Version: 7}, false, news) || s.CompleteVersion() != 6 || !s.Apply(&discovery.List{Version: 7}, true, news) || s.CompleteVersion() != 7 {
		t.Errorf("version %d after a line that could not be read and a new link's first", s.CompleteVersion())
	}
}

func TestWhatWaitsIsTheNewestStateAndNotAQueue(t *testing.T) {
	c := NewCommandBuffer(nil)
	for i := range 10_000 {
		c.SetWeight(1, balancer.Server(fmt.Sprint("s-", i%20)), float64(i))
		c.RequestAck(balancer.AckID(i))
	}
	if c.Pending() != 21 || len(c.waiting) > 200 {
		t.Errorf("%d orders wait, %d are kept", c.Pending(), len(c.waiting))
	}
	c.AssignTable(5, 1, 1)
	c.ProxyLeft(5)
	if b, _ := c.NextCall(nil); strings.Contains(string(b), "bind") {
		t.Error("a proxy that has left is bound")
	}
}

func TestACallThatIsTakenForMalformedIsGivenUpAtLast(t *testing.T) {
	c := NewCommandBuffer(nil)
	c.SetWeight(1, "x", 1)
	for i := range uint64(mostTried) {
		c.NextCall(nil)
		c.HandleAnswer(answer(i+1, `"error":"malformed"`))
	}
	if !idle(c) || c.Dropped != 1 {
		t.Errorf("%d dropped, %d wait", c.Dropped, c.Pending())
	}
}

func said(news *balancer.Events) (s string) {
	for _, x := range news.ProxyEvents {
		s += map[bool]string{true: "+", false: "-"}[x.Joined] + fmt.Sprint(x.Proxy)
	}
	*news = balancer.Events{}
	return s
}

func TestAnotherLinkThatListenedTakesOverAndNobodyJoinsAnew(t *testing.T) {
	r, news := NewProxyRegistry(), &balancer.Events{}
	main, second := NewSource(0), NewSource(0)
	r.SwitchSource(0, main, news)
	for _, x := range []*Source{main, second} {
		for p := range 3 {
			r.ProxyJoined(0.1, x, balancer.ProxyEvent{Proxy: balancer.Proxy(p), DefaultTable: true}, news)
		}
		r.Touch(1, x)
		r.EndList(1, x, news)
	}
	if got := said(news); got != "+0+1+2" {
		t.Fatal(got)
	}
	// Main falls silent; meanwhile 0 leaves, 1 leaves and comes back, 3 comes.
	r.ProxyLeft(second, 0, news)
	r.ProxyLeft(second, 1, news)
	r.ProxyJoined(2.5, second, balancer.ProxyEvent{Proxy: 1}, news)
	r.ProxyJoined(2.6, second, balancer.ProxyEvent{Proxy: 3}, news)
	r.Touch(2.6, second)
	if said(news) != "" || !second.Complete(2.7) || second.Complete(9) {
		t.Fatal("the second link was followed before its time")
	}
	if r.SwitchSource(2.7, second, news); said(news) != "-0+1+3" || r.Len() != 3 {
		t.Error("not what has changed")
	}
}

func TestANewLinkAfterAGapMakesAllJoinAnew(t *testing.T) {
	for _, gap := range []float64{0.01, 5} {
		r, news := NewProxyRegistry(), &balancer.Events{}
		x := NewSource(0)
		r.SwitchSource(0, x, news)
		for p := range 3 {
			r.ProxyJoined(0, x, balancer.ProxyEvent{Proxy: balancer.Proxy(p)}, news)
		}
		r.EndList(1, x, news)
		r.Touch(8, x)
		said(news)
		y := NewSource(8 + gap)
		r.SwitchSource(8+gap, y, news)
		r.ProxyJoined(8+gap, y, balancer.ProxyEvent{Proxy: 1}, news)
		r.ProxyJoined(8+gap, y, balancer.ProxyEvent{Proxy: 2}, news)
		if got := said(news); got != "" {
			t.Errorf("after %g s the list is not over, and %s", gap, got)
		}
		r.ExpireList(8+gap+listFor, y, news)
		if got, want := said(news), map[float64]string{0.01: "-0", 5: "-0+1+2"}[gap]; got != want {
			t.Errorf("after %g s %q, want %q", gap, got, want)
		}
	}
}

func TestListsThatAreOlderChangeNothing(t *testing.T) {
	s, news := NewEndpointSet([]string{"z"}, nil), &balancer.Events{}
	list := func(version int64, full bool, state string, ids ...string) *discovery.List {
		l := &discovery.List{Version: version, Full: full}
		for _, id := range ids {
			l.Servers = append(l.Servers, discovery.Server{ID: id, Zone: "z", State: state, Address: "10.0.0.1:80"})
		}
		return l
	}
	s.LoadCached(list(4, true, "ready", "a", "b", "c"), news)
	s.Apply(list(6, false, "gone", "a"), true, news)
	s.Apply(list(5, false, "ready", "a"), false, news)
	if s.Contains("a") || !s.Contains("b") || s.CompleteVersion() != 6 || len(news.Lists) != 2 {
		t.Errorf("version %d, %d lists", s.CompleteVersion(), len(news.Lists))
	}
	s.Apply(list(1, true, "ready", "a"), false, news) // not the first word of its link
	if s.Contains("a") {
		t.Error("an old list was taken")
	}
	s.Apply(list(1, true, "ready", "a"), true, news) // discovery has begun anew
	if !s.Contains("a") || s.Contains("b") || news.Lists[2].Scope != balancer.FullList {
		t.Error("the whole list of a new link was not taken")
	}
	spoilt := list(2, false, "strange", "x")
	spoilt.Servers = append(spoilt.Servers, discovery.Server{ID: "y", Zone: "elsewhere", State: "ready"}, discovery.Server{State: "gone"})
	if s.Apply(spoilt, false, news); s.Malformed != 3 || s.Len() != 1 || len(slices.Collect(slices.Values(news.Lists[3].Endpoints))) != 0 {
		t.Errorf("%d spoilt, %d listed", s.Malformed, s.Len())
	}
}
