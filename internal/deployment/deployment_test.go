package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"snowquay/balancer"
)

// ledger is a balancer.CommandSink that keeps what proxies hold.
type ledger struct {
	lines  map[balancer.Table]map[balancer.Server]float64
	bound  map[balancer.Proxy]map[balancer.Class]balancer.Table
	levels []balancer.RetryPolicy // by class, the most that were ordered
}

func (l *ledger) SetWeight(t balancer.Table, s balancer.Server, v float64) {
	if l.lines[t] == nil {
		l.lines[t] = map[balancer.Server]float64{}
	}
	l.lines[t][s] = v
}

func (l *ledger) AssignTable(p balancer.Proxy, t balancer.Table, set balancer.ClassSet) {
	if l.bound[p] == nil {
		l.bound[p] = map[balancer.Class]balancer.Table{}
	}
	for c := range l.levels {
		if set == 0 || set>>c&1 == 1 {
			l.bound[p][balancer.Class(c)] = t
		}
	}
}

func (l *ledger) SetAdmission(_ balancer.Table, set balancer.ClassSet, _ float64, again balancer.RetryPolicy) {
	for c := range l.levels {
		if set == 0 || set>>c&1 == 1 {
			l.levels[c] = max(l.levels[c], again)
		}
	}
}

func (l *ledger) RequestAck(balancer.AckID)        {}
func (l *ledger) HealthCheck(balancer.Server)      {}
func (l *ledger) PollDiscovery()                   {}
func (l *ledger) SetTimer(float64, balancer.Timer) {}
func (l *ledger) Log(string)                       {}

