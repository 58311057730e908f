package controlplane

import (
	"snowquay/balancer"
	"snowquay/internal/core/pacing"
	"snowquay/internal/core/tables"
)

// Frontend implements a protocol for communication with proxies. The Fleet calls it, and it may call the Fleet during
// such a call.
type Frontend interface {
	// Deliver sends the newest state to a proxy and calls MarkSent. If it sends nothing, it calls SkipUpdate, Suspend
	// or Disconnect instead.
	Deliver(now float64, proxy *Proxy)
	// Displaced notifies the frontend that the proxy has joined through another frontend or connection, or was evicted.
	// The frontend closes its own connection and makes no further calls to the Fleet for it.
	Displaced(now float64, proxy *Proxy)
}

const (
	urgentOnlyBacklogSeconds = 0.25 // backlog of the channel above which urgent changes are sent ahead of the others
	urgentOnlyMinMessages    = 3    // messages left within the limit below which all changes are sent together
)

// NextDue returns the proxy that is due for a message; ok is false if there is none. The caller sends the message and
// calls MarkSent. A proxy that has not acknowledged its last message is skipped, so that no messages queue up behind a
// slow reader.
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

// SendDue has the frontends send all messages that are due.
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

// Suspend defers the updates of a proxy that cannot receive a message now, until Resume.
func (f *Fleet) Suspend(proxy *Proxy) { f.sendQueue.Suspend(proxy.ID) }

// Resume ends a Suspend.
func (f *Fleet) Resume(now float64, proxy *Proxy) {
	if proxy.Joined && !proxy.inFlight {
		f.sendQueue.Resume(now, proxy.ID)
	}
}

// SetPolling sets whether a proxy polls for its tables or receives them by push.
func (f *Fleet) SetPolling(now float64, proxy *Proxy, polls bool) {
	proxy.Polls = polls
	if polls {
		return
	}
	for class := range proxy.Tables {
		f.ScheduleFull(now, proxy, balancer.Class(class), 1)
	}
}

// ScheduleFull schedules the full table of a class for a proxy that has changed its own state, for example by
// registering members or a group. The entries are the expected size of the message.
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

// ObserveVersions records the table versions that a proxy says it holds, by class; 0 stands for no known version.
// Changes sent after these versions are considered lost and are scheduled again.
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

// sendsUrgentOnly reports whether a proxy's next message omits the changes after the last urgent one. On a busy channel
// this sends all drains first, so that they are not delayed by the weights in messages to other proxies. The cost is a
// second message. Therefore it is not done for a proxy close to its message limit, nor if the only entries with a weight
// are among the omitted changes.
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

// targetVersion returns the version to which a proxy's next message updates a class.
func (f *Fleet) targetVersion(proxy *Proxy, state *TableState) tables.Version {
	if proxy.urgentOnly {
		return max(f.tables[state.Table].urgentVersion, state.SentVersion)
	}
	return f.wantedVersion(state)
}

// MarkSent records that a message with the newest state of all assigned classes was sent to a proxy. The frontend calls
// MarkDelivered once the proxy has acknowledged it.
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
	if proxy.trace.DecidedAt == 0 { // caused by the proxy itself: it registered members, or polled
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

// SkipUpdate records that the proxy that was due needs no message, since it holds the newest state.
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

// MarkDelivered records that a proxy has acknowledged the message in flight. This answers the acknowledgement requests
// of the decision module that went with the message.
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
		proxy.urgentSince = max(proxy.urgentSince, proxy.inFlightSince) // the change came after that message was sent
	}
}
