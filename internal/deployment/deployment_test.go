package deployment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"snowquay/balancer"
)

// dataPlaneState is a balancer.CommandSink that records the tables and retry policies of the proxies.
type dataPlaneState struct {
	tables  map[balancer.Table]map[balancer.Server]float64
	tableOf map[balancer.Proxy]map[balancer.Class]balancer.Table
	retries []balancer.RetryPolicy // by class: the highest policy that was ever set
}

func newDataPlaneState(classes int) *dataPlaneState {
	return &dataPlaneState{
		tables:  map[balancer.Table]map[balancer.Server]float64{},
		tableOf: map[balancer.Proxy]map[balancer.Class]balancer.Table{},
		retries: make([]balancer.RetryPolicy, classes),
	}
}

func (s *dataPlaneState) SetWeight(table balancer.Table, server balancer.Server, weight float64) {
	if s.tables[table] == nil {
		s.tables[table] = map[balancer.Server]float64{}
	}
	s.tables[table][server] = weight
}

func (s *dataPlaneState) AssignTable(proxy balancer.Proxy, table balancer.Table, classes balancer.ClassSet) {
	if s.tableOf[proxy] == nil {
		s.tableOf[proxy] = map[balancer.Class]balancer.Table{}
	}
	for class := range s.retries {
		if contains(classes, class) {
			s.tableOf[proxy][balancer.Class(class)] = table
		}
	}
}

func (s *dataPlaneState) SetAdmission(_ balancer.Table, classes balancer.ClassSet, _ float64, policy balancer.RetryPolicy) {
	for class := range s.retries {
		if contains(classes, class) {
			s.retries[class] = max(s.retries[class], policy)
		}
	}
}

func contains(classes balancer.ClassSet, class int) bool {
	return classes == 0 || classes>>class&1 == 1
}

func (s *dataPlaneState) RequestAck(balancer.AckID)        {}
func (s *dataPlaneState) HealthCheck(balancer.Server)      {}
func (s *dataPlaneState) PollDiscovery()                   {}
func (s *dataPlaneState) SetTimer(float64, balancer.Timer) {}
func (s *dataPlaneState) Log(string)                       {}

