package tenancy

// Costs of one of each, measured on this program (docs/hosting.md) and rounded up to the next half.
const (
	tenantBytes     = 48 << 10 // with its decision module, timers and frontends
	serverBytes     = 4 << 10  // in the registry and the decision module
	entryBytes      = 0.25e3   // of a table, for each class and server
	proxyBytes      = 8 << 10  // its table state, its connection and its place in the send queue
	seriesBytes     = 160      // of load reports
	connectionBytes = 6 << 10  // with its buffers in the event loop

	idleCPUSeconds    = 3e-6   // of a tick of a tenant in which nothing is due
	roundCPUSeconds   = 30e-6  // of a round, whatever its size
	serverCPUSeconds  = 4e-6   // further, for each server in the registry
	proxyCPUSeconds   = 2.5e-6 // further, for each joined proxy
	messageCPUSeconds = 8e-6   // of a message
	entryCPUSeconds   = 0.2e-6 // of an entry in a message
	byteCPUSeconds    = 8e-9   // of a received byte, to parse and process it
	receiveCPUSeconds = 5e-6   // of a receipt, however short

	ticksPerSecond   = 50.0 // of a tenant with connections
	minReportSeconds = 0.05 // least reporting period counted
)

// Size is how large a tenant may become, by its limits.
type Size struct {
	Classes          int
	Servers          int
	Proxies          int // proxies
	Series           int // of load reports
	Connections      int
	BufferedBytes    int     // bytes of unfinished messages
	EntriesPerSecond float64 // table entries per second
	ReportingPeriod  float64 // seconds between two load reports
}

// DefaultSize is the size of a tenant whose settings state no limits. It has room for twice what is listed, since all of
// that may be replaced at once.
func DefaultSize(listed Size) Size {
	size := listed
	size.Servers = max(2*listed.Servers, 16)
	size.Proxies = max(2*listed.Proxies, 16)
	size.Series = size.Proxies * (size.Servers + size.Classes)
	size.Connections = 3*size.Proxies + 2*size.Servers + 16     // a proxy's old, present and next one; a server's and its agent's
	size.BufferedBytes = 256<<10 + 64*size.Servers*size.Classes // half of a large message, and a registration of all servers
	return size
}

// RequirementsFor is what a tenant of a size requires. A host that admits no more than it has can be asked for all of it
// at once.
func RequirementsFor(size Size) Requirements {
	servers := float64(size.Servers)
	proxies := float64(size.Proxies)
	return Requirements{
		Memory: tenantBytes + servers*serverBytes + servers*float64(size.Classes)*entryBytes + proxies*proxyBytes +
			float64(size.Series)*seriesBytes + float64(size.Connections)*connectionBytes + float64(size.BufferedBytes),
		EntriesPerSecond: size.EntriesPerSecond,
		Connections:      float64(size.Connections),
		// One round in each reporting period, and a channel full of messages of one entry.
		CPU: ticksPerSecond*idleCPUSeconds +
			(roundCPUSeconds+servers*serverCPUSeconds+proxies*proxyCPUSeconds)/max(size.ReportingPeriod, minReportSeconds) +
			size.EntriesPerSecond*messageCPUSeconds/2,
	}
}

// Usage is what a tenant did in one tick, or what was received for it.
type Usage struct {
	Rounds      int
	Messages    int
	Entries     int // table entries in the messages
	Servers     int // in each round
	Proxies     int // proxies in each round
	Bytes       int // received
	InputEvents int // receipts
}

// CPUSeconds estimates the CPU time of a usage. It is not measured, so that the scheduling of tenants depends on events
// only and a seeded run can be repeated. A benchmark checks the costs.
func (u Usage) CPUSeconds() float64 {
	rounds := float64(u.Rounds)
	return idleCPUSeconds +
		rounds*(roundCPUSeconds+float64(u.Servers)*serverCPUSeconds+float64(u.Proxies)*proxyCPUSeconds) +
		float64(u.Messages)*messageCPUSeconds +
		float64(u.Entries)*entryCPUSeconds + float64(u.Bytes)*byteCPUSeconds + float64(u.InputEvents)*receiveCPUSeconds
}
