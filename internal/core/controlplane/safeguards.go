package controlplane

import "snowquay/balancer"

// Guard names a safeguard. Tests disable one to show that the rule behind it is then broken. Rules have the numbers by which
// the scenarios report them.
type Guard string

// The safeguards.
const (
	// GuardRejoin forgets what a proxy holds when its connection ends (rule 1).
	GuardRejoin Guard = "rejoin"
	// GuardRetries allows no retry policy by which a request could take effect twice (rule 2).
	GuardRetries Guard = "repeats"
	// GuardPersistence stores drains, so that they survive a restart of the coordinator (rule 3).
	GuardPersistence Guard = "memory"
	// GuardWarmup treats a server that starts as warming up (rule 4).
	GuardWarmup Guard = "cold"
	// GuardPacing keeps to the rate of the channel and to the message limit of each proxy (rule 5).
	GuardPacing Guard = "pace"
	// GuardOverdue disconnects a proxy that does not acknowledge a drain in time (rule 3).
	GuardOverdue Guard = "overdue"
	// GuardVersions counts a polling proxy's versions only if they were sent by this process (rule 1).
	GuardVersions Guard = "versions"
	// GuardJoinRate limits how often one proxy joins (rule 3).
	GuardJoinRate Guard = "often"
	// GuardLastServers publishes no table without an entry of a server that is ready and warmed up (rule 1).
	GuardLastServers Guard = "table"
	// GuardEntryCount counts the entries that the decision module changes once for each class, as they are sent (rule 5).
	GuardEntryCount Guard = "lines"
	// GuardReports disconnects a proxy whose load reports show that it does not apply a drain (rule 3).
	GuardReports Guard = "reports"
)

// Guards lists all safeguards, one for each rule first.
var Guards = []Guard{
	GuardRejoin,
	GuardRetries,
	GuardPersistence,
	GuardWarmup,
	GuardPacing,
	GuardOverdue,
	GuardReports,
	GuardVersions,
	GuardJoinRate,
	GuardLastServers,
	GuardEntryCount,
}

// SafeRetryPolicy limits the retry policy that the settings want for a class to what cannot take effect twice: a request
// that is not idempotent is retried only if it was not executed.
func SafeRetryPolicy(class balancer.RequestClass, wanted balancer.RetryPolicy, disabled map[Guard]bool) balancer.RetryPolicy {
	if class.Idempotency == balancer.Idempotent || disabled[GuardRetries] {
		return wanted
	}
	return min(wanted, balancer.RetryIfNotExecuted)
}
