// Server health: what each server bears, its warm-up, and the registry that discovery tells.

package balancer

import (
	"cmp"
	"math"
	"slices"

	"snowquay/internal/core/waterfill"
)

const (
	settleFor = 8.0 // seconds for which a proxy that came back may avoid servers; 2 to 8 are usual
	heavy     = 1.6 // times its usual answers that a server bears: from 0.6 of its capacity to all of it
	rampFor   = 5.0 // seconds from the floor to the full weight; the design's
)

// Health: what servers bear, and their return.

// bears is the intake that a server can surely stand. Proxies that avoid servers may avoid all but one.
func (m *Balancer) bears(now float64, s *server) float64 {
	if part := m.cold(now, s); part < 1 {
		if m.fleet.EjectAfterFailures > 0 && (m.lossy || len(m.absent) > 0 || now-m.returned < settleFor) {
			return 0
		}
		return part * m.answers.Mean() * min(heavy, m.promise.OverloadFactor/2)
	}
	if s.able || s.answers.Entries() == 0 {
		return heavy * max(s.answers.Mean(), m.answers.Mean())
	}
	return heavy * s.answers.Mean()
}

// spread bounds every server's part of the tries by what it bears; what is over goes to others, at last the
// warm. Guards against a withdrawal that pushes over the rest; it does harm where too many are dead.
func (m *Balancer) spread(now float64, open []*server, intake, bears []float64, tries float64) {
	all, warm := 0.0, 0.0
	for i, s := range open {
		if all += bears[i]; m.cold(now, s) >= 1 {
			warm += bears[i]
		}
	}
	factor := waterfill.Factor(intake, bears, tries)
	for i, s := range open {
		intake[i] = min(factor*intake[i], bears[i])
		if all < tries && warm > 0 && m.cold(now, s) >= 1 {
			intake[i] *= 1 + (tries-all)/warm
		}
	}
}

func (m *Balancer) cold(now float64, s *server) float64 { // the share of its capacity that it surely has
	if age := max(now-s.Started, 0); s.Started > 0 && age < m.promise.WarmupDuration {
		return m.promise.WarmupStartFraction + (1-m.promise.WarmupStartFraction)*age/m.promise.WarmupDuration
	}
	return 1
}

func (m *Balancer) ready(now float64, s *server) float64 { // the share of an average intake, with the ramp
	return min(m.cold(now, s), m.promise.WarmupStartFraction+(now-s.known)/rampFor)
}

func (m *Balancer) follow(now float64, l EndpointList) {
	for _, s := range m.order {
		named := func(e Endpoint) bool { return e.Server == s.Server }
		if l.Scope == FullList && !slices.ContainsFunc(l.Endpoints, named) {
			l.Endpoints = append(slices.Clip(l.Endpoints), Endpoint{Server: s.Server, Phase: Removed})
		}
	}
	for _, e := range l.Endpoints {
		s := m.servers[e.Server]
		switch {
		case s == nil && e.Phase == Removed:
		case s == nil:
			if s = (&server{Endpoint: e, known: now}); l.Scope == CachedList {
				s.known = math.Inf(-1)
			}
			m.servers[e.Server], m.order = s, append(m.order, s)
		case e.Phase == Removed && m.promise.RemovalIsAdvisory && s.Phase == Ready:
			s.dropped = true // the list may be wrong: it stays for as long as it answers
		case e.Phase == Removed:
			s.Phase = Removed
		case e.Phase == Ready && (e.Started != s.Started || s.Phase != Ready): // another process
			*s = server{Endpoint: e, known: now}
		default:
			s.Endpoint, s.dropped = e, false
		}
	}
	slices.SortStableFunc(m.order, func(a, b *server) int { return cmp.Compare(a.Zone, b.Zone) })
	for i, s := range m.order {
		s.place = i
	}
}
