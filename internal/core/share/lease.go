package share

import "math"

// Terms of leases. All clocks are monotonic and local; none is compared with another's.
type Terms struct {
	For    float64 // seconds that a renewal lets its peer order, from when the peer proposed it, by its own clock
	Drift  float64 // part by which two clocks may run apart
	Margin float64 // seconds besides, for an order that is being written when the lease ends
	Every  float64 // seconds between two renewals
}

// UsualTerms are those that settings start from: a loss is noticed within five seconds.
var UsualTerms = Terms{
	For:    3,    // longer than an election and a few lost messages
	Drift:  0.02, // clocks of machines run apart by a thousandth at the worst; twenty times that
	Margin: 0.5,  // a system call that the kernel takes its time with
	Every:  0.75, // four tries within a lease
}

// Lease is one coordinator's view of who may order. A peer that has renewed may order for Terms.For from when it proposed
// that; the others hold it for dead no earlier than that by their clocks, counted from when they saw the renewal applied,
// which is later, and stretched by the drift, with a margin. So by the time that anybody takes its proxies over, it has
// stopped, whatever was paused, cut or late between them. Guards against two that believe they lead; it does harm where
// clocks run apart by more than Drift, and by leaving proxies unled for that long after a death.
type Lease struct {
	self     Peer
	life     uint64
	terms    Terms
	weight   float64
	next     uint64
	proposed map[uint64]float64 // when each of our renewals under way was proposed
	until    float64            // we may order until then
	last     float64            // when we last proposed
	retired  bool
	seen     map[Peer]sighting
	careless bool // pauses are not noticed (a guard left out, for tests)
}

type sighting struct {
	renewal uint64
	at      float64 // when it was applied here
	told    float64 // when its expiry was last proposed
}

// NewLease makes the view of a coordinator that starts now. after is the number of the newest renewal of it in the state
// that it starts from. life is a number that no other process of this coordinator has had: what a former one proposed may still
// be agreed on, under numbers that this one uses too, and must not count as ours.
func NewLease(now float64, self Peer, life uint64, weight float64, after uint64, terms Terms) *Lease {
	return &Lease{self: self, life: life, terms: terms, weight: weight, next: after, proposed: map[uint64]float64{},
		last: now - terms.Every, seen: map[Peer]sighting{}}
}

// Careless leaves out the guard of pauses: a lease then lasts until its end is noticed. For tests of that guard.
func (l *Lease) Careless() { l.careless = true }

// Propose are the commands that are due: a renewal of our own, expiries of others.
func (l *Lease) Propose(now float64, s *State) (due []Command) {
	if !l.retired && now-l.last >= l.terms.Every {
		l.next = max(l.next, s.Members[l.self].Renewal) + 1
		l.last, l.proposed[l.next] = now, now
		for n, at := range l.proposed { // what was proposed long ago can't let us order any more
			if now-at > l.terms.For {
				delete(l.proposed, n)
			}
		}
		due = append(due, Command{Kind: Renew, Peer: l.self, Weight: l.weight, Renewal: l.next, Life: l.life, Seen: s.Epoch})
	}
	for _, p := range s.Living() {
		m, seen := s.Members[p], l.seen[p]
		if p == l.self {
			continue
		}
		if seen.renewal != m.Renewal || seen.at == 0 { // from a snapshot: counted from now
			seen = sighting{renewal: m.Renewal, at: now}
		}
		if now-seen.at > l.terms.For*(1+l.terms.Drift)+l.terms.Margin && now-seen.told > l.terms.Every {
			seen.told = now
			due = append(due, Command{Kind: Expire, Peer: p, Renewal: m.Renewal})
		}
		l.seen[p] = seen
	}
	return due
}

// Retire gives our part up: we order nothing from now on. The command tells the others, who then need not wait.
func (l *Lease) Retire() Command {
	l.retired, l.until = true, 0
	return Command{Kind: Retire, Peer: l.self}
}

// Applied tells of a command that was applied here, after the state has taken it.
func (l *Lease) Applied(now float64, c Command, s *State) {
	switch {
	case c.Kind == Renew && (!s.Accepted(c) || c.Peer == l.self && (l.retired || c.Life != l.life)):
	case c.Kind == Renew && c.Peer == l.self:
		if at, ok := l.proposed[c.Renewal]; ok {
			l.until = max(l.until, at+l.terms.For)
			delete(l.proposed, c.Renewal)
		}
	case c.Kind == Renew:
		l.seen[c.Peer] = sighting{renewal: c.Renewal, at: now}
	case c.Kind == Expire && c.Peer == l.self && !s.Members[l.self].Alive:
		l.until = 0 // it was over by our clock already
	}
}

// Hurry makes the next renewal due at once: proxies have changed hands, and others wait for our word that we know.
func (l *Lease) Hurry() { l.last = math.Inf(-1) }

// Holds tells whether we may order now. It is to be asked with a fresh clock before every order, after anything that may
// have taken time.
func (l *Lease) Holds(now float64) bool {
	return l.until > 0 && (l.careless || now < l.until)
}

// Leads tells whether we may order a proxy now.
func (l *Lease) Leads(now float64, s *State, uid string) bool {
	if !l.Holds(now) {
		return false
	}
	holder, ok := s.Holder(uid)
	return ok && holder == l.self && !s.Contested(uid, l.self)
}
