package controlplane

import (
	"iter"
	"strings"

	"snowquay/balancer"
	"snowquay/internal/core/pacing"
	"snowquay/internal/core/tables"
)

const (
	drainsFirst  = 0.25 // seconds of waiting lines, over which drains leave ahead of weights
	keepMessages = 3    // that a proxy may still be sent, or its drain and weights travel together
)

// NextDue is the proxy that is to get a message now; ok is false if none is. The front sends and says Sent. A proxy
// whose last message has not been taken is passed over until it was, so nothing queues behind a slow reader.
func (f *Fleet) NextDue(now float64) (p *Proxy, ok bool) {
	for {
		id, ok := f.out.Next(now)
		if !ok {
			return nil, false
		}
		p := f.proxies[id]
		switch {
		case p == nil || !p.Joined || p.Polls:
			f.out.Forget(id)
		case p.away:
			f.out.Suspend(id)
		default:
			p.ahead = f.drainsAhead(p)
			return p, true
		}
	}
}

// SendDue lets the fronts send all that is due.
func (f *Fleet) SendDue(now float64) {
	for {
		p, ok := f.NextDue(now)
		if !ok {
			return
		}
		if f.may != nil && !f.may(now, p.UID) {
			f.evict(now, p)
			continue
		}
		p.front.Deliver(now, p)
	}
}

// Suspend says that the proxy whose turn it is can't be sent to now; it keeps what it waits for until Ready.
func (f *Fleet) Suspend(p *Proxy) { f.out.Suspend(p.ID) }

// Resume ends a Wait.
func (f *Fleet) Resume(now float64, p *Proxy) {
	if p.Joined && !p.away {
		f.out.Resume(now, p.ID)
	}
}

// NeedsUpdate tells whether a proxy was not sent the newest state of a class that it is bound to.
func (f *Fleet) NeedsUpdate(p *Proxy) bool {
	for c := range p.Tables {
		if h := &p.Tables[c]; h.Bound && (h.Full || h.SentVersion != f.tables[h.Table].Version()) {
			return true
		}
	}
	return false
}

// ObserveVersions takes what a proxy itself says that it holds, by class; 0: nothing that is known. What was sent beyond that is
// lost, and due again.
func (f *Fleet) ObserveVersions(now float64, p *Proxy, versions []tables.Version) {
	p.away = false
	for c := range p.Tables {
		h := &p.Tables[c]
		if h.SentVersion, h.AckedVersion = versions[c], versions[c]; h.Bound && h.SentVersion == 0 && !h.Full {
			f.ScheduleFull(now, p, balancer.Class(c), float64(f.tables[h.Table].Len()))
		}
	}
	turn := pacing.Ordinary
	if p.urgent {
		turn = pacing.Urgent
	}
	if f.NeedsUpdate(p) && !f.out.IsQueued(p.ID) {
		f.wait(now, p, 1, turn)
	}
}

// AdmissionsSince are the levels of a class that changed after what the proxy was sent; all of them if full.
func (f *Fleet) AdmissionsSince(p *Proxy, c balancer.Class, full bool) (changed []tables.Admission) {
	h := &p.Tables[c]
	if !h.Bound {
		return nil
	}
	for _, l := range f.tables[h.Table].Admissions() {
		if l.Class == c && (full || l.Changed > h.SentVersion) {
			changed = append(changed, l)
		}
	}
	return changed
}

// drainsAhead tells whether a proxy's urgent message leaves out what changed after the drain. Guards against drains
// that wait for each other because weights of the same tables fill their messages: a busy channel first takes all drains,
// then the weights. The cost is a second message; it is not done for a proxy that has few left, nor where only lines that
// changed later would be left to it.
func (f *Fleet) drainsAhead(p *Proxy) bool {
	waiting, _ := f.out.TotalQueued()
	if !p.urgent || waiting < f.site.Channel.EntriesPerSecond*drainsFirst || f.out.MessagesLeft(p.ID) < keepMessages {
		return false
	}
	for c := range p.Tables {
		h := &p.Tables[c]
		if !h.Bound || h.Full || h.SentVersion == 0 {
			return false
		}
		if w := f.tables[h.Table]; !w.CanDelta(h.SentVersion) || w.drained > h.SentVersion && !w.HasEntryUpTo(w.drained) {
			return false
		}
	}
	return true
}

// upTo is the version that a proxy's next message brings a class to.
func (f *Fleet) upTo(p *Proxy, h *HeldTable) tables.Version {
	if w := f.tables[h.Table]; !p.ahead {
		return w.Version()
	} else {
		return max(w.drained, h.SentVersion)
	}
}

