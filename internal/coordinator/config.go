package coordinator

import (
	"log/slog"
	"net/netip"

	"snowquay/internal/consensus"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/longpoll"
	"snowquay/internal/core/registry"
	"snowquay/internal/core/saspsession"
	"snowquay/internal/feed/graphite"
	"snowquay/internal/frontend/longpollhttp"
)

// Config configures a Coordinator.
type Config struct {
	Site               controlplane.Site
	Limits             saspsession.Limits
	Policy             saspsession.Policy
	LongPollHTTPLimits longpollhttp.Limits
	LongPollLimits     longpoll.Limits
	// SASP is the address on which SASP is served. If it is not valid, SASP is not served.
	SASP netip.AddrPort
	// HTTP is the address on which long polls are served. If it is not valid, they are not served.
	HTTP netip.AddrPort
	// User is the user name that signs measurement packets.
	User string
	// Key verifies measurement packets. If it is empty, they need not be signed.
	Key string
	// Log is the logger; nil: nothing is logged.
	Log *slog.Logger
	// OnFail is called when the coordinator stops issuing commands for good. It may be nil.
	OnFail func(error)
	// OnMessageTrace receives the trace of each message to a proxy. It may be nil.
	OnMessageTrace func(controlplane.MessageTrace)
	// Group is the group of coordinators that share the fleet; nil for a coordinator that is alone.
	Group *GroupConfig
	// Storage stores the consensus log of the group.
	Storage consensus.Storage
	// Incarnation of this process in the group; no earlier process of the same member has used it.
	Incarnation uint64
	// Peers replaces Group where a Host is the group's member on behalf of all its tenants. It may be nil.
	Peers Peers
	// Graphite configures the sending of metrics; nil: none are sent.
	Graphite *graphite.Config
	// RequestTurn asks the scheduler of a Host to run the coordinator soon. If it is nil, urgent work is done at once.
	RequestTurn func(now float64)
}

// Store persists the server records of a coordinator.
type Store interface {
	controlplane.RecordStore
	// Load returns all records that were saved.
	Load() ([]registry.Record, error)
}

// ListenAddresses returns the addresses that proxies and servers dial.
func (c *Config) ListenAddresses() []netip.AddrPort { return validAddresses(c.SASP, c.HTTP) }

func validAddresses(addresses ...netip.AddrPort) []netip.AddrPort {
	var valid []netip.AddrPort
	for _, address := range addresses {
		if address.IsValid() {
			valid = append(valid, address)
		}
	}
	return valid
}
