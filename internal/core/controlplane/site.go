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

// ServerCapacity is the configured capacity of a server. It is used for previews.
type ServerCapacity struct {
	Pool     string  // pool to whose total capacity the server contributes
	Capacity float64 // requests per second when warmed up
}

// Site is the configuration of a coordinator. Times are in seconds.
type Site struct {
	Seed             uint64
	ClassNames       []string // in the order of Classes
	Classes          []balancer.RequestClass
	Zones            []string
	Proxies          []ProxyConfig
	AllowUnlisted    bool          // proxies that are not listed in Proxies may join
	UnlistedZone     balancer.Zone // zone that is assumed for unlisted proxies
	Servers          []registry.ServerConfig
	DataPlane        balancer.DataPlane
	Channel          balancer.Channel
	Guarantees       balancer.Guarantees
	Reporting        balancer.Reporting
	RetryPolicies    []balancer.RetryPolicy // by class, as configured on the proxies
	Limits           Limits
	UIDPrefix        string // required UID prefix of unlisted proxies; empty if any UID may join
	ServerCapacities map[balancer.Server]ServerCapacity
	DisabledGuards   map[Guard]bool // safeguards disabled by tests
}

// Limits holds the resource limits and timeouts of a coordinator. Times are in seconds.
type Limits struct {
	MaxProxies       int     // maximum number of known proxies; further ones are refused
	MaxServers       int     // maximum number of servers in the registry; further ones are refused
	MaxSeries        int     // maximum number of load report series; reports of further series are counted and ignored
	ServerHold       float64 // how long a server stays registered after its connection was lost
	ProxyRetention   float64 // how long the ID of a proxy that left remains reserved
	StallTimeout     float64 // how long a message may stay unacknowledged before the proxy is disconnected
	DrainFraction    float64 // fraction of the drain deadline after which a proxy that has not acknowledged is disconnected
	ApplyGrace       float64 // how long a proxy may take to apply a message after its host has acknowledged it
	RegistrationWait float64 // how long servers may register before the first tables are computed
	MinRoundInterval float64 // minimum time between two rounds
	MaxTraces        int     // maximum number of finished message traces stored until TakeTraces; further ones are dropped
}

// DefaultLimits are the limits used unless the settings change them.
var DefaultLimits = Limits{
	MaxProxies:       8192, // the design target is 5,000
	MaxServers:       4096, // the design target is 1,000, and twice as many during a replacement of all servers
	MaxSeries:        1 << 21,
	ServerHold:       2.5,   // a lost connection is dialled again within 2 seconds
	ProxyRetention:   600,   // a proxy's host restarts within 10 minutes
	StallTimeout:     10,    // the longest pause expected of a working proxy
	DrainFraction:    0.6,   // the rest of the deadline remains for detection and delivery
	ApplyGrace:       0.25,  // time to apply a table of 5,000 entries at 50 microseconds each
	RegistrationWait: 1.2,   // a server dials within a second, and reports its uptime soon after
	MinRoundInterval: 0.05,  // a twentieth of the usual reporting period
	MaxTraces:        16384, // two per proxy
}
