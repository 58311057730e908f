package collector

import (
	"bytes"
	"fmt"
	"strings"

	"snowquay/balancer"
)

// metricNames are the platform's names of the metrics of a load report.
var metricNames = map[balancer.LoadMetric]string{
	balancer.InProgress:     "inflight",
	balancer.QueueLength:    "queue",
	balancer.Utilization:    "util",
	balancer.ServiceTime:    "latency_ms",
	balancer.CompletionRate: "qps",
	balancer.ErrorRate:      "eps",
}

// LoadReport holds the metrics that a server reports of itself, by the platform's names.
type LoadReport map[string]float64

// ParseLoadReport reads a list of metrics, separated by commas, each a name, the separator and a number.
func ParseLoadReport(text []byte, separator byte) (LoadReport, error) {
	report := LoadReport{}
	for part := range bytes.SplitSeq(text, []byte{','}) {
		name, value, found := strings.Cut(string(part), string(separator))
		number, ok := parseNumber(value)
		if !found || !ok {
			return nil, fmt.Errorf("%w: metric %.40q", ErrMalformed, part)
		}
		report[name] = number
	}
	return report, nil
}

// Values returns the given metrics in their order; nil if the report lacks one of them.
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
