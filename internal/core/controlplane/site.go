package controlplane

import (
	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// Guard names a defence that tests may leave out, to see that the rule it is for is then broken.
type Guard string

const (
	GuardRejoin   Guard = "rejoin"   // what a relay holds is forgotten when its connection ends (rule 1)
	GuardRepeats  Guard = "repeats"  // no class is repeated in a way in which it could take effect twice (rule 2)
	GuardMemory   Guard = "memory"   // drains outlive the coordinator (rule 3)
	GuardCold     Guard = "cold"     // a server that starts is told to be cold (rule 4)
	GuardPace     Guard = "pace"     // messages leave no faster than the channel, and no more than its limit (rule 5)
	GuardOverdue  Guard = "overdue"  // a relay that does not take a drain in time is cut off (rule 3)
	GuardVersions Guard = "versions" // a proxy that asks holds only what it was sent in this life (rule 1)
	GuardOften    Guard = "often"    // a relay joins no more often than one that dials when its connection breaks (rule 3)
	GuardTable    Guard = "table"    // no table is published without a line to an open, warm server that it had (rule 1)
	GuardLines    Guard = "lines"    // the module counts lines as they are sent, once for each class (rule 5)
	GuardReports  Guard = "reports"  // and so is one whose reports show that it does not follow it (rule 3)
)

// Guards are all of them, one for each rule first.
var Guards = []Guard{GuardRejoin, GuardRepeats, GuardMemory, GuardCold, GuardPace, GuardOverdue, GuardReports, GuardVersions, GuardOften, GuardTable, GuardLines}

// Relay is what the settings say of a proxy.
type Relay struct {
	UID   string
	Zone  balancer.Zone
	Usual float64 // queries a second
}

// Pooled is what the settings say of a server's capacity, for previews.
type Pooled struct {
	Pool     string  // servers of one pool are held against the pool's capacity together
	Capacity float64 // queries a second when it is warm
}

// Site is what a coordinator is started with. Times are seconds.
type Site struct {
	Seed       uint64
	Names      []string // of the classes, in the order of Classes
	Classes    []balancer.RequestClass
	Zones      []string
	Relays     []Relay
	Strangers  bool          // relays that are not listed may join
	StrangerIn balancer.Zone // the zone that they are held to be in
	Servers    []registry.ServerConfig
	Dataplane  balancer.DataPlane
	Channel    balancer.Channel
	Guarantees balancer.Guarantees
	Reporting  balancer.Reporting
	Repeats    []balancer.RetryPolicy // by class: how relays repeat, as their settings say
	Limits     Limits
	Prefix     string // of the UIDs of all relays that may join; empty: any
	Pools      map[balancer.Server]Pooled
	Without    map[Guard]bool
}

// Limits bound what a coordinator keeps for what comes from outside. What happens at each is said beside it.
type Limits struct {
	Relays      int     // joined at once; one more is refused
	Servers     int     // on the roll; one more is refused
	Series      int     // of measurements; one more is left out and counted
	HoldServer  float64 // seconds that a server stays whose connection broke
	KnowRelay   float64 // seconds that the number of a relay that left is kept for it
	StallFor    float64 // seconds that a relay may leave a message untaken; then it is cut off
	DrainPart   float64 // part of the grace that a drain may wait for a relay to take it; then it is cut off
	ObeyWithin  float64 // seconds that a relay may take to apply a message that its host has
	GatherFor   float64 // seconds in which servers may register before the first tables are made
	RoundEvery  float64 // seconds between two rounds at least
	TracesAhead int     // orders whose trace is kept until they are held; further ones are not traced
}

// UsualLimits are the limits that settings start from.
var UsualLimits = Limits{
	Relays:      8192, // the aim is 5,000
	Servers:     4096, // the aim is 1,000, twice while they are replaced
	Series:      1 << 21,
	HoldServer:  2.5,   // a broken connection is dialled again within two seconds
	KnowRelay:   600,   // a relay's host restarts within ten minutes
	StallFor:    10,    // the longest pause of a relay that is still alive
	DrainPart:   0.6,   // leaves the rest of the grace for noticing and for what is on the way
	ObeyWithin:  0.25,  // a table of 5,000 lines at 50 microseconds each
	GatherFor:   1.2,   // a server dials within a second, and reports its uptime within another part of it
	RoundEvery:  0.05,  // a twentieth of a usual report period
	TracesAhead: 16384, // two for each relay
}

// SafeRepeats is how a class may be repeated at most, whatever the settings wish. Guards against an effect that
// happens twice: a repeat after any failure may follow a try that ran. It does harm to nobody but those who wait for a
// repeat that is not safe.
func SafeRepeats(q balancer.RequestClass, wish balancer.RetryPolicy, without map[Guard]bool) balancer.RetryPolicy {
	if q.Idempotency == balancer.Idempotent || without[GuardRepeats] {
		return wish
	}
	return min(wish, balancer.RetryIfNotExecuted)
}
