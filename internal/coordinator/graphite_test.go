package coordinator_test

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"snowquay/internal/core/spool"
	"snowquay/internal/emulator"
	"snowquay/internal/env/simnet"
	"snowquay/internal/feed/graphite"
	"snowquay/internal/golden"
	"snowquay/internal/scenario"
	"snowquay/internal/store"
)

// joinedMetric is the path of the metric that counts the joined proxies of the first tenant.
const joinedMetric = "sq.test.tenants.t000.fleet.joined"

// graphiteFixture is a host with two tenants that sends metrics to a Graphite sink.
type graphiteFixture struct {
	*hostFixture
	sink        *emulator.GraphiteSink
	sinkMachine *simnet.Host
}

func newGraphiteFixture(t *testing.T, configure func(*graphite.Config)) *graphiteFixture {
	t.Helper()
	text := strings.Replace(scenario.HostSettings, "<caller", `<graphite address="127.0.9.9:2003" prefix="sq.test"/><caller`, 1)
	config := parseHostSettings(t, text)
	configure(config.Graphite)
	f := &graphiteFixture{hostFixture: startHostFixture(t, config, &store.MemoryTenantStore{}), sink: emulator.NewGraphiteSink()}
	for number, text := range tenantSettings(2) {
		f.create(tenantName(number), text, 0)
	}
	f.sinkMachine = f.net.Add(netip.MustParseAddr("127.0.9.9"), 1, false)
	f.sinkMachine.Start(f.sink)
	return f
}

// The paths of metrics must not change, since users' dashboards refer to them.
func TestGraphitePathsOnTheWire(t *testing.T) {
	f := newGraphiteFixture(t, func(*graphite.Config) {})
	f.connectProxy(0)
	f.run(60)
	paths := slices.Sorted(maps.Keys(f.sink.Values))
	golden.Bytes(t, "graphite-paths.txt", []byte(strings.Join(paths, "\n")+"\n"))
}

// The sink is down for an hour. No value is lost if the spool is large enough, and a small spool still covers the whole hour at a
// coarser resolution.
func TestGraphiteSinkDownForAnHour(t *testing.T) {
	tests := []struct {
		spoolValues int
		firstUntil  int64 // the latest time of the first value, in seconds
		lastFrom    int64 // the earliest time of the last value, in seconds
		maxGap      int64 // seconds between two values
		minValues   int
	}{
		{spoolValues: 1 << 17, firstUntil: 1011, lastFrom: 4700, maxGap: 11, minValues: 371},
		{spoolValues: 2000, firstUntil: 1011, lastFrom: 4700, maxGap: 1000, minValues: 20},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.spoolValues), func(t *testing.T) {
			f := newGraphiteFixture(t, func(setup *graphite.Config) {
				setup.Spool.MaxValues = test.spoolValues
				setup.Spool.MaxPerSize = 8
			})
			proxy := f.connectProxy(0)
			f.run(60)
			f.sinkMachine.Kill()
			f.run(3600)
			f.sinkMachine.Start(f.sink)
			f.run(60)
			values := f.sink.Values[joinedMetric]
			span := spanOf(values, 1000, 1000+3720)
			if span.first > test.firstUntil || span.last < test.lastFrom || span.maxGap > test.maxGap || len(values) < test.minValues {
				t.Errorf("%d values with %+v do not cover the outage as expected", len(values), span)
			}
			t.Logf("%d values with %+v; %d lines, %d of them duplicates", len(values), span, f.sink.Lines, f.sink.Duplicates)
			if joined := values[span.last]; joined != 1 || f.sink.Malformed > 0 || len(proxy.rows) == 0 {
				t.Errorf("%v proxies joined, want 1; %d malformed lines, want 0; proxy received %d rows, want some", joined, f.sink.Malformed, len(proxy.rows))
			}
			// The increase of a cumulative metric during the hour is not lost.
			turns := f.sink.Values["sq.test.host.turns"]
			if turns[span.last] < turns[span.first]+1000 {
				t.Errorf("turns increase from %v to %v, want an increase of at least 1000", turns[span.first], turns[span.last])
			}
		})
	}
}

// timeSpan describes the times of a metric's values, in seconds.
type timeSpan struct{ first, last, maxGap int64 }

func spanOf(values map[int64]float64, from, until int64) timeSpan {
	span := timeSpan{first: math.MaxInt64}
	for second := from; second < until; second++ {
		_, ok := values[second]
		if !ok {
			continue
		}
		if span.last > 0 {
			span.maxGap = max(span.maxGap, second-span.last)
		}
		span.first = min(span.first, second)
		span.last = second
	}
	return span
}

// No value is lost when the sink stalls while its host still accepts data, and is then killed, several times. The tenants'
// proxies are not affected.
func TestGraphiteSinkStallsAndRestarts(t *testing.T) {
	f := newGraphiteFixture(t, func(setup *graphite.Config) {
		setup.Interval = 1
		setup.Spool.StallTimeout = 5
	})
	f.connectProxy(0)
	f.run(5)
	for i := range 12 {
		f.sinkMachine.Stall(4) // unread data that the sink's host has accepted is lost when the sink is killed
		f.run(2 + float64(i)/8)
		f.sinkMachine.Kill()
		f.run(1)
		f.sinkMachine.Start(f.sink)
		f.run(8)
	}
	f.sinkMachine.Stall(20) // longer than the sender's stall timeout
	f.run(30)
	values := f.sink.Values[joinedMetric]
	const start = 1002
	end := int64(f.net.Now()) - 2
	missing := 0
	for second := int64(start); second < end; second++ {
		if _, ok := values[second]; !ok {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d values are missing", missing, end-start)
	}
	tenant, _ := f.host.Tenant("t000")
	if tenant.Coordinator.Fleet.Joined() != 1 {
		t.Error("the proxy is no longer joined")
	}
	sender := f.host.GraphiteSender()
	if sender.Disconnects < 12 || sender.State() != spool.Connected {
		t.Errorf("sender has %d disconnects, want at least 12, and state %d, want connected", sender.Disconnects, sender.State())
	}
}
