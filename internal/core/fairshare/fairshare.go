// Package fairshare divides a rate limit among tenants by hierarchical weighted fair sharing: tenants have weights within their group,
// and groups among each other. A tenant that requests more than its share is throttled alone and told when to retry, and what others do
// not use is lent. A reserve is kept for urgent requests such as drains. It is pure.
//
// Each tenant has a token bucket that fills at its share of the rate; requests within it are not throttled. Beyond it a tenant borrows
// what others do not use. Borrowing advances the tenant's virtual time by the cost over its weight. A tenant may borrow unless its
// virtual time is ahead of that of another that was throttled recently, and that is waited for as long as it takes to request again.
// A tenant that requests little delays nobody, and one that was idle starts at the common virtual time. A request costs one heap
// operation for each level of the hierarchy.
package fairshare

import (
	"errors"
	"fmt"
	"math"
)

type (
	// Tenant is the name of a tenant.
	Tenant string
	// Group is the name of a group of tenants.
	Group string
)

var (
	// ErrTooManyTenants reports that Config.MaxTenants are known already.
	ErrTooManyTenants = errors.New("too many tenants")
	// ErrUnknownTenant reports that the tenant was not set.
	ErrUnknownTenant = errors.New("no such tenant")
	// ErrInvalidWeight reports a weight that is not a positive finite number.
	ErrInvalidWeight = errors.New("a weight is over 0 and finite")
)

// Config configures an Allocator.
type Config struct {
	Rate          float64 // units per second
	Burst         float64 // units that may be taken at once, by all tenants together
	BucketSeconds float64 // seconds of its share that a tenant's bucket holds; New limits it to half a burst for all tenants together
	Reserve       float64 // fraction of rate and burst that only urgent requests take
	MaxTenants    int
	MaxYield      float64 // seconds for which a throttled tenant is waited for, at most; less than the burst lasts
}

// DefaultConfig is that of a resource whose settings name nothing else.
var DefaultConfig = Config{Rate: 1000, Burst: 1000, BucketSeconds: 1, Reserve: 0.1, MaxTenants: 20000, MaxYield: 0.1}

const (
	waitedIntervals   = 16.0 // average intervals of its requests for which a throttled tenant is waited for
	intervalSmoothing = 0.1  // weight of the latest interval in their average
	borrowFloor       = 0.5  // fraction of the burst that is not lent, so that requests within a tenant's share succeed
)

// tenantState is a tenant's share and requests.
type tenantState struct {
	flow
	group           *groupState
	bucket          float64 // units
	bucketUpdatedAt float64 // clock time in seconds
	lastRequestAt   float64 // clock time in seconds; 0: none
	requestInterval float64 // seconds between two requests, on average
}

// observeRequest updates the average interval between the tenant's requests.
func (t *tenantState) observeRequest(now, maxInterval float64) {
	if t.lastRequestAt > 0 {
		interval := min(now-t.lastRequestAt, maxInterval)
		t.requestInterval += (interval - t.requestInterval) * intervalSmoothing
	}
	t.lastRequestAt = now
}

// groupState is a group's share and tenants.
type groupState struct {
	flow
	name    Group
	members siblings
	count   int // of members
}

// Allocator divides one rate limit. Use New. All times are clock times in seconds.
type Allocator struct {
	config          Config
	tenants         map[Tenant]*tenantState
	groups          map[Group]*groupState
	groupSiblings   siblings
	tokens          float64 // units for requests that are not urgent
	reserve         float64 // units for urgent requests
	tokensUpdatedAt float64
}

// New returns an allocator without tenants, with full buckets.
func New(now float64, config Config) *Allocator {
	// All tenants' buckets together hold no more than what is not lent, so that what they hold can be taken at any time.
	config.BucketSeconds = min(config.BucketSeconds, config.Burst*borrowFloor/config.Rate)
	return &Allocator{
		config:          config,
		tenants:         map[Tenant]*tenantState{},
		groups:          map[Group]*groupState{},
		tokens:          config.Burst * (1 - config.Reserve),
		reserve:         config.Burst * config.Reserve,
		tokensUpdatedAt: now,
	}
}

func validateWeight(weight float64) error {
	if !(weight > 0) || math.IsInf(weight, 0) {
		return fmt.Errorf("%w: %v", ErrInvalidWeight, weight)
	}
	return nil
}

// Set adds a tenant to a group with a weight, or changes its weight. A tenant that changes its group starts anew. The error is
// ErrInvalidWeight or ErrTooManyTenants.
func (a *Allocator) Set(now float64, name Tenant, group Group, weight float64) error {
	err := validateWeight(weight)
	if err != nil {
		return err
	}
	tenant := a.tenants[name]
	if tenant != nil && tenant.group == a.groups[group] {
		a.refillTenant(now, tenant)
		tenant.group.members.totalWeight += weight - tenant.weight
		tenant.weight = weight
		return nil
	}
	if tenant == nil && len(a.tenants) >= a.config.MaxTenants {
		return fmt.Errorf("%w: %d", ErrTooManyTenants, len(a.tenants))
	}
	a.Remove(name)
	parent := a.groupOf(group)
	parent.count++
	parent.members.totalWeight += weight
	a.tenants[name] = &tenantState{
		flow:            flow{weight: weight, virtualTime: parent.members.virtualTime},
		group:           parent,
		bucketUpdatedAt: now,
	}
	return nil
}

// groupOf returns a group, which is created with weight 1 if it is not known.
func (a *Allocator) groupOf(name Group) *groupState {
	group := a.groups[name]
	if group == nil {
		group = &groupState{name: name, flow: flow{weight: 1, virtualTime: a.groupSiblings.virtualTime}}
		a.groups[name] = group
		a.groupSiblings.totalWeight++
	}
	return group
}

