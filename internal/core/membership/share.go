// Package membership is what coordinators that share a fleet must agree on: who lives, in which epoch, who leads which proxies,
// and the facts that have to outlive any one of them. State is a replicated state machine: the same commands in the same
// order lead to the same state everywhere. Lease tells one coordinator by its own clock alone whether it may order. Both
// are pure. docs/sharing.md tells why it is as it is.
package membership

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// Peer names a coordinator.
type Peer string

// Epoch grows whenever proxies may change hands. Orders of an older one are not to be followed.
type Epoch uint64

// CommandKind of a command.
type CommandKind uint8

const (
	RenewLease         CommandKind = iota + 1 // a peer lives, and takes or keeps its part
	ExpireLease                               // a peer has not renewed for so long that its lease is over
	ReleaseLease                              // a peer gives its part up by itself
	StoreRecords                              // records of servers: drains with the time they were told, starts
	DrainServer                               // somebody ordered a drain of a server, or its end
	RegisterMember                            // a coordinator takes its place in the group, or has a new address
	RemoveRegistration                        // a coordinator is taken out of the group for good
	ClaimProxies                              // proxies do not reach who leads them, and ask this peer
	ChangeTenant                              // a tenant of a hosted service is made, changed or removed
)

// Command changes the state. It is proposed by one coordinator and applied by all.
type Command struct {
	Kind          CommandKind       `json:"kind"`
	Peer          Peer              `json:"peer,omitempty"`
	Weight        float64           `json:"weight,omitempty"`  // of a peer's part
	Renewal       uint64            `json:"renewal,omitempty"` // of Renew: its number, growing; of Expire: the newest that was seen
	Incarnation   uint64            `json:"life,omitempty"`    // of Renew: its proposer's process; a renewal of a former one lets nobody order
	SeenEpoch     Epoch             `json:"seen,omitempty"`    // of Renew: the epoch that its proposer goes by
	Records       []registry.Record `json:"records,omitempty"`
	Server        balancer.Server   `json:"server,omitempty"` // of Drain
	Draining      bool              `json:"on,omitempty"`
	ID            uint64            `json:"id,omitempty"`     // of Drain: it counts once, however often it is proposed
	OrderedAt     float64           `json:"told,omitempty"`   // wall clock time
	AppliedOrders uint64            `json:"knows,omitempty"`  // of Renew: drains, and ends of them, that its proposer has applied
	UIDs          []string          `json:"uids,omitempty"`   // of Claim
	MemberID      MemberID          `json:"number,omitempty"` // of Sit and Unseat
	Address       netip.AddrPort    `json:"address,omitzero"` // of Sit
	Tenant        *tenancy.Command  `json:"tenant,omitempty"` // of Tenants
}

// ErrInvalidCommand says that a command makes no sense; it changes nothing, anywhere.
var ErrInvalidCommand = errors.New("command that makes no sense")

const (
	mostPeers   = 64     // in one group; consensus among more is slow
	mostViews   = 256    // epochs that are remembered; a group that changes hands faster than that has other troubles
	mostMemo    = 16384  // proxies whose holders are remembered; more, and all are worked out anew
	mostDone    = 4096   // drains that are remembered, so that one that is proposed twice counts once: its teller gives up within seconds
	mostRecords = 131072 // servers of all tenants: one's roll may hold 4,096
)

// Member is a peer as all know it.
type Member struct {
	Weight        float64 `json:"weight"`
	Renewal       uint64  `json:"renewal"`
	Incarnation   uint64  `json:"life"` // of the process that renewed
	Alive         bool    `json:"alive"`
	SeenEpoch     Epoch   `json:"seen"`  // it goes by this epoch, or a later one
	AppliedOrders uint64  `json:"knows"` // it has applied so many orders
}

