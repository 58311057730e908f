package longpoll

import (
	"iter"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tables"
)

const (
	pollWithinFraction  = 0.5 // fraction of the poll gap within which a proxy must poll again
	admissionRetryAfter = 2.0 // seconds after which a rejected client may retry; by then load reports include the rejected request
)

// Entry is a table entry in an answer. A weight of 0 removes the server.
type Entry struct {
	Server   balancer.Server
	Weight   float64
	Draining bool // the server is removed because it is draining
}

// Class is the part of an answer for one request class.
type Class struct {
	Class        balancer.Class
	Full         bool // Entries is the whole table: the proxy removes all other entries
	Entries      []Entry
	HasAdmission bool // Admission, Retry and RetryAfter are set
	Admission    float64
	Retry        balancer.RetryPolicy
	RetryAfter   float64 // seconds after which a rejected client may retry; 0: all requests are admitted
}

// Answer is the answer to a poll. Without classes, it means that nothing is newer than the version that the poll named,
// and that the proxy keeps its tables.
type Answer struct {
	Epoch          uint64
	Version        uint64
	Base           uint64 // lowest version to which the proxy may apply the answer; 0: any state
	Classes        []Class
	PollWithin     float64 // the proxy must poll again within this number of seconds
	OwnershipEpoch uint64  // epoch of the proxy's ownership; a proxy that has followed a newer one discards the answer
}

// Deliver answers the parked poll of a proxy that the channel's pacing now allows to be updated. It implements
// controlplane.Frontend.
func (s *Server) Deliver(now float64, proxy *controlplane.Proxy) {
	client := s.byProxy[proxy.ID]
	if client == nil || client.poll == 0 {
		s.fleet.Suspend(proxy)
		return
	}
	limit := s.limits.MaxUnacknowledged
	if s.fleet.HasUrgentChange(proxy) {
		limit += s.limits.DrainReserve
	}
	if s.unacknowledged >= limit {
		client.heldBack = true
		s.fleet.Suspend(proxy)
		return
	}
	if !s.fleet.NeedsUpdate(proxy) {
		s.fleet.SkipUpdate(now, proxy)
		return
	}
	s.sendUpdate(now, client)
}

// sendUpdate answers a parked poll with the newest state. The poll stays parked if the proxy already holds that state.
func (s *Server) sendUpdate(now float64, client *clientState) {
	s.answer.Base = 0
	s.answer.Classes = s.answer.Classes[:0]
	entries := 0
	for i := range client.proxy.Tables {
		entries += s.appendClass(client, balancer.Class(i))
	}
	if len(s.answer.Classes) == 0 {
		s.fleet.SkipUpdate(now, client.proxy)
		return
	}
	s.fleet.MarkSent(now, client.proxy, entries)
	s.recordSent(client)
	s.reply(now, client)
}

// appendClass appends a class to the answer, unless it is unchanged. It returns the number of entries that were added;
// admission settings count as one entry.
func (s *Server) appendClass(client *clientState, class balancer.Class) int {
	changed, full, ok := s.fleet.Delta(client.proxy, class)
	if !ok {
		return 0
	}
	// A delta also lists removed servers, so it may be longer than the whole table.
	if full || s.fleet.MayHoldStaleEntries(client.proxy, class) || exceedsCount(changed, s.fleet.TableSize(client.proxy, class)) {
		full = true
		changed, _ = s.fleet.FullTable(client.proxy, class)
	}
	added := s.addClass(class, full)
	s.appendEntries(added, changed)
	s.setAdmission(added, client)
	if !full {
		s.answer.Base = client.baseVersion
	}
	switch {
	case full:
		s.Stats.FullTables++
	case len(added.Entries) == 0 && !added.HasAdmission:
		s.answer.Classes = s.answer.Classes[:len(s.answer.Classes)-1]
		return 0
	default:
		s.Stats.Deltas++
	}
	return len(added.Entries) + boolToInt(added.HasAdmission)
}

// addClass appends a class without entries to the answer. It reuses the memory of the entries that an earlier answer
// had in this position.
func (s *Server) addClass(class balancer.Class, full bool) *Class {
	count := len(s.answer.Classes)
	s.answer.Classes = slices.Grow(s.answer.Classes, 1)[:count+1]
	added := &s.answer.Classes[count]
	*added = Class{Class: class, Full: full, Entries: added.Entries[:0]}
	return added
}

// appendEntries appends table entries. Entries with a weight precede removals, so that a proxy which applies them one
// by one does not run out of servers in between.
func (s *Server) appendEntries(added *Class, changed iter.Seq[*tables.Entry]) {
	for entry := range changed {
		removed := entry.Weight == 0
		if removed && added.Full {
			continue
		}
		phase, _ := s.fleet.Registry.Phase(entry.Server)
		added.Entries = append(added.Entries, Entry{
			Server:   entry.Server,
			Weight:   entry.Weight,
			Draining: removed && phase == balancer.Draining,
		})
	}
	slices.SortStableFunc(added.Entries, func(a, b Entry) int { return boolToInt(b.Weight > 0) - boolToInt(a.Weight > 0) })
}

func (s *Server) setAdmission(added *Class, client *clientState) {
	for _, admission := range s.fleet.AdmissionsSince(client.proxy, added.Class, added.Full) {
		added.HasAdmission = true
		added.Admission = admission.Rate
		added.Retry = admission.Retry
		added.RetryAfter = 0
		if admission.Rate < 1 {
			added.RetryAfter = admissionRetryAfter
		}
	}
}

// reply sends the answer to a client's parked poll.
func (s *Server) reply(now float64, client *clientState) {
	id := client.poll
	s.clearPoll(client)
	client.answeredAt = now
	s.Stats.Answers++
	s.answer.Epoch = s.epoch
	s.answer.Version = client.version
	s.answer.PollWithin = s.limits.PollGap * pollWithinFraction
	s.answer.OwnershipEpoch = s.fleet.OwnershipEpoch()
	s.handler.Answer(id, &s.answer)
}

// exceedsCount reports whether there are more than limit entries. It stops counting at the limit.
func exceedsCount(entries iter.Seq[*tables.Entry], limit int) bool {
	count := 0
	for range entries {
		count++
		if count > limit {
			return true
		}
	}
	return false
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
