package balancer

import (
	"slices"

	"snowquay/internal/core/histogram"
	"snowquay/internal/core/inflight"
	"snowquay/internal/core/random"
	"snowquay/internal/core/slidingwindow"
)

// Balancer holds the state of one coordinator and makes its decisions. It is not safe for concurrent
// use. Times are in seconds of the clock that is passed to Reconcile, and rates are per second.
type Balancer struct {
	// Configuration, set by New and constant afterwards.
	classes           []RequestClass
	classesByPriority []Class // highest priority weight first
	dataPlane         DataPlane
	guarantees        Guarantees
	reportPeriod      float64 // seconds between two reports
	latencyObjective  float64 // longest latency objective of all classes, in seconds
	eligibilitySets   []*eligibilitySet

	// Servers.
	serverByAddress map[Server]*server
	servers         []*server // ordered by zone, then by time of discovery

	// Proxies.
	proxyByID     map[Proxy]*proxy
	proxies       []*proxy      // connected proxies, in the order of joining
	disconnected  []*proxy      // proxies that left and have not rejoined
	reconnectedAt float64       // time at which a disconnected proxy last rejoined
	groups        []*proxyGroup // ordered by zone
	groupsPerZone int

	// Estimates, updated at the end of each report period.
	reportsPending  bool                // reports have arrived since the last period ended
	periodEndedAt   float64             // end of the last period
	sampleCycle     float64             // seconds between consecutive samples of a server
	attemptRate     float64             // attempts per second, including retries
	completionRates histogram.Histogram // usual completions per second of all servers
	highFailureRate bool                // so many attempts fail that proxies are likely to eject servers
	overloaded      bool                // the mean latency is too close to the objective
	admitted        []admittedFraction  // by class

	channel channel
	random  random.PCG
	pollAt  float64 // time of the next poll of discovery; infinite if none is due
	timerAt float64 // time at which the pending timer fires and another one is set
}

// server is the state of one server.
type server struct {
	Endpoint
	position           int                 // index in Balancer.servers
	discoveredAt       float64             // when this incarnation was first listed; -infinity if it was cached
	ignoreReportsUntil float64             // until this time reports may describe a past outage and are ignored
	delisted           bool                // missing from a list whose removals are advisory
	observed           bool                // reports have shown the performance of the server
	onTime             bool                // the latency was far below the objective at the last estimate
	samples            []sample            // oldest first
	completionRates    histogram.Histogram // usual completions per second
	intake             float64             // target rate in requests per second, set by the regulator
}

// inZones reports whether the server is in one of the zones. An empty list means all zones.
func (s *server) inZones(zones []Zone) bool {
	return len(zones) == 0 || slices.Contains(zones, s.Zone)
}

// sample describes the traffic between the proxies of one zone and one server within an interval.
type sample struct {
	zone        Zone
	reportedAt  float64
	interval    float64 // seconds
	attempts    float64
	succeeded   float64
	failed      float64
	busySeconds float64 // total latency of the successful attempts
}

// trafficRates holds the traffic of a server in rates per second, summed over the zones of the proxies.
type trafficRates struct {
	attempts     float64
	succeeded    float64
	failed       float64
	inProcess    float64 // mean number of requests in process: completion rate times mean latency
	attemptCount float64 // number of attempts that the rates are based on
}

// proxy is the state of one proxy of this coordinator.
type proxy struct {
	ProxyEvent
	group    *proxyGroup
	assigned bool // the proxy has been assigned the tables of its group
	joinedAt float64
	leftAt   float64
	demand   []float64 // requests per second, by class

	awaitedAck  AckID   // acknowledgement ID in the newest message to the proxy; 0 if none
	messageSize float64 // size of that message in entries
	// redeliveredSize is the size in entries of the tables that the proxy may be sent a second time in this
	// round.
	redeliveredSize float64
}

// proxyGroup is a set of proxies that share weight tables: all proxies, or some of one zone.
type proxyGroup struct {
	zone            Zone
	demandShare     float64               // demand of its proxies relative to an even share
	tables          []*weightTable        // one per eligibility set
	assignedProxies float64               // number of proxies that have been assigned its tables
	awaitsEntries   bool                  // a table is empty although servers are wanted in it
	messageSize     float64               // entries of this round's message, including overhead; 0 if none yet
	messages        slidingwindow.Counter // messages that were sent to each of its proxies
}

// eligibilitySet is a set of request classes that may go to the same servers.
type eligibilitySet struct {
	classes   ClassSet
	zones     []Zone // allowed zones of the servers; empty for all
	zoneLocal bool   // only servers in the zone of the proxy are allowed
}

// weightTable holds the contents of a weight table as last sent to the proxies of its group.
type weightTable struct {
	id               Table
	weights          map[Server]float64
	weightsSentAt    float64
	admissions       map[Class]admissionSetting
	admissionsSentAt float64
}

// tableEntry is a server and its weight in a table. While a table is being computed, the weight is the part
// of the server's intake that the group uses, in requests per second.
type tableEntry struct {
	server *server
	weight float64
}

// weightChange holds the current and the wanted weight of a server in a table. A weight of 0 means that
// there is no entry.
type weightChange struct {
	server  *server
	current float64
	wanted  float64
}

// admissionSetting holds the admission rate and the retry policy of one class.
type admissionSetting struct {
	rate  float64 // fraction or requests per second, depending on DataPlane.Admission
	retry RetryPolicy
}

// admittedFraction holds the fraction of the new requests of a class that is admitted, from 0 to 1.
type admittedFraction struct {
	wanted   float64 // fraction according to the latest decision
	observed float64 // smoothed fraction that the current reports reflect
}

// channel tracks how much may be queued in the channel to the proxies. Everything that was sent and not
// acknowledged may still be queued, regardless of the pace of the channel. Sending is limited by this amount
// alone, so the limit holds even if the channel slows down unnoticed. Amounts are in entries.
type channel struct {
	Channel
	drainDeadline float64 // seconds
	inFlight      inflight.Window
	relativePace  float64 // pace relative to EntriesPerSecond, estimated from recent acknowledgements
	lastAckID     AckID   // ID of the newest acknowledgement request
	settledAt     float64 // time up to which assumed deliveries have been accounted for
	lastSentAt    float64
}

// includes reports whether the set contains a class. Unlike in commands, 0 is the empty set.
func (cs ClassSet) includes(c Class) bool { return cs>>c&1 == 1 }

// allClasses contains every class.
const allClasses = ^ClassSet(0)

// offeredRate returns the demand of proxies for a set of classes, in requests per second. If group is not
// nil, only the proxies of that group are included.
func offeredRate(proxies []*proxy, group *proxyGroup, classes ClassSet) float64 {
	total := 0.0
	for _, p := range proxies {
		if group != nil && group != p.group {
			continue
		}
		for class, rate := range p.demand {
			if classes.includes(Class(class)) {
				total += rate
			}
		}
	}
	return total
}

// minAdmitted returns the lowest wanted fraction of all classes.
func (b *Balancer) minAdmitted() float64 {
	lowest := 1.0
	for _, fraction := range b.admitted {
		lowest = min(lowest, fraction.wanted)
	}
	return lowest
}
