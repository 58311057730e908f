package coordinator

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/fairqueue"
	"snowquay/internal/core/membership"
	"snowquay/internal/core/tablecheck"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/feed/graphite"
	"snowquay/internal/frontend/longpollhttp"
	"snowquay/internal/wire/sasp"
)

const (
	hostEvery  = 0.01 // seconds between two looks at whose turn it is: half of a tenant's own
	checkEvery = 0.25 // seconds between two looks for connections that have not said who they are
	flushEvery = 0.1  // seconds until what need not be durable at once is
	startTakes = 1e-3 // seconds of work that the start of a tenant is reckoned at: its settings are read, its roll, its module made
)

// TenantConfig is a tenant's settings, ready to act.
type TenantConfig struct {
	Config         Config
	Callers        []authz.Credential
	Weight         float64
	Requirements   tenancy.Requirements
	MaxConnections int            // connections
	Networks       []netip.Prefix // that its relays and servers come from; none: any
}

// HostConfig is what a host of many tenants is made of.
type HostConfig struct {
	SASP, HTTP  netip.AddrPort // where relays and servers of all tenants come; not valid: it is not spoken
	Capacity    tenancy.Capacity
	Router      tenancy.RouterLimits
	Scheduler   fairqueue.Config
	ParseTenant func(tenancy.Tenant) (TenantConfig, error)                         // reads a tenant's settings
	Log         func(tenancy.Name) *slog.Logger                                    // of a tenant, or of the host itself for the empty name; nil: nobody listens
	OnOrder     func(tenancy.Name, tenancy.Incarnation, controlplane.MessageTrace) // nil: nobody traces
	Graphite    *graphite.Setup                                                    // nil: no figures are sent
	Group       *GroupConfig                                                       // nil: it shares its tenants with no other host
	Storage     consensus.Storage                                                  // of the group
	Incarnation uint64                                                             // of this process in the group: no former one has had it
	OnFail      func(error)                                                        // nil: nobody is told that it orders nothing any more
}

// HostStore keeps what outlives a host. What returns without an error is durable, but for rolls: see there.
type HostStore interface {
	// Directory as it was kept; the zero one if none was.
	Directory() (tenancy.Directory, error)
	// Save keeps what the latest change of a tenant made of the directory. The roll of an incarnation that is over may be forgotten.
	Save(d *tenancy.Directory, of tenancy.Name, over tenancy.Incarnation) error
	// ServerStore keeps the servers of one incarnation of a tenant. Drains are durable when Keep returns, all else by the next Flush.
	ServerStore(tenancy.Incarnation) Store
	// Flush makes durable what waits for it.
	Flush() error
}

// TenantRuntime is a tenant that runs, or is to be started.
type TenantRuntime struct {
	tenancy.Tenant
	Program *Coordinator // nil: it is not started yet, or its settings can't be read
	Err     error        // why it does not run
	made    TenantConfig
	user    string             // of its signed measurements, as the host knows it
	rests   bool               // nobody is connected: it is looked at now and then
	counted controlplane.Stats // up to the latest look
}

// Host runs many tenants in one process: each has a coordinator of its own, with its own decisions, tables, limits and waiting
// lines. The host gives them their connections, their turns, and nothing of each other. It is a env.Program.
type Host struct {
	setup       HostConfig
	store       HostStore
	io          env.IO
	Directory   *tenancy.Directory
	Router      *tenancy.ConnectionRouter
	Scheduler   *fairqueue.Queue[tenancy.Name]
	Credentials authz.Credentials
	tenants     map[tenancy.Name]*TenantRuntime
	users       map[string]tenancy.Name // of signed measurements
	starts      []tenancy.Name          // that are to be started, next first
	froms       map[env.Conn]netip.Addr // of connections whose tenant is not known
	checked     float64
	flushed     float64
	stirred     bool // somebody asked for a turn at once

	figures  *graphite.Sender                          // nil: none are sent
	member   *Member                                   // nil: it shares its tenants with nobody
	lives    map[tenancy.Incarnation]*TenantRuntime    // those that are known here
	drains   map[membership.Ticket]tenancy.Incarnation // told here, and not settled yet
	orders   map[membership.Ticket]*waiting
	byLife   map[tenancy.Incarnation]map[balancer.Server]float64
	drainsOf uint64 // orders that byLife was made of

	Stats HostStats
}

