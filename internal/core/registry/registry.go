// Package registry keeps the servers that a coordinator knows: their configuration, whether they are in service, draining or removed, and
// when they last started.
//
// It is pure: facts come in with the time at which they are known, and entries for the decision module and records to store come out. A
// server is present while it is static (in service by the settings alone), registered, or vouched for by a balancer. A registration whose
// connection broke stays for a while, since a broken connection does not prove that the process has ended. Times are clock times in
// seconds, well above 0, as the seconds since 1970 are.
package registry

import (
	"errors"
	"fmt"
	"slices"

	"snowquay/balancer"
)

const (
	maxIncrementalChanges = 256 // changes for one update; when there are more it lists all servers
	evictAfter            = 600 // seconds after which a server that is removed and not configured makes room for others
)

// ErrFull says that no further server is accepted.
var ErrFull = errors.New("the server registry is full")

// ServerConfig is what the settings say of a server.
type ServerConfig struct {
	Server        balancer.Server        `json:"Server"`
	Zone          balancer.Zone          `json:"Zone"`
	Kind          balancer.Kind          `json:"Kind"`
	FailureDomain balancer.FailureDomain `json:"Pod"`
	Weight        float64                `json:"Weight"`
	Static        bool                   `json:"Standing"` // in service without registering
}

// Record is what has to outlive the coordinator of one server.
type Record struct {
	ServerConfig
	Phase        balancer.Phase `json:"Phase"`
	Started      float64        `json:"Started"` // clock time; 0: long ago
	NotifiedAt   float64        `json:"Told"`    // when its drain or removal became known; 0: it is in service
	DrainOrdered bool           `json:"Drained"` // by an operator; a registration does not end the drain
}

// serverState is a known server and the facts that its phase follows from.
type serverState struct {
	Record
	configured       bool // the settings list it
	registered       bool
	vouchers         int     // balancers that list it, where the site believes them
	restored         bool    // from a record, and not registered since
	connectionLostAt float64 // when the connection that registered it broke, or it was restored; 0: the connection stands
	uptime           float64 // seconds; the latest that was reported, 0: none
	announced        bool    // the decision module knows it
	changed          bool    // it is in Registry.changed
	unlisted         bool    // it was taken out of the settings, and has not registered since
}

// present tells whether anything puts the server in service.
func (s *serverState) present() bool {
	return s.registered || s.Static || s.restored || s.vouchers > 0
}

// dropConnection forgets that the server registered, or was restored as if it had.
func (s *serverState) dropConnection() {
	s.registered = false
	s.restored = false
	s.connectionLostAt = 0
}

// Registry is the set of known servers. Use New. It is not safe for concurrent use.
type Registry struct {
	servers       map[balancer.Server]*serverState
	changed       []*serverState // since the last TakeChanges
	announceAll   bool           // the next TakeChanges lists all servers
	unpersisted   bool           // something has changed since the last MarkPersisted
	hold          float64
	maxServers    int
	version       int // grows with every change of a phase
	startsIgnored bool
}

// New returns an empty registry. hold is the number of seconds for which a server stays when the connection that registered it breaks.
// maxServers bounds the servers. startsIgnored leaves out the guard of servers that are warming up; it is for tests of that guard.
func New(hold float64, maxServers int, startsIgnored bool) *Registry {
	return &Registry{
		servers:       map[balancer.Server]*serverState{},
		announceAll:   true,
		hold:          hold,
		maxServers:    maxServers,
		startsIgnored: startsIgnored,
	}
}

// findOrAdd returns a server, which it adds if it is not known.
func (r *Registry) findOrAdd(now float64, address balancer.Server) (*serverState, error) {
	if server := r.servers[address]; server != nil {
		return server, nil
	}
	if len(r.servers) >= r.maxServers {
		r.evict(now)
	}
	if len(r.servers) >= r.maxServers {
		return nil, fmt.Errorf("%w: %d servers", ErrFull, r.maxServers)
	}
	server := &serverState{Record: Record{ServerConfig: ServerConfig{Server: address, Weight: 1}, Phase: balancer.Removed}}
	r.servers[address] = server
	return server, nil
}

// HasRoom tells whether all of some servers can be added that are not known yet, so that none of the facts about them fails with ErrFull.
func (r *Registry) HasRoom(now float64, addresses []balancer.Server) bool {
	if len(r.servers)+r.countUnknown(addresses) <= r.maxServers {
		return true
	}
	r.evict(now)
	return len(r.servers)+r.countUnknown(addresses) <= r.maxServers
}

// countUnknown returns the number of different servers that are not known.
func (r *Registry) countUnknown(addresses []balancer.Server) int {
	unknown := map[balancer.Server]bool{}
	for _, address := range addresses {
		if r.servers[address] == nil {
			unknown[address] = true
		}
	}
	return len(unknown)
}

// evict makes room: it forgets servers that were removed long ago and that no settings list.
func (r *Registry) evict(now float64) {
	for address, server := range r.servers {
		if !server.configured && server.Phase == balancer.Removed && now-server.NotifiedAt > evictAfter {
			delete(r.servers, address)
			r.changed = slices.DeleteFunc(r.changed, func(other *serverState) bool { return other == server })
		}
	}
}

// markChanged notes that a server's record or entry has changed.
func (r *Registry) markChanged(server *serverState) {
	r.unpersisted = true
	if !server.changed {
		server.changed = true
		r.changed = append(r.changed, server)
	}
	if len(r.changed) > maxIncrementalChanges {
		r.announceAll = true
	}
}

// updatePhase derives a server's phase after a fact. A drain outlives a broken connection: a server that registers again may be the same
// process, after a partition.
func (r *Registry) updatePhase(now float64, server *serverState) {
	phase := balancer.Ready
	switch {
	case !server.present():
		phase = balancer.Removed
	case server.DrainOrdered:
		phase = balancer.Draining
	}
	if phase == server.Phase {
		return
	}
	server.Phase = phase
	r.version++
	if phase == balancer.Ready {
		server.NotifiedAt = 0
	} else if server.NotifiedAt == 0 {
		server.NotifiedAt = now
	}
	r.markChanged(server)
}
