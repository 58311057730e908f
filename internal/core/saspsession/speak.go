package saspsession

import (
	"bytes"
	"errors"
	"math"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/wire/sasp"
)

// message answers one framed message. A message is taken whole or not at all: everything in it is looked at before
// anything is done.
func (d *Server) message(now float64, c *conn, frame []byte) {
	kind, id := sasp.Head(frame)
	if err := sasp.Decode(frame, &d.in); err != nil {
		d.Stats.Malformed++
		d.out.Log("message not understood", "from", c.from, "uid", c.uid, "error", err)
		if sasp.ReplyTo(kind) == 0 { // nothing can be said to that
			d.close(now, c, err.Error())
			return
		}
		d.answer(now, c, sasp.ReplyTo(kind), id, sasp.NotUnderstood)
		return
	}
	m := &d.in
	var code sasp.Code
	switch kind {
	case sasp.Registration:
		code = d.register(now, c, m)
	case sasp.Deregistration:
		code = d.deregister(now, c, m)
	case sasp.GetWeights:
		d.getWeights(now, c, m)
		return
	case sasp.SetBalancer:
		code = d.setBalancer(now, c, m)
	case sasp.SetMember:
		wait := false
		if code, wait = d.setMember(now, c, m); wait {
			return // Settled answers
		}
	default: // replies and pushed weights are ours to send
		d.close(now, c, "it speaks as a manager does")
		return
	}
	if code != sasp.OK {
		d.Stats.Rejected++
		d.out.Log("refused", "kind", kind, "code", code.String(), "from", c.from, "uid", c.uid)
	}
	d.answer(now, c, sasp.ReplyTo(kind), id, code)
}

func (d *Server) answer(now float64, c *conn, kind sasp.Kind, id uint32, code sasp.Code) {
	if d.conns[c.id] != c {
		return
	}
	d.Stats.Replied++
	m := &d.reply
	*m = sasp.Message{Kind: kind, ID: id, Code: code, Groups: m.Groups[:0], Rows: m.Rows[:0]}
	d.send(now, c, m)
}

// claim makes a connection the balancer's of that UID. A newer connection takes over, since a relay that dials again
// may be heard before its old connection is known to be broken; not more often than once in Takeover seconds, so that
// two relays with one UID cannot throw each other out all the time.
func (d *Server) claim(now float64, c *conn, uid []byte) (*loadBalancer, sasp.Code) {
	switch {
	case len(uid) == 0:
		return nil, sasp.InvalidBalancer
	case c.role == memberRole, c.role == balancerRole && c.uid != string(uid):
		return nil, sasp.NotAccepted
	case string(uid) == d.policy.FleetUID, d.policy.MembersOnly:
		return nil, sasp.NotAccepted
	}
	b := d.balancers[string(uid)]
	if b != nil && b.conn == c {
		return b, sasp.OK
	}
	if b != nil {
		if now-b.claimed < d.limits.TakeoverInterval {
			return nil, sasp.NotAccepted
		}
		d.Stats.Takeovers++
		d.close(now, b.conn, "another connection has its UID")
	}
	b = &loadBalancer{uid: string(uid), uidBytes: bytes.Clone(uid), conn: c, groups: map[string]*group{}, claimed: now}
	c.role, c.uid = balancerRole, b.uid
	d.balancers[b.uid] = b
	return b, sasp.OK
}

// join lets the fleet know of a balancer that has its first group.
func (d *Server) join(now float64, b *loadBalancer) sasp.Code {
	if b.proxy != nil {
		return sasp.OK
	}
	p, err := d.fleet.Join(now, b.uid, d, true)
	if err != nil {
		d.out.Log("relay refused", "uid", b.uid, "error", err)
		if errors.Is(err, controlplane.ErrWrongCoordinator) {
			d.close(now, b.conn, "another coordinator leads this relay") // it dials another one
		} else if errors.Is(err, controlplane.ErrJoinRateExceeded) {
			d.close(now, b.conn, "it joins too often") // it dials again in a while
		}
		return sasp.NotAccepted
	}
	b.proxy, p.Polls = p, b.flags&sasp.Push == 0
	d.byProxy[p.ID] = b
	return sasp.OK
}

