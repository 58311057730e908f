package tenancy

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxOutcomes is how many outcomes are remembered, so that a call whose answer was lost can be repeated.
	maxOutcomes = 4096

	// NameQuarantine is how long, in seconds, a name can't be used after its tenant was removed. What is still in flight
	// to the removed tenant, such as late load reports and connections not yet noticed as broken, does not reach a new
	// one. The cost is that a name can't be used again at once.
	NameQuarantine = 10.0
)

// Version grows with every change of any tenant. Each tenant has the version of its latest change.
type Version uint64

// Tenant is an entry of the directory.
type Tenant struct {
	Name         Name         `json:"name"`
	Incarnation  Incarnation  `json:"incarnation"`
	Version      Version      `json:"version"`
	Settings     []byte       `json:"settings"` // the content of its settings file
	Weight       float64      `json:"weight"`   // of its share of what tenants share
	Requirements Requirements `json:"needs"`
	CreatedAt    float64      `json:"made"`    // in seconds
	ChangedAt    float64      `json:"changed"` // in seconds
}

// Directory holds all tenants. It is a replicated state machine: the same commands in the same order lead to the same
// state. The zero value with a Capacity is an empty directory. It is not safe for concurrent use.
type Directory struct {
	Capacity        Capacity         `json:"-"` // from the host's settings
	Version         Version          `json:"version"`
	LastIncarnation Incarnation      `json:"given"`
	Tenants         map[Name]*Tenant `json:"tenants"`
	Quarantined     map[Name]float64 `json:"resting"` // when the tenants of these names were removed
	Outcomes        []Outcome        `json:"done"`    // the latest, oldest first

	// Derived from the above by index.
	used           Requirements   // of all tenants
	outcomeNumbers map[uint64]int // of the remembered outcomes by ID, counted from the first one ever; nil: not indexed
	droppedCount   int            // outcomes that are no longer remembered
}

// Apply takes a command. A command that is applied again has the outcome that it had.
func (d *Directory) Apply(command Command) Outcome {
	d.index()
	outcome := Outcome{ID: command.ID, Fingerprint: command.Fingerprint}
	if earlier, ok := d.FindOutcome(command.ID); ok && command.ID != 0 {
		if earlier.Fingerprint == command.Fingerprint {
			return earlier
		}
		outcome.setErr(ErrKeyReused)
		return outcome
	}
	tenant, err := d.execute(command)
	if err != nil {
		// A rejected command is not remembered, so that its caller may try again with the same key.
		outcome.setErr(err)
		return outcome
	}
	outcome.Version = tenant.Version
	outcome.Incarnation = tenant.Incarnation
	if command.ID != 0 {
		d.remember(outcome)
	}
	return outcome
}

// execute does what a command says, or nothing at all.
func (d *Directory) execute(command Command) (Tenant, error) {
	if err := command.validate(); err != nil {
		return Tenant{}, err
	}
	command.Requirements = command.Requirements.rounded()
	tenant := d.Tenants[command.Name]
	if command.Kind != Create {
		if tenant == nil {
			return Tenant{}, ErrNotFound
		}
		if command.IfVersion != 0 && command.IfVersion != tenant.Version {
			return Tenant{}, errorf(ErrVersionMismatch, "it is at version %d, not %d", tenant.Version, command.IfVersion)
		}
	}
	switch command.Kind {
	case Create:
		return d.create(command)
	case Change:
		return d.change(tenant, command)
	case Remove:
		return d.remove(tenant, command.Time), nil
	}
	return Tenant{}, errorf(ErrInvalidCommand, "kind %d", command.Kind)
}

