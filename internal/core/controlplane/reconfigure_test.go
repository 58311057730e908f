package controlplane

import (
	"errors"
	"reflect"
	"slices"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// changedSite returns a site that differs from that of startFleet(t, 4, 3): one server is added, one is removed and one
// is in another zone; one proxy is added and one is removed.
func changedSite() Site {
	site := testSite(4, 4)
	site.DataPlane.Proxies = 3
	site.Servers = slices.Delete(site.Servers, 1, 2)
	site.Servers = append(site.Servers, registry.ServerConfig{Server: serverName(9), Zone: 1, Weight: 1, Static: true})
	site.Servers[0].Zone = 2
	site.Proxies = slices.Delete(site.Proxies, 0, 1)
	return site
}

// reconfigure starts a fleet and reconfigures it to changedSite.
func reconfigure(t *testing.T) (f *Fleet, now float64) {
	t.Helper()
	f, now = startFleet(t, 4, 3)
	evicted := &countingFrontend{fleet: f}
	f.FindProxy("r0").frontend = evicted
	got, err := f.Reconfigure(now, changedSite())
	want := Revision{
		Removed:     []balancer.Server{serverName(1)},
		Added:       []balancer.Server{serverName(9)},
		Changed:     []balancer.Server{serverName(0)},
		Evicted:     []string{"r0"},
		NewlyListed: []string{"r3"},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("revision %+v, error %v, want %+v", got, err, want)
	}
	if evicted.displaced != 1 || f.Listed("r0") || !f.Listed("r3") || f.Joined() != 2 {
		t.Error("the joined and listed proxies do not match the new site")
	}
	for end := now + 6; now < end; now += 0.05 {
		step(f, now)
	}
	return f, now
}

func TestReconfigureChangesServersAndProxies(t *testing.T) {
	f, _ := reconfigure(t)
	for _, table := range f.tables {
		if table.Weight(serverName(1)) != 0 || table.Weight(serverName(9)) == 0 {
			t.Errorf("weight %v of the removed server, want 0; %v of the added one, want more than 0", table.Weight(serverName(1)), table.Weight(serverName(9)))
		}
	}
	if _, known := f.Registry.Find(serverName(1)); known || !slices.Contains(f.Registry.KnownServers(), serverName(1)) {
		t.Error("an unlisted server is still found, or is missing in KnownServers")
	}
	next := changedSite()
	if revision := CompareSites(f.Site(), &next); !revision.Empty() {
		t.Errorf("differences remain after reconfiguration: %+v", revision)
	}
}

func TestReconfigureRejectsWhatNeedsARestart(t *testing.T) {
	f, now := reconfigure(t)
	other := changedSite()
	other.Guarantees.DrainDeadline++
	if revision, err := f.Reconfigure(now, other); err == nil || revision.RestartReason != "rules" {
		t.Errorf("revision %+v, error %v; want an error, and rules as the reason for a restart", revision, err)
	}
}

func TestReconfigureRejectsTooManyServers(t *testing.T) {
	f, now := reconfigure(t)
	f.site.Limits.MaxServers = 6
	oversized := testSite(12, 4)
	oversized.DataPlane.Proxies = 3
	oversized.Limits.MaxServers = 6
	oversized.Proxies = changedSite().Proxies
	if _, err := f.Reconfigure(now, oversized); !errors.Is(err, registry.ErrFull) || f.Joined() != 2 {
		t.Error(err)
	}
}

// A removed server still occupies an entry in the registry. If the registry has no room for an added server, nothing is
// changed, not even the removal.
func TestReconfigureWithoutRoomChangesNothing(t *testing.T) {
	site := testSite(4, 3)
	site.Limits.MaxServers = 4
	f := newFleet(t, site, nil)
	f.RunRound(1000.1)
	next := testSite(4, 3)
	next.Limits.MaxServers = 4
	next.Servers[0].Zone = 2
	next.Servers[1].Server = serverName(9)
	if _, err := f.Reconfigure(1001, next); !errors.Is(err, registry.ErrFull) {
		t.Fatal(err)
	}
	for i := range 4 {
		if phase, _ := f.Registry.Phase(serverName(i)); phase != balancer.Ready {
			t.Errorf("%s is not ready", serverName(i))
		}
	}
	if record, _ := f.Registry.Find(serverName(0)); record.Zone != 0 {
		t.Errorf("the zone of %s has changed to %d, want 0", serverName(0), record.Zone)
	}
}