func (d *Server) setBalancer(now float64, c *conn, m *sasp.Message) sasp.Code {
	b, code := d.claim(now, c, m.UID)
	if code != sasp.OK {
		return code
	}
	before := b.flags
	b.flags, b.health = m.Flags, m.Health
	if b.proxy != nil && (before^b.flags)&sasp.Push != 0 {
		d.fleet.SetPolling(now, b.proxy, b.flags&sasp.Push == 0)
	}
	if b.proxy != nil && (before^b.flags)&sasp.Trust != 0 { // other rows from now on
		for _, g := range b.order {
			d.fleet.ScheduleFull(now, b.proxy, g.class, float64(len(g.order)))
		}
	}
	return sasp.OK
}

// twice tells whether a message names a group twice, or a member twice in a group.
func (d *Server) twice(m *sasp.Message) sasp.Code {
	type place struct {
		group int
		sasp.Address
	}
	seen := make(map[place]bool, len(m.Rows))
	groups := make(map[string]bool, len(m.Groups))
	for i, g := range m.Groups {
		if len(g.UID) == 0 {
			return sasp.InvalidBalancer
		}
		name := string(g.UID) + "\x00" + string(g.Name)
		if groups[name] {
			return sasp.DuplicateGroup
		}
		groups[name] = true
		for _, r := range m.Rows[g.From:g.To] {
			p := place{i, r.Address}
			if seen[p] {
				return sasp.DuplicateMember
			}
			seen[p] = true
		}
	}
	return sasp.OK
}

// speaker says whose groups a message may touch: the connection's balancer, or nil for a member.
func (d *Server) speaker(now float64, c *conn, m *sasp.Message) (*loadBalancer, sasp.Code) {
	if len(m.Groups) == 0 && m.LB == sasp.FromBalancer && c.role == balancerRole {
		return d.balancers[c.uid], sasp.OK
	}
	if len(m.Groups) == 0 {
		return nil, sasp.NotUnderstood
	}
	if code := d.twice(m); code != sasp.OK {
		return nil, code
	}
	if m.LB == sasp.FromBalancer {
		for _, g := range m.Groups[1:] {
			if !bytes.Equal(g.UID, m.Groups[0].UID) {
				return nil, sasp.NotAccepted
			}
		}
		return d.claim(now, c, m.Groups[0].UID)
	}
	if c.role == balancerRole {
		return nil, sasp.NotAccepted
	}
	for _, g := range m.Groups {
		if code := d.memberMay(c, m, g); code != sasp.OK {
			return nil, code
		}
	}
	c.role = memberRole
	return nil, sasp.OK
}

// memberMay checks a group of a message that a member sends about itself.
func (d *Server) memberMay(c *conn, m *sasp.Message, g sasp.Group) sasp.Code {
	if string(g.UID) != d.policy.FleetUID || d.policy.FleetUID == "" {
		b := d.balancers[string(g.UID)]
		switch {
		case b == nil:
			return sasp.BalancerNotArrived
		case b.flags&sasp.Trust == 0:
			return sasp.NotAccepted
		}
	}
	for _, r := range m.Rows[g.From:g.To] {
		if !d.policy.AnyAgent && r.AddrPort().Addr() != c.from {
			return sasp.NotAccepted // it speaks for somebody else
		}
		if rec, ok := d.fleet.Registry.Find(d.server(r.Address)); !d.policy.AllowUnlisted && (!ok || rec.Server == "") {
			return sasp.NotAccepted
		}
	}
	return sasp.OK
}

