// Package service runs a coordinator for good: sockets, store, metrics, traces.
package service

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"snowquay/balancer"
	"snowquay/internal/consensus"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/spool"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/feed/graphite"
	"snowquay/internal/frontend/admin"
	"snowquay/internal/frontend/eventloop"
	"snowquay/internal/settings"
	"snowquay/internal/store"
)

const (
	headWithin  = 5 * time.Second       // for a scraper to say what it wants
	leaveWithin = 2 * time.Second       // for a coordinator that ends to tell those it shares its fleet with
	leaveAsk    = 20 * time.Millisecond // between two looks whether they know
)

// Serve runs a coordinator until something comes on stop.
func Serve(c *settings.Coordinator, log *slog.Logger, stop <-chan os.Signal) (err error) {
	var records coordinator.Store
	if c.Store != "" {
		var s *store.FileStore
		if s, err = store.Open(c.Store); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, s.Close()) }()
		records = s
	}
	part, err := openGroup(c.Group, c.GroupStore)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, part.close()) }()
	c.Storage, c.Incarnation, c.OnFail = part.disk, part.life, part.fail
	watch := newWatch(keptSpans)
	c.Log, c.OnMessageTrace = log, watch.order
	clock := eventloop.Clock()
	program, err := coordinator.New(clock(), c.Config, records)
	if err != nil {
		return err
	}
	server, err := eventloop.Listen(program, append(c.Ports(), part.ports...), c.Measurements, clock)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, server.Stop()) }()
	log.Info("coordinator runs", "sasp", c.SASP, "http", c.HTTP, "measurements", c.Measurements, "store", c.Store,
		"servers", len(c.Site.Servers), "classes", len(c.Site.Classes))
	if c.Metrics.IsValid() {
		watch.registry.MustRegister(&state{server: server, program: program})
		mux := metrics(watch.registry)
		mux.HandleFunc("GET /orders", watch.recent)
		var h *http.Server
		if h, err = beside("metrics", c.Metrics, mux, log); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, shut(h)) }()
	}
	if c.Admin.IsValid() {
		own := &administered{server: server, program: program, watch: watch}
		if err = own.Set("", c.Callers); err != nil {
			return err
		}
		api := admin.New(clock(), own, log.Info)
		var h *http.Server
		if h, err = beside("administration", c.Admin, api, log); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, h.Close()) }()
	}
	select {
	case s := <-stop:
		log.Info("coordinator ends", "signal", s.String())
	case err := <-part.failed: // proxies dial another one; whoever looks after processes starts it again, or says why not
		return err
	}
	leave(server, program.Leave)
	return nil
}

// groupPart is what this process is in a group, if it is in one.
type groupPart struct {
	disk   consensus.Storage
	life   uint64
	ports  []netip.AddrPort // on which the others dial it
	failed chan error
	file   *consensus.FileStorage
}

// openGroup opens what a member of a group must not forget; without a group there is nothing to open.
func openGroup(g *coordinator.GroupConfig, store string) (*groupPart, error) {
	p := &groupPart{failed: make(chan error, 1)}
	if g == nil {
		return p, nil
	}
	f, err := consensus.OpenFileStorage(store, consensus.ID(g.Self))
	if err != nil {
		return nil, err
	}
	p.file, p.disk, p.life, p.ports = f, f, consensus.RandomID(), []netip.AddrPort{g.Members[g.Self]}
	return p, nil
}

func (p *groupPart) fail(err error) { p.failed <- err } // once, and there is room

func (p *groupPart) close() error {
	if p.file == nil {
		return nil
	}
	return p.file.Close()
}

// beside serves HTTP beside the event loop.
func beside(what string, at netip.AddrPort, handler http.Handler, log *slog.Logger) (*http.Server, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", what, err)
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: headWithin}
	go func() {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error(what, "error", err)
		}
	}()
	return h, nil
}

// shut ends such a server once its answers are written.
func shut(h *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), headWithin)
	defer cancel()
	return h.Shutdown(ctx)
}

// metrics is where a registry is read.
func metrics(registry *prometheus.Registry) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}

// spooled are the figures of what is sent to a receiver of figures.
func spooled(f *graphite.Sender, gauge func(name, help string, v float64), count func(name, help string, v int)) {
	if f == nil {
		return
	}
	samples, values := f.Len()
	here := 0.0
	if f.State() == spool.Connected {
		here = 1
	}
	gauge("graphite_reached", "1 while the receiver of figures is connected.", here)
	gauge("graphite_waiting_samples", "Samples that wait for it.", float64(samples))
	gauge("graphite_waiting_values", "Values in them.", float64(values))
	gauge("graphite_coarsest_seconds", "Seconds that the coarsest of them stands for.", f.Coarsest())
	count("graphite_samples", "Samples made.", f.Stats.Samples)
	count("graphite_merged", "Times that two samples became one, for want of room.", f.Stats.Merged)
	count("graphite_broken", "Connections that broke with samples on their way.", f.Disconnects)
	count("graphite_left", "Figures left out: too many series, or no room.", f.SeriesDropped+f.Stats.Dropped)
}

// figures are how a collector hands out gauges and counters whose names start alike.
func figures(prefix string, out chan<- prometheus.Metric) (gauge func(name, help string, v float64), count func(name, help string, v int)) {
	put := func(kind prometheus.ValueType, name, help string, v float64) {
		out <- prometheus.MustNewConstMetric(prometheus.NewDesc(prefix+name, help, nil, nil), kind, v)
	}
	return func(name, help string, v float64) { put(prometheus.GaugeValue, name, help, v) },
		func(name, help string, v int) { put(prometheus.CounterValue, name+"_total", help, float64(v)) }
}

