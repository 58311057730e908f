package coordinator_test

import (
	"errors"
	"log/slog"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/scenario"
	"snowquay/internal/store"
)

// panickingHost is a host whose first tenant panics at its next message if panicNext is set.
type panickingHost struct {
	*hostFixture
	panicNext bool
	log       strings.Builder
}

func newPanickingHost(t *testing.T) *panickingHost {
	t.Helper()
	p := &panickingHost{}
	config := parseHostSettings(t, scenario.HostSettings)
	logger := slog.New(slog.NewTextHandler(&p.log, nil))
	config.Log = func(tenancy.Name) *slog.Logger { return logger }
	config.OnMessageTrace = func(name tenancy.Name, _ tenancy.Incarnation, _ controlplane.MessageTrace) {
		if p.panicNext && name == tenantName(0) {
			p.panicNext = false
			panic("injected panic")
		}
	}
	p.hostFixture = startHostFixture(t, config, &store.MemoryTenantStore{})
	for number, text := range tenantSettings(2) {
		p.create(tenantName(number), text, uint64(number+1))
	}
	p.run(0.5)
	return p
}

// panicByDrain makes the first tenant panic by ordering a drain, which causes a message.
func (p *panickingHost) panicByDrain() {
	p.t.Helper()
	p.host.Drain(p.net.Now(), tenantName(0), firstServer, true, func(bool) {})
	p.panicNext = true
	p.run(0.5)
	if p.panicNext {
		p.t.Fatal("the tenant has not panicked")
	}
}

// A tenant that panics is restarted from its durable state, including its drains. Other tenants are served meanwhile.
func TestPanicOfTenantDoesNotAffectOthers(t *testing.T) {
	p := newPanickingHost(t)
	proxy := p.connectProxy(0)
	neighbour := p.connectProxy(1)
	p.run(3)
	p.panicByDrain()
	if p.host.Stats.Panics != 1 || proxy.closed != 1 || neighbour.closed != 0 {
		t.Fatalf("%d panics, want 1; closed connections: tenant %d, neighbour %d, want 1 and 0", p.host.Stats.Panics, proxy.closed, neighbour.closed)
	}
	if !strings.Contains(p.log.String(), "injected panic") || !strings.Contains(p.log.String(), "host_panics_test.go") {
		t.Error("the log does not contain the cause and the stack of the panic")
	}
	tenant, _ := p.host.Tenant(tenantName(0))
	if tenant.Coordinator != nil || !errors.Is(tenant.Err, coordinator.ErrTenantPanicked) {
		t.Errorf("the tenant is running or has the error %v, want ErrTenantPanicked", tenant.Err)
	}

	rows := len(neighbour.rows)
	p.host.Drain(p.net.Now(), tenantName(1), "127.16.4.1:18080", true, func(bool) {})
	p.run(0.5)
	if len(neighbour.rows) == rows || neighbour.closed != 0 {
		t.Errorf("while the tenant is down, its neighbour's drain was not sent or its proxy was disconnected: %d new rows", len(neighbour.rows)-rows)
	}

	p.run(1.5)
	proxy = p.connect(0, setBalancer("t000/relay-0"), register("t000/relay-0"), setBalancer("t000/relay-0"))
	p.run(3)
	if tenant.Coordinator == nil || tenant.Err != nil || len(proxy.rows) == 0 {
		t.Fatalf("the tenant was not restarted: error %v, %d rows", tenant.Err, len(proxy.rows))
	}
	drain, _ := tenant.Coordinator.Fleet.DrainProgress(firstServer)
	if drain.Phase != balancer.Draining {
		t.Errorf("the tenant's drain is lost: %+v", drain)
	}
}

// The time until the restart of a tenant that panics repeatedly increases with each panic.
func TestPanickingTenantBacksOff(t *testing.T) {
	p := newPanickingHost(t)
	var downtimes []float64
	for range 4 {
		p.panicNext = true
		p.connectProxy(0)
		for end := p.net.Now() + 5; p.panicNext && p.net.Now() < end; {
			p.run(0.05)
		}
		tenant, _ := p.host.Tenant(tenantName(0))
		start := p.net.Now()
		for tenant.Coordinator == nil && p.net.Now() < start+30 {
			p.run(0.1)
		}
		downtimes = append(downtimes, p.net.Now()-start)
	}
	for i := 1; i < len(downtimes); i++ {
		if downtimes[i] < 1.3*downtimes[i-1] {
			t.Errorf("tenant was down for %.1f s after the panics, want at least 1.3 times the previous time after each", downtimes)
		}
	}
}
