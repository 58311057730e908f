// Package delta encodes and decodes the answers of the long-poll API: tables and what changed in them, as JSON or as CBOR
// (RFC 8949), and problem documents (RFC 9457).
//
// It is pure: bytes in, structures out, and back. internal/frontend/longpollhttp/openapi.json describes the API.
package delta

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Tables is an answer to a poll.
type Tables struct {
	Epoch          string  `json:"epoch"`          // of this run of the coordinator, in hexadecimal digits
	Version        uint64  `json:"version"`        // to be named in the next poll
	Base           uint64  `json:"from"`           // version of this epoch that the proxy must hold, or a later one, to apply the answer; 0: any
	PollWithin     float64 `json:"ask-within"`     // seconds within which the proxy must poll again
	OwnershipEpoch uint64  `json:"lead,omitempty"` // epoch of proxy ownership, where coordinators share the fleet
	Classes        []Class `json:"classes"`
}

// Class is what changed for one request class, or all of it.
type Class struct {
	Class      string   `json:"class"`
	Full       bool     `json:"full"` // the entries are the whole table: the proxy drops all others
	Entries    []Entry  `json:"lines"`
	Admission  *float64 `json:"level,omitempty"`     // admitted share or rate; absent: as before
	Retry      string   `json:"again,omitempty"`     // none, proof, failure or twice; absent: as before
	RetryAfter *float64 `json:"come-back,omitempty"` // seconds after which a rejected client may retry
}

// Entry is the weight of a server. A weight of 0 removes the server.
type Entry struct {
	Server   string  `json:"server"`
	Weight   float64 `json:"weight"`
	Draining bool    `json:"drains,omitempty"` // the server is removed because it drains
}

// ErrInvalidTables reports an answer that is malformed; nothing of it may be applied.
var ErrInvalidTables = errors.New("invalid tables")

const maxNestedLevels = 8 // of CBOR data

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	options := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: maxNestedLevels}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Append appends tables to data, encoded in a media type: CBOR, or else JSON. JSON fails on numbers that are not finite.
func Append(data []byte, mediaType string, tables *Tables) ([]byte, error) {
	var encoded []byte
	var err error
	if mediaType == CBOR {
		encoded, err = cbor.Marshal(tables)
	} else {
		encoded, err = json.Marshal(tables)
	}
	return append(data, encoded...), err
}

// Decode decodes tables from a media type, CBOR or else JSON, and validates them: weights and admission levels are finite
// and not below 0, and no class names a server twice. The error wraps ErrInvalidTables.
func Decode(data []byte, mediaType string, tables *Tables) error {
	var err error
	if mediaType == CBOR {
		err = decoder.Unmarshal(data, tables)
	} else {
		err = json.Unmarshal(data, tables)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidTables, err)
	}
	for i := range tables.Classes {
		if err := tables.Classes[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Class) validate() error {
	seen := make(map[string]bool, len(c.Entries))
	for _, entry := range c.Entries {
		if entry.Server == "" || seen[entry.Server] || !isFiniteNonNegative(entry.Weight) {
			return fmt.Errorf("%w: class %q, server %q, weight %v", ErrInvalidTables, c.Class, entry.Server, entry.Weight)
		}
		seen[entry.Server] = true
	}
	if c.Admission != nil && !isFiniteNonNegative(*c.Admission) {
		return fmt.Errorf("%w: class %q, admission %v", ErrInvalidTables, c.Class, *c.Admission)
	}
	return nil
}

func isFiniteNonNegative(value float64) bool {
	return value >= 0 && !math.IsInf(value, 0)
}

// AppliesTo reports whether a proxy that holds a version of an epoch may apply the tables. If not, the proxy drops them and
// polls again: an answer that comes late, or that was meant for an earlier run of the proxy, would otherwise be applied to
// a state that it does not fit.
func (t *Tables) AppliesTo(epoch string, version uint64) bool {
	return t.Base == 0 || t.Epoch == epoch && t.Base <= version
}

// Stale reports whether the tables come from a coordinator that no longer owns the proxy: the proxy has followed a newer
// ownership epoch, and must drop them. It guards against a coordinator that was paused between checking its lease and
// answering; the proxy then polls another coordinator.
func (t *Tables) Stale(followed uint64) bool { return t.OwnershipEpoch < followed }
