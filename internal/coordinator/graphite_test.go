package coordinator_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"snowquay/internal/coordinator"
	"snowquay/internal/core/spool"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/emulator"
	"snowquay/internal/env/simnet"
	"snowquay/internal/feed/graphite"
	"snowquay/internal/golden"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
	"snowquay/internal/store"
)

// watched is a host with two tenants whose figures are sent to a receiver in virtual time.
func watched(t *testing.T, change func(*graphite.Setup)) (*site, *simnet.Host, *emulator.GraphiteSink) {
	t.Helper()
	set, err := settings.ParseHost("host.xml", []byte(strings.Replace(scenario.HostSettings, "<caller", `<graphite address="127.0.9.9:2003" prefix="sq.test"/><caller`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	change(set.Graphite)
	set.ParseTenant = func(x tenancy.Tenant) (coordinator.TenantConfig, error) {
		return settings.ParseTenant(x.Name, x.Settings, set)
	}
	s := &site{t: t, set: set, store: &store.MemoryTenantStore{}, net: simnet.New(1, 1000)}
	s.place = s.net.Add(set.SASP.Addr(), 0, false)
	s.start()
	for i, text := range texts(2) {
		if _, err := s.order(tenancy.Create, tenancy.Name(fmt.Sprintf("t%03d", i)), text, 0); err != nil {
			t.Fatal(err)
		}
	}
	r := emulator.NewReceiver()
	at := s.net.Add(netip.MustParseAddr("127.0.9.9"), 1, false)
	at.Start(r)
	return s, at, r
}

const joined = "sq.test.tenants.t000.fleet.joined"

// Dashboards of users go by these paths.
func TestGraphitePathsOnTheWire(t *testing.T) {
	s, _, r := watched(t, func(*graphite.Setup) {})
	s.from(0, setBalancer("t000/relay-0"), register("t000/relay-0"))
	s.run(60)
	golden.Bytes(t, "graphite-paths.txt", []byte(strings.Join(slices.Sorted(maps.Keys(r.Values)), "\n")+"\n"))
}

// The receiver is down for an hour: nothing is lost where there is room, and with a tenth of the room the whole hour is there, coarser.
func TestAReceiverThatIsDownForAnHour(t *testing.T) {
	for _, room := range []int{1 << 17, 2000} {
		s, at, r := watched(t, func(g *graphite.Setup) { g.Terms.Values, g.Terms.PerSize = room, 8 })
		k := s.from(0, setBalancer("t000/relay-0"), register("t000/relay-0"))
		s.run(60)
		at.Kill()
		s.run(3600)
		at.Start(r)
		s.run(60)
		times := r.Values[joined]
		first, last, gap, before := int64(1<<60), int64(0), int64(0), int64(0)
		for i := int64(1000); i < 1000+3720; i++ {
			if _, ok := times[i]; ok {
				if first = min(first, i); before > 0 {
					gap = max(gap, i-before)
				}
				before, last = i, i
			}
		}
		whole := room > 100000
		if first > 1011 || last < 4700 || whole && (gap > 11 || len(times) < 371) || !whole && (gap > 1000 || len(times) < 20) {
			t.Errorf("room for %d: %d values from %d to %d, at most %d s apart", room, len(times), first, last, gap)
		}
		t.Logf("room for %d: %d values of %d, at most %d s apart; %d lines, %d of them again", room, len(times), 371, gap, r.Lines, r.Again)
		if v := times[last]; v != 1 || r.Garbled > 0 || len(k.rows) == 0 {
			t.Errorf("joined %v, %d garbled", v, r.Garbled)
		}
		// What is sent after the hour is what was: a total that grew then has its end.
		turns := r.Values["sq.test.host.turns"]
		if turns[last] < turns[first]+1000 {
			t.Errorf("turns %v to %v", turns[first], turns[last])
		}
	}
}

// A receiver that stalls, whose host takes what its program never reads, and that is killed again and again: nothing is lost, and the
// tenants' relays notice nothing.
func TestAReceiverThatStallsAndDies(t *testing.T) {
	s, at, r := watched(t, func(g *graphite.Setup) { g.Every, g.Terms.Stall = 1, 5 })
	s.from(0, setBalancer("t000/relay-0"), register("t000/relay-0"))
	s.run(5)
	for i := range 12 {
		at.Stall(4) // its host goes on taking; what its program has not read is lost with it
		s.run(2 + float64(i)/8)
		at.Kill()
		s.run(1)
		at.Start(r)
		s.run(8)
	}
	at.Stall(20) // longer than the sender waits
	s.run(30)
	times := r.Values[joined]
	end := int64(s.net.Now()) - 2
	missing := 0
	for i := int64(1002); i < end; i++ {
		if _, ok := times[i]; !ok {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d values are missing", missing, end-1002)
	}
	x, _ := s.host.Tenant("t000")
	if x.Program.Fleet.Joined() != 1 {
		t.Error("a relay was lost by it")
	}
	if f := s.host.GraphiteSender(); f.Broken < 12 || f.State() != spool.Here {
		t.Errorf("broken %d times, state %d: the test tests nothing", f.Broken, f.State())
	}
}