// SetGroupWeight sets the weight of a group, which is 1 until then. A group without tenants is left alone. The error is
// ErrInvalidWeight.
func (a *Allocator) SetGroupWeight(name Group, weight float64) error {
	err := validateWeight(weight)
	if err != nil {
		return err
	}
	group := a.groups[name]
	if group != nil {
		a.groupSiblings.totalWeight += weight - group.weight
		group.weight = weight
	}
	return nil
}

// Remove removes a tenant, and its group if that has no other.
func (a *Allocator) Remove(name Tenant) {
	tenant := a.tenants[name]
	if tenant == nil {
		return
	}
	group := tenant.group
	group.members.throttled.Remove(&tenant.flow)
	delete(a.tenants, name)
	group.members.totalWeight -= tenant.weight
	group.count--
	if group.count > 0 {
		return
	}
	a.groupSiblings.throttled.Remove(&group.flow)
	a.groupSiblings.totalWeight -= group.weight
	delete(a.groups, group.name)
}

// RemoveGroup removes a group and all its tenants.
func (a *Allocator) RemoveGroup(name Group) {
	group := a.groups[name]
	if group == nil {
		return
	}
	for tenantName, tenant := range a.tenants {
		if tenant.group == group {
			a.Remove(tenantName)
		}
	}
}

// share returns a tenant's fraction of the resource.
func (a *Allocator) share(tenant *tenantState) float64 {
	group := tenant.group
	return tenant.weight / group.members.totalWeight * group.weight / a.groupSiblings.totalWeight
}

// sharedRate is the units per second that are not reserved for urgent requests.
func (a *Allocator) sharedRate() float64 { return a.config.Rate * (1 - a.config.Reserve) }

// sharedBurst is the units of the burst that are not reserved for urgent requests.
func (a *Allocator) sharedBurst() float64 { return a.config.Burst * (1 - a.config.Reserve) }

// refillTenant adds to a tenant's bucket what has accrued.
func (a *Allocator) refillTenant(now float64, tenant *tenantState) {
	rate := a.sharedRate() * a.share(tenant)
	elapsed := max(now-tenant.bucketUpdatedAt, 0)
	tenant.bucket = min(rate*a.config.BucketSeconds, tenant.bucket+elapsed*rate)
	tenant.bucketUpdatedAt = max(tenant.bucketUpdatedAt, now)
}

// refill adds to the common buckets what has accrued.
func (a *Allocator) refill(now float64) {
	config := &a.config
	elapsed := max(now-a.tokensUpdatedAt, 0)
	a.tokensUpdatedAt = max(now, a.tokensUpdatedAt)
	a.tokens = min(a.sharedBurst(), a.tokens+elapsed*config.Rate*(1-config.Reserve))
	a.reserve = min(config.Burst*config.Reserve, a.reserve+elapsed*config.Rate*config.Reserve)
}

// Take requests units. If ok is false they are not granted, and retryAfter is the seconds after which to request them again. Urgent
// requests are granted from the reserve what they do not get otherwise. The error is ErrUnknownTenant.
func (a *Allocator) Take(now float64, name Tenant, cost float64, urgent bool) (retryAfter float64, ok bool, err error) {
	tenant := a.tenants[name]
	if tenant == nil {
		return 0, false, fmt.Errorf("%w: %q", ErrUnknownTenant, name)
	}
	a.refill(now)
	a.refillTenant(now, tenant)
	tenant.observeRequest(now, a.config.MaxYield)
	group := tenant.group
	lead := max(group.members.lead(now, &tenant.flow), a.groupSiblings.lead(now, &group.flow))
	if a.takeOwn(tenant, cost) {
		return 0, true, nil
	}
	if lead <= 0 && a.borrow(tenant, cost) {
		return 0, true, nil
	}
	if urgent {
		return a.takeReserve(cost)
	}
	return a.throttle(now, tenant, cost), false, nil
}

// takeOwn grants units of a tenant's bucket.
func (a *Allocator) takeOwn(tenant *tenantState, cost float64) bool {
	if a.tokens < cost || tenant.bucket < cost {
		return false
	}
	tenant.bucket -= cost
	a.tokens -= cost
	return true
}

// borrow grants units that others do not use.
func (a *Allocator) borrow(tenant *tenantState, cost float64) bool {
	group := tenant.group
	floor := a.sharedBurst() * borrowFloor
	if a.tokens < cost+floor {
		return false
	}
	a.tokens -= cost
	group.members.charge(&tenant.flow, cost)
	a.groupSiblings.charge(&group.flow, cost)
	return true
}

// takeReserve grants units of the reserve.
func (a *Allocator) takeReserve(cost float64) (retryAfter float64, ok bool, err error) {
	if a.reserve < cost {
		return (cost - a.reserve) / (a.config.Rate * a.config.Reserve), false, nil
	}
	a.reserve -= cost
	return 0, true, nil
}

// throttle makes others that are ahead wait for the tenant, and returns the seconds until its own bucket has filled.
func (a *Allocator) throttle(now float64, tenant *tenantState, cost float64) float64 {
	until := now + min(a.config.MaxYield, waitedIntervals*tenant.requestInterval)
	tenant.group.members.waitFor(&tenant.flow, until)
	a.groupSiblings.waitFor(&tenant.group.flow, until)
	rate := a.sharedRate()
	ownRate := rate * a.share(tenant)
	return max((cost-tenant.bucket)/ownRate, (cost-a.tokens)/rate)
}
