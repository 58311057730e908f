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
func (m *Manager) bears(now float64, s *server) float64 {
	if part := m.cold(now, s); part < 1 {
		if m.fleet.EjectAfter > 0 && (m.lossy || len(m.absent) > 0 || now-m.returned < settleFor) {
			return 0
		}
		return part * m.answers.Mean() * min(heavy, m.promise.FallMultiple/2)
	}
	if s.able || s.answers.Entries() == 0 {
		return heavy * max(s.answers.Mean(), m.answers.Mean())
	}
	return heavy * s.answers.Mean()
}

// spread bounds every server's part of the tries by what it bears; what is over goes to others, at last the
// warm. Guards against a withdrawal that pushes over the rest; it does harm where too many are dead.
func (m *Manager) spread(now float64, open []*server, intake, bears []float64, tries float64) {
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

func (m *Manager) cold(now float64, s *server) float64 { // the share of its capacity that it surely has
	if age := max(now-s.Started, 0); s.Started > 0 && age < m.promise.ColdFor {
		return m.promise.ColdShare + (1-m.promise.ColdShare)*age/m.promise.ColdFor
	}
	return 1
}

func (m *Manager) ready(now float64, s *server) float64 { // the share of an average intake, with the ramp
	return min(m.cold(now, s), m.promise.ColdShare+(now-s.known)/rampFor)
}

func (m *Manager) follow(now float64, l List) {
	for _, s := range m.order {
		if l.Scope == Whole && !slices.ContainsFunc(l.Entries, func(e Entry) bool { return e.Server == s.Server }) {
			l.Entries = append(slices.Clip(l.Entries), Entry{Server: s.Server, Phase: Gone})
		}
	}
	for _, e := range l.Entries {
		s := m.servers[e.Server]
		switch {
		case s == nil && e.Phase == Gone:
		case s == nil:
			if s = (&server{Entry: e, known: now}); l.Scope == Cached {
				s.known = math.Inf(-1)
			}
			m.servers[e.Server], m.order = s, append(m.order, s)
		case e.Phase == Gone && m.promise.GoneIsAdvice && s.Phase == InService:
			s.dropped = true // the list may be wrong: it stays for as long as it answers
		case e.Phase == Gone:
			s.Phase = Gone
		case e.Phase == InService && (e.Started != s.Started || s.Phase != InService): // another process
			*s = server{Entry: e, known: now}
		default:
			s.Entry, s.dropped = e, false
		}
	}
	slices.SortStableFunc(m.order, func(a, b *server) int { return cmp.Compare(a.Zone, b.Zone) })
	for i, s := range m.order {
		s.place = i
	}
}
