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
	"snowquay/internal/wire/jsonrpc"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fakeRelay applies the weight commands of calls.
type fakeRelay struct{ weights map[string]float64 }

type decodedCall struct {
	ID     uint64 `json:"id"`
	Params struct {
		Changes []map[string]any `json:"changes"`
	} `json:"params"`
}

func decodeCall(t interface{ Fatalf(string, ...any) }, b []byte) decodedCall {
	var c decodedCall
	if err := json.Unmarshal(b, &c); err != nil {
		t.Fatalf("decoding a call: %v: %s", err, b)
	}
	if len(b) > jsonrpc.MaxCallBytes {
		t.Fatalf("call of %d bytes exceeds the limit", len(b))
	}
	return c
}

func (r *fakeRelay) apply(commands []map[string]any) {
	for _, command := range commands {
		if command["do"] == "share" {
			r.weights[fmt.Sprint(command["group"], command["host"])] = command["share"].(float64)
		}
	}
}

func idle(c *CommandBuffer) bool { return !c.InFlight() && c.Pending() == 0 }

// respond passes a response line with an ID and the given JSON members to the buffer.
func respond(c *CommandBuffer, id uint64, members string) Outcome {
	message, err := jsonrpc.Parse(fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,%s}`, id, members))
	if err != nil {
		return c.HandleUnreadable()
	}
	return c.HandleResponse(message.(*jsonrpc.Response))
}

// accept passes the response that all commands of a call were applied to the buffer.
func accept(c *CommandBuffer, call decodedCall) Outcome {
	return respond(c, call.ID, fmt.Sprintf(`"result":{"accepted":%d}`, len(call.Params.Changes)))
}

// Whatever the outcome of calls, no command is lost, and no older command overrides a newer one.
func TestNewestCommandsReachTheRelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCommandBuffer(jsonrpc.ClassNames{"a", "b"})
		relay := &fakeRelay{map[string]float64{}}
		want := map[string]float64{}
		decide := func() {
			for range rapid.IntRange(1, 5).Draw(t, "commands") {
				table := rapid.IntRange(1, 3).Draw(t, "table")
				server := fmt.Sprint("s-", rapid.IntRange(0, 9).Draw(t, "server"))
				weight := float64(rapid.IntRange(0, 255).Draw(t, "weight"))
				c.SetWeight(balancer.Table(table), balancer.Server(server), weight)
				want[fmt.Sprint(table, server)] = weight
			}
		}
		var latestCall decodedCall
		for range 60 {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				decide()
			case 2, 3:
				if b, ok := c.NextCall(nil); ok {
					latestCall = decodeCall(t, b)
				}
			case 4: // applied, with a response
				if c.InFlight() {
					relay.apply(latestCall.Params.Changes)
					if got := accept(c, latestCall); got != Applied {
						t.Fatalf("outcome %v, want Applied", got)
					}
				}
			case 5: // applied or not, with an unreadable response
				if c.InFlight() {
					if rapid.Bool().Draw(t, "applied") {
						relay.apply(latestCall.Params.Changes)
					}
					malformed := rapid.SampledFrom([]string{`"result":{}`, `"result":{"accepted":-1}`, `"result":{"accepted":1e9}`,
						`"result":{"accepted":"2"}`, `"result":7`, `"nothing":1`}).Draw(t, "malformed")
					if got := respond(c, latestCall.ID, malformed); got != Indeterminate {
						t.Fatalf("outcome of response %s is %v, want Indeterminate", malformed, got)
					}
				}
			case 6:
				c.ConnectionLost()
			case 7:
				if c.InFlight() {
					respond(c, latestCall.ID, `"error":{"code":-32000,"message":"limit"}`)
				}
			}
		}
		for !idle(c) {
			if b, ok := c.NextCall(nil); ok {
				latestCall = decodeCall(t, b)
			}
			relay.apply(latestCall.Params.Changes)
			accept(c, latestCall)
		}
		for k, v := range want {
			if relay.weights[k] != v {
				t.Fatalf("weight of %s is %v, want %v", k, relay.weights[k], v)
			}
		}
	})
}

func TestInapplicableCommandIsDroppedAndTheRestIsResent(t *testing.T) {
	c := NewCommandBuffer(jsonrpc.ClassNames{"a"})
	c.SetWeight(1, "x", 1)
	c.AssignTable(7, 1, 0)
	c.SetWeight(1, "y", 2)
	c.RequestAck(3)
	c.NextCall(nil)
	if got := respond(c, 1, `"result":{"accepted":1}`); got != PartiallyApplied || c.Dropped != 1 {
		t.Fatalf("outcome %v with %d commands dropped, want PartiallyApplied and 1", got, c.Dropped)
	}
	b, _ := c.NextCall(nil)
	if s := string(b); strings.Contains(s, "bind") || !strings.Contains(s, `"y"`) || !strings.Contains(s, "mark") || strings.Contains(s, `"x"`) {
		t.Error(s)
	}
	if got := respond(c, 1, `"result":{"accepted":4}`); got != Unsolicited || !c.InFlight() {
		t.Errorf("outcome of a late response to an earlier call is %v, want Unsolicited", got)
	}
}

// If one call contains commands of two rounds and the newer acknowledgement request were kept, its acknowledgement could
// arrive before all commands of the older round had left the channel.
func TestOldestAckRequestOfSeveralRoundsIsKept(t *testing.T) {
	c := NewCommandBuffer(jsonrpc.ClassNames{"a"})
	ackIDs := func(b []byte) (list []float64) {
		for _, command := range decodeCall(t, b).Params.Changes {
			if command["do"] == "mark" {
				list = append(list, command["stamp"].(float64))
			}
		}
		return list
	}
	c.SetWeight(1, "x", 1)
	c.RequestAck(7)
	c.SetWeight(2, "x", 1)
	c.RequestAck(8)
	b, _ := c.NextCall(nil)
	if got := ackIDs(b); !slices.Equal(got, []float64{7}) {
		t.Errorf("call with two rounds requests acknowledgements %v, want only that of the first round", got)
	}
	c.SetWeight(3, "x", 1)
	c.RequestAck(9)
	c.ConnectionLost() // the first call is sent again, before the commands decided since
	b, _ = c.NextCall(nil)
	if got := ackIDs(b); !slices.Equal(got, []float64{7}) {
		t.Errorf("resent call requests acknowledgements %v, want only its own", got)
	}
	respond(c, 2, `"result":{"accepted":4}`)
	c.SetWeight(4, "x", 1)
	c.RequestAck(10)
	b, _ = c.NextCall(nil)
	if got := ackIDs(b); !slices.Equal(got, []float64{10}) {
		t.Errorf("next call requests acknowledgements %v, want only 10", got)
	}
}

// Each call is a separate message to the proxies that it concerns, and the number of messages is limited. A round that
// is too large for one call is therefore split between tables; a table that is larger than a call is reported as
// redelivered.
func TestLargeRoundIsSplitBetweenTables(t *testing.T) {
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
		for !idle(c) {
			b, _ := c.NextCall(nil)
			call := decodeCall(t, b)
			if len(call.Params.Changes) == 1 && call.Params.Changes[0]["do"] == "mark" {
				t.Error("call contains only the acknowledgement request, so no proxy receives it")
			}
			for _, command := range call.Params.Changes {
				table, ok := command["group"].(float64)
				if !ok {
					continue
				}
				if calls[table] == nil {
					calls[table] = map[uint64]bool{}
				}
				calls[table][call.ID] = true
			}
			accept(c, call)
		}
		redelivered := c.TakeRedelivered().Tables
		for table, ids := range calls {
			if len(ids) > 1 && (servers < 900 || !slices.Contains(redelivered, balancer.Table(table))) {
				t.Errorf("%d servers: table %.0f is split over %d calls; redelivered tables: %v; want one call, or a redelivered table if it has 900 servers or more", servers, table, len(ids), redelivered)
			}
		}
	}
}

// Commands that may be applied twice are reported once, unless a newer command has superseded them.
func TestRedeliveredCommandsAreReported(t *testing.T) {
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
	c.ConnectionLost() // no call is in flight
	if r := c.TakeRedelivered(); !slices.Equal(r.Tables, []balancer.Table{1, 3}) || !slices.Equal(r.Proxies, []balancer.Proxy{7}) {
		t.Errorf("redelivered %+v, want tables 1 and 3 and proxy 7", r)
	}
	if r := c.TakeRedelivered(); len(r.Tables)+len(r.Proxies) > 0 {
		t.Errorf("redelivered commands are reported twice: %+v", r)
	}
	c.NextCall(nil)
	respond(c, 2, `"error":"limit"`)
	if len(c.TakeRedelivered().Tables) > 0 {
		t.Error("commands of a rejected call, which were not applied, are reported as redelivered")
	}
}

// A proxy leaves while the call that assigns its table is in flight, and the call is sent again: the assignment must
// not be applied to the proxy's next connection.
func TestAssignmentToDepartedProxyIsNotResent(t *testing.T) {
	c := NewCommandBuffer(jsonrpc.ClassNames{"a"})
	c.AssignTable(7, 1, 0)
	c.SetWeight(1, "x", 1)
	c.NextCall(nil)
	c.ProxyLeft(7)
	c.ConnectionLost()
	if r := c.TakeRedelivered(); len(r.Proxies) > 0 || len(r.Tables) != 1 {
		t.Errorf("redelivered %+v, want one table and no proxy", r)
	}
	if b, ok := c.NextCall(nil); !ok || strings.Contains(string(b), "bind") || !strings.Contains(string(b), `"x"`) {
		t.Errorf("resent call is %s, want one that sets the weight of x and assigns no table", b)
	}
}

func TestPendingCommandsAreCoalesced(t *testing.T) {
	c := NewCommandBuffer(nil)
	for i := range 10_000 {
		c.SetWeight(1, balancer.Server(fmt.Sprint("s-", i%20)), float64(i))
		c.RequestAck(balancer.AckID(i))
	}
	if c.Pending() != 21 || len(c.pending) > 200 {
		t.Errorf("%d commands are pending and %d are stored, want 21 and at most 200", c.Pending(), len(c.pending))
	}
	c.AssignTable(5, 1, 1)
	c.ProxyLeft(5)
	if b, _ := c.NextCall(nil); strings.Contains(string(b), "bind") {
		t.Error("call assigns a table to a proxy that has left")
	}
}

func TestCallIsDroppedAfterRepeatedMalformedRejections(t *testing.T) {
	c := NewCommandBuffer(nil)
	c.SetWeight(1, "x", 1)
	for i := range uint64(maxMalformedReplies) {
		c.NextCall(nil)
		respond(c, i+1, `"error":"malformed"`)
	}
	if !idle(c) || c.Dropped != 1 {
		t.Errorf("%d commands dropped and %d pending, want 1 and 0", c.Dropped, c.Pending())
	}
}
