package deployment

import "fmt"

const (
	maxValue     = 1e12 // upper limit of any numeric setting
	maxInstances = 1e6  // upper limit of the number of proxies or coordinators

	// minMessages is the minimum number of messages per window that lets the coordinator keep its guarantees: one
	// assigns a table to a proxy, one may be sent twice, and one remains for drains.
	minMessages = 3
)

// RangeError reports a numeric setting outside the range from 0 to Max.
type RangeError struct {
	Key   string
	Value float64
	Max   float64
}

// Error returns a message with the key, the value and the range.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s: %v is not between 0 and %v", e.Key, e.Value, e.Max)
}

// boundedValue is a numeric setting with its key and its upper limit.
type boundedValue struct {
	key   string
	value float64
	limit float64
}

// boundedValues returns the numeric settings whose range is checked.
func (d *Deployment) boundedValues() []boundedValue {
	plane := d.DataPlane
	guarantees := d.Guarantees
	boundedValues := []boundedValue{
		{"balancers", float64(d.Coordinators), maxInstances},
		{"family-info.data-plane-size", float64(plane.Proxies), maxInstances},
		{"family-info.egress-per-s", plane.EntriesPerSecond, maxValue},
		{"family-info.late-most", plane.MaxDelay, maxValue},
		{"family-info.pending-max", plane.MaxQueuedEntries, maxValue},
		{"family-info.per-message", plane.MessageOverhead, maxValue},
		{"family-info.period", plane.ReportPeriod, maxValue},
		{"family-info.propagation", plane.MeanDelay, maxValue},
		{"family-info.reloads-max", float64(plane.MaxMessages), maxValue},
		{"family-info.reports-per-s", plane.ReportEntriesPerSecond, maxValue},
		{"family-info.smallest-conn-table", plane.MinConnections, maxValue},
		{"family-info.unserved-max", plane.EmptyTableDeadline, maxValue},
		{"family-info.update-window", plane.MessageWindow, maxValue},
		{"guarantees.ask-within", guarantees.DiscoveryPollDeadline, maxValue},
		{"guarantees.cold", guarantees.WarmupDuration, maxValue},
		{"guarantees.cold-from", guarantees.WarmupStartFraction, maxValue},
		{"guarantees.fall", guarantees.OverloadWindow, maxValue},
		{"guarantees.fall-multiple", guarantees.OverloadFactor, maxValue},
		{"guarantees.stop-sending-within", guarantees.DrainDeadline, maxValue},
	}
	for number, class := range d.Classes {
		prefix := fmt.Sprintf("grades[%d].", number)
		boundedValues = append(boundedValues,
			boundedValue{prefix + "aim", class.LatencyObjective, maxValue},
			boundedValue{prefix + "deadline", class.ClientTimeout, maxValue},
			boundedValue{prefix + "points", class.PriorityWeight, maxValue})
	}
	return boundedValues
}

// checkRanges returns a *RangeError for the first numeric setting that is out of range.
func (d *Deployment) checkRanges() error {
	for _, f := range d.boundedValues() {
		if f.value < 0 || f.value > f.limit {
			return &RangeError{Key: f.key, Value: f.value, Max: f.limit}
		}
	}
	return nil
}

// Warnings returns a message for each setting with which a coordinator runs but cannot keep every guarantee. A message
// starts with the key of the setting.
func (d *Deployment) Warnings() []string {
	var warnings []string
	plane := d.DataPlane
	if plane.EntriesPerSecond == 0 {
		warnings = append(warnings, "family-info.egress-per-s: the channel has no rate, so only acknowledgements free capacity for more entries")
	}
	if plane.MaxQueuedEntries <= plane.MessageOverhead+1 {
		warnings = append(warnings, "family-info.pending-max: the limit is too low for any message")
	}
	if plane.MaxMessages > 0 && plane.MaxMessages < minMessages {
		warnings = append(warnings, fmt.Sprintf(
			"family-info.reloads-max: with %d messages per window, none remains for drains after a proxy has joined", plane.MaxMessages))
	}
	return warnings
}
