package membership

import (
	"bytes"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

func TestDrainKeepsItsStartTime(t *testing.T) {
	s := newGroup(t, 1)
	record := registry.Record{ServerConfig: registry.ServerConfig{Server: "a"}, Phase: balancer.Draining, NotifiedAt: 100, DrainOrdered: true}
	store := func() {
		t.Helper()
		apply(t, s, Command{Kind: StoreRecords, Records: []registry.Record{record}})
	}
	store()
	record.NotifiedAt = 107 // the coordinator that took over noticed the drain later
	store()
	if got := s.ServerRecords()[0].NotifiedAt; got != 100 {
		t.Errorf("the drain began at %v, want 100", got)
	}
	record.Phase = balancer.Ready
	record.NotifiedAt = 0
	record.DrainOrdered = false
	store()
	record.Phase = balancer.Draining
	record.NotifiedAt = 200
	store()
	if got := s.ServerRecords()[0].NotifiedAt; got != 200 {
		t.Errorf("the second drain began at %v, want 200", got)
	}
	snapshot, err := s.Snapshot()
	var other State
	if err != nil || other.Restore(snapshot) != nil {
		t.Fatal(err)
	}
	again, _ := other.Snapshot()
	if !bytes.Equal(snapshot, again) || other.Restore([]byte("{\"epoch\":")) == nil || other.Epoch != s.Epoch {
		t.Error("a restored snapshot differs, or a malformed snapshot was restored")
	}
}
