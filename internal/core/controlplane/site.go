package controlplane

import (
	"snowquay/balancer"
	"snowquay/internal/core/registry"
)

// ProxyConfig is the configuration of one proxy.
type ProxyConfig struct {
	UID          string
	Zone         balancer.Zone
	ExpectedRate float64 // requests per second
}

// ServerCapacity is the configured capacity of a server, for previews.
type ServerCapacity struct {
	Pool     string  // the capacities of a pool's servers are added up
	Capacity float64 // requests per second when warmed up
}

// Site is the configuration of a coordinator. Times are in seconds.
type Site struct {
	Seed             uint64
	ClassNames       []string // in the order of Classes
	Classes          []balancer.RequestClass
	Zones            []string
	Proxies          []ProxyConfig
	AllowUnlisted    bool          // proxies that are not in Relays may join
	UnlistedZone     balancer.Zone // the zone that such proxies count for
	Servers          []registry.ServerConfig
	DataPlane        balancer.DataPlane
	Channel          balancer.Channel
	Guarantees       balancer.Guarantees
	Reporting        balancer.Reporting
	RetryPolicies    []balancer.RetryPolicy // by class, as configured at the proxies
	Limits           Limits
	UIDPrefix        string // of the UIDs of unlisted proxies that may join; empty: any
	ServerCapacities map[balancer.Server]ServerCapacity
	DisabledGuards   map[Guard]bool // for tests
}

// Limits bounds what a coordinator keeps, and how long it waits. Times are in seconds.
type Limits struct {
	MaxProxies       int     // proxies known at once; one more is refused
	MaxServers       int     // servers in the registry; one more is refused
	MaxSeries        int     // series of load reports; reports of one more are counted and ignored
	ServerHold       float64 // how long a server stays registered after its connection broke
	ProxyRetention   float64 // how long the ID of a proxy that left is kept for it
	StallTimeout     float64 // how long a message may stay unacknowledged before the proxy is disconnected
	DrainFraction    float64 // part of the drain deadline after which a proxy that has not acknowledged is disconnected
	ApplyGrace       float64 // how long a proxy may take to apply a message that its host has acknowledged
	RegistrationWait float64 // how long servers may register before the first tables are made
	MinRoundInterval float64 // least time between two rounds
	MaxTraces        int     // finished message traces kept until they are taken; further ones are dropped
}

// DefaultLimits are the limits without settings.
var DefaultLimits = Limits{
	MaxProxies:       8192, // the design target is 5,000
	MaxServers:       4096, // the design target is 1,000, twice that while they are replaced
	MaxSeries:        1 << 21,
	ServerHold:       2.5,   // a broken connection is dialled again within 2 seconds
	ProxyRetention:   600,   // a proxy's host restarts within 10 minutes
	StallTimeout:     10,    // the longest pause of a proxy that is still alive
	DrainFraction:    0.6,   // leaves the rest of the deadline for detection and delivery
	ApplyGrace:       0.25,  // a table of 5,000 entries at 50 microseconds each
	RegistrationWait: 1.2,   // a server dials within a second, and reports its uptime soon after
	MinRoundInterval: 0.05,  // a twentieth of the usual reporting period
	MaxTraces:        16384, // two for each proxy
}
