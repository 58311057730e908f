package tenancy

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Version grows with every change of any tenant; each tenant has that of its latest.
type Version uint64

var (
	// ErrExists says that a tenant is there already.
	ErrExists = errors.New("there is such a tenant")
	// ErrUnknown says that there is none of that name.
	ErrUnknown = errors.New("there is no such tenant")
	// ErrVersionMismatch says that the tenant has changed since whoever calls has looked.
	ErrVersionMismatch = errors.New("the tenant has changed since")
	// ErrNameQuarantined says that a name was given up so recently that it can't be used yet.
	ErrNameQuarantined = errors.New("the name rests")
	// ErrKeyReused says that a call's key was used for another call.
	ErrKeyReused = errors.New("the key was used for another call")
	// ErrInvalidCommand says that a command makes no sense.
	ErrInvalidCommand = errors.New("command that makes no sense")
)

// errs by their numbers, in which answers are kept; the order is that of the file's format.
var errs = []error{nil, ErrExists, ErrUnknown, ErrVersionMismatch, ErrNameQuarantined, ErrKeyReused, ErrInvalidCommand, ErrNoCapacity}

// Tenant is one as all know it.
type Tenant struct {
	Name         Name         `json:"name"`
	Incarnation  Incarnation  `json:"incarnation"`
	Version      Version      `json:"version"`
	Settings     []byte       `json:"settings"` // its settings file
	Weight       float64      `json:"weight"`   // of its part of what is shared as it comes
	Requirements Requirements `json:"needs"`
	CreatedAt    float64      `json:"made"` // clock times
	ChangedAt    float64      `json:"changed"`
}

// CommandKind of a command.
type CommandKind uint8

const (
	Create CommandKind = iota + 1
	Change             // of settings, weight or needs
	Remove
)

// Command changes the directory. It is proposed once, applied by all that keep the directory, and counts once however often it is
// applied.
type Command struct {
	Kind         CommandKind  `json:"kind"`
	Name         Name         `json:"name"`
	IfVersion    Version      `json:"if,omitempty"` // of Change and Remove: the version that it is about; 0: any
	Settings     []byte       `json:"settings,omitempty"`
	Weight       float64      `json:"weight,omitempty"`
	Requirements Requirements `json:"needs,omitzero"`
	Time         float64      `json:"at"`              // clock time
	ID           uint64       `json:"id"`              // of the call: its caller and key
	Fingerprint  uint64       `json:"print,omitempty"` // of what was asked by it
}

// Outcome of a command, as its caller is answered.
type Outcome struct {
	ID          uint64      `json:"id"`
	Fingerprint uint64      `json:"print"`
	Code        int         `json:"code"` // of Err, by its place among errs
	Detail      string      `json:"detail,omitempty"`
	Version     Version     `json:"version"`
	Incarnation Incarnation `json:"incarnation"`
}

// Err is what went wrong; nil: nothing.
func (o Outcome) Err() error {
	if o.Code <= 0 || o.Code >= len(errs) {
		return nil
	}
	if o.Detail != "" {
		return fmt.Errorf("%w: %s", errs[o.Code], o.Detail)
	}
	return errs[o.Code]
}

const (
	mostOutcomes = 4096    // that are remembered, so that a call whose answer was lost can be repeated
	mostSettings = 4 << 20 // bytes of one tenant's settings: 5,000 relays and 1,000 servers take a sixth
)

// NameQuarantine is how long a name can't be used after its tenant was removed: in seconds. Guards against what is still on its way to
// the former tenant, such as late measurements and connections that have not been noticed as broken; its relays go on by the
// tables that they hold. It does harm to whoever wants the name back at once.
const NameQuarantine = 10.0

// Directory is all tenants. It is a replicated state machine: the same commands in the same order lead to the same state. The zero
// value, with Room set, is that of a new host.
type Directory struct {
	Capacity        Capacity         `json:"-"`
	Version         Version          `json:"version"`
	LastIncarnation Incarnation      `json:"given"` // the latest
	Tenants         map[Name]*Tenant `json:"tenants"`
	Quarantined     map[Name]float64 `json:"resting"` // names that were given up, and when
	Outcomes        []Outcome        `json:"done"`    // the latest, oldest first
	taken           Requirements     // of all tenants
	places          map[uint64]int   // of outcomes by ID, counted from the first that there ever was
	dropped         int              // outcomes that are forgotten
}

