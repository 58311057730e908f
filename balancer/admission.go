// Admission rates: what the fleet lets in while it is pressed, and when proxies may retry.

package balancer

import (
	"cmp"
	"math"
	"slices"

	"snowquay/internal/core/waterfill"
)

const (
	lossyAt    = 0.04 // of all tries lost; more, and some proxy avoids some server: 8 lost in a row are enough
	calm       = 0.4  // of the goal time; where work takes longer the fleet is pressed; the rest is for chance
	levelEvery = 1.0  // seconds between two sendings of levels, for the last to show
	riseBy     = 0.25 // part by which a level may rise in a second: reports may be 4 s late
	riseFrom   = 0.1  // and from where, so that it does not take longer than a trouble
	trail      = 4.0  // seconds by which reports trail levels, besides their period: all on the way is late
	leastFresh = 0.1  // of all queries, those that are new: clients come three times or four
	leastLevel = 1e-3 // a class never vanishes, or its demand could not be seen to fall
	noLevel    = 1e6  // lets in all, as a share or as queries a second at a proxy
)

// press is the regulator for the fleet, against the goal time; least benefit is refused first. Guards against
// overload; it does harm where answers are slow for other reasons. Servers that lose most count if most do.
func (m *Balancer) press(now, due, gain, bears float64) {
	room, rates := make([]float64, len(m.order)), make([]float64, len(m.order))
	took, done, n, lost, tried := [2]float64{}, [2]float64{}, [2]float64{}, 0.0, 0.0 // [1]: that lose most tries
	for i, s := range m.order {
		t, tries := s.sum(window, recent, due)
		rates[i] = -1
		tried, lost = tried+t.tries, lost+t.lost
		rate, work := t.good, t.seconds
		if s.Phase != Ready {
			continue
		}
		if room[i] = m.bears(now, s) / heavy; t.enough(tries) && m.ready(now, s) >= 1 {
			sick := int(math.Round(t.lost / t.tries))
			work += float64(sick) * t.lost * m.goal // where answers come in time what is lost is no overload
			took[sick], done[sick], n[sick] = took[sick]+work, done[sick]+rate, n[sick]+1
			rates[i], s.able = rate, work <= rate*bears
			usual := s.answers.Mean() // what keeps it from half of that will pass
			room[i] = max(max(rate, usual)-gain*(work-rate*bears)/bears, usual/2)
		}
	}
	m.lossy, m.tries = lost > lossyAt*tried, tried
	most := min(max(n[1]-n[0], 0), 1)
	m.pressed = took[0]+most*took[1] > (done[0]+most*done[1])*bears
	for i, s := range m.order { // in trouble or cut they show what they can where they do more than before
		if v := rates[i]; v >= 0 && (s.able && slices.Min(m.let) >= 1 || v > s.answers.Mean()) {
			s.answers.Add(queryRates, v)
			m.answers.Add(queryRates, v)
		}
	}
	for c, let := range m.let {
		m.was[c] += (let - m.was[c]) * min(1, m.period/(m.cycle+trail))
	}
	if m.pressed || slices.Min(m.let) < 1 {
		m.admit(now, room)
	}
}

func (m *Balancer) admit(now float64, room []float64) {
	asked, whole, cut, fresh := make([]float64, len(m.let)), 0.0, 0.0, 1.0
	lately := func(x *proxy) bool { return now-x.since < trail+m.cycle } // what they get is not reported in full
	settled := slices.DeleteFunc(slices.Clone(m.proxies), lately)
	for c := range asked {
		if asked[c] = offered(settled, nil, 1<<c); m.fleet.Admission == AdmissionFraction && m.was[c] < 1 {
			cut += m.was[c] * asked[c]
		} else {
			whole += asked[c]
		}
	}
	if cut > 0 { // refused queries come again and are refused again: what is sent tells how many are new
		fresh = min(1, max(leastFresh, (m.tries-whole)/cut))
	}
	for _, c := range m.all {
		free, open := 0.0, m.classes[c].AllowedZones
		if m.let[c] < 1 {
			asked[c] *= fresh
		}
		for i, s := range m.order {
			if s.within(open) {
				free += room[i]
			}
		}
		rise := max(m.let[c], riseFrom) * (1 + riseBy*m.period) // late reports show what was let in before
		m.let[c] = min(1, rise, free/max(asked[c], leastBin))
		for i, s := range m.order {
			if s.within(open) && free > 0 {
				room[i] *= max(0, 1-asked[c]/free)
			}
		}
	}
}

func (m *Balancer) level(c Class) float64 {
	if m.fleet.Admission == AdmissionFraction && m.let[c] < 1 {
		return max(m.let[c], leastLevel)
	} else if m.fleet.Admission == AdmissionIgnored || m.let[c] >= 1 {
		return noLevel
	}
	rates := make([]float64, 0, len(m.proxies))
	for _, x := range m.proxies {
		rates = append(rates, x.rate[c])
	}
	let := m.let[c] * offered(m.proxies, nil, 1<<c)
	if each, needed := waterfill.Cap(rates, let); needed { // what comes to small proxies fits
		return max(each, leastLevel)
	}
	return noLevel
}

func (m *Balancer) setLevels(now float64, g *group, p *pool, classes ClassSet, w CommandSink) {
	for _, c := range m.all {
		o := order{m.level(c), m.fleet.DefaultRetry}
		if m.classes[c].Idempotency != Idempotent { // a repeat that we order must never take effect twice
			o.again = min(o.again, RetryIfNotExecuted)
		}
		h := cmp.Or(p.levels[c], order{noLevel, o.again})
		if m.pressed { // what one server turns away would go to the others, cold ones above all
			o.again = RetryNever
		}
		if classes>>c&1 == 1 && (o.again != h.again || math.Abs(o.level-h.level) > movedBy*h.level) {
			p.levels[c], p.leveled = o, now
			w.SetAdmission(p.table, 1<<c, o.level, o.again)
			m.concern(now, g)
		}
	}
}
