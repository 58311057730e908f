package scenario

import (
	"fmt"
	"io"
	"math"
	"net/netip"
	"strings"

	"snowquay/internal/coordinator"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/emulator"
)

const (
	ruleCount              = 5 // number of rules of the invariant checker
	maxPrintedViolations   = 3 // tenants printed for each broken rule
	maxPrintedTenantErrors = 2 // protocol errors printed for each tenant
	maxPrintedProblems     = 10
	noDrain                = -1 // drain time of a tenant without a drain
)

// TenantResult is the result of one tenant of a hosted scenario.
type TenantResult struct {
	Name           tenancy.Name
	Verdicts       []emulator.Verdict
	Service        float64 // fraction of the requests answered on time, weighted by priority weight
	ForeignEntries int     // servers of other tenants that its relays named, sent to or had in their tables
	ProtocolErrors []string
	LongestWait    float64 // longest time in seconds that the tenant was due and waited for its turn
	Work           float64 // seconds of work that the schedulers charged to the tenant
	DrainTime      float64 // seconds until no relay sent to the draining server any more; negative: no drain was ordered
}

// HostedResult is the result of a hosted scenario. Service is that of emulated servers.
type HostedResult struct {
	Tenants      []TenantResult
	Host         coordinator.HostStats
	Scheduler    SchedulerStats
	UpdatedAfter float64 // seconds from the latest start of a host until all relays had received their tables; 0: never
	Events       int     // events that the virtual network processed
	Rejected     map[tenancy.RejectReason]int
	Memory       float64 // memory that the tenants require of the first host
	Problems     []string
}

// SchedulerStats counts the turns that the schedulers of all hosts granted.
type SchedulerStats struct {
	Turns           int
	Urgent          int
	BudgetExhausted int // times that no tenant got a turn although some were due
}

// Kept reports whether all rules were kept for all tenants, no tenant received an entry of another, and no problem
// occurred.
func (r *HostedResult) Kept() bool {
	for _, tenant := range r.Tenants {
		if tenant.ForeignEntries > 0 || !allKept(tenant.Verdicts) {
			return false
		}
	}
	return len(r.Problems) == 0
}

// finish collects the result of a run.
func (r *hostedRun) finish() {
	for _, instance := range r.hosts {
		if instance.running {
			r.addStats(instance)
		}
	}
	for _, tenant := range r.tenants {
		r.result.Tenants = append(r.result.Tenants, r.tenantResult(tenant))
	}
	r.result.Memory = r.hosts[0].program.Directory.Used().Memory
	if r.virtual != nil {
		r.result.Events = r.virtual.Events
	}
}

func (r *hostedRun) tenantResult(tenant *hostedTenant) TenantResult {
	result := TenantResult{
		Name:           tenant.name,
		Verdicts:       tenant.checker.Verdicts(),
		Service:        tenant.checker.Service(),
		ForeignEntries: tenant.foreignEntries(),
		ProtocolErrors: tenant.checker.ProtocolErrors,
		DrainTime:      noDrain,
	}
	if tenant.drainedAt > 0 {
		result.DrainTime = tenant.checker.LatestAfterDrain()
	}
	for _, instance := range r.hosts {
		work, longestWait := instance.program.Scheduler.Usage(tenant.name)
		result.Work += work
		result.LongestWait = max(result.LongestWait, longestWait)
	}
	return result
}

// foreignEntries returns the number of servers of other tenants that the tenant's relays named, sent to or have in
// their tables.
func (t *hostedTenant) foreignEntries() int {
	own := map[netip.AddrPort]bool{}
	for _, server := range t.servers {
		own[server.Addr] = true
	}
	named := t.checker.Servers()
	for _, relay := range t.relays {
		named = append(named, relay.TableServers()...)
	}
	foreign := 0
	for _, address := range named {
		if !own[address] {
			foreign++
		}
	}
	return foreign
}

