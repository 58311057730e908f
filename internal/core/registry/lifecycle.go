package registry

import "snowquay/balancer"

// reconnectWindow is the number of seconds after the coordinator's start within which servers that kept running are expected to register
// again.
const reconnectWindow = 1.5

// Restore loads the records that an earlier process of the coordinator stored. Call it before any other update. Servers that were in
// service remain so until the hold expires; drains continue with their original start times. The error wraps ErrFull.
func (r *Registry) Restore(now float64, records []Record) error {
	for _, record := range records {
		server, err := r.findOrAdd(now, record.Server)
		if err != nil {
			return err
		}
		server.Record = record
		server.removedFromConfig = record.Phase == balancer.Removed
		if !server.removedFromConfig {
			server.restored = true
			server.connectionLostAt = now
			server.uptime = now - record.Started // lower bound for a process that is still running
		}
		r.markChanged(server)
	}
	return nil
}

// Configure adds a server that the settings list, or updates its configuration. The error wraps ErrFull.
func (r *Registry) Configure(now float64, config ServerConfig) error {
	server, err := r.findOrAdd(now, config.Server)
	if err != nil {
		return err
	}
	server.configured = true
	server.removedFromConfig = false
	if server.ServerConfig != config {
		server.ServerConfig = config
		r.markChanged(server)
	}
	r.updatePhase(now, server)
	return nil
}

// Unconfigure removes a server that the settings no longer list, even if it has an open connection. It returns to service only by a new
// registration, where the settings permit servers that they do not list to register.
func (r *Registry) Unconfigure(now float64, address balancer.Server) {
	server := r.servers[address]
	if server == nil {
		return
	}
	server.configured = false
	server.Static = false
	server.DrainOrdered = false
	server.removedFromConfig = true
	server.listings = 0
	server.dropConnection()
	r.markChanged(server)
	r.updatePhase(now, server)
}

// Register marks a server as registered: its process is running and accepts requests. zone applies to servers that the settings do not
// list. A server that was absent, or whose connection broke, is assumed to have restarted and warms up from now on; a report of its
// uptime may correct that. The assumption prevents a server that has just started from being treated as warm. Its cost is that a server
// whose connection broke without a restart warms up needlessly if its uptime is not reported. The error wraps ErrFull.
func (r *Registry) Register(now float64, address balancer.Server, zone balancer.Zone) error {
	server, err := r.findOrAdd(now, address)
	if err != nil {
		return err
	}
	if !server.configured && !server.restored {
		server.Zone = zone
	}
	connected := server.registered && server.connectionLostAt == 0
	reconnected := server.restored && now-server.connectionLostAt <= reconnectWindow
	if !connected && !reconnected && !r.ignoreStarts {
		server.Started = now
		server.uptime = 0
		r.markChanged(server)
	}
	server.registered = true
	server.restored = false
	server.connectionLostAt = 0
	server.removedFromConfig = false
	r.updatePhase(now, server)
	return nil
}

// AdjustListings increments (n is 1) or decrements (n is -1) the number of balancers that list a server, where the site trusts them. A
// server that was not present is assumed to start now, as in Register. The error wraps ErrFull.
func (r *Registry) AdjustListings(now float64, address balancer.Server, zone balancer.Zone, n int) error {
	server, err := r.findOrAdd(now, address)
	if err != nil {
		return err
	}
	if n > 0 && !server.present() {
		if !server.configured {
			server.Zone = zone
		}
		if !r.ignoreStarts {
			server.Started = now
			server.uptime = 0
		}
	}
	server.listings = max(0, server.listings+n)
	if n >= 0 {
		server.removedFromConfig = false
	}
	r.updatePhase(now, server)
	return nil
}

// Deregister removes the registration of a server whose process is ending, and ends its drain.
func (r *Registry) Deregister(now float64, address balancer.Server) {
	server := r.servers[address]
	if server == nil {
		return
	}
	if server.DrainOrdered {
		server.DrainOrdered = false
		r.markChanged(server)
	}
	server.dropConnection()
	r.updatePhase(now, server)
}

// SetDrain orders a drain of a server or ends it. It returns false if the server is unknown, or is removed and has no ordered
// drain.
func (r *Registry) SetDrain(now float64, address balancer.Server, on bool) bool {
	server := r.servers[address]
	if server == nil || server.Phase == balancer.Removed && !server.DrainOrdered {
		return false
	}
	if server.DrainOrdered != on {
		server.DrainOrdered = on
		r.markChanged(server)
	}
	r.updatePhase(now, server)
	return true
}

// ConnectionLost notes that the connection that registered a server broke. The registration remains valid until the hold expires.
func (r *Registry) ConnectionLost(now float64, address balancer.Server) {
	server := r.servers[address]
	if server != nil && server.registered && server.connectionLostAt == 0 {
		server.connectionLostAt = now
	}
}

// ExpireHolds drops the registrations, made or restored, whose hold has expired.
func (r *Registry) ExpireHolds(now float64) {
	for _, server := range r.servers {
		if server.connectionLostAt > 0 && now-server.connectionLostAt >= r.hold {
			server.dropConnection()
			r.updatePhase(now, server)
		}
	}
}
