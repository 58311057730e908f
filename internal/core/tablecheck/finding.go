package tablecheck

import (
	"fmt"

	"snowquay/balancer"
)

// Violation is a kind of rule violation by weight tables.
type Violation int

// The violations, most severe first. docs/design.md states which rule takes precedence if not all can be satisfied.
const (
	EmptyTable     Violation = iota + 1 // a proxy could have no ready and warmed-up server for a class
	DrainingServer                      // a proposed table has an entry of a draining or removed server
	Overload                            // a pool could receive more requests than its capacity
	UnknownServer                       // a table has an entry of an unknown server, or an invalid weight
)

// Finding is a reason not to publish weight tables.
type Finding struct {
	Violation Violation
	LostZone  balancer.Zone // zone assumed to be lost, or NoZone

	// Set for EmptyTable, DrainingServer and UnknownServer.
	UID    string
	Class  balancer.Class
	Server balancer.Server // not set for EmptyTable

	// Set for Overload.
	Pool     string
	Load     float64 // maximum load that the pool could receive, in requests per second
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
		return fmt.Sprintf("proxy %q would send requests of class %d to %s, which is draining or removed", f.UID, f.Class, f.Server)
	case UnknownServer:
		return fmt.Sprintf("the table of proxy %q for class %d has an entry for %s, which is unknown or has an invalid weight",
			f.UID, f.Class, f.Server)
	}
	return fmt.Sprintf("pool %q could receive %.1f requests per second and has a capacity of %.1f%s", f.Pool, f.Load, f.Capacity, lost)
}
