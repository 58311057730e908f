package deployment

import "fmt"

const (
	maxFigure    = 1e12 // of any figure in the settings
	maxInstances = 1e6  // proxies or coordinators

	// minMessages within a window: one assigns a table to a proxy, one may be sent twice, and one is left for
	// drains.
	minMessages = 3
)

// RangeError reports a figure of the settings by which no decisions can be made.
type RangeError struct {
	Key   string
	Value float64
	Max   float64
}

// Error names the key, the value and the range.
func (e *RangeError) Error() string {
	return fmt.Sprintf("%s: %v is not between 0 and %v", e.Key, e.Value, e.Max)
}

// figure is a number of the settings, by its key, and its upper limit.
type figure struct {
	key   string
	value float64
	limit float64
}

func (d *Deployment) figures() []figure {
	plane := d.DataPlane
	guarantees := d.Guarantees
	figures := []figure{
		{"balancers", float64(d.Coordinators), maxInstances},
		{"family-info.data-plane-size", float64(plane.Proxies), maxInstances},
		{"family-info.egress-per-s", plane.EntriesPerSecond, maxFigure},
		{"family-info.late-most", plane.MaxDelay, maxFigure},
		{"family-info.pending-max", plane.MaxQueuedEntries, maxFigure},
		{"family-info.per-message", plane.MessageOverhead, maxFigure},
		{"family-info.period", plane.ReportPeriod, maxFigure},
		{"family-info.propagation", plane.MeanDelay, maxFigure},
		{"family-info.reloads-max", float64(plane.MaxMessages), maxFigure},
		{"family-info.reports-per-s", plane.ReportEntriesPerSecond, maxFigure},
		{"family-info.smallest-conn-table", plane.MinConnections, maxFigure},
		{"family-info.unserved-max", plane.EmptyTableDeadline, maxFigure},
		{"family-info.update-window", plane.MessageWindow, maxFigure},
		{"guarantees.cold", guarantees.WarmupDuration, maxFigure},
		{"guarantees.cold-from", guarantees.WarmupStartFraction, maxFigure},
		{"guarantees.fall", guarantees.OverloadWindow, maxFigure},
		{"guarantees.fall-multiple", guarantees.OverloadFactor, maxFigure},
		{"guarantees.stop-sending-within", guarantees.DrainDeadline, maxFigure},
	}
	for number, class := range d.Classes {
		prefix := fmt.Sprintf("grades[%d].", number)
		figures = append(figures,
			figure{prefix + "aim", class.LatencyObjective, maxFigure},
			figure{prefix + "deadline", class.ClientTimeout, maxFigure},
			figure{prefix + "points", class.PriorityWeight, maxFigure})
	}
	return figures
}

// checkRanges returns a *RangeError for the first figure that is out of range.
func (d *Deployment) checkRanges() error {
	for _, f := range d.figures() {
		if f.value < 0 || f.value > f.limit {
			return &RangeError{Key: f.key, Value: f.value, Max: f.limit}
		}
	}
	return nil
}

// Warnings describes the settings, each by its key, under which a coordinator runs but cannot keep every rule.
func (d *Deployment) Warnings() []string {
	var warnings []string
	plane := d.DataPlane
	if plane.EntriesPerSecond == 0 {
		warnings = append(warnings, "family-info.egress-per-s: the channel has no rate: only acknowledgements make room for more entries")
	}
	if plane.MaxQueuedEntries <= plane.MessageOverhead+1 {
		warnings = append(warnings, "family-info.pending-max: no message fits the channel")
	}
	if plane.MaxMessages > 0 && plane.MaxMessages < minMessages {
		warnings = append(warnings, fmt.Sprintf(
			"family-info.reloads-max: of %d messages none is left for drains once a proxy has joined", plane.MaxMessages))
	}
	return warnings
}
