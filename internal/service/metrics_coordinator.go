package service

import (
	"github.com/prometheus/client_golang/prometheus"

	"snowquay/internal/coordinator"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/frontend/eventloop"
)

// coordinatorCollector collects the metrics of a coordinator when they are scraped.
type coordinatorCollector struct {
	server  *eventloop.Server
	program *coordinator.Coordinator
}

// Describe implements prometheus.Collector. It describes nothing, since the set of metrics depends on the
// coordinator's settings.
func (c *coordinatorCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c *coordinatorCollector) Collect(out chan<- prometheus.Metric) {
	c.server.Do(func(now float64) {
		w := metricWriter{prefix: "snowquay_", out: out}
		w.writeFleet(c.program.Fleet)
		w.writeSASP(c.program)
		w.writeGroup(now, c.program)
		w.writeGraphite(c.program.GraphiteSender())
		w.writeLongPoll(c.program)
		w.writeLoadReports(c.program)
	})
}

func (w metricWriter) writeFleet(fleet *controlplane.Fleet) {
	queued, queuedPeak := fleet.QueuedEntries()
	stats := fleet.Stats
	w.gauge("relays_joined", "Relays that are joined.", float64(fleet.Joined()))
	w.gauge("relays_holding", "Relays known to hold the newest tables.", float64(fleet.UpToDate()))
	w.gauge("servers_known", "Servers on the roll, gone ones among them.", float64(fleet.Registry.Len()))
	w.gauge("waiting_lines", "Lines that wait in the channel.", queued)
	w.gauge("waiting_lines_peak", "The most that ever waited.", queuedPeak)
	w.counter("rounds", "Rounds of the decision module.", stats.Rounds)
	w.counter("rounds_idle", "Ticks in which nothing had come in.", stats.Idle)
	w.counter("messages", "Messages with weights.", stats.Messages)
	w.counter("lines", "Lines in them.", stats.Entries)
	w.counter("full_tables", "Messages with a whole table.", stats.FullTables)
	w.counter("relays_cut", "Relays cut off because they did not take a message.", stats.Disconnected)
	w.counter("relays_overdue", "Those for a drain.", stats.Overdue)
	w.counter("relays_defied", "Those whose reports showed that they did not follow a drain.", stats.Noncompliant)
	w.counter("tables_refused", "Tables that were refused, since they had no open, warm server left.", stats.TablesRejected)
	w.counter("keep_failed", "Records that could not be made durable.", stats.SaveFailures)
	w.counter("unsaid", "Levels and ways of repeating that SASP has no word for.", stats.AdmissionChanges)
}

func (w metricWriter) writeSASP(program *coordinator.Coordinator) {
	connections, buffered := program.SASP.Connections()
	stats := program.SASP.Stats
	w.gauge("connections", "SASP connections.", float64(connections))
	w.gauge("buffered_bytes", "Bytes of unfinished messages.", float64(buffered))
	w.counter("refused", "Messages refused with a response code.", stats.Rejected)
	w.counter("malformed", "Messages that could not be read.", stats.Malformed)
}

// writeGroup writes the metrics of a coordinator as a member of a group. It writes none if the coordinator is in no
// group.
func (w metricWriter) writeGroup(now float64, program *coordinator.Coordinator) {
	member := program.Member
	if member == nil || member.Group == nil {
		return
	}
	group := member.Group
	holdsLease := member.Failed == nil && group.Lease.Valid(now)
	w.gauge("group_lease", "1 while this coordinator may order.", boolGauge(holdsLease))
	w.gauge("group_epoch", "Epoch of who leads what.", float64(group.State.Epoch))
	w.gauge("group_living", "Coordinators that hold a lease.", float64(len(group.State.AliveMembers())))
	w.gauge("group_leader", "Number of the leader of consensus; 0: none is known.", float64(group.Node.Leader()))
	w.gauge("group_commit", "Entries agreed on.", float64(group.Node.CommitIndex()))
	w.gauge("group_drains", "Drains agreed on.", float64(len(group.State.Drains)))
	w.counter("group_moves", "Changes of who leads what.", group.Stats.OwnershipChanges)
	w.counter("group_drains_kept", "Drains told here and confirmed.", group.Stats.Confirmed)
	w.counter("group_drains_refused", "Drains told here on which nobody could agree in time.", group.Stats.Rejected)
	w.counter("group_dropped", "Commands that found no leader.", group.Stats.Dropped)
	w.counter("relays_evicted", "Relays that another coordinator leads now.", program.Fleet.Stats.Evicted)
}

func (w metricWriter) writeLongPoll(program *coordinator.Coordinator) {
	frontend := program.LongPoll
	parked, unacknowledged := frontend.Polls.Parked()
	stats := frontend.Polls.Stats
	w.gauge("polls_parked", "Polls that wait.", float64(parked))
	w.gauge("polls_unacknowledged", "Answers that no later poll has acknowledged.", float64(unacknowledged))
	w.gauge("poll_connections", "Connections of the long-poll API.", float64(frontend.Connections()))
	w.counter("polls", "Polls.", stats.Polls)
	w.counter("polls_refused", "Polls that were refused.", stats.Rejected)
	w.counter("poll_deltas", "Classes answered with what changed.", stats.Deltas)
	w.counter("poll_fulls", "Classes answered in full.", stats.FullTables)
	w.counter("poll_answers_lost", "Answers that did not arrive.", stats.LostAnswers)
}

func (w metricWriter) writeLoadReports(program *coordinator.Coordinator) {
	fleet := program.Fleet
	unknown := fleet.Stats.UnknownProxy + fleet.Stats.UnknownServer
	w.gauge("series", "Series of measurements.", float64(fleet.LoadReports.Len()))
	w.counter("measurements", "Measurement packets.", program.Collector.Packets)
	w.counter("measurements_garbled", "Those that could not be read.", program.Collector.Malformed)
	w.counter("measurements_unknown", "Values that name an unknown relay or server.", unknown)
	w.counter("measurements_old", "Values that were doubled or overtaken.", fleet.LoadReports.Rejected.Stale)
}
