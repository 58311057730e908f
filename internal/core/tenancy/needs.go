package tenancy

import (
	"errors"
	"fmt"
	"math"
)

// Requirements is what a tenant takes of its host when it is as large and as busy as its limits let it be.
type Requirements struct {
	Memory      float64 `json:"memory"`      // bytes
	Lines       float64 `json:"lines"`       // a second, of the channel
	Connections float64 `json:"connections"` // at once
	Work        float64 `json:"work"`        // seconds of one core a second
}

// ErrNoCapacity says that the host has no room for what a tenant needs.
var ErrNoCapacity = errors.New("the host has no room for it")

// Size of a tenant, by its limits.
type Size struct {
	Classes, Servers, Relays, Series, Connections int
	Buffered                                      int     // bytes of unfinished messages
	Lines                                         float64 // a second
	Period                                        float64 // seconds between two reports
}

// What one of each takes, measured on this program (docs/hosting.md) and rounded up to the next half.
const (
	bytesTenant     = 48 << 10 // with its decision module, wheel, fronts
	bytesServer     = 4 << 10  // on the roll, in the module's tables
	bytesLine       = 0.25e3   // of a table, by class and server
	bytesRelay      = 8 << 10  // its holdings, its connection, its place in the channel
	bytesSeries     = 160      // of measurements
	bytesConnection = 6 << 10  // with its buffers in the event loop

	workLook    = 3e-6   // seconds of a look at a tenant in which nothing is due
	workRound   = 30e-6  // of a round, whatever its size
	workServer  = 4e-6   // further for each server on the roll
	workRelay   = 2.5e-6 // and each relay that is joined
	workMessage = 8e-6   // of a message
	workLine    = 0.2e-6 // of a line in one
	workBytes   = 8e-9   // of a byte that comes in: taking apart, looking up
	workComing  = 5e-6   // of what comes in at once, however short
	looksBusy   = 50.0   // a second, at a tenant with connections
)

// RequirementsFor is what a tenant of a size needs. A host that admits no more than it has can be asked for all of it at once.
func RequirementsFor(s Size) Requirements {
	servers, relays := float64(s.Servers), float64(s.Relays)
	return Requirements{
		Memory: bytesTenant + servers*bytesServer + servers*float64(s.Classes)*bytesLine + relays*bytesRelay +
			float64(s.Series)*bytesSeries + float64(s.Connections)*bytesConnection + float64(s.Buffered),
		Lines:       s.Lines,
		Connections: float64(s.Connections),
		// A round a period, and the channel full of messages of one line.
		Work: looksBusy*workLook + (workRound+servers*workServer+relays*workRelay)/max(s.Period, 0.05) + s.Lines*workMessage/2,
	}
}

// DefaultSize is the size that a tenant's limits allow where its settings say nothing of them: room for twice what is listed, since all
// of it may be replaced at once.
func DefaultSize(listed Size) Size {
	s := listed
	s.Servers, s.Relays = max(2*listed.Servers, 16), max(2*listed.Relays, 16)
	s.Series = s.Relays * (s.Servers + s.Classes)
	s.Connections = 3*s.Relays + 2*s.Servers + 16 // a relay's old, new and next one; a server's and its agent's
	s.Buffered = 256<<10 + 64*s.Servers*s.Classes // half of a large message, and a registration of everything
	return s
}

// Usage is what a look at a tenant did, or what came in for it.
type Usage struct {
	Rounds, Messages, Lines int
	Servers, Relays         int // that the rounds were about
	Bytes, Arrivals         int // that came in
}

// CPUSeconds is what it took, in seconds of one core. It is reckoned, not measured, so that whose turn is next depends on what
// happened alone and a day is the same in every run; the constants are kept true by a benchmark.
func (d Usage) CPUSeconds() float64 {
	r := float64(d.Rounds)
	return workLook + r*(workRound+float64(d.Servers)*workServer+float64(d.Relays)*workRelay) + float64(d.Messages)*workMessage +
		float64(d.Lines)*workLine + float64(d.Bytes)*workBytes + float64(d.Arrivals)*workComing
}

const mostNeeds = 1 << 50 // of anything: sums of 20,000 such would still be finite, and one alone fits nowhere

// Capacity is what a host has in all. Needs of all its tenants together fit into it; work may be promised more often than it is
// there, since it is shared as it comes: whoever asks for more than its part waits.
type Capacity struct {
	Requirements
	WorkOvercommit float64 // how many times the work may be promised
	MaxTenants     int
}

// DefaultCapacity is that of a host with four cores and 8 GiB to spare, of which one core owns the tenants.
var DefaultCapacity = Capacity{Requirements: Requirements{Memory: 8 << 30, Lines: 500e3, Connections: 200e3, Work: 0.7}, WorkOvercommit: 4, MaxTenants: 20000}

func (n Requirements) plus(o Requirements, times float64) Requirements {
	return Requirements{n.Memory + times*o.Memory, n.Lines + times*o.Lines, n.Connections + times*o.Connections, n.Work + times*o.Work}
}

// exact rounds needs so that sums of them do not depend on the order in which they are added: all that keep the directory must
// agree on what is free to the last bit.
func (n Requirements) exact() Requirements {
	const parts = 1 << 20 // of a core's time, or of a line a second
	return Requirements{math.Ceil(n.Memory), math.Ceil(n.Lines*parts) / parts, math.Ceil(n.Connections), math.Ceil(n.Work*parts) / parts}
}

// Valid tells whether all figures are such.
func (n Requirements) Valid() bool {
	for _, v := range [...]float64{n.Memory, n.Lines, n.Connections, n.Work} {
		if !(v >= 0) || v > mostNeeds {
			return false
		}
	}
	return true
}

// CheckWithin tells whether nothing is more than in o.
func (n Requirements) CheckWithin(o Requirements) error {
	for _, x := range [...]struct {
		what     string
		has, may float64
	}{{"bytes of memory", n.Memory, o.Memory}, {"lines a second", n.Lines, o.Lines}, {"connections", n.Connections, o.Connections},
		{"of a core's time", n.Work, o.Work}} {
		if x.has > x.may*(1+1e-9) {
			return fmt.Errorf("%w: it needs %.4g %s, there are %.4g", ErrNoCapacity, x.has, x.what, max(x.may, 0))
		}
	}
	return nil
}

// fits tells whether a tenant's needs fit beside what others take.
func (r Capacity) fits(taken, more Requirements) error {
	free := r.Requirements
	free.Work *= r.WorkOvercommit
	return more.CheckWithin(free.plus(taken, -1))
}
