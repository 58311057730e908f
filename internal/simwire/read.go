// Package simwire reads and writes the bench's JSON dialect, straight from and to the decision module.
package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"snowquay/balancer"
	"snowquay/internal/deployment"
)

// line is any event of the wire; each type uses some of its fields.
type line struct {
	Type        string          `json:"type"`
	Coordinator *int            `json:"coordinator-id"`
	Seed        uint64          `json:"seed"`
	BootInfo    json.RawMessage `json:"boot-info"`
	Scope       string          `json:"scope"`
	Entries     []entry         `json:"entries"`
	Px          int             `json:"px"`
	Campus      int             `json:"campus"`
	Size        float64         `json:"size"`
	Flag        bool            `json:"flag"`
	Elapsed     float64         `json:"elapsed"`
	PeriodLen   float64         `json:"period-len"`
	Lost        float64         `json:"lost"`
	Backend     string          `json:"backend"`
	Tries       float64         `json:"tries-n"`
	Stats       []float64       `json:"stats"`
	Class       int             `json:"class"`
	Number      int64           `json:"number"`
	Nonce       int64           `json:"nonce"`
	Code        string          `json:"code"`
}

type entry struct {
	BootTime float64 `json:"boot-time"`
	Campus   int     `json:"campus"`
	Shape    int     `json:"shape"`
	Pod      int     `json:"pod"`
	Backend  string  `json:"backend"`
	Size     float64 `json:"size"`
	Phase    string  `json:"phase"`
}

var (
	scopes = map[string]balancer.ListScope{"Persisted": balancer.CachedList, "Complete": balancer.FullList,
		"Partial": balancer.DeltaList, "Error": balancer.ListFailed}
	phases = map[string]balancer.Phase{"in_service": balancer.Ready, "terminating": balancer.Draining,
		"terminated": balancer.Removed}
	verdicts = map[string]balancer.HealthStatus{"GOOD": balancer.HealthOK, "BAD": balancer.HealthError,
		"FULL": balancer.HealthRefused, "LATE": balancer.HealthTimeout, "NOCONN": balancer.HealthUnreachable,
		"RST": balancer.HealthUnreachable, "CXL": balancer.HealthInconclusive, "NOP": balancer.HealthInconclusive}
)

// provision builds an instance from its start message.
func provision(l line) (*balancer.Balancer, error) {
	if len(l.BootInfo) == 0 {
		return nil, errors.New("provision without boot-info")
	}
	d, err := deployment.Read(l.BootInfo)
	if err != nil {
		return nil, fmt.Errorf("boot-info: %v", err)
	}
	return d.NewBalancer(l.Seed), nil
}

// add puts one event into the news of its instance.
func add(n *balancer.Events, l line) error {
	for _, v := range append([]float64{l.Size, l.Elapsed, l.PeriodLen, l.Lost, l.Tries}, l.Stats...) {
		if v < 0 || math.IsInf(v, 0) {
			return fmt.Errorf("%s holds the impossible figure %v", l.Type, v)
		}
	}
	switch l.Type {
	case "Announce":
		scope, ok := scopes[l.Scope]
		if !ok {
			return fmt.Errorf("announce has the unknown scope %q", l.Scope)
		}
		list := balancer.EndpointList{Scope: scope}
		for _, e := range l.Entries {
			phase, ok := phases[e.Phase]
			if !ok {
				return fmt.Errorf("%q has the unknown phase %q", e.Backend, e.Phase)
			}
			list.Endpoints = append(list.Endpoints, balancer.Endpoint{Server: balancer.Server(e.Backend),
				Zone: balancer.Zone(e.Campus), Kind: balancer.Kind(e.Shape), FailureDomain: balancer.FailureDomain(e.Pod),
				Weight: e.Size, Phase: phase, Started: e.BootTime})
		}
		n.Lists = append(n.Lists, list)
	case "Enrolled":
		n.ProxyEvents = append(n.ProxyEvents, balancer.ProxyEvent{Proxy: balancer.Proxy(l.Px), Joined: true,
			Zone: balancer.Zone(l.Campus), ExpectedRate: l.Size, DefaultTable: l.Flag})
	case "Detached":
		n.ProxyEvents = append(n.ProxyEvents, balancer.ProxyEvent{Proxy: balancer.Proxy(l.Px)})
	case "TrafficReport":
		n.Upstreams = append(n.Upstreams, balancer.UpstreamReport{Server: balancer.Server(l.Backend),
			Zone: balancer.Zone(l.Campus), Attempts: l.Tries, Failed: l.Lost, Latency: l.Elapsed,
			Interval: l.PeriodLen, Load: l.Stats})
	case "OfferedLoad":
		n.Demands = append(n.Demands, balancer.DemandReport{Proxy: balancer.Proxy(l.Px), Class: balancer.Class(l.Class),
			Requests: l.Tries, Failed: l.Lost, Interval: l.PeriodLen})
	case "TookEffect":
		n.Acks = append(n.Acks, balancer.Ack{Proxy: balancer.Proxy(l.Px), ID: balancer.AckID(l.Number),
			Latency: l.Elapsed})
	case "PingResult":
		verdict, ok := verdicts[l.Code]
		if !ok {
			return fmt.Errorf("PingResult has the unknown code %q", l.Code)
		}
		n.HealthChecks = append(n.HealthChecks, balancer.HealthCheckResult{Server: balancer.Server(l.Backend), Status: verdict,
			Latency: l.Elapsed, Load: l.Stats})
	case "Fired":
		n.FiredTimers = append(n.FiredTimers, balancer.Timer(l.Nonce))
	case "SliceLoad", "Leased", "StoredLine", "Message":
		// Slices and words from fellow coordinators: nothing here is decided by them yet.
	default:
		return fmt.Errorf("unknown event type %q", l.Type)
	}
	return nil
}
