package saspsession

import (
	"iter"
	"math"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tables"
	"snowquay/internal/wire/sasp"
)

const (
	weightScale    = 257 // 16-bit weight of an entry with weight 1; rounding then changes proportions by at most 1 in 514
	fallbackWeight = 8.0 // table weight of a member that is sent to a relay none of whose own members has an entry
	pollFraction   = 0.5 // poll interval of a polling relay, as a fraction of the time in which a drain must be delivered
)

// Deliver pushes the newest weights to a proxy. It implements controlplane.Frontend.
func (s *Server) Deliver(now float64, proxy *controlplane.Proxy) {
	lb := s.byProxy[proxy.ID]
	message := s.newMessage(sasp.SendWeights, 0)
	rows := 0
	for _, group := range lb.groupOrder {
		rows += s.appendGroup(message, lb, group, false)
	}
	if rows == 0 {
		s.Stats.Skipped++
		s.fleet.SkipUpdate(now, lb.proxy)
		return
	}
	s.lastPushID++
	message.ID = s.lastPushID
	s.Stats.Pushed++
	conn := lb.conn
	s.send(now, conn, message)
	if s.conns[conn.id] == conn {
		conn.updateEnd = conn.sentBytes
		s.fleet.MarkSent(now, lb.proxy, rows)
	}
}

// getWeights replies with the newest weights of the requested groups, or of all groups if the request lists none. A
// reply that covers every group counts as an update of the proxy.
func (s *Server) getWeights(now float64, conn *connection, message *sasp.Message) {
	reply := s.newMessage(sasp.GetWeightsReply, message.ID)
	lb, code := s.checkGetWeights(conn, message)
	reply.Code = code
	if reply.Code != sasp.OK {
		s.logRejected(conn, message.Kind, reply.Code)
		s.send(now, conn, reply)
		return
	}
	rows := 0
	requested := 0
	for _, group := range lb.groupOrder {
		if len(message.Groups) == 0 || namesGroup(message, group.name) {
			requested++
			rows += s.appendGroup(reply, lb, group, true)
		}
	}
	site := s.fleet.Site()
	deliveryTime := site.Guarantees.DrainDeadline * site.Limits.DrainFraction
	reply.Interval = uint16(min(max(math.Floor(deliveryTime*pollFraction), 1), math.MaxUint16))
	s.send(now, conn, reply)
	if s.conns[conn.id] == conn && requested == len(lb.groupOrder) {
		conn.updateEnd = conn.sentBytes
		s.fleet.MarkSent(now, lb.proxy, rows)
	}
}

// checkGetWeights checks a request for weights and returns the balancer that sent it, which must have joined the fleet.
func (s *Server) checkGetWeights(conn *connection, message *sasp.Message) (*joinedBalancer, sasp.Code) {
	if code := checkDuplicates(message); code != sasp.OK {
		return nil, code
	}
	for _, msgGroup := range message.Groups {
		if conn.role == roleBalancer && string(msgGroup.UID) != conn.uid {
			return nil, sasp.NotAccepted
		}
	}
	lb := s.balancerOf(conn)
	if lb == nil {
		return nil, sasp.UnknownBalancer
	}
	for _, msgGroup := range message.Groups {
		if lb.groups[string(msgGroup.Name)] == nil {
			return nil, sasp.UnknownGroup
		}
	}
	joined, ok := lb.joined()
	if !ok {
		return nil, sasp.UnknownGroup
	}
	return joined, sasp.OK
}

// namesGroup reports whether a message contains a group of the given name.
func namesGroup(message *sasp.Message, name string) bool {
	for _, msgGroup := range message.Groups {
		if string(msgGroup.Name) == name {
			return true
		}
	}
	return false
}

// appendGroup appends a group to a message and returns the number of its rows. Rows with a positive weight come before
// those with weight 0, so that a relay that applies the rows one by one always has an entry in between. A relay that
// wants unchanged members to be omitted gets only the changes, unless complete is set; other relays get the whole
// group.
func (s *Server) appendGroup(message *sasp.Message, lb *joinedBalancer, group *group, complete bool) int {
	entries, full, ok := s.fleet.Delta(lb.proxy, group.class)
	if !ok {
		return 0
	}
	if !complete && !full && lb.omitsUnchanged() && isEmpty(entries) {
		return 0
	}
	if complete || !lb.trustsMembers() || !lb.omitsUnchanged() {
		full = true
		entries, _ = s.fleet.FullTable(lb.proxy, group.class)
	}
	first := len(message.Rows)
	s.removedRows = s.removedRows[:0]
	s.appendEntries(message, lb, group, entries, full)
	if lb.trustsMembers() && s.fleet.MayHoldStaleEntries(lb.proxy, group.class) {
		s.appendUnregistered(message, lb, group)
	}
	if full {
		s.appendWithoutEntry(message, lb, group)
	}
	if len(message.Rows) == first && !lb.trustsMembers() {
		s.appendFallback(message)
	}
	message.Rows = append(message.Rows, s.removedRows...)
	if len(message.Rows) > first {
		message.Groups = append(message.Groups,
			sasp.Group{UID: lb.uidBytes, Name: group.nameBytes, From: first, To: len(message.Rows)})
	}
	return len(message.Rows) - first
}