// HostStats is what happened, for metrics.
type HostStats struct {
	Starts, Stops, Restarts, Reconfigured, SaveFailures int
	Unsigned, Foreign                                   int // measurement packets of nobody
}

// NewHost makes a host; it does nothing until Start. The tenants that its store knows are started one after the other, in the time
// that looks at those that run leave.
func NewHost(now float64, setup HostConfig, store HostStore) (*Host, error) {
	h := &Host{setup: setup, store: store, tenants: map[tenancy.Name]*TenantRuntime{}, users: map[string]tenancy.Name{},
		froms: map[env.Conn]netip.Addr{}, Scheduler: fairqueue.New[tenancy.Name](now, setup.Scheduler)}
	h.Router = tenancy.NewConnectionRouter(now, setup.Router, map[tenancy.Frontend]tenancy.IdentityParser{
		tenancy.SASP: func(b []byte) (string, bool, error) { return sasp.Speaker(b, setup.Router.UnidentifiedBytes) }, tenancy.HTTP: longpollhttp.Speaker})
	if setup.Graphite != nil {
		h.figures = graphite.New(now, *setup.Graphite, rand.New(rand.NewPCG(setup.Incarnation, 0x67a)).Float64)
	}
	if setup.Group != nil { // the directory is what the group has agreed on
		h.Directory = &tenancy.Directory{}
		h.shared(*setup.Group, setup.Storage)
		return h, nil
	}
	kept, err := store.Directory()
	if err != nil {
		return nil, err
	}
	h.Directory = &kept
	h.Directory.Capacity = setup.Capacity
	for _, t := range h.Directory.All() {
		h.begin(now, *t)
	}
	return h, nil
}

// begin makes a tenant known; it is started when its turn comes, or somebody asks for it.
func (h *Host) begin(now float64, t tenancy.Tenant) *TenantRuntime {
	x := &TenantRuntime{Tenant: t}
	if h.tenants[t.Name] = x; h.member != nil {
		h.lives[t.Incarnation] = x
	}
	if x.made, x.Err = h.setup.ParseTenant(t); x.Err == nil {
		x.Err = h.open(now, x, false)
	}
	if x.Err != nil { // it was checked before it was agreed on; this build may read it differently
		h.say(t.Name, "tenant can't run", "error", x.Err)
		return x
	}
	h.starts = append(h.starts, t.Name)
	return x
}

// open takes the callers and the measurements of a tenant, all or none, and lets its relays in, or has them come back while it is not
// ready.
func (h *Host) open(now float64, x *TenantRuntime, ready bool) error {
	user := x.made.Config.User
	if of, taken := h.users[user]; taken && of != x.Name {
		return fmt.Errorf("the user of its measurements, %q, is another tenant's", user)
	}
	if err := h.Credentials.Set(x.Name, x.made.Callers); err != nil {
		return err
	}
	delete(h.users, x.user)
	if x.user = user; user != "" {
		h.users[user] = x.Name
	}
	h.Scheduler.Set(now, x.Name, x.Weight)
	return h.admit(now, x, ready)
}

// admit lets a tenant's relays in, or has them come back while it is not ready.
func (h *Host) admit(now float64, x *TenantRuntime, ready bool) error {
	return h.Router.Set(now, x.Name, x.Weight, x.made.MaxConnections, x.made.Networks, ready)
}

func (h *Host) say(of tenancy.Name, event string, pairs ...any) {
	if h.setup.Log != nil {
		h.setup.Log(of).Info(event, pairs...)
	}
}