// Apply takes a command and says what became of it. A command that comes again has the outcome that it had.
func (d *Directory) Apply(c Command) (o Outcome) {
	d.index()
	if before, ok := d.Find(c.ID); ok && c.ID != 0 {
		if before.Fingerprint != c.Fingerprint { // the outcome that is kept stays
			return Outcome{ID: c.ID, Fingerprint: c.Fingerprint, Code: code(ErrKeyReused)}
		}
		return before
	}
	o = Outcome{ID: c.ID, Fingerprint: c.Fingerprint}
	t, err := d.change(c)
	if err != nil {
		// What was refused is not remembered: whoever was refused may call again with the same key.
		o.Code, o.Detail = code(err), detail(err)
		return o
	}
	o.Version, o.Incarnation = t.Version, t.Incarnation
	if c.ID != 0 {
		d.keep(o)
	}
	return o
}

func code(err error) int {
	return slices.IndexFunc(errs, func(e error) bool { return e != nil && errors.Is(err, e) })
}

func detail(err error) string {
	base := errs[code(err)].Error()
	if s := err.Error(); len(s) > len(base)+2 {
		return s[len(base)+2:]
	}
	return ""
}

// change does what a command orders, or nothing at all.
func (d *Directory) change(c Command) (Tenant, error) {
	if n, err := ParseName(string(c.Name)); err != nil || n != c.Name {
		return Tenant{}, fmt.Errorf("%w: %v", ErrInvalidCommand, err)
	}
	if !(c.Time >= 0) || math.IsInf(c.Time, 0) || len(c.Settings) > mostSettings {
		return Tenant{}, fmt.Errorf("%w: at %v, with settings of %d bytes", ErrInvalidCommand, c.Time, len(c.Settings))
	}
	if c.Kind != Remove && (!(c.Weight > 0) || math.IsInf(c.Weight, 0) || !c.Requirements.Valid() || len(c.Settings) == 0) {
		return Tenant{}, fmt.Errorf("%w: weight %v, needs %+v", ErrInvalidCommand, c.Weight, c.Requirements)
	}
	c.Requirements = c.Requirements.exact()
	t := d.Tenants[c.Name]
	if c.Kind != Create && t == nil {
		return Tenant{}, ErrUnknown
	}
	if c.Kind != Create && c.IfVersion != 0 && c.IfVersion != t.Version {
		return Tenant{}, fmt.Errorf("%w: it is at version %d, not %d", ErrVersionMismatch, t.Version, c.IfVersion)
	}
	switch c.Kind {
	case Create:
		switch at, rests := d.Quarantined[c.Name]; {
		case t != nil:
			return Tenant{}, ErrExists
		case rests && c.Time < at+NameQuarantine:
			return Tenant{}, fmt.Errorf("%w: for %.1f s more", ErrNameQuarantined, at+NameQuarantine-c.Time)
		case len(d.Tenants) >= d.Capacity.MaxTenants:
			return Tenant{}, fmt.Errorf("%w: there are %d tenants", ErrNoCapacity, len(d.Tenants))
		}
		if err := d.Capacity.fits(d.taken, c.Requirements); err != nil {
			return Tenant{}, err
		}
		d.LastIncarnation++
		t = &Tenant{Name: c.Name, Incarnation: d.LastIncarnation, CreatedAt: c.Time}
		if d.Tenants == nil {
			d.Tenants = map[Name]*Tenant{}
		}
		d.Tenants[c.Name] = t
		delete(d.Quarantined, c.Name)
	case Change:
		if err := d.Capacity.fits(d.taken.plus(t.Requirements, -1), c.Requirements); err != nil {
			return Tenant{}, err
		}
		d.taken = d.taken.plus(t.Requirements, -1)
	case Remove:
		delete(d.Tenants, c.Name)
		d.taken = d.taken.plus(t.Requirements, -1)
		d.rest(c.Name, c.Time)
		d.Version++
		t.Version = d.Version
		return *t, nil
	default:
		return Tenant{}, fmt.Errorf("%w: kind %d", ErrInvalidCommand, c.Kind)
	}
	d.taken = d.taken.plus(c.Requirements, 1)
	d.Version++
	t.Version, t.Settings, t.Weight, t.Requirements, t.ChangedAt = d.Version, c.Settings, c.Weight, c.Requirements, c.Time
	return *t, nil
}

