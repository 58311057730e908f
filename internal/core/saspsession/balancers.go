package saspsession

import (
	"bytes"
	"errors"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/wire/sasp"
)

// loadBalancer is a connected balancer with its groups. It is not necessarily a proxy of the fleet; functions that
// require one take a joinedBalancer.
type loadBalancer struct {
	uid        string
	uidBytes   []byte
	conn       *connection // nil while the balancer is being removed
	flags      uint8       // sasp.Push, sasp.Trust, sasp.NoChange
	groups     map[string]*group
	groupOrder []*group        // in order of registration, so that messages are the same in every run
	claimedAt  float64         // time at which the connection claimed the UID
	membership *joinedBalancer // nil unless joined; read by joined, set only by Server.join and Server.leave
}

// joinedBalancer is a balancer that is a proxy of the fleet. It is one from its first registration until it deregisters
// its last group, its connection ends, or it joins through another frontend. Members that register themselves in the
// groups of a balancer do not make it a proxy.
type joinedBalancer struct {
	*loadBalancer
	proxy *controlplane.Proxy // never nil
}

// joined returns the balancer as a proxy of the fleet. ok is false if it is not one.
func (lb *loadBalancer) joined() (joined *joinedBalancer, ok bool) {
	return lb.membership, lb.membership != nil
}

func (lb *loadBalancer) wantsPush() bool { return lb.flags&sasp.Push != 0 }

func (lb *loadBalancer) trustsMembers() bool { return lb.flags&sasp.Trust != 0 }

func (lb *loadBalancer) omitsUnchanged() bool { return lb.flags&sasp.NoChange != 0 }

// balancerOf returns the balancer that a connection belongs to, or nil if there is none.
func (s *Server) balancerOf(conn *connection) *loadBalancer {
	lb := s.balancers[conn.uid]
	if conn.role != roleBalancer || lb == nil || lb.conn != conn {
		return nil
	}
	return lb
}

func (s *Server) zoneOf(lb *loadBalancer) balancer.Zone {
	if joined, ok := lb.joined(); ok {
		return joined.proxy.Zone
	}
	return s.fleet.Site().UnlistedZone
}

// joinedBalancers returns the balancers that have joined the fleet, in the order of their proxy IDs.
func (s *Server) joinedBalancers() []*joinedBalancer {
	joined := make([]*joinedBalancer, 0, len(s.byProxy))
	for _, lb := range s.byProxy {
		joined = append(joined, lb)
	}
	slices.SortFunc(joined, func(a, b *joinedBalancer) int { return int(a.proxy.ID) - int(b.proxy.ID) })
	return joined
}

// claimUID assigns a balancer's UID to a connection. A newer connection replaces an older one, since a relay that
// reconnects may send messages before its old connection is known to be broken. TakeoverInterval limits how often this
// happens, so that two relays with the same UID cannot keep disconnecting each other.
func (s *Server) claimUID(now float64, conn *connection, uid []byte) (*loadBalancer, sasp.Code) {
	switch {
	case len(uid) == 0:
		return nil, sasp.InvalidBalancer
	case conn.role == roleMember, conn.role == roleBalancer && conn.uid != string(uid):
		return nil, sasp.NotAccepted
	case string(uid) == s.policy.FleetUID, s.policy.MembersOnly:
		return nil, sasp.NotAccepted
	}
	previous := s.balancers[string(uid)]
	if previous != nil && previous.conn == conn {
		return previous, sasp.OK
	}
	if previous != nil {
		if now-previous.claimedAt < s.limits.TakeoverInterval {
			conn.closeAfterReply = "its UID was just claimed by another connection" // closing makes the relay dial again
			return nil, sasp.NotAccepted
		}
		s.Stats.Takeovers++
		s.close(now, previous.conn, "replaced by another connection with its UID")
	}
	lb := &loadBalancer{
		uid:       string(uid),
		uidBytes:  bytes.Clone(uid),
		conn:      conn,
		groups:    map[string]*group{},
		claimedAt: now,
	}
	conn.role = roleBalancer
	conn.uid = lb.uid
	s.balancers[lb.uid] = lb
	return lb, sasp.OK
}

