package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"snowquay/balancer"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/fairshare"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/frontend/admin"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/settings"
	"snowquay/internal/store"
)

// logTerms share what is logged between tenants: in lines.
var logTerms = fairshare.Config{Rate: 200, Burst: 2000, BucketSeconds: 10, Reserve: 0, MaxTenants: 1 << 16, RecentWindow: 0.1}

const logAgain = 10.0 // seconds between two lines that say how many of a tenant's were left out

// ServeHost runs a host of many tenants until something comes on stop.
func ServeHost(c *settings.Host, log *slog.Logger, stop <-chan os.Signal) (err error) {
	store, err := store.OpenTenantStore(c.Store)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	watch, logs := newWatch(hostedKept), newLogs(log)
	c.ParseTenant = func(t tenancy.Tenant) (coordinator.TenantConfig, error) {
		return settings.ParseTenant(t.Name, t.Settings, c)
	}
	c.Log, c.OnMessageTrace = logs.of, watch.orderOf
	part, err := openGroup(c.Group, c.GroupStore)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, part.close()) }()
	c.Storage, c.Incarnation, c.OnFail = part.disk, part.life, part.fail
	clock := eventloop.Clock()
	program, err := coordinator.NewHost(clock(), c.HostConfig, store)
	if err != nil {
		return err
	}
	if err := program.Credentials.Set("", c.Callers); err != nil {
		return err
	}
	server, err := eventloop.Listen(program, append(c.Ports(), part.ports...), c.Measurements, clock)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, server.Stop()) }()
	log.Info("host runs", "sasp", c.SASP, "http", c.HTTP, "administration", c.Admin, "store", c.Store, "tenants", program.Starting())
	if c.Metrics.IsValid() {
		watch.registry.MustRegister(&hostState{server: server, program: program})
		var h *http.Server
		if h, err = beside("metrics", c.Metrics, metrics(watch.registry), log); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, shut(h)) }()
	}
	api := admin.NewHosted(clock(), &hosted{server: server, program: program, watch: watch, logs: logs}, log.Info)
	h, err := beside("administration", c.Admin, api, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, h.Close()) }()
	select {
	case s := <-stop:
		log.Info("host ends", "signal", s.String())
	case err := <-part.failed: // proxies dial another one; whoever looks after processes starts it again, or says why not
		return err
	}
	leave(server, program.Leave)
	return nil
}

// leave gives up what is led here, and waits a little until the others know.
func leave(server *eventloop.Server, leave func(now float64) (known bool)) {
	for end := time.Now().Add(leaveWithin); time.Now().Before(end); time.Sleep(leaveAsk) {
		known := false
		if server.Do(func(now float64) { known = leave(now) }); known {
			return
		}
	}
}

// hosted is a host as its administration API sees it.
type hosted struct {
	server  *eventloop.Server
	program *coordinator.Host
	watch   *watch
	logs    *logs
}

// Do of admin.Program.
func (h *hosted) Do(f func(now float64)) { h.server.Do(f) }

// Identify of authz.Callers.
func (h *hosted) Identify(credential string) (authz.Principal, bool) {
	return h.program.Credentials.Identify(credential)
}

// Fleet of admin.Program.
func (h *hosted) Fleet(of tenancy.Name) (*controlplane.Fleet, bool) {
	x, ok := h.program.Tenant(of)
	if !ok || x.Coordinator == nil {
		return nil, false
	}
	return x.Coordinator.Fleet, true
}

// Drain of admin.Program.
func (h *hosted) Drain(now float64, of tenancy.Name, s balancer.Server, on bool, done func(ok bool)) {
	h.program.Drain(now, of, s, on, done)
}

// MessageTraces of admin.Program.
func (h *hosted) MessageTraces(of tenancy.Name, relay string) []map[string]any {
	if relay != "" {
		relay = of.UID(relay)
	}
	return h.watch.latest.of(of, relay)
}

// TenantRows of admin.Hosted.
func (h *hosted) TenantRows() []admin.TenantRow {
	rows := []admin.TenantRow{}
	for _, x := range h.program.Tenants() {
		rows = append(rows, h.row(x))
	}
	return rows
}

func (h *hosted) row(x *coordinator.TenantRuntime) admin.TenantRow {
	r := admin.TenantRow{Name: x.Name, Incarnation: x.Incarnation, Version: x.Version, Weight: x.Weight, Requirements: x.Requirements, Running: x.Coordinator != nil}
	if x.Err != nil {
		r.Error = x.Err.Error()
	}
	if x.Coordinator != nil {
		f := x.Coordinator.Fleet
		r.Servers, r.Relays, r.UpToDate = len(f.Registry.Servers()), f.Joined(), f.UpToDate()
		r.QueuedEntries, _ = f.QueuedEntries()
	}
	r.CPUSeconds, r.LongestWait = h.program.Scheduler.Usage(x.Name)
	return r
}