// State is agreed on. The zero value is that of a new group.
type State struct {
	Epoch          Epoch                               `json:"epoch"`
	Members        map[Peer]Member                     `json:"members"`
	Records        map[balancer.Server]registry.Record `json:"records"`
	Drains         map[balancer.Server]float64         `json:"drains"` // ordered, and when that was told
	PastViews      []View                              `json:"past"`   // epochs by which a living peer may still go, oldest first
	OrderCount     uint64                              `json:"orders"` // drains, ends of them and changes of tenants that were ever agreed on
	Registrations  map[MemberID]Registration           `json:"seats"`
	Claims         map[string]Ownership                `json:"claims,omitempty"` // never changed in place: past views share it
	memo           map[string]Peer                     // holders in the epoch memoOf, that were worked out: nothing else moves them
	memoOf         Epoch
	living         map[Peer]float64 // in that epoch
	RecentOrderIDs []uint64         `json:"done"` // the latest orders by their ID, oldest first

	Directory tenancy.Directory `json:"directory,omitzero"` // of a hosted service
	outcome   tenancy.Outcome   // of the latest change of a tenant
}

// View is who led what in an epoch that is over.
type View struct {
	Epoch   Epoch                `json:"epoch"`
	Weights map[Peer]float64     `json:"weights"` // of the living
	Claims  map[string]Ownership `json:"claims,omitempty"`
}

// Encode a command.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode a command.
func Decode(b []byte) (c Command, err error) {
	if err := json.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("%w: %v", ErrInvalidCommand, err)
	}
	return c, nil
}

// Apply takes a command. It reports whether proxies may have changed hands. A command that is applied twice does no
// more than once: what a peer repeats because it did not hear of its success is harmless.
func (s *State) Apply(c Command) (moved bool, err error) {
	m, known := s.Members[c.Peer]
	old := View{s.Epoch, s.weights(), s.Claims}
	switch c.Kind {
	case RenewLease:
		if c.Peer == "" || !(c.Weight > 0) || math.IsInf(c.Weight, 0) || !known && len(s.Members) >= mostPeers {
			return false, fmt.Errorf("%w: %+v", ErrInvalidCommand, c)
		}
		if !s.seated(c.Peer) {
			return false, fmt.Errorf("%w: %s was taken out of the group", ErrInvalidCommand, c.Peer)
		}
		if known && c.Renewal <= m.Renewal {
			return false, nil // an old one that was overtaken: its lease was counted from an earlier time
		}
		moved = !m.Alive || m.Weight != c.Weight
		s.set(c.Peer, Member{c.Weight, c.Renewal, c.Incarnation, true, min(max(c.SeenEpoch, m.SeenEpoch), s.Epoch), min(max(c.AppliedOrders, m.AppliedOrders), s.OrderCount)})
	case ExpireLease, ReleaseLease:
		// An expiry is of the renewal that its proposer had seen: if the peer has renewed meanwhile, it lives.
		if !known || !m.Alive || c.Kind == ExpireLease && c.Renewal != m.Renewal {
			return false, nil
		}
		m.Alive, moved = false, true
		s.set(c.Peer, m)
		s.release(c.Peer)
	case StoreRecords:
		for _, r := range c.Records {
			if _, ok := s.Records[r.Server]; !ok && len(s.Records) >= mostRecords {
				return false, fmt.Errorf("%w: over %d records", ErrInvalidCommand, mostRecords)
			}
			if s.Records == nil {
				s.Records = map[balancer.Server]registry.Record{}
			}
			s.Records[r.Server] = merge(s.Records[r.Server], r)
		}
	case DrainServer:
		if c.Server == "" || !(c.OrderedAt >= 0) || math.IsInf(c.OrderedAt, 0) || c.Draining && len(s.Drains) >= mostRecords {
			return false, fmt.Errorf("%w: %+v", ErrInvalidCommand, c)
		}
		if s.again(c.ID) {
			return false, nil
		}
		told, drains := s.Drains[c.Server]
		s.OrderCount++
		switch {
		case !c.Draining:
			delete(s.Drains, c.Server)
		case s.Drains == nil:
			s.Drains = map[balancer.Server]float64{c.Server: c.OrderedAt}
		case !drains || c.OrderedAt < told: // its grace does not start anew
			s.Drains[c.Server] = c.OrderedAt
		}
	case ChangeTenant:
		if c.Tenant == nil {
			return false, fmt.Errorf("%w: a change of no tenant", ErrInvalidCommand)
		}
		if s.again(c.ID) {
			return false, nil
		}
		s.OrderCount++
		was, _ := s.Directory.Get(c.Tenant.Name)
		if s.outcome = s.Directory.Apply(*c.Tenant); c.Tenant.Kind == tenancy.Remove && s.outcome.Err() == nil {
			s.over(was.Incarnation)
		}
	case ClaimProxies:
		if moved, err = s.claim(c); err != nil {
			return false, err
		}
	case RegisterMember:
		return false, s.seat(c)
	case RemoveRegistration:
		return false, s.unseat(c.MemberID)
	default:
		return false, fmt.Errorf("%w: kind %d", ErrInvalidCommand, c.Kind)
	}
	if moved {
		s.Epoch++
		s.PastViews = append(s.PastViews, old)
	}
	s.forget()
	return moved, nil
}

