// Package registry stores the servers that a coordinator knows: their configuration, their phase (in service, draining or removed) and
// the time of their latest start.
//
// The package does no I/O and reads no clock. Its inputs are events with the times at which they became known; its outputs are
// endpoint entries for the decision module and records to store. A server is present while it is static (in service by the settings alone),
// registered, listed by a balancer, or restored from a record. A registration whose connection broke stays valid for a hold period,
// since a broken connection does not prove that the process has ended. Times are clock times in seconds, far above 0, such as
// seconds since 1970.
package registry

import (
	"errors"
	"fmt"
	"slices"

	"snowquay/balancer"
)

const (
	maxIncrementalChanges = 256 // largest number of changes in an incremental update; if there are more, all servers are listed
	evictAfter            = 600 // seconds after its removal from which a server that is not configured may be evicted
)

// ErrFull reports that the registry has reached its maximum number of servers.
var ErrFull = errors.New("the server registry is full")

// ServerConfig is the configuration of a server in the settings.
type ServerConfig struct {
	Server        balancer.Server        `json:"Server"`
	Zone          balancer.Zone          `json:"Zone"`
	Kind          balancer.Kind          `json:"Kind"`
	FailureDomain balancer.FailureDomain `json:"Pod"`
	Weight        float64                `json:"Weight"`
	Static        bool                   `json:"Standing"` // the server is in service without a registration
}

// Record is the persistent state of a server, which must survive a restart of the coordinator.
type Record struct {
	ServerConfig
	Phase        balancer.Phase `json:"Phase"`
	Started      float64        `json:"Started"` // clock time of the latest start; 0: long ago
	NotifiedAt   float64        `json:"Told"`    // clock time at which its drain or removal became known; 0: in service, or never in service
	DrainOrdered bool           `json:"Drained"` // a drain was ordered, by an operator or by the server itself; a new registration does not end it
}

// serverState is a known server and the state from which its phase is derived.
type serverState struct {
	Record
	configured        bool // the settings list the server
	registered        bool
	listings          int     // number of balancers that list the server, where the site trusts them
	restored          bool    // restored from a record and not registered since
	connectionLostAt  float64 // when the registering connection broke or the server was restored; 0: the connection is open
	uptime            float64 // seconds; latest reported value, or 0 if there is none
	announced         bool    // the decision module has its entry
	changed           bool    // the server is in Registry.changed
	removedFromConfig bool    // removed from the settings, or restored as removed, and not registered since
}

// present reports whether the server is static, registered, restored or listed by a balancer.
func (s *serverState) present() bool {
	return s.registered || s.Static || s.restored || s.listings > 0
}

// dropConnection clears the server's registration, whether made by a connection or restored from a record.
func (s *serverState) dropConnection() {
	s.registered = false
	s.restored = false
	s.connectionLostAt = 0
}

// Registry is the set of known servers. Create one with New. It is not safe for concurrent use.
type Registry struct {
	servers      map[balancer.Server]*serverState
	changed      []*serverState // servers changed since the last TakeChanges
	announceAll  bool           // the next TakeChanges returns all servers
	unpersisted  bool           // a record has changed since the last MarkPersisted
	hold         float64        // seconds for which a registration outlives its connection
	maxServers   int
	version      int // incremented with every phase change
	ignoreStarts bool
}

// New returns an empty registry. hold is the number of seconds for which a server stays registered after its registering connection
// breaks. maxServers limits the number of servers. ignoreStarts disables the protection of servers that are warming up; it is for tests
// of that protection.
func New(hold float64, maxServers int, ignoreStarts bool) *Registry {
	return &Registry{
		servers:      map[balancer.Server]*serverState{},
		announceAll:  true,
		hold:         hold,
		maxServers:   maxServers,
		ignoreStarts: ignoreStarts,
	}
}

// findOrAdd returns the server at an address, and adds it if it is unknown. The error wraps ErrFull.
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

// HasRoom reports whether all unknown servers among addresses can be added, so that no later call for one of them fails with ErrFull. It
// evicts removed servers if necessary.
func (r *Registry) HasRoom(now float64, addresses []balancer.Server) bool {
	if len(r.servers)+r.countUnknown(addresses) <= r.maxServers {
		return true
	}
	r.evict(now)
	return len(r.servers)+r.countUnknown(addresses) <= r.maxServers
}

// countUnknown returns the number of distinct addresses that are not in the registry.
func (r *Registry) countUnknown(addresses []balancer.Server) int {
	unknown := map[balancer.Server]bool{}
	for _, address := range addresses {
		if r.servers[address] == nil {
			unknown[address] = true
		}
	}
	return len(unknown)
}

// evict deletes servers that are not configured and were removed more than evictAfter seconds ago.
func (r *Registry) evict(now float64) {
	for address, server := range r.servers {
		if !server.configured && server.Phase == balancer.Removed && now-server.NotifiedAt > evictAfter {
			delete(r.servers, address)
			r.changed = slices.DeleteFunc(r.changed, func(other *serverState) bool { return other == server })
		}
	}
}

// markChanged marks a server's record and entry as changed.
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

// updatePhase derives a server's phase from its state. A drain order survives a broken connection, since a server that registers again
// may be the same process after a network partition.
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
