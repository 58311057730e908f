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
	weightScale    = 257 // 16-bit weight of an entry with weight 1, so that proportions stay within 1 in 514
	fallbackWeight = 8.0 // of a member that is sent to a relay whose own members have no entry
	pollFraction   = 0.5 // of the time in which a drain must be delivered, between two polls of a polling relay
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

// getWeights answers with the newest weights of the requested groups, of all if none is named. It counts as an update of
// the proxy if it covers every group.
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

// checkGetWeights checks a request for weights and returns the proxy of the fleet that it comes from.
func (s *Server) checkGetWeights(conn *connection, message *sasp.Message) (*joinedBalancer, sasp.Code) {
	if code := checkDuplicates(message); code != sasp.OK {
		return nil, code
	}
	for _, named := range message.Groups {
		if conn.role == roleBalancer && string(named.UID) != conn.uid {
			return nil, sasp.NotAccepted
		}
	}
	lb := s.balancerOf(conn)
	if lb == nil {
		return nil, sasp.UnknownBalancer
	}
	for _, named := range message.Groups {
		if lb.groups[string(named.Name)] == nil {
			return nil, sasp.UnknownGroup
		}
	}
	joined, ok := lb.joined()
	if !ok {
		return nil, sasp.UnknownGroup
	}
	return joined, sasp.OK
}

func namesGroup(message *sasp.Message, name string) bool {
	for _, named := range message.Groups {
		if string(named.Name) == name {
			return true
		}
	}
	return false
}

// appendGroup appends a group to a message and returns the number of its rows. Rows with a weight come before those
// without, so that a relay that applies them one by one never lacks an entry on the way. A relay that wants unchanged
// members left out gets what changed, unless a complete group is asked for; other relays get the whole group.
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

// appendEntries appends the rows of table entries; full says that they are the whole table.
func (s *Server) appendEntries(message *sasp.Message, lb *joinedBalancer, group *group, entries iter.Seq[*tables.Entry], full bool) {
	for entry := range entries {
		member := group.members[entry.Server]
		if member == nil && !lb.trustsMembers() {
			continue
		}
		if full && entry.Weight == 0 {
			// appendWithoutEntry covers members. Others matter only to a relay that may have learnt of them here.
			if member != nil || !s.fleet.HasSentTable(lb.proxy, group.class) {
				continue
			}
		}
		s.appendRow(message, entry.Server, member, entry.Weight)
	}
}

// appendUnregistered appends the servers without an entry that the balancer has not registered, but may still hold.
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

// appendFallback gives a relay that does not trust members, and none of whose own members has an entry, all of those that
// are ready, with equal weights. It guards against a relay without any entry because its table names servers that it does
// not accept; it does harm where its few members are the ones that are meant to rest.
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
// balancer has not registered the server.
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

// row converts a weight of the table into a row. The weight is the table's also where the registry has changed since: a
// weight that no version of the table stands for would not be corrected when the registry changes back.
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
