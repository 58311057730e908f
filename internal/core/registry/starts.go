package registry

import "snowquay/balancer"

const (
	startTolerance  = 0.5 // seconds by which two reports of the same start may differ, since reporting delays vary
	restartDecrease = 2.0 // seconds; an uptime that decreases by more indicates a new process
	maxUptime       = 1e9 // seconds, about 30 years; a greater uptime is invalid
)

// ObserveUptime handles a report of the seconds since a server's process started. It corrects the start time of a server that is
// registered or listed by a balancer; a report alone does not put a server in service. A decreased uptime indicates a new process; an
// uptime that shows an earlier start than assumed may end the warm-up. Repeated and invalid reports are ignored.
func (r *Registry) ObserveUptime(now float64, address balancer.Server, uptime float64) {
	server := r.servers[address]
	if server == nil || !server.registered && server.listings == 0 || r.ignoreStarts {
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

// ObserveLaterStart handles a start time that another coordinator knows, if it is later than the one known here. It prevents a
// coordinator to which a restarted server has not reconnected yet from treating that server as warm. Its cost is that a warm server
// appears to be warming up, until its next uptime report, if the coordinators' clocks differ by more than restartDecrease.
func (r *Registry) ObserveLaterStart(address balancer.Server, started float64) {
	server := r.servers[address]
	if server == nil || !server.present() || r.ignoreStarts {
		return
	}
	if started > server.Started+restartDecrease {
		server.Started = started
		r.markChanged(server)
	}
}

// WarmingUp reports whether a server started less than warmup seconds ago.
func (r *Registry) WarmingUp(now float64, address balancer.Server, warmup float64) bool {
	server := r.servers[address]
	return server != nil && server.Started > 0 && now-server.Started < warmup
}
