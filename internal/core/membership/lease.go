package membership

import "math"

// LeaseConfig of leases. All clocks are monotonic and local; none is compared with another's.
type LeaseConfig struct {
	Duration      float64 // seconds that a renewal lets its peer order, from when the peer proposed it, by its own clock
	MaxClockDrift float64 // part by which two clocks may run apart
	SafetyMargin  float64 // seconds besides, for an order that is being written when the lease ends
	RenewInterval float64 // seconds between two renewals
	RampUp        float64 // seconds in which a newcomer's part grows to the whole; 0: at once
}

const (
	riseSteps   = 8     // in which a newcomer's part grows: each is an epoch, and costs a round of renewals
	riseShare   = 0.5   // of the channels, that moves of their own accord may take
	leastRise   = 1.0   // seconds; what is moved faster than that is moved at once
	longestRise = 600.0 // seconds; longer, and a coordinator that flaps would never lead its part
)

// RampUpFor is how long a newcomer's part should take to grow, so that the proxies that move to it are told their tables
// within a share of its channel: a coordinator that comes back must not have to tell all of them at once, with drains
// behind them. lines is what a proxy is told in all, perSecond the channel's lines.
func RampUpFor(proxies, coordinators int, lines, perSecond float64) float64 {
	if coordinators < 2 || !(perSecond > 0) {
		return 0
	}
	rise := float64(proxies) / float64(coordinators) * lines / (perSecond * riseShare)
	if rise < leastRise {
		return 0
	}
	return min(rise, longestRise)
}

// ExpiryTimeout is how long after a coordinator's last renewal the others hold it for dead, at the earliest.
func (t LeaseConfig) ExpiryTimeout() float64 { return t.Duration*(1+t.MaxClockDrift) + t.SafetyMargin }

// RenewalsPerLease is how often a lease is renewed before it would end: so many messages may be lost.
const RenewalsPerLease = 4

// DefaultLeaseConfig are those that settings start from: a loss is noticed within five seconds.
var DefaultLeaseConfig = LeaseConfig{
	Duration:      3,    // longer than an election and a few lost messages
	MaxClockDrift: 0.02, // clocks of machines run apart by a thousandth at the worst; twenty times that
	SafetyMargin:  0.5,  // a system call that the kernel takes its time with
	RenewInterval: 0.75, // four tries within a lease
}

