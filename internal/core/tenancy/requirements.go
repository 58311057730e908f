package tenancy

import "math"

const (
	// maxRequirement bounds each of the requirements. Sums of 20,000 such are finite, and one fits no host.
	maxRequirement = 1 << 50

	// requirementPrecision is the number of steps to which a core's time, or an entry per second, is divided.
	requirementPrecision = 1 << 20

	// capacityTolerance is the part by which sums of requirements may be rounded.
	capacityTolerance = 1e-9
)

// Requirements is what a tenant takes of its host when it is as large and as busy as its limits allow.
type Requirements struct {
	Memory           float64 `json:"memory"`      // bytes
	EntriesPerSecond float64 `json:"lines"`       // table entries per second on the channel
	Connections      float64 `json:"connections"` // at once
	CPU              float64 `json:"work"`        // CPU seconds per second
}

// Capacity is what a host has for all its tenants. Their requirements together must fit into it. CPU time may be
// overcommitted: it is shared as tenants need it, and a tenant that asks for more than its share waits.
type Capacity struct {
	Requirements
	CPUOvercommit float64 // how many times the CPU time may be required
	MaxTenants    int
}

// DefaultCapacity is that of a host with four cores and 8 GiB for tenants, whose programs run on one of the cores.
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

// fits returns ErrNoCapacity if a tenant's requirements do not fit beside what others use.
func (c Capacity) fits(used, required Requirements) error {
	available := c.Requirements
	available.CPU *= c.CPUOvercommit
	return required.CheckWithin(available.minus(used))
}

// CheckWithin returns ErrNoCapacity if some requirement is more than what is available.
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

// Valid tells whether all requirements are numbers within bounds.
func (r Requirements) Valid() bool {
	for _, value := range [...]float64{r.Memory, r.EntriesPerSecond, r.Connections, r.CPU} {
		if math.IsNaN(value) || value < 0 || value > maxRequirement {
			return false
		}
	}
	return true
}

// rounded rounds the requirements up so that sums of them do not depend on the order of addition: all replicas of the
// directory must agree on what is free to the last bit.
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
