package tenancy

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// maxSettingsBytes bounds the settings of one tenant. 5,000 proxies and 1,000 servers take a sixth of it.
const maxSettingsBytes = 4 << 20

// The texts of these errors are part of the administration API's answers.
var (
	// ErrExists says that a tenant to be created exists already.
	ErrExists = errors.New("there is such a tenant")
	// ErrNotFound says that there is no tenant of that name.
	ErrNotFound = errors.New("there is no such tenant")
	// ErrVersionMismatch says that a tenant has changed since the version that the caller has seen.
	ErrVersionMismatch = errors.New("the tenant has changed since")
	// ErrNameQuarantined says that a tenant of that name was removed less than NameQuarantine ago.
	ErrNameQuarantined = errors.New("the name rests")
	// ErrKeyReused says that an idempotency key was used for another call.
	ErrKeyReused = errors.New("the key was used for another call")
	// ErrInvalidCommand says that a command or a stored tenant is invalid.
	ErrInvalidCommand = errors.New("command that makes no sense")
	// ErrNoCapacity says that the host lacks the capacity that a tenant requires.
	ErrNoCapacity = errors.New("the host has no room for it")
)

// errorsByCode gives the errors the codes by which outcomes store them. The order is part of the stored form.
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

// commandError is one of errorsByCode with a detail. It can be stored in an Outcome.
type commandError struct {
	err    error
	detail string
}

func (e *commandError) Error() string { return e.err.Error() + ": " + e.detail }

func (e *commandError) Unwrap() error { return e.err }

// errorf makes a commandError with a formatted detail.
func errorf(err error, format string, args ...any) error {
	return &commandError{err: err, detail: fmt.Sprintf(format, args...)}
}

// CommandKind says what a command does. It is stored as a number.
type CommandKind uint8

// The kinds of commands.
const (
	Create CommandKind = iota + 1
	Change             // of settings, weight or requirements
	Remove
)

// Command changes the directory. All replicas of the directory apply it. A command with an ID takes effect once, however
// often it is applied.
type Command struct {
	Kind         CommandKind  `json:"kind"`
	Name         Name         `json:"name"`
	IfVersion    Version      `json:"if,omitempty"` // of Change and Remove: the version that the caller has seen; 0: any
	Settings     []byte       `json:"settings,omitempty"`
	Weight       float64      `json:"weight,omitempty"`
	Requirements Requirements `json:"needs,omitzero"`
	Time         float64      `json:"at"`              // in seconds
	ID           uint64       `json:"id"`              // hash of the caller and the idempotency key; 0: none
	Fingerprint  uint64       `json:"print,omitempty"` // hash of the call's content
}

// validate checks all that does not depend on the directory.
func (c *Command) validate() error {
	name, err := ParseName(string(c.Name))
	if err != nil || name != c.Name {
		return errorf(ErrInvalidCommand, "%v", err)
	}
	if !isFinite(c.Time) || c.Time < 0 || len(c.Settings) > maxSettingsBytes {
		return errorf(ErrInvalidCommand, "at %v, with settings of %d bytes", c.Time, len(c.Settings))
	}
	if c.Kind == Remove {
		return nil
	}
	if !isFinite(c.Weight) || c.Weight <= 0 || !c.Requirements.Valid() || len(c.Settings) == 0 {
		return errorf(ErrInvalidCommand, "weight %v, needs %+v", c.Weight, c.Requirements)
	}
	return nil
}

func isFinite(value float64) bool { return !math.IsNaN(value) && !math.IsInf(value, 0) }

// Outcome is the result of a command, as its caller is answered.
type Outcome struct {
	ID          uint64      `json:"id"`
	Fingerprint uint64      `json:"print"`
	Code        int         `json:"code"` // of the error; 0: none
	Detail      string      `json:"detail,omitempty"`
	Version     Version     `json:"version"`     // of the tenant after the command
	Incarnation Incarnation `json:"incarnation"` // of the tenant
}

// Err is the error of the command; nil if it was applied.
func (o Outcome) Err() error {
	if o.Code <= 0 || o.Code >= len(errorsByCode) {
		return nil
	}
	if o.Detail != "" {
		return &commandError{err: errorsByCode[o.Code], detail: o.Detail}
	}
	return errorsByCode[o.Code]
}

// setErr stores one of errorsByCode, with its detail if it has one.
func (o *Outcome) setErr(err error) {
	o.Code = slices.IndexFunc(errorsByCode, func(e error) bool { return e != nil && errors.Is(err, e) })
	var detailed *commandError
	if errors.As(err, &detailed) {
		o.Detail = detailed.detail
	}
}