// start runs a tenant that is known.
func (h *Host) start(now float64, x *TenantRuntime) {
	h.Stats.Starts++
	s := x.made.Config
	s.SASP, s.HTTP = h.setup.SASP, h.setup.HTTP
	if h.setup.Log != nil {
		s.Log = h.setup.Log(x.Name)
	}
	name, life := x.Name, x.Incarnation
	s.RequestTurn = func(now float64) {
		h.Scheduler.MarkDue(now, name, true)
		h.stirred = true
	}
	if g := h.setup.Group; g != nil {
		s.Peers = h.scope(x)
		s.Site.DataPlane.Coordinators, s.Site.DataPlane.Self = len(g.Members), 0
		for n := range g.Members {
			if n < g.Self {
				s.Site.DataPlane.Self++
			}
		}
	}
	if h.setup.OnOrder != nil {
		s.OnOrder = func(o controlplane.MessageTrace) { h.setup.OnOrder(name, life, o) }
	}
	p, err := New(now, s, h.store.ServerStore(life))
	if err == nil {
		err = h.admit(now, x, true)
	}
	if err != nil {
		x.Err = err
		h.say(x.Name, "tenant can't run", "error", err)
		return
	}
	x.Program, x.Err, x.rests, x.counted = p, nil, false, controlplane.Stats{}
	p.Start(now, &tenantIO{h, x})
	h.say(x.Name, "tenant runs", "incarnation", x.Incarnation, "version", x.Version)
}

// end stops a tenant at once: its connections are closed. Its relays go on by the tables that they hold.
func (h *Host) end(x *TenantRuntime) {
	for _, c := range h.Router.Remove(x.Name) {
		h.io.Close(env.Conn(c))
	}
	x.Program = nil
}

// tenantIO is what a tenant's coordinator may do: its own connections, and a wake-up when its turn has come.
type tenantIO struct {
	h *Host
	x *TenantRuntime
}

// Dial of env.IO: a tenant's coordinator dials nobody.
func (t *tenantIO) Dial(netip.AddrPort) env.Conn { return 0 }

// Send of env.IO.
func (t *tenantIO) Send(c env.Conn, b []byte) { t.h.io.Send(c, b) }

// Close of env.IO.
func (t *tenantIO) Close(c env.Conn) {
	t.h.Router.Closed(tenancy.Conn(c))
	t.h.io.Close(c)
}

// Datagram of env.IO: a tenant's coordinator sends none.
func (t *tenantIO) Datagram(netip.AddrPort, []byte) {}

// SetTimer of env.IO.
func (t *tenantIO) SetTimer(at float64, _ int) { t.h.Scheduler.ScheduleAt(t.x.Name, at) }

// Start of env.Program.
func (h *Host) Start(now float64, io env.IO) {
	if h.io = io; h.figures != nil {
		h.figures.Start(io)
	}
	if h.member != nil {
		h.member.begin(now, io)
		if h.member.Group != nil {
			h.Directory = &h.member.Group.State.Directory
			for _, t := range h.Directory.All() {
				h.begin(now, *t)
			}
		}
	}
	h.io.SetTimer(now, 0)
}

// ours tells whether a port is that by which hosts speak to each other.
func (h *Host) ours(port uint16) bool {
	return h.member != nil && port == h.setup.Group.Members[h.setup.Group.Self].Port()
}

// Opened of env.Program.
func (h *Host) Opened(now float64, c env.Conn, from netip.Addr, port uint16) {
	if h.ours(port) {
		h.member.Opened(now, c, from, port)
		return
	}
	f := tenancy.SASP
	if h.setup.HTTP.IsValid() && port == h.setup.HTTP.Port() {
		f = tenancy.HTTP
	}
	if why := h.Router.Opened(now, tenancy.Conn(c), from, f); why != tenancy.NotRejected {
		h.io.Close(c)
		return
	}
	h.froms[c] = from
}

// Connected of env.Program: a host dials those that it shares its tenants with.
func (h *Host) Connected(now float64, c env.Conn, ok bool) {
	if h.figures != nil && h.figures.Connected(now, c, ok) {
		return
	}
	if h.member != nil {
		h.member.Connected(now, c, ok)
	}
}

