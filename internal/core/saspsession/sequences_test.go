package saspsession

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"snowquay/balancer"
	"snowquay/internal/wire/sasp"
)

const (
	sequenceBalancers = 2   // r0, r1
	sequenceServers   = 3   // servers that may register; the registry has room for at most one more
	sequenceConns     = 5   // connections that are open at a time, at most
	sequenceHold      = 4.0 // seconds for which a server stays in service after its last connection has ended
)

var sequenceGroups = []string{"search", "introduce"}

// sequenceModel is the expected state of the server. It is derived only from the replies that the peers received.
type sequenceModel struct {
	listed     map[string]map[string]map[int]bool // servers that each balancer lists, by balancer and group
	joined     map[string]bool                    // balancers that have joined the fleet
	holder     map[string]Conn                    // connection of each balancer
	registered map[int]map[Conn]bool              // connections on which each server registered itself
	lostAt     map[int]float64                    // time at which the last connection of a server ended
}

// removeBalancer removes a balancer whose connection has ended.
func (m *sequenceModel) removeBalancer(uid string) {
	delete(m.listed, uid)
	delete(m.joined, uid)
	delete(m.holder, uid)
}

// connClosed removes a connection that has ended.
func (m *sequenceModel) connClosed(now float64, conn Conn) {
	for uid, holder := range m.holder {
		if holder == conn {
			m.removeBalancer(uid)
		}
	}
	for server, conns := range m.registered {
		if !conns[conn] {
			continue
		}
		delete(conns, conn)
		if len(conns) == 0 {
			m.lostAt[server] = now
		}
	}
}

// listings returns the number of balancers' groups that list a server.
func (m *sequenceModel) listings(server int) (count int) {
	for _, groups := range m.listed {
		for _, servers := range groups {
			if servers[server] {
				count++
			}
		}
	}
	return count
}

// applyMemberMessage applies a message of a member that was answered with OK on a connection.
func (m *sequenceModel) applyMemberMessage(conn Conn, sent *sasp.Message, servers []int) {
	for _, server := range servers {
		switch sent.Kind {
		case sasp.Registration:
			if m.registered[server] == nil {
				m.registered[server] = map[Conn]bool{}
			}
			m.registered[server][conn] = true
			delete(m.lostAt, server)
		case sasp.Deregistration:
			delete(m.registered, server)
			delete(m.lostAt, server)
		}
	}
}

// applyBalancerMessage applies a message of a balancer that was answered with OK.
func (m *sequenceModel) applyBalancerMessage(uid string, sent *sasp.Message, servers []int) {
	switch sent.Kind {
	case sasp.Registration:
		m.joined[uid] = true
		for _, group := range sent.Groups {
			if m.listed[uid] == nil {
				m.listed[uid] = map[string]map[int]bool{}
			}
			if m.listed[uid][string(group.Name)] == nil {
				m.listed[uid][string(group.Name)] = map[int]bool{}
			}
			for _, server := range servers[group.From:group.To] {
				m.listed[uid][string(group.Name)][server] = true
			}
		}
	case sasp.Deregistration:
		if len(sent.Groups) == 0 {
			delete(m.listed, uid)
		}
		for _, group := range sent.Groups {
			if group.From == group.To {
				delete(m.listed[uid], string(group.Name))
			}
			for _, server := range servers[group.From:group.To] {
				delete(m.listed[uid][string(group.Name)], server)
			}
		}
	}
}

// sequence is a run of a server under test with the connections of some peers and the model of the server's state.
type sequence struct {
	*peers
	rt          *rapid.T
	policy      Policy
	limits      Limits
	model       sequenceModel
	conns       []Conn
	openInModel map[Conn]bool // connections whose end was not yet reported to the model
}

func startSequence(t *testing.T, rt *rapid.T) *sequence {
	policy := Policy{FleetUID: "fleet", AnyAgent: true, AllowUnlisted: true, BalancersRegister: rapid.Bool().Draw(rt, "balancers register")}
	limits := DefaultLimits
	limits.MaxGroups = rapid.IntRange(1, 2).Draw(rt, "groups")
	limits.MaxMembers = rapid.IntRange(1, 4).Draw(rt, "members")
	limits.TakeoverInterval = 0.5
	site := testSite()
	site.Servers = nil
	site.Limits.ServerHold = sequenceHold
	site.Limits.MaxServers = rapid.IntRange(1, sequenceServers+1).Draw(rt, "servers")
	return &sequence{
		peers:       start(t, site, limits, policy),
		rt:          rt,
		policy:      policy,
		limits:      limits,
		openInModel: map[Conn]bool{},
		model: sequenceModel{
			listed:     map[string]map[string]map[int]bool{},
			joined:     map[string]bool{},
			holder:     map[string]Conn{},
			registered: map[int]map[Conn]bool{},
			lostAt:     map[int]float64{},
		},
	}
}

