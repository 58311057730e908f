package controlplane

import (
	"snowquay/balancer"
	"snowquay/internal/core/pacing"
	"snowquay/internal/core/tables"
)

// Frontend speaks a protocol to proxies. The Fleet calls it, and it may call the Fleet meanwhile.
type Frontend interface {
	// Deliver sends a proxy its newest state and calls MarkSent, or calls SkipUpdate, Suspend or Disconnect.
	Deliver(now float64, proxy *Proxy)
	// Displaced says that the proxy joined by another frontend or connection, or was evicted. The frontend closes
	// its own connection and calls the Fleet no more for it.
	Displaced(now float64, proxy *Proxy)
}

const (
	urgentOnlyBacklogSeconds = 0.25 // of waiting entries, above which urgent changes leave ahead of the others
	urgentOnlyMinMessages    = 3    // that the message limit must still allow, or all changes go together
)

// NextDue is the proxy that gets a message now; ok is false if none does. The caller sends the message and calls
// MarkSent. A proxy that has not acknowledged its last message is passed over, so that nothing queues behind a slow
// reader.
func (f *Fleet) NextDue(now float64) (proxy *Proxy, ok bool) {
	for {
		id, ok := f.sendQueue.Next(now)
		if !ok {
			return nil, false
		}
		proxy := f.proxies[id]
		switch {
		case proxy == nil || !proxy.Joined || proxy.Polls:
			f.sendQueue.Forget(id)
		case proxy.inFlight:
			f.sendQueue.Suspend(id)
		default:
			proxy.urgentOnly = f.sendsUrgentOnly(proxy)
			return proxy, true
		}
	}
}

// SendDue lets the frontends send all messages that are due.
func (f *Fleet) SendDue(now float64) {
	for {
		proxy, ok := f.NextDue(now)
		if !ok {
			return
		}
		if !f.owns(now, proxy.UID) {
			f.evict(now, proxy)
			continue
		}
		proxy.frontend.Deliver(now, proxy)
	}
}

// Suspend says that the proxy that is due can't be sent to now. Its updates wait until Resume.
func (f *Fleet) Suspend(proxy *Proxy) { f.sendQueue.Suspend(proxy.ID) }

// Resume ends a Suspend.
func (f *Fleet) Resume(now float64, proxy *Proxy) {
	if proxy.Joined && !proxy.inFlight {
		f.sendQueue.Resume(now, proxy.ID)
	}
}

// SetPolling says whether a proxy polls for its tables or has them pushed.
func (f *Fleet) SetPolling(now float64, proxy *Proxy, polls bool) {
	proxy.Polls = polls
	if polls {
		return
	}
	for class := range proxy.Tables {
		f.ScheduleFull(now, proxy, balancer.Class(class), 1)
	}
}

// ScheduleFull makes the full table of a class due for a proxy whose state changed by its own doing, such as a
// registration of members or of a group. The entries are the expected size of the message.
func (f *Fleet) ScheduleFull(now float64, proxy *Proxy, class balancer.Class, entries float64) {
	state := &proxy.Tables[class]
	if f.site.DisabledGuards[GuardRejoin] && state.SentVersion > 0 {
		return
	}
	state.NeedsFull = true
	if state.Assigned && !proxy.Polls && proxy.Joined {
		f.enqueue(now, proxy, entries, pacing.Normal)
	}
}

// ObserveVersions takes the table versions that a proxy itself says it holds, by class; 0 if it holds no known one.
// What was sent beyond them is lost, and due again.
func (f *Fleet) ObserveVersions(now float64, proxy *Proxy, versions []tables.Version) {
	proxy.inFlight = false
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		state.SentVersion = versions[class]
		state.AckedVersion = versions[class]
		if state.Assigned && state.SentVersion == 0 && !state.NeedsFull {
			f.ScheduleFull(now, proxy, balancer.Class(class), float64(f.tables[state.Table].Len()))
		}
	}
	priority := pacing.Normal
	if proxy.urgent {
		priority = pacing.Urgent
	}
	if f.NeedsUpdate(proxy) && !f.sendQueue.IsQueued(proxy.ID) {
		f.enqueue(now, proxy, 1, priority)
	}
}

