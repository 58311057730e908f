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

// fixture is a Server with its proxies, which apply answers as the API describes.
type fixture struct {
	t           testing.TB
	now         float64
	fleet       *controlplane.Fleet
	server      *Server
	lastPoll    PollID
	uids        map[PollID]string
	pollers     map[PollID]*testProxy // the proxy process that sent it
	proxies     map[string]*testProxy
	rejected    map[string][]RejectReason
	retryDelays []float64
	dropped     []string
	latestPoll  map[string]PollID
	retryAt     map[string]float64
	loseAnswer  map[string]bool // the next answer to it is lost
}

type testProxy struct {
	epoch, version uint64
	weights        map[string]float64 // class and server
	admissions     map[balancer.Class]float64
	polling        bool
	answers, full  int
	latest         *Answer
}

func (f *fixture) Answer(w PollID, a *Answer) {
	uid := f.uids[w]
	proxy := f.pollers[w]
	proxy.polling = false
	if f.loseAnswer[uid] {
		delete(f.loseAnswer, uid)
		return
	}
	f.apply(proxy, a)
}

func (f *fixture) apply(proxy *testProxy, a *Answer) {
	if len(a.Classes) == 0 || a.Base > 0 && (a.Epoch != proxy.epoch || a.Base > proxy.version) {
		return // nothing is newer than what the poll named, or the delta does not apply
	}
	proxy.answers++
	proxy.epoch = a.Epoch
	proxy.version = a.Version
	kept := &Answer{Epoch: a.Epoch, Version: a.Version, OwnershipEpoch: a.OwnershipEpoch}
	for _, c := range a.Classes {
		if c.Full {
			proxy.full++
			for k := range proxy.weights {
				if k[:1] == fmt.Sprint(c.Class) {
					delete(proxy.weights, k)
				}
			}
		}
		for _, l := range c.Entries {
			k := fmt.Sprint(c.Class, " ", l.Server)
			proxy.weights[k] = l.Weight
			if l.Weight == 0 {
				delete(proxy.weights, k)
			}
		}
		if c.HasAdmission {
			proxy.admissions[c.Class] = c.Admission
		}
		c.Entries = slices.Clone(c.Entries)
		kept.Classes = append(kept.Classes, c)
	}
	proxy.latest = kept
}

func (f *fixture) Reject(w PollID, why RejectReason, after float64) {
	uid := f.uids[w]
	f.rejected[uid] = append(f.rejected[uid], why)
	f.retryAt[uid] = f.now + after
	f.retryDelays = append(f.retryDelays, after)
	if f.latestPoll[uid] == w {
		f.pollers[w].polling = false
	}
}

func (f *fixture) Dropped(uid string) { f.dropped = append(f.dropped, uid) }
func (f *fixture) Log(string, ...any) {}

func testSite(proxies int, without ...controlplane.Guard) controlplane.Site {
	site := controlplane.Site{Seed: 3, ClassNames: []string{"search", "introduce"}, Zones: []string{"a"}, AllowUnlisted: true,
		Classes: []balancer.RequestClass{{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3},
			{PriorityWeight: 3, LatencyObjective: 1, ClientTimeout: 3, Idempotency: balancer.NonIdempotent}},
		DataPlane: balancer.DataPlane{Proxies: proxies, Coordinators: 1, DefaultRetry: balancer.RetryIfNotExecuted,
			Admission: balancer.AdmissionFraction},
		Channel: balancer.Channel{EntriesPerSecond: 2000, MessageOverhead: 3, MaxQueued: 4000, MeanDelay: 0.01, MaxDelay: 0.2},
		Guarantees: balancer.Guarantees{DrainDeadline: 3, EmptyTableDeadline: 2, WarmupStartFraction: 0.2, WarmupDuration: 10, OverloadFactor: 3,
			OverloadWindow: 2}, Reporting: balancer.Reporting{Period: 0.5}, Limits: controlplane.DefaultLimits,
		DisabledGuards: map[controlplane.Guard]bool{}}
	for _, g := range without {
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

// startCoordinator starts a coordinator, or a new run of it: all connections break.
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

// advance runs the virtual clock; the named proxies poll again as soon as they are answered.
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

// check compares what a proxy holds with its tables; it returns what is wrong.
func (f *fixture) check(uid string) string {
	proxy := f.proxies[uid]
	p := f.fleet.FindProxy(uid)
	n := 0
	for c := range balancer.Class(2) {
		for i := range 6 {
			want := f.fleet.Weight(p, c, serverName(i))
			if got := proxy.weights[fmt.Sprint(c, " ", serverName(i))]; got != want {
				return fmt.Sprintf("%s: weight %v for %s of class %d, want %v", uid, got, serverName(i), c, want)
			}
			n += boolToInt(want > 0)
		}
	}
	if len(proxy.weights) != n {
		return fmt.Sprintf("%s holds %d entries, want %d", uid, len(proxy.weights), n)
	}
	return ""
}

func (f *fixture) expectCurrent(uid string) {
	f.t.Helper()
	if wrong := f.check(uid); wrong != "" {
		f.t.Error(wrong)
	}
}
