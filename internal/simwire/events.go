package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"snowquay/balancer"
	"snowquay/internal/deployment"
)

// batch is one input line: the events that occur at one time.
type batch struct {
	Clock  *float64 `json:"clock"`
	Events []event  `json:"in"`
}

// event is an event of any type; each type uses some of the fields.
type event struct {
	Type        string          `json:"type"`
	Coordinator *int            `json:"coordinator-id"`
	Seed        uint64          `json:"seed"`
	Deployment  json.RawMessage `json:"boot-info"`
	ListScope   string          `json:"scope"`
	Endpoints   []endpoint      `json:"entries"`
	Proxy       int             `json:"px"`
	Zone        int             `json:"campus"`
	Rate        float64         `json:"size"`
	Default     bool            `json:"flag"`
	Latency     float64         `json:"elapsed"`
	Interval    float64         `json:"period-len"`
	Failed      float64         `json:"lost"`
	Server      string          `json:"backend"`
	Attempts    float64         `json:"tries-n"`
	Load        []float64       `json:"stats"`
	Class       int             `json:"class"`
	AckID       int64           `json:"number"`
	Timer       int64           `json:"nonce"`
	Health      string          `json:"code"`
}

// endpoint is a server in an endpoint list.
type endpoint struct {
	Started       float64 `json:"boot-time"`
	Zone          int     `json:"campus"`
	Kind          int     `json:"shape"`
	FailureDomain int     `json:"pod"`
	Server        string  `json:"backend"`
	Weight        float64 `json:"size"`
	Phase         string  `json:"phase"`
}

// Wire names of enumerated values.
var (
	listScopes = map[string]balancer.ListScope{
		"Persisted": balancer.CachedList,
		"Complete":  balancer.FullList,
		"Partial":   balancer.DeltaList,
		"Error":     balancer.ListFailed,
	}
	phases = map[string]balancer.Phase{
		"in_service":  balancer.Ready,
		"terminating": balancer.Draining,
		"terminated":  balancer.Removed,
	}
	healthStatuses = map[string]balancer.HealthStatus{
		"GOOD":   balancer.HealthOK,
		"BAD":    balancer.HealthError,
		"FULL":   balancer.HealthRefused,
		"LATE":   balancer.HealthTimeout,
		"NOCONN": balancer.HealthUnreachable,
		"RST":    balancer.HealthUnreachable,
		"CXL":    balancer.HealthInconclusive,
		"NOP":    balancer.HealthInconclusive,
	}
)

// errNoBootInfo means that a Provision event has no settings.
var errNoBootInfo = errors.New("event Provision has no boot-info")

// errImplausible means that a value of an event cannot have been measured.
var errImplausible = errors.New("value that cannot have been measured")

// newBalancer returns a balancer with the settings and seed of a Provision event.
func (e *event) newBalancer() (*balancer.Balancer, error) {
	if len(e.Deployment) == 0 {
		return nil, errNoBootInfo
	}
	settings, err := deployment.Read(e.Deployment)
	if err != nil {
		return nil, fmt.Errorf("boot-info: %w", err)
	}
	return settings.NewBalancer(e.Seed), nil
}

