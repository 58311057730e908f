package controlplane

import (
	"errors"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// failingStore is a store whose disk is full.
type failingStore struct{ calls int }

func (s *failingStore) Save([]registry.Record) error {
	s.calls++
	return errors.New("disk full")
}

// A drain that can't be stored goes out all the same, and the failure is counted.
func TestDrainIsPublishedWhenStoreFails(t *testing.T) {
	store := &failingStore{}
	f := newFleet(t, testSite(3, 1), store)
	proxy := join(t, f, 1000, "r0", nil)
	for now := 1000.1; now < 1002; now += 0.05 {
		step(f, now)
	}
	f.Registry.SetDrain(1002, serverName(1), true)
	step(f, 1002.1)
	if f.Weight(proxy, 0, serverName(1)) != 0 || f.Stats.SaveFailures < 1 || store.calls < 1 {
		t.Errorf("weight %v, %+v", f.Weight(proxy, 0, serverName(1)), f.Stats)
	}
}

func TestIdleRoundsDoNotCallTheDecisionModule(t *testing.T) {
	f, now := startFleet(t, 3, 2)
	before := f.Stats
	for i := range 20 {
		step(f, now+0.06*float64(i+1))
	}
	if f.Stats.Rounds-before.Rounds > 6 || f.Stats.Idle == before.Idle {
		t.Errorf("%d rounds and %d idle ticks in a second without events",
			f.Stats.Rounds-before.Rounds, f.Stats.Idle-before.Idle)
	}
}

func TestMessagesAreTraced(t *testing.T) {
	f, now := startFleet(t, 3, 2)
	f.TakeTraces()
	f.Registry.SetDrain(now, serverName(1), true)
	step(f, now+0.1)
	traces := f.TakeTraces()
	if len(traces) != 2 {
		t.Fatalf("%+v", traces)
	}
	first := traces[0]
	if first.Lists != 1 || !first.Urgent || first.Round == 0 || first.DecidedAt != now+0.1 || first.AckedAt == 0 {
		t.Errorf("%+v", traces)
	}
}

// setWeights applies a decision that sets the weights of servers in all tables, and publishes it.
func setWeights(f *Fleet, now, weight float64, servers ...balancer.Server) {
	sink := &RoundSink{fleet: f, now: now}
	for id := range f.tables {
		for _, server := range servers {
			sink.SetWeight(id, server, weight)
		}
	}
	f.publishChanges(now)
}

// weightedEntries counts the entries with a weight in all tables.
func weightedEntries(f *Fleet) int {
	count := 0
	for _, table := range f.tables {
		for entry := range table.ChangedSince(0) {
			if entry.Weight > 0 {
				count++
			}
		}
	}
	return count
}

// Whatever is decided, a table in use keeps an entry of a server that is ready and warmed up. Servers that drain are
// removed all the same.
func TestLastReadyServersAreKept(t *testing.T) {
	for _, test := range []struct {
		name        string
		disabled    bool
		wantEntries int
		wantKept    int
	}{
		{name: "enabled", wantEntries: 3, wantKept: 1},
		{name: "disabled", disabled: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, now := startFleet(t, 4, 3)
			f.site.DisabledGuards = map[Guard]bool{GuardLastServers: test.disabled}
			all := weightedEntries(f)
			setWeights(f, now, 0, serverName(0))
			if got := weightedEntries(f); got != all-1 || f.Stats.TablesRejected != 0 {
				t.Errorf("one of several entries is kept: %d of %d", got, all)
			}
			setWeights(f, now, 0, serverName(1), serverName(2), serverName(3))
			if got := weightedEntries(f); got != test.wantEntries || f.Stats.TablesRejected != test.wantKept {
				t.Errorf("%d entries are left and %d tables were rejected, want %d and %d",
					got, f.Stats.TablesRejected, test.wantEntries, test.wantKept)
			}
			if test.disabled {
				return
			}
			f.Registry.SetDrain(now, serverName(3), true)
			setWeights(f, now, 0, serverName(3))
			if got := weightedEntries(f); got != 2 {
				t.Errorf("a server that drains has its entry still: %d", got)
			}
		})
	}
}