// TenantRow of admin.Hosted.
func (h *hosted) TenantRow(of tenancy.Name) (admin.TenantRow, bool) {
	x, ok := h.program.Tenant(of)
	if !ok {
		return admin.TenantRow{}, false
	}
	return h.row(x), true
}

// Settings of admin.Hosted.
func (h *hosted) Settings(of tenancy.Name) ([]byte, error) {
	t, ok := h.program.Directory.Get(of)
	if !ok {
		return nil, tenancy.ErrUnknown
	}
	return settings.MaskKeys(t.Settings)
}

// Merge of admin.Hosted.
func (h *hosted) Merge(of tenancy.Name, text []byte) ([]byte, error) {
	t, _ := h.program.Directory.Get(of) // a new one has no keys yet
	return settings.MergeKeys(text, t.Settings)
}

// Edit of admin.Hosted.
func (h *hosted) Edit(of tenancy.Name, edit []byte) ([]byte, error) {
	t, ok := h.program.Directory.Get(of)
	if !ok {
		return nil, tenancy.ErrUnknown
	}
	var e settings.ServerEdit
	if err := json.Unmarshal(edit, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", settings.ErrInvalidEdit, err)
	}
	return e.Apply(t.Settings)
}

// PreviewSettings of admin.Hosted.
func (h *hosted) PreviewSettings(now float64, t tenancy.Tenant) (s admin.SettingsPreview, err error) {
	x, err := h.program.Preview(now, t)
	if err != nil {
		return s, err
	}
	r := x.Revision
	s = admin.SettingsPreview{Weight: x.Config.Weight, Requirements: x.Config.Requirements, RestartReason: r.RestartReason, Added: len(r.Added), RelaysEvicted: len(r.Evicted)}
	for _, v := range r.Removed {
		s.Removed = append(s.Removed, string(v))
	}
	for _, why := range x.Reasons {
		s.Reasons = append(s.Reasons, why.String())
	}
	return s, nil
}

// ChangeTenant of admin.Hosted.
func (h *hosted) ChangeTenant(now float64, c tenancy.Command, done func(tenancy.Outcome, error)) {
	h.program.ChangeTenant(now, c, func(o tenancy.Outcome, err error) {
		if c.Kind == tenancy.Remove && err == nil && o.Err() == nil {
			h.watch.latest.drop(c.Name)
			h.logs.drop(c.Name)
		}
		done(o, err)
	})
}

// logs is the log of each tenant, shared fairly: a tenant whose relays are refused again and again fills the log with its own part of
// lines, and what is left out is counted.
type logs struct {
	mu     sync.Mutex
	base   *slog.Logger
	shares *fairshare.Allocator
	out    map[tenancy.Name]int
	saidAt map[tenancy.Name]float64
	each   map[tenancy.Name]*slog.Logger
}

func newLogs(base *slog.Logger) *logs {
	return &logs{base: base, shares: fairshare.New(clockNow(), logTerms), out: map[tenancy.Name]int{}, saidAt: map[tenancy.Name]float64{},
		each: map[tenancy.Name]*slog.Logger{}}
}

func clockNow() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// of is a tenant's log; the host's own is not bounded.
func (l *logs) of(n tenancy.Name) *slog.Logger {
	if n == "" {
		return l.base
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.each[n]
	if x == nil {
		x = slog.New(&bounded{l.base.Handler().WithAttrs([]slog.Attr{slog.String("tenant", string(n))}), l, n})
		l.each[n] = x
	}
	return x
}

func (l *logs) drop(n tenancy.Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.each, n)
	delete(l.out, n)
	delete(l.saidAt, n)
	l.shares.Remove(fairshare.Tenant(n))
}

// take tells whether a tenant's line is in its share, and how many were left out before it.
func (l *logs) take(now float64, n tenancy.Name) (ok bool, left int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.shares.Set(now, fairshare.Tenant(n), "", 1); err != nil {
		return false, 0
	}
	_, ok, err := l.shares.Take(now, fairshare.Tenant(n), 1, false)
	if !ok || err != nil {
		l.out[n]++
		return false, 0
	}
	if now-l.saidAt[n] >= logAgain && l.out[n] > 0 {
		left, l.out[n], l.saidAt[n] = l.out[n], 0, now
	}
	return true, left
}

// bounded is the handler of a tenant's log.
type bounded struct {
	slog.Handler
	logs *logs
	of   tenancy.Name
}

// Handle of slog.Handler.
func (b *bounded) Handle(ctx context.Context, r slog.Record) error {
	ok, left := b.logs.take(float64(r.Time.UnixNano())/1e9, b.of)
	if !ok {
		return nil
	}
	if left > 0 {
		r.AddAttrs(slog.Int("left-out", left))
	}
	return b.Handler.Handle(ctx, r)
}

