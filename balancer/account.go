package balancer

import (
	"cmp"
	"math"
	"slices"
)

// entries returns the entries of a table in the order of server positions.
func (b *Balancer) entries(table *weightTable) []tableEntry {
	entries := make([]tableEntry, 0, len(table.weights))
	for address, weight := range table.weights {
		entries = append(entries, tableEntry{server: b.serverByAddress[address], weight: weight})
	}
	slices.SortFunc(entries, func(left, right tableEntry) int {
		return cmp.Compare(left.server.position, right.server.position)
	})
	return entries
}

// weightOf returns the weight of a server in entries that are ordered by server position, or 0 if the
// server has no entry.
func weightOf(entries []tableEntry, srv *server) float64 {
	i, found := slices.BinarySearchFunc(entries, srv, func(entry tableEntry, srv *server) int {
		return cmp.Compare(entry.server.position, srv.position)
	})
	if !found {
		return 0
	}
	return entries[i].weight
}

// weightChanges merges the current entries of a table with the wanted ones, which must be ordered by
// server position. It returns one change for each server that appears in either, including servers
// whose weight stays the same.
func (b *Balancer) weightChanges(table *weightTable, wanted []tableEntry) []weightChange {
	var changes []weightChange
	for _, existing := range b.entries(table) {
		for len(wanted) > 0 && wanted[0].server.position < existing.server.position {
			changes = append(changes, weightChange{server: wanted[0].server, wanted: wanted[0].weight})
			wanted = wanted[1:]
		}
		change := weightChange{server: existing.server, current: existing.weight}
		if len(wanted) > 0 && wanted[0].server == existing.server {
			change.wanted = wanted[0].weight
			wanted = wanted[1:]
		}
		changes = append(changes, change)
	}
	for _, entry := range wanted {
		changes = append(changes, weightChange{server: entry.server, wanted: entry.weight})
	}
	return changes
}

// sortKey is the descending sort key of changes: the largest are sent first, removals last.
func (c weightChange) sortKey() float64 {
	return math.Abs(c.wanted-c.current) * min(c.wanted, 1)
}

// apply updates the table with a change that has been sent.
func (table *weightTable) apply(change weightChange) {
	if change.wanted == 0 {
		delete(table.weights, change.server.Server)
		return
	}
	table.weights[change.server.Server] = change.wanted
}

// requestAck requests an acknowledgement from every proxy that is sent a message in this round. size is
// the number of entries that the round has put into the channel.
func (b *Balancer) requestAck(size float64, sink CommandSink) {
	c := &b.channel
	c.lastAckID = c.lastAckID%maxAckID + 1
	if !c.inFlight.MarkBatch(int(c.lastAckID), size) {
		return
	}
	sink.RequestAck(c.lastAckID)
	for _, p := range b.proxies {
		if !p.assigned {
			continue
		}
		if p.awaitedAck == 0 { // its tables were assigned in this round, which has set its message size
			p.awaitedAck = c.lastAckID
		} else if p.group.messageSize+p.redeliveredSize > 0 {
			p.awaitedAck = c.lastAckID
			p.messageSize = p.group.messageSize + p.redeliveredSize
		}
		p.redeliveredSize = 0
	}
}

// acknowledge processes the acknowledgement of a proxy. If it is for an older message than the newest
// one to the proxy, it only proves that everything sent before the acknowledged message has left the
// channel: the size of the older message is no longer known.
func (b *Balancer) acknowledge(ack Ack) {
	if !ack.Plausible() {
		return
	}
	entries := 0.0
	if p := b.proxyByID[ack.Proxy]; p != nil && p.awaitedAck == ack.ID {
		entries = p.messageSize
	}
	b.channel.acknowledge(ack, entries)
}

// joinSize returns the size, in entries, of the message that assigns a proxy the tables of its group.
func (b *Balancer) joinSize(p *proxy) float64 {
	size := b.channel.messageCost()
	for _, table := range p.group.tables {
		size += float64(1 + len(table.weights) + len(table.admissions))
	}
	return size
}

// chargeRedelivered resets the message sizes of all groups for the new round, charges the channel for
// commands that may be delivered twice, and returns how many entries these commands take. They count as
// part of the round's message, so that its acknowledgement proves that the second copy has left the
// channel, too. The acknowledgement of the first copy does not prove that.
func (b *Balancer) chargeRedelivered(now float64, redelivered Redelivered) (written float64) {
	before := b.channel.inFlight.Outstanding()
	for _, group := range b.groups {
		group.messageSize = 0
		for _, id := range redelivered.Tables {
			if group.hasTable(id) {
				b.chargeEntry(now, group)
			}
		}
	}
	for _, p := range b.proxies {
		if p.assigned && slices.Contains(redelivered.Proxies, p.Proxy) {
			p.redeliveredSize = b.joinSize(p)
			b.channel.charge(now, p.redeliveredSize)
		}
	}
	return b.channel.inFlight.Outstanding() - before
}

// hasTable reports whether the group has the given table.
func (group *proxyGroup) hasTable(id Table) bool {
	return slices.ContainsFunc(group.tables, func(table *weightTable) bool { return table.id == id })
}

// chargeEntry charges one entry for each proxy of a group, plus the message overhead if it is the first
// entry of the round.
func (b *Balancer) chargeEntry(now float64, group *proxyGroup) {
	size := 1.0
	if group.messageSize == 0 {
		size += b.channel.messageCost()
		if group.assignedProxies > 0 {
			group.messages.Add(now, b.channel.MessageWindow)
		}
	}
	group.messageSize += size
	b.channel.charge(now, size*group.assignedProxies)
}
