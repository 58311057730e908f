// Package outlier ejects servers that fail repeatedly, for a time that grows with each ejection. It does no I/O and reads no clock.
package outlier

import "snowquay/balancer"

// Config holds the configuration of outlier detection.
type Config struct {
	ConsecutiveFailures int     // consecutive failures after which a server is ejected; 0 disables ejection
	BaseEjection        float64 // duration of the first ejection in seconds; doubled with each further consecutive ejection
	MaxEjection         float64 // maximum duration of an ejection in seconds
}

// DefaultConfig is the configuration that is used if the settings specify none.
var DefaultConfig = Config{ConsecutiveFailures: 8, BaseEjection: 4, MaxEjection: 30}

const (
	maxTrackedServers = 8192 // maximum number of failing servers that are tracked; further ones are not ejected
	maxDoublings      = 16   // limit on the doublings of BaseEjection
)

// serverState holds the recent failures of a server.
type serverState struct {
	failures     int     // consecutive
	ejections    int     // consecutive
	ejectedUntil float64 // clock time in seconds
}

// Detector tracks the servers that fail as seen by one proxy. It must be created with New.
type Detector struct {
	config    Config
	servers   map[balancer.Server]*serverState // servers whose latest attempt failed
	Ejections int                              // total number, for metrics
}

// New returns a Detector with no recorded failures.
func New(config Config) *Detector {
	return &Detector{config: config, servers: map[balancer.Server]*serverState{}}
}

// RecordSuccess records a response from a server. It clears the failures of the server and ends its ejection.
func (d *Detector) RecordSuccess(server balancer.Server) { delete(d.servers, server) }

// RecordFailure records a failed attempt at a server. It reports whether this failure ejects the server.
func (d *Detector) RecordFailure(now float64, server balancer.Server) bool {
	state := d.servers[server]
	if state == nil {
		if d.config.ConsecutiveFailures == 0 || len(d.servers) >= maxTrackedServers {
			return false
		}
		state = &serverState{}
		d.servers[server] = state
	}
	state.failures++
	if state.failures < d.config.ConsecutiveFailures || now < state.ejectedUntil {
		return false
	}
	factor := float64(uint64(1) << min(state.ejections, maxDoublings))
	state.ejectedUntil = now + min(d.config.BaseEjection*factor, d.config.MaxEjection)
	state.failures = d.config.ConsecutiveFailures - 1 // one more failure after the ejection ejects it again, for longer
	state.ejections++
	d.Ejections++
	return true
}

// Ejected reports whether a server is ejected and should not be used. This is advisory: a caller uses an ejected server if no other
// server is available.
func (d *Detector) Ejected(now float64, server balancer.Server) bool {
	state := d.servers[server]
	return state != nil && now < state.ejectedUntil
}

// Forget discards the state of a server that is no longer in any table.
func (d *Detector) Forget(server balancer.Server) { delete(d.servers, server) }
