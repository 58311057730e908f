package experiment

import (
	"io"
	"slices"

	"snowquay/internal/console"
	"snowquay/internal/emulator"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
)

// Condition tells whether a scenario is as bad as the one that is to be shrunk.
type Condition func(*settings.Scenario) bool

const (
	minServers        = 4
	minRelays         = 2
	minSeconds        = 15.0
	minFaultSeconds   = 0.2
	half              = 0.5
	threeQuarters     = 0.75
	shorterFraction   = 0.8 // of a scenario that its faults do not allow to end sooner
	minSavedSeconds   = 1
	minEarlierSeconds = 1
)

// shrinker holds the smallest scenario so far that is still bad.
type shrinker struct {
	smallest *settings.Scenario
	bad      Condition
	played   int
	limit    int // runs at most
	progress io.Writer
}

// Shrink makes a bad scenario smaller while it stays bad: fewer faults, servers and relays, less time and traffic. It
// stops when no step keeps it bad, or after limit runs. The result is another scenario.
func Shrink(original *settings.Scenario, bad Condition, limit int, progress io.Writer) *settings.Scenario {
	s := &shrinker{smallest: original, bad: bad, limit: limit, progress: progress}
	for s.played < limit {
		if !s.pass() {
			break
		}
	}
	remaining := len(s.smallest.Faults)
	for i := range remaining {
		s.try("a shorter trouble", func(candidate *settings.Scenario) bool {
			candidate.Faults[i].Duration *= half
			return candidate.Faults[i].Duration > minFaultSeconds
		})
	}
	return s.smallest
}

// try runs a changed scenario, and keeps it if it is bad. The change returns false if it does not apply.
func (s *shrinker) try(what string, change func(*settings.Scenario) bool) bool {
	if s.played >= s.limit {
		return false
	}
	candidate := clone(s.smallest)
	if !change(candidate) {
		return false
	}
	s.played++
	if !s.bad(candidate) {
		return false
	}
	s.smallest = candidate
	site := &candidate.Coordinator.Site
	console.Printf(s.progress, "%d played: %s; %d troubles, %d servers, %d relays, %.0f s\n", s.played, what, len(candidate.Faults),
		len(site.Servers), len(site.Proxies), candidate.Seconds)
	return true
}

// pass tries each kind of change once. It returns whether any made the scenario smaller.
func (s *shrinker) pass() bool {
	shrunk := s.removeFaults()
	for _, step := range []struct {
		what   string
		change func(*settings.Scenario) bool
	}{
		{"half the servers", func(candidate *settings.Scenario) bool { return fewerServers(candidate, half) }},
		{"half the relays", func(candidate *settings.Scenario) bool { return fewerRelays(candidate, half) }},
		{"three quarters of the servers", func(candidate *settings.Scenario) bool { return fewerServers(candidate, threeQuarters) }},
		{"three quarters of the relays", func(candidate *settings.Scenario) bool { return fewerRelays(candidate, threeQuarters) }},
		{"a shorter day", shorter},
		{"all earlier", earlier},
	} {
		if s.try(step.what, step.change) {
			shrunk = true
		}
	}
	return shrunk
}

// removeFaults removes halves of the faults first, then smaller parts, then single ones.
func (s *shrinker) removeFaults() bool {
	removed := false
	for size := (len(s.smallest.Faults) + 1) / 2; size >= 1; size /= 2 {
		for from := 0; from < len(s.smallest.Faults); {
			without := func(candidate *settings.Scenario) bool {
				candidate.Faults = slices.Delete(candidate.Faults, from, min(from+size, len(candidate.Faults)))
				return true
			}
			if s.try("without some troubles", without) {
				removed = true
				continue
			}
			from += size
		}
	}
	return removed
}

func clone(original *settings.Scenario) *settings.Scenario {
	cloned := *original
	coordinator := *original.Coordinator
	cloned.Coordinator = &coordinator
	coordinator.Site.Servers = slices.Clone(coordinator.Site.Servers)
	coordinator.Site.Proxies = slices.Clone(coordinator.Site.Proxies)
	cloned.Faults = slices.Clone(original.Faults)
	return &cloned
}

// removeOrphans removes the faults of servers and relays that are gone.
func removeOrphans(candidate *settings.Scenario) {
	site := &candidate.Coordinator.Site
	candidate.Faults = slices.DeleteFunc(candidate.Faults, func(fault settings.Fault) bool {
		return fault.Server >= len(site.Servers) || fault.Proxy >= len(site.Proxies)
	})
}

func fewerServers(candidate *settings.Scenario, fraction float64) bool {
	site := &candidate.Coordinator.Site
	left := int(float64(len(site.Servers)) * fraction)
	if left < minServers || left == len(site.Servers) {
		return false
	}
	candidate.Rate *= float64(left) / float64(len(site.Servers))
	site.Servers = site.Servers[:left]
	for i := range site.Servers {
		if int(site.Servers[i].Zone) >= len(site.Zones) {
			site.Servers[i].Zone = 0
		}
	}
	removeOrphans(candidate)
	return len(candidate.Faults) > 0
}

func fewerRelays(candidate *settings.Scenario, fraction float64) bool {
	site := &candidate.Coordinator.Site
	left := int(float64(len(site.Proxies)) * fraction)
	if left < minRelays || left == len(site.Proxies) {
		return false
	}
	site.Proxies = site.Proxies[:left]
	site.DataPlane.Proxies = left
	for i := range site.Proxies {
		site.Proxies[i].ExpectedRate = candidate.Rate / float64(left)
	}
	removeOrphans(candidate)
	return len(candidate.Faults) > 0
}

// shorter ends the scenario soon after its last fault.
func shorter(candidate *settings.Scenario) bool {
	lastEnd := 0.0
	for _, fault := range candidate.Faults {
		lastEnd = max(lastEnd, fault.At+fault.Duration)
	}
	seconds := max(lastEnd+faultFreeEndSeconds, minSeconds)
	if seconds >= candidate.Seconds-minSavedSeconds {
		seconds = candidate.Seconds * shorterFraction
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

// earlier moves all faults, and the end, to an earlier time.
func earlier(candidate *settings.Scenario) bool {
	first := candidate.Seconds
	for _, fault := range candidate.Faults {
		first = min(first, fault.At)
	}
	shift := first - firstFaultSeconds
	if shift <= minEarlierSeconds {
		return false
	}
	for i := range candidate.Faults {
		candidate.Faults[i].At -= shift
	}
	candidate.Seconds -= shift
	return true
}

// BreaksRule returns a condition for scenarios that break a rule; 0 is any rule.
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

// ServiceBelow returns a condition for scenarios with a lower service.
func ServiceBelow(service float64, options scenario.Options) Condition {
	return func(candidate *settings.Scenario) bool {
		options := options
		options.Seed = candidate.Seed
		result, err := scenario.Run(candidate, options)
		return err == nil && result.Service < service
	}
}
