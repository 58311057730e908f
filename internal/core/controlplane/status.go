package controlplane

import (
	"cmp"
	"slices"

	"snowquay/balancer"
)

// Stats counts events since the start.
type Stats struct {
	Rounds int // rounds in which the decision module was called
	Idle   int // rounds skipped because there were no events

	Entries    int // table entries sent
	Messages   int // messages sent
	FullTables int // messages sent with a full table

	Disconnected int // proxies disconnected
	Stalled      int // proxies disconnected for a message not acknowledged in time
	Overdue      int // proxies disconnected for a drain not acknowledged in time
	Noncompliant int // proxies disconnected for load reports that contradict their tables

	AdmissionChanges int // admission rates and retry policies set
	UnknownProxy     int // load reports from unknown or disconnected proxies, or about unknown classes
	UnknownServer    int // reports about unknown servers
	SaveFailures     int // failed attempts to store records
	HealthChecks     int // health checks requested by the decision module
	LogMessages      int // log messages of the decision module
	TablesAssigned   int // tables assigned
	JoinsThrottled   int // joins refused by the rate limit
	TablesRejected   int // tables whose removed entries were restored, since they would have had no ready server
	Evicted          int // joined proxies evicted: owned by another coordinator now, or no longer listed with the same configuration
}

// ProxyStatus is the update status of a joined proxy.
type ProxyStatus struct {
	UID      string
	Zone     balancer.Zone
	Polls    bool // fetches its tables by long polls
	UpToDate bool // known to hold the newest tables of all classes
	Urgent   bool // an urgent change, such as a drain, is pending or in flight
}

// ProxyStatuses returns the status of all joined proxies, sorted by UID.
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

// isUpToDate reports whether a proxy has acknowledged the newest tables of all classes.
func (f *Fleet) isUpToDate(proxy *Proxy) bool {
	for class := range proxy.Tables {
		state := &proxy.Tables[class]
		if !state.Assigned || state.NeedsFull || state.AckedVersion != f.wantedVersion(state) {
			return false
		}
	}
	return true
}

// UpToDate returns the number of joined proxies that are known to hold the newest tables of all classes.
func (f *Fleet) UpToDate() int {
	count := 0
	for _, proxy := range f.proxies {
		if proxy.Joined && f.isUpToDate(proxy) {
			count++
		}
	}
	return count
}

// Joined returns the number of joined proxies.
func (f *Fleet) Joined() int { return f.joinedCount }

// QueuedEntries returns the number of table entries that are queued for the channel, including message overhead, and the
// peak of that number.
func (f *Fleet) QueuedEntries() (now, peak float64) { return f.sendQueue.TotalQueued() }
