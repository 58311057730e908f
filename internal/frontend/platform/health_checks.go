package platform

import (
	"net/http"

	"snowquay/balancer"
	"snowquay/internal/env"
	"snowquay/internal/wire/collector"
	"snowquay/internal/wire/http1"
)

const (
	maxHealthChecks    = 8   // maximum number at a time, each on its own connection
	healthCheckTimeout = 1.0 // seconds, including the dial

	livenessPath = "/health/live"
	loadPath     = "/stats" // its response contains a load report

	loadSeparator = '=' // separates name and value in a load report served by a server
)

// healthCheck is a health check in progress.
type healthCheck struct {
	server    balancer.Server
	conn      env.Conn
	startedAt float64
	connected bool
	response  []byte // the part received so far
}

// healthStatuses maps the HTTP status of a server's response to its health; any other HTTP status is an error.
var healthStatuses = map[int]balancer.HealthStatus{
	http.StatusOK:                 balancer.HealthOK,
	http.StatusServiceUnavailable: balancer.HealthRefused,
}

// checkHealth starts a health check of a server. The result is inconclusive immediately if no check is possible now.
func (p *Program) checkHealth(now float64, server balancer.Server) {
	address := p.endpoints.Address(server)
	allowed := p.deployment.HealthChecking.Allowed
	if !allowed || !address.IsValid() || p.checkInProgress[server] || len(p.healthChecks) >= maxHealthChecks {
		p.addHealthCheckResult(now, balancer.HealthCheckResult{Server: server, Status: balancer.HealthInconclusive})
		return
	}
	check := &healthCheck{server: server, startedAt: now, conn: p.io.Dial(address)}
	p.healthChecks[check.conn] = check
	p.checkInProgress[server] = true
}

func (p *Program) healthCheckConnected(now float64, check *healthCheck, ok bool) {
	if !ok {
		p.finishHealthCheck(now, check, balancer.HealthUnreachable, nil)
		return
	}
	path := livenessPath
	if len(p.metrics) > 0 {
		path = loadPath
	}
	check.connected = true
	host := p.endpoints.Address(check.server).String()
	p.io.Send(check.conn, []byte("GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\nConnection: close\r\n\r\n"))
}

func (p *Program) receiveHealth(now float64, check *healthCheck, b []byte) {
	check.response = append(check.response, b...)
	var response http1.Message
	length, err := http1.ParseResponse(check.response, http.MethodGet, httpLimits, &response)
	if err == nil && length == 0 {
		return
	}
	status, ok := healthStatuses[response.Status]
	if err != nil || !ok {
		status = balancer.HealthError
	}
	var load []float64
	if status == balancer.HealthOK && len(response.Body) > 0 {
		load = p.parseServerLoad(response.Body)
	}
	p.finishHealthCheck(now, check, status, load)
}

// parseServerLoad returns the metrics in the order of the settings. It returns nil if the body cannot be parsed; the
// server still counts as healthy then.
func (p *Program) parseServerLoad(body []byte) []float64 {
	report, err := collector.ParseLoadReport(body, loadSeparator)
	if err != nil {
		return nil
	}
	return report.Values(p.metrics)
}

func (p *Program) finishHealthCheck(now float64, check *healthCheck, status balancer.HealthStatus, load []float64) {
	delete(p.healthChecks, check.conn)
	delete(p.checkInProgress, check.server)
	p.io.Close(check.conn)
	p.addHealthCheckResult(now, balancer.HealthCheckResult{
		Server:  check.server,
		Status:  status,
		Latency: now - check.startedAt,
		Load:    load,
	})
}

func (p *Program) addHealthCheckResult(now float64, result balancer.HealthCheckResult) {
	p.events.HealthChecks = append(p.events.HealthChecks, result)
	p.scheduleRound(now)
}

// expireHealthChecks finishes the health checks that have exceeded healthCheckTimeout.
func (p *Program) expireHealthChecks(now float64) {
	for _, check := range p.healthChecks {
		if now-check.startedAt < healthCheckTimeout {
			continue
		}
		status := balancer.HealthTimeout
		if !check.connected {
			status = balancer.HealthUnreachable
		}
		p.finishHealthCheck(now, check, status, nil)
	}
}
