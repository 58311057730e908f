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

// CommandKind says what a Command does. Commands are stored and sent by these numbers.
type CommandKind uint8

// Kinds of commands.
const (
	RenewLease         CommandKind = iota + 1 // a peer is alive, and takes or keeps its part of the proxies
	ExpireLease                               // a peer has not renewed its lease in time
	ReleaseLease                              // a peer gives its lease up
	StoreRecords                              // records of servers: phases, starts, and when their drains began
	DrainServer                               // a drain of a server was ordered, or its end
	RegisterMember                            // a coordinator joins the group, or has a new address
	RemoveRegistration                        // a coordinator is removed from the group for good
	ClaimProxies                              // proxies cannot reach their owner and have contacted this peer instead
	ChangeTenant                              // a tenant of a hosted service is created, changed or removed
)

// ErrInvalidCommand says that a command is malformed or does not fit the state. No coordinator applies it.
var ErrInvalidCommand = errors.New("invalid command")

// Command changes the State. One coordinator proposes it and all apply it.
type Command struct {
	Kind          CommandKind       `json:"kind"`
	Peer          Peer              `json:"peer,omitempty"`
	Weight        float64           `json:"weight,omitempty"`  // RenewLease: the peer's relative part of the proxies
	Renewal       uint64            `json:"renewal,omitempty"` // RenewLease: its sequence number; ExpireLease: the newest that the proposer has seen
	Incarnation   uint64            `json:"life,omitempty"`    // RenewLease: the proposer's process; a renewal by an earlier process grants no lease
	SeenEpoch     Epoch             `json:"seen,omitempty"`    // RenewLease, ClaimProxies: the epoch that the proposer acts by
	Records       []registry.Record `json:"records,omitempty"` // StoreRecords
	Server        balancer.Server   `json:"server,omitempty"`  // DrainServer
	Draining      bool              `json:"on,omitempty"`      // DrainServer: false ends the drain
	ID            uint64            `json:"id,omitempty"`      // DrainServer, ChangeTenant: an ID is applied once, however often it is proposed
	OrderedAt     float64           `json:"told,omitempty"`    // DrainServer: clock time in seconds
	AppliedOrders uint64            `json:"knows,omitempty"`   // RenewLease: the number of orders that the proposer has applied
	UIDs          []string          `json:"uids,omitempty"`    // ClaimProxies
	MemberID      MemberID          `json:"number,omitempty"`  // RegisterMember, RemoveRegistration
	Address       netip.AddrPort    `json:"address,omitzero"`  // RegisterMember
	Tenant        *tenancy.Command  `json:"tenant,omitempty"`  // ChangeTenant
}

// Encode returns the command as it is stored and sent.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode reads an encoded command. An error wraps ErrInvalidCommand.
func Decode(b []byte) (c Command, err error) {
	if err := json.Unmarshal(b, &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrInvalidCommand, err)
	}
	return c, nil
}
