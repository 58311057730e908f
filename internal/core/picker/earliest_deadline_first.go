package picker

import (
	"snowquay/balancer"
	"snowquay/internal/core/finite"
	"snowquay/internal/core/indexedheap"
	"snowquay/internal/core/random"
)

// EarliestDeadlineFirst is a Table that picks by earliest deadline first, a weighted round robin: a picked server is due again after an
// interval of virtual time that is the inverse of its weight, and the server that is due first is picked. In any sequence of picks a server
// gets its proportion, plus or minus one. This is the stride scheduling of Waldspurger and Weihl (1995), as in the EDF schedulers of Envoy
// and gRPC. It must be created with NewEarliestDeadlineFirst.
type EarliestDeadlineFirst struct {
	entries     map[balancer.Server]*scheduledEntry
	queue       indexedheap.Heap[*scheduledEntry] // ordered by nextDue
	virtualTime float64                           // time at which the latest picked server was due; a server is due every 1/weight
	random      random.LCG
	skipped     []*scheduledEntry // entries skipped by the current pick
}

// scheduledEntry is a table entry with the virtual time at which it is due.
type scheduledEntry struct {
	indexedheap.Position
	server  balancer.Server
	weight  float64
	nextDue float64 // virtual time
}

// Less reports whether the entry is due before another one. Entries that are due at the same time are ordered by server.
func (e *scheduledEntry) Less(other *scheduledEntry) bool {
	return e.nextDue < other.nextDue || e.nextDue == other.nextDue && e.server < other.server
}

// NewEarliestDeadlineFirst returns an empty table. The seed determines when new servers are first due.
func NewEarliestDeadlineFirst(seed uint64) *EarliestDeadlineFirst {
	return &EarliestDeadlineFirst{entries: map[balancer.Server]*scheduledEntry{}, random: random.NewLCG(seed)}
}

// Set implements Table. A new server is first due at a random time within its interval, so that proxies which add it at the same time do
// not all send their next request to it. If a weight changes, the remaining fraction of the interval of its server stays the same.
func (t *EarliestDeadlineFirst) Set(server balancer.Server, weight float64) {
	entry := t.entries[server]
	switch {
	case !finite.Positive(weight):
		if entry != nil {
			delete(t.entries, server)
			t.queue.Remove(entry)
		}
	case entry == nil:
		entry = &scheduledEntry{server: server, weight: weight, nextDue: t.virtualTime + t.random.Float()/weight}
		t.entries[server] = entry
		t.queue.Push(entry)
	case entry.weight != weight:
		entry.nextDue = t.virtualTime + max(entry.nextDue-t.virtualTime, 0)*entry.weight/weight
		entry.weight = weight
		t.queue.Fix(entry)
	}
}

// Weight implements Table.
func (t *EarliestDeadlineFirst) Weight(server balancer.Server) float64 {
	if entry := t.entries[server]; entry != nil {
		return entry.weight
	}
	return 0
}

// Len implements Table.
func (t *EarliestDeadlineFirst) Len() int { return len(t.entries) }

// Entries implements Table.
func (t *EarliestDeadlineFirst) Entries() []Entry {
	all := make([]Entry, 0, len(t.entries))
	for _, entry := range t.entries {
		all = append(all, Entry{Server: entry.server, Weight: entry.weight})
	}
	sortByServer(all)
	return all
}

// Pick implements Table. Servers that are not allowed stay due, but for one pick only: when they are allowed again, they are not picked
// repeatedly to make up for the picks that they missed.
func (t *EarliestDeadlineFirst) Pick(allowed func(balancer.Server) bool) (server balancer.Server, ok bool) {
	picked := t.firstAllowed(allowed)
	if picked != nil {
		t.virtualTime = max(t.virtualTime, picked.nextDue)
		picked.nextDue = t.virtualTime + 1/picked.weight
		t.queue.Fix(picked)
	}
	for _, entry := range t.skipped {
		entry.nextDue = max(entry.nextDue, t.virtualTime)
		t.queue.Push(entry)
	}
	t.skipped = t.skipped[:0]
	if picked == nil {
		return "", false
	}
	return picked.server, true
}

// firstAllowed returns the allowed entry that is due first, or nil if there is none. It moves the entries that are due earlier from the queue
// to skipped.
func (t *EarliestDeadlineFirst) firstAllowed(allowed func(balancer.Server) bool) *scheduledEntry {
	for t.queue.Len() > 0 {
		entry := t.queue.First()
		if allowed == nil || allowed(entry.server) {
			return entry
		}
		t.queue.Remove(entry)
		t.skipped = append(t.skipped, entry)
	}
	return nil
}