// conn draws one of the open connections, after it may have opened another one.
func (s *sequence) conn() Conn {
	s.conns = slices.DeleteFunc(s.conns, func(conn Conn) bool { return s.closed[conn] })
	if len(s.conns) < sequenceConns && (len(s.conns) == 0 || rapid.IntRange(0, 4).Draw(s.rt, "dial") == 0) {
		conn := s.dial(fmt.Sprintf("10.9.0.%d", s.lastConn%200+1))
		s.conns = append(s.conns, conn)
		s.openInModel[conn] = true
	}
	return rapid.SampledFrom(s.conns).Draw(s.rt, "connection")
}

// recordClosed reports the closed connections to the model.
func (s *sequence) recordClosed() {
	for conn := range s.closed {
		if s.openInModel[conn] {
			delete(s.openInModel, conn)
			s.model.connClosed(s.now, conn)
		}
	}
}

// recordAccepted applies a message that was answered with OK to the model.
func (s *sequence) recordAccepted(conn Conn, sent *sasp.Message, servers []int) {
	if sent.Kind != sasp.SetBalancer && sent.LB != sasp.FromBalancer {
		s.model.applyMemberMessage(conn, sent, servers)
		return
	}
	uid := s.server.conns[conn].uid
	s.model.holder[uid] = conn
	s.model.applyBalancerMessage(uid, sent, servers)
	s.recordDeparted()
}

// recordDeparted reports to the model the balancers that have deregistered their last group. A balancer with a group
// in which only members registered themselves is not one of them.
func (s *sequence) recordDeparted() {
	for uid, lb := range s.server.balancers {
		if _, joined := lb.joined(); !joined && len(lb.groupOrder) == 0 {
			delete(s.model.joined, uid)
		}
	}
}

// state returns a description of all state that a rejected message must not change. The connections of the balancers
// are not part of it.
func (s *sequence) state() string {
	var text strings.Builder
	for _, uid := range slices.Sorted(maps.Keys(s.server.balancers)) {
		lb := s.server.balancers[uid]
		_, joined := lb.joined()
		if !joined && len(lb.groupOrder) == 0 {
			continue
		}
		fmt.Fprintf(&text, "%s joined %t:", uid, joined)
		for _, group := range lb.groupOrder {
			fmt.Fprintf(&text, " %s(", group.name)
			for _, server := range group.memberOrder {
				member := group.members[server]
				fmt.Fprintf(&text, "%s %t %t %t,", server, member.byBalancer, member.byMember, member.quiesced)
			}
			text.WriteString(")")
		}
		text.WriteString("\n")
	}
	for _, server := range s.fleet.Registry.Servers() {
		record, _ := s.fleet.Registry.Find(server)
		fmt.Fprintf(&text, "%s %d %t %t\n", server, record.Phase, record.DrainOrdered, s.fleet.Registry.Registered(server))
	}
	return text.String()
}

// drawMessage draws a well-formed message and returns it with the numbers of its servers, one for each row.
func (s *sequence) drawMessage() (sent *sasp.Message, servers []int) {
	kind := rapid.SampledFrom([]sasp.Kind{sasp.SetBalancer, sasp.Registration, sasp.Registration, sasp.Deregistration, sasp.SetMember,
		sasp.GetWeights}).Draw(s.rt, "kind")
	uid := fmt.Sprintf("r%d", rapid.IntRange(0, sequenceBalancers-1).Draw(s.rt, "uid"))
	if kind == sasp.SetBalancer {
		flags := rapid.SampledFrom([]uint8{sasp.Push, sasp.Trust, sasp.Push | sasp.Trust, allFlags}).Draw(s.rt, "flags")
		return &sasp.Message{Kind: kind, UID: []byte(uid), Flags: flags}, nil
	}
	fromBalancer := uint8(rapid.IntRange(0, 1).Draw(s.rt, "from balancer"))
	if fromBalancer == 0 && rapid.IntRange(0, 2).Draw(s.rt, "to the fleet") == 0 {
		uid = "fleet"
	}
	parts := []any{}
	for _, group := range sequenceGroups {
		if rapid.Bool().Draw(s.rt, group) {
			parts = append(parts, uid+"/"+group)
			for range rapid.IntRange(0, 2).Draw(s.rt, "count") {
				server := rapid.IntRange(0, sequenceServers-1).Draw(s.rt, "server")
				parts = append(parts, server)
				servers = append(servers, server)
			}
		}
	}
	sent = message(kind, fromBalancer, parts...)
	for i := range sent.Rows {
		if kind == sasp.SetMember && rapid.Bool().Draw(s.rt, "quiesce") {
			sent.Rows[i].Flags = sasp.Quiesce
		}
	}
	return sent, servers
}