// Delta is what a proxy must be told of a class to hold the newest table: all lines if full (those without weight are
// then left out), else those that changed, newest first. ok is false if the module has not bound it yet.
func (f *Fleet) Delta(p *Proxy, c balancer.Class) (lines iter.Seq[*tables.Entry], full, ok bool) {
	h := &p.Tables[c]
	if !h.Bound {
		return nil, false, false
	}
	w := f.tables[h.Table]
	if h.Full || !w.CanDelta(h.SentVersion) {
		return w.ChangedSince(0), true, true
	}
	return w.ChangedBetween(h.SentVersion, f.upTo(p, h)), false, true
}

// MayHoldStale tells whether a proxy may hold lines that no delta and no registration names: it has them from a table that
// it is no longer on, or from so long ago that their removal is forgotten. It must be told that every server without
// a line has none.
func (f *Fleet) MayHoldStale(p *Proxy, c balancer.Class) bool {
	h := &p.Tables[c]
	return h.Stale || h.Bound && h.SentVersion > 0 && !f.tables[h.Table].CanDelta(h.SentVersion)
}

// Notified tells whether a proxy was sent anything of a class since it joined.
func (f *Fleet) Notified(p *Proxy, c balancer.Class) bool { return p.Tables[c].SentVersion > 0 }

// FullTable is a class's whole table, as Delta with full, whatever the proxy holds.
func (f *Fleet) FullTable(p *Proxy, c balancer.Class) (lines iter.Seq[*tables.Entry], ok bool) {
	if h := &p.Tables[c]; h.Bound {
		return f.tables[h.Table].ChangedSince(0), true
	}
	return nil, false
}

// Weight that the module wants for a proxy's class at a server; 0: no line.
func (f *Fleet) Weight(p *Proxy, c balancer.Class, s balancer.Server) float64 {
	if h := &p.Tables[c]; h.Bound {
		return f.tables[h.Table].Weight(s)
	}
	return 0
}

// TableSize is the number of lines of a class's table.
func (f *Fleet) TableSize(p *Proxy, c balancer.Class) int {
	if h := &p.Tables[c]; h.Bound {
		return f.tables[h.Table].Len()
	}
	return 0
}

// ScheduleFull makes a class due in full, for a proxy whose holding changed by its own doing: it registered members, or a
// group. lines is what that will cost.
func (f *Fleet) ScheduleFull(now float64, p *Proxy, c balancer.Class, lines float64) {
	h := &p.Tables[c]
	if f.site.DisabledGuards[GuardRejoin] && h.SentVersion > 0 {
		return
	}
	if h.Full = true; h.Bound && !p.Polls && p.Joined {
		f.wait(now, p, lines, pacing.Ordinary)
	}
}

// MarkSent says that a message with the newest state of the classes in which the proxy is bound left for it. The front
// says Taken when the proxy has it.
func (f *Fleet) MarkSent(now float64, p *Proxy, lines int) {
	full, left := false, 0.0
	for c := range p.Tables {
		if h := &p.Tables[c]; h.Bound {
			full = full || h.Full
			h.SentVersion, h.Full, h.Stale = f.upTo(p, h), false, false
			for range f.tables[h.Table].ChangedSince(h.SentVersion) {
				left++
			}
		}
	}
	f.out.MarkSent(now, p.ID, float64(lines))
	p.ahead = false
	if p.trace.DecidedAt == 0 { // the proxy's own doing: it registered members, or asked
		p.trace.DecidedAt = now
	}
	if left > 0 && !p.Polls {
		p.second = p.trace
		f.out.Suspend(p.ID)
		f.out.Add(now, p.ID, left, pacing.Ordinary)
	}
	p.away, p.awayAt = true, now
	p.riding, p.marks = append(p.riding[:0], p.marks...), p.marks[:0]
	f.Stats.Messages++
	f.Stats.Entries += lines
	if full {
		f.Stats.FullTables++
	}
	t := &p.trace
	t.Proxy, t.UID, t.Entries, t.Full, t.Urgent, t.SentAt = p.ID, p.UID, lines, full, p.urgent, now
}

// SkipUpdate says that the proxy whose turn it was needs no message after all: it holds the newest state.
func (f *Fleet) SkipUpdate(now float64, p *Proxy) {
	f.out.Drop(p.ID)
	for c := range p.Tables {
		if h := &p.Tables[c]; h.Bound {
			h.SentVersion, h.Full, h.Stale = f.tables[h.Table].Version(), false, false
		}
	}
	p.riding, p.marks = append(p.riding, p.marks...), p.marks[:0]
	f.MarkDelivered(now, p)
}