func (d *Directory) create(command Command) (Tenant, error) {
	if d.Tenants[command.Name] != nil {
		return Tenant{}, ErrExists
	}
	if removedAt, ok := d.Quarantined[command.Name]; ok && command.Time < removedAt+NameQuarantine {
		return Tenant{}, errorf(ErrNameQuarantined, "for %.1f s more", removedAt+NameQuarantine-command.Time)
	}
	if len(d.Tenants) >= d.Capacity.MaxTenants {
		return Tenant{}, errorf(ErrNoCapacity, "there are %d tenants", len(d.Tenants))
	}
	if err := d.Capacity.fits(d.used, command.Requirements); err != nil {
		return Tenant{}, err
	}
	d.LastIncarnation++
	tenant := &Tenant{Name: command.Name, Incarnation: d.LastIncarnation, CreatedAt: command.Time}
	if d.Tenants == nil {
		d.Tenants = map[Name]*Tenant{}
	}
	d.Tenants[command.Name] = tenant
	delete(d.Quarantined, command.Name)
	return d.set(tenant, command), nil
}

func (d *Directory) change(tenant *Tenant, command Command) (Tenant, error) {
	others := d.used.minus(tenant.Requirements)
	if err := d.Capacity.fits(others, command.Requirements); err != nil {
		return Tenant{}, err
	}
	d.used = others
	return d.set(tenant, command), nil
}

// set gives a tenant, whose requirements do not count as used, what a command says of it.
func (d *Directory) set(tenant *Tenant, command Command) Tenant {
	d.used = d.used.plus(command.Requirements)
	d.Version++
	tenant.Version = d.Version
	tenant.Settings = command.Settings
	tenant.Weight = command.Weight
	tenant.Requirements = command.Requirements
	tenant.ChangedAt = command.Time
	return *tenant
}

func (d *Directory) remove(tenant *Tenant, now float64) Tenant {
	delete(d.Tenants, tenant.Name)
	d.used = d.used.minus(tenant.Requirements)
	d.quarantine(tenant.Name, now)
	d.Version++
	tenant.Version = d.Version
	return *tenant
}

// quarantine keeps a name from being used, and releases those whose quarantine is over.
func (d *Directory) quarantine(name Name, now float64) {
	if d.Quarantined == nil {
		d.Quarantined = map[Name]float64{}
	}
	maps.DeleteFunc(d.Quarantined, func(_ Name, removedAt float64) bool { return now >= removedAt+NameQuarantine })
	d.Quarantined[name] = now
}

// remember stores an outcome, in place of the oldest one if there are too many.
func (d *Directory) remember(outcome Outcome) {
	if len(d.Outcomes) >= maxOutcomes {
		delete(d.outcomeNumbers, d.Outcomes[0].ID)
		d.Outcomes = d.Outcomes[1:]
		d.droppedCount++
	}
	d.outcomeNumbers[outcome.ID] = d.droppedCount + len(d.Outcomes)
	d.Outcomes = append(d.Outcomes, outcome)
}

// index derives what a snapshot does not contain, unless it has been derived before.
func (d *Directory) index() {
	if d.outcomeNumbers != nil {
		return
	}
	d.outcomeNumbers = make(map[uint64]int, len(d.Outcomes))
	d.droppedCount = 0
	for i, outcome := range d.Outcomes {
		d.outcomeNumbers[outcome.ID] = i
	}
	d.used = Requirements{}
	for _, tenant := range d.All() { // in order, so that all replicas have the same sum
		d.used = d.used.plus(tenant.Requirements)
	}
}

// FindOutcome returns the outcome of a command that was applied before, by its ID.
func (d *Directory) FindOutcome(id uint64) (Outcome, bool) {
	d.index()
	number, ok := d.outcomeNumbers[id]
	if !ok {
		return Outcome{}, false
	}
	return d.Outcomes[number-d.droppedCount], true
}

// Get returns a tenant by its name.
func (d *Directory) Get(name Name) (Tenant, bool) {
	tenant := d.Tenants[name]
	if tenant == nil {
		return Tenant{}, false
	}
	return *tenant, true
}

// All lists the tenants by name. The directory owns them.
func (d *Directory) All() []*Tenant {
	all := make([]*Tenant, 0, len(d.Tenants))
	for _, tenant := range d.Tenants {
		all = append(all, tenant)
	}
	slices.SortFunc(all, func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Used is what all tenants require together.
func (d *Directory) Used() Requirements {
	d.index()
	return d.used
}