// readSite returns the settings of a site and the text of its TOML description.
func readSite(t *testing.T, name string) (*Deployment, string) {
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

// wantedSite contains the expected settings of a site.
type wantedSite struct {
	name          string
	idempotencies []balancer.Idempotency // by class
	zoneLocal     []bool                 // by class
	drainDeadline float64                // seconds; at least 0.2 above the deadline in the site's description
}

// The balancer of a deployment with other names, classes, limits and rules is configured by the settings alone and
// follows these rules.
func TestOtherDeployments(t *testing.T) {
	for _, want := range []wantedSite{
		{"harbour-tides", []balancer.Idempotency{balancer.Idempotent, balancer.NonIdempotent}, []bool{false, false}, 2.5},
		{"alpine-rescue", []balancer.Idempotency{balancer.Idempotent, balancer.Keyed}, []bool{false, true}, 3},
	} {
		t.Run(want.name, func(t *testing.T) {
			d, page := readSite(t, want.name)
			checkNames(t, d, page)
			checkSettings(t, d, want)
			checkDecisions(t, d, want.zoneLocal)
		})
	}
}

// checkNames checks that the description of the site contains all names of the settings.
func checkNames(t *testing.T, d *Deployment, page string) {
	t.Helper()
	var classes []string
	for _, class := range d.Classes {
		classes = append(classes, class.Name)
	}
	for _, name := range slices.Concat(classes, d.Zones, d.MachineKinds) {
		if !strings.Contains(page, fmt.Sprintf("%q", name)) {
			t.Errorf("the site description does not contain %q", name)
		}
	}
}

func checkSettings(t *testing.T, d *Deployment, want wantedSite) {
	t.Helper()
	plane := d.DataPlane
	for number, class := range d.Classes {
		if idempotencies[class.Idempotency] != want.idempotencies[number] || plane.ZoneLocalClasses[number] != want.zoneLocal[number] {
			t.Errorf("class %+v, zone local %v: unexpected idempotency or zone", class, plane.ZoneLocalClasses[number])
		}
		if class.LatencyObjective <= 0 || class.LatencyObjective >= class.ClientTimeout || class.PriorityWeight <= 0 {
			t.Errorf("class %+v: invalid times or priority weight", class)
		}
	}
	if deadline := d.Guarantees.DrainDeadline; deadline < want.drainDeadline || deadline > want.drainDeadline+2 {
		t.Errorf("drain deadline is %g, want %g or up to 2 more", deadline, want.drainDeadline)
	}
	if plane.EntriesPerSecond < 1000 || plane.MaxQueuedEntries < plane.EntriesPerSecond || plane.MaxMessages < 20 || plane.MessageWindow != 10 {
		t.Errorf("unexpected channel settings: %+v", plane)
	}
	if plane.ReportPeriod != 0.5 || plane.Proxies < 100 || d.Coordinators != 5 {
		t.Errorf("unexpected number of coordinators (%d) or reporting settings: %+v", d.Coordinators, plane)
	}
}

// checkDecisions runs a balancer while most attempts fail and then recover, and checks that every class of every proxy
// has a table that follows the rules.
func checkDecisions(t *testing.T, d *Deployment, zoneLocal []bool) {
	t.Helper()
	d.DataPlane.DefaultRetry = int(balancer.RetryTwice) // so that the balancer has to reduce the retries
	b := d.NewBalancer(7)
	state := newDataPlaneState(len(d.Classes))
	zoneOf := map[balancer.Server]balancer.Zone{}
	list := balancer.EndpointList{Scope: balancer.FullList}
	var joins []balancer.ProxyEvent
	for number := range d.Zones {
		zone := balancer.Zone(number)
		for i := range []int{40, 10, 10}[number] { // the zones do not have equal shares of the servers
			server := balancer.Server(fmt.Sprintf("s-%d-%d", number, i))
			zoneOf[server] = zone
			list.Endpoints = append(list.Endpoints, balancer.Endpoint{Server: server, Zone: zone, Weight: 1})
		}
		joins = append(joins, balancer.ProxyEvent{Proxy: balancer.Proxy(number), Joined: true, Zone: zone, ExpectedRate: 5})
	}
	b.Reconcile(100, balancer.Events{Lists: []balancer.EndpointList{list}, ProxyEvents: joins}, state)
	for i := range 400 { // most attempts fail at first, then none: retries are disabled and enabled again
		var reports []balancer.UpstreamReport
		if i%4 == 0 {
			reports = reportsOf(zoneOf, []float64{6, 0}[i/200])
		}
		b.Reconcile(100.1+float64(i)/4, balancer.Events{Upstreams: reports}, state)
	}
	for _, join := range joins {
		for class := range d.Classes {
			checkTable(t, state, join, balancer.Class(class), zoneLocal[class], zoneOf)
		}
	}
	checkRetries(t, d, state)
}

// reportsOf returns a report for each server, sorted by server, with eight attempts of which the given number failed.
func reportsOf(zoneOf map[balancer.Server]balancer.Zone, failed float64) []balancer.UpstreamReport {
	var reports []balancer.UpstreamReport
	for server, zone := range zoneOf {
		reports = append(reports, balancer.UpstreamReport{Server: server, Zone: zone, Attempts: 8, Failed: failed, Latency: 0.2, Interval: 1})
	}
	slices.SortFunc(reports, func(a, b balancer.UpstreamReport) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return reports
}

// checkTable checks that a class of a proxy has a table with servers, all of them in the proxy's zone if the class is
// zone local.
func checkTable(t *testing.T, state *dataPlaneState, proxy balancer.ProxyEvent, class balancer.Class, zoneLocal bool,
	zoneOf map[balancer.Server]balancer.Zone) {
	t.Helper()
	table, assigned := state.tableOf[proxy.Proxy][class]
	usable := 0
	for server, weight := range state.tables[table] {
		if weight <= 0 {
			continue
		}
		usable++
		if zoneLocal && zoneOf[server] != proxy.Zone {
			t.Errorf("class %d of a proxy in zone %d is sent to %s, which is in another zone", class, proxy.Zone, server)
		}
	}
	if !assigned || usable == 0 {
		t.Errorf("proxy %d has no server for class %d", proxy.Proxy, class)
	}
}

func checkRetries(t *testing.T, d *Deployment, state *dataPlaneState) {
	t.Helper()
	if state.retries[0] != balancer.RetryTwice {
		t.Errorf("highest retry policy of the idempotent class is %d, want RetryTwice", state.retries[0])
	}
	for class, policy := range state.retries {
		if idempotencies[d.Classes[class].Idempotency] != balancer.Idempotent && policy > balancer.RetryIfNotExecuted {
			t.Errorf("class %d may be executed twice: retry policy %d", class, policy)
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	for text, want := range map[string]string{
		"":                                "unexpected end",
		"[]":                              "cannot unmarshal",
		"{}":                              "grades",
		`{"grades":[{"effect":"often"}]}`: "often",
	} {
		if _, err := Read([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one that contains %q", text, err, want)
		}
	}
	if _, err := Read([]byte("{}")); !errors.Is(err, ErrNoClasses) {
		t.Errorf("without classes: error %v, want ErrNoClasses", err)
	}
}

// settingsWith returns a settings object with additional members of the data plane object and of the settings object.
func settingsWith(dataPlane, more string) string {
	return `{"zones":["a"],"grades":[{"effect":"free","aim":1}],"family-info":{"data-plane-size":9,` + dataPlane + `}` + more + `}`
}

func TestSettingsOutOfRange(t *testing.T) {
	for text, want := range map[string]string{
		settingsWith(`"reloads-max":-1`, ""):                                   "family-info.reloads-max: -1",
		settingsWith(`"egress-per-s":-5`, ""):                                  "family-info.egress-per-s: -5",
		settingsWith(`"pending-max":1e300`, ""):                                "family-info.pending-max: 1e+300",
		settingsWith(`"period":1`, `,"guarantees":{"ask-within":1e300}`):       "guarantees.ask-within: 1e+300",
		settingsWith(`"period":1`, `,"balancers":2000000`):                     "balancers: 2e+06",
		settingsWith(`"period":1`, `,"guarantees":{"stop-sending-within":-1}`): "guarantees.stop-sending-within: -1",
	} {
		_, err := Read([]byte(text))
		var outOfRange *RangeError
		if !errors.As(err, &outOfRange) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want a *RangeError that contains %q", text, err, want)
		}
	}
	if _, err := Read([]byte(settingsWith(`"reloads-max":"x"`, ""))); err == nil || !strings.Contains(err.Error(), "reloads-max") {
		t.Errorf("value of the wrong type: error %v, want one that contains the key", err)
	}
}

// Settings with which not every guarantee can be kept cause a warning, and the balancer runs with them.
func TestWarnings(t *testing.T) {
	for text, want := range map[string]string{
		settingsWith(`"egress-per-s":0,"pending-max":100,"per-message":3`, ""):                    "egress-per-s",
		settingsWith(`"egress-per-s":100,"pending-max":4,"per-message":10`, ""):                   "pending-max",
		settingsWith(`"egress-per-s":100,"pending-max":100,"per-message":3,"reloads-max":1`, ""):  "reloads-max",
		settingsWith(`"egress-per-s":100,"pending-max":100,"per-message":3,"reloads-max":30`, ""): "",
	} {
		d, err := Read([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		warnings := strings.Join(d.Warnings(), "; ")
		if !strings.Contains(warnings, want) || (warnings == "") != (want == "") {
			t.Errorf("%s: warnings %q, want %q", text, warnings, want)
		}
		runRounds(d)
	}
}

// runRounds runs a balancer with one server and two proxies for 30 rounds.
func runRounds(d *Deployment) {
	b := d.NewBalancer(1)
	state := newDataPlaneState(1)
	events := balancer.Events{
		Lists: []balancer.EndpointList{{Endpoints: []balancer.Endpoint{{Server: "s", Weight: 1}}}},
		ProxyEvents: []balancer.ProxyEvent{
			{Proxy: 1, Joined: true, ExpectedRate: 5},
			{Proxy: 2, Joined: true, ExpectedRate: 5},
		},
	}
	for i := range 30 {
		b.Reconcile(100+float64(i)/4, events, state)
		events = balancer.Events{Acks: []balancer.Ack{{Proxy: 1, ID: 1, Latency: 0.1}}}
	}
}