// again guards against an order that is proposed twice since the first was thought lost, and comes out once more after somebody has
// ordered otherwise.
func (s *State) again(id uint64) bool {
	if id == 0 {
		return false
	}
	if slices.Contains(s.RecentOrderIDs, id) {
		return true
	}
	if len(s.RecentOrderIDs) >= mostDone {
		s.RecentOrderIDs = slices.Delete(s.RecentOrderIDs, 0, len(s.RecentOrderIDs)-mostDone+1)
	}
	s.RecentOrderIDs = append(s.RecentOrderIDs, id)
	return false
}

// TenantOutcome of the change of a tenant that was applied last.
func (s *State) TenantOutcome() tenancy.Outcome { return s.outcome }

// ScopePrefix is what stands before the servers of one incarnation of a tenant, so that tenants may list the same addresses.
func ScopePrefix(life tenancy.Incarnation) string { return strconv.FormatUint(uint64(life), 10) + "|" }

// SplitScoped takes a server of a tenant apart; ok is false for one of a coordinator that hosts nobody.
func SplitScoped(s balancer.Server) (life tenancy.Incarnation, own balancer.Server, ok bool) {
	head, rest, found := strings.Cut(string(s), "|")
	n, err := strconv.ParseUint(head, 10, 64)
	return tenancy.Incarnation(n), balancer.Server(rest), found && err == nil
}

// over forgets what was agreed on of a tenant that is removed.
func (s *State) over(life tenancy.Incarnation) {
	of := ScopePrefix(life)
	maps.DeleteFunc(s.Records, func(v balancer.Server, _ registry.Record) bool { return strings.HasPrefix(string(v), of) })
	maps.DeleteFunc(s.Drains, func(v balancer.Server, _ float64) bool { return strings.HasPrefix(string(v), of) })
}

// forget drops the views by which no living peer goes any more.
func (s *State) forget() {
	least := s.Epoch
	for _, m := range s.Members {
		if m.Alive {
			least = min(least, m.SeenEpoch)
		}
	}
	s.PastViews = slices.DeleteFunc(s.PastViews, func(v View) bool { return v.Epoch < least })
	if n := len(s.PastViews) - mostViews; n > 0 { // a peer that is so far behind has not renewed for longer than its lease
		s.PastViews = s.PastViews[n:]
	}
}

func (s *State) weights() map[Peer]float64 {
	w := make(map[Peer]float64, len(s.Members))
	for p, m := range s.Members {
		if m.Alive {
			w[p] = m.Weight
		}
	}
	return w
}