// appendTo adds the event to the events of its coordinator's next round. On an error, the event is not added and the
// caller can skip it.
func (e *event) appendTo(events *balancer.Events) error {
	if err := e.validateNumbers(); err != nil {
		return err
	}
	switch e.Type {
	case "Announce":
		list, err := e.endpointList()
		if err != nil {
			return err
		}
		events.Lists = append(events.Lists, list)
	case "Enrolled", "Detached":
		if e.Proxy < 0 {
			return fmt.Errorf("event %s has the negative proxy %d", e.Type, e.Proxy)
		}
		events.ProxyEvents = append(events.ProxyEvents, e.proxyEvent())
	case "TrafficReport":
		report := e.upstreamReport()
		if !report.Plausible() {
			return fmt.Errorf("event %s: %w: %+v", e.Type, errImplausible, report)
		}
		events.Upstreams = append(events.Upstreams, report)
	case "OfferedLoad":
		report := e.demandReport()
		if !report.Plausible() {
			return fmt.Errorf("event %s: %w: %+v", e.Type, errImplausible, report)
		}
		events.Demands = append(events.Demands, report)
	case "TookEffect":
		ack := balancer.Ack{Proxy: balancer.Proxy(e.Proxy), ID: balancer.AckID(e.AckID), Latency: e.Latency}
		if !ack.Plausible() {
			return fmt.Errorf("event %s: %w: %+v", e.Type, errImplausible, ack)
		}
		events.Acks = append(events.Acks, ack)
	case "PingResult":
		result, err := e.healthCheckResult()
		if err != nil {
			return err
		}
		events.HealthChecks = append(events.HealthChecks, result)
	case "Fired":
		events.FiredTimers = append(events.FiredTimers, balancer.Timer(e.Timer))
	case "SliceLoad", "Leased", "StoredLine", "Message":
		// Capacity slices and messages of other coordinators do not affect decisions.
	default:
		return fmt.Errorf("unknown event type %q", e.Type)
	}
	return nil
}

// validateNumbers returns an error if a number of the event is negative or infinite.
func (e *event) validateNumbers() error {
	numbers := []float64{e.Rate, e.Latency, e.Interval, e.Failed, e.Attempts}
	for _, number := range append(numbers, e.Load...) {
		if number < 0 || math.IsInf(number, 0) {
			return fmt.Errorf("event %s has the negative or infinite number %v", e.Type, number)
		}
	}
	return nil
}

func (e *event) endpointList() (balancer.EndpointList, error) {
	scope, ok := listScopes[e.ListScope]
	if !ok {
		return balancer.EndpointList{}, fmt.Errorf("event Announce has unknown scope %q", e.ListScope)
	}
	list := balancer.EndpointList{Scope: scope}
	for _, listed := range e.Endpoints {
		phase, ok := phases[listed.Phase]
		if !ok {
			return balancer.EndpointList{}, fmt.Errorf("server %q has unknown phase %q", listed.Server, listed.Phase)
		}
		list.Endpoints = append(list.Endpoints, balancer.Endpoint{
			Server:        balancer.Server(listed.Server),
			Zone:          balancer.Zone(listed.Zone),
			Kind:          balancer.Kind(listed.Kind),
			FailureDomain: balancer.FailureDomain(listed.FailureDomain),
			Weight:        listed.Weight,
			Phase:         phase,
			Started:       listed.Started,
		})
	}
	return list, nil
}

func (e *event) proxyEvent() balancer.ProxyEvent {
	if e.Type == "Detached" {
		return balancer.ProxyEvent{Proxy: balancer.Proxy(e.Proxy)}
	}
	return balancer.ProxyEvent{
		Proxy:        balancer.Proxy(e.Proxy),
		Joined:       true,
		Zone:         balancer.Zone(e.Zone),
		ExpectedRate: e.Rate,
		DefaultTable: e.Default,
	}
}

func (e *event) upstreamReport() balancer.UpstreamReport {
	return balancer.UpstreamReport{
		Server:   balancer.Server(e.Server),
		Zone:     balancer.Zone(e.Zone),
		Attempts: e.Attempts,
		Failed:   e.Failed,
		Latency:  e.Latency,
		Interval: e.Interval,
		Load:     e.Load,
	}
}

func (e *event) demandReport() balancer.DemandReport {
	return balancer.DemandReport{
		Proxy:    balancer.Proxy(e.Proxy),
		Class:    balancer.Class(e.Class),
		Requests: e.Attempts,
		Failed:   e.Failed,
		Interval: e.Interval,
	}
}

func (e *event) healthCheckResult() (balancer.HealthCheckResult, error) {
	status, ok := healthStatuses[e.Health]
	if !ok {
		return balancer.HealthCheckResult{}, fmt.Errorf("event PingResult has unknown code %q", e.Health)
	}
	return balancer.HealthCheckResult{
		Server:  balancer.Server(e.Server),
		Status:  status,
		Latency: e.Latency,
		Load:    e.Load,
	}, nil
}
