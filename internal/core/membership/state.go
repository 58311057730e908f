// Package membership implements the replicated state of a group of coordinators: the members and their leases, the owner of each proxy,
// and the data that must survive the failure of any coordinator.
//
// State is a replicated state machine: the same commands in the same order lead to the same state on every coordinator. Lease decides by
// the clock of one coordinator alone whether it may issue commands to proxies. The package is pure: it has no I/O and no clock of its own.
// Times are in seconds. docs/sharing.md describes the design.
package membership

import (
	"encoding/json"
	"fmt"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/finite"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// Peer is the name of a coordinator.
type Peer string

// Epoch is a number that increases whenever proxies may have changed owners. Commands to proxies from an older epoch must not be executed.
type Epoch uint64

const (
	maxMembers      = 64   // maximum in one group; consensus among more is slow
	maxPastViews    = 256  // a peer that is further behind has not renewed its lease for longer than the lease's duration
	maxRecentOrders = 4096 // IDs stored to detect an order that is proposed twice; its proposer gives up within seconds
)

// Member is the replicated state of a peer.
type Member struct {
	Weight        float64 `json:"weight"`
	Renewal       uint64  `json:"renewal"`
	Incarnation   uint64  `json:"life"` // process that made the renewal
	Alive         bool    `json:"alive"`
	SeenEpoch     Epoch   `json:"seen"`  // the peer has applied this epoch and possibly later ones
	AppliedOrders uint64  `json:"knows"` // number of orders that the peer is known to have applied
}

// State is the replicated state of the group. The zero value is the state of a new group.
type State struct {
	Epoch          Epoch                               `json:"epoch"`
	Members        map[Peer]Member                     `json:"members"`
	Records        map[balancer.Server]registry.Record `json:"records"`
	Drains         map[balancer.Server]float64         `json:"drains"` // ordered drains, with the time of each order in seconds
	PastViews      []View                              `json:"past"`   // earlier epochs that a live peer may not have left yet, oldest first
	OrderCount     uint64                              `json:"orders"` // number of drains, ends of drains and tenant changes applied so far
	Registrations  map[MemberID]Registration           `json:"seats"`
	Claims         map[string]Ownership                `json:"claims,omitempty"` // by proxy; the map is replaced instead of modified, since past views share it
	RecentOrderIDs []uint64                            `json:"done"`             // IDs of recently applied orders, oldest first

	Directory tenancy.Directory `json:"directory,omitzero"` // the host's tenants

	tenantOutcome      tenancy.Outcome // outcome of the latest ChangeTenant command
	tenantOutcomeKnown bool
	owners             ownerCache
}

// View holds the data that determined the owner of each proxy in an earlier epoch.
type View struct {
	Epoch   Epoch                `json:"epoch"`
	Weights map[Peer]float64     `json:"weights"` // weights of the peers that were alive
	Claims  map[string]Ownership `json:"claims,omitempty"`
}

// Apply applies a committed command and reports whether proxies may have changed owners. Commands are idempotent, so a proposer may repeat
// one until it is committed. If the command is not applicable to the state, the error wraps ErrInvalidCommand.
func (s *State) Apply(command Command) (ownersChanged bool, err error) {
	before := View{Epoch: s.Epoch, Weights: s.aliveWeights(), Claims: s.Claims}
	ownersChanged, err = s.applyKind(command)
	if err != nil {
		return false, err
	}
	if ownersChanged {
		s.Epoch++
		s.PastViews = append(s.PastViews, before)
	}
	s.prunePastViews()
	return ownersChanged, nil
}

func (s *State) applyKind(command Command) (ownersChanged bool, err error) {
	switch command.Kind {
	case RenewLease:
		return s.applyRenewal(command)
	case ExpireLease, ReleaseLease:
		return s.applyLeaseEnd(command), nil
	case StoreRecords:
		return false, s.applyRecords(command.Records)
	case DrainServer:
		return false, s.applyDrain(command)
	case RegisterMember:
		return false, s.applyRegistration(command)
	case RemoveRegistration:
		return false, s.applyRemoval(command.MemberID)
	case ClaimProxies:
		return s.applyClaim(command)
	case ChangeTenant:
		return false, s.applyTenantChange(command)
	default:
		return false, fmt.Errorf("%w: unknown kind %d", ErrInvalidCommand, command.Kind)
	}
}

func (s *State) applyRenewal(command Command) (ownersChanged bool, err error) {
	member, known := s.Members[command.Peer]
	if command.Peer == "" || !finite.Positive(command.Weight) || !known && len(s.Members) >= maxMembers {
		return false, fmt.Errorf("%w: %+v", ErrInvalidCommand, command)
	}
	if s.removed(command.Peer) {
		return false, fmt.Errorf("%w: %s was removed from the group", ErrInvalidCommand, command.Peer)
	}
	if known && command.Renewal <= member.Renewal {
		return false, nil // superseded by a newer renewal
	}
	if s.Members == nil {
		s.Members = map[Peer]Member{}
	}
	s.Members[command.Peer] = Member{
		Weight:        command.Weight,
		Renewal:       command.Renewal,
		Incarnation:   command.Incarnation,
		Alive:         true,
		SeenEpoch:     min(max(command.SeenEpoch, member.SeenEpoch), s.Epoch),
		AppliedOrders: min(max(command.AppliedOrders, member.AppliedOrders), s.OrderCount),
	}
	return !member.Alive || member.Weight != command.Weight, nil
}

// applyLeaseEnd applies an expiry or a release of a lease. An expiry contains the newest renewal that its proposer has seen: if the peer
// has renewed its lease since, it is alive and the expiry has no effect.
func (s *State) applyLeaseEnd(command Command) (ownersChanged bool) {
	member := s.Members[command.Peer]
	if !member.Alive {
		return false
	}
	if command.Kind == ExpireLease && command.Renewal != member.Renewal {
		return false
	}
	member.Alive = false
	s.Members[command.Peer] = member
	s.releaseClaims(command.Peer)
	return true
}

// AcceptsRenewal reports whether a renewal that was just applied took effect. A renewal that was superseded by a newer one, or whose number
// an earlier process of the peer had already used, changes nothing and grants no lease.
func (s *State) AcceptsRenewal(command Command) bool {
	member := s.Members[command.Peer]
	return command.Kind == RenewLease && member.Renewal == command.Renewal && member.Incarnation == command.Incarnation
}

// AliveMembers returns the peers that hold a lease according to the state, sorted by name.
func (s *State) AliveMembers() (alive []Peer) {
	for peer, member := range s.Members {
		if member.Alive {
			alive = append(alive, peer)
		}
	}
	slices.Sort(alive)
	return alive
}

// orderAlreadyApplied reports whether an order with this ID was applied, and otherwise records the ID. Without this, an order that is
// proposed again because its first proposal seemed lost would undo a later, contrary order.
func (s *State) orderAlreadyApplied(id uint64) bool {
	if id == 0 {
		return false
	}
	if slices.Contains(s.RecentOrderIDs, id) {
		return true
	}
	if len(s.RecentOrderIDs) >= maxRecentOrders {
		s.RecentOrderIDs = slices.Delete(s.RecentOrderIDs, 0, len(s.RecentOrderIDs)-maxRecentOrders+1)
	}
	s.RecentOrderIDs = append(s.RecentOrderIDs, id)
	return false
}

// prunePastViews removes the views of epochs that all live peers have left.
func (s *State) prunePastViews() {
	oldest := s.Epoch
	for _, member := range s.Members {
		if member.Alive {
			oldest = min(oldest, member.SeenEpoch)
		}
	}
	s.PastViews = slices.DeleteFunc(s.PastViews, func(v View) bool { return v.Epoch < oldest })
	if excess := len(s.PastViews) - maxPastViews; excess > 0 {
		s.PastViews = s.PastViews[excess:]
	}
}

// Snapshot encodes the whole state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore replaces the state by a snapshot, except for the capacity of the tenant directory, which is configured locally. On an error the
// state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	var restored State
	if err := json.Unmarshal(snapshot, &restored); err != nil {
		return fmt.Errorf("decoding the state snapshot: %w", err)
	}
	restored.Directory.Capacity = s.Directory.Capacity
	*s = restored
	return nil
}
