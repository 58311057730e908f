// Package membership is the replicated state of a group of coordinators: its members and their leases, which of them owns which
// proxy, and the facts that have to outlive any one of them.
//
// State is a replicated state machine: the same commands in the same order lead to the same state on every coordinator. Lease decides
// by one coordinator's clock alone whether it may give orders. The package is pure: it has no I/O and no clock of its own. Times are
// seconds. docs/sharing.md describes the design.
package membership

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// Peer names a coordinator.
type Peer string

// Epoch grows whenever proxies may have changed owners. Orders of an older epoch must not be followed.
type Epoch uint64

const (
	maxMembers      = 64   // in one group; consensus among more is slow
	maxPastViews    = 256  // a peer that is further behind has not renewed for longer than its lease
	maxRecentOrders = 4096 // IDs kept to recognise an order that is proposed twice; its proposer gives up within seconds
)

// Member is a peer as the whole group knows it.
type Member struct {
	Weight        float64 `json:"weight"`
	Renewal       uint64  `json:"renewal"`
	Incarnation   uint64  `json:"life"` // of the process that renewed
	Alive         bool    `json:"alive"`
	SeenEpoch     Epoch   `json:"seen"`  // the peer acts by this epoch or a later one
	AppliedOrders uint64  `json:"knows"` // number of orders that it is known to have applied
}

// State is what the group has agreed on. The zero value is the state of a new group.
type State struct {
	Epoch          Epoch                               `json:"epoch"`
	Members        map[Peer]Member                     `json:"members"`
	Records        map[balancer.Server]registry.Record `json:"records"`
	Drains         map[balancer.Server]float64         `json:"drains"` // drains that were ordered, with the clock time of the order
	PastViews      []View                              `json:"past"`   // epochs that a living peer may still act by, oldest first
	OrderCount     uint64                              `json:"orders"` // drains, ends of drains and tenant changes applied so far
	Registrations  map[MemberID]Registration           `json:"seats"`
	Claims         map[string]Ownership                `json:"claims,omitempty"` // by proxy; replaced rather than changed, as past views share it
	RecentOrderIDs []uint64                            `json:"done"`             // oldest first

	Directory tenancy.Directory `json:"directory,omitzero"` // of a hosted service

	tenantOutcome      tenancy.Outcome // of the latest ChangeTenant
	tenantOutcomeKnown bool
	owners             ownerCache
}

// View is who owned what in an epoch that is over.
type View struct {
	Epoch   Epoch                `json:"epoch"`
	Weights map[Peer]float64     `json:"weights"` // of the living peers
	Claims  map[string]Ownership `json:"claims,omitempty"`
}

// Apply applies a committed command and reports whether proxies may have changed owners. Applying a command twice has the effect of
// applying it once, so a proposer may repeat it until it is committed. A command that does not fit the state is answered by an error
// that wraps ErrInvalidCommand.
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
		return false, fmt.Errorf("%w: kind %d", ErrInvalidCommand, command.Kind)
	}
}

func (s *State) applyRenewal(command Command) (ownersChanged bool, err error) {
	member, known := s.Members[command.Peer]
	if command.Peer == "" || !(command.Weight > 0) || math.IsInf(command.Weight, 0) || !known && len(s.Members) >= maxMembers {
		return false, fmt.Errorf("%w: %+v", ErrInvalidCommand, command)
	}
	if s.removed(command.Peer) {
		return false, fmt.Errorf("%w: %s was removed from the group", ErrInvalidCommand, command.Peer)
	}
	if known && command.Renewal <= member.Renewal {
		return false, nil // overtaken by a newer renewal
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

// applyLeaseEnd applies an expiry or a release. An expiry names the renewal that its proposer has seen: if the peer has renewed since,
// it is alive and the expiry has no effect.
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

// AcceptsRenewal tells whether a renewal that was just applied is the one that counts. A renewal that was overtaken, or whose number an
// earlier process of the peer had already used, changed nothing and grants no lease.
func (s *State) AcceptsRenewal(command Command) bool {
	member := s.Members[command.Peer]
	return command.Kind == RenewLease && member.Renewal == command.Renewal && member.Incarnation == command.Incarnation
}

// AliveMembers returns the peers that hold a lease as far as the group knows, sorted by name.
func (s *State) AliveMembers() (alive []Peer) {
	for peer, member := range s.Members {
		if member.Alive {
			alive = append(alive, peer)
		}
	}
	slices.Sort(alive)
	return alive
}

// orderAlreadyApplied tells whether an order with this ID was applied, and otherwise remembers the ID. Without this, an order that is
// proposed again because its first proposal seemed lost would undo a later order to the contrary.
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

// prunePastViews drops the views that no living peer acts by any more.
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

// Snapshot encodes the whole state. Equal states have equal bytes.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore replaces the state by a snapshot; the capacity of the tenants' directory, which is configured locally, stays. On an error the
// state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	var restored State
	if err := json.Unmarshal(snapshot, &restored); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	restored.Directory.Capacity = s.Directory.Capacity
	*s = restored
	return nil
}
