package controlplane

import "snowquay/balancer"

// Guard names a safeguard. Tests disable a safeguard to show that the rule that it enforces is then broken. The rule
// numbers are those that the scenarios report.
type Guard string

// The safeguards.
const (
	// GuardRejoin discards the recorded table versions of a proxy when its connection ends (rule 1).
	GuardRejoin Guard = "rejoin"
	// GuardRetries excludes retry policies under which a request could take effect twice (rule 2).
	GuardRetries Guard = "repeats"
	// GuardPersistence stores drains, so that they survive a restart of the coordinator (rule 3).
	GuardPersistence Guard = "memory"
	// GuardWarmup treats a newly started server as warming up (rule 4).
	GuardWarmup Guard = "cold"
	// GuardPacing enforces the rate of the channel and the message limit of each proxy (rule 5).
	GuardPacing Guard = "pace"
	// GuardOverdue disconnects a proxy that does not acknowledge a drain in time (rule 3).
	GuardOverdue Guard = "overdue"
	// GuardVersions accepts the versions that a polling proxy reports only if this process sent them (rule 1).
	GuardVersions Guard = "versions"
	// GuardJoinRate limits how often one proxy joins (rule 3).
	GuardJoinRate Guard = "often"
	// GuardLastServers keeps the last entries of servers that are ready and warmed up in a table (rule 1).
	GuardLastServers Guard = "table"
	// GuardEntryCount counts each entry that the decision module changes once per class, as it is sent (rule 5).
	GuardEntryCount Guard = "lines"
	// GuardReports disconnects a proxy whose load reports show that it has not applied a drain (rule 3).
	GuardReports Guard = "reports"
)

// Guards lists all safeguards, starting with one per rule.
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

// SafeRetryPolicy returns the configured retry policy of a class, limited so that no request takes effect twice: a
// request that is not idempotent is retried only if it was not executed.
func SafeRetryPolicy(class balancer.RequestClass, wanted balancer.RetryPolicy, disabled map[Guard]bool) balancer.RetryPolicy {
	if class.Idempotency == balancer.Idempotent || disabled[GuardRetries] {
		return wanted
	}
	return min(wanted, balancer.RetryIfNotExecuted)
}