// exchange sends one message and checks the reply and its effects.
func (s *sequence) exchange() {
	conn := s.conn()
	sent, servers := s.drawMessage()
	if sent.Kind == sasp.SetMember && sent.LB != sasp.FromBalancer {
		s.advance(0.04) // run a round first, since the drain may directly follow a change of the registry
	}
	before := s.state()
	answers := len(s.received[conn])
	code := s.request(conn, sent)
	s.recordClosed()
	if s.closed[conn] {
		return
	}
	answered := 0
	for _, reply := range s.received[conn][answers:] {
		if reply.ID == s.lastID && reply.Kind == sasp.ReplyTo(sent.Kind) {
			answered++
		}
	}
	if answered != 1 {
		s.rt.Fatalf("%d replies to kind %#x, want 1", answered, uint16(sent.Kind))
	}
	if code == sasp.OK {
		s.recordAccepted(conn, sent, servers)
		return
	}
	if after := s.state(); after != before && !s.replacedBalancer(conn, sent) {
		s.rt.Fatalf("kind %#x with LB flag %d, groups %q, servers %v was rejected with %q, but changed the state\n%s\nto\n%s", uint16(sent.Kind), sent.LB,
			groupNames(sent), servers, code, before, after)
	}
}

// replacedBalancer reports whether a message claimed a balancer's UID for its connection, which ends an earlier
// connection of the balancer and thereby changes state.
func (s *sequence) replacedBalancer(conn Conn, sent *sasp.Message) bool {
	if sent.LB != sasp.FromBalancer && sent.Kind != sasp.SetBalancer {
		return false
	}
	lb := s.server.balancerOf(s.server.conns[conn])
	return lb != nil && lb.claimedAt == s.now
}

func groupNames(sent *sasp.Message) (names []string) {
	for _, group := range sent.Groups {
		names = append(names, fmt.Sprintf("%s/%s[%d:%d]", group.UID, group.Name, group.From, group.To))
	}
	return names
}

// check compares the state of the server with the model, and its groups with the limits.
func (s *sequence) check() {
	if s.fleet.Joined() != len(s.model.joined) {
		s.rt.Fatalf("%d proxies are joined, want %v", s.fleet.Joined(), s.model.joined)
	}
	for server := range sequenceServers {
		s.checkServer(server)
	}
	for uid, lb := range s.server.balancers {
		if len(lb.groupOrder) > s.limits.MaxGroups || len(lb.groupOrder) != len(lb.groups) {
			s.rt.Fatalf("%s has %d groups in order, %d by name; the limit is %d", uid, len(lb.groupOrder), len(lb.groups), s.limits.MaxGroups)
		}
		for _, group := range lb.groupOrder {
			s.checkGroup(uid, group)
		}
	}
}

func (s *sequence) checkServer(number int) {
	server := balancer.Server(address(number).String())
	phase, _ := s.fleet.Registry.Phase(server)
	held := len(s.model.registered[number]) > 0
	if lostAt, lost := s.model.lostAt[number]; lost && s.now-lostAt < sequenceHold-0.1 {
		held = true
	} else if lost && s.now-lostAt < sequenceHold+0.5 {
		return
	}
	want := held || s.policy.BalancersRegister && s.model.listings(number) > 0
	if got := phase != balancer.Removed; got != want {
		s.rt.Fatalf("server %d is in service: %t, want %t; registered on connections %v, %d listings", number, got, want, s.model.registered[number],
			s.model.listings(number))
	}
}

func (s *sequence) checkGroup(uid string, group *group) {
	if len(group.memberOrder) > s.limits.MaxMembers || len(group.memberOrder) != len(group.members) {
		s.rt.Fatalf("%s has %d members in group %s in order, %d by name; the limit is %d", uid, len(group.memberOrder), group.name, len(group.members),
			s.limits.MaxMembers)
	}
	for number := range sequenceServers {
		member := group.members[balancer.Server(address(number).String())]
		listed := s.model.listed[uid][group.name][number]
		if (member != nil && member.byBalancer) != listed {
			s.rt.Fatalf("%s: server %d of group %s is registered by the balancer: %t, want %t", uid, number, group.name, member != nil && member.byBalancer,
				listed)
		}
		lostAt, lost := s.model.lostAt[number]
		held := lost && s.now-lostAt < sequenceHold+0.5
		if member != nil && member.byMember && len(s.model.registered[number]) == 0 && !held {
			s.rt.Fatalf("%s: server %d is in group %s by its own registration, which has ended", uid, number, group.name)
		}
	}
}

// Sends random sequences of well-formed messages from balancers and members, some of which disconnect. No message may
// cause a panic, each is answered exactly once, a rejected one changes nothing, and a registration lasts exactly as
// long as its owner.
func TestMessageSequences(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := startSequence(t, rt)
		if rapid.Bool().Draw(rt, "trusting balancer") {
			s.request(s.conn(), &sasp.Message{Kind: sasp.SetBalancer, UID: []byte("r0"), Flags: allFlags})
		}
		for range rapid.IntRange(5, 50).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				conn := s.conn()
				s.server.Closed(s.now, conn)
				s.closed[conn] = true
			case 1:
				s.advance(rapid.SampledFrom([]float64{0.04, 0.6, 2, sequenceHold + 1}).Draw(rt, "seconds"))
			default:
				s.exchange()
			}
			s.recordClosed()
			s.check()
		}
	})
}