// known is the tenant of a connection.
func (h *Host) known(c env.Conn) *TenantRuntime {
	n, ok := h.Router.Tenant(tenancy.Conn(c))
	if !ok {
		return nil
	}
	if x := h.tenants[n]; x != nil && x.Program != nil {
		return x
	}
	return nil
}

// Receive of env.Program.
func (h *Host) Receive(now float64, c env.Conn, b []byte) {
	if h.figures != nil && h.figures.Receive(c) {
		return
	}
	if h.member != nil && h.member.Failed == nil && h.member.peers.receive(now, c, b) {
		if h.stirred {
			h.looks(now)
		}
		return
	}
	x := h.known(c)
	if x == nil {
		if x, b = h.meets(now, c, b); x == nil {
			return
		}
	}
	x.Program.Receive(now, c, b)
	h.came(now, x, len(b))
}

// came counts what has come in for a tenant against its turns, and sees to it that it is looked at soon.
func (h *Host) came(now float64, x *TenantRuntime, n int) {
	h.Scheduler.Charge(x.Name, tenancy.Usage{Arrivals: 1, Bytes: n}.CPUSeconds())
	if x.rests {
		x.rests = false
		h.Scheduler.ScheduleAt(x.Name, now+tickEvery)
	}
	if h.stirred {
		h.looks(now)
	}
}

// meets takes bytes of a connection that has not said whose it is. With a tenant they are that tenant's, from the first one on.
func (h *Host) meets(now float64, c env.Conn, b []byte) (*TenantRuntime, []byte) {
	from, here := h.froms[c]
	if !here {
		return nil, nil
	}
	r := h.Router.Receive(now, tenancy.Conn(c), b)
	if r.Reason == tenancy.NotRejected && r.Tenant == "" {
		return nil, nil
	}
	delete(h.froms, c)
	x := h.tenants[r.Tenant]
	if r.Reason == tenancy.NotRejected && x != nil && x.Program != nil {
		x.Program.Opened(now, c, from, h.port(r.Frontend))
		return x, r.Bytes
	}
	if r.Reason == tenancy.TenantStarting && x != nil && x.Err == nil { // those that somebody asks for come first
		if i := slices.Index(h.starts, r.Tenant); i > 0 {
			h.starts = slices.Insert(slices.Delete(h.starts, i, i+1), 0, r.Tenant)
		}
	}
	if r.Frontend == tenancy.HTTP {
		h.io.Send(c, refusal(r))
	}
	h.Router.Closed(tenancy.Conn(c))
	h.io.Close(c)
	return nil, nil
}

func (h *Host) port(f tenancy.Frontend) uint16 {
	if f == tenancy.HTTP {
		return h.setup.HTTP.Port()
	}
	return h.setup.SASP.Port()
}

var refusals = map[tenancy.RejectReason]struct {
	status int
	kind   string
}{
	tenancy.MalformedIdentity: {http.StatusNotFound, "not-found"}, tenancy.UnknownTenant: {http.StatusNotFound, "no-tenant"},
	tenancy.NetworkNotAllowed: {http.StatusForbidden, "outside"},
	tenancy.TenantStarting:    {http.StatusServiceUnavailable, "starting"}, tenancy.TenantConnectionsFull: {http.StatusServiceUnavailable, "crowded"},
	tenancy.AcceptRateExceeded: {http.StatusTooManyRequests, "too-often"},
}

func refusal(r tenancy.RouteResult) []byte {
	x := refusals[r.Reason]
	return longpollhttp.Refusal(x.status, x.kind, r.Reason.String(), r.RetryAfter)
}

// Closed of env.Program.
func (h *Host) Closed(now float64, c env.Conn) {
	if h.figures != nil && h.figures.Closed(now, c) {
		return
	}
	if h.member != nil && h.member.peers.closed(c) {
		return
	}
	x := h.known(c)
	delete(h.froms, c)
	h.Router.Closed(tenancy.Conn(c))
	if x != nil {
		x.Program.Closed(now, c)
		h.came(now, x, 0)
	}
}

