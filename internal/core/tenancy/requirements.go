package tenancy

import "math"

const (
	// maxRequirement is the maximum of each requirement. It exceeds the capacity of any host, and sums of 20,000 such values
	// are finite.
	maxRequirement = 1 << 50

	// requirementPrecision is the number of steps per CPU core and per entry per second to which requirements are rounded.
	requirementPrecision = 1 << 20

	// capacityTolerance is the relative tolerance for rounding errors in sums of requirements.
	capacityTolerance = 1e-9
)

// Requirements holds the resources of the host that a tenant uses when it is as large and as busy as its limits allow.
type Requirements struct {
	Memory           float64 `json:"memory"`      // bytes
	EntriesPerSecond float64 `json:"lines"`       // table entries per second on the channel
	Connections      float64 `json:"connections"` // open at the same time
	CPU              float64 `json:"work"`        // CPU seconds per second
}

// Capacity holds the resources that a host has for all its tenants. The sum of their requirements must fit into it. CPU time
// may be overcommitted: it is shared on demand, and a tenant that requests more than its share waits.
type Capacity struct {
	Requirements
	CPUOvercommit float64 // factor by which the sum of required CPU time may exceed the available CPU time
	MaxTenants    int
}

// DefaultCapacity is the capacity of a host with four cores and 8 GiB for tenants, where all tenants run on one of the cores.
var DefaultCapacity = Capacity{
	Requirements: Requirements{
		Memory:           8 << 30,
		EntriesPerSecond: 500e3,
		Connections:      200e3,
		CPU:              0.7,
	},
	CPUOvercommit: 4,
	MaxTenants:    20000,
}

// fits returns an error that wraps ErrNoCapacity if a tenant's requirements exceed the capacity that the other tenants leave.
func (c Capacity) fits(used, required Requirements) error {
	available := c.Requirements
	available.CPU *= c.CPUOvercommit
	return required.CheckWithin(available.minus(used))
}

// CheckWithin returns an error that wraps ErrNoCapacity if some requirement exceeds the available resources.
func (r Requirements) CheckWithin(available Requirements) error {
	for _, resource := range [...]struct {
		name      string
		required  float64
		available float64
	}{
		{"bytes of memory", r.Memory, available.Memory},
		{"lines a second", r.EntriesPerSecond, available.EntriesPerSecond},
		{"connections", r.Connections, available.Connections},
		{"of a core's time", r.CPU, available.CPU},
	} {
		if resource.required > resource.available*(1+capacityTolerance) {
			return errorf(ErrNoCapacity, "it needs %.4g %s, there are %.4g",
				resource.required, resource.name, max(resource.available, 0))
		}
	}
	return nil
}

// Valid reports whether all requirements are numbers within the allowed range.
func (r Requirements) Valid() bool {
	for _, value := range [...]float64{r.Memory, r.EntriesPerSecond, r.Connections, r.CPU} {
		if math.IsNaN(value) || value < 0 || value > maxRequirement {
			return false
		}
	}
	return true
}

// rounded returns the requirements rounded up so that sums of them do not depend on the order of addition: all replicas of
// the directory must compute exactly the same available capacity.
func (r Requirements) rounded() Requirements {
	return Requirements{
		Memory:           math.Ceil(r.Memory),
		EntriesPerSecond: math.Ceil(r.EntriesPerSecond*requirementPrecision) / requirementPrecision,
		Connections:      math.Ceil(r.Connections),
		CPU:              math.Ceil(r.CPU*requirementPrecision) / requirementPrecision,
	}
}

func (r Requirements) plus(other Requirements) Requirements {
	return Requirements{
		Memory:           r.Memory + other.Memory,
		EntriesPerSecond: r.EntriesPerSecond + other.EntriesPerSecond,
		Connections:      r.Connections + other.Connections,
		CPU:              r.CPU + other.CPU,
	}
}

func (r Requirements) minus(other Requirements) Requirements {
	return Requirements{
		Memory:           r.Memory - other.Memory,
		EntriesPerSecond: r.EntriesPerSecond - other.EntriesPerSecond,
		Connections:      r.Connections - other.Connections,
		CPU:              r.CPU - other.CPU,
	}
}