func (d *Server) register(now float64, c *conn, m *sasp.Message) sasp.Code {
	b, code := d.speaker(now, c, m)
	if code != sasp.OK {
		return code
	}
	for _, g := range m.Groups {
		if len(g.Name) == 0 {
			return sasp.InvalidGroupName
		}
		if _, ok := d.fleet.Class(string(g.Name)); !ok {
			return sasp.InvalidGroup
		}
		if b == nil {
			continue
		}
		old := b.groups[string(g.Name)]
		n := g.To - g.From
		if old != nil {
			for _, r := range m.Rows[g.From:g.To] {
				if x := old.members[d.server(r.Address)]; x != nil && x.balancer {
					return sasp.AlreadyRegistered
				}
			}
			n += len(old.order)
		} else if len(b.order) >= d.limits.MaxGroups {
			return sasp.InvalidGroup
		}
		if n > d.limits.MaxMembers {
			return sasp.NotAccepted
		}
	}
	if b != nil {
		if code := d.join(now, b); code != sasp.OK {
			return code
		}
		for _, g := range m.Groups {
			if code := d.addMembers(now, b, m, g); code != sasp.OK {
				return code
			}
		}
		return sasp.OK
	}
	for _, g := range m.Groups {
		for _, r := range m.Rows[g.From:g.To] {
			if code := d.registerItself(now, c, g, r); code != sasp.OK {
				return code
			}
		}
	}
	return sasp.OK
}

func (b *loadBalancer) group(name string, class balancer.Class) *group {
	g := b.groups[name]
	if g == nil {
		g = &group{name: name, nameBytes: []byte(name), class: class, members: map[balancer.Server]*registration{}}
		b.groups[name] = g
		b.order = append(b.order, g)
	}
	return g
}

func (g *group) add(s balancer.Server, r sasp.Row) *registration {
	x := g.members[s]
	if x == nil {
		x = &registration{address: r.Address}
		g.members[s] = x
		g.order = append(g.order, s)
	}
	x.label = bytes.Clone(r.Label)
	return x
}

func (d *Server) addMembers(now float64, b *loadBalancer, m *sasp.Message, g sasp.Group) sasp.Code {
	class, _ := d.fleet.Class(string(g.Name))
	to := b.group(string(g.Name), class)
	for _, r := range m.Rows[g.From:g.To] {
		s := d.server(r.Address)
		if d.policy.BalancersRegister {
			if err := d.fleet.Registry.AdjustVouchers(now, s, d.zone(b), 1); err != nil {
				d.out.Log("server refused", "server", s, "error", err)
				return sasp.NotAccepted
			}
		}
		to.add(s, r).balancer = true
	}
	d.fleet.ScheduleFull(now, b.proxy, class, float64(len(to.order)+1))
	return sasp.OK
}

func (d *Server) registerItself(now float64, c *conn, g sasp.Group, r sasp.Row) sasp.Code {
	s := d.server(r.Address)
	if c.servers[s] == 0 {
		if err := d.fleet.Registry.Register(now, s, d.fleet.Site().UnlistedZone); err != nil {
			d.out.Log("server refused", "server", s, "error", err)
			return sasp.NotAccepted
		}
	}
	if c.servers == nil {
		c.servers = map[balancer.Server]int{}
	}
	c.servers[s]++
	if b := d.balancers[string(g.UID)]; b != nil {
		class, _ := d.fleet.Class(string(g.Name))
		to := b.group(string(g.Name), class)
		if x := to.members[s]; x != nil && x.itself {
			c.servers[s]--
			return sasp.AlreadyRegistered
		}
		to.add(s, r).itself = true
		if b.proxy != nil {
			d.fleet.ScheduleFull(now, b.proxy, class, 1)
		}
	}
	return sasp.OK
}

// present tells whether all members of a message are on the roll and not gone; with drained also those whose drain
// outlives their absence.
func (d *Server) present(m *sasp.Message, drained bool) bool {
	for _, r := range m.Rows {
		rec, ok := d.fleet.Registry.Find(d.server(r.Address))
		if !ok || rec.Phase == balancer.Removed && (!drained || !rec.DrainOrdered) {
			return false
		}
	}
	return true
}