// MarkDelivered says that the proxy has what was sent to it. Marks are answered by it.
func (f *Fleet) MarkDelivered(now float64, p *Proxy) {
	if !p.Joined {
		return
	}
	for c := range p.Tables {
		p.Tables[c].AckedVersion = p.Tables[c].SentVersion
	}
	if p.away {
		p.taken[p.told] = delivered{p.awayAt, now}
		p.told = (p.told + 1) % keptTaken
	}
	for _, m := range p.riding {
		f.news.Acks = append(f.news.Acks, balancer.Ack{Proxy: p.ID, ID: m.mark, Latency: now - m.given})
	}
	if f.done(p, now); p.away {
		p.away = false
		f.out.Resume(now, p.ID)
	}
	p.riding = p.riding[:0]
	if p.urgent = p.urgent && f.out.IsUrgent(p.ID); p.urgent {
		p.urgentAt = max(p.urgentAt, p.awayAt) // it came after that message had left
	}
}

// done closes the trace of a message; held 0: it was never known to be held.
func (f *Fleet) done(p *Proxy, held float64) {
	if p.trace.SentAt > 0 {
		if p.trace.AckedAt = held; len(f.orders) < f.site.Limits.MaxTraces {
			f.orders = append(f.orders, p.trace)
		}
		p.trace, p.second = p.second, MessageTrace{}
	}
}

// TakeTraces hands out the traces of messages that came to an end since the last call.
func (f *Fleet) TakeTraces() []MessageTrace {
	o := f.orders
	f.orders = nil
	return o
}

// DisconnectReason tells whether a proxy must be cut off, and why: it has not taken its message for too long, a drain has waited
// for most of its grace, or its own reports show that it does not do as it was told. Guards against a relay that goes on
// sending to a server that drains because it does not read, or reads and does not apply; once it dials again it gets the
// newest table first. It does harm to a relay that is only slow to acknowledge.
func (f *Fleet) DisconnectReason(now float64, p *Proxy) (why string) {
	if why := f.Noncompliance(p); why != "" {
		return why
	}
	switch l := f.site.Limits; {
	case !p.Joined:
	case p.away && now-p.awayAt > l.StallTimeout:
		f.Stats.Stalled++
		return "it has not taken a message for longer than it may"
	case p.away || p.Polls:
		return f.DrainOverdue(now, p)
	}
	return ""
}

// DrainOverdue tells whether a drain has waited for a proxy for most of its grace.
func (f *Fleet) DrainOverdue(now float64, p *Proxy) string {
	if p.Joined && p.urgent && now-p.urgentAt > f.site.Limits.DrainFraction*f.site.Guarantees.DrainDeadline &&
		!f.site.DisabledGuards[GuardOverdue] {
		f.Stats.Overdue++
		return "a drain has waited for most of its grace"
	}
	return ""
}

// Noncompliance tells whether a proxy's reports show that it does not do as it was told.
func (f *Fleet) Noncompliance(p *Proxy) string {
	if !p.Joined || p.defies == "" {
		return ""
	}
	f.Stats.Noncompliant++
	return "it reports queries to " + string(p.defies) + ", which it was told to leave"
}

// HasUrgent tells whether a drain waits for a proxy.
func (f *Fleet) HasUrgent(p *Proxy) bool { return p.urgent }

// Listed tells whether a relay may join at all.
func (f *Fleet) Listed(uid string) bool {
	_, ok := f.listed[uid]
	return ok || f.site.AllowUnlisted && strings.HasPrefix(uid, f.site.UIDPrefix)
}

// InFlight tells whether a message is on its way to the proxy.
func (p *Proxy) InFlight() bool { return p.away }

// QueuedEntries is the number of lines that wait in the channel, and the most that ever did.
func (f *Fleet) QueuedEntries() (now, peak float64) { return f.out.TotalQueued() }

// Joined is the number of proxies that are joined.
func (f *Fleet) Joined() int { return f.joined }

// UpToDate counts the joined proxies that are known to hold the newest tables of all classes.
func (f *Fleet) UpToDate() (n int) {
	for _, p := range f.proxies {
		all := p.Joined
		for c := range p.Tables {
			h := &p.Tables[c]
			all = all && h.Bound && !h.Full && h.AckedVersion == f.tables[h.Table].Version()
		}
		if all {
			n++
		}
	}
	return n
}