// Delivered of env.Program.
func (h *Host) Delivered(now float64, c env.Conn, total uint64) {
	if h.figures != nil && h.figures.Taken(now, c, total) {
		return
	}
	if h.member != nil && h.member.peers.taken(c, total) {
		return
	}
	if x := h.known(c); x != nil {
		x.Program.Delivered(now, c, total)
	}
}

// Datagram of env.Program: measurements of many tenants come to one port. Whose they are is told by the user that signed them; the
// tenant's own key then proves it.
func (h *Host) Datagram(now float64, b []byte) {
	user, ok := collectd.User(b)
	if !ok {
		h.Stats.Unsigned++
		return
	}
	x := h.tenants[h.users[user]]
	if x == nil || x.Program == nil {
		h.Stats.Foreign++
		return
	}
	x.Program.Datagram(now, b)
	h.came(now, x, len(b))
}

// TimerFired of env.Program.
func (h *Host) TimerFired(now float64, _ int) {
	if now-h.checked >= checkEvery {
		h.checked = now
		for _, c := range h.Router.TakeExpired(now) {
			delete(h.froms, env.Conn(c))
			h.io.Close(env.Conn(c))
		}
	}
	if h.member != nil {
		h.member.tick(now)
	}
	h.looks(now)
	if h.figures != nil {
		h.figures.Tick(now, func() { h.sample(now) })
	}
	if now-h.flushed >= flushEvery {
		h.flushed = now
		if err := h.store.Flush(); err != nil {
			h.Stats.SaveFailures++
			h.say("", "records not kept", "error", err)
		}
	}
	h.io.SetTimer(now+hostEvery, 0)
}

// sample makes figures of the host and of each tenant that runs.
func (h *Host) sample(now float64) {
	known, strangers, _ := h.Router.Count()
	h.figures.Add(false, float64(len(h.tenants)), "host", "tenants")
	h.figures.Add(false, float64(known), "host", "connections")
	h.figures.Add(false, float64(strangers), "host", "strangers")
	h.figures.Add(true, float64(h.Scheduler.Stats.Turns), "host", "turns")
	h.figures.Add(true, float64(h.Scheduler.Stats.BudgetExhausted), "host", "held")
	for _, x := range h.Tenants() {
		if x.Program == nil {
			continue
		}
		spent, _ := h.Scheduler.Usage(x.Name)
		h.figures.Add(true, spent, "tenants", string(x.Name), "work")
		for _, f := range x.Program.Fleet.Metrics(now) {
			h.figures.Add(f.Cumulative, f.Value, append([]string{"tenants", string(x.Name)}, f.Path()...)...)
		}
	}
}

// GraphiteSender are what is sent to a receiver of figures; nil: nothing is.
func (h *Host) GraphiteSender() *graphite.Sender { return h.figures }

// looks gives turns to those that are due, and starts one of those that are to be started when nobody is.
func (h *Host) looks(now float64) {
	h.stirred = false
	for {
		n, ok := h.Scheduler.Next(now)
		if !ok {
			break
		}
		if x := h.tenants[n]; x != nil && x.Program != nil {
			h.look(now, x)
			continue
		}
		h.Scheduler.Charge(n, 0)
	}
	for h.Scheduler.DueLen() == 0 && len(h.starts) > 0 && h.Scheduler.HasBudget(now) {
		n := h.starts[0]
		h.starts = h.starts[1:]
		if x := h.tenants[n]; x != nil && x.Program == nil && x.Err == nil {
			h.start(now, x)
			h.Scheduler.Charge(n, startTakes)
		}
	}
}

// look gives a tenant its turn, and counts what it took.
func (h *Host) look(now float64, x *TenantRuntime) {
	p := x.Program
	p.TimerFired(now, 0)
	x.rests = p.Idle()
	c := p.Fleet.Stats
	h.Scheduler.Charge(x.Name, tenancy.Usage{Rounds: c.Rounds - x.counted.Rounds, Messages: c.Messages - x.counted.Messages,
		Lines: c.Entries - x.counted.Entries, Servers: p.Fleet.Registry.Len(), Relays: p.Fleet.Joined()}.CPUSeconds())
	x.counted = c
}

