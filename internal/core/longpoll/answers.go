package longpoll

import (
	"iter"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tables"
)

const (
	pollWithinFraction  = 0.5 // of the poll gap, within which a proxy must poll again
	admissionRetryAfter = 2.0 // seconds after which a rejected client may retry; by then load reports show the last one
)

// Entry is a server's entry in an answer. A weight of 0 removes the server.
type Entry struct {
	Server   balancer.Server
	Weight   float64
	Draining bool // it is removed because it drains
}

// Class is the part of an answer for one request class.
type Class struct {
	Class        balancer.Class
	Full         bool // the entries are the whole table: the proxy drops all others
	Entries      []Entry
	HasAdmission bool // Admission, Retry and RetryAfter are set
	Admission    float64
	Retry        balancer.RetryPolicy
	RetryAfter   float64 // seconds after which a rejected client may retry; 0: none was rejected
}

// Answer answers a poll. If it has no classes, nothing is newer than the version that the poll named, and the proxy keeps
// what it holds.
type Answer struct {
	Epoch          uint64
	Version        uint64
	Base           uint64 // version that the proxy must hold, or a later one, to apply the answer; 0: any
	Classes        []Class
	PollWithin     float64 // seconds within which the proxy must poll again
	OwnershipEpoch uint64  // epoch of proxy ownership; the proxy drops the answer if it has followed a newer one
}

// Deliver answers the parked poll of a proxy whose turn has come. It implements controlplane.Frontend.
func (s *Server) Deliver(now float64, proxy *controlplane.Proxy) {
	client := s.byProxy[proxy.ID]
	if client == nil || client.poll == 0 {
		s.fleet.Suspend(proxy)
		return
	}
	limit := s.limits.MaxUnacknowledged
	if s.fleet.HasUrgent(proxy) {
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

// sendUpdate answers a parked poll with the newest state. If nothing differs from what the proxy holds, the poll stays
// parked.
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

// appendClass appends a class to the answer, unless nothing of it changed, and returns the number of its entries, in which
// admission settings count as one.
func (s *Server) appendClass(client *clientState, class balancer.Class) int {
	changed, full, ok := s.fleet.Delta(client.proxy, class)
	if !ok {
		return 0
	}
	// Removed servers count in a delta, so that it may be longer than the whole table.
	if full || s.fleet.MayHoldStale(client.proxy, class) || hasMoreThan(changed, s.fleet.TableSize(client.proxy, class)) {
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

// addClass extends the answer by a class, with the memory for entries that an earlier answer used in its place.
func (s *Server) addClass(class balancer.Class, full bool) *Class {
	count := len(s.answer.Classes)
	s.answer.Classes = slices.Grow(s.answer.Classes, 1)[:count+1]
	added := &s.answer.Classes[count]
	*added = Class{Class: class, Full: full, Entries: added.Entries[:0]}
	return added
}

// appendEntries appends table entries. Those with a weight come before those without, for proxies that apply them one by
// one.
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

// reply ends a parked poll with the answer.
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

// hasMoreThan reports whether there are more than limit entries, without counting them all.
func hasMoreThan(entries iter.Seq[*tables.Entry], limit int) bool {
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
