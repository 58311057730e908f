// Package fairshare shares one resource between tenants: by weight, in groups that have weights too, so that who asks for more than
// its part is slowed alone and told when to come back, and what others leave is not wasted. A reserve is kept for urgent
// requests such as drains, which no flood takes. It is pure.
//
// Each tenant has a bucket that fills at its part of the rate: what it asks within that is not refused. Beyond it a tenant
// borrows what others leave. Each has a virtual time that advances by what it borrows over its weight; who is ahead of the
// slowest of those that were refused lately waits, for as long as that one would take to ask again. One that asks for little
// holds nobody back; one that was away starts at the common time. A request costs one heap operation a level.
package fairshare

import (
	"errors"
	"fmt"
	"math"
)

// Tenant names one, Group those that it shares a part with.
type (
	Tenant string
	Group  string
)

var (
	// ErrTooManyTenants says that as many tenants are known as may be.
	ErrTooManyTenants = errors.New("too many tenants")
	// ErrUnknownTenant says that there is no such tenant.
	ErrUnknownTenant = errors.New("no such tenant")
	// ErrInvalidWeight says that a weight is none.
	ErrInvalidWeight = errors.New("a weight is over 0 and finite")
)

// Config of a resource.
type Config struct {
	Rate          float64 // units a second
	Burst         float64 // units that may be taken at once, by all together
	BucketSeconds float64 // seconds of its part that a tenant's bucket holds, at most; half a burst's worth for all together
	Reserve       float64 // part of rate and burst that only urgent requests take
	MaxTenants    int     // at most
	RecentWindow  float64 // seconds for which a tenant that was refused is waited for; less than the burst lasts
}

// DefaultConfig are those that settings start from.
var DefaultConfig = Config{Rate: 1000, Burst: 1000, BucketSeconds: 1, Reserve: 0.1, MaxTenants: 20000, RecentWindow: 0.1}

const (
	waitsGaps  = 16.0 // average times between its requests, for which a tenant that was refused is waited for
	gapMoves   = 0.1  // part by which one request moves that average
	borrowFrom = 0.5  // part of the burst that borrowing leaves for those who ask within their part
)

// flow is a tenant among its group's, or a group among all.
type flow struct {
	weight float64
	virt   float64
	wants  bool    // one of its requests was refused, and that is not long ago
	until  float64 // so long it is waited for
	at     int     // in the heap of those that want
}

// level is where flows compete: the tenants of a group, or the groups.
type level struct {
	all  float64 // weights of all
	virt float64 // the common time
	heap []*flow // that want, by virtual time
}

