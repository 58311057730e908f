package idempotency

import (
	"errors"
	"fmt"
	"testing"
)

func TestACallThatIsRepeatedCountsOnce(t *testing.T) {
	var b Log
	if _, known, err := b.Begin(100, "a", "k", 1); known || err != nil {
		t.Fatal(known, err)
	}
	if _, _, err := b.Begin(100, "a", "k", 1); !errors.Is(err, ErrInProgress) {
		t.Errorf("while it is under way: %v", err)
	}
	b.End("a", "k", Response{Status: 202, Body: []byte("x")}, true)
	if a, known, err := b.Begin(101, "a", "k", 1); !known || err != nil || a.Status != 202 {
		t.Errorf("%+v %t %v", a, known, err)
	}
	if _, _, err := b.Begin(101, "a", "k", 2); !errors.Is(err, ErrKeyReused) {
		t.Errorf("another call: %v", err)
	}
	if _, known, err := b.Begin(101, "b", "k", 2); known || err != nil {
		t.Errorf("somebody else's key: %v", err)
	}
	b.End("b", "k", Response{Status: 409}, false)
	if _, known, err := b.Begin(102, "b", "k", 3); known || err != nil {
		t.Errorf("a refused call can't be made again: %v", err)
	}
	if _, known, _ := b.Begin(100+keptFor+1, "a", "k", 7); known {
		t.Error("it is remembered for ever")
	}
	for i := range mostKeys + 5 {
		_, _, _ = b.Begin(200, "c", fmt.Sprint(i), 1)
		b.RecordAudit(AuditEntry{At: float64(i)})
	}
	if len(b.calls) > mostKeys || len(b.order) > mostKeys || len(b.audit) > mostAudit || b.Audit(3)[0].At != mostKeys+4 {
		t.Errorf("%d calls, %d changes", len(b.calls), len(b.audit))
	}
	if CheckVersion("", "5") != nil || CheckVersion("5", "5") != nil || CheckVersion("4", "5") == nil || RequireRole(RoleViewer, RoleStaff) == nil || RequireRole(RoleHost, RoleStaff) != nil {
		t.Error("conditions or roles")
	}
}