// join makes a balancer a proxy of the fleet when it registers its first group. A balancer that has joined already
// stays one.
func (s *Server) join(now float64, lb *loadBalancer) sasp.Code {
	if _, ok := lb.joined(); ok {
		return sasp.OK
	}
	proxy, err := s.fleet.Join(now, lb.uid, s, true)
	if err != nil {
		s.handler.Log("relay refused", "uid", lb.uid, "error", err)
		switch { // closing the connection makes the relay dial again
		case errors.Is(err, controlplane.ErrWrongCoordinator):
			s.close(now, lb.conn, "relay is owned by another coordinator")
		case errors.Is(err, controlplane.ErrJoinRateExceeded):
			s.close(now, lb.conn, "join rate exceeded")
		}
		return sasp.NotAccepted
	}
	proxy.Polls = !lb.wantsPush()
	lb.membership = &joinedBalancer{loadBalancer: lb, proxy: proxy}
	s.byProxy[proxy.ID] = lb.membership
	return sasp.OK
}

// leave ends a balancer's state as a proxy of the fleet. The balancer stays connected.
func (s *Server) leave(joined *joinedBalancer) {
	delete(s.byProxy, joined.proxy.ID)
	joined.membership = nil
}

// disconnect reports to the fleet that a balancer is no longer one of its proxies. A balancer that is not a proxy is
// left unchanged.
func (s *Server) disconnect(now float64, lb *loadBalancer) {
	joined, ok := lb.joined()
	if !ok {
		return
	}
	s.fleet.Disconnect(now, joined.proxy)
	s.leave(joined)
}

// scheduleGroup schedules a full update of a group; rows is the expected size of the update. A balancer that is not a
// proxy of the fleet gets no updates.
func (s *Server) scheduleGroup(now float64, lb *loadBalancer, group *group, rows int) {
	if joined, ok := lb.joined(); ok {
		s.fleet.ScheduleFull(now, joined.proxy, group.class, float64(rows))
	}
}

// setBalancer stores a balancer's flags and applies their changes.
func (s *Server) setBalancer(now float64, conn *connection, message *sasp.Message) sasp.Code {
	lb, code := s.claimUID(now, conn, message.UID)
	if code != sasp.OK {
		return code
	}
	changed := lb.flags ^ message.Flags
	lb.flags = message.Flags
	joined, ok := lb.joined()
	if !ok {
		return sasp.OK
	}
	if changed&sasp.Push != 0 {
		s.fleet.SetPolling(now, joined.proxy, !lb.wantsPush())
	}
	if changed&sasp.Trust != 0 { // the relay receives a different set of rows from now on
		s.scheduleGroups(now, lb)
	}
	return sasp.OK
}

// scheduleNonTrustingRelays schedules full updates for the relays that do not trust members. If the table has no entry
// for any of a relay's own members, the relay is sent those members that are ready, and this set changes with the
// registry, not with the table.
func (s *Server) scheduleNonTrustingRelays(now float64) {
	for _, lb := range s.joinedBalancers() {
		if !lb.trustsMembers() {
			s.scheduleGroups(now, lb.loadBalancer)
		}
	}
}

func (s *Server) scheduleGroups(now float64, lb *loadBalancer) {
	for _, group := range lb.groupOrder {
		s.scheduleGroup(now, lb, group, len(group.memberOrder))
	}
}

// Displaced closes the connection of a proxy that has joined through another frontend. It implements
// controlplane.Frontend.
func (s *Server) Displaced(now float64, proxy *controlplane.Proxy) {
	lb := s.byProxy[proxy.ID]
	if lb == nil {
		return
	}
	s.leave(lb)
	s.close(now, lb.conn, "relay joined through another frontend")
}
