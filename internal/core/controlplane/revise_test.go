package controlplane

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/loadreport"
	"snowquay/internal/core/registry"
)

// Whatever is decided, a table that proxies use is not left without any line to an open, warm server; servers that drain are.
func TestATableIsNotLeftBare(t *testing.T) {
	for _, without := range []bool{false, true} {
		f, now := running(t, 4, 3)
		f.site.DisabledGuards = map[Guard]bool{GuardTable: without}
		take := func(servers ...balancer.Server) {
			w := &RoundSink{f: f, now: now}
			for number := range f.tables {
				for _, s := range servers {
					w.SetWeight(number, s, 0)
				}
			}
			f.spread(now)
		}
		left := func() (n int) {
			for _, w := range f.tables {
				for l := range w.ChangedSince(0) {
					if l.Weight > 0 {
						n++
					}
				}
			}
			return n
		}
		all := left()
		take(name(0))
		if left() != all-1 || f.Stats.TablesRejected != 0 {
			t.Errorf("one of several lines is kept: %d of %d", left(), all)
		}
		take(name(1), name(2), name(3))
		if got := left(); !without && (got != 3 || f.Stats.TablesRejected != 1) || without && got != 0 {
			t.Errorf("without the guard %t: %d lines are left", without, got)
		}
		if without {
			continue
		}
		f.Registry.SetDrain(now, name(3), true)
		if take(name(3)); left() != 2 {
			t.Errorf("a server that drains has its line still: %d", left())
		}
	}
}

func TestRevise(t *testing.T) {
	f, now := running(t, 4, 3)
	next := site(4, 4)
	next.DataPlane.Proxies = 3
	next.Servers = slices.Delete(next.Servers, 1, 2)
	next.Servers = append(next.Servers, registry.ServerConfig{Server: name(9), Zone: 1, Weight: 1, Static: true})
	next.Servers[0].Zone = 2
	next.Relays = slices.Delete(next.Relays, 0, 1)
	gone := &door{f: f}
	f.Relay("r0").front = gone
	r, err := f.Reconfigure(now, next)
	if err != nil || !slices.Equal(r.Removed, []balancer.Server{name(1)}) || !slices.Equal(r.Added, []balancer.Server{name(9)}) ||
		!slices.Equal(r.Moved, []balancer.Server{name(0)}) || !slices.Equal(r.Evicted, []string{"r0"}) || !slices.Equal(r.Admitted, []string{"r3"}) {
		t.Fatalf("%+v, %v", r, err)
	}
	if gone.displaced != 1 || f.Listed("r0") || !f.Listed("r3") || f.Joined() != 2 {
		t.Error("relays are not as listed")
	}
	for end := now + 6; now < end; now += 0.05 {
		step(f, now)
	}
	for _, w := range f.tables {
		if w.Weight(name(1)) != 0 || w.Weight(name(9)) == 0 {
			t.Errorf("weights %v and %v", w.Weight(name(1)), w.Weight(name(9)))
		}
	}
	if _, known := f.Registry.Find(name(1)); known || !slices.Contains(f.Registry.KnownServers(), name(1)) {
		t.Error("a server that is not listed any more is known, or cannot be told of")
	}
	if !CompareSites(f.Site(), &next).Empty() {
		t.Errorf("%+v is left to do", CompareSites(f.Site(), &next))
	}
	other := next
	other.Guarantees.DrainDeadline++
	if r, err := f.Reconfigure(now, other); err == nil || r.RestartReason != "rules" {
		t.Errorf("%+v, %v", r, err)
	}
	f.site.Limits.MaxServers = 6
	crowd := site(12, 4)
	crowd.DataPlane.Proxies = 3
	crowd.Limits.MaxServers = 6
	crowd.Relays = next.Relays
	if _, err := f.Reconfigure(now, crowd); !errors.Is(err, registry.ErrFull) || f.Joined() != 2 {
		t.Error(err)
	}
}

// A relay that joins again and again is sent away after a while; one that does so once a second is not.
func TestJoinsAreBounded(t *testing.T) {
	f, now := running(t, 4, 2)
	front := &door{f: f}
	f.Relay("r0").front = front
	refused := 0
	for range 50 {
		now += 0.02
		if _, err := f.Join(now, "r0", front, true); errors.Is(err, ErrJoinRateExceeded) {
			refused++
		}
	}
	if refused < 40 || f.Stats.JoinsThrottled != refused {
		t.Errorf("%d of 50 joins within a second are refused", refused)
	}
	for range 20 {
		now += 1.01
		if _, err := f.Join(now, "r0", front, true); err != nil {
			t.Fatal(err)
		}
	}
	if p := f.Relay("r0"); !p.Joined {
		t.Error("it is not joined")
	}
}

// Figures say of each server whether it serves, and its mean weight over the tables that joined proxies use; totals grow with reports.
func TestFigures(t *testing.T) {
	f, now := running(t, 3, 2)
	f.Registry.SetDrain(now, name(2), true)
	for i := range 40 {
		now += 0.5
		for r := range 2 {
			f.ReportUpstream(now, now, fmt.Sprint("r", r), name(0), loadreport.Totals{Attempts: float64(10 * i), Failed: float64(i), Seconds: float64(i)})
			f.ReportDemand(now, now, fmt.Sprint("r", r), "search", loadreport.Totals{Attempts: float64(10 * i)})
		}
		step(f, now)
	}
	got := map[string]float64{}
	for _, x := range f.Metrics(now) {
		got[strings.Join(x.Path(), " ")] = x.Value
	}
	for path, want := range map[string]float64{"servers " + string(name(0)) + " serves": 1, "servers " + string(name(2)) + " serves": 0,
		"servers " + string(name(2)) + " drains": 1, "servers " + string(name(2)) + " weight search": 0, "fleet joined": 2,
		"servers " + string(name(0)) + " lost": 78, "servers " + string(name(0)) + " tries": 780, "classes search queries": 780} {
		if v, ok := got[path]; !ok || math.Abs(v-want) > 1e-6*max(want, 1) {
			t.Errorf("%s is %v, want %v", path, v, want)
		}
	}
	if got["servers "+string(name(0))+" weight search"] <= 0 {
		t.Error("a server that serves has no weight")
	}
}