// rest keeps a name from being used, and lets go of those that have rested.
func (d *Directory) rest(n Name, at float64) {
	if d.Quarantined == nil {
		d.Quarantined = map[Name]float64{}
	}
	maps.DeleteFunc(d.Quarantined, func(_ Name, since float64) bool { return at >= since+NameQuarantine })
	d.Quarantined[n] = at
}

func (d *Directory) keep(o Outcome) {
	if len(d.Outcomes) >= mostOutcomes {
		delete(d.places, d.Outcomes[0].ID)
		d.Outcomes = d.Outcomes[1:]
		d.dropped++
	}
	d.places[o.ID] = d.dropped + len(d.Outcomes)
	d.Outcomes = append(d.Outcomes, o)
}

// index makes what is not kept in a snapshot.
func (d *Directory) index() {
	if d.places != nil {
		return
	}
	d.places, d.dropped, d.taken = make(map[uint64]int, len(d.Outcomes)), 0, Requirements{}
	for i, o := range d.Outcomes {
		d.places[o.ID] = i
	}
	for _, t := range d.All() { // in an order, so that the sum is the same everywhere
		d.taken = d.taken.plus(t.Requirements, 1)
	}
}

// Checkpoint is what a change of one tenant can be taken back by.
type Checkpoint struct {
	name         Name
	tenant       *Tenant
	version      Version
	given        Incarnation
	resting      map[Name]float64
	known, empty bool // empty: there was no tenant yet
	done         []Outcome
	taken        Requirements
}

// Checkpoint a change of a tenant.
func (d *Directory) Checkpoint(n Name) Checkpoint {
	d.index()
	b := Checkpoint{name: n, version: d.Version, given: d.LastIncarnation, done: d.Outcomes, taken: d.taken}
	b.resting, b.empty = maps.Clone(d.Quarantined), d.Tenants == nil
	if t, ok := d.Get(n); ok {
		b.tenant, b.known = &t, true
	}
	return b
}

// Rollback takes back the latest change: what could not be made durable has not happened.
func (d *Directory) Rollback(b Checkpoint) {
	d.Version, d.LastIncarnation, d.Outcomes, d.taken = b.version, b.given, b.done, b.taken
	delete(d.Tenants, b.name)
	if b.known {
		d.Tenants[b.name] = b.tenant
	}
	d.Quarantined = b.resting
	if d.places = nil; b.empty {
		d.Tenants = nil
	}
}

// Find is the outcome of a call that was answered before.
func (d *Directory) Find(id uint64) (Outcome, bool) {
	d.index()
	i, ok := d.places[id]
	if !ok {
		return Outcome{}, false
	}
	return d.Outcomes[i-d.dropped], true
}

// Get is a tenant by its name.
func (d *Directory) Get(n Name) (Tenant, bool) {
	if t := d.Tenants[n]; t != nil {
		return *t, true
	}
	return Tenant{}, false
}

// All tenants, by name.
func (d *Directory) All() []*Tenant {
	all := make([]*Tenant, 0, len(d.Tenants))
	for _, t := range d.Tenants {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Used is what all tenants need together.
func (d *Directory) Used() Requirements {
	d.index()
	return d.taken
}

// Snapshot is the whole directory; the same directory has the same bytes.
func (d *Directory) Snapshot() ([]byte, error) { return json.Marshal(d) }

// Restore takes a snapshot in the directory's place, or leaves it as it is.
func (d *Directory) Restore(b []byte) error {
	var r Directory
	if err := json.Unmarshal(b, &r); err != nil {
		return fmt.Errorf("directory of tenants: %w", err)
	}
	for n, t := range r.Tenants {
		if t == nil || t.Name != n || t.Incarnation > r.LastIncarnation || t.Version > r.Version || !t.Requirements.Valid() || !(t.Weight > 0) {
			return fmt.Errorf("%w: tenant %q of the directory", ErrInvalidCommand, n)
		}
	}
	r.Capacity = d.Capacity
	*d = r
	return nil
}