func isEmpty(entries iter.Seq[*tables.Entry]) bool {
	for range entries {
		return false
	}
	return true
}

// appendEntries appends the rows of table entries. full means that the entries are the whole table.
func (s *Server) appendEntries(message *sasp.Message, lb *joinedBalancer, group *group, entries iter.Seq[*tables.Entry], full bool) {
	for entry := range entries {
		member := group.members[entry.Server]
		if member == nil && !lb.trustsMembers() {
			continue
		}
		if full && entry.Weight == 0 {
			// appendWithoutEntry covers the members. The others concern only a relay that may hold them from an
			// earlier message.
			if member != nil || !s.fleet.HasSentTable(lb.proxy, group.class) {
				continue
			}
		}
		s.appendRow(message, entry.Server, member, entry.Weight)
	}
}

// appendUnregistered appends the servers that have no entry and are not in the group, but for which the relay may still
// hold a weight.
func (s *Server) appendUnregistered(message *sasp.Message, lb *joinedBalancer, group *group) {
	for _, server := range s.fleet.Registry.KnownServers() {
		if group.members[server] == nil && s.fleet.Weight(lb.proxy, group.class, server) == 0 {
			s.appendRow(message, server, nil, 0)
		}
	}
}

// appendWithoutEntry appends the members of a group that have no entry in the table.
func (s *Server) appendWithoutEntry(message *sasp.Message, lb *joinedBalancer, group *group) {
	for _, server := range group.memberOrder {
		if s.fleet.Weight(lb.proxy, group.class, server) == 0 {
			s.appendRow(message, server, group.members[server], 0)
		}
	}
}

// appendFallback is for a relay that does not trust members and none of whose own members has an entry in the table. It
// gives equal weights to all of these members that are ready and not quiesced, so that the relay is not left without any
// entry because its table consists of servers that it does not accept. The disadvantage is that the few members of the relay may be just
// those that are meant to get no requests.
func (s *Server) appendFallback(message *sasp.Message) {
	removed := s.removedRows[:0]
	for _, row := range s.removedRows {
		phase, _ := s.fleet.Registry.Phase(s.serverAt(row.Address))
		if phase == balancer.Ready && row.Flags&sasp.Quiesce == 0 {
			row.Weight = uint16(fallbackWeight * weightScale)
			message.Rows = append(message.Rows, row)
		} else {
			removed = append(removed, row)
		}
	}
	s.removedRows = removed
}

// appendRow appends the row of a server to the message, or to the removed rows if its weight is 0. member is nil if the
// server is not in the balancer's group.
func (s *Server) appendRow(message *sasp.Message, server balancer.Server, member *registration, weight float64) {
	address, ok := s.addressOf(server)
	if !ok {
		return
	}
	row := s.row(server, address, member, weight)
	if row.Weight > 0 {
		message.Rows = append(message.Rows, row)
	} else {
		s.removedRows = append(s.removedRows, row)
	}
}

// row converts a weight of the table into a row. It uses the weight of the table even if the registry has changed
// since the table was computed: a weight that belongs to no version of the table would not be corrected when the
// registry changes back.
func (s *Server) row(server balancer.Server, address sasp.Address, member *registration, weight float64) sasp.Row {
	row := sasp.Row{Address: address, Weight: uint16(min(math.Round(weight*weightScale), math.MaxUint16))}
	if weight > 0 {
		row.Weight = max(row.Weight, 1)
	}
	phase, _ := s.fleet.Registry.Phase(server)
	if s.fleet.Registry.Registered(server) {
		row.Flags |= sasp.Contact
	}
	if phase == balancer.Ready {
		row.Flags |= sasp.Confident
	}
	if phase == balancer.Draining && weight == 0 {
		row.Flags |= sasp.Quiesce
	}
	if member == nil {
		return row
	}
	row.Label = member.label
	row.Opaque = member.opaque
	if member.byBalancer {
		row.Flags |= sasp.ByBalancer
	}
	if member.quiesced {
		row.Flags |= sasp.Quiesce
		row.Weight = 0
	}
	return row
}
