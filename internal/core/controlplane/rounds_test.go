package controlplane

import (
	"errors"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// failingStore is a RecordStore whose disk is full.
type failingStore struct{ calls int }

func (s *failingStore) Save([]registry.Record) error {
	s.calls++
	return errors.New("disk full")
}

// A drain that cannot be stored is published nevertheless, and the failure is counted.
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
		t.Errorf("weight of the drained server %v, want 0; stats %+v, want a save failure", f.Weight(proxy, 0, serverName(1)), f.Stats)
	}
}

func TestIdleRoundsDoNotCallTheDecisionModule(t *testing.T) {
	f, now := startFleet(t, 3, 2)
	before := f.Stats
	for i := range 20 {
		step(f, now+0.06*float64(i+1))
	}
	if f.Stats.Rounds-before.Rounds > 6 || f.Stats.Idle == before.Idle {
		t.Errorf("%d rounds and %d idle ticks within 1.2 s without events, want at most 6 rounds and some idle ticks",
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
		t.Fatalf("want 2 traces, got %+v", traces)
	}
	first := traces[0]
	if first.Lists != 1 || !first.Urgent || first.Round == 0 || first.DecidedAt != now+0.1 || first.AckedAt == 0 {
		t.Errorf("the first of the traces %+v is not urgent or not acknowledged, or its round, decision time or number of lists is wrong", traces)
	}
}

// setWeights applies and publishes a decision that sets the weights of some servers in all tables.
func setWeights(f *Fleet, now, weight float64, servers ...balancer.Server) {
	sink := &RoundSink{fleet: f, now: now}
	for id := range f.tables {
		for _, server := range servers {
			sink.SetWeight(id, server, weight)
		}
	}
	f.publishChanges(now)
}

// weightedEntries returns the number of entries with a weight in all tables.
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

// Whatever the decision module decides, a table in use keeps an entry of a server that is ready and warmed up. Draining
// servers are removed nevertheless.
func TestLastReadyServersAreKept(t *testing.T) {
	for _, test := range []struct {
		name         string
		disabled     bool
		wantEntries  int
		wantRejected int
	}{
		{name: "enabled", wantEntries: 3, wantRejected: 1},
		{name: "disabled", disabled: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, now := startFleet(t, 4, 3)
			f.site.DisabledGuards = map[Guard]bool{GuardLastServers: test.disabled}
			all := weightedEntries(f)
			setWeights(f, now, 0, serverName(0))
			if got := weightedEntries(f); got != all-1 || f.Stats.TablesRejected != 0 {
				t.Errorf("%d of %d entries are left after the removal of one, want one less and no rejected table", got, all)
			}
			setWeights(f, now, 0, serverName(1), serverName(2), serverName(3))
			if got := weightedEntries(f); got != test.wantEntries || f.Stats.TablesRejected != test.wantRejected {
				t.Errorf("%d entries are left and %d tables were rejected, want %d and %d",
					got, f.Stats.TablesRejected, test.wantEntries, test.wantRejected)
			}
			if test.disabled {
				return
			}
			f.Registry.SetDrain(now, serverName(3), true)
			setWeights(f, now, 0, serverName(3))
			if got := weightedEntries(f); got != 2 {
				t.Errorf("%d entries are left after the removal of a draining server, want 2", got)
			}
		})
	}
}
