package longpoll

import (
	"fmt"
	"slices"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/registry"
	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fixture runs a Server together with proxies that apply answers as the API prescribes.
type fixture struct {
	t           testing.TB
	now         float64
	fleet       *controlplane.Fleet
	server      *Server
	lastPoll    PollID
	uids        map[PollID]string
	pollers     map[PollID]*testProxy // the run of a proxy that sent the poll
	proxies     map[string]*testProxy
	rejected    map[string][]RejectReason
	retryDelays []float64
	dropped     []string
	latestPoll  map[string]PollID
	retryAt     map[string]float64
	loseAnswer  map[string]bool // by UID: the next answer to the proxy is lost
}

type testProxy struct {
	epoch, version uint64
	weights        map[string]float64 // by class and server
	admissions     map[balancer.Class]float64
	polling        bool
	answers, full  int
	latest         *Answer
}

func (f *fixture) Answer(id PollID, answer *Answer) {
	uid := f.uids[id]
	proxy := f.pollers[id]
	proxy.polling = false
	if f.loseAnswer[uid] {
		delete(f.loseAnswer, uid)
		return
	}
	f.apply(proxy, answer)
}

func (f *fixture) apply(proxy *testProxy, answer *Answer) {
	if len(answer.Classes) == 0 || answer.Base > 0 && (answer.Epoch != proxy.epoch || answer.Base > proxy.version) {
		return // nothing is newer than the version that the poll named, or the delta does not apply
	}
	proxy.answers++
	proxy.epoch = answer.Epoch
	proxy.version = answer.Version
	copied := &Answer{Epoch: answer.Epoch, Version: answer.Version, OwnershipEpoch: answer.OwnershipEpoch}
	for _, class := range answer.Classes {
		if class.Full {
			proxy.full++
			for key := range proxy.weights {
				if key[:1] == fmt.Sprint(class.Class) {
					delete(proxy.weights, key)
				}
			}
		}
		for _, entry := range class.Entries {
			key := fmt.Sprint(class.Class, " ", entry.Server)
			proxy.weights[key] = entry.Weight
			if entry.Weight == 0 {
				delete(proxy.weights, key)
			}
		}
		if class.HasAdmission {
			proxy.admissions[class.Class] = class.Admission
		}
		class.Entries = slices.Clone(class.Entries)
		copied.Classes = append(copied.Classes, class)
	}
	proxy.latest = copied
}

func (f *fixture) Reject(id PollID, reason RejectReason, after float64) {
	uid := f.uids[id]
	f.rejected[uid] = append(f.rejected[uid], reason)
	f.retryAt[uid] = f.now + after
	f.retryDelays = append(f.retryDelays, after)
	if f.latestPoll[uid] == id {
		f.pollers[id].polling = false
	}
}

func (f *fixture) Dropped(uid string) { f.dropped = append(f.dropped, uid) }
func (f *fixture) Log(string, ...any) {}

func testSite(proxies int, disabled ...controlplane.Guard) controlplane.Site {
	site := controlplane.Site{Seed: 3, ClassNames: []string{"search", "introduce"}, Zones: []string{"a"}, AllowUnlisted: true,
		Classes: []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3},
			{PriorityWeight: 3, LatencyObjective: 1, ClientTimeout: 3, Idempotency: balancer.NonIdempotent}},
		DataPlane: balancer.DataPlane{Proxies: proxies, Coordinators: 1, DefaultRetry: balancer.RetryIfNotExecuted,
			Admission: balancer.AdmissionFraction},
		Channel: balancer.Channel{EntriesPerSecond: 2000, MessageOverhead: 3, MaxQueued: 4000, MeanDelay: 0.01, MaxDelay: 0.2},
		Guarantees: balancer.Guarantees{DrainDeadline: 3, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10, OverloadFactor: 3,
			OverloadWindow: 2}, Reporting: balancer.Reporting{Period: 0.5}, Limits: controlplane.DefaultLimits,
		DisabledGuards: map[controlplane.Guard]bool{}}
	for _, g := range disabled {
		site.DisabledGuards[g] = true
	}
	for i := range 6 {
		site.Servers = append(site.Servers, registry.ServerConfig{Server: serverName(i), Weight: 1, Static: true})
	}
	return site
}

func serverName(i int) balancer.Server { return balancer.Server(fmt.Sprintf("10.0.0.%d:80", i)) }

func newFixture(t testing.TB, site controlplane.Site, limits Limits) *fixture {
	f := &fixture{t: t, now: 1000, uids: map[PollID]string{}, pollers: map[PollID]*testProxy{}, proxies: map[string]*testProxy{}, rejected: map[string][]RejectReason{},
		loseAnswer: map[string]bool{}, latestPoll: map[string]PollID{},
		retryAt: map[string]float64{}}
	f.startCoordinator(site, limits)
	return f
}

// startCoordinator starts a coordinator, or restarts it, which breaks all connections.
func (f *fixture) startCoordinator(site controlplane.Site, limits Limits) {
	fleet, err := controlplane.New(f.now, site, nil, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.fleet = fleet
	f.server = New(f.now, uint64(f.now*1e6), fleet, f, limits)
	for _, proxy := range f.proxies {
		proxy.polling = false
	}
}

func (f *fixture) proxy(uid string) *testProxy {
	if f.proxies[uid] == nil {
		f.proxies[uid] = &testProxy{weights: map[string]float64{}, admissions: map[balancer.Class]float64{}}
	}
	return f.proxies[uid]
}

func (f *fixture) poll(uid string, wait float64) {
	proxy := f.proxy(uid)
	f.lastPoll++
	f.uids[f.lastPoll] = uid
	f.pollers[f.lastPoll] = proxy
	f.latestPoll[uid] = f.lastPoll
	proxy.polling = true
	f.server.HandlePoll(f.now, f.lastPoll, Poll{UID: uid, Epoch: proxy.epoch, Version: proxy.version, Wait: wait})
}

func (f *fixture) step(seconds float64) {
	f.now += seconds
	f.fleet.RunRound(f.now)
	f.server.Tick(f.now)
	f.fleet.SendDue(f.now)
}

// advance advances the virtual clock; the proxies in polling poll again as soon as they are answered.
func (f *fixture) advance(seconds float64, polling ...string) {
	for end := f.now + seconds; f.now < end; f.step(0.02) {
		for _, uid := range polling {
			if !f.proxy(uid).polling {
				f.poll(uid, 30)
			}
		}
	}
}

func (f *fixture) drain(i int, on bool) { f.fleet.Registry.SetDrain(f.now, serverName(i), on) }

// check compares the entries that a proxy holds with its assigned tables. It returns a description of the first
// difference, empty if there is none.
func (f *fixture) check(uid string) string {
	proxy := f.proxies[uid]
	fleetProxy := f.fleet.FindProxy(uid)
	entries := 0
	for class := range balancer.Class(2) {
		for i := range 6 {
			want := f.fleet.Weight(fleetProxy, class, serverName(i))
			if got := proxy.weights[fmt.Sprint(class, " ", serverName(i))]; got != want {
				return fmt.Sprintf("%s: weight %v for %s of class %d, want %v", uid, got, serverName(i), class, want)
			}
			entries += boolToInt(want > 0)
		}
	}
	if len(proxy.weights) != entries {
		return fmt.Sprintf("%s holds %d entries, want %d", uid, len(proxy.weights), entries)
	}
	return ""
}

func (f *fixture) expectCurrent(uid string) {
	f.t.Helper()
	if difference := f.check(uid); difference != "" {
		f.t.Error(difference)
	}
}
