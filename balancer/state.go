package balancer

import (
	"slices"

	"snowquay/internal/core/histogram"
	"snowquay/internal/core/inflight"
	"snowquay/internal/core/random"
	"snowquay/internal/core/slidingwindow"
)

// Balancer holds the state of one coordinator and decides for its proxies. It is not safe for
// concurrent use. All times are seconds of the clock that the caller of Reconcile keeps; all rates are
// per second.
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
	servers         []*server // by zone, then as first listed, so that the order of a map never reaches a decision

	// Proxies.
	proxyByID     map[Proxy]*proxy
	proxies       []*proxy      // connected ones, in the order of joining
	disconnected  []*proxy      // those that left and have not come back
	reconnectedAt float64       // when the latest of them came back
	groups        []*proxyGroup // by zone

	// Estimates, renewed at the end of each report period.
	reportsPending  bool    // reports have come since the end of the last period
	periodEndedAt   float64 // end of the last period
	sampleCycle     float64 // seconds from one sample of a server to its next
	attemptRate     float64 // attempts of connected proxies, retries included
	completionRates histogram.Histogram
	highFailureRate bool // so many attempts fail that proxies eject servers
	overloaded      bool // work takes longer than the latency objective allows
	admitted        []admittedFraction

	channel channel
	random  random.PCG
	pollAt  float64 // when discovery is polled next; infinite: not
	timerAt float64 // when the next timer is set
}

// server is what is known of one server.
type server struct {
	Endpoint
	position           int     // in Balancer.servers
	discoveredAt       float64 // when its present incarnation was first listed; -infinity if it was cached at the start
	ignoreReportsUntil float64 // until then reports may still tell of an outage that is over
	delisted           bool    // removed by a list whose removals are only advice
	observed           bool    // reports have shown how it performs
	onTime             bool    // and that it answers well within the latency objective
	samples            []sample
	completionRates    histogram.Histogram // requests a second that it usually completes
	intake             float64             // requests a second that the regulator wants it to get
}

// inZones tells whether the server stands in one of the zones; none named means all.
func (s *server) inZones(zones []Zone) bool {
	return len(zones) == 0 || slices.Contains(zones, s.Zone)
}

// sample is what the proxies of one zone met at a server within an interval.
type sample struct {
	zone        Zone
	reportedAt  float64
	interval    float64 // seconds that it covers
	attempts    float64
	succeeded   float64
	failed      float64
	busySeconds float64 // sum of the latencies of all that succeeded
}

// trafficRates are a server's samples as rates per second, summed over the zones of the proxies.
type trafficRates struct {
	attempts     float64
	succeeded    float64
	failed       float64
	inProcess    float64 // requests in process on average: completion rate times mean latency
	attemptCount float64 // attempts in the samples that the rates rest on
}

// proxy is a proxy of this coordinator.
type proxy struct {
	ProxyEvent
	group    *proxyGroup
	bound    bool // it has been assigned the tables of its group
	joinedAt float64
	leftAt   float64
	demand   []float64 // requests a second, by class

	awaitedAck  AckID   // requested with the newest message to it; 0: none yet
	messageSize float64 // of that message, in entries
}

// proxyGroup is a set of proxies that share weight tables: all proxies, or some of one zone.
type proxyGroup struct {
	zone         Zone
	demandShare  float64        // of all requests, against an even share
	tables       []*weightTable // one for each eligibility set
	boundProxies float64        // proxies that have been assigned its tables
	messageSize  float64        // of this round's message to each of them, in entries with overhead; 0: none yet
	messages     slidingwindow.Counter
}

// eligibilitySet is a set of request classes that may go to the same servers.
type eligibilitySet struct {
	classes   ClassSet
	zones     []Zone // of the servers; none named: all
	zoneLocal bool   // only servers of the proxy's own zone
}

// weightTable is a table as the proxies of its group hold it.
type weightTable struct {
	id               Table
	weights          map[Server]float64
	weightsSentAt    float64
	admissions       map[Class]admissionSetting
	admissionsSentAt float64
}

// tableEntry is a server in a table with its weight, or in a group's part of the servers with the
// requests a second that it takes there.
type tableEntry struct {
	server *server
	weight float64
}

// weightChange is the weight that a table holds of a server, and the one that it is to hold; 0 is no
// entry.
type weightChange struct {
	server  *server
	current float64
	wanted  float64
}

// admissionSetting is what proxies are ordered to admit of one class, and when they may retry it.
type admissionSetting struct {
	rate  float64 // a fraction or requests a second, by DataPlane.Admission
	retry RetryPolicy
}

// admittedFraction is the part of a class's new requests that is admitted, from 0 to 1.
type admittedFraction struct {
	wanted   float64 // as decided last
	observed float64 // as the reports at hand reflect it: they trail the decisions
}

// channel is what is known of the way to the proxies. All that was sent and is not acknowledged may
// still wait in it, at whatever pace it moves; that alone decides how much more may be sent, so that
// the limit holds even if the channel slows down without notice. Amounts are in entries.
type channel struct {
	Channel
	drainDeadline float64 // seconds
	inFlight      inflight.Window
	relativePace  float64 // against EntriesPerSecond, by the latest acknowledgements
	lastAckID     AckID   // of the newest acknowledgement request
	settledAt     float64 // when entries were last assumed to have been delivered
	lastSentAt    float64
}

// includes tells whether a set names a class. It does not read 0 as all classes.
func (cs ClassSet) includes(c Class) bool { return cs>>c&1 == 1 }

// allClasses names every class.
const allClasses = ^ClassSet(0)

// offeredRate is the demand of proxies for some classes, in requests a second. A nil group stands for
// all groups.
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

// minAdmitted is the least admitted fraction of all classes.
func (b *Balancer) minAdmitted() float64 {
	lowest := 1.0
	for _, fraction := range b.admitted {
		lowest = min(lowest, fraction.wanted)
	}
	return lowest
}
