package membership

import "math"

// LeaseConfig configures leases. Times are seconds of each coordinator's own monotonic clock; clocks are never compared.
type LeaseConfig struct {
	Duration      float64 // from the proposal of a renewal, for which it lets its peer give orders
	MaxClockDrift float64 // fraction by which the rates of two clocks may differ
	SafetyMargin  float64 // on top, for an order that is being sent when the lease ends
	RenewInterval float64 // between two renewals
	RampUp        float64 // in which the weight of a new coordinator grows to its full value; 0: at once
}

// RenewalsPerLease is how often a lease is renewed before it would end; all but one of these messages may be lost.
const RenewalsPerLease = 4

// DefaultLeaseConfig is what settings start from. A dead coordinator is noticed within five seconds.
var DefaultLeaseConfig = LeaseConfig{
	Duration:      3,    // longer than an election and a few lost messages
	MaxClockDrift: 0.02, // machines' clocks differ by a thousandth at worst; twenty times that
	SafetyMargin:  0.5,  // for a slow system call
	RenewInterval: 0.75, // RenewalsPerLease
}

// ExpiryTimeout returns the number of seconds since a coordinator's last renewal after which the others may regard it as dead.
func (c LeaseConfig) ExpiryTimeout() float64 { return c.Duration*(1+c.MaxClockDrift) + c.SafetyMargin }

const (
	rampSteps        = 8     // in which a weight grows; each is an epoch, and costs a round of renewals
	rampChannelShare = 0.5   // of each channel's rate that proxies moving during a ramp may use
	minRampUp        = 1.0   // seconds; a shorter ramp is left out
	maxRampUp        = 600.0 // seconds; with a longer ramp a coordinator that flaps would never reach its full weight
)

// RampUpFor returns how many seconds the weight of a new coordinator should take to grow, so that the proxies that move to it are sent
// their tables within a fraction of its channel's rate: a coordinator that comes back must not have to send all tables at once, which
// would delay its drains. lines is the size of all tables of a proxy, perSecond the channel's rate in lines.
func RampUpFor(proxies, coordinators int, lines, perSecond float64) float64 {
	if coordinators < 2 || !(perSecond > 0) {
		return 0
	}
	rampUp := float64(proxies) / float64(coordinators) * lines / (perSecond * rampChannelShare)
	if rampUp < minRampUp {
		return 0
	}
	return min(rampUp, maxRampUp)
}

// Lease is one coordinator's view of who may give orders. A peer that has renewed its lease may do so for LeaseConfig.Duration from when
// it proposed the renewal. The others regard it as dead no earlier than that by their clocks, counted from when they saw the renewal
// applied, which is later, and extended by the clock drift and a margin. So by the time that anybody takes its proxies over it has
// stopped, whatever was paused, cut off or late in between. Guards against two coordinators that both believe to lead; it does harm where
// clocks drift by more than MaxClockDrift, and by leaving proxies without a leader for that long after a failure.
type Lease struct {
	self               Peer
	incarnation        uint64
	config             LeaseConfig
	weight             float64
	lastRenewal        uint64             // number of our newest renewal
	proposedAt         map[uint64]float64 // by number, of our renewals that are not applied yet
	lastProposedAt     float64
	validUntil         float64
	released           bool
	rampStartedAt      float64 // 0: not ramping up
	observed           map[Peer]observedRenewal
	pauseGuardDisabled bool
}

// observedRenewal is the newest renewal of another peer.
type observedRenewal struct {
	number           uint64
	appliedAt        float64
	expiryProposedAt float64
}

// NewLease returns the view of a coordinator that starts now; it has to renew before it may give orders. incarnation is a number that no
// other process of this coordinator has had: renewals that a former process proposed may still be committed, under numbers that this
// process uses too, and must not count as ours. lastRenewal is the number of this coordinator's newest renewal in the state that it
// starts from.
func NewLease(now float64, self Peer, incarnation uint64, weight float64, lastRenewal uint64, config LeaseConfig) *Lease {
	return &Lease{
		self:           self,
		incarnation:    incarnation,
		config:         config,
		weight:         weight,
		lastRenewal:    lastRenewal,
		proposedAt:     map[uint64]float64{},
		lastProposedAt: now - config.RenewInterval,
		observed:       map[Peer]observedRenewal{},
	}
}

// DisablePauseGuard makes the lease last until its end is noticed, however much time has passed. It is for tests of that guard.
func (l *Lease) DisablePauseGuard() { l.pauseGuardDisabled = true }

// DueCommands returns the commands that are due: the renewal of our own lease, and expiries of others.
func (l *Lease) DueCommands(now float64, state *State) (due []Command) {
	if !l.released && now-l.lastProposedAt >= l.config.RenewInterval {
		due = append(due, l.renew(now, state))
	}
	return append(due, l.dueExpiries(now, state)...)
}

