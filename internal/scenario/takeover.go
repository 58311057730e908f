package scenario

import "slices"

// resetDetectionSeconds is the time in which relays detect that their connection was reset.
const resetDetectionSeconds = 0.12

// takeover measures the time from a coordinator's stop until every relay is led again, and until every relay has received
// its table from the coordinator that leads it.
type takeover struct {
	stoppedAt float64
	led       bool
	updated   bool
}

// checkTakeovers records which takeovers have completed.
func (r *run) checkTakeovers(now float64) {
	led, updated := r.checker.AllRelaysLed()
	if r.options.OnJoinedCheck != nil {
		r.options.OnJoinedCheck(now, led)
	}
	for i := range r.takeovers {
		current := &r.takeovers[i]
		elapsed := now - current.stoppedAt
		if elapsed < resetDetectionSeconds {
			continue
		}
		if led && !current.led {
			current.led = true
			r.result.JoinedAfter = append(r.result.JoinedAfter, elapsed)
		}
		if updated && !current.updated {
			current.updated = true
			r.result.UpdatedAfter = append(r.result.UpdatedAfter, elapsed)
		}
	}
	r.takeovers = slices.DeleteFunc(r.takeovers, func(t takeover) bool { return t.led && t.updated })
}
