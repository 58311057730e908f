package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"snowquay/balancer"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/tenancy"
)

// CommandKind is the operation of a Command. The numeric values are stored and sent, so they must not change.
type CommandKind uint8

// Command kinds.
const (
	RenewLease         CommandKind = iota + 1 // a peer is alive, and acquires or keeps its share of the proxies
	ExpireLease                               // a peer did not renew its lease in time
	ReleaseLease                              // a peer releases its lease
	StoreRecords                              // server records: phases, start times and the times at which drains began
	DrainServer                               // a drain of a server, or the end of a drain, was ordered
	RegisterMember                            // a coordinator joins the group or changes its address
	RemoveRegistration                        // a coordinator is permanently removed from the group
	ClaimProxies                              // a peer takes over proxies that cannot reach their owner and contact that peer instead
	ChangeTenant                              // a tenant of the host is created, changed or removed
)

// ErrInvalidCommand reports a command that is malformed or not applicable to the state. No coordinator applies it.
var ErrInvalidCommand = errors.New("invalid command")

// Command is a change of the State, proposed by one coordinator and applied by all. The kinds that use a field are named beside it.
type Command struct {
	Kind          CommandKind       `json:"kind"`
	Peer          Peer              `json:"peer,omitempty"`
	Weight        float64           `json:"weight,omitempty"`  // RenewLease: weight of the peer's share of the proxies
	Renewal       uint64            `json:"renewal,omitempty"` // RenewLease: sequence number of the renewal; ExpireLease: the newest renewal that the proposer has seen
	Incarnation   uint64            `json:"life,omitempty"`    // RenewLease: identifies the proposer's process; a renewal by an earlier process grants no lease
	SeenEpoch     Epoch             `json:"seen,omitempty"`    // RenewLease, ClaimProxies: the epoch that the proposer had applied
	Records       []registry.Record `json:"records,omitempty"` // StoreRecords
	Server        balancer.Server   `json:"server,omitempty"`  // DrainServer
	Draining      bool              `json:"on,omitempty"`      // DrainServer: false ends the drain
	ID            uint64            `json:"id,omitempty"`      // DrainServer, ChangeTenant: a command with this ID is applied once, however often it is proposed
	OrderedAt     float64           `json:"told,omitempty"`    // DrainServer: time in seconds by the clock of the coordinator that received the order
	AppliedOrders uint64            `json:"knows,omitempty"`   // RenewLease: the number of orders that the proposer has applied
	UIDs          []string          `json:"uids,omitempty"`    // ClaimProxies: the proxies' UIDs
	MemberID      MemberID          `json:"number,omitempty"`  // RegisterMember, RemoveRegistration
	Address       netip.AddrPort    `json:"address,omitzero"`  // RegisterMember
	Tenant        *tenancy.Command  `json:"tenant,omitempty"`  // ChangeTenant
}

// Encode returns the stored and sent encoding of the command.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode decodes a command. Errors wrap ErrInvalidCommand.
func Decode(b []byte) (c Command, err error) {
	if err := json.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrInvalidCommand, err)
	}
	return c, nil
}