// Lease is one coordinator's view of who may order. A peer that has renewed may order for Terms.For from when it proposed
// that; the others hold it for dead no earlier than that by their clocks, counted from when they saw the renewal applied,
// which is later, and stretched by the drift, with a margin. So by the time that anybody takes its proxies over, it has
// stopped, whatever was paused, cut or late between them. Guards against two that believe they lead; it does harm where
// clocks run apart by more than Drift, and by leaving proxies unled for that long after a death.
type Lease struct {
	self     Peer
	life     uint64
	terms    LeaseConfig
	weight   float64
	next     uint64
	proposed map[uint64]float64 // when each of our renewals under way was proposed
	until    float64            // we may order until then
	last     float64            // when we last proposed
	retired  bool
	risen    float64 // when our part began to grow; 0: it is not begun
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
func NewLease(now float64, self Peer, life uint64, weight float64, after uint64, terms LeaseConfig) *Lease {
	return &Lease{self: self, life: life, terms: terms, weight: weight, next: after, proposed: map[uint64]float64{},
		last: now - terms.RenewInterval, seen: map[Peer]sighting{}}
}

// DisablePauseGuard leaves out the guard of pauses: a lease then lasts until its end is noticed. For tests of that guard.
func (l *Lease) DisablePauseGuard() { l.careless = true }

// DueCommands are the commands that are due: a renewal of our own, expiries of others.
func (l *Lease) DueCommands(now float64, s *State) (due []Command) {
	if !l.retired && now-l.last >= l.terms.RenewInterval {
		l.next = max(l.next, s.Members[l.self].Renewal) + 1
		l.last, l.proposed[l.next] = now, now
		for n, at := range l.proposed { // what was proposed long ago can't let us order any more
			if now-at > l.terms.Duration {
				delete(l.proposed, n)
			}
		}
		due = append(due, Command{Kind: RenewLease, Peer: l.self, Weight: l.weight * l.part(now, s), Renewal: l.next, Incarnation: l.life, SeenEpoch: s.Epoch, AppliedOrders: s.OrderCount})
	}
	for _, p := range s.AliveMembers() {
		m, seen := s.Members[p], l.seen[p]
		if p == l.self {
			continue
		}
		if seen.renewal != m.Renewal || seen.at == 0 { // from a snapshot: counted from now
			seen = sighting{renewal: m.Renewal, at: now}
		}
		if now-seen.at > l.terms.ExpiryTimeout() && now-seen.told > l.terms.RenewInterval {
			seen.told = now
			due = append(due, Command{Kind: ExpireLease, Peer: p, Renewal: m.Renewal})
		}
		l.seen[p] = seen
	}
	return due
}

// part is how much of our weight we take now. Guards against proxies that all move at once to one that has just come and
// has nothing else to do than tell them their tables; it does harm by leaving the others with more than their part
// meanwhile. Where nobody else lives there is nothing to wait for.
func (l *Lease) part(now float64, s *State) float64 {
	alive := s.AliveMembers()
	if l.terms.RampUp <= 0 || len(alive) == 0 || len(alive) == 1 && alive[0] == l.self {
		l.risen = 0
		return 1
	}
	if l.risen == 0 {
		if s.Members[l.self].Alive { // they were led by us before others came
			return 1
		}
		l.risen = now
	}
	return min(1, (math.Floor((now-l.risen)/l.terms.RampUp*riseSteps)+1)/riseSteps)
}

// Release gives our part up: we order nothing from now on. The command tells the others, who then need not wait.
func (l *Lease) Release() Command {
	l.retired, l.until = true, 0
	return Command{Kind: ReleaseLease, Peer: l.self}
}

// ObserveCommand tells of a command that was applied here, after the state has taken it.
func (l *Lease) ObserveCommand(now float64, c Command, s *State) {
	switch {
	case c.Kind == RenewLease && (!s.AcceptsRenewal(c) || c.Peer == l.self && (l.retired || c.Incarnation != l.life)):
	case c.Kind == RenewLease && c.Peer == l.self:
		if at, ok := l.proposed[c.Renewal]; ok {
			l.until = max(l.until, at+l.terms.Duration)
			delete(l.proposed, c.Renewal)
		}
	case c.Kind == RenewLease:
		l.seen[c.Peer] = sighting{renewal: c.Renewal, at: now}
	case c.Kind == DrainServer: // whoever told it waits for all to say that they know
		l.RenewNow()
	case c.Kind == ExpireLease && c.Peer == l.self && !s.Members[l.self].Alive:
		l.until = 0 // it was over by our clock already
	}
}

// RenewNow makes the next renewal due at once: proxies have changed hands, and others wait for our word that we know.
func (l *Lease) RenewNow() { l.last = math.Inf(-1) }

// Valid tells whether we may order now. It is to be asked with a fresh clock before every order, after anything that may
// have taken time.
func (l *Lease) Valid(now float64) bool {
	return l.until > 0 && (l.careless || now < l.until)
}

// Owns tells whether we may order a proxy now.
func (l *Lease) Owns(now float64, s *State, uid string) bool {
	if !l.Valid(now) {
		return false
	}
	by, ok := s.Owner(uid)
	return ok && by == l.self && !s.Contested(uid, l.self)
}

// RenewedAt is when the renewal that we hold our lease by was proposed, by our clock. All that was agreed on before then is
// known here.
func (l *Lease) RenewedAt() float64 { return l.until - l.terms.Duration }
