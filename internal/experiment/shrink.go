package experiment

import (
	"io"
	"slices"

	"snowquay/internal/console"
	"snowquay/internal/emulator"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
)

// Condition reports whether a scenario still shows the problem for which it is being shrunk.
type Condition func(*settings.Scenario) bool

const (
	minServers          = 4
	minRelays           = 2
	minSeconds          = 15.0
	minFaultSeconds     = 0.2 // minimum duration of a fault
	half                = 0.5
	threeQuarters       = 0.75
	shortenedFraction   = 0.8 // fraction to which a scenario is shortened if its faults last almost to its end
	minShortenedSeconds = 1   // minimum reduction by ending soon after the last fault; otherwise shortenedFraction applies
	minShiftSeconds     = 1   // shifts by this or less are not tried
)

// shrinker holds the smallest scenario found so far that still meets the condition.
type shrinker struct {
	smallest   *settings.Scenario
	reproduces Condition
	runs       int
	maxRuns    int
	progress   io.Writer
}

// Shrink reduces a scenario as long as it meets the condition: fewer faults, servers and relays, shorter time and
// less traffic. It stops when no further change meets the condition, or after maxRuns runs. The original is not
// modified.
func Shrink(original *settings.Scenario, reproduces Condition, maxRuns int, progress io.Writer) *settings.Scenario {
	s := &shrinker{smallest: original, reproduces: reproduces, maxRuns: maxRuns, progress: progress}
	for s.runs < maxRuns {
		if !s.pass() {
			break
		}
	}
	remaining := len(s.smallest.Faults)
	for i := range remaining {
		s.try("shorter fault", func(candidate *settings.Scenario) bool {
			candidate.Faults[i].Duration *= half
			return candidate.Faults[i].Duration > minFaultSeconds
		})
	}
	return s.smallest
}

// try applies a change to a copy of the smallest scenario and runs it. If the copy still meets the condition, it
// becomes the smallest scenario and try returns true. The change returns false if it does not apply, and then nothing
// is run.
func (s *shrinker) try(what string, change func(*settings.Scenario) bool) bool {
	if s.runs >= s.maxRuns {
		return false
	}
	candidate := clone(s.smallest)
	if !change(candidate) {
		return false
	}
	s.runs++
	if !s.reproduces(candidate) {
		return false
	}
	s.smallest = candidate
	site := &candidate.Coordinator.Site
	console.Printf(s.progress, "%d runs: %s; %d faults, %d servers, %d relays, %.0f s\n", s.runs, what, len(candidate.Faults),
		len(site.Servers), len(site.Proxies), candidate.Seconds)
	return true
}

// pass tries each kind of change once, and reports whether any made the scenario smaller.
func (s *shrinker) pass() bool {
	shrunk := s.removeFaults()
	for _, step := range []struct {
		what   string
		change func(*settings.Scenario) bool
	}{
		{"half the servers", func(candidate *settings.Scenario) bool { return removeServers(candidate, half) }},
		{"half the relays", func(candidate *settings.Scenario) bool { return removeRelays(candidate, half) }},
		{"three quarters of the servers", func(candidate *settings.Scenario) bool { return removeServers(candidate, threeQuarters) }},
		{"three quarters of the relays", func(candidate *settings.Scenario) bool { return removeRelays(candidate, threeQuarters) }},
		{"shorter scenario", shorten},
		{"earlier faults", shiftEarlier},
	} {
		if s.try(step.what, step.change) {
			shrunk = true
		}
	}
	return shrunk
}

// removeFaults tries to remove half of the faults at a time, then ever smaller parts, and single faults last. It
// reports whether any were removed.
func (s *shrinker) removeFaults() bool {
	removed := false
	for size := (len(s.smallest.Faults) + 1) / 2; size >= 1; size /= 2 {
		for from := 0; from < len(s.smallest.Faults); {
			without := func(candidate *settings.Scenario) bool {
				candidate.Faults = slices.Delete(candidate.Faults, from, min(from+size, len(candidate.Faults)))
				return true
			}
			if s.try("fewer faults", without) {
				removed = true
				continue
			}
			from += size
		}
	}
	return removed
}

