package deployment

import "fmt"

const (
	most          = 1e12 // of any figure
	mostPlatforms = 1e6  // proxies or coordinators
	fewMessages   = 3    // of a window: one binds a proxy, one may go twice, and one is left for drains
)

// figure is a number of the settings, by its key.
type figure struct {
	key   string
	value float64
	most  float64
}

func (d *Deployment) figures() []figure {
	f, g := d.FamilyInfo, d.Guarantees
	list := []figure{
		{"balancers", float64(d.Balancers), mostPlatforms},
		{"family-info.data-plane-size", float64(f.DataPlaneSize), mostPlatforms},
		{"family-info.egress-per-s", f.EgressPerS, most},
		{"family-info.late-most", f.LateMost, most},
		{"family-info.pending-max", f.PendingMax, most},
		{"family-info.per-message", f.PerMessage, most},
		{"family-info.period", f.Period, most},
		{"family-info.propagation", f.Propagation, most},
		{"family-info.reloads-max", float64(f.ReloadsMax), most},
		{"family-info.reports-per-s", f.ReportsPerS, most},
		{"family-info.smallest-conn-table", f.SmallestConn, most},
		{"family-info.unserved-max", f.UnservedMax, most},
		{"family-info.update-window", f.UpdateWindow, most},
		{"guarantees.cold", g.Cold, most},
		{"guarantees.cold-from", g.ColdFrom, most},
		{"guarantees.fall", g.Fall, most},
		{"guarantees.fall-multiple", g.FallMultiple, most},
		{"guarantees.stop-sending-within", g.StopSendingWithin, most},
	}
	for k, c := range d.Grades {
		list = append(list, figure{fmt.Sprintf("grades[%d].aim", k), c.Aim, most},
			figure{fmt.Sprintf("grades[%d].deadline", k), c.Deadline, most}, figure{fmt.Sprintf("grades[%d].points", k), c.Points, most})
	}
	return list
}

// inRange is nil where no figure is out of the range in which decisions can be made at all.
func (d *Deployment) inRange() error {
	for _, f := range d.figures() {
		if f.value < 0 || f.value > f.most {
			return fmt.Errorf("%s: %v is not between 0 and %v", f.key, f.value, f.most)
		}
	}
	return nil
}

// Warnings names settings under which a coordinator runs, but can't keep every rule.
func (d *Deployment) Warnings() (doubts []string) {
	f := d.FamilyInfo
	if f.EgressPerS == 0 {
		doubts = append(doubts, "family-info.egress-per-s: no lines a second: only what is acknowledged makes room for more")
	}
	if f.PendingMax <= f.PerMessage+1 {
		doubts = append(doubts, "family-info.pending-max: no message fits the channel")
	}
	if f.ReloadsMax > 0 && f.ReloadsMax < fewMessages {
		doubts = append(doubts, fmt.Sprintf("family-info.reloads-max: of %d messages none is left for drains once a proxy has joined", f.ReloadsMax))
	}
	return doubts
}