func (l *level) swap(i, j int) {
	h := l.heap
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

func (l *level) fix(i int) {
	h := l.heap
	for i > 0 && h[i].virt < h[(i-1)/2].virt {
		l.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		least := i
		for _, k := range [...]int{2*i + 1, 2*i + 2} {
			if k < len(h) && h[k].virt < h[least].virt {
				least = k
			}
		}
		if least == i {
			return
		}
		l.swap(i, least)
		i = least
	}
}

func (l *level) wants(f *flow, until float64) {
	f.until = max(f.until, until)
	if !f.wants {
		f.wants, f.at = true, len(l.heap)
		l.heap = append(l.heap, f)
		l.fix(f.at)
	}
}

func (l *level) rests(f *flow) {
	if !f.wants {
		return
	}
	f.wants = false
	i, last := f.at, len(l.heap)-1
	l.swap(i, last)
	if l.heap = l.heap[:last]; i < last {
		l.fix(i)
	}
}

// lead is how far a flow is ahead of the slowest that wants, in units over weight. The common time never goes back, and nobody
// is behind it: what was not asked for is not saved up.
func (l *level) lead(now float64, f *flow) float64 {
	for len(l.heap) > 0 && now > l.heap[0].until { // only the slowest holds anybody back
		l.rests(l.heap[0])
	}
	if len(l.heap) > 0 {
		l.virt = max(l.virt, l.heap[0].virt)
	} else {
		l.virt = max(l.virt, f.virt)
	}
	if f.virt < l.virt {
		if f.virt = l.virt; f.wants {
			l.fix(f.at)
		}
	}
	return f.virt - l.virt
}

func (l *level) takes(f *flow, cost float64) {
	f.virt += cost / f.weight
	if f.wants {
		l.fix(f.at)
	}
}

type tenant struct {
	flow
	up   *group
	own  float64 // units of its bucket
	at   float64
	last float64 // when it asked last
	gap  float64 // seconds between two requests, on average
	took float64
	slow int
}

type group struct {
	self    flow  // among the groups
	in      level // of its tenants
	members int
}

// Allocator is one resource. Use New.
type Allocator struct {
	terms    Config
	tenants  map[Tenant]*tenant
	groups   map[Group]*group
	root     level
	tokens   float64
	reserve  float64
	tokensAt float64
	Stats    Stats
}

// Stats is what happened, for metrics.
type Stats struct{ Own, Borrowed, Throttled, Empty, Urgent, UrgentRejected int }

// New makes a resource that is full.
func New(now float64, t Config) *Allocator {
	// All buckets together hold no more than borrowing leaves, so that what is a tenant's own is always there.
	t.BucketSeconds = min(t.BucketSeconds, t.Burst*borrowFrom/t.Rate)
	return &Allocator{terms: t, tenants: map[Tenant]*tenant{}, groups: map[Group]*group{}, tokens: t.Burst * (1 - t.Reserve),
		reserve: t.Burst * t.Reserve, tokensAt: now}
}

func weighs(w float64) error {
	if !(w > 0) || math.IsInf(w, 0) {
		return fmt.Errorf("%w: %v", ErrInvalidWeight, w)
	}
	return nil
}

// Set makes a tenant a member of a group with a weight, or changes it.
func (s *Allocator) Set(now float64, name Tenant, g Group, weight float64) error {
	if err := weighs(weight); err != nil {
		return err
	}
	if n := s.tenants[name]; n != nil && n.up == s.groups[g] {
		s.fill(now, n)
		n.up.in.all += weight - n.weight
		n.weight = weight
		return nil
	}
	if s.tenants[name] == nil && len(s.tenants) >= s.terms.MaxTenants {
		return fmt.Errorf("%w: %d", ErrTooManyTenants, len(s.tenants))
	}
	s.Remove(name)
	up := s.groups[g]
	if up == nil {
		up = &group{self: flow{weight: 1, virt: s.root.virt}}
		s.groups[g] = up
		s.root.all++
	}
	up.members++
	up.in.all += weight
	s.tenants[name] = &tenant{flow: flow{weight: weight, virt: up.in.virt}, up: up, at: now}
	return nil
}

// SetGroupWeight says what a group's part is among the groups; it is 1 until then.
func (s *Allocator) SetGroupWeight(g Group, weight float64) error {
	up := s.groups[g]
	if err := weighs(weight); err != nil || up == nil {
		return err
	}
	s.root.all += weight - up.self.weight
	up.self.weight = weight
	return nil
}

// Remove forgets a tenant; a group without members goes too. One that is made again under the name starts anew.
func (s *Allocator) Remove(name Tenant) {
	n := s.tenants[name]
	if n == nil {
		return
	}
	n.up.in.rests(&n.flow)
	delete(s.tenants, name)
	n.up.in.all -= n.weight
	if n.up.members--; n.up.members > 0 {
		return
	}
	s.root.rests(&n.up.self)
	s.root.all -= n.up.self.weight
	for g, up := range s.groups {
		if up == n.up {
			delete(s.groups, g)
		}
	}
}

// RemoveGroup forgets a group and all its tenants.
func (s *Allocator) RemoveGroup(g Group) {
	for name, n := range s.tenants {
		if n.up == s.groups[g] && n.up != nil {
			s.Remove(name)
		}
	}
}

// part is a tenant's part of all, whoever asks.
func (s *Allocator) part(n *tenant) float64 {
	return n.weight / n.up.in.all * n.up.self.weight / s.root.all
}

// fill lets time fill a tenant's own bucket.
func (s *Allocator) fill(now float64, n *tenant) {
	rate := s.terms.Rate * (1 - s.terms.Reserve) * s.part(n)
	n.own = min(rate*s.terms.BucketSeconds, n.own+max(now-n.at, 0)*rate)
	n.at = max(n.at, now)
}

// pass lets time fill the bucket of all.
func (s *Allocator) pass(now float64) {
	d, t := max(now-s.tokensAt, 0), s.terms
	s.tokensAt = max(now, s.tokensAt)
	s.tokens = min(t.Burst*(1-t.Reserve), s.tokens+d*t.Rate*(1-t.Reserve))
	s.reserve = min(t.Burst*t.Reserve, s.reserve+d*t.Rate*t.Reserve)
}

// Take asks for what a request costs, in units. With ok it may go on; else after is when to come back, in seconds. Urgent
// requests take from the reserve what is left nowhere else.
func (s *Allocator) Take(now float64, name Tenant, cost float64, urgent bool) (after float64, ok bool, err error) {
	n := s.tenants[name]
	if n == nil {
		return 0, false, fmt.Errorf("%w: %q", ErrUnknownTenant, name)
	}
	s.pass(now)
	s.fill(now, n)
	if d := now - n.last; n.last > 0 {
		n.gap += (min(d, s.terms.RecentWindow) - n.gap) * gapMoves
	}
	n.last = now
	rate := s.terms.Rate * (1 - s.terms.Reserve)
	own := rate * s.part(n) // units a second that are its own
	ahead := max(n.up.in.lead(now, &n.flow), s.root.lead(now, &n.up.self))
	floor := s.terms.Burst * (1 - s.terms.Reserve) * borrowFrom
	switch {
	case s.tokens >= cost && n.own >= cost:
		n.own -= cost
		s.tokens -= cost
		s.Stats.Own++
	case s.tokens >= cost+floor && ahead <= 0:
		s.tokens -= cost
		n.up.in.takes(&n.flow, cost)
		s.root.takes(&n.up.self, cost)
		s.Stats.Borrowed++
	case urgent && s.reserve >= cost:
		s.reserve -= cost
		s.Stats.Urgent++
	case urgent:
		s.Stats.UrgentRejected++
		return (cost - s.reserve) / (s.terms.Rate * s.terms.Reserve), false, nil
	default:
		s.Stats.Throttled++
		n.slow++
		until := now + min(s.terms.RecentWindow, waitsGaps*n.gap)
		n.up.in.wants(&n.flow, until)
		s.root.wants(&n.up.self, until)
		return max((cost-n.own)/own, (cost-s.tokens)/rate), false, nil // by then its own part has filled
	}
	n.took += cost
	return 0, true, nil
}

// Share is a tenant's part of all, what it took, and how often it was slowed.
func (s *Allocator) Share(name Tenant) (part, took float64, slowed int) {
	n := s.tenants[name]
	if n == nil {
		return 0, 0, 0
	}
	return s.part(n), n.took, n.slow
}

// Len is the number of tenants.
func (s *Allocator) Len() int { return len(s.tenants) }
