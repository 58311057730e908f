package controlplane

import (
	"cmp"
	"slices"

	"snowquay/balancer"
)

// Stats counts what happened since the start.
type Stats struct {
	Rounds int // rounds in which the decision module was called
	Idle   int // rounds skipped, since nothing had come in

	Entries    int // table entries sent
	Messages   int // messages sent
	FullTables int // messages sent with a full table

	Disconnected int // proxies disconnected
	Stalled      int // for a message that was not acknowledged in time
	Overdue      int // for a drain that was not acknowledged in time
	Noncompliant int // for load reports against their tables

	AdmissionChanges int // admission rates and retry policies set
	UnknownProxy     int // load reports of unknown or disconnected proxies, or about unknown classes
	UnknownServer    int // reports about unknown servers
	SaveFailures     int // records that could not be stored
	HealthChecks     int // health checks that the decision module asked for
	LogMessages      int // log messages of the decision module
	TablesAssigned   int // tables assigned
	JoinsThrottled   int // joins refused for their rate
	TablesRejected   int // tables that would have been left without a ready server
	Evicted          int // proxies that another coordinator owns now
}

// ProxyStatus tells how far a joined proxy is.
type ProxyStatus struct {
	UID      string
	Zone     balancer.Zone
	Polls    bool // it fetches its tables by long polls
	UpToDate bool // it is known to hold the newest tables of all classes
	Urgent   bool // an urgent change, such as a drain, waits for it or is in flight
}

// ProxyStatuses lists the joined proxies by UID.
func (f *Fleet) ProxyStatuses() (statuses []ProxyStatus) {
	for _, proxy := range f.proxies {
		if !proxy.Joined {
			continue
		}
		statuses = append(statuses, ProxyStatus{
			UID:      proxy.UID,
			Zone:     proxy.Zone,
			Polls:    proxy.Polls,
			UpToDate: f.isUpToDate(proxy),
			Urgent:   proxy.urgent,
		})
	}
	slices.SortFunc(statuses, func(a, b ProxyStatus) int { return cmp.Compare(a.UID, b.UID) })
	return statuses
}

// isUpToDate tells whether a proxy has acknowledged the newest tables of all classes.
func (f *Fleet) isUpToDate(proxy *Proxy) bool {
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		if !state.Assigned || state.NeedsFull || state.AckedVersion != f.wantedVersion(state) {
			return false
		}
	}
	return true
}

// UpToDate counts the joined proxies that are known to hold the newest tables of all classes.
func (f *Fleet) UpToDate() int {
	count := 0
	for _, proxy := range f.proxies {
		if proxy.Joined && f.isUpToDate(proxy) {
			count++
		}
	}
	return count
}

// Joined is the number of joined proxies.
func (f *Fleet) Joined() int { return f.joinedCount }

// QueuedEntries is the number of table entries that wait for the channel, message overheads included, and the most that
// ever waited.
func (f *Fleet) QueuedEntries() (now, peak float64) { return f.sendQueue.TotalQueued() }
