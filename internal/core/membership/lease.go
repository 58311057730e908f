package membership

import "math"

// LeaseConfig configures leases. Times are in seconds of each coordinator's own monotonic clock; different clocks are never compared.
type LeaseConfig struct {
	Duration      float64 // validity of a lease, counted from the proposal of the renewal
	MaxClockDrift float64 // maximum relative difference between the rates of two clocks
	SafetyMargin  float64 // added for a command that is being sent to a proxy when the lease ends
	RenewInterval float64 // interval between two renewals
	RampUp        float64 // time in which the weight of a new coordinator grows to its full value; 0: it has its full weight at once
}

// RenewalsPerLease is the number of renewals proposed within the duration of a lease. All but one of these messages may be lost.
const RenewalsPerLease = 4

// DefaultLeaseConfig holds the defaults of the settings. A coordinator's failure is detected within five seconds.
var DefaultLeaseConfig = LeaseConfig{
	Duration:      3,    // longer than an election plus the delay by a few lost messages
	MaxClockDrift: 0.02, // twenty times the worst difference between machines' clocks, a thousandth
	SafetyMargin:  0.5,  // allows for a slow system call
	RenewInterval: 0.75, // Duration / RenewalsPerLease
}

// ExpiryTimeout returns the time in seconds after a coordinator's last renewal at which the others may regard it as dead.
func (c LeaseConfig) ExpiryTimeout() float64 { return c.Duration*(1+c.MaxClockDrift) + c.SafetyMargin }

const (
	rampSteps        = 8     // steps in which a weight grows; each starts a new epoch, which costs a round of renewals
	rampChannelShare = 0.5   // fraction of each channel's rate for the tables of proxies that move during a ramp-up
	minRampUp        = 1.0   // seconds; a shorter ramp-up is skipped
	maxRampUp        = 600.0 // seconds; with a longer ramp-up a coordinator that restarts repeatedly would never reach its full weight
)

// RampUpFor returns the time in seconds in which the weight of a new coordinator should grow, so that sending the tables of the proxies
// that move to it takes only a fraction of its channel's rate: if a restarted coordinator had to send all tables at once, its drains would
// be delayed. entries is the number of table entries of one proxy, entriesPerSecond the channel's rate.
func RampUpFor(proxies, coordinators int, entries, entriesPerSecond float64) float64 {
	if coordinators < 2 || !(entriesPerSecond > 0) {
		return 0
	}
	rampUp := float64(proxies) / float64(coordinators) * entries / (entriesPerSecond * rampChannelShare)
	if rampUp < minRampUp {
		return 0
	}
	return min(rampUp, maxRampUp)
}

// Lease is one coordinator's view of which coordinators may issue commands to proxies. A peer that has renewed its lease may do so for
// LeaseConfig.Duration after it proposed the renewal. The other coordinators regard it as dead after the same duration by their own
// clocks, extended by the clock drift and a margin, and counted from when they applied the renewal, which is later than the proposal.
// So a peer has stopped before another takes over its proxies, whatever was paused, partitioned or delayed meanwhile. This prevents two
// coordinators from owning the same proxy at once, unless clocks drift by more than MaxClockDrift. The cost is that proxies have no owner
// for that long after a failure.
type Lease struct {
	self               Peer
	incarnation        uint64
	config             LeaseConfig
	weight             float64
	lastRenewal        uint64             // sequence number of our newest renewal
	proposedAt         map[uint64]float64 // by sequence number, of our renewals that are not applied yet
	lastProposedAt     float64
	validUntil         float64
	released           bool
	rampStartedAt      float64 // 0: no ramp-up in progress
	observed           map[Peer]observedRenewal
	pauseGuardDisabled bool
}

// observedRenewal is the newest renewal of another peer that this coordinator has seen.
type observedRenewal struct {
	number           uint64
	appliedAt        float64
	expiryProposedAt float64
}

// NewLease returns the lease of a coordinator that starts now; it must be renewed before the coordinator may issue commands to proxies.
// incarnation must be unique among the processes of this coordinator: renewals that an earlier process proposed may still be committed,
// with sequence numbers that this process uses too, and must not count as ours. lastRenewal is the sequence number of this coordinator's
// newest renewal in the initial state.
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

// DisablePauseGuard makes Valid ignore the elapsed time: the lease lasts until its expiry is committed. It is for tests of that guard.
func (l *Lease) DisablePauseGuard() { l.pauseGuardDisabled = true }

// DueCommands returns the commands that are due now: the renewal of our own lease and the expiries of other leases.
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
		if now-proposedAt > l.config.Duration { // even if this renewal were applied now, the lease that it grants would be over
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
		if observed.number != number || observed.appliedAt == 0 { // the renewal came with a snapshot: count from now
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

// rampFraction returns the fraction of our weight that applies now. The ramp-up keeps proxies from moving all at once to a coordinator
// that has just started and would have to send tables to all of them. The cost is that the other coordinators own more than their share
// meanwhile. If no other coordinator is alive, there is no ramp-up.
func (l *Lease) rampFraction(now float64, state *State) float64 {
	alive := state.AliveMembers()
	alone := len(alive) == 0 || len(alive) == 1 && alive[0] == l.self
	if l.config.RampUp <= 0 || alone {
		l.rampStartedAt = 0
		return 1
	}
	if l.rampStartedAt == 0 {
		if state.Members[l.self].Alive { // we owned the proxies before the others started
			return 1
		}
		l.rampStartedAt = now
	}
	return min(1, (math.Floor((now-l.rampStartedAt)/l.config.RampUp*rampSteps)+1)/rampSteps)
}

// Release ends the lease: it is no longer valid and is never renewed. The returned command lets the other coordinators take over without
// waiting for its expiry.
func (l *Lease) Release() Command {
	l.released = true
	l.validUntil = 0
	return Command{Kind: ReleaseLease, Peer: l.self}
}

// ObserveCommand updates the lease for a committed command that state has just applied.
func (l *Lease) ObserveCommand(now float64, command Command, state *State) {
	switch {
	case command.Kind == RenewLease:
		l.observeRenewal(now, command, state)
	case command.Kind == DrainServer: // its submitter waits until every coordinator has renewed its lease
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

// RenewNow makes the next renewal due at once, because other coordinators wait until we confirm a new epoch or order.
func (l *Lease) RenewNow() { l.lastProposedAt = math.Inf(-1) }

// Valid reports whether we may issue commands to proxies now. It must be called with a fresh clock reading before every command, after any
// step that may have taken time.
func (l *Lease) Valid(now float64) bool {
	return l.validUntil > 0 && (l.pauseGuardDisabled || now < l.validUntil)
}

// Owns reports whether we may issue commands to a proxy now.
func (l *Lease) Owns(now float64, state *State, uid string) bool {
	if !l.Valid(now) {
		return false
	}
	owner, ok := state.Owner(uid)
	return ok && owner == l.self && !state.Contested(uid, l.self)
}

// RenewedAt returns when the renewal that granted our current lease was proposed. Everything that was committed before then is known here.
func (l *Lease) RenewedAt() float64 { return l.validUntil - l.config.Duration }
