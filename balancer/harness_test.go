package balancer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"snowquay/internal/testseed"
)

// Random runs always start from the same seed, so that the result never varies. Command-line flags take
// precedence.
func TestMain(m *testing.M) {
	testseed.MainWithFlags(m, map[string]string{
		"rapid.seed":       "20",
		"rapid.nofailfile": "true",
		"rapid.checks":     "150",
		"rapid.shrinktime": "3s",
	})
}

// site is the configuration that a test passes to New.
type site struct {
	classes    []RequestClass
	dataPlane  DataPlane
	channel    Channel
	guarantees Guarantees
	reporting  Reporting
	discovery  Discovery
}

func defaultSite() site {
	return site{
		classes: []RequestClass{
			{PriorityWeight: 1, LatencyObjective: 1, ClientTimeout: 3},
			{PriorityWeight: 4, LatencyObjective: 1, ClientTimeout: 3, Idempotency: NonIdempotent},
		},
		dataPlane: DataPlane{
			Proxies:      8,
			Coordinators: 1,
			DefaultRetry: RetryIfNotExecuted,
			Admission:    AdmissionFraction,
		},
		channel: Channel{
			EntriesPerSecond: 2000,
			MessageOverhead:  4,
			MaxQueued:        2000,
			MeanDelay:        0.2,
			MaxDelay:         0.5,
			MessageWindow:    10,
		},
		guarantees: Guarantees{
			DrainDeadline:         3,
			EmptyTableDeadline:    2,
			WarmupStartFraction:   0.2,
			WarmupDuration:        15,
			OverloadFactor:        3,
			OverloadWindow:        2,
			DiscoveryPollDeadline: 10,
		},
		reporting: Reporting{Period: 1, EntriesPerSecond: 400},
	}
}

// start creates a balancer for the site and its harness.
func (s site) start() *harness { return s.startWithSeed(7) }

func (s site) startWithSeed(seed uint64) *harness {
	return &harness{
		site: s,
		balancer: New(seed, s.classes, s.dataPlane, s.channel, s.guarantees, s.reporting, HealthChecking{},
			s.discovery),
		endpoints:     map[Server]Endpoint{},
		drainingSince: map[Server]float64{},
		tables:        map[Table]map[Server]float64{},
		admissions:    map[Table]map[Class]float64{},
		assigned:      map[Proxy]map[Class]Table{},
		zones:         map[Proxy]Zone{},
		messageSizes:  map[Proxy]float64{},
		messageTimes:  map[Proxy][]float64{},
	}
}

// startSettled starts a site with the given number of warm servers and runs half a minute of normal traffic.
func startSettled(t *testing.T, s site, servers int) *harness {
	t.Helper()
	h := s.start()
	h.listAndJoin(servers)
	h.runSeconds(30, 100, healthy)
	if h.violation != "" {
		t.Fatal(h.violation)
	}
	return h
}

// harness runs rounds of a balancer. It implements CommandSink: it applies the commands to its model of the tables
// of all proxies, and records the first violation of a guarantee.
type harness struct {
	site          site
	balancer      *Balancer
	now           float64
	endpoints     map[Server]Endpoint
	drainingSince map[Server]float64
	tables        map[Table]map[Server]float64
	admissions    map[Table]map[Class]float64
	assigned      map[Proxy]map[Class]Table
	zones         map[Proxy]Zone
	messageSizes  map[Proxy]float64   // size of this round's message in entries
	messageTimes  map[Proxy][]float64 // times of the messages within the message window
	queued        float64             // entries in the channel
	queuedAt      float64
	ackIDs        []AckID
	ackRequested  bool // an acknowledgement has been requested in this round
	pendingAcks   []pendingAck
	polledAt      []float64
	log           string
	violation     string
}

// pendingAck is an acknowledgement in transit.
type pendingAck struct {
	arrivesAt float64
	ack       Ack
}

// arrivedAcks removes and returns the acknowledgements that have arrived by the given time.
func (h *harness) arrivedAcks(now float64) []Ack {
	var arrived []Ack
	h.pendingAcks = slices.DeleteFunc(h.pendingAcks, func(pending pendingAck) bool {
		if pending.arrivesAt > now {
			return false
		}
		arrived = append(arrived, pending.ack)
		return true
	})
	return arrived
}

func (h *harness) recordViolation(format string, args ...any) {
	if h.violation == "" {
		h.violation = fmt.Sprintf("at %.2f: ", h.now) + fmt.Sprintf(format, args...)
	}
}

func (h *harness) checkFinite(value float64) {
	if math.IsNaN(value) || value < 0 || math.IsInf(value, 0) {
		h.recordViolation("command with invalid value %v", value)
	}
}

