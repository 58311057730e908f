package coordinator

import (
	"log/slog"
	"net/netip"

	"snowquay/internal/consensus"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/fairqueue"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
	"snowquay/internal/feed/graphite"
	"snowquay/internal/frontend/longpollhttp"
	"snowquay/internal/wire/sasp"
)

const (
	hostTickInterval      = 0.01 // seconds between two runs of a host: half of a tenant's interval
	expiryCheckInterval   = 0.25 // seconds between two searches for connections that have not identified themselves
	recordsFlushInterval  = 0.1  // seconds until server records that need not be durable at once are flushed
	tenantStartCPUSeconds = 1e-3 // charged for the start of a tenant
)

// HostConfig configures a Host.
type HostConfig struct {
	// SASP is the address on which SASP is served for all tenants. If it is not valid, SASP is not served.
	SASP netip.AddrPort
	// HTTP is the address on which long polls are served for all tenants. If it is not valid, they are not served.
	HTTP      netip.AddrPort
	Capacity  tenancy.Capacity
	Router    tenancy.RouterLimits
	Scheduler fairqueue.Config
	// ParseTenant reads a tenant's settings.
	ParseTenant func(tenancy.Tenant) (TenantConfig, error)
	// Log returns the logger of a tenant, or of the host for the empty name. It may be nil: nothing is logged then.
	Log func(tenancy.Name) *slog.Logger
	// OnMessageTrace receives the trace of each message to a tenant's proxy. It may be nil.
	OnMessageTrace func(tenancy.Name, tenancy.Incarnation, controlplane.MessageTrace)
	// Graphite configures the sending of metrics; nil: none are sent.
	Graphite *graphite.Config
	// Group is the group of hosts that share the tenants; nil for a host that is alone.
	Group *GroupConfig
	// Storage stores the consensus log of the group.
	Storage consensus.Storage
	// Incarnation of this process in the group; no earlier process of the same member has used it.
	Incarnation uint64
	// OnFail is called when the host stops issuing commands for good. It may be nil.
	OnFail func(error)
}

// ListenAddresses returns the addresses that proxies and servers dial.
func (c *HostConfig) ListenAddresses() []netip.AddrPort { return validAddresses(c.SASP, c.HTTP) }

// HostStore persists the state of a host. What was saved without an error is durable, except for some server records; see
// ServerStore.
type HostStore interface {
	// Directory returns the directory that was saved; the zero one if none was.
	Directory() (tenancy.Directory, error)
	// Save saves the directory after a change of one tenant. The records of the incarnation that has ended may be deleted; 0: none
	// has.
	Save(directory *tenancy.Directory, changed tenancy.Name, ended tenancy.Incarnation) error
	// ServerStore returns the store of the servers of one incarnation of a tenant. Drains are durable when its Save returns, all
	// else after the next Flush.
	ServerStore(tenancy.Incarnation) Store
	// Flush makes all records durable.
	Flush() error
}

// HostStats are totals of a host since its start, for metrics.
type HostStats struct {
	Starts, Stops, Restarts, Reconfigured int // of tenants
	SaveFailures                          int // of the directory and the server records
	UnsignedPackets, UnknownUserPackets   int // measurement packets without a user name, and of an unknown one
	Panics                                int // of tenants, which were started again
}

// Host runs many tenants in one process. Each has a Coordinator with its own decisions, tables, limits and queues. The host routes
// connections to the tenants and schedules their work, and isolates them from each other. It is an env.Program.
type Host struct {
	config HostConfig
	store  HostStore
	io     env.IO

	// Directory lists the tenants that are to run.
	Directory *tenancy.Directory
	// Router finds the tenants of connections.
	Router *tenancy.ConnectionRouter
	// Scheduler shares the event loop between the tenants.
	Scheduler *fairqueue.Queue[tenancy.Name]
	// Credentials are those of the callers of the administration API.
	Credentials authz.Credentials
	// Stats are totals for metrics.
	Stats HostStats

	tenants          map[tenancy.Name]*TenantRuntime
	measurementUsers map[string]tenancy.Name // tenants by the user name of their measurements
	startQueue       []tenancy.Name          // tenants that are still to be started
	unidentified     map[env.Conn]netip.Addr // connections whose tenant is not known, with their source
	turnRequested    bool                    // a tenant has requested a turn at once
	lastExpiryCheck  float64                 // clock time in seconds
	lastFlush        float64                 // clock time in seconds
	links            auxiliaryLinks
	shared           *sharedTenants // nil: the tenants are not shared with other hosts
}

