package saspsession

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

// After any sequence of events, relays that receive their messages have the weights of their tables, and the server maps
// as many proxies to relays as are joined.
func TestRelaysConvergeToTables(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := startDefault(t)
		conns := map[int]Conn{}
		flags := map[int]uint8{}
		leave := func(i int) {
			if c, ok := conns[i]; ok {
				p.server.Closed(p.now, c)
				p.closed[c] = true
				delete(conns, i)
			}
		}
		alive := func(i int) (Conn, bool) { c, ok := conns[i]; return c, ok && !p.closed[c] }
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 3).Draw(rt, "relay")
			s := rapid.IntRange(0, 5).Draw(rt, "server")
			uid := fmt.Sprintf("r%d", i)
			switch rapid.IntRange(0, 8).Draw(rt, "event") {
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
					if p.request(c, message(sasp.Deregistration, 1, uid+"/search", s)) == sasp.OK { // the relay drops the member
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
				hasWeight := false
				for s := range serverCount {
					server := balancer.Server(address(s).String())
					want := p.server.row(server, sasp.AddressOf(address(s)), g.members[server], p.fleet.Weight(b.membership.proxy, g.class, server))
					_, knows := g.members[server]
					trusts := flags[i]&sasp.Trust != 0
					got := p.weights[c][g.name+" "+string(server)]
					hasWeight = hasWeight || got > 0
					if !trusts && !knows {
						want.Weight = 0
					}
					if got != want.Weight && (trusts || want.Weight > 0) {
						rt.Errorf("r%d (flags %#x) has weight %d for server %s in group %s, want %d", i, flags[i], got, server, g.name, want.Weight)
					}
				}
			}
		}
		if p.fleet.Joined() != len(p.server.byProxy) || len(p.server.balancers) < p.fleet.Joined() {
			rt.Errorf("%d relays joined, %d are listed by proxy; want the same number, and no fewer balancers", p.fleet.Joined(), len(p.server.byProxy))
		}
	})
}
