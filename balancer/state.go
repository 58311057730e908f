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
	// The configuration, fixed at New.
	classes           []RequestClass
	classesByPriority []Class // highest priority weight first
	dataPlane         DataPlane
	guarantees        Guarantees
	reportPeriod      float64 // seconds between two reports
	latencyObjective  float64 // seconds; the longest of all classes
	eligibilitySets   []*eligibilitySet

	// Servers.
	serverByAddress map[Server]*server
	servers         []*server // by zone, then by discovery

	// Proxies.
	proxyByID     map[Proxy]*proxy
	proxies       []*proxy      // connected, in the order of joining
	disconnected  []*proxy      // left and not back yet
	reconnectedAt float64       // when a disconnected proxy last came back
	groups        []*proxyGroup // by zone

	// Estimates, renewed at the end of each report period.
	reportsPending  bool    // reports have arrived since the last period ended
	periodEndedAt   float64 // end of the last period
	sampleCycle     float64 // seconds from one sample of a server to its next
	attemptRate     float64 // attempts per second, including retries
	completionRates histogram.Histogram
	highFailureRate bool // proxies are likely to eject servers
	overloaded      bool // the mean latency is too close to the objective
	admitted        []admittedFraction

	channel channel
	random  random.PCG
	pollAt  float64 // next poll of discovery; infinite if it is not polled
	timerAt float64 // next timer
}

// server is the state of one server.
type server struct {
	Endpoint
	position           int                 // in Balancer.servers
	discoveredAt       float64             // when this incarnation was listed; -infinity if it was cached at the start
	ignoreReportsUntil float64             // until then reports may describe an outage that is over
	delisted           bool                // removed from a list whose removals are advisory
	observed           bool                // reports have shown its performance
	onTime             bool                // at the last estimate, its latency was far below the objective
	samples            []sample            // oldest first
	completionRates    histogram.Histogram // usual completions per second
	intake             float64             // requests per second, set by the regulator
}

// inZones reports whether the server is in one of the zones. An empty list means all zones.
func (s *server) inZones(zones []Zone) bool {
	return len(zones) == 0 || slices.Contains(zones, s.Zone)
}

// sample is the traffic between the proxies of one zone and a server within an interval.
type sample struct {
	zone        Zone
	reportedAt  float64
	interval    float64 // seconds
	attempts    float64
	succeeded   float64
	failed      float64
	busySeconds float64 // total latency of the successful attempts
}

// trafficRates are the samples of a server as rates per second, summed over the zones of the proxies.
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
	bound    bool // has been assigned the tables of its group
	joinedAt float64
	leftAt   float64
	demand   []float64 // requests per second, by class

	awaitedAck  AckID   // ID in the newest message to it; 0 if none
	messageSize float64 // size of that message in entries
	// redeliveredSize is the size in entries of the tables that it may be sent twice in this round.
	redeliveredSize float64
}

// proxyGroup is a set of proxies that share weight tables: all proxies, or some of one zone.
type proxyGroup struct {
	zone         Zone
	demandShare  float64               // relative to an even share
	tables       []*weightTable        // one per eligibility set
	boundProxies float64               // number of proxies that have been assigned its tables
	messageSize  float64               // of this round, including overhead, in entries; 0 if there is no message yet
	messages     slidingwindow.Counter // sent to each of its proxies
}

// eligibilitySet is a set of request classes that may go to the same servers.
type eligibilitySet struct {
	classes   ClassSet
	zones     []Zone // zones of the servers; empty for all
	zoneLocal bool   // only servers in the zone of the proxy
}

// weightTable is a weight table as it was last sent to the proxies of its group.
type weightTable struct {
	id               Table
	weights          map[Server]float64
	weightsSentAt    float64
	admissions       map[Class]admissionSetting
	admissionsSentAt float64
}

// tableEntry is a server with its weight in a table. While a table is being computed, the weight is the
// intake in requests per second that the group uses of the server.
type tableEntry struct {
	server *server
	weight float64
}

// weightChange is the current and the wanted weight of a server in a table. A weight of 0 means no
// entry.
type weightChange struct {
	server  *server
	current float64
	wanted  float64
}

// admissionSetting is the admission rate and the retry policy of one class.
type admissionSetting struct {
	rate  float64 // fraction or requests per second, depending on DataPlane.Admission
	retry RetryPolicy
}

// admittedFraction is the fraction of the new requests of a class that is admitted, from 0 to 1.
type admittedFraction struct {
	wanted   float64 // last decision
	observed float64 // decision that the current reports reflect
}

// channel is the account of the channel to the proxies. Everything that was sent and not acknowledged
// may still be queued in it, regardless of its pace. Only this account limits what may be sent, so the
// limit holds even if the channel slows down unnoticed. Amounts are in entries.
type channel struct {
	Channel
	drainDeadline float64 // seconds
	inFlight      inflight.Window
	relativePace  float64 // relative to EntriesPerSecond, from recent acknowledgements
	lastAckID     AckID   // newest acknowledgement request
	settledAt     float64 // last time that entries were assumed to be delivered
	lastSentAt    float64
}

// includes reports whether the set names a class. Unlike in commands, 0 is the empty set.
func (cs ClassSet) includes(c Class) bool { return cs>>c&1 == 1 }

// allClasses names every class.
const allClasses = ^ClassSet(0)

// offeredRate returns the demand of proxies for a set of classes, in requests per second. If group is
// not nil, only its proxies count.
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
