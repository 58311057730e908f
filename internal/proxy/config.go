package proxy

import (
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/forwarding"
	"snowquay/internal/wire/http1"
)

// Route assigns the requests whose path starts with a prefix to a class. The longest prefix that matches counts.
type Route struct {
	Prefix string
	Class  balancer.Class
}

// Limits of a proxy.
type Limits struct {
	MaxClients       int     // connections of clients; one more is closed at once
	MaxIdlePerServer int     // idle connections to one server; further ones are closed after use
	IdleTimeout      float64 // seconds for which a client's connection may be idle before it is closed
	HTTP             http1.Limits
}

// DefaultLimits are the limits when the settings have none.
var DefaultLimits = Limits{MaxClients: 20000, MaxIdlePerServer: 64, IdleTimeout: 75, HTTP: http1.DefaultLimits}

// Config of a Proxy.
type Config struct {
	UID            string
	Forwarding     forwarding.Config
	Routes         []Route
	Limits         Limits
	Coordinators   []netip.AddrPort  // tried in turn
	SASP           bool              // coordinators are spoken to by SASP; false: by the long-poll API
	CollectorPort  uint16            // port of the coordinators' collectors of load reports; 0: no reports are sent
	User, Key      string            // sign the load reports
	ReportInterval float64           // seconds between two load reports
	DefaultServers []balancer.Server // the table until a coordinator or the Store has another
	Seed           uint64            // of the random waits
	Store          Store             // of the tables; nil: they are lost when the proxy ends
	Log            func(event string, pairs ...any)
	Observer       Observer // nil: none
}

// Store keeps a proxy's tables across restarts.
type Store interface {
	// Save replaces the stored snapshot.
	Save([]byte) error
	// Load returns the stored snapshot; nil: there is none.
	Load() ([]byte, error)
}

// Observer is notified of what a proxy does, for tests and checks of invariants.
type Observer interface {
	// Joined is called when a coordinator has accepted the proxy.
	Joined(now float64)
	// Left is called when the proxy has lost its coordinator.
	Left(now float64)
	// TableChanged is called with the number of entries in a change, negative for the tables held when the proxy joins, and with
	// whether each class has a server.
	TableChanged(now float64, entries int, hasServer []bool)
	// AttemptSent is called when a request is forwarded to a server.
	AttemptSent(now float64, server balancer.Server)
}