// users returns the proxies that use a table.
func (h *harness) users(table Table) []Proxy {
	var users []Proxy
	for proxy, tables := range h.assigned {
		for _, used := range tables {
			if used == table && !slices.Contains(users, proxy) {
				users = append(users, proxy)
			}
		}
	}
	return users
}

func (h *harness) SetWeight(table Table, server Server, weight float64) {
	h.log += fmt.Sprintf("weight %d %s %.3f;", table, server, weight)
	h.checkFinite(weight)
	if h.tables[table] == nil {
		h.tables[table] = map[Server]float64{}
	}
	h.tables[table][server] = weight
	if weight == 0 {
		delete(h.tables[table], server)
	}
	for _, proxy := range h.users(table) {
		h.messageSizes[proxy]++
	}
	h.checkEmptyTables()
}

func (h *harness) AssignTable(proxy Proxy, table Table, classes ClassSet) {
	h.log += fmt.Sprintf("assign %d %d %b;", proxy, table, classes)
	if h.assigned[proxy] == nil {
		h.assigned[proxy] = map[Class]Table{}
	}
	for class := range h.site.classes {
		if classes == 0 || classes&(1<<class) != 0 {
			h.assigned[proxy][Class(class)] = table
		}
	}
	h.messageSizes[proxy] += float64(1 + len(h.tables[table]) + len(h.admissions[table]))
}

func (h *harness) SetAdmission(table Table, classes ClassSet, rate float64, retry RetryPolicy) {
	h.log += fmt.Sprintf("admission %d %b %.3f %d;", table, classes, rate, retry)
	h.checkFinite(rate)
	for i, class := range h.site.classes {
		if classes != 0 && classes&(1<<i) == 0 {
			continue
		}
		if class.Idempotency != Idempotent && retry > RetryIfNotExecuted {
			h.recordViolation("requests of class %d may be executed twice", i)
		}
		if h.admissions[table] == nil {
			h.admissions[table] = map[Class]float64{}
		}
		h.admissions[table][Class(i)] = rate
	}
	for _, proxy := range h.users(table) {
		h.messageSizes[proxy]++
	}
}

func (h *harness) RequestAck(id AckID) {
	h.log += fmt.Sprintf("ack %d;", id)
	h.ackIDs = append(h.ackIDs, id)
	h.ackRequested = true
	for proxy := range h.messageSizes {
		h.messageSizes[proxy]++
	}
}

func (h *harness) HealthCheck(Server)                {}
func (h *harness) PollDiscovery()                    { h.polledAt = append(h.polledAt, h.now) }
func (h *harness) SetTimer(seconds float64, _ Timer) { h.checkFinite(seconds) }
func (h *harness) Log(string)                        {}

// reconcile runs one round and checks the guarantees.
func (h *harness) reconcile(now float64, events Events) {
	h.now = now
	for _, list := range events.Lists {
		h.applyList(list)
	}
	for _, event := range events.ProxyEvents {
		delete(h.assigned, event.Proxy)
		delete(h.messageTimes, event.Proxy)
		h.zones[event.Proxy] = event.Zone
	}
	h.balancer.Reconcile(now, events, h)
	h.queued = math.Max(0, h.queued-(now-h.queuedAt)*h.site.channel.EntriesPerSecond)
	h.queuedAt = now
	h.scheduleAcks()
	h.countMessages()
	h.checkEmptyTables()
	h.checkDrains()
}

// applyList applies an endpoint list.
func (h *harness) applyList(list EndpointList) {
	listed := map[Server]bool{}
	for _, endpoint := range list.Endpoints {
		listed[endpoint.Server] = true
		_, draining := h.drainingSince[endpoint.Server]
		if endpoint.Phase == Ready {
			delete(h.drainingSince, endpoint.Server)
		} else if !draining {
			h.drainingSince[endpoint.Server] = h.now
		}
		h.endpoints[endpoint.Server] = endpoint
	}
	for server, endpoint := range h.endpoints {
		if list.Scope == FullList && !listed[server] && endpoint.Phase != Removed {
			endpoint.Phase = Removed
			h.endpoints[server] = endpoint
			h.drainingSince[server] = h.now
		}
	}
}

// countMessages adds the messages of a round to the channel and checks both limits of the channel.
func (h *harness) countMessages() {
	limits := h.site.channel
	for proxy, entries := range h.messageSizes {
		h.queued += entries + limits.MessageOverhead
		h.messageTimes[proxy] = append(h.messageTimes[proxy], h.now)
		times := h.messageTimes[proxy]
		for times[0] < h.now-limits.MessageWindow {
			times = times[1:]
		}
		h.messageTimes[proxy] = times
		if limits.MaxMessages > 0 && len(times) > limits.MaxMessages {
			h.recordViolation("%d messages to proxy %d in a window, more than allowed", len(times), proxy)
		}
	}
	clear(h.messageSizes)
	if h.queued > limits.MaxQueued {
		h.recordViolation("%.0f entries are queued, more than allowed", h.queued)
	}
}

