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
	hostTickInterval      = 0.01 // seconds between ticks of a host: half of a tenant's interval
	expiryCheckInterval   = 0.25 // seconds between checks for connections that have not identified themselves in time
	recordsFlushInterval  = 0.1  // seconds between flushes of server records that need not be durable immediately
	tenantStartCPUSeconds = 1e-3 // CPU time that is charged for the start of a tenant
)

// HostConfig configures a Host.
type HostConfig struct {
	// ConnectionLimit is the maximum number of incoming connections at all addresses together; 0: no limit.
	ConnectionLimit int
	// SASP is the listen address for SASP of all tenants. If it is not valid, SASP is not served.
	SASP netip.AddrPort
	// HTTP is the listen address for long polls of all tenants. If it is not valid, they are not served.
	HTTP      netip.AddrPort
	Capacity  tenancy.Capacity
	Router    tenancy.RouterLimits
	Scheduler fairqueue.Config
	// ParseTenant parses a tenant's settings.
	ParseTenant func(tenancy.Tenant) (TenantConfig, error)
	// Log returns the logger of a tenant, or of the host for the empty name. A nil Log disables logging.
	Log func(tenancy.Name) *slog.Logger
	// OnMessageTrace receives the trace of each message to a tenant's proxy. It may be nil.
	OnMessageTrace func(tenancy.Name, tenancy.Incarnation, controlplane.MessageTrace)
	// Graphite configures the sending of metrics; nil disables it.
	Graphite *graphite.Config
	// Group configures the group of hosts that share the tenants; nil for a standalone host.
	Group *GroupConfig
	// Storage stores the consensus log of the group.
	Storage consensus.Storage
	// Incarnation identifies this process in the group. No earlier process of the same member may have used it.
	Incarnation uint64
	// OnFail is called when the host permanently stops issuing commands. It may be nil.
	OnFail func(error)
}

// ListenAddresses returns the addresses that proxies and servers connect to.
func (c *HostConfig) ListenAddresses() []netip.AddrPort { return validAddresses(c.SASP, c.HTTP) }

// HostStore stores the state of a host. Data is durable once it was saved without an error, except for some server records; see
// ServerStore.
type HostStore interface {
	// Directory returns the saved directory; the zero value if none was saved.
	Directory() (tenancy.Directory, error)
	// Save saves the directory after a change of one tenant. It may delete the server records of ended, the incarnation that the
	// change has ended; 0 if it has ended none.
	Save(directory *tenancy.Directory, changed tenancy.Name, ended tenancy.Incarnation) error
	// ServerStore returns the store of the server records of one incarnation of a tenant. Drains are durable when its Save returns,
	// all other changes after the next Flush.
	ServerStore(tenancy.Incarnation) Store
	// Flush makes all records durable.
	Flush() error
}

// HostStats counts events of a host since its start, for metrics.
type HostStats struct {
	Starts, Stops, Restarts, Reconfigured int // tenants that were started, removed, restarted, and reconfigured in place
	SaveFailures                          int // failed saves of the directory and the server records
	UnsignedPackets, UnknownUserPackets   int // measurement packets without a user name, and with that of no running tenant
	Panics                                int // panics of tenants, which are restarted afterwards
}

// Host runs many tenants in one process. Each tenant has a Coordinator with its own decisions, tables, limits and queues. The
// host routes connections to the tenants, schedules their work, and isolates them from each other. It implements env.Program.
type Host struct {
	config HostConfig
	store  HostStore
	io     env.IO

	// Directory lists the tenants that should run.
	Directory *tenancy.Directory
	// Router assigns connections to tenants.
	Router *tenancy.ConnectionRouter
	// Scheduler shares the event loop between the tenants.
	Scheduler *fairqueue.Queue[tenancy.Name]
	// Credentials holds the credentials of the callers of the administration API.
	Credentials authz.Credentials
	// Stats counts events for metrics.
	Stats HostStats

	tenants          map[tenancy.Name]*TenantRuntime
	measurementUsers map[string]tenancy.Name // tenants by the user name that signs their measurement packets
	startQueue       []tenancy.Name          // tenants that wait to be started
	unidentified     map[env.Conn]netip.Addr // source addresses of connections whose tenant is not known
	turnRequested    bool                    // whether a tenant has requested an immediate turn
	lastExpiryCheck  float64                 // clock time in seconds
	lastFlush        float64                 // clock time in seconds
	links            auxiliaryLinks
	shared           *sharedTenants // nil if the tenants are not shared with other hosts
}

// NewHost returns a host that does nothing until Start. The tenants of its stored directory are started one after the other, with
// the CPU time that the running tenants leave. It returns an error if the directory can't be read. The caller owns the store and
// closes it after the host has ended.
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
		host.Directory = &tenancy.Directory{} // replaced by the group's in Start
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
		h.log("", "failed to flush server records", "error", err)
	}
}

// Tenant returns the tenant with the given name, running or not, and reports whether there is one.
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

// PendingStarts returns the number of tenants that wait to be started.
func (h *Host) PendingStarts() int { return len(h.startQueue) }

// Member returns this host's membership of its group; nil if it is standalone.
func (h *Host) Member() *Member { return h.links.member }

// Leave releases the lease of this host, so that the other members need not wait for its expiry. It reports whether the group has
// committed the release; the caller repeats the call until it has.
func (h *Host) Leave(now float64) (released bool) { return h.links.leave(now) }

// GraphiteSender returns the sender of metrics; nil if no metrics are sent.
func (h *Host) GraphiteSender() *graphite.Sender { return h.links.graphite }

// log logs an event of a tenant, or of the host for the empty name.
func (h *Host) log(tenant tenancy.Name, event string, attributes ...any) {
	if h.config.Log != nil {
		h.config.Log(tenant).Info(event, attributes...)
	}
}
