package registry

import "snowquay/balancer"

// reconnectWindow is the number of seconds after a coordinator's start within which processes that are still running register again.
const reconnectWindow = 1.5

// Restore takes the records of a former process of the coordinator, before any other fact. Servers that were in service stay so until the
// hold is over; drains go on from when they began. An error wraps ErrFull.
func (r *Registry) Restore(now float64, records []Record) error {
	for _, record := range records {
		server, err := r.findOrAdd(now, record.Server)
		if err != nil {
			return err
		}
		server.Record = record
		server.unlisted = record.Phase == balancer.Removed
		if !server.unlisted {
			server.restored = true
			server.connectionLostAt = now
			server.uptime = now - record.Started // what a process that is still running has at least
		}
		r.markChanged(server)
	}
	return nil
}

// Configure takes what the settings say of a server. An error wraps ErrFull.
func (r *Registry) Configure(now float64, config ServerConfig) error {
	server, err := r.findOrAdd(now, config.Server)
	if err != nil {
		return err
	}
	server.configured = true
	server.unlisted = false
	if server.ServerConfig != config {
		server.ServerConfig = config
		r.markChanged(server)
	}
	r.updatePhase(now, server)
	return nil
}

// Unconfigure says that the settings do not list a server any more. It is removed, whatever connection it has, and comes back only by
// registering, where the settings let servers do so that they do not list.
func (r *Registry) Unconfigure(now float64, address balancer.Server) {
	server := r.servers[address]
	if server == nil {
		return
	}
	server.configured = false
	server.Static = false
	server.DrainOrdered = false
	server.unlisted = true
	server.vouchers = 0
	server.dropConnection()
	r.markChanged(server)
	r.updatePhase(now, server)
}

// Register says that the process of a server is up and wants requests. zone is used for servers that the settings do not list. A process
// that was gone, or whose connection broke, has started anew as far as can be known, and is warming up from now on; a report of its uptime
// may correct that. Guards against a server that has just started and is taken for a warm one; it does harm where connections break
// without a restart and no uptime is reported. An error wraps ErrFull.
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
	if !connected && !reconnected && !r.startsIgnored {
		server.Started = now
		server.uptime = 0
		r.markChanged(server)
	}
	server.registered = true
	server.restored = false
	server.connectionLostAt = 0
	server.unlisted = false
	r.updatePhase(now, server)
	return nil
}

// AdjustListings says that one balancer more (n is 1) or less (n is -1) lists a server, where the site believes balancers. A server that
// was not present starts now, as with Register. An error wraps ErrFull.
func (r *Registry) AdjustListings(now float64, address balancer.Server, zone balancer.Zone, n int) error {
	server, err := r.findOrAdd(now, address)
	if err != nil {
		return err
	}
	if n > 0 && !server.present() {
		if !server.configured {
			server.Zone = zone
		}
		if !r.startsIgnored {
			server.Started = now
			server.uptime = 0
		}
	}
	server.vouchers = max(0, server.vouchers+n)
	if n >= 0 {
		server.unlisted = false
	}
	r.updatePhase(now, server)
	return nil
}

// Deregister says that the process of a server ends for good; a drain of it ends, too.
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

// SetDrain orders a drain of a server, or ends it. It returns false where the server is not present, unless a drain of it could be ended.
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

// ConnectionLost says that the connection which registered a server broke. The server stays for the hold.
func (r *Registry) ConnectionLost(now float64, address balancer.Server) {
	server := r.servers[address]
	if server != nil && server.registered && server.connectionLostAt == 0 {
		server.connectionLostAt = now
	}
}

// ExpireHolds ends the hold of servers whose connection broke.
func (r *Registry) ExpireHolds(now float64) {
	for _, server := range r.servers {
		if server.connectionLostAt > 0 && now-server.connectionLostAt >= r.hold {
			server.dropConnection()
			r.updatePhase(now, server)
		}
	}
}