// NewHost returns a host that does nothing until Start. The tenants of its stored directory are started one after the other, in the
// time that those that run leave. The error is that of reading the directory. The caller owns the store and closes it after the
// host's end.
func NewHost(now float64, config HostConfig, store HostStore) (*Host, error) {
	host := &Host{
		config:           config,
		store:            store,
		Router:           newRouter(now, config.Router),
		Scheduler:        fairqueue.New[tenancy.Name](now, config.Scheduler),
		tenants:          map[tenancy.Name]*TenantRuntime{},
		measurementUsers: map[string]tenancy.Name{},
		unidentified:     map[env.Conn]netip.Addr{},
	}
	if config.Graphite != nil {
		host.links.graphite = newGraphiteSender(now, *config.Graphite, config.Incarnation)
	}
	if config.Group != nil {
		host.Directory = &tenancy.Directory{} // replaced by the group's at the start
		host.joinGroup(*config.Group)
		return host, nil
	}
	directory, err := store.Directory()
	if err != nil {
		return nil, err
	}
	host.Directory = &directory
	host.Directory.Capacity = config.Capacity
	host.registerAll(now)
	return host, nil
}

func newRouter(now float64, limits tenancy.RouterLimits) *tenancy.ConnectionRouter {
	identifySASP := func(data []byte) (string, bool, error) { return sasp.ParseIdentity(data, limits.UnidentifiedBytes) }
	return tenancy.NewConnectionRouter(now, limits, map[tenancy.Frontend]tenancy.IdentityParser{
		tenancy.SASP: identifySASP,
		tenancy.HTTP: longpollhttp.ParseIdentity,
	})
}

// Start implements env.Program.
func (h *Host) Start(now float64, io env.IO) {
	h.io = io
	h.links.start(now, io)
	if h.shared != nil && h.shared.member.Group != nil {
		h.Directory = &h.shared.member.Group.State.Directory
		h.registerAll(now)
	}
	h.io.SetTimer(now, 0)
}

// TimerFired implements env.Program.
func (h *Host) TimerFired(now float64, _ int) {
	if now-h.lastExpiryCheck >= expiryCheckInterval {
		h.lastExpiryCheck = now
		h.closeExpired(now)
		h.restartPanicked(now)
	}
	if h.shared != nil {
		h.shared.member.tick(now)
	}
	h.runTurns(now)
	if h.links.graphite != nil {
		h.links.graphite.Tick(now, func() { h.addMetrics(now) })
	}
	if now-h.lastFlush >= recordsFlushInterval {
		h.lastFlush = now
		h.flushRecords()
	}
	h.io.SetTimer(now+hostTickInterval, 0)
}

func (h *Host) flushRecords() {
	err := h.store.Flush()
	if err != nil {
		h.Stats.SaveFailures++
		h.log("", "flushing server records failed", "error", err)
	}
}

// Tenant returns a tenant that is known.
func (h *Host) Tenant(name tenancy.Name) (*TenantRuntime, bool) {
	tenant := h.tenants[name]
	return tenant, tenant != nil
}

// Tenants returns all tenants, ordered by name.
func (h *Host) Tenants() []*TenantRuntime {
	all := make([]*TenantRuntime, 0, len(h.tenants))
	for _, listed := range h.Directory.All() {
		tenant := h.tenants[listed.Name]
		if tenant != nil {
			all = append(all, tenant)
		}
	}
	return all
}

// PendingStarts returns the number of tenants that are still to be started.
func (h *Host) PendingStarts() int { return len(h.startQueue) }

// Member returns this host's part in the group of hosts; nil if it is in none.
func (h *Host) Member() *Member { return h.links.member }

// Leave releases the lease of this host, so that the others need not wait until it expires. It is called again until it reports
// that the group knows.
func (h *Host) Leave(now float64) (known bool) { return h.links.leave(now) }

// GraphiteSender returns the sender of metrics; nil if none are sent.
func (h *Host) GraphiteSender() *graphite.Sender { return h.links.graphite }

// log logs an event of a tenant, or of the host for the empty name.
func (h *Host) log(tenant tenancy.Name, event string, attributes ...any) {
	if h.config.Log != nil {
		h.config.Log(tenant).Info(event, attributes...)
	}
}
