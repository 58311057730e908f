package tablecheck

import (
	"fmt"

	"snowquay/balancer"
)

// Violation is what is wrong with a table.
type Violation int

// The violations, worst first. docs/design.md tells which rule gives way where not all can be kept.
const (
	EmptyTable     Violation = iota + 1 // a proxy could have no server for a class that is ready and warmed up
	DrainingServer                      // a proposed table has an entry of a server that drains or is removed
	Overload                            // a pool could be sent more than its capacity
	UnknownServer                       // a table has an entry of an unknown server, or an invalid weight
)

// Finding is a reason why tables must not be published.
type Finding struct {
	Violation Violation
	LostZone  balancer.Zone // the zone that is lost, or NoZone

	// Of EmptyTable, DrainingServer and UnknownServer.
	UID    string
	Class  balancer.Class
	Server balancer.Server // not of EmptyTable

	// Of Overload.
	Pool     string
	Load     float64 // the most that the pool could be sent, in requests per second
	Capacity float64 // in requests per second
}

// String describes the finding for the callers of the administration API.
func (f Finding) String() string {
	lost := ""
	if f.LostZone >= 0 {
		lost = fmt.Sprintf(", with zone %d lost", f.LostZone)
	}
	switch f.Violation {
	case EmptyTable:
		return fmt.Sprintf("proxy %q could have no open, warm server for class %d%s", f.UID, f.Class, lost)
	case DrainingServer:
		return fmt.Sprintf("proxy %q would send class %d to %s, which takes none", f.UID, f.Class, f.Server)
	case UnknownServer:
		return fmt.Sprintf("the table of proxy %q for class %d names %s, which is not known, or with a weight that is none",
			f.UID, f.Class, f.Server)
	}
	return fmt.Sprintf("pool %q could be sent %.1f queries a second and can take %.1f%s", f.Pool, f.Load, f.Capacity, lost)
}
