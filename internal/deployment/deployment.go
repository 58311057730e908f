// Package deployment reads what the bench and the platform tell a coordinator of the deployment that it is part of: the
// settings object, the same on both. Times are seconds.
package deployment

import (
	"encoding/json"
	"errors"
	"fmt"

	"snowquay/balancer"
)

// Deployment is the settings object. Keys that are not named here decide nothing.
type Deployment struct {
	Balancers  int    `json:"balancers"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		ClassOwnZone  []bool  `json:"class-own-zone"`
		ClassWrites   []bool  `json:"class-writes"`
		DataPlaneSize int     `json:"data-plane-size"`
		DefaultRetry  int     `json:"default-retry"`
		EgressPerS    float64 `json:"egress-per-s"`
		InitialSet    int     `json:"initial-set"`
		LateMost      float64 `json:"late-most"`
		LevelKind     string  `json:"level-kind"`
		OutlierAfter  int     `json:"outlier-after"`
		PendingMax    float64 `json:"pending-max"`
		PerMessage    float64 `json:"per-message"`
		Period        float64 `json:"period"`
		Propagation   float64 `json:"propagation"`
		ReloadsMax    int     `json:"reloads-max"`
		ReportsPerS   float64 `json:"reports-per-s"`
		Slices        int     `json:"slices"`
		SmallestConn  float64 `json:"smallest-conn-table"`
		TryAims       float64 `json:"try-aims"`
		UnservedMax   float64 `json:"unserved-max"`
		UpdateWindow  float64 `json:"update-window"`
	} `json:"family-info"`
	Grades []struct {
		Aim        float64 `json:"aim"`
		AimStretch float64 `json:"aim-stretch"`
		Deadline   float64 `json:"deadline"`
		Effect     string  `json:"effect"`
		Group      string  `json:"group"`
		LateWorth  float64 `json:"late-worth"`
		OnlyZones  []int   `json:"only-zones"`
		Points     float64 `json:"points"`
		Window     float64 `json:"window"`
		Name       string  `json:"name"`
	} `json:"grades"`
	Guarantees struct {
		AskWithin         float64 `json:"ask-within"`
		Cold              float64 `json:"cold"`
		ColdFrom          float64 `json:"cold-from"`
		Fall              float64 `json:"fall"`
		FallMultiple      float64 `json:"fall-multiple"`
		StopSendingWithin float64 `json:"stop-sending-within"`
		GoneIsAdvice      bool    `json:"gone-is-advice"`
	} `json:"guarantees"`
	HostTypes    []string `json:"host-types"`
	Ordinal      int      `json:"ordinal"`
	PolicyLimits struct {
		ConnectTimeout float64 `json:"connect-timeout"`
		MayProbe       bool    `json:"may-probe"`
	} `json:"policy-limits"`
	Prices struct {
		Probe float64 `json:"probe"`
	} `json:"prices"`
	Report struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"report"`
	WeightSource string   `json:"weight-source"`
	Zones        []string `json:"zones"`
}

var (
	effects = map[string]balancer.Idempotency{"free": balancer.Idempotent, "guarded": balancer.Keyed,
		"single_shot": balancer.NonIdempotent}
	groups = map[string]balancer.DedupScope{"all": balancer.EveryServer, "zone": balancer.SameZone,
		"cell": balancer.SameFailureDomain}
	levels = map[string]balancer.AdmissionMode{"silent": balancer.AdmissionIgnored, "fraction": balancer.AdmissionFraction,
		"per_second": balancer.AdmissionRate}
	figures = map[string]balancer.LoadMetric{"rif": balancer.InProgress, "q": balancer.QueueLength,
		"busy": balancer.Utilization, "lat_ms": balancer.ServiceTime, "rate": balancer.CompletionRate,
		"fail_rate": balancer.ErrorRate}
	sources = map[string]balancer.WeightSource{"silent": balancer.WeightsAbsent,
		"nominal": balancer.WeightsNominal, "rough": balancer.WeightsApproximate, "live": balancer.WeightsLive}
)

// Read reads a settings object.
func Read(text []byte) (*Deployment, error) {
	d := &Deployment{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, err
	}
	if len(d.Grades) == 0 {
		return nil, errors.New("grades: no class is named")
	}
	for k, c := range d.Grades {
		if _, ok := effects[c.Effect]; !ok {
			return nil, fmt.Errorf("grades: class %d has the unknown effect %q", k, c.Effect)
		}
	}
	if err := d.inRange(); err != nil {
		return nil, err
	}
	return d, nil
}

// LoadMetrics are those of a load report, in its order.
func (d *Deployment) LoadMetrics() (list []balancer.LoadMetric) {
	for _, n := range d.Report.Names {
		list = append(list, figures[n])
	}
	return list
}

// NewBalancer makes the one of this deployment that the settings were given to.
func (d *Deployment) NewBalancer(seed uint64) *balancer.Balancer {
	f, g := d.FamilyInfo, d.Guarantees
	classes := make([]balancer.RequestClass, 0, len(d.Grades))
	for k, c := range d.Grades {
		q := balancer.RequestClass{PriorityWeight: c.Points, LateWeight: c.LateWorth, LatencyObjective: c.Aim,
			ObjectiveStretch: c.AimStretch, ClientTimeout: c.Deadline, Idempotency: effects[c.Effect], DedupScope: groups[c.Group],
			DedupWindow: c.Window, ZoneLocal: k < len(f.ClassOwnZone) && f.ClassOwnZone[k],
			Writes: k < len(f.ClassWrites) && f.ClassWrites[k]}
		for _, z := range c.OnlyZones {
			q.AllowedZones = append(q.AllowedZones, balancer.Zone(z))
		}
		classes = append(classes, q)
	}
	reporting := balancer.Reporting{Period: f.Period, EntriesPerSecond: f.ReportsPerS,
		Piggybacked: d.Report.How == "piggyback", Metrics: d.LoadMetrics()}
	return balancer.New(seed, classes,
		balancer.DataPlane{Proxies: f.DataPlaneSize, Coordinators: d.Balancers,
			Self: balancer.Coordinator(d.Ordinal), DefaultTableSize: f.InitialSet, EjectAfterFailures: f.OutlierAfter,
			DefaultRetry: balancer.RetryPolicy(f.DefaultRetry), AttemptTimeoutFactor: f.TryAims, MinConnections: f.SmallestConn, Admission: levels[f.LevelKind]},
		balancer.Channel{EntriesPerSecond: f.EgressPerS, MessageOverhead: f.PerMessage, MaxQueued: f.PendingMax,
			MeanDelay: f.Propagation, MaxDelay: f.LateMost, MaxMessages: f.ReloadsMax,
			MessageWindow: f.UpdateWindow},
		balancer.Guarantees{DrainDeadline: g.StopSendingWithin, EmptyTableDeadline: f.UnservedMax, WarmupStartFraction: g.ColdFrom,
			WarmupDuration: g.Cold, OverloadFactor: g.FallMultiple, OverloadWindow: g.Fall, DiscoveryPollDeadline: g.AskWithin,
			RemovalIsAdvisory: g.GoneIsAdvice},
		reporting,
		balancer.HealthChecking{Allowed: d.PolicyLimits.MayProbe, Price: d.Prices.Probe,
			Timeout: d.PolicyLimits.ConnectTimeout},
		balancer.Discovery{Polled: d.Discovery == "on_request", Weights: sources[d.WeightSource]})
}
