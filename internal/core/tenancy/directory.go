package tenancy

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxOutcomes is the number of outcomes stored, so that a call whose response was lost can be repeated.
	maxOutcomes = 4096

	// NameQuarantine is the time in seconds for which a name can't be reused after its tenant was removed. It keeps
	// traffic to the removed tenant, such as late load reports and connections whose failure is not detected yet, from
	// reaching a new tenant of the same name. The cost is that a name can't be reused at once.
	NameQuarantine = 10.0
)

// Version is a number that increases with every change of any tenant. Each tenant has the version of its latest change.
type Version uint64

// Tenant is an entry of the directory.
type Tenant struct {
	Name         Name         `json:"name"`
	Incarnation  Incarnation  `json:"incarnation"`
	Version      Version      `json:"version"`
	Settings     []byte       `json:"settings"` // the content of the tenant's settings file
	Weight       float64      `json:"weight"`   // weight of its share of the resources that tenants share
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
	Quarantined     map[Name]float64 `json:"resting"` // when the tenant of each name was removed, in seconds
	Outcomes        []Outcome        `json:"done"`    // the latest outcomes, oldest first

	// Derived from the fields above by buildIndex.
	used           Requirements   // sum of all tenants' requirements
	outcomeNumbers map[uint64]int // sequence numbers of the stored outcomes by ID, counting all outcomes ever stored; nil: not built
	droppedCount   int            // number of outcomes that are no longer stored
}

// Apply applies a command. If the outcome of a command with the same ID and fingerprint is stored, it returns that outcome instead.
func (d *Directory) Apply(command Command) Outcome {
	d.buildIndex()
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
		// The outcome of a rejected command is not stored, so that its caller may retry with the same key.
		outcome.setErr(err)
		return outcome
	}
	outcome.Version = tenant.Version
	outcome.Incarnation = tenant.Incarnation
	if command.ID != 0 {
		d.storeOutcome(outcome)
	}
	return outcome
}

// execute performs a command. If it returns an error, the directory is unchanged.
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
	return d.update(tenant, command), nil
}

func (d *Directory) change(tenant *Tenant, command Command) (Tenant, error) {
	others := d.used.minus(tenant.Requirements)
	if err := d.Capacity.fits(others, command.Requirements); err != nil {
		return Tenant{}, err
	}
	d.used = others
	return d.update(tenant, command), nil
}

// update sets the tenant's fields from a command. The tenant's requirements must not be included in used when it is called.
func (d *Directory) update(tenant *Tenant, command Command) Tenant {
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

// quarantine adds a name to the quarantined ones, and deletes those whose quarantine is over.
func (d *Directory) quarantine(name Name, now float64) {
	if d.Quarantined == nil {
		d.Quarantined = map[Name]float64{}
	}
	maps.DeleteFunc(d.Quarantined, func(_ Name, removedAt float64) bool { return now >= removedAt+NameQuarantine })
	d.Quarantined[name] = now
}

// storeOutcome stores an outcome, and drops the oldest one if maxOutcomes are stored.
func (d *Directory) storeOutcome(outcome Outcome) {
	if len(d.Outcomes) >= maxOutcomes {
		delete(d.outcomeNumbers, d.Outcomes[0].ID)
		d.Outcomes = d.Outcomes[1:]
		d.droppedCount++
	}
	d.outcomeNumbers[outcome.ID] = d.droppedCount + len(d.Outcomes)
	d.Outcomes = append(d.Outcomes, outcome)
}

// buildIndex computes the fields that a snapshot does not contain, unless they are up to date.
func (d *Directory) buildIndex() {
	if d.outcomeNumbers != nil {
		return
	}
	d.outcomeNumbers = make(map[uint64]int, len(d.Outcomes))
	d.droppedCount = 0
	for i, outcome := range d.Outcomes {
		d.outcomeNumbers[outcome.ID] = i
	}
	d.used = Requirements{}
	for _, tenant := range d.All() { // in order, so that all replicas compute the same sum
		d.used = d.used.plus(tenant.Requirements)
	}
}

// FindOutcome returns the stored outcome of the command with the given ID.
func (d *Directory) FindOutcome(id uint64) (Outcome, bool) {
	d.buildIndex()
	number, ok := d.outcomeNumbers[id]
	if !ok {
		return Outcome{}, false
	}
	return d.Outcomes[number-d.droppedCount], true
}

// Get returns a copy of the tenant with the given name.
func (d *Directory) Get(name Name) (Tenant, bool) {
	tenant := d.Tenants[name]
	if tenant == nil {
		return Tenant{}, false
	}
	return *tenant, true
}

// All returns all tenants, sorted by name. They belong to the directory and must not be changed.
func (d *Directory) All() []*Tenant {
	all := make([]*Tenant, 0, len(d.Tenants))
	for _, tenant := range d.Tenants {
		all = append(all, tenant)
	}
	slices.SortFunc(all, func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Used returns the sum of all tenants' requirements.
func (d *Directory) Used() Requirements {
	d.buildIndex()
	return d.used
}