// deregister takes members, whole groups (no members named) or all groups (none named) away.
func (d *Server) deregister(now float64, c *conn, m *sasp.Message) sasp.Code {
	b, code := d.speaker(now, c, m)
	if code != sasp.OK {
		return code
	}
	if b == nil {
		if !d.present(m, false) {
			return sasp.NotRegistered
		}
		for _, r := range m.Rows {
			s := d.server(r.Address)
			delete(c.servers, s)
			if rec, _ := d.fleet.Registry.Find(s); rec.DrainOrdered { // it ends everywhere; if it can't be said, the next one to look says so
				_, _ = d.out.OrderDrain(now, s, false)
			}
			d.fleet.Registry.Deregister(now, s)
		}
		return sasp.OK
	}
	for _, g := range m.Groups {
		old := b.groups[string(g.Name)]
		if old == nil {
			return sasp.UnknownGroup
		}
		for _, r := range m.Rows[g.From:g.To] {
			if x := old.members[d.server(r.Address)]; x == nil || !x.balancer {
				return sasp.NotRegistered
			}
		}
	}
	if len(m.Groups) == 0 {
		for _, g := range b.order {
			d.drop(now, b, g)
		}
		b.groups, b.order = map[string]*group{}, nil
	}
	for _, g := range m.Groups {
		old := b.groups[string(g.Name)]
		if g.From == g.To {
			d.drop(now, b, old)
			delete(b.groups, old.name)
			b.order = without(b.order, old)
			continue
		}
		for _, r := range m.Rows[g.From:g.To] {
			s := d.server(r.Address)
			x := old.members[s]
			d.unvouch(now, b, x, s)
			if x.balancer = false; !x.itself {
				delete(old.members, s)
				old.order = without(old.order, s)
			}
		}
		if b.proxy != nil {
			d.fleet.ScheduleFull(now, b.proxy, old.class, float64(len(old.order)+1))
		}
	}
	if len(b.order) == 0 && b.proxy != nil {
		d.fleet.Disconnect(now, b.proxy)
		delete(d.byProxy, b.proxy.ID)
		b.proxy = nil
	}
	return sasp.OK
}

func without[T comparable](list []T, v T) []T {
	kept := list[:0]
	for _, x := range list {
		if x != v {
			kept = append(kept, x)
		}
	}
	return kept
}

// setMember takes states: a member (or its agent) drains itself for the whole fleet, a balancer quiesces a member for
// itself alone.
func (d *Server) setMember(now float64, c *conn, m *sasp.Message) (code sasp.Code, wait bool) {
	b, code := d.speaker(now, c, m)
	if code != sasp.OK {
		return code, false
	}
	if b == nil {
		return d.drain(now, c, m)
	}
	return d.setOwn(now, b, m), false
}

// drain takes drains, or their ends, for the whole fleet. Where coordinators share it the answer waits until all that is
// told is agreed on; a message of which a part can't be taken is refused, and may be sent again.
func (d *Server) drain(now float64, c *conn, m *sasp.Message) (code sasp.Code, wait bool) {
	if !d.present(m, true) {
		return sasp.NotRegistered, false
	}
	t := &told{conn: c.id, id: m.ID}
	for _, r := range m.Rows {
		s, on := d.server(r.Address), r.Flags&sasp.Quiesce != 0
		ticket, ok := d.out.OrderDrain(now, s, on)
		switch {
		case !ok:
			t.wrong = true
		case ticket == 0:
			d.fleet.Registry.SetDrain(now, s, on)
		default:
			t.left++
			d.waiting[ticket] = t
		}
		d.out.Log("member state", "server", s, "quiesced", on, "from", c.from, "taken", ok)
	}
	d.fleet.Persist() // before it is confirmed; if the disk fails it is in force all the same
	if t.left > 0 {
		return sasp.OK, true
	}
	if t.wrong {
		return sasp.NotAccepted, false
	}
	return sasp.OK, false
}

