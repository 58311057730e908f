package controlplane

import (
	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// Guard names a defence that tests may leave out, to see that the rule it is for is then broken.
type Guard string

const (
	GuardRejoin   Guard = "rejoin"   // what a relay holds is forgotten when its connection ends (rule 1)
	GuardRetries  Guard = "repeats"  // no class is repeated in a way in which it could take effect twice (rule 2)
	GuardMemory   Guard = "memory"   // drains outlive the coordinator (rule 3)
	GuardWarmup   Guard = "cold"     // a server that starts is told to be cold (rule 4)
	GuardPace     Guard = "pace"     // messages leave no faster than the channel, and no more than its limit (rule 5)
	GuardOverdue  Guard = "overdue"  // a relay that does not take a drain in time is cut off (rule 3)
	GuardVersions Guard = "versions" // a proxy that asks holds only what it was sent in this life (rule 1)
	GuardJoinRate Guard = "often"    // a relay joins no more often than one that dials when its connection breaks (rule 3)
	GuardTable    Guard = "table"    // no table is published without a line to an open, warm server that it had (rule 1)
	GuardEntries  Guard = "lines"    // the module counts lines as they are sent, once for each class (rule 5)
	GuardReports  Guard = "reports"  // and so is one whose reports show that it does not follow it (rule 3)
)

// Guards are all of them, one for each rule first.
var Guards = []Guard{GuardRejoin, GuardRetries, GuardMemory, GuardWarmup, GuardPace, GuardOverdue, GuardReports, GuardVersions, GuardJoinRate, GuardTable, GuardEntries}

// Relay is what the settings say of a proxy.
type Relay struct {
	UID          string
	Zone         balancer.Zone
	ExpectedRate float64 // queries a second
}

// PoolCapacity is what the settings say of a server's capacity, for previews.
type PoolCapacity struct {
	Pool     string  // servers of one pool are held against the pool's capacity together
	Capacity float64 // queries a second when it is warm
}

// Site is what a coordinator is started with. Times are seconds.
type Site struct {
	Seed           uint64
	ClassNames     []string // of the classes, in the order of Classes
	Classes        []balancer.RequestClass
	Zones          []string
	Relays         []Relay
	AllowUnlisted  bool          // relays that are not listed may join
	UnlistedZone   balancer.Zone // the zone that they are held to be in
	Servers        []registry.ServerConfig
	DataPlane      balancer.DataPlane
	Channel        balancer.Channel
	Guarantees     balancer.Guarantees
	Reporting      balancer.Reporting
	RetryPolicies  []balancer.RetryPolicy // by class: how relays repeat, as their settings say
	Limits         Limits
	UIDPrefix      string // of the UIDs of all relays that may join; empty: any
	Pools          map[balancer.Server]PoolCapacity
	DisabledGuards map[Guard]bool
}

// Limits bound what a coordinator keeps for what comes from outside. What happens at each is said beside it.
type Limits struct {
	MaxRelays        int     // joined at once; one more is refused
	MaxServers       int     // on the roll; one more is refused
	MaxSeries        int     // of measurements; one more is left out and counted
	ServerHold       float64 // seconds that a server stays whose connection broke
	RelayRetention   float64 // seconds that the number of a relay that left is kept for it
	StallTimeout     float64 // seconds that a relay may leave a message untaken; then it is cut off
	DrainFraction    float64 // part of the grace that a drain may wait for a relay to take it; then it is cut off
	ApplyGrace       float64 // seconds that a relay may take to apply a message that its host has
	StartupGather    float64 // seconds in which servers may register before the first tables are made
	MinRoundInterval float64 // seconds between two rounds at least
	MaxTraces        int     // orders whose trace is kept until they are held; further ones are not traced
}

// DefaultLimits are the limits that settings start from.
var DefaultLimits = Limits{
	MaxRelays:        8192, // the aim is 5,000
	MaxServers:       4096, // the aim is 1,000, twice while they are replaced
	MaxSeries:        1 << 21,
	ServerHold:       2.5,   // a broken connection is dialled again within two seconds
	RelayRetention:   600,   // a relay's host restarts within ten minutes
	StallTimeout:     10,    // the longest pause of a relay that is still alive
	DrainFraction:    0.6,   // leaves the rest of the grace for noticing and for what is on the way
	ApplyGrace:       0.25,  // a table of 5,000 lines at 50 microseconds each
	StartupGather:    1.2,   // a server dials within a second, and reports its uptime within another part of it
	MinRoundInterval: 0.05,  // a twentieth of a usual report period
	MaxTraces:        16384, // two for each relay
}

// SafeRetryPolicy is how a class may be repeated at most, whatever the settings wish. Guards against an effect that
// happens twice: a repeat after any failure may follow a try that ran. It does harm to nobody but those who wait for a
// repeat that is not safe.
func SafeRetryPolicy(q balancer.RequestClass, wish balancer.RetryPolicy, without map[Guard]bool) balancer.RetryPolicy {
	if q.Idempotency == balancer.Idempotent || without[GuardRetries] {
		return wish
	}
	return min(wish, balancer.RetryIfNotExecuted)
}
