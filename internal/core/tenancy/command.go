package tenancy

import (
	"errors"
	"fmt"
	"slices"

	"snowquay/internal/core/finite"
)

// maxSettingsBytes is the maximum size of one tenant's settings. 5,000 proxies and 1,000 servers take a sixth of it.
const maxSettingsBytes = 4 << 20

// The administration API's responses contain the texts of these errors.
var (
	// ErrExists reports that a tenant to be created already exists.
	ErrExists = errors.New("the tenant already exists")
	// ErrNotFound reports that there is no tenant with the given name.
	ErrNotFound = errors.New("there is no such tenant")
	// ErrVersionMismatch reports that a tenant has changed since the version that the caller has seen.
	ErrVersionMismatch = errors.New("the tenant has changed in the meantime")
	// ErrNameQuarantined reports that a tenant of the same name was removed less than NameQuarantine ago.
	ErrNameQuarantined = errors.New("the name belonged to a tenant that was removed recently")
	// ErrKeyReused reports that an idempotency key was already used for another call.
	ErrKeyReused = errors.New("the idempotency key was used for another call")
	// ErrInvalidCommand reports that a command or a stored tenant is invalid.
	ErrInvalidCommand = errors.New("invalid command")
	// ErrNoCapacity reports that the host lacks the capacity that a tenant requires.
	ErrNoCapacity = errors.New("the host lacks capacity for the tenant")
)

// errorsByCode lists the errors by the codes that outcomes store. The order is part of the stored format.
var errorsByCode = []error{
	nil,
	ErrExists,
	ErrNotFound,
	ErrVersionMismatch,
	ErrNameQuarantined,
	ErrKeyReused,
	ErrInvalidCommand,
	ErrNoCapacity,
}

// commandError is one of errorsByCode with additional detail. It can be stored in an Outcome.
type commandError struct {
	err    error
	detail string
}

func (e *commandError) Error() string { return e.err.Error() + ": " + e.detail }

func (e *commandError) Unwrap() error { return e.err }

// errorf returns a commandError with a formatted detail. The texts of details, those of ParseName included, must not change:
// Outcome.Detail is part of the replicated and stored form, and replicas of different versions must compute equal outcomes.
func errorf(err error, format string, args ...any) error {
	return &commandError{err: err, detail: fmt.Sprintf(format, args...)}
}

// CommandKind is the operation of a command. The numeric values are stored, so they must not change.
type CommandKind uint8

// Command kinds.
const (
	Create CommandKind = iota + 1
	Change             // changes the settings, weight or requirements
	Remove
)

// Command is a change of the directory that all replicas apply. A command with an ID takes effect once, however often it
// is applied.
type Command struct {
	Kind         CommandKind  `json:"kind"`
	Name         Name         `json:"name"`
	IfVersion    Version      `json:"if,omitempty"` // Change, Remove: the version that the caller has seen; 0: any
	Settings     []byte       `json:"settings,omitempty"`
	Weight       float64      `json:"weight,omitempty"`
	Requirements Requirements `json:"needs,omitzero"`
	Time         float64      `json:"at"`              // time in seconds
	ID           uint64       `json:"id"`              // hash of the caller and the idempotency key; 0: none
	Fingerprint  uint64       `json:"print,omitempty"` // hash of the call's content
}

// validate checks everything that does not depend on the state of the directory.
func (c *Command) validate() error {
	name, err := ParseName(string(c.Name))
	if err != nil || name != c.Name {
		return errorf(ErrInvalidCommand, "%v", err)
	}
	if !finite.NonNegative(c.Time) || len(c.Settings) > maxSettingsBytes {
		return errorf(ErrInvalidCommand, "at %v, with settings of %d bytes", c.Time, len(c.Settings))
	}
	if c.Kind == Remove {
		return nil
	}
	if !finite.Positive(c.Weight) || !c.Requirements.Valid() || len(c.Settings) == 0 {
		return errorf(ErrInvalidCommand, "weight %v, needs %+v", c.Weight, c.Requirements)
	}
	return nil
}

// Outcome is the result of a command, as returned to its caller.
type Outcome struct {
	ID          uint64      `json:"id"`
	Fingerprint uint64      `json:"print"`
	Code        int         `json:"code"` // code of the error in errorsByCode; 0: no error
	Detail      string      `json:"detail,omitempty"`
	Version     Version     `json:"version"`     // the tenant's version after the command
	Incarnation Incarnation `json:"incarnation"` // the tenant's incarnation
}

// Err returns the error of the command, or nil if it was applied.
func (o Outcome) Err() error {
	if o.Code <= 0 || o.Code >= len(errorsByCode) {
		return nil
	}
	if o.Detail != "" {
		return &commandError{err: errorsByCode[o.Code], detail: o.Detail}
	}
	return errorsByCode[o.Code]
}

// setErr stores the code and the detail, if any, of an error that wraps one of errorsByCode.
func (o *Outcome) setErr(err error) {
	o.Code = slices.IndexFunc(errorsByCode, func(e error) bool { return e != nil && errors.Is(err, e) })
	var detailed *commandError
	if errors.As(err, &detailed) {
		o.Detail = detailed.detail
	}
}
