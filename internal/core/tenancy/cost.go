package tenancy

// Costs per unit, measured on this program (docs/hosting.md) and rounded up to the next half.
const (
	tenantBytes     = 48 << 10 // per tenant: its decision module, timers and frontends
	serverBytes     = 4 << 10  // per server: in the registry and the decision module
	entryBytes      = 0.25e3   // per table entry: one for each class and server
	proxyBytes      = 8 << 10  // per proxy: its table state, connection and place in the send queue
	seriesBytes     = 160      // per series of load reports
	connectionBytes = 6 << 10  // per connection: with its buffers in the event loop

	idleCPUSeconds       = 3e-6   // per tick of a tenant in which nothing is due
	roundCPUSeconds      = 30e-6  // per round, independent of its size
	serverCPUSeconds     = 4e-6   // additional cost of a round per server in the registry
	proxyCPUSeconds      = 2.5e-6 // additional cost of a round per joined proxy
	messageCPUSeconds    = 8e-6   // per message
	entryCPUSeconds      = 0.2e-6 // per table entry in a message
	byteCPUSeconds       = 8e-9   // per received byte: parsing and processing
	inputEventCPUSeconds = 5e-6   // per input event, even without data

	ticksPerSecond   = 50.0 // ticks of a tenant that has connections
	minReportSeconds = 0.05 // lower bound of the reporting period in estimates
)

// Size is the maximum size of a tenant, according to its limits.
type Size struct {
	Classes          int
	Servers          int
	Proxies          int // maximum number of proxies
	Series           int // series of load reports
	Connections      int
	BufferedBytes    int     // bytes of unfinished messages
	EntriesPerSecond float64 // table entries per second
	ReportingPeriod  float64 // seconds between two load reports
}

// DefaultSize returns the size of a tenant whose settings specify no limits. It allows for twice the listed servers and
// proxies, since all of them may be replaced at once.
func DefaultSize(listed Size) Size {
	size := listed
	size.Servers = max(2*listed.Servers, 16)
	size.Proxies = max(2*listed.Proxies, 16)
	size.Series = size.Proxies * (size.Servers + size.Classes)
	size.Connections = 3*size.Proxies + 2*size.Servers + 16     // a proxy's previous, current and next connection; a server's and its agent's
	size.BufferedBytes = 256<<10 + 64*size.Servers*size.Classes // half of a large message plus a registration of all servers
	return size
}

// RequirementsFor returns the requirements of a tenant of the given size. They cover the use of all its resources at once, so
// a host that admits tenants only within its capacity can provide them to all tenants at the same time.
func RequirementsFor(size Size) Requirements {
	servers := float64(size.Servers)
	proxies := float64(size.Proxies)
	return Requirements{
		Memory: tenantBytes + servers*serverBytes + servers*float64(size.Classes)*entryBytes + proxies*proxyBytes +
			float64(size.Series)*seriesBytes + float64(size.Connections)*connectionBytes + float64(size.BufferedBytes),
		EntriesPerSecond: size.EntriesPerSecond,
		Connections:      float64(size.Connections),
		// One round per reporting period, and a channel at its full rate with messages of one entry each.
		CPU: ticksPerSecond*idleCPUSeconds +
			(roundCPUSeconds+servers*serverCPUSeconds+proxies*proxyCPUSeconds)/max(size.ReportingPeriod, minReportSeconds) +
			size.EntriesPerSecond*messageCPUSeconds/2,
	}
}

// Usage counts the work of a tenant in one tick, or the work caused by an input event.
type Usage struct {
	Rounds      int
	Messages    int
	Entries     int // table entries in the messages
	Servers     int // servers in each round
	Proxies     int // proxies in each round
	Bytes       int // received bytes
	InputEvents int // received data, datagrams and closed connections
}

// CPUSeconds estimates the CPU time of the usage. The CPU time is not measured at run time, so that the scheduling of tenants
// depends only on events and a seeded run is reproducible. A benchmark checks the costs per unit.
func (u Usage) CPUSeconds() float64 {
	rounds := float64(u.Rounds)
	return idleCPUSeconds +
		rounds*(roundCPUSeconds+float64(u.Servers)*serverCPUSeconds+float64(u.Proxies)*proxyCPUSeconds) +
		float64(u.Messages)*messageCPUSeconds +
		float64(u.Entries)*entryCPUSeconds + float64(u.Bytes)*byteCPUSeconds + float64(u.InputEvents)*inputEventCPUSeconds
}
