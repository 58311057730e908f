package platform

import (
	"net/http"

	"snowquay/balancer"
	"snowquay/internal/env"
	"snowquay/internal/wire/http1"
)

const (
	mostProbes  = 8   // at once, one connection each
	probeWithin = 1.0 // seconds, the dial among them
)

// probe is one that is out.
type probe struct {
	server balancer.Server
	conn   env.Conn
	at     float64
	up     bool
	in     []byte
}

// probe asks a server how it is. One that can't be asked now is moot.
func (p *Program) probe(now float64, s balancer.Server) {
	to := p.servers.Address(s)
	if !p.dep.HealthChecking.Allowed || !to.IsValid() || p.asked[s] || len(p.probes) >= mostProbes {
		p.news.HealthChecks = append(p.news.HealthChecks, balancer.HealthCheckResult{Server: s, Status: balancer.HealthInconclusive})
		p.dirty(now)
		return
	}
	x := &probe{server: s, at: now, conn: p.io.Dial(to)}
	p.probes[x.conn], p.asked[s] = x, true
}

func (p *Program) reached(now float64, x *probe, ok bool) {
	if !ok {
		p.verdict(now, x, balancer.HealthUnreachable, nil)
		return
	}
	path := "/health/live"
	if len(p.figures) > 0 {
		path = "/stats"
	}
	x.up = true
	p.io.Send(x.conn, []byte("GET "+path+" HTTP/1.1\r\nHost: "+p.servers.Address(x.server).String()+"\r\nConnection: close\r\n\r\n"))
}

// verdicts are what a server's answer means; any other status is an error.
var verdicts = map[int]balancer.HealthStatus{http.StatusOK: balancer.HealthOK, http.StatusServiceUnavailable: balancer.HealthRefused}

func (p *Program) answered(now float64, x *probe, b []byte) {
	x.in = append(x.in, b...)
	var m http1.Message
	n, err := http1.Response(x.in, http.MethodGet, headLimits, &m)
	if err == nil && n == 0 {
		return
	}
	verdict, ok := verdicts[m.Status]
	if err != nil || !ok {
		verdict = balancer.HealthError
	}
	var f fields
	var load []float64
	if verdict == balancer.HealthOK && len(m.Body) > 0 {
		load = p.load(&f, m.Body, '=')
	}
	p.verdict(now, x, verdict, load)
}

func (p *Program) verdict(now float64, x *probe, v balancer.HealthStatus, load []float64) {
	delete(p.probes, x.conn)
	delete(p.asked, x.server)
	p.io.Close(x.conn)
	p.news.HealthChecks = append(p.news.HealthChecks, balancer.HealthCheckResult{Server: x.server, Status: v, Latency: now - x.at, Load: load})
	p.dirty(now)
}

func (p *Program) tendProbes(now float64) {
	for _, x := range p.probes {
		if now-x.at < probeWithin {
			continue
		}
		v := balancer.HealthTimeout
		if !x.up {
			v = balancer.HealthUnreachable
		}
		p.verdict(now, x, v, nil)
	}
}