func site(t *testing.T, name string) (*Deployment, string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	d, err := Read(text)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join("..", "..", "deploy", "sites", name, name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return d, string(page)
}

// Deployments with other names, classes, limits and rules are read from their settings alone, and obeyed.
func TestOtherDeploymentsAreReadAndObeyed(t *testing.T) {
	for _, want := range []struct {
		name    string
		effects []balancer.Idempotency
		own     []bool
		drains  float64 // seconds, 0.2 and more over the site's figure
	}{
		{"harbour-tides", []balancer.Idempotency{balancer.Idempotent, balancer.NonIdempotent}, []bool{false, false}, 2.5},
		{"alpine-rescue", []balancer.Idempotency{balancer.Idempotent, balancer.Keyed}, []bool{false, true}, 3},
	} {
		d, page := site(t, want.name)
		var names []string
		for k, c := range d.Classes {
			names = append(names, c.Name)
			if idempotencies[c.Idempotency] != want.effects[k] || d.DataPlane.ZoneLocalClasses[k] != want.own[k] || c.LatencyObjective <= 0 || c.LatencyObjective >= c.ClientTimeout || c.PriorityWeight <= 0 {
				t.Errorf("%s: class %+v, own zone %v", want.name, c, d.DataPlane.ZoneLocalClasses[k])
			}
		}
		for _, name := range slices.Concat(names, d.Zones, d.MachineKinds) {
			if !strings.Contains(page, fmt.Sprintf("%q", name)) {
				t.Errorf("%s: the site does not name %q", want.name, name)
			}
		}
		if f, g := d.DataPlane, d.Guarantees; g.DrainDeadline < want.drains || g.DrainDeadline > want.drains+2 || f.EntriesPerSecond < 1000 ||
			f.MaxQueuedEntries < f.EntriesPerSecond || f.MaxMessages < 20 || f.MessageWindow != 10 || f.ReportPeriod != 0.5 || f.Proxies < 100 || d.Coordinators != 5 {
			t.Errorf("%s: %+v, %+v", want.name, f, g)
		}
		obeyed(t, want.name, d, want.own)
	}
}

func obeyed(t *testing.T, name string, d *Deployment, own []bool) {
	t.Helper()
	d.DataPlane.DefaultRetry = int(balancer.RetryTwice) // orders of less are needed then
	m, l := d.NewBalancer(7), &ledger{map[balancer.Table]map[balancer.Server]float64{}, map[balancer.Proxy]map[balancer.Class]balancer.Table{},
		make([]balancer.RetryPolicy, len(d.Classes))}
	list, zone := balancer.EndpointList{Scope: balancer.FullList}, map[balancer.Server]balancer.Zone{}
	var streams []balancer.ProxyEvent
	for z := range d.Zones {
		for i := range []int{40, 10, 10}[z] { // an even part of all servers is not what is in a zone
			s := balancer.Server(fmt.Sprintf("s-%d-%d", z, i))
			zone[s] = balancer.Zone(z)
			list.Endpoints = append(list.Endpoints, balancer.Endpoint{Server: s, Zone: balancer.Zone(z), Weight: 1})
		}
		streams = append(streams, balancer.ProxyEvent{Proxy: balancer.Proxy(z), Joined: true, Zone: balancer.Zone(z), ExpectedRate: 5})
	}
	m.Reconcile(100, balancer.Events{Lists: []balancer.EndpointList{list}, ProxyEvents: streams}, l)
	for i := range 400 { // most tries fail at first, then none: repeats are ordered off, and on again
		now := 100.1 + float64(i)/4
		var traffic []balancer.UpstreamReport
		for s, z := range zone {
			if i%4 == 0 {
				traffic = append(traffic, balancer.UpstreamReport{Server: s, Zone: z, Attempts: 8, Failed: []float64{6, 0}[i/200], Latency: 0.2, Interval: 1})
			}
		}
		slices.SortFunc(traffic, func(a, b balancer.UpstreamReport) int { return strings.Compare(string(a.Server), string(b.Server)) })
		m.Reconcile(now, balancer.Events{Upstreams: traffic}, l)
	}
	for _, s := range streams {
		for c := range d.Classes {
			table, bound := l.bound[s.Proxy][balancer.Class(c)]
			open := 0
			for server, v := range l.lines[table] {
				if v > 0 {
					open++
				}
				if v > 0 && own[c] && zone[server] != s.Zone {
					t.Errorf("%s: class %d at a proxy of zone %d goes to %s", name, c, s.Zone, server)
				}
			}
			if !bound || open == 0 {
				t.Errorf("%s: proxy %d has no line for class %d", name, s.Proxy, c)
			}
		}
	}
	if l.levels[0] != balancer.RetryTwice {
		t.Errorf("%s: at most %d was ordered for the class that may run any time", name, l.levels[0])
	}
	for c, again := range l.levels {
		if idempotencies[d.Classes[c].Idempotency] != balancer.Idempotent && again > balancer.RetryIfNotExecuted {
			t.Errorf("%s: class %d may run twice: %d", name, c, again)
		}
	}
}

func TestSettingsThatCannotBeRead(t *testing.T) {
	for text, want := range map[string]string{"": "unexpected end", "[]": "cannot unmarshal", "{}": "grades", `{"grades":[{"effect":"often"}]}`: "often"} {
		if _, err := Read([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// Settings out of range are named; odd ones are run with, without a fault in any decision.
func TestSettingsOutOfRangeAreNamed(t *testing.T) {
	with := func(info, more string) string {
		return `{"zones":["a"],"grades":[{"effect":"free","aim":1}],"family-info":{"data-plane-size":9,` + info + `}` + more + `}`
	}
	for text, want := range map[string]string{
		with(`"reloads-max":-1`, ""):                                   "family-info.reloads-max: -1",
		with(`"egress-per-s":-5`, ""):                                  "family-info.egress-per-s: -5",
		with(`"pending-max":1e300`, ""):                                "family-info.pending-max: 1e+300",
		with(`"period":1`, `,"balancers":2000000`):                     "balancers: 2e+06",
		with(`"period":1`, `,"guarantees":{"stop-sending-within":-1}`): "guarantees.stop-sending-within: -1",
		with(`"reloads-max":"x"`, ""):                                  "reloads-max",
	} {
		if _, err := Read([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	for text, want := range map[string]string{
		with(`"egress-per-s":0,"pending-max":100,"per-message":3`, ""):                    "egress-per-s",
		with(`"egress-per-s":100,"pending-max":4,"per-message":10`, ""):                   "pending-max",
		with(`"egress-per-s":100,"pending-max":100,"per-message":3,"reloads-max":1`, ""):  "reloads-max",
		with(`"egress-per-s":100,"pending-max":100,"per-message":3,"reloads-max":30`, ""): "",
	} {
		d, err := Read([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		doubts := strings.Join(d.Warnings(), "; ")
		if !strings.Contains(doubts, want) || (doubts == "") != (want == "") {
			t.Errorf("%s: doubts %q, want %q", text, doubts, want)
		}
		m := d.NewBalancer(1)
		news := balancer.Events{Lists: []balancer.EndpointList{{Endpoints: []balancer.Endpoint{{Server: "s", Weight: 1}}}},
			ProxyEvents: []balancer.ProxyEvent{{Proxy: 1, Joined: true, ExpectedRate: 5}, {Proxy: 2, Joined: true, ExpectedRate: 5}}}
		l := ledger{lines: map[balancer.Table]map[balancer.Server]float64{}, bound: map[balancer.Proxy]map[balancer.Class]balancer.Table{},
			levels: make([]balancer.RetryPolicy, 1)}
		for i := range 30 {
			m.Reconcile(100+float64(i)/4, news, &l)
			news = balancer.Events{Acks: []balancer.Ack{{Proxy: 1, ID: 1, Latency: 0.1}}}
		}
	}
}