// OrderCompleted tells what became of a drain that was told here: it was agreed on, or refused.
func (d *Server) OrderCompleted(now float64, ticket uint64, kept bool) {
	t := d.waiting[ticket]
	if t == nil {
		return
	}
	delete(d.waiting, ticket)
	t.left--
	t.wrong = t.wrong || !kept
	c := d.conns[t.conn]
	if t.left > 0 || c == nil {
		return
	}
	code := sasp.OK
	if t.wrong {
		code = sasp.NotAccepted
		d.Stats.Rejected++
		d.out.Log("refused", "kind", sasp.SetMember, "why", "the coordinators could not agree in time", "from", c.from)
	}
	d.answer(now, c, sasp.ReplyTo(sasp.SetMember), t.id, code)
}

// setOwn takes a balancer's states of its members.
func (d *Server) setOwn(now float64, b *loadBalancer, m *sasp.Message) sasp.Code {
	for _, g := range m.Groups {
		old := b.groups[string(g.Name)]
		if old == nil {
			return sasp.UnknownGroup
		}
		for _, r := range m.Rows[g.From:g.To] {
			if old.members[d.server(r.Address)] == nil {
				return sasp.NotRegistered
			}
		}
	}
	for _, g := range m.Groups {
		old := b.groups[string(g.Name)]
		for _, r := range m.Rows[g.From:g.To] {
			x := old.members[d.server(r.Address)]
			x.quiet, x.opaque = r.Flags&sasp.Quiesce != 0, r.Opaque
		}
		d.fleet.ScheduleFull(now, b.proxy, old.class, float64(g.To-g.From))
	}
	return sasp.OK
}

// getWeights answers with the newest weights of the groups asked for; none named: of all. It counts as a message to
// the proxy if it brings every group up to date.
func (d *Server) getWeights(now float64, c *conn, m *sasp.Message) {
	reply := &d.reply
	*reply = sasp.Message{Kind: sasp.GetWeightsReply, ID: m.ID, Groups: reply.Groups[:0], Rows: reply.Rows[:0]}
	b := d.balancers[c.uid]
	reply.Code = d.mayAsk(c, b, m)
	if reply.Code != sasp.OK {
		d.Stats.Rejected++
		d.out.Log("refused", "kind", m.Kind, "code", reply.Code.String(), "from", c.from, "uid", c.uid)
		d.send(now, c, reply)
		return
	}
	lines, asked := 0, 0
	for _, g := range b.order {
		if len(m.Groups) == 0 || named(m, g.name) {
			asked++
			lines += d.render(reply, b, g, true)
		}
	}
	promise := d.fleet.Site().Guarantees.DrainDeadline * d.fleet.Site().Limits.DrainFraction
	reply.Interval = uint16(min(max(math.Floor(promise*askInterval), 1), math.MaxUint16))
	d.send(now, c, reply)
	if d.conns[c.id] == c && asked == len(b.order) && b.proxy != nil {
		c.awayEnd = c.sent
		d.fleet.MarkSent(now, b.proxy, lines)
	}
}

func named(m *sasp.Message, name string) bool {
	for _, g := range m.Groups {
		if string(g.Name) == name {
			return true
		}
	}
	return false
}

func (d *Server) mayAsk(c *conn, b *loadBalancer, m *sasp.Message) sasp.Code {
	if code := d.twice(m); code != sasp.OK {
		return code
	}
	for _, g := range m.Groups {
		if c.role == balancerRole && string(g.UID) != c.uid {
			return sasp.NotAccepted
		}
	}
	if c.role != balancerRole || b == nil {
		return sasp.UnknownBalancer
	}
	for _, g := range m.Groups {
		if b.groups[string(g.Name)] == nil {
			return sasp.UnknownGroup
		}
	}
	if b.proxy == nil {
		return sasp.UnknownGroup
	}
	return sasp.OK
}
