package registry

import "snowquay/balancer"

const (
	startTolerance  = 0.5 // seconds by which two reports of one start may differ, as reports take varying times
	restartDecrease = 2.0 // seconds; an uptime that falls by more is that of a new process
	maxUptime       = 1e9 // seconds, 30 years; a longer uptime is garbled
)

// ObserveUptime takes a report of the seconds since a server's process started. It moves the start of servers that registered or that
// balancers vouch for; a report alone puts no server in service. An uptime that falls is that of a new process; one that says that the
// process is older than was thought ends its warm-up. Repeated and garbled reports change nothing.
func (r *Registry) ObserveUptime(now float64, address balancer.Server, uptime float64) {
	server := r.servers[address]
	if server == nil || !server.registered && server.vouchers == 0 || r.startsIgnored {
		return
	}
	if !(uptime >= 0) || uptime > maxUptime || uptime == server.uptime {
		return
	}
	started := now - uptime
	restarted := uptime < server.uptime-restartDecrease
	server.uptime = uptime
	if restarted && started > server.Started+startTolerance || started < server.Started-startTolerance {
		server.Started = started
		r.markChanged(server)
	}
}

// ObserveLaterStart says that another coordinator has heard of a later start of a server than this one may have. Guards against a server
// that has just started and is taken for a warm one by a coordinator that it has not dialled again yet; it does harm where clocks of
// coordinators differ by more than the tolerance, until the server's next report of its uptime.
func (r *Registry) ObserveLaterStart(address balancer.Server, started float64) {
	server := r.servers[address]
	if server == nil || !server.present() || r.startsIgnored {
		return
	}
	if started > server.Started+restartDecrease {
		server.Started = started
		r.markChanged(server)
	}
}

// WarmingUp tells whether a server started less than warmup seconds ago.
func (r *Registry) WarmingUp(now float64, address balancer.Server, warmup float64) bool {
	server := r.servers[address]
	return server != nil && server.Started > 0 && now-server.Started < warmup
}
