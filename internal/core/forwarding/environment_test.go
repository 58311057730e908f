package forwarding

import (
	"fmt"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/admission"
	"snowquay/internal/core/outlier"
	"snowquay/internal/core/picker"
	"snowquay/internal/core/retry"
	"snowquay/internal/testseed"
	"snowquay/internal/wire/delta"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// The request classes of testConfig.
const (
	idempotent = balancer.Class(iota)
	keyed
	nonIdempotent
)

const keyedDedupWindow = 4 // seconds; deduplication window of the class keyed

func serverName(i int) balancer.Server { return balancer.Server(fmt.Sprintf("10.0.0.%d:80", i)) }

// testConfig returns a configuration with servers in two zones, and two servers in each failure domain.
func testConfig(servers int) Config {
	config := Config{
		ClassNames: []string{"search", "introduce", "once"},
		Classes: []balancer.RequestClass{
			{LatencyObjective: 1, ClientTimeout: 5},
			{
				LatencyObjective: 1,
				ClientTimeout:    5,
				Idempotency:      balancer.Keyed,
				DedupScope:       balancer.SameFailureDomain,
				DedupWindow:      keyedDedupWindow,
			},
			{LatencyObjective: 1, ClientTimeout: 5, Idempotency: balancer.NonIdempotent},
		},
		RetryPolicies: []balancer.RetryPolicy{balancer.RetryOnce, balancer.RetryOnce, balancer.RetryOnce},
		AdmissionMode: balancer.AdmissionFraction,
		Limits:        admission.Limits{MaxInFlight: 100, MaxPerServer: 20},
		Outliers:      outlier.Config{ConsecutiveFailures: 3, BaseEjection: 4, MaxEjection: 30},
		Budget:        retry.Budget{Ratio: 0.2, Burst: 10},
		Locations:     map[balancer.Server]retry.Location{},
		NewTable:      func(class int) picker.Table { return picker.NewEarliestDeadlineFirst(uint64(class)) },
	}
	for i := range servers {
		config.Locations[serverName(i)] = retry.Location{
			Server:        serverName(i),
			Zone:          balancer.Zone(i % 2),
			FailureDomain: balancer.FailureDomain(i / 2),
		}
	}
	return config
}

// testTables returns complete tables or, if full is false, a delta, in which each class lists the servers.
func testTables(full bool, version uint64, servers ...int) *delta.Tables {
	tables := &delta.Tables{Epoch: "a", Version: version}
	for _, name := range []string{"search", "introduce", "once"} {
		class := delta.Class{Class: name, Full: full}
		for _, i := range servers {
			class.Entries = append(class.Entries, delta.Entry{Server: string(serverName(i)), Weight: 1})
		}
		tables.Classes = append(tables.Classes, class)
	}
	return tables
}

// newTestProxy returns a proxy whose tables list all servers. change modifies its configuration unless it is nil.
func newTestProxy(t testing.TB, servers int, change func(*Config)) *Proxy {
	t.Helper()
	config := testConfig(servers)
	if change != nil {
		change(&config)
	}
	p := New(1000, config)
	var all []int
	for i := range servers {
		all = append(all, i)
	}
	applyTables(t, p, 1000, testTables(true, 1, all...))
	return p
}

// applyTables applies tables and the orders for classes that come with them.
func applyTables(t testing.TB, p *Proxy, now float64, tables *delta.Tables) {
	t.Helper()
	orders, _, err := p.Tables.Apply(now, tables)
	if err != nil {
		t.Fatal(err)
	}
	p.ApplyOrders(now, orders)
}

// onlyAction returns the only action, and fails the test if there are others or if it is of another kind.
func onlyAction(t testing.TB, actions []Action, kind ActionKind) Action {
	t.Helper()
	if len(actions) != 1 || actions[0].Kind != kind {
		t.Fatalf("actions %+v, want a single one of kind %d", actions, kind)
	}
	return actions[0]
}

// sendRequest passes a request to the proxy, and fails the test unless it is sent to a server.
func sendRequest(t testing.TB, p *Proxy, now float64, received Request) Action {
	t.Helper()
	_, actions := p.HandleRequest(now, received)
	return onlyAction(t, actions, Send)
}

// expectRetry reports an attempt as failed, and fails the test unless it is retried.
func expectRetry(t testing.TB, p *Proxy, now float64, attempt AttemptID, outcome retry.Outcome) Action {
	t.Helper()
	return onlyAction(t, p.AttemptFailed(now, attempt, outcome), Send)
}

// expectFailure reports an attempt as failed, and fails the test unless the request fails without a retry.
func expectFailure(t testing.TB, p *Proxy, now float64, attempt AttemptID, outcome retry.Outcome) Action {
	t.Helper()
	return onlyAction(t, p.AttemptFailed(now, attempt, outcome), Fail)
}
