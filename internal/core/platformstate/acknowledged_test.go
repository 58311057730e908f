package platformstate

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
)

// sentServers returns the servers whose weights a call sets.
func sentServers(t *testing.T, c *CommandBuffer) (servers []string) {
	t.Helper()
	call, ok := c.NextCall(nil)
	if !ok {
		return nil
	}
	for _, change := range decodeCall(t, call).Params.Changes {
		if server, ok := change["host"].(string); ok {
			servers = append(servers, server)
		}
	}
	return servers
}

func expectServers(t *testing.T, c *CommandBuffer, want ...string) {
	t.Helper()
	if got := sentServers(t, c); !slices.Equal(got, want) {
		t.Errorf("call sets the weights of %v, want %v", got, want)
	}
}

// An acknowledgement proves that a call without a response was applied, so the call is not sent again.
func TestAcknowledgedCallIsNotResent(t *testing.T) {
	c := NewCommandBuffer(nil)
	c.SetWeight(1, "a", 1)
	c.RequestAck(7)
	expectServers(t, c, "a")
	c.SetWeight(1, "b", 1)
	c.RequestAck(8)
	c.Acknowledged(7)
	c.ConnectionLost()
	if redelivered := c.TakeRedelivered(); c.Resends != 0 || len(redelivered.Tables) != 0 {
		t.Errorf("%d calls resent, redelivered %+v; want none", c.Resends, redelivered)
	}
	expectServers(t, c, "b")
	accepted := `"result":{"accepted":2}`
	if outcome := respond(c, 2, accepted); outcome != Applied || !idle(c) {
		t.Errorf("outcome %v with %d commands pending, want Applied and none", outcome, c.Pending())
	}
}

// As TestAcknowledgedCallIsNotResent, but the acknowledgement arrives after the call was abandoned.
func TestAcknowledgementAfterCallWasAbandoned(t *testing.T) {
	c := NewCommandBuffer(nil)
	c.SetWeight(1, "a", 1)
	c.RequestAck(7)
	expectServers(t, c, "a")
	c.ConnectionLost()
	c.SetWeight(1, "b", 1)
	c.RequestAck(8)
	c.Acknowledged(7)
	expectServers(t, c, "b")
}

// An acknowledgement of the first call does not confirm commands that were added to the second call or decided later.
func TestAcknowledgementDoesNotCoverLaterCommands(t *testing.T) {
	c := NewCommandBuffer(nil)
	c.SetWeight(1, "a", 1)
	c.SetWeight(1, "b", 1)
	c.RequestAck(7)
	expectServers(t, c, "a", "b")
	c.ConnectionLost()
	c.SetWeight(1, "b", 2)
	c.SetWeight(1, "c", 1)
	c.RequestAck(8)
	expectServers(t, c, "a", "b", "c")
	c.Acknowledged(7)
	c.ConnectionLost()
	expectServers(t, c, "b", "c")
}

// A rejected call was not applied, so an acknowledgement of another request does not keep it from being sent again.
func TestRejectedCallIsResent(t *testing.T) {
	c := NewCommandBuffer(nil)
	c.SetWeight(1, "a", 1)
	c.RequestAck(7)
	call, _ := c.NextCall(nil)
	if outcome := respond(c, decodeCall(t, call).ID, `"error":{"code":1,"message":"limit"}`); outcome != Rejected {
		t.Fatal(outcome)
	}
	c.Acknowledged(8)
	expectServers(t, c, "a")
}

// Calls may lack a response, may not be applied, and may be acknowledged late or never: the relay must still end with the
// newest state, and no call may be empty.
func TestAcknowledgementsLoseNoCommand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCommandBuffer(nil)
		relay := &fakeRelay{map[string]float64{}}
		want := map[string]float64{}
		var lastAck balancer.AckID
		var acks []balancer.AckID // sent by the relay; any of them may arrive at any time
		var latestCall decodedCall
		next := func() {
			call, ok := c.NextCall(nil)
			if !ok {
				return
			}
			latestCall = decodeCall(t, call)
			if len(latestCall.Params.Changes) == 0 {
				t.Fatalf("call without commands")
			}
		}
		apply := func() {
			relay.apply(latestCall.Params.Changes)
			for _, change := range latestCall.Params.Changes {
				if stamp, ok := change["stamp"].(float64); ok {
					acks = append(acks, balancer.AckID(stamp))
				}
			}
		}
		for range 60 {
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				for range rapid.IntRange(1, 3).Draw(t, "commands") {
					server := fmt.Sprint("s-", rapid.IntRange(0, 4).Draw(t, "server"))
					weight := float64(rapid.IntRange(0, 255).Draw(t, "weight"))
					c.SetWeight(1, balancer.Server(server), weight)
					want["1"+server] = weight
				}
				lastAck++
				c.RequestAck(lastAck)
			case 2, 3:
				next()
			case 4:
				if c.InFlight() {
					apply()
					accept(c, latestCall)
				}
			case 5: // the response or the call is lost
				if c.InFlight() && rapid.Bool().Draw(t, "applied") {
					apply()
				}
				if rapid.Bool().Draw(t, "acknowledged at once") && len(acks) > 0 {
					c.Acknowledged(acks[len(acks)-1])
				}
				c.ConnectionLost()
			case 6:
				if len(acks) > 0 {
					c.Acknowledged(rapid.SampledFrom(acks).Draw(t, "acknowledgement"))
				}
			case 7:
				if c.InFlight() {
					respond(c, latestCall.ID, `"error":{"code":-32000,"message":"limit"}`)
				}
			}
		}
		for !idle(c) {
			next()
			relay.apply(latestCall.Params.Changes)
			accept(c, latestCall)
		}
		for server, weight := range want {
			if relay.weights[server] != weight {
				t.Fatalf("weight of %s is %v, want %v", server, relay.weights[server], weight)
			}
		}
	})
}
