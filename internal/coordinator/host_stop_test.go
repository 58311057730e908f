package coordinator_test

import (
	"testing"

	"snowquay/internal/core/tenancy"
)

// A pending drain is answered exactly once if its tenant stops before the group commits the drain.
func TestStoppedTenantAnswersPendingDrain(t *testing.T) {
	g := newHostGroup(t, 100)
	text := tenantSettings(1)[0]
	if created := g.change(0, tenancy.Command{Kind: tenancy.Create, Name: "t000", Settings: text, ID: 5}); created.err == nil {
		t.Fatal("the creation was confirmed before the group committed it")
	}
	g.run(2)
	var answers []bool
	g.hosts[0].Drain(g.net.Now(), "t000", firstServer, true, func(ok bool) { answers = append(answers, ok) })
	if _, known := g.hosts[0].Tenant("t000"); !known || len(answers) != 0 {
		t.Fatalf("drain was answered immediately with %v, or the tenant is unknown", answers)
	}
	g.change(0, tenancy.Command{Kind: tenancy.Remove, Name: "t000", ID: 6})
	g.run(5)
	if len(answers) != 1 {
		t.Errorf("drain was answered with %v, want one answer", answers)
	}
}