// Contested tells whether a living peer may still take itself for the holder of a proxy that is now another's: it goes by
// an epoch in which it was. Guards against two that lead a proxy while one of them has not yet heard that it changed hands;
// the cost is that such a proxy is led by nobody until its former holder has renewed, or is dead.
func (s *State) Contested(uid string, by Peer) bool {
	for _, v := range s.PastViews {
		was, ok := holder(v.Weights, v.Claims, uid)
		if m := s.Members[was]; ok && was != by && m.Alive && m.SeenEpoch <= v.Epoch {
			return true
		}
	}
	return false
}

// merge keeps the earliest time at which a drain was told while it lasts: a takeover must not start its grace anew.
func merge(old, r registry.Record) registry.Record {
	if old.Phase != balancer.Ready && r.Phase == old.Phase && old.NotifiedAt > 0 {
		r.NotifiedAt = min(r.NotifiedAt, old.NotifiedAt)
	}
	return r
}

func (s *State) set(p Peer, m Member) {
	if s.Members == nil {
		s.Members = map[Peer]Member{}
	}
	s.Members[p] = m
}

// AcceptsRenewal tells whether a renewal is the one that counts: one that was overtaken, or came under a number that a former
// process had used, changed nothing and lets nobody order.
func (s *State) AcceptsRenewal(c Command) bool {
	m := s.Members[c.Peer]
	return c.Kind == RenewLease && m.Renewal == c.Renewal && m.Incarnation == c.Incarnation
}

// AliveMembers are the peers that hold a part, by name.
func (s *State) AliveMembers() (alive []Peer) {
	for p, m := range s.Members {
		if m.Alive {
			alive = append(alive, p)
		}
	}
	slices.Sort(alive)
	return alive
}

// Owner is the peer that leads a proxy, by weighted rendezvous hashing: of all living peers the one with the highest
// score. A loss moves only the proxies of the lost one, spread over the others by their weights. ok is false where
// nobody lives.
func (s *State) Owner(uid string) (Peer, bool) {
	if s.memo == nil || s.memoOf != s.Epoch || len(s.memo) >= mostMemo {
		s.memo, s.memoOf, s.living = map[string]Peer{}, s.Epoch, s.weights()
	}
	if p, ok := s.memo[uid]; ok {
		return p, true
	}
	p, ok := holder(s.living, s.Claims, uid)
	if ok {
		s.memo[uid] = p
	}
	return p, ok
}

func rendezvous(weights map[Peer]float64, uid string) (by Peer, ok bool) {
	best := math.Inf(-1)
	for p, w := range weights {
		if v := score(p, w, uid); v > best || v == best && p < by {
			by, best, ok = p, v, true
		}
	}
	return by, ok
}

func score(p Peer, weight float64, uid string) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(p))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(uid)
	h := (float64(d.Sum64()>>11) + 0.5) / (1 << 53) // evenly from 0 to 1, both left out
	return -weight / math.Log(h)
}

const sameStart = 2.0 // seconds by which two coordinators may differ about one start: they hear of it by their own connections

// ChangedRecords are the records in which something is new to all: a server that nobody knew, another phase or place, a drain, a start
// at another time. Each coordinator hears every server itself; without this all would say the same again and again.
func (s *State) ChangedRecords(records []registry.Record) (news []registry.Record) {
	for _, r := range records {
		k, ok := s.Records[r.Server]
		if !ok || k.ServerConfig != r.ServerConfig || k.Phase != r.Phase || k.DrainOrdered != r.DrainOrdered || math.Abs(k.Started-r.Started) > sameStart {
			news = append(news, r)
		}
	}
	return news
}

// ServerRecords are the records, by server.
func (s *State) ServerRecords() []registry.Record {
	all := make([]registry.Record, 0, len(s.Records))
	for _, r := range s.Records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b registry.Record) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// Snapshot is the whole state; the same state has the same bytes.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore takes a snapshot in the state's place, or leaves it as it is.
func (s *State) Restore(b []byte) error {
	var r State
	if err := json.Unmarshal(b, &r); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	r.Directory.Capacity = s.Directory.Capacity
	*s = r
	return nil
}