// sendsUrgentOnly tells whether a proxy's next message leaves out what changed after the last urgent change. On a busy
// channel all drains then go first, instead of waiting for the weights in each other's messages. The cost is a second
// message, so it is not done for a proxy close to its message limit, nor where the table would be left with entries
// that changed later only.
func (f *Fleet) sendsUrgentOnly(proxy *Proxy) bool {
	queued, _ := f.sendQueue.TotalQueued()
	if !proxy.urgent || queued < f.site.Channel.EntriesPerSecond*urgentOnlyBacklogSeconds ||
		f.sendQueue.MessagesLeft(proxy.ID) < urgentOnlyMinMessages {
		return false
	}
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		if !state.Assigned || state.NeedsFull || state.SentVersion == 0 {
			return false
		}
		table := f.tables[state.Table]
		if !table.HasDeltaSince(state.SentVersion) {
			return false
		}
		if table.urgentVersion > state.SentVersion && !table.HasEntryUpTo(table.urgentVersion) {
			return false
		}
	}
	return true
}

// targetVersion is the version to which a proxy's next message brings a class.
func (f *Fleet) targetVersion(proxy *Proxy, state *TableState) tables.Version {
	if proxy.urgentOnly {
		return max(f.tables[state.Table].urgentVersion, state.SentVersion)
	}
	return f.wantedVersion(state)
}

// MarkSent says that a message with the newest state of all assigned classes was sent to a proxy. The frontend calls
// MarkDelivered when the proxy has acknowledged it.
func (f *Fleet) MarkSent(now float64, proxy *Proxy, entries int) {
	full := false
	remaining := 0.0
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		if !state.Assigned {
			continue
		}
		full = full || state.NeedsFull
		state.SentVersion = f.targetVersion(proxy, state)
		state.NeedsFull = false
		state.Stale = false
		for range f.tables[state.Table].ChangedSince(state.SentVersion) {
			remaining++
		}
	}
	f.sendQueue.MarkSent(now, proxy.ID, float64(entries))
	proxy.urgentOnly = false
	if proxy.trace.DecidedAt == 0 { // the proxy's own doing: it registered members, or polled
		proxy.trace.DecidedAt = now
	}
	if remaining > 0 && !proxy.Polls {
		proxy.followUpTrace = proxy.trace
		f.sendQueue.Suspend(proxy.ID)
		f.sendQueue.Add(now, proxy.ID, remaining, pacing.Normal)
	}
	proxy.inFlight = true
	proxy.inFlightSince = now
	proxy.inFlightAcks = append(proxy.inFlightAcks[:0], proxy.queuedAcks...)
	proxy.queuedAcks = proxy.queuedAcks[:0]
	f.Stats.Messages++
	f.Stats.Entries += entries
	if full {
		f.Stats.FullTables++
	}
	proxy.trace.markSent(now, proxy, entries, full)
}

// SkipUpdate says that the proxy that was due needs no message: it holds the newest state.
func (f *Fleet) SkipUpdate(now float64, proxy *Proxy) {
	f.sendQueue.Drop(proxy.ID)
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		if state.Assigned {
			state.SentVersion = f.wantedVersion(state)
			state.NeedsFull = false
			state.Stale = false
		}
	}
	proxy.inFlightAcks = append(proxy.inFlightAcks, proxy.queuedAcks...)
	proxy.queuedAcks = proxy.queuedAcks[:0]
	f.MarkDelivered(now, proxy)
}

// MarkDelivered says that a proxy has acknowledged what was sent to it. The acknowledgements that the decision module
// asked for are answered by it.
func (f *Fleet) MarkDelivered(now float64, proxy *Proxy) {
	if !proxy.Joined {
		return
	}
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		state.AckedVersion = state.SentVersion
	}
	if proxy.inFlight {
		proxy.deliveries.add(proxy.inFlightSince, now)
	}
	for _, request := range proxy.inFlightAcks {
		f.pendingEvents.Acks = append(f.pendingEvents.Acks,
			balancer.Ack{Proxy: proxy.ID, ID: request.id, Latency: now - request.requestedAt})
	}
	f.finishTrace(proxy, now)
	if proxy.inFlight {
		proxy.inFlight = false
		f.sendQueue.Resume(now, proxy.ID)
	}
	proxy.inFlightAcks = proxy.inFlightAcks[:0]
	proxy.urgent = proxy.urgent && f.sendQueue.IsUrgent(proxy.ID)
	if proxy.urgent {
		proxy.urgentSince = max(proxy.urgentSince, proxy.inFlightSince) // it came after that message was sent
	}
}
