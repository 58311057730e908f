// Package deployment parses the settings object of a coordinator, which has the same form on the simulator and on the
// platform, and creates a balancer from it.
//
// The JSON keys are the terms of the platform; the Go fields use the terms of the rest of the program. Times are in
// seconds.
package deployment

import (
	"encoding/json"
	"errors"
	"fmt"

	"snowquay/balancer"
)

// ErrNoClasses reports settings without a request class.
var ErrNoClasses = errors.New("grades: no request class is configured")

// Deployment is the settings object. Keys without a field here are ignored.
type Deployment struct {
	Coordinators   int            `json:"balancers"`
	DiscoveryMode  string         `json:"discovery"`
	DataPlane      DataPlane      `json:"family-info"`
	Classes        []Class        `json:"grades"`
	Guarantees     Guarantees     `json:"guarantees"`
	MachineKinds   []string       `json:"host-types"`
	Ordinal        int            `json:"ordinal"` // number of this coordinator
	HealthChecking HealthChecking `json:"policy-limits"`
	Prices         Prices         `json:"prices"`
	LoadReport     LoadReport     `json:"report"`
	WeightSource   string         `json:"weight-source"`
	Zones          []string       `json:"zones"`
}

// DataPlane contains the settings of the proxies, of the channel to them and of their reports.
type DataPlane struct {
	ZoneLocalClasses       []bool  `json:"class-own-zone"` // by class: requests are sent only to servers in the zone of the proxy
	WriteClasses           []bool  `json:"class-writes"`   // by class: requests are writes
	Proxies                int     `json:"data-plane-size"`
	DefaultRetry           int     `json:"default-retry"` // value of a balancer.RetryPolicy
	EntriesPerSecond       float64 `json:"egress-per-s"`
	DefaultTableSize       int     `json:"initial-set"`
	MaxDelay               float64 `json:"late-most"`
	AdmissionMode          string  `json:"level-kind"`
	EjectAfterFailures     int     `json:"outlier-after"`
	MaxQueuedEntries       float64 `json:"pending-max"`
	MessageOverhead        float64 `json:"per-message"` // cost of a message in entries, in addition to the entries that it carries
	ReportPeriod           float64 `json:"period"`
	MeanDelay              float64 `json:"propagation"`
	MaxMessages            int     `json:"reloads-max"` // per proxy within MessageWindow; 0 means no limit
	ReportEntriesPerSecond float64 `json:"reports-per-s"`
	Slices                 int     `json:"slices"` // not used, but must be an integer
	MinConnections         float64 `json:"smallest-conn-table"`
	AttemptTimeoutFactor   float64 `json:"try-aims"` // timeout of an attempt as a multiple of the latency objective
	EmptyTableDeadline     float64 `json:"unserved-max"`
	MessageWindow          float64 `json:"update-window"`
}

// Class contains the settings of a request class.
type Class struct {
	LatencyObjective float64 `json:"aim"`
	ObjectiveStretch float64 `json:"aim-stretch"`
	ClientTimeout    float64 `json:"deadline"`
	Idempotency      string  `json:"effect"`
	DedupScope       string  `json:"group"`
	LateWeight       float64 `json:"late-worth"`
	AllowedZones     []int   `json:"only-zones"`
	PriorityWeight   float64 `json:"points"`
	DedupWindow      float64 `json:"window"`
	Name             string  `json:"name"`
}

// Guarantees contains the parameters of the rules that the coordinator has to follow.
type Guarantees struct {
	DiscoveryPollDeadline float64 `json:"ask-within"`
	WarmupDuration        float64 `json:"cold"`
	WarmupStartFraction   float64 `json:"cold-from"`
	OverloadWindow        float64 `json:"fall"`
	OverloadFactor        float64 `json:"fall-multiple"`
	DrainDeadline         float64 `json:"stop-sending-within"`
	RemovalIsAdvisory     bool    `json:"gone-is-advice"`
}

// HealthChecking specifies whether the coordinator may check the health of servers.
type HealthChecking struct {
	ConnectTimeout float64 `json:"connect-timeout"`
	Allowed        bool    `json:"may-probe"`
}

// Prices contains the costs of actions of the coordinator, in points.
type Prices struct {
	HealthCheck float64 `json:"probe"`
}

// LoadReport specifies how servers report their load.
type LoadReport struct {
	Delivery string   `json:"how"`
	Metrics  []string `json:"names"`
}

// Values of Deployment.DiscoveryMode and LoadReport.Delivery that affect the balancer.
const (
	polledDiscovery    = "on_request"
	piggybackedReports = "piggyback"
)

// Enumeration values by their names in the settings. An unknown name is treated as the zero value, except in
// Class.Idempotency, where it is an error.
var (
	idempotencies = map[string]balancer.Idempotency{
		"free":        balancer.Idempotent,
		"guarded":     balancer.Keyed,
		"single_shot": balancer.NonIdempotent,
	}
	dedupScopes = map[string]balancer.DedupScope{
		"all":  balancer.EveryServer,
		"zone": balancer.SameZone,
		"cell": balancer.SameFailureDomain,
	}
	admissionModes = map[string]balancer.AdmissionMode{
		"silent":     balancer.AdmissionIgnored,
		"fraction":   balancer.AdmissionFraction,
		"per_second": balancer.AdmissionRate,
	}
	loadMetrics = map[string]balancer.LoadMetric{
		"rif":       balancer.InProgress,
		"q":         balancer.QueueLength,
		"busy":      balancer.Utilization,
		"lat_ms":    balancer.ServiceTime,
		"rate":      balancer.CompletionRate,
		"fail_rate": balancer.ErrorRate,
	}
	weightSources = map[string]balancer.WeightSource{
		"silent":  balancer.WeightsAbsent,
		"nominal": balancer.WeightsNominal,
		"rough":   balancer.WeightsApproximate,
		"live":    balancer.WeightsLive,
	}
)

// Read parses and validates a settings object. For settings that cannot be used it returns ErrNoClasses, a *RangeError,
// an error of encoding/json or an error that names an unknown value of Class.Idempotency.
func Read(text []byte) (*Deployment, error) {
	d := &Deployment{}
	if err := json.Unmarshal(text, d); err != nil {
		return nil, err
	}
	if len(d.Classes) == 0 {
		return nil, ErrNoClasses
	}
	for number, class := range d.Classes {
		if _, ok := idempotencies[class.Idempotency]; !ok {
			return nil, fmt.Errorf("grades: class %d has unknown effect %q", number, class.Idempotency)
		}
	}
	if err := d.checkRanges(); err != nil {
		return nil, err
	}
	return d, nil
}

// LoadMetrics returns the metrics of a load report in the order in which it contains them.
func (d *Deployment) LoadMetrics() []balancer.LoadMetric {
	var metrics []balancer.LoadMetric
	for _, name := range d.LoadReport.Metrics {
		metrics = append(metrics, loadMetrics[name])
	}
	return metrics
}
