package collector

import (
	"bytes"
	"fmt"
	"strings"

	"snowquay/balancer"
)

// metricNames maps the metrics of a load report to their names in the protocol.
var metricNames = map[balancer.LoadMetric]string{
	balancer.InProgress:     "inflight",
	balancer.QueueLength:    "queue",
	balancer.Utilization:    "util",
	balancer.ServiceTime:    "latency_ms",
	balancer.CompletionRate: "qps",
	balancer.ErrorRate:      "eps",
}

// LoadReport holds the load metrics that a server reports, keyed by their names in the protocol.
type LoadReport map[string]float64

// ParseLoadReport parses a comma-separated list of metrics. Each consists of a name, the separator and a number.
func ParseLoadReport(text []byte, separator byte) (LoadReport, error) {
	report := LoadReport{}
	for part := range bytes.SplitSeq(text, []byte{','}) {
		name, value, found := strings.Cut(string(part), string(separator))
		number, ok := parseNumber(value)
		if !found || !ok {
			return nil, fmt.Errorf("%w: invalid metric %.40q", ErrMalformed, part)
		}
		report[name] = number
	}
	return report, nil
}

// Values returns the values of the given metrics in the given order, or nil if the report lacks one of them.
func (r LoadReport) Values(metrics []balancer.LoadMetric) []float64 {
	var values []float64
	for _, metric := range metrics {
		value, ok := r[metricNames[metric]]
		if !ok {
			return nil
		}
		values = append(values, value)
	}
	return values
}