// administered is a coordinator as its administration API sees it.
type administered struct {
	authz.Credentials
	server  *eventloop.Server
	program *coordinator.Coordinator
	watch   *watch
}

// Do of admin.Program.
func (a *administered) Do(f func(now float64)) { a.server.Do(f) }

// Fleet of admin.Program.
func (a *administered) Fleet(tenancy.Name) (*controlplane.Fleet, bool) { return a.program.Fleet, true }

// MessageTraces of admin.Program.
func (a *administered) MessageTraces(_ tenancy.Name, relay string) []map[string]any {
	return a.watch.latest.of("", relay)
}

// Drain of admin.Program.
func (a *administered) Drain(now float64, _ tenancy.Name, s balancer.Server, on bool, done func(ok bool)) {
	a.program.RequestDrain(now, s, on, done)
}

// state reads a coordinator's figures when they are asked for.
type state struct {
	server  *eventloop.Server
	program *coordinator.Coordinator
}

// Describe of prometheus.Collector: it is unchecked, since its figures are read from the coordinator as it is.
func (s *state) Describe(chan<- *prometheus.Desc) {}

// Collect of prometheus.Collector.
func (s *state) Collect(out chan<- prometheus.Metric) {
	s.server.Do(func(now float64) {
		f, d, m := s.program.Fleet, s.program.SASP, s.program.Collector
		gauge, count := figures("snowquay_", out)
		conns, buffered := d.Connections()
		waiting, peak := f.QueuedEntries()
		gauge("relays_joined", "Relays that are joined.", float64(f.Joined()))
		gauge("relays_holding", "Relays known to hold the newest tables.", float64(f.UpToDate()))
		gauge("servers_known", "Servers on the roll, gone ones among them.", float64(f.Registry.Len()))
		gauge("connections", "SASP connections.", float64(conns))
		gauge("buffered_bytes", "Bytes of unfinished messages.", float64(buffered))
		gauge("waiting_lines", "Lines that wait in the channel.", waiting)
		gauge("waiting_lines_peak", "The most that ever waited.", peak)
		gauge("series", "Series of measurements.", float64(f.LoadReports.Len()))
		count("rounds", "Rounds of the decision module.", f.Stats.Rounds)
		count("rounds_idle", "Ticks in which nothing had come in.", f.Stats.Idle)
		count("messages", "Messages with weights.", f.Stats.Messages)
		count("lines", "Lines in them.", f.Stats.Entries)
		count("full_tables", "Messages with a whole table.", f.Stats.FullTables)
		count("relays_cut", "Relays cut off because they did not take a message.", f.Stats.Disconnected)
		count("relays_overdue", "Those for a drain.", f.Stats.Overdue)
		count("relays_defied", "Those whose reports showed that they did not follow a drain.", f.Stats.Noncompliant)
		count("tables_refused", "Tables that were refused, since they had no open, warm server left.", f.Stats.TablesRejected)
		count("keep_failed", "Records that could not be made durable.", f.Stats.SaveFailures)
		count("unsaid", "Levels and ways of repeating that SASP has no word for.", f.Stats.AdmissionChanges)
		if m := s.program.Member; m != nil && m.Group != nil {
			g, leads := m.Group, 0.0
			if m.Failed == nil && g.Lease.Valid(now) {
				leads = 1
			}
			gauge("group_lease", "1 while this coordinator may order.", leads)
			gauge("group_epoch", "Epoch of who leads what.", float64(g.State.Epoch))
			gauge("group_living", "Coordinators that hold a lease.", float64(len(g.State.AliveMembers())))
			gauge("group_leader", "Number of the leader of consensus; 0: none is known.", float64(g.Node.Leader()))
			gauge("group_commit", "Entries agreed on.", float64(g.Node.CommitIndex()))
			gauge("group_drains", "Drains agreed on.", float64(len(g.State.Drains)))
			count("group_moves", "Changes of who leads what.", g.Stats.OwnershipChanges)
			count("group_drains_kept", "Drains told here and confirmed.", g.Stats.Confirmed)
			count("group_drains_refused", "Drains told here on which nobody could agree in time.", g.Stats.Rejected)
			count("group_dropped", "Commands that found no leader.", g.Stats.Dropped)
			count("relays_evicted", "Relays that another coordinator leads now.", f.Stats.Evicted)
		}
		spooled(s.program.GraphiteSender(), gauge, count)
		h := s.program.LongPoll
		parked, underWay := h.LongPoll.Parked()
		gauge("polls_parked", "Polls that wait.", float64(parked))
		gauge("polls_unacknowledged", "Answers that no later poll has acknowledged.", float64(underWay))
		gauge("poll_connections", "Connections of the long-poll API.", float64(h.Connections()))
		count("polls", "Polls.", h.LongPoll.Stats.Polls)
		count("polls_refused", "Polls that were refused.", h.LongPoll.Stats.Rejected)
		count("poll_deltas", "Classes answered with what changed.", h.LongPoll.Stats.Deltas)
		count("poll_fulls", "Classes answered in full.", h.LongPoll.Stats.Full)
		count("poll_answers_lost", "Answers that did not arrive.", h.LongPoll.Stats.Lost)
		count("refused", "Messages refused with a response code.", d.Stats.Rejected)
		count("malformed", "Messages that could not be read.", d.Stats.Malformed)
		count("measurements", "Measurement packets.", m.Packets)
		count("measurements_garbled", "Those that could not be read.", m.Malformed)
		count("measurements_unknown", "Values that name an unknown relay or server.", f.Stats.UnknownProxy+
			f.Stats.UnknownServer)
		count("measurements_old", "Values that were doubled or overtaken.", f.LoadReports.Rejected.Stale)
	})
}
