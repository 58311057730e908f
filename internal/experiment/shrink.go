package experiment

import (
	"io"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/console"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
)

// Bad tells whether a day is still as bad as the one that is to be shrunk.
type Bad func(*settings.Scenario) bool

const (
	leastServers = 4
	leastRelays  = 2
	leastSeconds = 15.0
	cutTo        = 0.5 // of servers, relays, seconds at each step
)

// Shrink makes a bad day smaller for as long as it stays bad: fewer troubles, servers and relays, a shorter day, less traffic. Each step
// is kept if the day is still bad, until none is, or so many days were played. The result is a day of its own.
func Shrink(d *settings.Scenario, bad Bad, most int, progress io.Writer) *settings.Scenario {
	played := 0
	try := func(what string, change func(*settings.Scenario) bool) bool {
		if played >= most {
			return false
		}
		next := clone(d)
		if !change(next) {
			return false
		}
		played++
		if !bad(next) {
			return false
		}
		d = next
		console.Printf(progress, "%d played: %s; %d troubles, %d servers, %d relays, %.0f s\n", played, what, len(d.Faults), len(d.Coordinator.Site.Servers),
			len(d.Coordinator.Site.Proxies), d.Seconds)
		return true
	}
	for again := true; again && played < most; {
		again = false
		for size := (len(d.Faults) + 1) / 2; size >= 1; size /= 2 { // halves first, then single ones
			for at := 0; at < len(d.Faults); {
				if !try("without some troubles", func(n *settings.Scenario) bool {
					n.Faults = slices.Delete(n.Faults, at, min(at+size, len(n.Faults)))
					return true
				}) {
					at += size
				} else {
					again = true
				}
			}
		}
		again = try("half the servers", func(n *settings.Scenario) bool { return fewerServers(n, cutTo) }) || again
		again = try("half the relays", func(n *settings.Scenario) bool { return fewerRelays(n, cutTo) }) || again
		again = try("three quarters of the servers", func(n *settings.Scenario) bool { return fewerServers(n, 0.75) }) || again
		again = try("three quarters of the relays", func(n *settings.Scenario) bool { return fewerRelays(n, 0.75) }) || again
		again = try("a shorter day", shorter) || again
		again = try("all earlier", earlier) || again
	}
	for i := range d.Faults { // what is left, shorter and sooner
		try("a shorter trouble", func(n *settings.Scenario) bool {
			n.Faults[i].For *= cutTo
			return n.Faults[i].For > 0.2
		})
	}
	return d
}

func clone(d *settings.Scenario) *settings.Scenario {
	n := *d
	c := *d.Coordinator
	n.Coordinator = &c
	s := &c.Site
	s.Servers, s.Proxies = slices.Clone(s.Servers), slices.Clone(s.Proxies)
	n.Faults = slices.Clone(d.Faults)
	return &n
}

// keep the troubles that are about what is left.
func keep(n *settings.Scenario) {
	site := &n.Coordinator.Site
	n.Faults = slices.DeleteFunc(n.Faults, func(t settings.Fault) bool {
		return t.Server >= len(site.Servers) || t.Relay >= len(site.Proxies)
	})
}

func fewerServers(n *settings.Scenario, part float64) bool {
	site := &n.Coordinator.Site
	left := int(float64(len(site.Servers)) * part)
	if left < leastServers || left == len(site.Servers) {
		return false
	}
	n.Rate *= float64(left) / float64(len(site.Servers))
	site.Servers = site.Servers[:left]
	for i := range site.Servers {
		if int(site.Servers[i].Zone) >= len(site.Zones) {
			site.Servers[i].Zone = balancer.Zone(0)
		}
	}
	keep(n)
	return len(n.Faults) > 0
}

func fewerRelays(n *settings.Scenario, part float64) bool {
	site := &n.Coordinator.Site
	left := int(float64(len(site.Proxies)) * part)
	if left < leastRelays || left == len(site.Proxies) {
		return false
	}
	site.Proxies, site.DataPlane.Proxies = site.Proxies[:left], left
	for i := range site.Proxies {
		site.Proxies[i].ExpectedRate = n.Rate / float64(left)
	}
	keep(n)
	return len(n.Faults) > 0
}

func shorter(n *settings.Scenario) bool {
	last := 0.0
	for _, t := range n.Faults {
		last = max(last, t.At+t.For)
	}
	next := max(last+troubleFree, leastSeconds)
	if next >= n.Seconds-1 {
		next = n.Seconds * 0.8
	}
	if next < leastSeconds || slices.ContainsFunc(n.Faults, func(t settings.Fault) bool { return t.At > next }) {
		return false
	}
	n.Seconds = next
	return true
}

func earlier(n *settings.Scenario) bool {
	first := n.Seconds
	for _, t := range n.Faults {
		first = min(first, t.At)
	}
	if by := first - firstTrouble; by > 1 {
		for i := range n.Faults {
			n.Faults[i].At -= by
		}
		n.Seconds -= by
		return true
	}
	return false
}

// Breaks is a Bad for days that break a rule, 0: any, played in a way.
func Breaks(rule int, opts scenario.Options) Bad {
	return func(d *settings.Scenario) bool {
		opts := opts
		opts.Seed = d.Seed
		r, err := scenario.Run(d, opts)
		if err != nil {
			return false
		}
		for _, v := range r.Verdicts {
			if !v.Kept && (rule == 0 || v.Rule == rule) {
				return true
			}
		}
		return false
	}
}

// ServiceBelow is a Bad for days with a service under a figure.
func ServiceBelow(service float64, opts scenario.Options) Bad {
	return func(d *settings.Scenario) bool {
		opts := opts
		opts.Seed = d.Seed
		r, err := scenario.Run(d, opts)
		return err == nil && r.Service < service
	}
}
