// Package fairshare divides a rate limit among tenants by hierarchical weighted fair sharing: tenants have weights within their group,
// and groups have weights among each other. Only a tenant that requests more than its share is throttled, and it receives the time after
// which to retry. Capacity that some tenants do not use is lent to others. A reserve is held for urgent requests such as drains. The
// package does no I/O and reads no clock.
//
// Each tenant has a token bucket that fills at its share of the rate; requests that its bucket covers are not throttled. Beyond it, a
// tenant borrows capacity that others do not use, which advances its virtual time by the cost divided by its weight. A tenant may borrow
// unless its virtual time is ahead of that of a recently throttled tenant. It yields to such a tenant for about as long as that one takes
// to request again. A tenant that requests little delays no other, and one that was idle starts at the common virtual time. A request
// costs one heap operation for each level of the hierarchy.
package fairshare

import (
	"errors"
	"fmt"

	"snowquay/internal/core/finite"
)

type (
	// Tenant is the name of a tenant.
	Tenant string
	// Group is the name of a group of tenants.
	Group string
)

var (
	// ErrTooManyTenants reports that the number of tenants has reached Config.MaxTenants.
	ErrTooManyTenants = errors.New("too many tenants")
	// ErrUnknownTenant reports that the tenant was not added by Set.
	ErrUnknownTenant = errors.New("no such tenant")
	// ErrInvalidWeight reports a weight that is not a positive finite number.
	ErrInvalidWeight = errors.New("weight is not a positive finite number")
)

// Config configures an Allocator.
type Config struct {
	Rate          float64 // units per second
	Burst         float64 // units that all tenants together may take at once
	BucketSeconds float64 // capacity of a tenant's bucket, in seconds of its share; New limits all buckets together to half a burst
	Reserve       float64 // fraction of rate and burst that is available only to urgent requests
	MaxTenants    int
	MaxYield      float64 // longest time in seconds for which others yield to a throttled tenant; less than the burst lasts
}

// DefaultConfig is the configuration of a resource without settings of its own.
var DefaultConfig = Config{Rate: 1000, Burst: 1000, BucketSeconds: 1, Reserve: 0.1, MaxTenants: 20000, MaxYield: 0.1}

const (
	yieldIntervals    = 16.0 // number of a throttled tenant's average request intervals for which others yield to it
	intervalSmoothing = 0.1  // weight of the latest interval in the moving average
	borrowFloor       = 0.5  // fraction of the burst that is not lent, so that requests within a tenant's share are granted
)

// tenantState is the state of a tenant: its weight, its bucket and its rate of requests.
type tenantState struct {
	flow
	group           *groupState
	bucket          float64 // units
	bucketUpdatedAt float64 // clock time in seconds
	lastRequestAt   float64 // clock time in seconds; 0 if there was none
	requestInterval float64 // moving average of the seconds between two requests
}

// observeRequest updates the average interval between the tenant's requests. Intervals are limited to maxInterval.
func (t *tenantState) observeRequest(now, maxInterval float64) {
	if t.lastRequestAt > 0 {
		interval := min(now-t.lastRequestAt, maxInterval)
		t.requestInterval += (interval - t.requestInterval) * intervalSmoothing
	}
	t.lastRequestAt = now
}

// groupState is the state of a group: its weight and its tenants.
type groupState struct {
	flow
	name        Group
	members     siblings
	memberCount int
}

// Allocator divides one rate limit among tenants. Create one with New. All times are clock times in seconds.
type Allocator struct {
	config          Config
	tenants         map[Tenant]*tenantState
	groups          map[Group]*groupState
	groupSiblings   siblings
	tokens          float64 // units available to all requests
	reserve         float64 // units available to urgent requests only
	tokensUpdatedAt float64
}

// New returns an allocator without tenants. Its common bucket and its reserve are full.
func New(now float64, config Config) *Allocator {
	// All tenants' buckets together hold at most the part of the burst that is not lent, so that their units can be taken at any time.
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

// validateWeight returns ErrInvalidWeight unless a weight is positive and finite.
func validateWeight(weight float64) error {
	if !finite.Positive(weight) {
		return fmt.Errorf("%w: %v", ErrInvalidWeight, weight)
	}
	return nil
}

// Set adds a tenant to a group with a weight, or changes its weight. A tenant whose group changes is removed and added again. The error
// wraps ErrInvalidWeight or ErrTooManyTenants.
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
	parent := a.findOrAddGroup(group)
	parent.memberCount++
	parent.members.totalWeight += weight
	a.tenants[name] = &tenantState{
		flow:            flow{weight: weight, virtualTime: parent.members.virtualTime},
		group:           parent,
		bucketUpdatedAt: now,
	}
	return nil
}