// WithAttrs of slog.Handler.
func (b *bounded) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &bounded{b.Handler.WithAttrs(attrs), b.logs, b.of}
}

// WithGroup of slog.Handler.
func (b *bounded) WithGroup(name string) slog.Handler {
	return &bounded{b.Handler.WithGroup(name), b.logs, b.of}
}

// hostState reads a host's figures when they are asked for.
type hostState struct {
	server  *eventloop.Server
	program *coordinator.Host
}

// Describe of prometheus.Collector: it is unchecked, since its figures are read from the host as it is.
func (s *hostState) Describe(chan<- *prometheus.Desc) {}

var tenantFigures = []struct {
	desc *prometheus.Desc
	of   func(h *coordinator.Host, x *coordinator.TenantRuntime) float64
}{
	{tenantDesc("runs", "1 while the tenant's coordinator runs."), func(_ *coordinator.Host, x *coordinator.TenantRuntime) float64 { return one(x.Coordinator != nil) }},
	{tenantDesc("relays_joined", "Relays that are joined."), func(_ *coordinator.Host, x *coordinator.TenantRuntime) float64 {
		if x.Coordinator == nil {
			return 0
		}
		return float64(x.Coordinator.Fleet.Joined())
	}},
	{tenantDesc("waiting_lines", "Lines that wait in the tenant's channel."), func(_ *coordinator.Host, x *coordinator.TenantRuntime) float64 {
		if x.Coordinator == nil {
			return 0
		}
		waiting, _ := x.Coordinator.Fleet.QueuedEntries()
		return waiting
	}},
	{tenantDesc("work_seconds_total", "Seconds of a core that it was reckoned at."), func(h *coordinator.Host, x *coordinator.TenantRuntime) float64 {
		work, _ := h.Scheduler.Usage(x.Name)
		return work
	}},
	{tenantDesc("longest_wait_seconds", "The longest that it was due and waited for its turn."), func(h *coordinator.Host, x *coordinator.TenantRuntime) float64 {
		_, longest := h.Scheduler.Usage(x.Name)
		return longest
	}},
}

var refusedDesc = prometheus.NewDesc("snowquay_host_refused_total", "Connections refused at the entry.", []string{"why"}, nil)

func tenantDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("snowquay_tenant_"+name, help, []string{"tenant"}, nil)
}

func one(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Collect of prometheus.Collector.
func (s *hostState) Collect(out chan<- prometheus.Metric) {
	s.server.Do(func(float64) {
		h := s.program
		gauge, count := figures("snowquay_host_", out)
		spooled(h.GraphiteSender(), gauge, count)
		known, strangers, buffered := h.Router.Count()
		taken := h.Directory.Used()
		gauge("tenants", "Tenants that there are.", float64(len(h.Directory.Tenants)))
		gauge("tenants_starting", "Of them, still to be started.", float64(h.Starting()))
		gauge("connections", "Connections whose tenant is known.", float64(known))
		gauge("strangers", "Connections that have not said whose they are.", float64(strangers))
		gauge("strangers_bytes", "Bytes that they have sent.", float64(buffered))
		gauge("memory_promised_bytes", "Memory that tenants may take by their limits.", taken.Memory)
		gauge("lines_promised", "Lines a second, likewise.", taken.EntriesPerSecond)
		gauge("work_promised", "Seconds of a core a second, likewise.", taken.CPU)
		gauge("turns_waiting", "Tenants that are due.", float64(h.Scheduler.DueLen()))
		count("turns", "Turns of tenants.", h.Scheduler.Stats.Turns)
		count("turns_urgent", "Those for drains.", h.Scheduler.Stats.Urgent)
		count("turns_held", "Times that work was used up while tenants were due.", h.Scheduler.Stats.BudgetExhausted)
		count("starts", "Tenants started.", h.Stats.Starts)
		count("restarts", "Tenants that started anew for other settings.", h.Stats.Restarts)
		count("revised", "Tenants that took other settings while they ran.", h.Stats.Reconfigured)
		count("save_failed", "Changes and records that could not be made durable.", h.Stats.SaveFailures)
		count("measurements_unsigned", "Measurement packets that nobody signed.", h.Stats.Unsigned)
		count("measurements_foreign", "Those signed by nobody who is known.", h.Stats.Foreign)
		for why, n := range h.Router.Rejected {
			out <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(n), why.String())
		}
		for _, x := range h.Tenants() {
			for _, f := range tenantFigures {
				out <- prometheus.MustNewConstMetric(f.desc, prometheus.GaugeValue, f.of(h, x), string(x.Name))
			}
		}
	})
}
