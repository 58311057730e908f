package picker

import (
	"snowquay/balancer"
	"snowquay/internal/core/indexedheap"
	"snowquay/internal/core/random"
)

// EarliestDeadlineFirst picks by earliest deadline first, a weighted round robin: each server is due again after the inverse of its weight,
// and the one that is due first is picked. In any run of picks a server gets its proportion, give or take one. It is the stride
// scheduling of Waldspurger and Weihl (1995), as in Envoy's and gRPC's EDF schedulers. Use NewEarliestDeadlineFirst.
type EarliestDeadlineFirst struct {
	entries map[balancer.Server]*scheduledEntry
	queue   indexedheap.Heap[*scheduledEntry] // the entry that is due first is first
	time    float64                           // virtual: a server is due every 1/weight
	random  random.LCG
	skipped []*scheduledEntry // by the current pick
}

type scheduledEntry struct {
	indexedheap.Position
	server balancer.Server
	weight float64
	due    float64 // virtual time
}

// Less reports whether the entry is due before another one.
func (e *scheduledEntry) Less(other *scheduledEntry) bool {
	return e.due < other.due || e.due == other.due && e.server < other.server
}

// NewEarliestDeadlineFirst returns an empty table. The seed decides when new servers are first due.
func NewEarliestDeadlineFirst(seed uint64) *EarliestDeadlineFirst {
	return &EarliestDeadlineFirst{entries: map[balancer.Server]*scheduledEntry{}, random: random.NewLCG(seed)}
}

// Set implements Table. A new server is first due at a random time within its interval, so that the proxies that learn of it at the
// same time do not all send their next request there. One whose weight changes keeps the fraction of its interval that is left.
func (t *EarliestDeadlineFirst) Set(server balancer.Server, weight float64) {
	entry := t.entries[server]
	switch {
	case !validWeight(weight):
		if entry != nil {
			delete(t.entries, server)
			t.queue.Remove(entry)
		}
	case entry == nil:
		entry = &scheduledEntry{server: server, weight: weight, due: t.time + t.random.Float()/weight}
		t.entries[server] = entry
		t.queue.Push(entry)
	case entry.weight != weight:
		entry.due = t.time + max(entry.due-t.time, 0)*entry.weight/weight
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

// Pick implements Table. Servers that are not allowed stay due, but for one pick only: once they are allowed again, they do not get all
// that they missed at once.
func (t *EarliestDeadlineFirst) Pick(allowed func(balancer.Server) bool) (server balancer.Server, ok bool) {
	picked := t.firstAllowed(allowed)
	if picked != nil {
		t.time = max(t.time, picked.due)
		picked.due = t.time + 1/picked.weight
		t.queue.Fix(picked)
	}
	for _, entry := range t.skipped {
		entry.due = max(entry.due, t.time)
		t.queue.Push(entry)
	}
	t.skipped = t.skipped[:0]
	if picked == nil {
		return "", false
	}
	return picked.server, true
}

// firstAllowed returns the entry that is due first of those that are allowed, nil if there is none. It moves those before it from the
// queue to skipped.
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