// scheduleAcks schedules acknowledgements of the round from two of three proxies, for the time at which their
// messages have left the channel and arrived.
func (h *harness) scheduleAcks() {
	ahead := h.queued
	for _, proxy := range slices.Sorted(maps.Keys(h.messageSizes)) {
		ahead += h.messageSizes[proxy] + h.site.channel.MessageOverhead
		latency := ahead/h.site.channel.EntriesPerSecond + h.site.channel.MeanDelay
		if h.ackRequested && proxy%3 > 0 {
			id := h.ackIDs[len(h.ackIDs)-1]
			ack := Ack{Proxy: proxy, ID: id, Latency: latency}
			h.pendingAcks = append(h.pendingAcks, pendingAck{arrivesAt: h.now + latency, ack: ack})
		}
	}
	h.ackRequested = false
}

// checkEmptyTables checks that no proxy is without a table entry that it may use while an eligible warm server is listed.
func (h *harness) checkEmptyTables() {
	for proxy, tables := range h.assigned {
		for class, table := range tables {
			for _, endpoint := range h.endpoints {
				warm := h.now-endpoint.Started >= h.site.guarantees.WarmupDuration
				if warm && endpoint.Phase == Ready && h.eligible(proxy, class, endpoint) && !h.hasUsableEntry(proxy, class, table) {
					h.recordViolation("proxy %d has no table entry for class %d", proxy, class)
				}
			}
		}
	}
}

// eligible reports whether a proxy may send requests of a class to a server.
func (h *harness) eligible(proxy Proxy, class Class, endpoint Endpoint) bool {
	if h.site.classes[class].ZoneLocal {
		return endpoint.Zone == h.zones[proxy]
	}
	zones := h.site.classes[class].AllowedZones
	return len(zones) == 0 || slices.Contains(zones, endpoint.Zone)
}

func (h *harness) hasUsableEntry(proxy Proxy, class Class, table Table) bool {
	for server := range h.tables[table] {
		if h.eligible(proxy, class, h.endpoints[server]) {
			return true
		}
	}
	return false
}

// checkDrains checks that draining servers are in no table after half of the drain deadline.
func (h *harness) checkDrains() {
	for server, since := range h.drainingSince {
		for table, weights := range h.tables {
			if weights[server] > 0 && h.now-since > h.site.guarantees.DrainDeadline/2 {
				h.recordViolation("draining server %s is still in table %d", server, table)
			}
		}
	}
}

// share returns a server's fraction of the total weight of table 1.
func (h *harness) share(server Server) float64 {
	sum := 0.0
	for _, weight := range h.tables[1] {
		sum += weight
	}
	return h.tables[1][server] / math.Max(sum, 1e-9)
}

// listAndJoin runs a round in which the given number of warm servers are listed and all proxies of the site join.
func (h *harness) listAndJoin(servers int) {
	var list EndpointList
	for i := range servers {
		list.Endpoints = append(list.Endpoints, Endpoint{Server: serverName(i), Weight: 1, Zone: Zone(i % 2)})
	}
	events := Events{Lists: []EndpointList{list}}
	for proxy := range h.site.dataPlane.Proxies {
		events.ProxyEvents = append(events.ProxyEvents, joined(Proxy(proxy), 12))
	}
	h.reconcile(100, events)
}

// runSeconds runs rounds of one second each, with reports of the traffic that results from the tables.
func (h *harness) runSeconds(seconds int, requests float64, respond responder) {
	for range seconds {
		var events Events
		for i := range len(h.endpoints) {
			server := serverName(i)
			if h.tables[1][server] > 0 {
				report := respond(server, h.share(server), requests)
				report.Interval = 1
				events.Upstreams = append(events.Upstreams, report)
			}
		}
		each := requests / float64(len(h.assigned)*len(h.site.classes))
		for _, proxy := range slices.Sorted(maps.Keys(h.assigned)) {
			for class := range h.site.classes {
				events.Demands = append(events.Demands,
					DemandReport{Proxy: proxy, Class: Class(class), Requests: each, Interval: 1})
			}
		}
		h.reconcile(h.now+1, events)
	}
}

func serverName(i int) Server { return Server(fmt.Sprintf("10.0.0.%02d:80", i)) }

func joined(proxy Proxy, rate float64) ProxyEvent {
	return ProxyEvent{Proxy: proxy, Joined: true, ExpectedRate: rate}
}

func deltaList(endpoints ...Endpoint) []EndpointList {
	return []EndpointList{{Scope: DeltaList, Endpoints: endpoints}}
}

func fullList(endpoints ...Endpoint) []EndpointList {
	return []EndpointList{{Scope: FullList, Endpoints: endpoints}}
}