// Tenant that is known.
func (h *Host) Tenant(n tenancy.Name) (*TenantRuntime, bool) {
	x := h.tenants[n]
	return x, x != nil
}

// Tenants by name.
func (h *Host) Tenants() []*TenantRuntime {
	all := make([]*TenantRuntime, 0, len(h.tenants))
	for _, t := range h.Directory.All() {
		if x := h.tenants[t.Name]; x != nil {
			all = append(all, x)
		}
	}
	return all
}

// Starting is the number of tenants that are still to be started.
func (h *Host) Starting() int { return len(h.starts) }

// TenantPreview is what would follow from other settings of a tenant.
type TenantPreview struct {
	Config   TenantConfig
	Revision controlplane.Revision
	Reasons  []tablecheck.Finding // why it would do harm; none: it would not
}

// Preview looks at other settings of a tenant without taking them: whether they can be read, what would change, and whether that would
// do harm to the proxies that are joined.
func (h *Host) Preview(now float64, t tenancy.Tenant) (s TenantPreview, err error) {
	if s.Config, err = h.setup.ParseTenant(t); err != nil {
		return s, err
	}
	x := h.tenants[t.Name]
	if x == nil || x.Program == nil {
		s.Revision.RestartReason = "there is none that runs"
		return s, nil
	}
	f := x.Program.Fleet
	s.Revision = controlplane.CompareSites(f.Site(), &s.Config.Config.Site)
	s.Reasons = f.Preview(now, s.Revision.Removed, false)
	if len(s.Revision.Removed) == 0 {
		s.Reasons = nil // what is so already is not this change's doing
	}
	return s, nil
}

// ChangeTenant changes the directory: a tenant is made, changed or removed. done is called once, when that is durable and in force, or
// refused. err says that it could not be made durable; nothing has changed then.
func (h *Host) ChangeTenant(now float64, c tenancy.Command, done func(o tenancy.Outcome, err error)) {
	if before, ok := h.Directory.Find(c.ID); ok {
		done(h.answered(before, c), nil)
		return
	}
	if h.member != nil {
		h.propose(now, c, done)
		return
	}
	was, _ := h.Directory.Get(c.Name)
	before := h.Directory.Checkpoint(c.Name)
	o := h.Directory.Apply(c)
	if o.Err() != nil {
		done(o, nil)
		return
	}
	over := tenancy.Incarnation(0)
	if c.Kind == tenancy.Remove {
		over = was.Incarnation
	}
	if err := h.store.Save(h.Directory, c.Name, over); err != nil {
		// Guards against a change that is confirmed and forgotten by the next start; it does harm where a disk is full: tenants
		// can't be changed then, while those that run go on.
		h.Directory.Rollback(before)
		h.Stats.SaveFailures++
		done(tenancy.Outcome{}, fmt.Errorf("%w: %w", ErrNotPersisted, err))
		return
	}
	h.follow(now, c.Name)
	done(o, nil)
}

// propose makes a change known to all hosts that share the tenants.
func (h *Host) propose(now float64, c tenancy.Command, done func(tenancy.Outcome, error)) {
	if !h.member.Ready() {
		done(tenancy.Outcome{}, ErrNotAgreed)
		return
	}
	ticket, ok := h.member.Group.SubmitOrder(now, membership.Command{Kind: membership.ChangeTenant, Tenant: &c})
	if !ok {
		done(tenancy.Outcome{}, ErrNotAgreed)
		return
	}
	h.orders[ticket] = &waiting{done: done}
}

// ErrNotAgreed says that a change was not agreed on by the hosts in time; it may still come true.
var ErrNotAgreed = errors.New("the change was not agreed on in time")

// ErrNotPersisted says that a change could not be made durable.
var ErrNotPersisted = errors.New("the change could not be made durable")

