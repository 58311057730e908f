// Package outlier ejects servers that fail repeatedly, for a time that grows with each ejection. It is pure.
package outlier

import "snowquay/balancer"

// Config of outlier ejection.
type Config struct {
	ConsecutiveFailures int     // failures in a row that eject a server; 0: none is ejected
	BaseEjection        float64 // seconds of the first ejection; each further one in a row doubles it
	MaxEjection         float64 // seconds of an ejection at most
}

// DefaultConfig is the configuration when the settings have none.
var DefaultConfig = Config{ConsecutiveFailures: 8, BaseEjection: 4, MaxEjection: 30}

const (
	maxServers   = 8192 // failing servers that are remembered; further ones are not ejected
	maxDoublings = 16   // of BaseEjection
)

type serverState struct {
	failures     int // in a row
	ejections    int // in a row
	ejectedUntil float64
}

// Detector knows the servers that have failed at one proxy. Use New.
type Detector struct {
	config    Config
	servers   map[balancer.Server]*serverState // those whose latest attempt failed
	Ejections int                              // in all
}

// New returns a Detector that has seen no failure.
func New(config Config) *Detector {
	return &Detector{config: config, servers: map[balancer.Server]*serverState{}}
}

// RecordSuccess records an answer of a server, which ends its ejection.
func (d *Detector) RecordSuccess(server balancer.Server) { delete(d.servers, server) }

// RecordFailure records a failed attempt at a server. It reports whether the server is ejected from now on.
func (d *Detector) RecordFailure(now float64, server balancer.Server) bool {
	state := d.servers[server]
	if state == nil {
		if d.config.ConsecutiveFailures == 0 || len(d.servers) >= maxServers {
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
	state.failures = d.config.ConsecutiveFailures - 1 // one more failure afterwards ejects it again, for longer
	state.ejections++
	d.Ejections++
	return true
}

// Ejected reports whether a server should not be used now. It is advice: a caller that has no other server uses an ejected one.
func (d *Detector) Ejected(now float64, server balancer.Server) bool {
	state := d.servers[server]
	return state != nil && now < state.ejectedUntil
}

// Forget removes a server that is in no table any more.
func (d *Detector) Forget(server balancer.Server) { delete(d.servers, server) }
