package scenario

import "slices"

// resetDetectionSeconds is the time that relays need to detect that their connection was reset. Until then a relay
// still counts as joined to the stopped coordinator.
const resetDetectionSeconds = 0.12

// takeover measures the time from a coordinator's stop until every relay is joined again, and until every relay has
// received its table from its new coordinator.
type takeover struct {
	stoppedAt float64
	joined    bool
	updated   bool
}

// checkTakeovers records the duration of takeovers that have completed since the last check.
func (r *run) checkTakeovers(now float64) {
	joined, updated := r.checker.AllRelaysLed()
	if r.options.OnJoinedCheck != nil {
		r.options.OnJoinedCheck(now, joined)
	}
	for i := range r.takeovers {
		current := &r.takeovers[i]
		elapsed := now - current.stoppedAt
		if elapsed < resetDetectionSeconds {
			continue
		}
		if joined && !current.joined {
			current.joined = true
			r.result.JoinedAfter = append(r.result.JoinedAfter, elapsed)
		}
		if updated && !current.updated {
			current.updated = true
			r.result.UpdatedAfter = append(r.result.UpdatedAfter, elapsed)
		}
	}
	r.takeovers = slices.DeleteFunc(r.takeovers, func(t takeover) bool { return t.joined && t.updated })
}