// clone copies a scenario including everything that changes modify.
func clone(original *settings.Scenario) *settings.Scenario {
	cloned := *original
	coordinator := *original.Coordinator
	cloned.Coordinator = &coordinator
	coordinator.Site.Servers = slices.Clone(coordinator.Site.Servers)
	coordinator.Site.Proxies = slices.Clone(coordinator.Site.Proxies)
	cloned.Faults = slices.Clone(original.Faults)
	return &cloned
}

// removeOrphanedFaults removes the faults of servers and relays that were removed.
func removeOrphanedFaults(candidate *settings.Scenario) {
	site := &candidate.Coordinator.Site
	candidate.Faults = slices.DeleteFunc(candidate.Faults, func(fault settings.Fault) bool {
		return fault.Server >= len(site.Servers) || fault.Proxy >= len(site.Proxies)
	})
}

// removeServers keeps a fraction of the servers, and reduces the rate of requests in proportion.
func removeServers(candidate *settings.Scenario, fraction float64) bool {
	site := &candidate.Coordinator.Site
	kept := int(float64(len(site.Servers)) * fraction)
	if kept < minServers || kept == len(site.Servers) {
		return false
	}
	candidate.Rate *= float64(kept) / float64(len(site.Servers))
	site.Servers = site.Servers[:kept]
	for i := range site.Servers {
		if int(site.Servers[i].Zone) >= len(site.Zones) {
			site.Servers[i].Zone = 0
		}
	}
	removeOrphanedFaults(candidate)
	return len(candidate.Faults) > 0
}

// removeRelays keeps a fraction of the relays, which then share the whole rate of requests.
func removeRelays(candidate *settings.Scenario, fraction float64) bool {
	site := &candidate.Coordinator.Site
	kept := int(float64(len(site.Proxies)) * fraction)
	if kept < minRelays || kept == len(site.Proxies) {
		return false
	}
	site.Proxies = site.Proxies[:kept]
	site.DataPlane.Proxies = kept
	for i := range site.Proxies {
		site.Proxies[i].ExpectedRate = candidate.Rate / float64(kept)
	}
	removeOrphanedFaults(candidate)
	return len(candidate.Faults) > 0
}

// shorten ends the scenario faultFreeTailSeconds after its last fault or, if that saves too little, reduces its
// length to shortenedFraction of it. It returns false if the scenario would be too short or end before the start of a
// fault.
func shorten(candidate *settings.Scenario) bool {
	lastEnd := 0.0
	for _, fault := range candidate.Faults {
		lastEnd = max(lastEnd, fault.At+fault.Duration)
	}
	seconds := max(lastEnd+faultFreeTailSeconds, minSeconds)
	if seconds >= candidate.Seconds-minShortenedSeconds {
		seconds = candidate.Seconds * shortenedFraction
	}
	if seconds < minSeconds {
		return false
	}
	if slices.ContainsFunc(candidate.Faults, func(fault settings.Fault) bool { return fault.At > seconds }) {
		return false
	}
	candidate.Seconds = seconds
	return true
}

// shiftEarlier moves all faults and the end of the scenario to an earlier time, so that the first fault starts at
// firstFaultSeconds.
func shiftEarlier(candidate *settings.Scenario) bool {
	first := candidate.Seconds
	for _, fault := range candidate.Faults {
		first = min(first, fault.At)
	}
	shift := first - firstFaultSeconds
	if shift <= minShiftSeconds {
		return false
	}
	for i := range candidate.Faults {
		candidate.Faults[i].At -= shift
	}
	candidate.Seconds -= shift
	return true
}

// BreaksRule returns a condition that is met by scenarios that break a rule. Rule 0 stands for any rule.
func BreaksRule(rule int, options scenario.Options) Condition {
	return func(candidate *settings.Scenario) bool {
		options := options
		options.Seed = candidate.Seed
		result, err := scenario.Run(candidate, options)
		if err != nil {
			return false
		}
		return slices.ContainsFunc(result.Verdicts, func(verdict emulator.Verdict) bool {
			return !verdict.Kept && (rule == 0 || verdict.Rule == rule)
		})
	}
}

// ServiceBelow returns a condition that is met by scenarios with a service below the given one.
func ServiceBelow(service float64, options scenario.Options) Condition {
	return func(candidate *settings.Scenario) bool {
		options := options
		options.Seed = candidate.Seed
		result, err := scenario.Run(candidate, options)
		return err == nil && result.Service < service
	}
}
