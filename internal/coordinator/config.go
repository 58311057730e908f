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
	// ConnectionLimit is the maximum number of incoming connections at all addresses together; 0: no limit.
	ConnectionLimit int
	// SASP is the listen address for SASP. If it is not valid, SASP is not served.
	SASP netip.AddrPort
	// HTTP is the listen address for long polls. If it is not valid, they are not served.
	HTTP netip.AddrPort
	// User is the user name with which measurement packets are signed.
	User string
	// Key verifies the signatures of measurement packets. If it is empty, packets need not be signed.
	Key string
	// Log is the logger; nil disables logging.
	Log *slog.Logger
	// OnFail is called when the coordinator permanently stops issuing commands. It may be nil.
	OnFail func(error)
	// OnMessageTrace receives the trace of each message to a proxy. It may be nil.
	OnMessageTrace func(controlplane.MessageTrace)
	// Group configures the group of coordinators that share the fleet; nil for a standalone coordinator.
	Group *GroupConfig
	// Storage stores the consensus log of the group.
	Storage consensus.Storage
	// Incarnation identifies this process in the group. No earlier process of the same member may have used it.
	Incarnation uint64
	// Peers replaces Group for a tenant of a Host, where the Host is the group's member on behalf of all its tenants. It may be nil.
	Peers Peers
	// Graphite configures the sending of metrics; nil disables it.
	Graphite *graphite.Config
	// RequestTurn asks the scheduler of a Host to run the coordinator soon. If it is nil, urgent work is done immediately.
	RequestTurn func(now float64)
}

// Store stores the server records of a coordinator durably.
type Store interface {
	controlplane.RecordStore
	// Load returns all saved records.
	Load() ([]registry.Record, error)
}

// ListenAddresses returns the addresses that proxies and servers connect to.
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