func (l *Lease) renew(now float64, state *State) Command {
	l.lastRenewal = max(l.lastRenewal, state.Members[l.self].Renewal) + 1
	l.lastProposedAt = now
	l.proposedAt[l.lastRenewal] = now
	for number, proposedAt := range l.proposedAt {
		if now-proposedAt > l.config.Duration { // even if it were applied now, its lease would be over
			delete(l.proposedAt, number)
		}
	}
	return Command{
		Kind:          RenewLease,
		Peer:          l.self,
		Weight:        l.weight * l.rampFraction(now, state),
		Renewal:       l.lastRenewal,
		Incarnation:   l.incarnation,
		SeenEpoch:     state.Epoch,
		AppliedOrders: state.OrderCount,
	}
}

func (l *Lease) dueExpiries(now float64, state *State) (due []Command) {
	for _, peer := range state.AliveMembers() {
		if peer == l.self {
			continue
		}
		number := state.Members[peer].Renewal
		observed := l.observed[peer]
		if observed.number != number || observed.appliedAt == 0 { // it came with a snapshot: counted from now
			observed = observedRenewal{number: number, appliedAt: now}
		}
		if now-observed.appliedAt > l.config.ExpiryTimeout() && now-observed.expiryProposedAt > l.config.RenewInterval {
			observed.expiryProposedAt = now
			due = append(due, Command{Kind: ExpireLease, Peer: peer, Renewal: number})
		}
		l.observed[peer] = observed
	}
	return due
}

// rampFraction returns the fraction of our weight that we take now. Guards against proxies that all move at once to a coordinator that
// has just started and would have to send all of them their tables; it does harm by leaving the others with more than their part
// meanwhile. Where no other coordinator is alive there is nothing to wait for.
func (l *Lease) rampFraction(now float64, state *State) float64 {
	alive := state.AliveMembers()
	alone := len(alive) == 0 || len(alive) == 1 && alive[0] == l.self
	if l.config.RampUp <= 0 || alone {
		l.rampStartedAt = 0
		return 1
	}
	if l.rampStartedAt == 0 {
		if state.Members[l.self].Alive { // we led the proxies before the others started
			return 1
		}
		l.rampStartedAt = now
	}
	return min(1, (math.Floor((now-l.rampStartedAt)/l.config.RampUp*rampSteps)+1)/rampSteps)
}

// Release gives the lease up: it is not valid any more and never renewed. The returned command lets the others take over without waiting
// for its expiry.
func (l *Lease) Release() Command {
	l.released = true
	l.validUntil = 0
	return Command{Kind: ReleaseLease, Peer: l.self}
}

// ObserveCommand takes a committed command after state has applied it.
func (l *Lease) ObserveCommand(now float64, command Command, state *State) {
	switch {
	case command.Kind == RenewLease:
		l.observeRenewal(now, command, state)
	case command.Kind == DrainServer: // its submitter waits until every coordinator has renewed
		l.RenewNow()
	case command.Kind == ExpireLease && command.Peer == l.self && !state.Members[l.self].Alive:
		l.validUntil = 0
	}
}

func (l *Lease) observeRenewal(now float64, command Command, state *State) {
	if !state.AcceptsRenewal(command) {
		return
	}
	if command.Peer != l.self {
		l.observed[command.Peer] = observedRenewal{number: command.Renewal, appliedAt: now}
		return
	}
	if l.released || command.Incarnation != l.incarnation {
		return
	}
	if proposedAt, ok := l.proposedAt[command.Renewal]; ok {
		l.validUntil = max(l.validUntil, proposedAt+l.config.Duration)
		delete(l.proposedAt, command.Renewal)
	}
}

// RenewNow makes the next renewal due at once, because others wait for us to confirm a new epoch or order.
func (l *Lease) RenewNow() { l.lastProposedAt = math.Inf(-1) }

// Valid tells whether we may give orders now. It has to be asked with a fresh clock before every order, after anything that may have
// taken time.
func (l *Lease) Valid(now float64) bool {
	return l.validUntil > 0 && (l.pauseGuardDisabled || now < l.validUntil)
}

// Owns tells whether we may give orders to a proxy now.
func (l *Lease) Owns(now float64, state *State, uid string) bool {
	if !l.Valid(now) {
		return false
	}
	owner, ok := state.Owner(uid)
	return ok && owner == l.self && !state.Contested(uid, l.self)
}

// RenewedAt returns when the renewal by which we hold our lease was proposed. All that was committed before then is known here.
func (l *Lease) RenewedAt() float64 { return l.validUntil - l.config.Duration }