// hostedSummary aggregates the results of all tenants for printing.
type hostedSummary struct {
	worstService   float64
	bestService    float64
	serviceSum     float64
	foreignEntries int
	longestWait    float64 // longest time in seconds that any tenant waited for its turn
	drainTime      float64 // longest drain time of any tenant in seconds
}

func (r *HostedResult) summarize() hostedSummary {
	summary := hostedSummary{worstService: math.Inf(1)}
	for _, tenant := range r.Tenants {
		summary.worstService = min(summary.worstService, tenant.Service)
		summary.bestService = max(summary.bestService, tenant.Service)
		summary.serviceSum += tenant.Service
		summary.foreignEntries += tenant.ForeignEntries
		summary.longestWait = max(summary.longestWait, tenant.LongestWait)
		summary.drainTime = max(summary.drainTime, tenant.DrainTime)
	}
	return summary
}

// Print writes the result as text.
func (r *HostedResult) Print(w io.Writer) error {
	var text strings.Builder
	broken := r.printTenants(&text)
	for rule := 1; rule <= ruleCount; rule++ {
		fmt.Fprintf(&text, "rule %d  kept by %d of %d tenants\n", rule, len(r.Tenants)-broken[rule], len(r.Tenants))
	}
	summary := r.summarize()
	mean := summary.serviceSum / float64(max(len(r.Tenants), 1))
	fmt.Fprintf(&text, "lines to servers of other tenants: %d\n", summary.foreignEntries)
	fmt.Fprintf(&text, "service %.3f on average, %.3f at the worst tenant, %.3f at the best (simulated servers)\n",
		mean, summary.worstService, summary.bestService)
	fmt.Fprintf(&text, "all relays of all tenants told their tables %.2f s after the host's start\n", r.UpdatedAfter)
	fmt.Fprintf(&text, "%d turns, %d of them urgent; nobody had one %d times though some were due; the longest that a tenant waited %.0f ms\n",
		r.Scheduler.Turns, r.Scheduler.Urgent, r.Scheduler.BudgetExhausted, summary.longestWait*millisecondsPerSecond)
	if summary.drainTime > 0 {
		fmt.Fprintf(&text, "last query to a server that drains %.2f s after it was ordered\n", summary.drainTime)
	}
	r.printRejections(&text)
	for _, problem := range r.Problems[:min(len(r.Problems), maxPrintedProblems)] {
		fmt.Fprintf(&text, "  %s\n", problem)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// printTenants writes the broken rules and protocol errors of each tenant. It returns by rule the number of tenants
// that broke it.
func (r *HostedResult) printTenants(text *strings.Builder) map[int]int {
	broken := map[int]int{}
	for _, tenant := range r.Tenants {
		for _, verdict := range tenant.Verdicts {
			if verdict.Kept {
				continue
			}
			broken[verdict.Rule]++
			if broken[verdict.Rule] <= maxPrintedViolations {
				fmt.Fprintf(text, "%s: rule %d BROKEN: %s\n", tenant.Name, verdict.Rule, strings.Join(verdict.Reasons, "; "))
			}
		}
		for _, message := range tenant.ProtocolErrors[:min(len(tenant.ProtocolErrors), maxPrintedTenantErrors)] {
			fmt.Fprintf(text, "%s: seen: %s\n", tenant.Name, message)
		}
	}
	return broken
}

// printedRejections lists the reasons for rejected connections in the order in which they are printed.
var printedRejections = []tenancy.RejectReason{
	tenancy.TooManyUnidentified, tenancy.IdentifyTimedOut, tenancy.MalformedIdentity, tenancy.UnknownTenant,
	tenancy.TenantStarting, tenancy.TenantConnectionsFull, tenancy.AcceptRateExceeded, tenancy.NetworkNotAllowed,
}

func (r *HostedResult) printRejections(text *strings.Builder) {
	for _, reason := range printedRejections {
		if count := r.Rejected[reason]; count > 0 {
			fmt.Fprintf(text, "%d connections refused: %s\n", count, reason)
		}
	}
}
