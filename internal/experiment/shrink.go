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
type Bad func(*settings.Day) bool

const (
	leastServers = 4
	leastRelays  = 2
	leastSeconds = 15.0
	cutTo        = 0.5 // of servers, relays, seconds at each step
)

// Shrink makes a bad day smaller for as long as it stays bad: fewer troubles, servers and relays, a shorter day, less traffic. Each step
// is kept if the day is still bad, until none is, or so many days were played. The result is a day of its own.
func Shrink(d *settings.Day, bad Bad, most int, progress io.Writer) *settings.Day {
	played := 0
	try := func(what string, change func(*settings.Day) bool) bool {
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
		console.Printf(progress, "%d played: %s; %d troubles, %d servers, %d relays, %.0f s\n", played, what, len(d.Troubles), len(d.Coordinator.Site.Servers),
			len(d.Coordinator.Site.Relays), d.Seconds)
		return true
	}
	for again := true; again && played < most; {
		again = false
		for size := (len(d.Troubles) + 1) / 2; size >= 1; size /= 2 { // halves first, then single ones
			for at := 0; at < len(d.Troubles); {
				if !try("without some troubles", func(n *settings.Day) bool {
					n.Troubles = slices.Delete(n.Troubles, at, min(at+size, len(n.Troubles)))
					return true
				}) {
					at += size
				} else {
					again = true
				}
			}
		}
		again = try("half the servers", func(n *settings.Day) bool { return fewerServers(n, cutTo) }) || again
		again = try("half the relays", func(n *settings.Day) bool { return fewerRelays(n, cutTo) }) || again
		again = try("three quarters of the servers", func(n *settings.Day) bool { return fewerServers(n, 0.75) }) || again
		again = try("three quarters of the relays", func(n *settings.Day) bool { return fewerRelays(n, 0.75) }) || again
		again = try("a shorter day", shorter) || again
		again = try("all earlier", earlier) || again
	}
	for i := range d.Troubles { // what is left, shorter and sooner
		try("a shorter trouble", func(n *settings.Day) bool {
			n.Troubles[i].For *= cutTo
			return n.Troubles[i].For > 0.2
		})
	}
	return d
}

func clone(d *settings.Day) *settings.Day {
	n := *d
	c := *d.Coordinator
	n.Coordinator = &c
	s := &c.Site
	s.Servers, s.Relays = slices.Clone(s.Servers), slices.Clone(s.Relays)
	n.Troubles = slices.Clone(d.Troubles)
	return &n
}

// keep the troubles that are about what is left.
func keep(n *settings.Day) {
	site := &n.Coordinator.Site
	n.Troubles = slices.DeleteFunc(n.Troubles, func(t settings.Trouble) bool {
		return t.Server >= len(site.Servers) || t.Relay >= len(site.Relays)
	})
}

func fewerServers(n *settings.Day, part float64) bool {
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
	return len(n.Troubles) > 0
}

func fewerRelays(n *settings.Day, part float64) bool {
	site := &n.Coordinator.Site
	left := int(float64(len(site.Relays)) * part)
	if left < leastRelays || left == len(site.Relays) {
		return false
	}
	site.Relays, site.DataPlane.Proxies = site.Relays[:left], left
	for i := range site.Relays {
		site.Relays[i].ExpectedRate = n.Rate / float64(left)
	}
	keep(n)
	return len(n.Troubles) > 0
}

func shorter(n *settings.Day) bool {
	last := 0.0
	for _, t := range n.Troubles {
		last = max(last, t.At+t.For)
	}
	next := max(last+troubleFree, leastSeconds)
	if next >= n.Seconds-1 {
		next = n.Seconds * 0.8
	}
	if next < leastSeconds || slices.ContainsFunc(n.Troubles, func(t settings.Trouble) bool { return t.At > next }) {
		return false
	}
	n.Seconds = next
	return true
}

func earlier(n *settings.Day) bool {
	first := n.Seconds
	for _, t := range n.Troubles {
		first = min(first, t.At)
	}
	if by := first - firstTrouble; by > 1 {
		for i := range n.Troubles {
			n.Troubles[i].At -= by
		}
		n.Seconds -= by
		return true
	}
	return false
}

// Breaks is a Bad for days that break a rule, 0: any, played in a way.
func Breaks(rule int, opts scenario.Options) Bad {
	return func(d *settings.Day) bool {
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

// Under is a Bad for days with a service under a figure.
func Under(service float64, opts scenario.Options) Bad {
	return func(d *settings.Day) bool {
		opts := opts
		opts.Seed = d.Seed
		r, err := scenario.Run(d, opts)
		return err == nil && r.Service < service
	}
}
