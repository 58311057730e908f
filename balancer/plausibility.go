package balancer

import "math"

// Bounds on values from outside. A value beyond them cannot have been measured. They keep every sum, quotient
// and average finite, so that one wrong value cannot spoil the state for good.
const (
	// maxReportedRate is the maximum rate of a report, in requests per second.
	maxReportedRate = 1e6
	// minDemandInterval is the minimum interval of a demand report, in seconds.
	minDemandInterval = 1e-3
	// maxReportInterval is the maximum interval of a report, in seconds.
	maxReportInterval = 3600.0
	// maxReportedCount is the maximum number of requests in a report.
	maxReportedCount = maxReportedRate * maxReportInterval
	// maxReportedLatency is the maximum latency in a report or an acknowledgement, in seconds.
	maxReportedLatency = 3600.0
	// maxListedWeight is the maximum weight of an endpoint.
	maxListedWeight = 1e12
)

// inRange reports whether a value is from lowest to highest. It is false for NaN.
func inRange(value, lowest, highest float64) bool {
	return value >= lowest && value <= highest
}

// Plausible reports whether the report can have been measured. The Balancer ignores other reports.
func (r UpstreamReport) Plausible() bool {
	return inRange(r.Interval, 0, maxReportInterval) &&
		inRange(r.Attempts, 0, maxReportedCount) &&
		inRange(r.Failed, 0, maxReportedCount) &&
		inRange(r.Latency, 0, maxReportedLatency)
}

// Plausible reports whether the report can have been measured. The Balancer ignores other reports.
func (r DemandReport) Plausible() bool {
	return r.Class >= 0 &&
		inRange(r.Interval, minDemandInterval, maxReportInterval) &&
		inRange(r.Requests, 0, maxReportedRate*r.Interval) &&
		inRange(r.Failed, 0, maxReportedCount)
}

// Plausible reports whether the latency can have been measured. The Balancer ignores other acknowledgements.
func (a Ack) Plausible() bool {
	return inRange(a.Latency, 0, maxReportedLatency)
}

// plausibleEndpoint returns an endpoint without the values that cannot be right: an implausible weight counts
// as not listed, and an implausible start as long ago.
func plausibleEndpoint(endpoint Endpoint) Endpoint {
	if !inRange(endpoint.Weight, 0, maxListedWeight) {
		endpoint.Weight = 0
	}
	if !inRange(endpoint.Started, 0, math.MaxFloat64) {
		endpoint.Started = 0
	}
	return endpoint
}