// findOrAddGroup returns a group, which is created with weight 1 if it does not exist.
func (a *Allocator) findOrAddGroup(name Group) *groupState {
	group := a.groups[name]
	if group == nil {
		group = &groupState{name: name, flow: flow{weight: 1, virtualTime: a.groupSiblings.virtualTime}}
		a.groups[name] = group
		a.groupSiblings.totalWeight++
	}
	return group
}

// SetGroupWeight sets the weight of a group, which is initially 1. It has no effect on a group without tenants. The error wraps
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

// Remove removes a tenant, and its group if it has no other tenants.
func (a *Allocator) Remove(name Tenant) {
	tenant := a.tenants[name]
	if tenant == nil {
		return
	}
	group := tenant.group
	group.members.throttled.Remove(&tenant.flow)
	delete(a.tenants, name)
	group.members.totalWeight -= tenant.weight
	group.memberCount--
	if group.memberCount > 0 {
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

// share returns a tenant's fraction of the shared rate.
func (a *Allocator) share(tenant *tenantState) float64 {
	group := tenant.group
	return tenant.weight / group.members.totalWeight * group.weight / a.groupSiblings.totalWeight
}

// sharedRate returns the units per second that are not reserved for urgent requests.
func (a *Allocator) sharedRate() float64 { return a.config.Rate * (1 - a.config.Reserve) }

// sharedBurst returns the units of the burst that are not reserved for urgent requests.
func (a *Allocator) sharedBurst() float64 { return a.config.Burst * (1 - a.config.Reserve) }

// refillTenant adds the units that have accrued to a tenant's bucket.
func (a *Allocator) refillTenant(now float64, tenant *tenantState) {
	rate := a.sharedRate() * a.share(tenant)
	elapsed := max(now-tenant.bucketUpdatedAt, 0)
	tenant.bucket = min(rate*a.config.BucketSeconds, tenant.bucket+elapsed*rate)
	tenant.bucketUpdatedAt = max(tenant.bucketUpdatedAt, now)
}

// refill adds the units that have accrued to the common bucket and to the reserve.
func (a *Allocator) refill(now float64) {
	config := &a.config
	elapsed := max(now-a.tokensUpdatedAt, 0)
	a.tokensUpdatedAt = max(now, a.tokensUpdatedAt)
	a.tokens = min(a.sharedBurst(), a.tokens+elapsed*config.Rate*(1-config.Reserve))
	a.reserve = min(config.Burst*config.Reserve, a.reserve+elapsed*config.Rate*config.Reserve)
}

// Take requests cost units for a tenant. If ok is false, they are not granted, and retryAfter is the number of seconds after which to
// retry. An urgent request that would be throttled is granted from the reserve if that suffices. The error wraps ErrUnknownTenant.
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
	if a.takeFromBucket(tenant, cost) {
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

// takeFromBucket takes units from a tenant's bucket. It reports whether the bucket and the common bucket cover them.
func (a *Allocator) takeFromBucket(tenant *tenantState, cost float64) bool {
	if a.tokens < cost || tenant.bucket < cost {
		return false
	}
	tenant.bucket -= cost
	a.tokens -= cost
	return true
}

// borrow takes units that others do not use and charges them to the tenant and its group. It reports whether there are enough.
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

// takeReserve takes units from the reserve, or returns the seconds until it has enough.
func (a *Allocator) takeReserve(cost float64) (retryAfter float64, ok bool, err error) {
	if a.reserve < cost {
		return (cost - a.reserve) / (a.config.Rate * a.config.Reserve), false, nil
	}
	a.reserve -= cost
	return 0, true, nil
}

// throttle makes others that are ahead yield to the tenant. It returns the seconds until its bucket and the common bucket cover the cost.
func (a *Allocator) throttle(now float64, tenant *tenantState, cost float64) float64 {
	until := now + min(a.config.MaxYield, yieldIntervals*tenant.requestInterval)
	tenant.group.members.yieldTo(&tenant.flow, until)
	a.groupSiblings.yieldTo(&tenant.group.flow, until)
	rate := a.sharedRate()
	ownRate := rate * a.share(tenant)
	return max((cost-tenant.bucket)/ownRate, (cost-a.tokens)/rate)
}