func (h *Host) answered(before tenancy.Outcome, c tenancy.Command) tenancy.Outcome {
	if before.Fingerprint != c.Fingerprint {
		return h.Directory.Apply(c) // it says so
	}
	return before
}

// follow does what a change of the directory orders.
func (h *Host) follow(now float64, n tenancy.Name) {
	x := h.tenants[n]
	t, ok := h.Directory.Get(n)
	if x != nil && (!ok || t.Incarnation != x.Incarnation) {
		h.Stats.Stops++
		h.end(x)
		h.Credentials.Remove(n)
		delete(h.users, x.user)
		h.Scheduler.Remove(n)
		delete(h.lives, x.Incarnation)
		delete(h.tenants, n)
		h.say(n, "tenant ends", "incarnation", x.Incarnation)
		x = nil
	}
	switch {
	case !ok:
		return
	case x == nil:
		x = h.begin(now, t)
	case x.Version != t.Version:
		h.revise(now, x, t)
	}
	if x.Program == nil && x.Err == nil { // who has just been made or changed runs before those of a restart
		h.starts = slices.DeleteFunc(h.starts, func(o tenancy.Name) bool { return o == n })
		h.start(now, x)
	}
}

// revise takes other settings of a tenant that runs: in place where that can be, else its coordinator starts anew, as after a restart
// of the host, and its relays come back within seconds.
func (h *Host) revise(now float64, x *TenantRuntime, t tenancy.Tenant) {
	made, err := h.setup.ParseTenant(t)
	old := x.made
	x.Tenant = t
	if err != nil {
		x.Err = err
		h.say(t.Name, "settings can't be read; the tenant goes on by its former ones", "error", err)
		return
	}
	x.made = made
	if err := h.open(now, x, x.Program != nil); err != nil {
		x.Err = err
		h.say(t.Name, "tenant goes on by its former settings", "error", err)
		x.made = old
		return
	}
	x.Err = nil
	p := x.Program
	if p == nil {
		return
	}
	if old.Config.User == made.Config.User && old.Config.Key == made.Config.Key {
		if r, err := p.Reconfigure(now, made.Config); err == nil {
			h.Stats.Reconfigured++
			h.say(t.Name, "tenant takes other settings", "version", t.Version, "added", len(r.Added), "removed", len(r.Removed),
				"relays sent", len(r.Evicted))
			h.Scheduler.MarkDue(now, t.Name, len(r.Removed) > 0)
			h.looks(now)
			return
		}
	}
	h.Stats.Restarts++
	h.say(t.Name, "tenant starts anew for other settings", "version", t.Version)
	h.end(x)
}

// Leave gives our part up, so that the other hosts need not wait until our lease ends. It reports whether they know.
func (h *Host) Leave(now float64) (known bool) {
	return h.member == nil || !h.member.Ready() || h.member.Leave(now)
}

// Member of the group of hosts; nil: it shares its tenants with nobody.
func (h *Host) Member() *Member { return h.member }

// Drain orders a drain of a tenant's server, or its end.
func (h *Host) Drain(now float64, n tenancy.Name, s balancer.Server, on bool, done func(ok bool)) {
	x := h.tenants[n]
	if x == nil || x.Program == nil {
		done(false)
		return
	}
	x.Program.RequestDrain(now, s, on, done)
	x.rests = false
}

// Ports are those that relays and servers dial.
func (s *HostConfig) Ports() []netip.AddrPort { return (&Config{SASP: s.SASP, HTTP: s.HTTP}).Ports() }

// Reconfigure takes other settings of a coordinator that runs, whole or not at all.
func (c *Coordinator) Reconfigure(now float64, s Config) (controlplane.Revision, error) {
	r, err := c.Fleet.Reconfigure(now, s.Site)
	if err != nil {
		return r, err
	}
	c.setup.Limits, c.setup.Policy = s.Limits, s.Policy
	c.SASP.Revise(s.Limits, s.Policy)
	return r, nil
}
